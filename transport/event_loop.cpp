#include "transport/event_loop.h"

namespace yardwheel {

EventLoop::EventLoop(const Clock &Source, std::chrono::milliseconds Interval,
                     Work Tick, std::function<void()> Flush)
    : Source(Source), Interval(Interval), Tick(std::move(Tick)),
      Flush(std::move(Flush)) {}

EventLoop::~EventLoop() { this->stop(); }

void EventLoop::start() {
  this->Thread = std::thread([this] { this->run(); });
}

void EventLoop::stop() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Wake.notify_one();
  if (this->Thread.joinable())
    this->Thread.join();
}

void EventLoop::post(Work Item) {
  bool WasEmpty = false;
  {
    std::lock_guard Lock(this->Mutex);
    WasEmpty = this->Items.empty();
    this->Items.push_back(std::move(Item));
  }
  // The thread takes everything at once, so one call is enough.
  if (WasEmpty)
    this->Wake.notify_one();
}

void EventLoop::run() {
  auto NextTick = std::chrono::steady_clock::now();
  std::deque<Work> Round;
  while (true) {
    {
      std::unique_lock Lock(this->Mutex);
      this->Wake.wait_until(Lock, NextTick, [this] {
        return this->Stopping || !this->Items.empty();
      });
      if (this->Stopping)
        return;
      std::swap(Round, this->Items);
    }
    Instant Now = this->Source.now();
    for (Work &Item : Round)
      Item(Now);
    Round.clear();
    if (Now.Steady >= NextTick) {
      this->Tick(Now);
      NextTick = std::chrono::steady_clock::now() + this->Interval;
    }
    this->Flush();
  }
}

} // namespace yardwheel
