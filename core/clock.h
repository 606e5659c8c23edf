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
#include <cstdint>

namespace yardwheel {

using Duration = std::chrono::microseconds;

/// The time since the host was started, which goes on while it is suspended.
/// All that is promised to other processes is measured by it: by a clock that
/// stands still meanwhile, a lease of before a suspension would look as young
/// as then, while others have been given what it was for.
class BootClock {
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name that the standard library asks for.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  /// \throws Error if the host has no such clock; there is none to take its
  /// place.
  static time_point now();
};

/// A point on the host's boot clock; means nothing elsewhere.
using TimePoint = std::chrono::time_point<BootClock, Duration>;
/// A point on the wall clock, comparable between hosts within an allowance.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Both clocks, read together.
struct Instant {
  /// Never steps back, and counts suspensions.
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
  /// For how long the host has run, suspensions left out. Only to tell a
  /// suspension from a process that stood still.
  virtual Duration runTime() const {
    return this->now().Steady.time_since_epoch();
  }
};

/// The host's own clocks.
class SystemClock final : public Clock {
public:
  Instant now() const override;
  Duration runTime() const override;
};

/// Converts a wall time to milliseconds since the Unix epoch.
std::int64_t toUnixMillis(WallTime Time);

/// Converts milliseconds since the Unix epoch to a wall time.
WallTime fromUnixMillis(std::int64_t Millis);

} // namespace yardwheel

#endif
