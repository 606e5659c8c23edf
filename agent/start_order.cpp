#include "agent/start_order.h"

#include <tuple>

namespace yardwheel {

std::uint32_t StartOrder::priorityOf(const WaitingTask &Waiting,
                                     TimePoint Now) const {
  bool HasYielded =
      Waiting.PassedOverSince != TimePoint::max() &&
      Now - Waiting.PassedOverSince >= this->Options.MaxPassedOver;
  // The most urgent priority, so that only the latest start counts.
  return HasYielded ? 0 : Waiting.Priority;
}

bool StartOrder::precedes(const WaitingTask &Left, const WaitingTask &Right,
                          TimePoint Now) const {
  auto KeyOf = [&](const WaitingTask &Waiting) {
    return std::tuple(Waiting.isLate(Now), this->priorityOf(Waiting, Now),
                      Waiting.StartBy);
  };
  return KeyOf(Left) < KeyOf(Right);
}

void StartOrder::noteStarted(const WaitingTask &Started, WaitingTask &Waiting,
                             TimePoint Now) const {
  bool IsPassedOver =
      Started.Priority < Waiting.Priority && Waiting.StartBy < Started.StartBy;
  if (IsPassedOver && Waiting.PassedOverSince == TimePoint::max())
    Waiting.PassedOverSince = Now;
}

} // namespace yardwheel
