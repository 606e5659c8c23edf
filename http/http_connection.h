//===- http/http_connection.h - Connection of one caller --------*- C++ -*-===//
///
/// \file
/// The server's handle of a caller's connection, used to write answers. It
/// duplicates the descriptor: the HTTP library closes its own on its own
/// thread, and the number may then be reused for the next caller. Answers that
/// were written to such a number reached other callers (5 of 21,079 on
/// loopback, with half of the callers leaving before their answer).
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
  /// All data is in the connection's buffer.
  Done,
  /// The rest must be flushed once the connection is writable.
  Blocked,
  /// The connection is closed or broken; the caller cannot be reached.
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

/// The result of a check of a connection's timeouts.
struct TimeoutCheck {
  /// The sequence number of the answer to a request that took too long to
  /// arrive. It is the connection's last answer.
  std::optional<std::uint64_t> LateRequest;
  /// The time of the next check; none once the connection has ended.
  std::optional<TimePoint> Next;
};

/// Makes the final close of a connection send a reset, even after a shutdown. A
/// caller that still sends into a closed window does not notice a normal close.
void resetWhenClosed(int Descriptor);

/// Thread-safe.
class HttpConnection {
public:
  /// \param Descriptor The connection; must be open during the call.
  HttpConnection(int Descriptor, const ConnectionTimeouts &Timeouts);
  ~HttpConnection() { this->close(); }
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Reserves the next sequence number of the answers on this connection. They
  /// are sent in the order of their requests, since a caller matches them only
  /// by order. \returns none if an earlier answer is the last; the request must
  /// then not be handled.
  std::optional<std::uint64_t> reserveAnswer();
  /// The same, and makes the answer the connection's last.
  std::optional<std::uint64_t> reserveLastAnswer();
  /// Makes the answer with this sequence number the connection's last, unless
  /// later requests have been accepted. \returns whether it is.
  bool makeLast(std::uint64_t Sequence);
  /// Returns whether further requests are read.
  bool takesRequests() const;
  /// Returns the number of answers that are not yet ready to be sent.
  std::uint64_t pendingAnswers() const;

  /// Writes the answer with this sequence number, and later ones that waited
  /// for it. The sending side is shut down after the last answer. If the caller
  /// has left too much data unread, the connection is reset instead.
  WriteState answer(std::uint64_t Sequence, std::string Text);
  /// Writes an interim response, unless earlier answers are pending.
  WriteState writeInterim(const std::string &Text);
  /// Writes the data that did not fit before.
  WriteState flush();
  /// Releases the connection. Nothing is written after this returns.
  void close();
  /// The same, and shuts the connection down, so that the caller does not wait
  /// for answers that cannot come.
  void end();
  /// Returns whether the connection has been released.
  bool hasEnded() const { return this->descriptor() < 0; }

  /// Records input: its size, and whether it ends within a request.
  void noteInput(std::size_t Bytes, bool InRequest);
  /// Ends the connection if a timeout has expired.
  TimeoutCheck checkTimeouts();

  /// Returns whether the caller still has its connection open, as far as this
  /// host knows. Costs a system call.
  bool hasCaller() const;
  /// Returns the age of the last input; none if the host does not provide it or
  /// the connection is closed. Costs system calls.
  std::optional<RequestAge> inputAge() const;
  /// Returns the descriptor, only to poll for writability; -1 once closed. Do
  /// not write to it, as the number may be reused as soon as this returns.
  int descriptor() const;

private:
  std::optional<std::uint64_t> reserveLocked();
  WriteState writeOut();
  void finishLocked();
  TimeoutCheck endIfExpired(TimePoint Limit, TimePoint Now);
  void endLocked();
  /// Resets the connection; data in transit to the caller may be lost.
  void resetLocked();
  void closeLocked();

  mutable std::mutex Mutex;
  int OwnDescriptor = -1;
  const ConnectionTimeouts Timeouts;
  std::uint64_t NextSequence = 0;
  std::uint64_t NextToSend = 0;
  std::optional<std::uint64_t> LastSequence;
  /// Answers that wait for earlier ones.
  std::map<std::uint64_t, std::string> OutOfOrder;
  std::string Unwritten;
  /// The start of the current wait: for the first or next request, or for the
  /// rest of one.
  TimePoint WaitingSince;
  bool InRequest = false;
  /// When the last answer was written; the caller has to close after it.
  std::optional<TimePoint> FinishedAt;
  /// Bytes read after the last request.
  std::size_t Discarded = 0;
};

} // namespace yardwheel

#endif
