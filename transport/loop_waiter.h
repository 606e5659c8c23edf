//===- transport/loop_waiter.h - What an event loop waits with --*- C++ -*-===//
#ifndef YARDWHEEL_TRANSPORT_LOOP_WAITER_H
#define YARDWHEEL_TRANSPORT_LOOP_WAITER_H

#include "core/clock.h"

namespace yardwheel {

class LoopWaiter {
public:
  virtual ~LoopWaiter() = default;

  /// Waits for a while or until woken, or handles one event of its own. A host
  /// that is suspended meanwhile waits longer. \returns whether nothing came.
  virtual bool wait(Duration MaxWait) = 0;

  /// Ends the wait under way, or the next one; for any thread.
  virtual void wake() = 0;
};

} // namespace yardwheel

#endif
