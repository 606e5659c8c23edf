#include "dispatch/slot_borrow_policy.h"

namespace yardwheel {

std::optional<MinionIndex> SlotBorrowPolicy::choose(const MinionTable &Table,
                                                    std::mt19937_64 &Random) {
  std::optional<MinionIndex> Own = Table.byOwnFree().pickBest(Random);
  if (Own)
    return Own;
  return Table.byTotalFree().pickBest(Random);
}

} // namespace yardwheel
