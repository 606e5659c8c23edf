//===- http/http_connection.h - Writes to one caller ------------*- C++ -*-===//
///
/// \file
/// The server's own hold on one caller's connection, by which answers are
/// written. It has a descriptor of its own: the HTTP library closes its one on
/// its own thread, and the number then names the next caller's connection, so
/// that answers written by that number reached other callers (5 of 21,079 on
/// loopback, half of the callers leaving before their answer).
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_HTTP_CONNECTION_H
#define YARDWHEEL_HTTP_HTTP_CONNECTION_H

#include "core/clock.h"
#include "http/request_age.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace yardwheel {

enum class WriteState {
  /// All is in the connection's buffer.
  Done,
  /// The rest has to be flushed once the connection takes more.
  Blocked,
  /// The connection is closed or broken; there is nobody to tell.
  Gone,
};

struct ConnectionTimeouts {
  /// From a request's first byte to its last, and from a new connection to its
  /// first request.
  Duration Request{};
  /// From an answer to the next request.
  Duration Idle{};
  /// After the last answer, until the caller has closed the connection.
  Duration Linger{};
};

/// What a look at a connection's timeouts has found.
struct TimeoutCheck {
  /// The place of the answer to a request that took too long to come: the
  /// connection's last.
  std::optional<std::uint64_t> LateRequest;
  /// When to look again; none once the connection has ended.
  std::optional<TimePoint> Next;
};

/// Makes the last close of a connection a reset, also once it is shut down. An
/// orderly end tells a caller nothing that still sends into a closed window.
void resetWhenClosed(int Descriptor);

/// For any thread.
class HttpConnection {
public:
  /// \param Descriptor Of the connection, which must be open during the call.
  HttpConnection(int Descriptor, const ConnectionTimeouts &Timeouts);
  ~HttpConnection() { this->close(); }
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Takes a place among the answers on this connection, which leave in the
  /// order of their requests: a caller can tell them apart by nothing else.
  /// \returns none if an answer before it is the last, and the request must not
  /// be handled.
  std::optional<std::uint64_t> expectAnswer();
  /// The same for the connection's last answer.
  std::optional<std::uint64_t> expectLastAnswer();
  /// Makes the answer with that place the connection's last, unless requests
  /// behind it have been taken.
  bool makeLast(std::uint64_t Place);
  /// Whether further requests are read.
  bool takesRequests() const;
  /// Answers that have not left.
  std::uint64_t pendingAnswers() const;

  /// Writes the answer with that place, and those behind it that have waited
  /// for it. After the last one the caller sees that no more will come. A
  /// caller that leaves too much unread is reset instead.
  WriteState answer(std::uint64_t Place, std::string Text);
  /// Writes what precedes the next request's answer, unless others are due.
  WriteState writeInterim(const std::string &Text);
  /// Writes on what did not fit before.
  WriteState flush();
  /// Nothing is written after this returns.
  void close();
  /// The same, and the caller sees the connection end: what it waits for
  /// cannot come.
  void end();
  /// Whether nothing can be written any more.
  bool hasEnded() const { return this->descriptor() < 0; }

  /// Notes what has been read: whether it ends within a request, and its size.
  void noteInput(std::size_t Bytes, bool InRequest);
  /// Ends the connection if its caller has taken too long.
  TimeoutCheck checkTimeouts();

  /// Whether the caller has not closed its connection, as far as is known
  /// here; costs a system call.
  bool hasCaller() const;
  /// For how long what was last read has been here; none where the host does
  /// not tell, or once closed; costs system calls.
  std::optional<RequestAge> inputAge() const;
  /// To wait until more can be written; -1 once closed. The number may be
  /// somebody else's as soon as this returns: it must not be written to.
  int descriptor() const;

private:
  std::optional<std::uint64_t> expectLocked();
  WriteState writeOut();
  void finishLocked();
  TimeoutCheck endFrom(TimePoint Limit, TimePoint Now);
  void endLocked();
  /// Ends the connection without regard to what is under way to its caller.
  void cutOffLocked();
  void closeLocked();

  mutable std::mutex Mutex;
  int Own = -1;
  const ConnectionTimeouts Timeouts;
  std::uint64_t NextPlace = 0;
  std::uint64_t NextToLeave = 0;
  std::optional<std::uint64_t> LastPlace;
  /// Answers whose predecessors are not ready.
  std::map<std::uint64_t, std::string> Early;
  std::string Unwritten;
  /// Since when the connection waits: for a first or next request, or for the
  /// rest of one.
  TimePoint WaitsSince;
  bool InRequest = false;
  /// Since when all has been written and the caller has to close.
  std::optional<TimePoint> FinishedAt;
  /// Read after the last request.
  std::size_t Discarded = 0;
};

} // namespace yardwheel

#endif
