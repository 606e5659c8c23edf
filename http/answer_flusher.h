//===- http/answer_flusher.h - Flushes answers to slow readers --*- C++ -*-===//
///
/// \file
/// A thread that writes the rest of answers that did not fit into their
/// connections' buffers, as fast as callers read them, so that no decision
/// thread waits for a caller. It is started by the first such answer.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_ANSWER_FLUSHER_H
#define YARDWHEEL_HTTP_ANSWER_FLUSHER_H

#include "http/http_connection.h"

#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace yardwheel {

class AnswerFlusher {
public:
  AnswerFlusher() = default;
  ~AnswerFlusher();
  AnswerFlusher(const AnswerFlusher &) = delete;
  AnswerFlusher &operator=(const AnswerFlusher &) = delete;

  /// Flushes the connection until all is written or it is closed. Does not
  /// keep it open. Thread-safe.
  /// \throws std::system_error if no thread or descriptor can be created.
  void add(const std::shared_ptr<HttpConnection> &Blocked);

private:
  using WeakConnection = std::weak_ptr<HttpConnection>;

  void start();
  void run();
  /// Waits until a connection is writable or one is added.
  void wait(const std::vector<WeakConnection> &Connections) const;
  bool takeAdded(std::vector<WeakConnection> &Connections);
  static void flush(std::vector<WeakConnection> &Connections);

  std::mutex Mutex;
  std::vector<WeakConnection> Added;
  bool Stopping = false;
  int Wake = -1;
  std::thread Thread;
};

} // namespace yardwheel

#endif
