//===- entry/load_shedder.h - Which jobs to refuse under overload -*- C++ -*-=//
///
/// \file
/// While upstreams are short, every job that is taken delays others, and most
/// of them then miss their objectives together. So jobs are refused at once,
/// and truthfully, once the room that is taken passes a limit.
///
/// All routes count the same to an operator who has set no weights. A route
/// that offers more work therefore earns less for each core-second, and has a
/// lower limit: it is shed first.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_LOAD_SHEDDER_H
#define YARDWHEEL_ENTRY_LOAD_SHEDDER_H

#include "core/clock.h"

#include <map>
#include <string>

namespace yardwheel {

struct ShedderOptions {
  /// Taken room, running or waiting, over all room, at which the route with
  /// the most work is shed. Just above 1: a little waits while the rest of
  /// the room is handed on.
  double BusiestRouteLimit = 1.3;
  /// What that limit falls to while the workers stay full: a queue that lasts
  /// makes all jobs wait and none sooner done. Just above 1, where the room is
  /// always in use. With 70 workers at 1.08 times their room jobs earned 0.910
  /// of their credit in place of 0.875 (virtual time).
  double SustainedLimit = 1.1;
  /// Time over which the share of taken room is averaged to tell a queue that
  /// lasts from a burst, which is worth waiting out.
  std::chrono::milliseconds PressureWindow{1500};
  /// The same for a route with hardly any work.
  double MaxRouteLimit = 2.2;
  /// Time over which a route's work is averaged; longer than a burst, which
  /// must not make its own route the first to be shed.
  std::chrono::milliseconds LoadWindow{20000};
};

class LoadShedder {
public:
  explicit LoadShedder(ShedderOptions Options) : Options(Options) {}

  /// A job of a route has been handed in. \param CoreMillis Its work.
  void onOffered(const std::string &Route, double CoreMillis, TimePoint Now);

  /// The share of taken room has been looked at.
  void onPressure(double Pressure, TimePoint Now);

  /// The share of taken room from which the route's jobs are refused.
  double limitFor(const std::string &Route, TimePoint Now) const;

private:
  struct RouteLoad {
    double CoreMillis = 0;
    TimePoint Updated;
  };
  double loadOf(const RouteLoad &Known, TimePoint Now) const;

  /// The limit of the route with the most work.
  double busiestRouteLimit() const;

  ShedderOptions Options;
  double AveragePressure = 0;
  TimePoint PressureSeen;
  std::map<std::string, RouteLoad> Routes;
};

} // namespace yardwheel

#endif
