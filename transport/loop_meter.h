//===- transport/loop_meter.h - Processor time of a loop's parts *- C++ -*-===//
///
/// \file
/// Estimates how much processor time a loop's thread spends on each part of its
/// rounds. Only one round of several is measured, as reading a thread's clock
/// costs a system call.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LOOP_METER_H
#define YARDWHEEL_TRANSPORT_LOOP_METER_H

#include "core/clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace yardwheel {

/// The parts of a round, in their order.
enum class LoopPart {
  /// Waiting for an event of a link, and handling it.
  Events,
  /// Work posted by other threads, for example callers' requests.
  Work,
  Tick,
  /// Sending the messages of the round.
  Flush
};

class LoopMeter {
public:
  explicit LoopMeter(const Clock &Source) : Source(Source) {}

  /// Begins a round. For the loop's thread, like endPart().
  void beginRound();
  /// Ends a part, which began at the end of the previous one.
  void endPart(LoopPart Part);

  /// Returns the estimated processor time of a part since the start.
  /// Thread-safe.
  Duration used(LoopPart Part) const;
  /// Returns the parts' times in Prometheus' text format. Thread-safe.
  std::string describe() const;

private:
  static constexpr std::size_t Parts = 4;

  const Clock &Source;
  std::uint64_t Rounds = 0;
  bool Measures = false;
  Duration PartBegan{0};
  std::array<std::atomic<std::int64_t>, Parts> Micros{};
};

} // namespace yardwheel

#endif
