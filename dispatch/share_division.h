//===- dispatch/share_division.h - Shares of a full pool --------*- C++ -*-===//
///
/// \file
/// Divides the room of a pool among the pairs of route and callers' data centre
/// that ask for it.
///
/// Load pattern: a route, or the callers of a data centre, ask for twice their
/// usual work for some seconds, and together with the others for more than
/// there is. Those who ask for no more than usual are served in full.
///
/// The rule is weighted max-min fairness. A pair's weight is its guaranteed
/// share. What pairs leave unused is lent to those that ask for more, in
/// proportion to their weights. The rule has no state, so that what is lent is
/// given back as soon as its owner asks for it.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_SHARE_DIVISION_H
#define YARDWHEEL_DISPATCH_SHARE_DIVISION_H

#include <map>
#include <string>
#include <tuple>

namespace yardwheel {

/// Jobs of one route whose callers are in one data centre.
struct DemandPair {
  std::string Route;
  std::string DataCentre;
  bool operator==(const DemandPair &Other) const = default;
  bool operator<(const DemandPair &Other) const {
    return std::tie(this->Route, this->DataCentre) <
           std::tie(Other.Route, Other.DataCentre);
  }
};

/// What a pair asks for, in thousandths of a core.
struct ShareClaim {
  double Guaranteed = 0;
  double Demand = 0;
};

using ShareClaims = std::map<DemandPair, ShareClaim>;

struct ShareDivision {
  /// What each pair may use, in thousandths of a core: never more than its
  /// demand.
  std::map<DemandPair, double> Shares;
  /// What each pair could use if it asked for any amount, in multiples of its
  /// guaranteed share; infinite if there is room for everybody.
  double Level = 0;
};

/// Guaranteed share, in thousandths of a core, of a pair that has none of its
/// own. A route that was not used lately gets some room at once.
constexpr double MinGuaranteedShare = 100;

/// Divides \p Room, in thousandths of a core.
ShareDivision divideRoom(const ShareClaims &Claims, double Room);

} // namespace yardwheel

#endif
