//===- coordination/demand_meter.h - Demand of callers ----------*- C++ -*-===//
///
/// \file
/// How much processor time callers ask for, by route and callers' data centre:
/// the present demand, averaged over about a second, and the usual demand,
/// averaged over much longer than a burst lasts.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_DEMAND_METER_H
#define YARDWHEEL_COORDINATION_DEMAND_METER_H

#include "core/clock.h"
#include "dispatch/share_division.h"
#include "protocol/peer.pb.h"

#include <cstddef>
#include <vector>

namespace yardwheel {

/// The most pairs that one process reports, and that a sum contains.
constexpr std::size_t MaxReportedPairs = 16;

struct DemandMeterOptions {
  /// Time over which the present demand is averaged. Short, so that others do
  /// not wait long behind a burst.
  std::chrono::milliseconds PresentWindow{1000};
  /// Time over which the usual demand is averaged. Several times as long as a
  /// burst, which must not become usual while it lasts.
  std::chrono::milliseconds UsualWindow{60000};
  /// Maximum number of pairs; those with the least usual demand are dropped.
  std::size_t MaxPairs = 64;
};

class DemandMeter {
public:
  explicit DemandMeter(DemandMeterOptions Options) : Options(Options) {}

  /// Records work that was asked for, as processor time.
  void add(const DemandPair &Pair, double CoreMilliseconds, TimePoint Now);
  /// Returns the usual demand of each pair, as its guaranteed share, and the
  /// present one.
  ShareClaims claims(TimePoint Now) const;
  /// Returns the present demand of the pairs with the most.
  std::vector<peer::RouteDemand> report(TimePoint Now) const;
  std::size_t size() const { return this->Pairs.size(); }

private:
  struct Work {
    /// Recorded work, in core-milliseconds, that fades with each window.
    double Present = 0;
    double Usual = 0;
    TimePoint Updated;
  };
  /// Returns the part of earlier work that still counts.
  static double fading(std::chrono::milliseconds Window, TimePoint Since,
                       TimePoint Now);
  /// Converts faded work to thousandths of a core.
  double rate(double CoreMilliseconds, std::chrono::milliseconds Window,
              TimePoint Now) const;
  void dropSmallest(const DemandPair &Kept, TimePoint Now);

  DemandMeterOptions Options;
  std::map<DemandPair, Work> Pairs;
  TimePoint Started = TimePoint::min();
};

/// Reduces rows to the ones with the most demand, in the order of their pairs.
void keepLargest(std::vector<peer::RouteDemand> &Rows, std::size_t Count);

} // namespace yardwheel

#endif
