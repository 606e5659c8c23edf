//===- core/processor_meter.h - Share of a processor in use -----*- C++ -*-===//
///
/// \file
/// Measures which share of its permitted processor time a process uses.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_PROCESSOR_METER_H
#define YARDWHEEL_CORE_PROCESSOR_METER_H

#include "core/clock.h"

namespace yardwheel {

class ProcessorMeter {
public:
  /// \param Limit Processors that the process may use; 0 if there is no limit,
  /// in which case the share is taken of one processor.
  explicit ProcessorMeter(double Limit) : Limit(Limit > 0 ? Limit : 1) {}

  /// Whether the next sample is due. Reading the processor time costs a system
  /// call.
  bool isDue(TimePoint Now) const { return Now >= this->NextSample; }
  /// Records the processor time used since the start of the process.
  void sample(Duration Used, TimePoint Now);
  /// Returns the used share of the permitted time, averaged over the last
  /// samples. Above 1 if the process has used more.
  double share() const { return this->Share; }

private:
  double Limit;
  double Share = 0;
  bool HasSample = false;
  Duration LastUsed{0};
  TimePoint LastSample;
  TimePoint NextSample = TimePoint::min();
};

} // namespace yardwheel

#endif
