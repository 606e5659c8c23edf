//===- agent/start_order.h - Order of waiting tasks -------------*- C++ -*-===//
///
/// \file
/// Decides in which order the tasks that wait at an agent start.
///
/// Load pattern: a class of long jobs arrives at a multiple of its usual rate
/// for some seconds, while short urgent jobs go on. All workers are full. By
/// latest start alone, the long tasks that have waited for most of their slack
/// go before the short ones, which then miss their objectives too.
///
/// Among the tasks that can still be in time, those of a more urgent queue
/// therefore start first, and those of one priority by their latest start.
/// Tasks that cannot be in time come after those that can. Running tasks are
/// not stopped for urgent ones.
///
/// Uses no clock.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_START_ORDER_H
#define YARDWHEEL_AGENT_START_ORDER_H

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace yardwheel {

struct StartOrderOptions {
  /// How long a task is passed over for more urgent ones at most. About the
  /// time that a short job has to spare: urgent tasks that waited when it was
  /// first passed over have started by then or are late.
  std::chrono::milliseconds MaxPassedOver{90};
};

/// What the order of a waiting task depends on.
struct WaitingTask {
  /// Priority of the task's queue; 0 comes first.
  std::uint32_t Priority = 0;
  /// Latest start with which the task still meets its objective.
  TimePoint StartBy;
  /// When a more urgent task was first started although this one has the
  /// earlier latest start; TimePoint::max() if none was.
  TimePoint PassedOverSince = TimePoint::max();

  bool isLate(TimePoint Now) const { return this->StartBy < Now; }
};

class StartOrder {
public:
  explicit StartOrder(StartOrderOptions Options) : Options(Options) {}

  /// Whether \p Left starts before \p Right. A strict weak ordering.
  bool precedes(const WaitingTask &Left, const WaitingTask &Right,
                TimePoint Now) const;
  /// Records that \p Started has been started while \p Waiting goes on waiting.
  void noteStarted(const WaitingTask &Started, WaitingTask &Waiting,
                   TimePoint Now) const;

private:
  /// Returns the priority by which a task is ordered now.
  std::uint32_t priorityOf(const WaitingTask &Waiting, TimePoint Now) const;

  StartOrderOptions Options;
};

} // namespace yardwheel

#endif
