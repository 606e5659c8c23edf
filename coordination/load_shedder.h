//===- coordination/load_shedder.h - Load shedding by route -----*- C++ -*-===//
///
/// \file
/// While upstreams are overloaded, every job that is accepted delays the
/// others, until most of them miss their objectives together. Jobs are
/// therefore refused immediately once the ratio of used to total capacity
/// exceeds a limit.
///
/// A route that earns less per core-second gets a lower limit: it is shed
/// first. An operator may state these values by queue priority. Otherwise all
/// routes are taken to earn the same in total, so that one that submits more
/// work earns less per core-second. That fails for a load in which the route
/// with the most work is also worth the most.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_LOAD_SHEDDER_H
#define YARDWHEEL_COORDINATION_LOAD_SHEDDER_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace yardwheel {

struct ShedderOptions {
  /// Ratio of used capacity (running or waiting) to total capacity at which the
  /// route that earns least per core-second is shed. Above 1, so that a few
  /// tasks wait while freed capacity is reassigned.
  double CheapestRouteLimit = 1.3;
  /// Value to which that limit falls while the workers stay full: a persistent
  /// queue makes all jobs wait and none finish sooner. Just above 1, where the
  /// capacity is always in use.
  double SustainedLimit = 1.1;
  /// Time over which the ratio of used to total capacity is averaged to tell a
  /// persistent queue from a burst, which is worth waiting out.
  std::chrono::milliseconds PressureWindow{1500};
  /// Limit of a route with hardly any work.
  double MaxRouteLimit = 2.2;
  /// Time over which a route's work is averaged. Longer than a burst, so that a
  /// burst doesn't make its own route the first to be shed.
  std::chrono::milliseconds LoadWindow{20000};
  /// What a core-second of a route earns, by its queue priority, in any unit.
  /// Used only while each of the loaded routes has a value.
  std::map<std::uint32_t, double> Values;
};

class LoadShedder {
public:
  explicit LoadShedder(ShedderOptions Options) : Options(std::move(Options)) {}

  /// Records a submitted job of a route. \param Priority The priority of the
  /// route's queue. \param CoreMilliseconds Its work, as processor time.
  void onJobSubmitted(const std::string &Route, std::uint32_t Priority,
                      double CoreMilliseconds, TimePoint Now);

  /// Records a sample of the ratio of used to total capacity.
  void onPressure(double Pressure, TimePoint Now);

  /// Returns the ratio of used to total capacity above which the route's jobs
  /// are refused.
  double limitFor(const std::string &Route, TimePoint Now) const;

private:
  struct RouteLoad {
    std::uint32_t Priority = 0;
    double CoreMilliseconds = 0;
    TimePoint Updated;
  };
  double loadOf(const RouteLoad &Known, TimePoint Now) const;
  /// Returns how much more a core-second of a route earns than one of the
  /// loaded route that earns least, or nothing if it has no load.
  std::optional<double> relativeValue(const RouteLoad &Target,
                                      TimePoint Now) const;

  /// Returns the limit of the route that earns least.
  double cheapestRouteLimit() const;

  ShedderOptions Options;
  double AveragePressure = 0;
  TimePoint LastPressureSample;
  std::map<std::string, RouteLoad> Routes;
};

} // namespace yardwheel

#endif
