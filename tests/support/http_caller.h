//===- tests/support/http_caller.h - HTTP client on raw sockets -*- C++ -*-===//
///
/// \file
/// A client of an HTTP server on loopback. It sends arbitrary bytes in
/// arbitrary pieces and reads the raw bytes of the connection.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SUPPORT_HTTP_CALLER_H
#define YARDWHEEL_TESTS_SUPPORT_HTTP_CALLER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unistd.h>
#include <utility>

namespace yardwheel {

/// Default time that a caller waits for data or the end of a connection.
constexpr std::chrono::milliseconds CallerReadTimeout{5000};

/// Owns a file descriptor and closes it.
class Descriptor {
public:
  explicit Descriptor(int Number) : Number(Number) {}
  ~Descriptor() { this->close(); }
  Descriptor(Descriptor &&Other) noexcept
      : Number(std::exchange(Other.Number, -1)) {}
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  int number() const { return this->Number; }
  void close() {
    if (this->Number >= 0)
      ::close(std::exchange(this->Number, -1));
  }

private:
  int Number;
};

/// Returns a loopback port on which nothing listens at present.
std::uint16_t freeHttpPort();

/// A caller's connection. The socket is created before it connects.
class Caller {
public:
  explicit Caller(std::uint16_t Port);

  void connect();
  /// \returns whether all of \p Text was sent.
  bool send(const std::string &Text);
  /// Sends until the server's receive window is closed and no more data is
  /// accepted.
  void fill();
  /// Sends a GET request with keep-alive.
  void ask(const std::string &Path);
  void leave() { this->Socket.close(); }
  /// Closes the sending direction only.
  void finishSending();
  /// Aborts the connection with a TCP reset.
  void reset();

  /// Reads until \p Length bytes have arrived, the connection ends, or nothing
  /// arrives for \p Wait.
  std::string read(std::size_t Length,
                   std::chrono::milliseconds Wait = CallerReadTimeout);
  /// Returns whether the server closes the connection within \p Wait.
  bool seesEnd(std::chrono::milliseconds Wait = CallerReadTimeout);
  /// Returns whether the server resets the connection within \p Wait.
  bool isReset(std::chrono::milliseconds Wait = CallerReadTimeout);
  /// Reads a complete response: its header and a body of Content-Length bytes.
  std::string readAnswer();

private:
  Descriptor Socket;
  std::uint16_t Port;
};

} // namespace yardwheel

#endif
