//===- core/busy_meter.h - Share of time that a loop is busy ----*- C++ -*-===//
///
/// \file
/// Measures in which share of the time an event loop does not wait for events.
/// Where the host limits a process's processor time, the time for which the
/// process is held back counts as busy, so no limit needs to be known.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_BUSY_METER_H
#define YARDWHEEL_CORE_BUSY_METER_H

#include "core/clock.h"

namespace yardwheel {

class BusyMeter {
public:
  /// Records the time for which the loop has waited since its start.
  void sample(Duration Waited, TimePoint Now);
  /// Returns the share of the time in which the loop was busy, from 0 to 1,
  /// averaged over the last samples.
  double share() const { return this->Share; }

private:
  double Share = 0;
  bool HasSample = false;
  Duration LastWaited{0};
  TimePoint LastSample;
  TimePoint NextSample = TimePoint::min();
};

} // namespace yardwheel

#endif
