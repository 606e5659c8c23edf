//===- http/answer_counters.h - Counts of written answers -------*- C++ -*-===//
///
/// \file
/// Counts the answers of a server by status when they are written. The counts
/// of the callers differ by the answers that were lost or reached another
/// caller, which no decision log can show.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_ANSWER_COUNTERS_H
#define YARDWHEEL_HTTP_ANSWER_COUNTERS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace yardwheel {

/// Thread-safe.
class AnswerCounters {
public:
  /// Counts a request that has been read and needs an answer.
  void countRequest() { ++this->Unanswered; }
  /// Counts a request that has its answer or can no longer get one.
  void countSettled() { --this->Unanswered; }
  void countAnswered(int Status);
  /// Counts an answer whose caller had already closed its connection.
  void countWithoutCaller() { ++this->WithoutCaller; }
  /// Counts an answer that did not fit into its connection's buffer at once.
  void countBlocked() { ++this->Blocked; }

  std::uint64_t answered(int Status) const;
  /// Returns the number of requests that still need an answer.
  std::uint64_t unanswered() const { return this->Unanswered.load(); }
  std::uint64_t withoutCaller() const { return this->WithoutCaller.load(); }
  std::uint64_t blocked() const { return this->Blocked.load(); }

  /// Returns metrics in Prometheus' text format, without unused statuses.
  std::string describe() const;

private:
  /// Status codes have three digits, and the first is at most 5.
  static constexpr std::size_t StatusLimit = 600;
  std::array<std::atomic<std::uint64_t>, StatusLimit> ByStatus{};
  std::atomic<std::uint64_t> Unanswered{0};
  std::atomic<std::uint64_t> WithoutCaller{0};
  std::atomic<std::uint64_t> Blocked{0};
};

} // namespace yardwheel

#endif
