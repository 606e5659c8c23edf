//===- tests/system/soak_connection.h - A caller's connection ---*- C++ -*-===//
///
/// \file
/// An HTTP connection that is kept between requests, and never sends a request
/// a second time by itself: whether and when to is its caller's decision.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_CONNECTION_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_CONNECTION_H

#include <chrono>
#include <string>

namespace yardwheel {

enum class ReplyKind {
  Answered,
  /// The connection could not be opened: nothing was sent.
  Refused,
  /// The connection ended before a whole answer.
  Broken,
  /// There was none in time.
  Missing,
  /// Something else than an answer came.
  Malformed,
};

struct SoakReply {
  ReplyKind Kind = ReplyKind::Refused;
  int Status = 0;
  std::string Body;
  std::chrono::milliseconds RetryAfter{0};
  std::chrono::steady_clock::time_point SentAt;
  std::chrono::steady_clock::time_point EndedAt;
};

class SoakConnection {
public:
  /// \param Address "IP:PORT".
  explicit SoakConnection(std::string Address) : Address(std::move(Address)) {}
  ~SoakConnection() { this->close(); }
  SoakConnection(const SoakConnection &) = delete;
  SoakConnection &operator=(const SoakConnection &) = delete;

  /// Sends a POST and waits for its answer. The connection stays open unless
  /// the server ends it or there is no whole answer.
  SoakReply post(const std::string &Host, const std::string &Path,
                 const std::string &Body, std::chrono::milliseconds Deadline);

private:
  bool open();
  void close();
  /// Whether the server has ended the connection.
  bool isStale() const;
  /// What the server has sent since its last answer.
  std::string unasked() const;
  void readAnswer(SoakReply &Reply,
                  std::chrono::steady_clock::time_point Until);
  /// \returns whether the answer is whole.
  bool parse(const std::string &Text, SoakReply &Reply);

  std::string Address;
  int Socket = -1;
};

} // namespace yardwheel

#endif
