#include "entry/admission_rule.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

double AdmissionRule::rateOf(const RouteRate &Known, TimePoint Now) const {
  std::chrono::duration<double> Age = Now - Known.Updated;
  std::chrono::duration<double> Window = this->Options.RateWindow;
  return Known.Submissions * std::exp(-Age / Window);
}

Duration AdmissionRule::busiestRouteWait() const {
  double Sustained = std::clamp(
      this->RefusedShare / this->Options.SustainedRefusals, 0.0, 1.0);
  std::chrono::duration<double> Span =
      this->Options.BurstWait - this->Options.SustainedWait;
  return this->Options.BurstWait -
         std::chrono::duration_cast<Duration>(Sustained * Span);
}

bool AdmissionRule::isShortEnough(const RouteRate &Own, double BusiestRate,
                                  Duration ExpectedWait) const {
  double Factor = std::min(std::sqrt(BusiestRate / Own.Submissions),
                           this->Options.MaxWaitFactor);
  return ExpectedWait <= this->busiestRouteWait() * Factor;
}

bool AdmissionRule::admits(const std::string &Route, Duration ExpectedWait,
                           TimePoint Now) {
  RouteRate &Own = this->Routes[Route];
  Own.Submissions = this->rateOf(Own, Now) + 1;
  Own.Updated = Now;
  double Busiest = 0;
  double Total = 0;
  for (const auto &[Name, Known] : this->Routes) {
    double Rate = this->rateOf(Known, Now);
    Busiest = std::max(Busiest, Rate);
    Total += Rate;
  }
  bool IsTaken = this->isShortEnough(Own, Busiest, ExpectedWait);
  // Submissions expected in the window of refusals.
  double Window = std::chrono::duration<double>(this->Options.RefusalWindow) /
                  std::chrono::duration<double>(this->Options.RateWindow);
  double Weight = 1 / std::max(Total * Window, 1.0);
  this->RefusedShare += Weight * ((IsTaken ? 0.0 : 1.0) - this->RefusedShare);
  return IsTaken;
}

} // namespace yardwheel
