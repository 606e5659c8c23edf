#include "dispatch/random_policy.h"

namespace yardwheel {

std::optional<MinionIndex> RandomPolicy::choose(const MinionTable &Table,
                                                std::mt19937_64 &Random) {
  const std::vector<MinionIndex> &Eligible = Table.eligible();
  if (Eligible.empty())
    return std::nullopt;
  return Eligible[Random() % Eligible.size()];
}

} // namespace yardwheel
