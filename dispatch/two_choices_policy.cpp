#include "dispatch/two_choices_policy.h"

namespace yardwheel {

std::optional<MinionIndex> TwoChoicesPolicy::choose(const MinionTable &Table,
                                                    std::mt19937_64 &Random) {
  const std::vector<MinionIndex> &Eligible = Table.eligible();
  if (Eligible.empty())
    return std::nullopt;
  MinionIndex First = Eligible[Random() % Eligible.size()];
  MinionIndex Second = Eligible[Random() % Eligible.size()];
  // Compares load per slot without a division.
  const Minion &A = Table.at(First);
  const Minion &B = Table.at(Second);
  return A.load() * B.Slots <= B.load() * A.Slots ? First : Second;
}

} // namespace yardwheel
