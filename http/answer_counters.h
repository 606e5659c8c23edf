//===- http/answer_counters.h - Answers that have left ----------*- C++ -*-===//
///
/// \file
/// Counts the answers of a server by status where they are written. What
/// callers count and what is counted here differ by answers that were lost or
/// reached somebody else, which no log of a decision can show.
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

/// For any thread.
class AnswerCounters {
public:
  /// A request has been read and needs an answer.
  void countRequest() { ++this->Unanswered; }
  /// A request has its answer, or can get none any more.
  void countSettled() { --this->Unanswered; }
  void countAnswered(int Status);
  /// An answer whose caller had closed its connection before.
  void countWithoutCaller() { ++this->WithoutCaller; }
  /// An answer that did not fit into its connection's buffer at once.
  void countBlocked() { ++this->Blocked; }

  std::uint64_t answered(int Status) const;
  /// Requests read so far that still need an answer.
  std::uint64_t unanswered() const { return this->Unanswered.load(); }
  std::uint64_t withoutCaller() const { return this->WithoutCaller.load(); }
  std::uint64_t blocked() const { return this->Blocked.load(); }

  /// Lines of a metrics page; only statuses that were answered with.
  std::string describe() const;

private:
  /// Status codes have three digits, of which the first is at most 5.
  static constexpr std::size_t StatusLimit = 600;
  std::array<std::atomic<std::uint64_t>, StatusLimit> ByStatus{};
  std::atomic<std::uint64_t> Unanswered{0};
  std::atomic<std::uint64_t> WithoutCaller{0};
  std::atomic<std::uint64_t> Blocked{0};
};

} // namespace yardwheel

#endif
