//===- core/clock.h - Time types and the clock interface --------*- C++ -*-===//
///
/// \file
/// The time types of the decision code. Only the daemon's outer layer reads a
/// clock; other code is given time points, so that tests run in virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_CLOCK_H
#define YARDWHEEL_CORE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace yardwheel {

using Duration = std::chrono::microseconds;

/// The time since the host was booted, including time spent suspended.
/// Everything promised to other processes is measured by it. On a clock that
/// stops during a suspension, a lease taken before would still look valid
/// afterwards, although its resource may have been given to another process.
class BootClock {
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name is required by the standard library.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  /// \throws Error if the host has no such clock. No other clock can be used
  /// instead.
  static time_point now();
};

/// A point on the host's boot clock; has no meaning on other hosts.
using TimePoint = std::chrono::time_point<BootClock, Duration>;
/// A point on the wall clock; comparable between hosts within an allowance.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A reading of both clocks.
struct Instant {
  /// Monotonic; includes time spent suspended.
  TimePoint Steady;
  WallTime Wall;
};

/// Returns the whole milliseconds from \p From to \p To.
inline std::int64_t millisBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(To - From)
      .count();
}

/// The time source of the daemon's outer layer.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Instant now() const = 0;
  /// The time that the host has run, without suspensions. Used only to tell a
  /// suspended host from a stalled process.
  virtual Duration runTime() const {
    return this->now().Steady.time_since_epoch();
  }
  /// The processor time of the calling thread, and of the whole process.
  virtual Duration threadTime() const { return Duration{0}; }
  virtual Duration processTime() const { return Duration{0}; }
};

/// The host's own clocks.
class SystemClock final : public Clock {
public:
  Instant now() const override;
  Duration runTime() const override;
  Duration threadTime() const override;
  Duration processTime() const override;
};

/// Converts a wall time to milliseconds since the Unix epoch.
std::int64_t toUnixMillis(WallTime Time);

/// Converts milliseconds since the Unix epoch to a wall time.
WallTime fromUnixMillis(std::int64_t Millis);

} // namespace yardwheel

#endif
