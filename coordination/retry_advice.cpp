#include "coordination/retry_advice.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

double RetryAdvice::weightAfter(Duration Age) const {
  return std::exp(-std::chrono::duration<double>(Age) /
                  std::chrono::duration<double>(this->Options.RateWindow));
}

void RetryAdvice::onServed(const std::string &Resource, double Amount,
                           TimePoint Now) {
  Queue &Known = this->Queues[Resource];
  Known.Served = Known.Served * this->weightAfter(Now - Known.Updated) + Amount;
  Known.Updated = Now;
}

std::chrono::milliseconds RetryAdvice::advise(const std::string &Resource,
                                              std::chrono::milliseconds Wait,
                                              double Amount, TimePoint Now) {
  Queue &Known = this->Queues[Resource];
  Millis Passed = Now - Known.ReservedAt;
  Millis Ahead = std::max(Millis(0), Known.Reserved - Passed);
  double Served = Known.Served * this->weightAfter(Now - Known.Updated);
  Millis Longest(this->Options.MaxDelay);
  if (Served > 0)
    Ahead += Millis(this->Options.RateWindow) *
             (Amount / (Served * this->Options.ReturnShare));
  // Returns beyond the longest delay reserve nothing: the queue would otherwise
  // outlast the burst.
  Known.Reserved = std::min(Ahead, Longest);
  Known.ReservedAt = Now;
  std::uniform_real_distribution<double> Extension(1, 1 + this->Options.Spread);
  Millis Delay =
      std::clamp(Millis(Wait) + Ahead, Millis(this->Options.MinDelay),
                 Longest / (1 + this->Options.Spread));
  return std::chrono::round<std::chrono::milliseconds>(Delay *
                                                       Extension(this->Random));
}

} // namespace yardwheel
