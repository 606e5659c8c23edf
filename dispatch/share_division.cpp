#include "dispatch/share_division.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace yardwheel {

namespace {

struct WeightedClaim {
  double Weight;
  double Demand;
  /// The level from which on the demand is met.
  double level() const { return this->Demand / this->Weight; }
};

double weightOf(const ShareClaim &Claim) {
  return std::max(Claim.Guaranteed, MinGuaranteedShare);
}

/// Returns the level at which the claims together use the room.
double findLevel(std::vector<WeightedClaim> Claims, double Room) {
  std::ranges::stable_sort(Claims, {}, &WeightedClaim::level);
  double Weight = 0;
  for (const WeightedClaim &Claim : Claims)
    Weight += Claim.Weight;
  double Left = std::max(Room, 0.0);
  for (const WeightedClaim &Claim : Claims) {
    if (Claim.level() * Weight > Left)
      return Left / Weight;
    Left -= Claim.Demand;
    Weight -= Claim.Weight;
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace

ShareDivision divideRoom(const ShareClaims &Claims, double Room) {
  std::vector<WeightedClaim> Weighted;
  for (const auto &[Pair, Claim] : Claims)
    Weighted.push_back({weightOf(Claim), std::max(Claim.Demand, 0.0)});
  ShareDivision Result;
  Result.Level = findLevel(std::move(Weighted), Room);
  for (const auto &[Pair, Claim] : Claims)
    Result.Shares[Pair] =
        std::min(std::max(Claim.Demand, 0.0), Result.Level * weightOf(Claim));
  return Result;
}

} // namespace yardwheel
