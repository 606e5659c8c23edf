#include "dispatch/two_choices_policy.h"

namespace yardwheel {

std::optional<UpstreamIndex>
TwoChoicesPolicy::choose(const UpstreamTable &Table, std::mt19937_64 &Random) {
  const std::vector<UpstreamIndex> &Eligible = Table.eligible();
  if (Eligible.empty())
    return std::nullopt;
  UpstreamIndex First = Eligible[Random() % Eligible.size()];
  UpstreamIndex Second = Eligible[Random() % Eligible.size()];
  // Compares the load per slot without a division.
  const Upstream &A = Table.at(First);
  const Upstream &B = Table.at(Second);
  return A.load() * B.Slots <= B.load() * A.Slots ? First : Second;
}

} // namespace yardwheel
