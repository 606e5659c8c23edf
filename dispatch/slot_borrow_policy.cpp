#include "dispatch/slot_borrow_policy.h"

namespace yardwheel {

namespace {

/// Maximum number of tasks expected to wait at an agent beyond its slots, so
/// that a slot that becomes free there is filled without a message delay.
/// Further tasks would start later than on the upstream that becomes free
/// first.
constexpr std::uint32_t MaxQueuedAtAgent = 1;

} // namespace

std::optional<UpstreamIndex>
SlotBorrowPolicy::choose(const UpstreamTable &Table, std::mt19937_64 &Random) {
  if (std::optional<UpstreamIndex> Own = Table.byOwnFree().pickBest(Random))
    return Own;
  if (std::optional<UpstreamIndex> Free = Table.byTotalFree().pickBest(Random))
    return Free;
  return Table.shortestQueue(MaxQueuedAtAgent, Random);
}

} // namespace yardwheel
