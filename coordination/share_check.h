//===- coordination/share_check.h - Shares of a full pool -------*- C++ -*-===//
///
/// \file
/// Refuses jobs of those who ask for more than their share while the pool is
/// full.
///
/// Load pattern: one route, or the callers of one data centre, ask for twice
/// their usual work for some seconds. Without shares all jobs wait behind
/// theirs, and the jobs that are refused are those of whichever route earns
/// least.
///
/// While somebody is beyond its share, the others are refused only by a pool
/// that is far beyond full. While nobody is, and while the usual demand alone
/// exceeds the pool, the rule for an overloaded pool decides as it does without
/// shares.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_SHARE_CHECK_H
#define YARDWHEEL_COORDINATION_SHARE_CHECK_H

#include "coordination/admission_check.h"
#include "coordination/pool_demand.h"
#include "core/logger.h"

#include <map>
#include <memory>

namespace yardwheel {

struct ShareOptions {
  PoolDemandOptions Demand;
  /// Ratio of used to total capacity from which on the pool counts as full.
  double FullPressure = 1;
  /// The ratio from which on all jobs of those beyond their share are refused:
  /// others wait behind each of them.
  double MaxExceededPressure = 1.05;
  /// The ratio from which on jobs are refused although their callers are within
  /// their share.
  double MaxPressure = 2.2;
  /// Part of the capacity that is divided. The rest serves what exceeds its
  /// declared work, and lets the queues of a full pool empty.
  double DividedPart = 0.95;
  /// Demand beyond a share that is tolerated, as time at that share: the jobs
  /// of a pair do not arrive evenly.
  std::chrono::milliseconds Tolerance{1000};
  /// Whether this process takes its own usual demand as its share while it does
  /// not know the sums over all entries. Not for agents: what is delegated to
  /// them says nothing of callers.
  bool UsesOwnDemand = true;
};

class ShareCheck final : public AdmissionCheck {
public:
  /// \param Overload The rule for an overloaded pool.
  ShareCheck(const ShareOptions &Options,
             std::unique_ptr<AdmissionCheck> Overload)
      : Options(Options), Demand(Options.Demand),
        Overload(std::move(Overload)) {}

  void onSubmitted(const AdmissionQuery &Query, Instant Now) override;
  void onDelegated(const LeasedJobRequest &Request, Instant Now) override;
  std::optional<AdmissionRefusal> check(const AdmissionQuery &Query,
                                        Instant Now) override;

  /// Handles the demand over all entries, see PoolDemand.
  void onSums(const std::vector<peer::RouteDemand> &Sums, TimePoint Measured,
              Instant Now) {
    this->Demand.onSums(Sums, Measured, Now.Steady);
  }
  /// Returns the demand that this process reports to control.
  std::vector<peer::RouteDemand> report(Instant Now) {
    return this->Demand.report(Now.Steady);
  }
  /// Returns demand, share and refusals of the pairs with the most demand, as
  /// metrics.
  std::string text(Instant Now) const;

private:
  /// How a pool is divided at present.
  struct Division {
    ShareClaims Claims;
    /// What each pair may use, in multiples of its present demand.
    std::map<DemandPair, double> Factors;
    /// What the callers of this process may ask for at once beyond their share,
    /// in core-milliseconds.
    std::map<DemandPair, double> Tolerated;
    /// Whether a pair is beyond its share, and none must do without a part of
    /// its guaranteed one.
    bool IsExceeded = false;
    TimePoint Made = TimePoint::min();
  };
  /// What a pair has left at this process.
  struct Account {
    /// Work that it may still ask for beyond its share, in core-milliseconds;
    /// negative if it has asked for more.
    double Balance = 0;
    TimePoint Updated;
    std::uint64_t Refused = 0;
  };

  void record(const LeasedJobRequest &Request, Instant Now);
  const Division &divide(const AdmissionQuery &Query, TimePoint Now);
  Division makeDivision(const AdmissionQuery &Query, TimePoint Now) const;
  static double capacityOf(const WorkerTable &Workers, const std::string &Pool);
  Account &accountOf(const DemandPair &Pair, TimePoint Now);
  /// Returns the refusal of a job of a pair that is beyond its share.
  AdmissionRefusal refuse(Account &Own, const Division &Present,
                          const AdmissionQuery &Query, double Limit,
                          TimePoint Now);
  void logExceeded(const Division &Present, const AdmissionQuery &Query,
                   TimePoint Now);

  ShareOptions Options;
  Logger Log{"shares"};
  PoolDemand Demand;
  std::unique_ptr<AdmissionCheck> Overload;
  std::map<std::string, std::string> PoolOfRoute;
  std::map<std::string, Division> Divisions;
  std::map<DemandPair, Account> Accounts;
  TimePoint NextLog = TimePoint::min();
};

} // namespace yardwheel

#endif
