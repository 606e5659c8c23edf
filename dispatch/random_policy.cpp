#include "dispatch/random_policy.h"

namespace yardwheel {

std::optional<UpstreamIndex> RandomPolicy::choose(const UpstreamTable &Table,
                                                  std::mt19937_64 &Random) {
  const std::vector<UpstreamIndex> &Eligible = Table.eligible();
  if (Eligible.empty())
    return std::nullopt;
  return Eligible[Random() % Eligible.size()];
}

} // namespace yardwheel
