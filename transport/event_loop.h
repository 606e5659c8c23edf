//===- transport/event_loop.h - The thread that decides ---------*- C++ -*-===//
///
/// \file
/// One thread that owns a process's decision code. Other threads post work to
/// it; it also ticks at a fixed interval. After each round it flushes, so
/// that messages made in one round travel together without waiting for more.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_EVENT_LOOP_H
#define YARDWHEEL_TRANSPORT_EVENT_LOOP_H

#include "core/clock.h"
#include "core/logger.h"
#include "transport/loop_waiter.h"

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace yardwheel {

class EventLoop {
public:
  using Work = std::function<void(Instant)>;

  /// \param Waiter What the loop waits with; what it reads itself is handled
  /// on the loop's thread. \param Tick Called every \p Interval. \param Flush
  /// Called after a round.
  EventLoop(const Clock &Source, LoopWaiter &Waiter,
            std::chrono::milliseconds Interval, Work Tick,
            std::function<void()> Flush);
  ~EventLoop();

  /// Starts the thread; nothing runs before.
  void start();
  /// Ends the thread after the round under way.
  void stop();

  /// Queues work from any thread.
  void post(Work Item);

  /// When the loop last had nothing left to do, for any thread.
  TimePoint lastIdle() const { return this->LastIdle.load(); }
  /// Until when the loop last was behind: without an idle moment for too long.
  /// Its own lateness must not be taken for that of others.
  TimePoint lastBehind() const;
  /// Since when what this process reads now may have come: from the last idle
  /// moment before the loop was behind, until shortly after. None if it is
  /// read as it comes.
  std::optional<TimePoint> backlogSince() const;
  /// For how long the host was suspended after that moment, at most: clocks
  /// that the host keeps may leave this out.
  Duration suspendedSince(TimePoint When) const;
  /// How often the host was seen to have been suspended; for any thread.
  std::uint64_t suspensions() const { return this->Suspensions.load(); }

private:
  /// A time without an idle moment.
  struct Stall {
    TimePoint Since = TimePoint::min();
    TimePoint Until = TimePoint::min();
    /// Of it, while the host was suspended.
    Duration Suspended{0};
  };

  void run();
  bool takeRound(std::deque<Work> &Round);

  const Clock &Source;
  LoopWaiter &Waiter;
  std::chrono::milliseconds Interval;
  Work Tick;
  std::function<void()> Flush;
  mutable std::mutex Mutex;
  std::deque<Work> Items;
  bool Stopping = false;
  void noteIdle(TimePoint Now);
  /// With the pause under way, if there is one.
  Stall lastStall(TimePoint Now) const;
  /// A suspension takes the way of any other time in which this process stood
  /// still; it is only told apart for whoever reads the log.
  void noteSuspension(TimePoint Now);
  /// Logs that this process stood still, as a frozen one or one without
  /// processor time does: what it knows of others is that much older.
  void noteStall(TimePoint Now);

  Logger Log{"loop"};
  TimePoint LastRound;
  Duration LastRunTime{0};
  std::atomic<std::uint64_t> Suspensions{0};
  std::atomic<TimePoint> LastIdle;
  std::atomic<TimePoint> LastBehind{TimePoint::min()};
  /// Both under the lock.
  Stall LastStall;
  Duration IdleRunTime{0};
  std::thread Thread;
};

} // namespace yardwheel

#endif
