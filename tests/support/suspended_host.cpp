#include "tests/support/suspended_host.h"

#include <atomic>
#include <cerrno>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> SuspendedNanos{0};
std::atomic<bool> NoBootClock{false};

} // namespace

namespace yardwheel {

void suspendHost(std::chrono::milliseconds Time) {
  SuspendedNanos += std::chrono::nanoseconds(Time).count();
}

void removeBootClock(bool Removed) { NoBootClock.store(Removed); }

} // namespace yardwheel

extern "C" int clock_gettime(clockid_t Clock, timespec *Time) noexcept {
  constexpr std::int64_t NanosPerSecond = 1000000000;
  if (Clock == CLOCK_BOOTTIME && NoBootClock.load()) {
    errno = EINVAL;
    return -1;
  }
  long Result = syscall(SYS_clock_gettime, Clock, Time);
  if (Result == 0 && (Clock == CLOCK_BOOTTIME || Clock == CLOCK_REALTIME)) {
    std::int64_t Nanos = Time->tv_nsec + SuspendedNanos.load();
    Time->tv_sec += Nanos / NanosPerSecond;
    Time->tv_nsec = Nanos % NanosPerSecond;
  }
  return static_cast<int>(Result);
}
