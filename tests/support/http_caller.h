//===- tests/support/http_caller.h - A caller on a plain socket -*- C++ -*-===//
///
/// \file
/// A caller of an HTTP server on loopback that sends whatever bytes a test
/// wants, in whatever pieces, and sees what a connection really carries.
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

/// For how long a caller waits for what has to come.
constexpr std::chrono::milliseconds CallerPatience{5000};

/// A descriptor that the test owns.
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

/// A port of loopback on which nobody listens now.
std::uint16_t freeHttpPort();

/// A caller's connection, whose descriptor exists before it connects.
class Caller {
public:
  explicit Caller(std::uint16_t Port);

  void connect();
  /// \returns whether all could be sent.
  bool send(const std::string &Text);
  /// Sends until the server's window is closed and nothing more is taken.
  void fill();
  /// Sends a GET that asks to keep the connection.
  void ask(const std::string &Path);
  void leave() { this->Line.close(); }
  /// Closes the sending side only.
  void finishSending();
  /// Ends the connection without the usual farewell.
  void reset();

  /// What comes until \p Length bytes, the end, or nothing for \p Wait.
  std::string read(std::size_t Length,
                   std::chrono::milliseconds Wait = CallerPatience);
  /// Whether the server ends the connection in time.
  bool seesEnd(std::chrono::milliseconds Wait = CallerPatience);
  /// Whether the server resets the connection in time.
  bool isReset(std::chrono::milliseconds Wait = CallerPatience);
  /// A whole answer: its head and as many bytes as that names.
  std::string readAnswer();

private:
  Descriptor Line;
  std::uint16_t Port;
};

} // namespace yardwheel

#endif
