#include "coordination/pool_demand.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Interval at which sums usually arrive.
constexpr std::chrono::milliseconds SumInterval{500};
/// The longest time for which one sum counts towards the usual demand. What was
/// asked for in a longer gap is not known.
constexpr std::chrono::milliseconds MaxSumInterval{1000};

} // namespace

void PoolDemand::onSums(const std::vector<peer::RouteDemand> &NewSums,
                        TimePoint NewMeasured, TimePoint Now) {
  if (NewMeasured <= this->Measured)
    return;
  Duration Passed = SumInterval;
  if (this->Received != TimePoint::min())
    Passed = std::min<Duration>(Now - this->Received, MaxSumInterval);
  this->Measured = NewMeasured;
  this->Received = Now;
  this->ReportedInSums = this->Reported;
  this->Sums.clear();
  double Seconds = std::chrono::duration<double>(Passed).count();
  for (const peer::RouteDemand &Row : NewSums) {
    DemandPair Pair{Row.route(), Row.data_centre()};
    this->Sums[Pair] = Row.cpu_milli();
    this->All.add(Pair, Row.cpu_milli() * Seconds, Now);
  }
}

std::vector<peer::RouteDemand> PoolDemand::report(TimePoint Now) {
  std::vector<peer::RouteDemand> Rows = this->Own.report(Now);
  this->Reported.clear();
  for (const peer::RouteDemand &Row : Rows)
    this->Reported[{Row.route(), Row.data_centre()}] = Row.cpu_milli();
  return Rows;
}

ShareClaims PoolDemand::claims(TimePoint Now) const {
  ShareClaims Claims = this->All.claims(Now);
  for (auto &[Pair, Claim] : Claims) {
    auto Present = this->Sums.find(Pair);
    Claim.Demand = Present == this->Sums.end() ? 0 : Present->second;
  }
  // What this process sees itself is newer than its part of the sums. A process
  // that reports nothing has no part in them.
  if (this->ReportedInSums.empty())
    return Claims;
  for (const auto &[Pair, Own] : this->Own.claims(Now)) {
    auto Part = this->ReportedInSums.find(Pair);
    double Change =
        Own.Demand - (Part == this->ReportedInSums.end() ? 0 : Part->second);
    ShareClaim &Claim = Claims[Pair];
    Claim.Demand = std::max(Claim.Demand + Change, Own.Demand);
  }
  return Claims;
}

} // namespace yardwheel
