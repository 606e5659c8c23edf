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
  double LowestLimit = 1.3;
  /// The same for a route with hardly any work.
  double HighestLimit = 2.2;
  /// Time over which a route's work is averaged; longer than a burst, which
  /// must not make its own route the first to be shed.
  std::chrono::milliseconds Memory{20000};
};

class LoadShedder {
public:
  explicit LoadShedder(ShedderOptions Options) : Options(Options) {}

  /// A job of a route has been handed in. \param CoreMillis Its work.
  void onOffered(const std::string &Route, double CoreMillis, TimePoint Now);

  /// The share of taken room from which the route's jobs are refused.
  double limitFor(const std::string &Route, TimePoint Now) const;

private:
  struct Offered {
    double CoreMillis = 0;
    TimePoint Updated;
  };
  double loadOf(const Offered &Known, TimePoint Now) const;

  ShedderOptions Options;
  std::map<std::string, Offered> Routes;
};

} // namespace yardwheel

#endif
