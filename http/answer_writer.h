//===- http/answer_writer.h - Writes and counts answers ---------*- C++ -*-===//
///
/// \file
/// Writes the answers of a server to their connections and counts them.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_ANSWER_WRITER_H
#define YARDWHEEL_HTTP_ANSWER_WRITER_H

#include "http/answer_counters.h"
#include "http/answer_flusher.h"
#include "http/http_connection.h"
#include "http/http_message.h"

#include <cstdint>
#include <memory>

namespace yardwheel {

/// Thread-safe.
class AnswerWriter {
public:
  /// Writes the answer with this sequence number, now or as its caller reads.
  /// \param Open May be null if the connection has ended.
  void write(const std::shared_ptr<HttpConnection> &Open,
             std::uint64_t Sequence, const HttpAnswer &Answer,
             const AnswerForm &Form);
  /// Writes an answer made by the server itself, the last on its connection.
  void writeLast(const std::shared_ptr<HttpConnection> &Open,
                 std::uint64_t Sequence, const HttpAnswer &Answer);

  AnswerCounters &counters() { return this->Counters; }

private:
  void finishLater(const std::shared_ptr<HttpConnection> &Open);

  AnswerCounters Counters;
  AnswerFlusher Flusher;
};

} // namespace yardwheel

#endif
