//===- entry/load_shedder.h - Load shedding by route ------------*- C++ -*-===//
///
/// \file
/// While upstreams are overloaded, every job that is accepted delays the
/// others, until most of them miss their objectives together. Jobs are
/// therefore refused immediately once the ratio of used to total capacity
/// exceeds a limit.
///
/// Without weights set by an operator, all routes have the same value. A route
/// that submits more work therefore earns less per core-second and gets a lower
/// limit: it is shed first.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_LOAD_SHEDDER_H
#define YARDWHEEL_ENTRY_LOAD_SHEDDER_H

#include "core/clock.h"

#include <map>
#include <string>

namespace yardwheel {

struct ShedderOptions {
  /// Ratio of used capacity (running or waiting) to total capacity at which the
  /// route with the most work is shed. Above 1, so that a few tasks wait while
  /// freed capacity is reassigned.
  double BusiestRouteLimit = 1.3;
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
};

class LoadShedder {
public:
  explicit LoadShedder(ShedderOptions Options) : Options(Options) {}

  /// Records a submitted job of a route. \param CoreMilliseconds Its work, as
  /// processor time.
  void onJobSubmitted(const std::string &Route, double CoreMilliseconds,
                      TimePoint Now);

  /// Records a sample of the ratio of used to total capacity.
  void onPressure(double Pressure, TimePoint Now);

  /// Returns the ratio of used to total capacity above which the route's jobs
  /// are refused.
  double limitFor(const std::string &Route, TimePoint Now) const;

private:
  struct RouteLoad {
    double CoreMilliseconds = 0;
    TimePoint Updated;
  };
  double loadOf(const RouteLoad &Known, TimePoint Now) const;

  /// Returns the limit of the route with the most work.
  double busiestRouteLimit() const;

  ShedderOptions Options;
  double AveragePressure = 0;
  TimePoint LastPressureSample;
  std::map<std::string, RouteLoad> Routes;
};

} // namespace yardwheel

#endif
