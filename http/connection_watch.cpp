#include "http/connection_watch.h"

#include <algorithm>
#include <utility>

namespace yardwheel {

namespace {

/// Between two looks: each wakes the process.
constexpr Duration LookEvery = std::chrono::milliseconds(500);

/// Until a connection is looked at again, so that those that have been closed
/// meanwhile are not remembered for long.
constexpr Duration LookWithin = std::chrono::seconds(5);

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(BootClock::now());
}

} // namespace

ConnectionWatch::ConnectionWatch(LateRequest Tell)
    : Tell(std::move(Tell)), Thread([this] { this->run(); }) {}

ConnectionWatch::~ConnectionWatch() {
  {
    std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  this->Thread.join();
}

void ConnectionWatch::add(const std::shared_ptr<HttpConnection> &New) {
  std::optional<TimePoint> First = New->checkTimeouts().Next;
  if (!First)
    return;
  std::lock_guard Lock(this->Mutex);
  bool WasEmpty = this->Watched.empty();
  this->Watched.emplace(std::min(*First, now() + LookWithin), New);
  if (WasEmpty)
    this->Changed.notify_all();
}

void ConnectionWatch::run() {
  Lines Due;
  while (this->takeDue(Due)) {
    this->look(Due);
    Due.clear();
  }
}

bool ConnectionWatch::takeDue(Lines &Due) {
  std::unique_lock Lock(this->Mutex);
  this->Changed.wait(
      Lock, [this] { return this->Stopping || !this->Watched.empty(); });
  if (!this->Stopping) {
    Duration Wait = this->Watched.begin()->first - now();
    this->Changed.wait_for(Lock, std::max(Wait, LookEvery),
                           [this] { return this->Stopping; });
  }
  auto Later = this->Watched.upper_bound(now());
  while (this->Watched.begin() != Later)
    Due.insert(this->Watched.extract(this->Watched.begin()));
  return !this->Stopping;
}

void ConnectionWatch::look(const Lines &Due) {
  Lines Next;
  for (const auto &[Time, Line] : Due) {
    std::shared_ptr<HttpConnection> Open = Line.lock();
    if (!Open)
      continue;
    TimeoutCheck Found = Open->checkTimeouts();
    if (Found.LateRequest)
      this->Tell(Open, *Found.LateRequest);
    if (Found.Next)
      Next.emplace(std::min(*Found.Next, now() + LookWithin), Open);
  }
  std::lock_guard Lock(this->Mutex);
  this->Watched.merge(Next);
}

} // namespace yardwheel
