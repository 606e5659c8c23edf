//===- core/input_progress.h - How far input has been read ------*- C++ -*-===//
#ifndef YARDWHEEL_CORE_INPUT_PROGRESS_H
#define YARDWHEEL_CORE_INPUT_PROGRESS_H

#include "core/clock.h"

namespace yardwheel {

/// How far a process has read its input.
struct InputProgress {
  /// When nothing was left to read.
  TimePoint LastIdle;
  /// Until when it did not keep up.
  TimePoint LastBehind = TimePoint::min();
};

/// Whether a process reads its input at \p Now, and did since \p Watched, when
/// it was last looked at; the least time if it never was.
/// \param MaxGap After so long without reading all, news may lie unread.
inline bool keepsUp(TimePoint Now, TimePoint Watched, TimePoint LastIdle,
                    std::chrono::milliseconds MaxGap) {
  // A process that wakes may look idle before it has read anything; that it
  // was not watched meanwhile gives it away.
  return Watched != TimePoint::min() && Now - Watched <= MaxGap &&
         Now - LastIdle <= MaxGap;
}

} // namespace yardwheel

#endif
