#include "http/connection_watch.h"

#include <algorithm>
#include <utility>

namespace yardwheel {

namespace {

/// The minimum time between two checks, as each wakes the process.
constexpr Duration MinCheckInterval = std::chrono::milliseconds(500);

/// The maximum time between two checks of a connection, so that closed ones are
/// soon removed.
constexpr Duration MaxCheckInterval = std::chrono::seconds(5);

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(BootClock::now());
}

} // namespace

ConnectionWatch::ConnectionWatch(LateRequest OnLateRequest)
    : OnLateRequest(std::move(OnLateRequest)), Thread([this] { this->run(); }) {
}

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
  this->Watched.emplace(std::min(*First, now() + MaxCheckInterval), New);
  if (WasEmpty)
    this->Changed.notify_all();
}

void ConnectionWatch::run() {
  Schedule Due;
  while (this->takeDue(Due)) {
    this->checkDue(Due);
    Due.clear();
  }
}

bool ConnectionWatch::takeDue(Schedule &Due) {
  std::unique_lock Lock(this->Mutex);
  this->Changed.wait(
      Lock, [this] { return this->Stopping || !this->Watched.empty(); });
  if (!this->Stopping) {
    Duration Wait = this->Watched.begin()->first - now();
    this->Changed.wait_for(Lock, std::max(Wait, MinCheckInterval),
                           [this] { return this->Stopping; });
  }
  auto Later = this->Watched.upper_bound(now());
  while (this->Watched.begin() != Later)
    Due.insert(this->Watched.extract(this->Watched.begin()));
  return !this->Stopping;
}

void ConnectionWatch::checkDue(const Schedule &Due) {
  Schedule Next;
  for (const auto &[Time, Watching] : Due) {
    std::shared_ptr<HttpConnection> Open = Watching.lock();
    if (!Open)
      continue;
    TimeoutCheck Found = Open->checkTimeouts();
    if (Found.LateRequest)
      this->OnLateRequest(Open, *Found.LateRequest);
    if (Found.Next)
      Next.emplace(std::min(*Found.Next, now() + MaxCheckInterval), Open);
  }
  std::lock_guard Lock(this->Mutex);
  this->Watched.merge(Next);
}

} // namespace yardwheel
