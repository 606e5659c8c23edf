//===- transport/loop_waiter.h - Event loop wait interface ------*- C++ -*-===//
#ifndef YARDWHEEL_TRANSPORT_LOOP_WAITER_H
#define YARDWHEEL_TRANSPORT_LOOP_WAITER_H

#include "core/clock.h"

namespace yardwheel {

class LoopWaiter {
public:
  virtual ~LoopWaiter() = default;

  /// Waits for at most \p MaxWait, until wake(), or handles one event. Takes
  /// longer if the host is suspended. \returns true if the wait timed out.
  virtual bool wait(Duration MaxWait) = 0;

  /// Handles one event if there is one, without waiting. \returns true if none
  /// was found; there may be some that a further call finds.
  virtual bool poll() = 0;

  /// Returns the total time spent in wait() before an event came; 0 if it is
  /// not measured.
  virtual Duration waited() const { return Duration{0}; }

  /// Ends the current wait, or the next one. Thread-safe.
  virtual void wake() = 0;
};

} // namespace yardwheel

#endif
