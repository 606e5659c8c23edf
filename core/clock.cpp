#include "core/clock.h"

#include "core/error.h"

#include <cerrno>
#include <cstring>
#include <ctime>

namespace yardwheel {

BootClock::time_point BootClock::now() {
  timespec Time{};
  if (clock_gettime(CLOCK_BOOTTIME, &Time) != 0)
    throw Error("clock", "CLOCK_BOOTTIME", std::strerror(errno));
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

Instant SystemClock::now() const {
  using namespace std::chrono;
  return {.Steady = time_point_cast<Duration>(BootClock::now()),
          .Wall = time_point_cast<milliseconds>(system_clock::now())};
}

Duration SystemClock::runTime() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch());
}

namespace {

/// \returns the processor time of a clock of this process, 0 if the host has no
/// such clock.
Duration processorTime(clockid_t Which) {
  timespec Time{};
  if (clock_gettime(Which, &Time) != 0)
    return Duration{0};
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

Duration SystemClock::threadTime() const {
  return processorTime(CLOCK_THREAD_CPUTIME_ID);
}

Duration SystemClock::processTime() const {
  return processorTime(CLOCK_PROCESS_CPUTIME_ID);
}

std::int64_t toUnixMillis(WallTime Time) {
  return Time.time_since_epoch().count();
}

WallTime fromUnixMillis(std::int64_t Millis) {
  return WallTime(std::chrono::milliseconds(Millis));
}

} // namespace yardwheel
