//===- tests/support/suspended_host.h - Suspended host ----------*- C++ -*-===//
///
/// \file
/// Simulates the clocks of a host that was suspended: CLOCK_BOOTTIME and the
/// time of day include the suspension, CLOCK_MONOTONIC does not. Replaces
/// clock_gettime in the programs that are linked with it.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SUPPORT_SUSPENDED_HOST_H
#define YARDWHEEL_TESTS_SUPPORT_SUSPENDED_HOST_H

#include <chrono>

namespace yardwheel {

/// Simulates a suspension of the host for \p Time.
void suspendHost(std::chrono::milliseconds Time);

/// Makes CLOCK_BOOTTIME unavailable, or available again.
void removeBootClock(bool Removed);

} // namespace yardwheel

#endif
