#include "dispatch/round_robin_policy.h"

namespace yardwheel {

std::optional<MinionIndex> RoundRobinPolicy::choose(const MinionTable &Table,
                                                    std::mt19937_64 &) {
  const std::vector<MinionIndex> &Eligible = Table.eligible();
  if (Eligible.empty())
    return std::nullopt;
  this->Next = (this->Next + 1) % Eligible.size();
  return Eligible[this->Next];
}

} // namespace yardwheel
