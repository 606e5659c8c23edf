#include "dispatch/round_robin_policy.h"

namespace yardwheel {

std::optional<UpstreamIndex>
RoundRobinPolicy::choose(const UpstreamTable &Table, std::mt19937_64 &) {
  const std::vector<UpstreamIndex> &Eligible = Table.eligible();
  if (Eligible.empty())
    return std::nullopt;
  this->Next = (this->Next + 1) % Eligible.size();
  return Eligible[this->Next];
}

} // namespace yardwheel
