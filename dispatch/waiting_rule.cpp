#include "dispatch/waiting_rule.h"

#include <cmath>

namespace yardwheel {

bool WaitingRule::waitsForOffers(std::chrono::milliseconds Slack,
                                 std::size_t Workers) const {
  bool Urgent = Slack.count() > 0 && Slack < this->Options.MaxUrgentSlack;
  return Urgent && this->usesOffers(Workers);
}

std::chrono::milliseconds
WaitingRule::offerWaitTime(std::chrono::milliseconds Slack) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Slack * this->Options.OfferWaitFraction);
}

std::size_t WaitingRule::workersToQuery(std::size_t Tasks) const {
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(Tasks) * this->Options.WorkersPerTask));
}

} // namespace yardwheel
