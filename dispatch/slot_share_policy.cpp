#include "dispatch/slot_share_policy.h"

namespace yardwheel {

std::optional<UpstreamIndex> SlotSharePolicy::choose(const UpstreamTable &Table,
                                                     std::mt19937_64 &Random) {
  return Table.byOwnFree().pickBest(Random);
}

} // namespace yardwheel
