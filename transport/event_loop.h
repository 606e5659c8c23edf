//===- transport/event_loop.h - The decision thread -------------*- C++ -*-===//
///
/// \file
/// The single thread that runs a process's decision code. Other threads post
/// work to it; it also ticks at a fixed interval. It flushes after each round,
/// so that messages of one round are sent together without further delay.
///
/// Events come before posted work: a message mostly completes what was begun
/// earlier, and posted work mostly begins something new. A loop that is short
/// of time and does the new work first completes nothing in time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_EVENT_LOOP_H
#define YARDWHEEL_TRANSPORT_EVENT_LOOP_H

#include "core/clock.h"
#include "core/logger.h"
#include "transport/loop_meter.h"
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

  /// \param Waiter Used to wait; the events that it handles run on the loop's
  /// thread. \param Tick Called every \p Interval. \param Flush Called after
  /// each round.
  EventLoop(const Clock &Source, LoopWaiter &Waiter,
            std::chrono::milliseconds Interval, Work Tick,
            std::function<void()> Flush);
  ~EventLoop();

  /// Starts the thread. Nothing runs before.
  void start();
  /// Stops the thread after the current round.
  void stop();

  /// Queues work, which is done in the order in which it was posted.
  /// Thread-safe.
  void post(Work Item);
  /// Returns how long work that is posted now is expected to wait. Thread-safe.
  Duration expectedWait() const;

  /// Returns the number of posted items that wait. Thread-safe.
  std::size_t workWaiting() const;

  /// Returns when the loop last had nothing left to do. Thread-safe.
  TimePoint lastIdle() const { return this->LastIdle.load(); }
  /// Returns when the loop last began a round. Thread-safe.
  TimePoint lastRound() const { return this->LastRoundAt.load(); }
  /// Returns the last time that the loop was behind, that is, had not been idle
  /// for too long. Its own delay must not be taken for a delay of its peers.
  TimePoint lastBehind() const;
  /// Returns the earliest time at which the input read now may have arrived:
  /// the last idle time before the loop fell behind. Returned until shortly
  /// after it has caught up; nullopt if input is read as it arrives.
  std::optional<TimePoint> backlogSince() const;
  /// Returns the maximum time that the host was suspended after \p When. Other
  /// clocks of the host may not include this time.
  Duration suspendedSince(TimePoint When) const;
  /// Returns the number of detected suspensions of the host. Thread-safe.
  std::uint64_t suspensions() const { return this->Suspensions.load(); }
  /// Returns the total time in which the loop was behind. Thread-safe.
  Duration behindTime() const { return Duration(this->BehindMicros.load()); }
  const LoopMeter &meter() const { return this->Meter; }
  /// Returns the total time in which the loop waited for events. For the loop's
  /// thread only.
  Duration waitedTime() const { return this->Waiter.waited(); }

private:
  /// A period in which the loop was never idle.
  struct Stall {
    TimePoint Since = TimePoint::min();
    TimePoint Until = TimePoint::min();
    /// The part in which the host was suspended.
    Duration Suspended{0};
  };

  struct Posted {
    TimePoint At;
    Work Item;
  };

  void run();
  /// Handles events, or waits for one for at most \p MaxWait if no work is
  /// posted. \returns whether posted work may be done now.
  bool handleEvents(Duration MaxWait);
  /// Returns whether no event is left, after the last poll has found none.
  bool isEveryEventHandled();
  /// Removes the oldest work if \p MayWork. \returns false if the loop is to
  /// stop.
  bool takeWork(bool MayWork, TimePoint Now, Work &Item);
  /// Returns whether the thread may wait, as no work is left.
  bool beginWait();

  const Clock &Source;
  LoopWaiter &Waiter;
  std::chrono::milliseconds Interval;
  Work Tick;
  std::function<void()> Flush;
  mutable std::mutex Mutex;
  std::deque<Posted> Items;
  bool Stopping = false;
  /// Whether the thread may wait, and has to be woken for work.
  bool MayWait = false;
  /// Notes that all input that came before \p UpTo has been handled.
  void noteIdle(TimePoint UpTo, TimePoint Now);
  /// Does so if no work is left, or none that has waited for long.
  void noteIdleIfCaughtUp(TimePoint Now);
  /// Returns the last stall, which may still be in progress.
  Stall lastStall(TimePoint Now) const;
  /// Logs and counts a suspension of the host. The process handles it like any
  /// other stall; it is distinguished only for the readers of the log.
  void noteSuspension(TimePoint Now);
  /// Logs that this process has stalled, for example because it was frozen or
  /// got no CPU time. Its knowledge of its peers is older by that time.
  void noteStall(TimePoint Now);

  Logger Log{"loop"};
  /// Events handled while posted work waited.
  std::uint32_t EventsBeforeWork = 0;
  TimePoint NextIdleCheck = TimePoint::min();
  /// Whether the last look for events found none.
  bool NoEventLeft = false;
  /// When work was last taken that left other work behind; guarded by Mutex,
  /// like the next one.
  std::optional<TimePoint> LastTaken;
  /// The mean time from taking work to taking the next, while some waits.
  Duration WorkInterval{0};
  TimePoint LastRound;
  Duration LastRunTime{0};
  LoopMeter Meter;
  std::atomic<std::uint64_t> Suspensions{0};
  std::atomic<std::int64_t> BehindMicros{0};
  std::atomic<TimePoint> LastIdle;
  std::atomic<TimePoint> LastRoundAt;
  std::atomic<TimePoint> LastBehind{TimePoint::min()};
  /// LastStall and IdleRunTime are guarded by Mutex.
  Stall LastStall;
  Duration IdleRunTime{0};
  std::thread Thread;
};

} // namespace yardwheel

#endif
