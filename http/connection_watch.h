//===- http/connection_watch.h - Timeouts of connections --------*- C++ -*-===//
///
/// \file
/// A thread that looks at each connection when its next timeout may have
/// passed. The HTTP library's own timeouts are not used: it writes its 408 past
/// our answers, by the number of a descriptor that may have been given on, and
/// knows of none in a connection's second request.
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
  /// \param Tell Answers a late request on a connection, at the place given;
  /// called on the watch's thread.
  using LateRequest = std::function<void(
      const std::shared_ptr<HttpConnection> &Late, std::uint64_t Place)>;

  /// \throws std::system_error if no thread can be had.
  explicit ConnectionWatch(LateRequest Tell);
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch &) = delete;
  ConnectionWatch &operator=(const ConnectionWatch &) = delete;

  /// Watches a connection until it ends, and does not keep it open; for any
  /// thread.
  void add(const std::shared_ptr<HttpConnection> &New);

private:
  using Lines = std::multimap<TimePoint, std::weak_ptr<HttpConnection>>;

  void run();
  /// Waits for the first timeout, and takes out all that have passed.
  /// \returns false once the watch ends.
  bool takeDue(Lines &Due);
  void look(const Lines &Due);

  LateRequest Tell;
  std::mutex Mutex;
  std::condition_variable Changed;
  Lines Watched;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace yardwheel

#endif
