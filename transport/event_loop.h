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

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace yardwheel {

class EventLoop {
public:
  using Work = std::function<void(Instant)>;

  /// \param Tick Called every \p Interval. \param Flush Called after a round.
  EventLoop(const Clock &Source, std::chrono::milliseconds Interval, Work Tick,
            std::function<void()> Flush);
  ~EventLoop();

  /// Starts the thread; nothing runs before.
  void start();
  /// Ends the thread after the round under way.
  void stop();

  /// Queues work from any thread.
  void post(Work Item);

private:
  void run();

  const Clock &Source;
  std::chrono::milliseconds Interval;
  Work Tick;
  std::function<void()> Flush;
  std::mutex Mutex;
  std::condition_variable Wake;
  std::deque<Work> Items;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace yardwheel

#endif
