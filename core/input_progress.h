//===- core/input_progress.h - Whether input is read in time ----*- C++ -*-===//
#ifndef YARDWHEEL_CORE_INPUT_PROGRESS_H
#define YARDWHEEL_CORE_INPUT_PROGRESS_H

#include "core/clock.h"

namespace yardwheel {

/// How well a process keeps up with its input.
struct InputProgress {
  /// The last time that no input was left to read.
  TimePoint LastIdle;
  /// The end of the last period in which the process was behind.
  TimePoint LastBehind = TimePoint::min();
};

/// Returns whether a process keeps up with its input at \p Now and has done so
/// since \p Watched, the time of the last check (TimePoint::min() if none).
/// \param MaxGap After a longer gap, new messages may still be unread.
inline bool keepsUpWithInput(TimePoint Now, TimePoint Watched,
                             TimePoint LastIdle,
                             std::chrono::milliseconds MaxGap) {
  // A process that has just been resumed may look idle before it has read
  // anything. The long time since the last check shows that it was not running.
  return Watched != TimePoint::min() && Now - Watched <= MaxGap &&
         Now - LastIdle <= MaxGap;
}

} // namespace yardwheel

#endif
