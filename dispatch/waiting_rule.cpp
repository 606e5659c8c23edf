#include "dispatch/waiting_rule.h"

#include <cmath>

namespace yardwheel {

bool WaitingRule::waitsForOffers(std::chrono::milliseconds Slack,
                                 std::size_t Workers) const {
  bool Urgent = Slack.count() > 0 && Slack < this->Options.UrgentBelow;
  return Urgent && this->usesOffers(Workers);
}

std::chrono::milliseconds
WaitingRule::offersFor(std::chrono::milliseconds Slack) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Slack * this->Options.WaitShare);
}

std::size_t WaitingRule::workersToAsk(std::size_t Tasks) const {
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(Tasks) * this->Options.WorkersPerTask));
}

} // namespace yardwheel
