//===- core/clock.h - Time types and the clock interface --------*- C++ -*-===//
///
/// \file
/// Time as the decision code sees it. Nothing outside of the daemon's shell
/// reads a clock: time points are handed in, so tests run in virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_CLOCK_H
#define YARDWHEEL_CORE_CLOCK_H

#include <chrono>

namespace yardwheel {

using Duration = std::chrono::microseconds;
/// A point on the process's monotonic clock; means nothing elsewhere.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// A point on the wall clock, comparable between hosts within an allowance.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Both clocks, read together.
struct Instant {
  TimePoint Steady;
  WallTime Wall;
};

/// Whole milliseconds from one point to a later one, for logs and messages.
inline std::int64_t millisBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(To - From)
      .count();
}

/// Source of time for the daemon's shell.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
};

/// The host's own clocks.
class SystemClock final : public Clock {
public:
  Instant now() const override;
};

/// Converts a wall time to milliseconds since the Unix epoch.
std::int64_t toUnixMillis(WallTime Time);

/// Converts milliseconds since the Unix epoch to a wall time.
WallTime fromUnixMillis(std::int64_t Millis);

} // namespace yardwheel

#endif
