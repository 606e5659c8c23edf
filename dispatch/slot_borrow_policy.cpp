#include "dispatch/slot_borrow_policy.h"

namespace yardwheel {

namespace {

/// Tasks that may wait at an agent beyond its slots, as far as is known, so
/// that a slot that falls free there is taken without a message's delay.
/// More of them start later than at the upstream that falls free first.
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
