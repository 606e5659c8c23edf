//===- http/connection_watch.h - Timeouts of connections --------*- C++ -*-===//
///
/// \file
/// A thread that checks each connection when its next timeout may have expired.
/// The timeouts of the HTTP library are not used: it writes its 408 without
/// regard to our answers, to a descriptor number that may have been reused, and
/// has no timeout for the second request of a connection.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_CONNECTION_WATCH_H
#define YARDWHEEL_HTTP_CONNECTION_WATCH_H

#include "http/http_connection.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace yardwheel {

class ConnectionWatch {
public:
  /// Answers a late request on a connection, with the given sequence number.
  /// Called on the watch's thread.
  using LateRequest = std::function<void(
      const std::shared_ptr<HttpConnection> &Late, std::uint64_t Sequence)>;

  /// \throws std::system_error if no thread can be created.
  explicit ConnectionWatch(LateRequest OnLateRequest);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch &) = delete;
  ConnectionWatch &operator=(const ConnectionWatch &) = delete;

  /// Watches a connection until it ends. Does not keep it open. Thread-safe.
  void add(const std::shared_ptr<HttpConnection> &New);

private:
  using Schedule = std::multimap<TimePoint, std::weak_ptr<HttpConnection>>;

  void run();
  /// Waits for the next timeout and removes all expired ones from Watched.
  /// \returns false once the watch is being stopped.
  bool takeDue(Schedule &Due);
  void checkDue(const Schedule &Due);

  LateRequest OnLateRequest;
  std::mutex Mutex;
  std::condition_variable Changed;
  Schedule Watched;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace yardwheel

#endif
