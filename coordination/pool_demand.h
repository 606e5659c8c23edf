//===- coordination/pool_demand.h - Demand on all hosts ---------*- C++ -*-===//
///
/// \file
/// What the callers of all entries ask for, as far as this process knows: from
/// the sums that control passes on, or, where these are old, from the demand
/// that this process has seen itself.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_POOL_DEMAND_H
#define YARDWHEEL_COORDINATION_POOL_DEMAND_H

#include "coordination/demand_meter.h"

namespace yardwheel {

struct PoolDemandOptions {
  DemandMeterOptions Meter;
  /// Sums that were measured longer ago are ignored: this process may be cut
  /// off from control.
  std::chrono::milliseconds MaxSumAge{3000};
};

class PoolDemand {
public:
  explicit PoolDemand(PoolDemandOptions Options)
      : Options(Options), Own(Options.Meter), All(Options.Meter) {}

  /// Records work that callers of this process ask for.
  void add(const DemandPair &Pair, double CoreMilliseconds, TimePoint Now) {
    this->Own.add(Pair, CoreMilliseconds, Now);
  }
  /// \param Measured Time before which no part of the sums was measured.
  void onSums(const std::vector<peer::RouteDemand> &Sums, TimePoint Measured,
              TimePoint Now);

  /// Whether recent sums over all entries are known.
  bool knowsSums(TimePoint Now) const {
    return this->Measured != TimePoint::min() &&
           Now - this->Measured <= this->Options.MaxSumAge;
  }
  /// Returns the usual and the present demand over all entries. Must only be
  /// called while recent sums are known.
  ShareClaims claims(TimePoint Now) const;
  /// Returns the usual and the present demand at this process.
  ShareClaims ownClaims(TimePoint Now) const { return this->Own.claims(Now); }
  /// Returns the demand that this process reports to control.
  std::vector<peer::RouteDemand> report(TimePoint Now);

private:
  PoolDemandOptions Options;
  DemandMeter Own;
  /// The sums over time; only their usual demand is used.
  DemandMeter All;
  std::map<DemandPair, double> Sums;
  /// What this process has last reported, and the part of it that the sums are
  /// taken to contain.
  std::map<DemandPair, double> Reported;
  std::map<DemandPair, double> ReportedInSums;
  TimePoint Measured = TimePoint::min();
  TimePoint Received = TimePoint::min();
};

} // namespace yardwheel

#endif
