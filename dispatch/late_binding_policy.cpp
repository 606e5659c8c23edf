#include "dispatch/late_binding_policy.h"

namespace yardwheel {

namespace {

/// Maximum number of tasks that wait at an agent beyond its slots, so that a
/// slot that becomes free there is filled without a message delay.
constexpr std::uint32_t MaxQueuedAtAgent = 2;

} // namespace

std::optional<UpstreamIndex>
LateBindingPolicy::choose(const UpstreamTable &Table, std::mt19937_64 &Random) {
  std::optional<UpstreamIndex> Free = Table.byTotalFree().pickBest(Random);
  if (Free)
    return Free;
  return Table.shortestQueue(MaxQueuedAtAgent, Random);
}

} // namespace yardwheel
