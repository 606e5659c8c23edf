//===- http/answer_flusher.h - Answers to slow readers ----------*- C++ -*-===//
///
/// \file
/// A thread that writes on the answers that did not fit into their
/// connections' buffers, as callers read them, so that no thread that decides
/// waits for a caller. It is started by the first such answer.
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

  /// Flushes the connection until all is written or it is gone; for any
  /// thread. Does not keep it open.
  /// \throws std::system_error if no thread or descriptor can be had.
  void add(const std::shared_ptr<HttpConnection> &Blocked);

private:
  using Line = std::weak_ptr<HttpConnection>;

  void start();
  void run();
  /// Waits until one of the connections takes more, or one is added.
  void wait(const std::vector<Line> &Lines) const;
  bool takeAdded(std::vector<Line> &Lines);
  static void flush(std::vector<Line> &Lines);

  std::mutex Mutex;
  std::vector<Line> Added;
  bool Stopping = false;
  int Wake = -1;
  std::thread Thread;
};

} // namespace yardwheel

#endif
