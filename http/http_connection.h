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

#include <cstdint>
#include <map>
#include <mutex>
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

/// For any thread.
class HttpConnection {
public:
  /// \param Descriptor Of the connection, which must be open during the call.
  explicit HttpConnection(int Descriptor);
  ~HttpConnection() { this->close(); }
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Takes a place among the answers on this connection, which leave in the
  /// order of their requests: a caller can tell them apart by nothing else.
  std::uint64_t expectAnswer();
  /// Writes the answer with that place, and those behind it that have waited
  /// for it.
  WriteState answer(std::uint64_t Place, std::string Text);
  /// Writes on what did not fit before.
  WriteState flush();
  /// Nothing is written after this returns.
  void close();
  /// The same, and the caller sees the connection end: what it waits for
  /// cannot come.
  void end();

  /// Whether the caller has not closed its connection, as far as is known
  /// here; costs a system call.
  bool hasCaller() const;
  /// To wait until more can be written; -1 once closed. The number may be
  /// somebody else's as soon as this returns: it must not be written to.
  int descriptor() const;

private:
  WriteState writeOut();
  void endLocked();
  void closeLocked();

  mutable std::mutex Mutex;
  int Own = -1;
  std::uint64_t NextPlace = 0;
  std::uint64_t NextToLeave = 0;
  /// Answers whose predecessors are not ready.
  std::map<std::uint64_t, std::string> Early;
  std::string Unwritten;
};

} // namespace yardwheel

#endif
