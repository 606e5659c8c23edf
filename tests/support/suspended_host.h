//===- tests/support/suspended_host.h - A host that was suspended *- C++
//-*-===//
///
/// \file
/// Lets this process see the clocks of a host that was suspended:
/// CLOCK_BOOTTIME and the time of day have gone on, CLOCK_MONOTONIC has not.
/// Takes the place of clock_gettime in the programs that are linked with it.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SUPPORT_SUSPENDED_HOST_H
#define YARDWHEEL_TESTS_SUPPORT_SUSPENDED_HOST_H

#include <chrono>

namespace yardwheel {

/// The host was suspended for \p Time just now.
void suspendHost(std::chrono::milliseconds Time);

/// From now on the host has no CLOCK_BOOTTIME, or has it again.
void removeBootClock(bool Removed);

} // namespace yardwheel

#endif
