//===- coordination/clock_stamp.h - Bounds of a peer's clock ----*- C++ -*-===//
///
/// \file
/// Leases count from stamps of the clock of the process that grants them. A
/// process that carries such a stamp may carry a newer one than it was told,
/// extrapolated by its own clock, as long as it stays a lower bound.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_CLOCK_STAMP_H
#define YARDWHEEL_COORDINATION_CLOCK_STAMP_H

#include "core/clock.h"

#include <cstdint>

namespace yardwheel {

/// A stamp older than this isn't extrapolated; the peer is probed for a new
/// one.
constexpr std::chrono::milliseconds MaxStampAge{5000};

/// Returns a lower bound of a peer's clock at \p When, in milliseconds.
/// \param Stamp The newest stamp of that clock; 0 if there is none.
/// \param Received When it was received, by this host's clock.
std::uint64_t extrapolateStamp(std::uint64_t Stamp, TimePoint Received,
                               TimePoint When);

} // namespace yardwheel

#endif
