//===- tests/support/silent_proxy.h - Connections that go silent -*- C++ -*-=//
///
/// \file
/// A TCP proxy on loopback. On request, all open connections permanently stop
/// forwarding data in both directions without a reset; new connections work.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SUPPORT_SILENT_PROXY_H
#define YARDWHEEL_TESTS_SUPPORT_SILENT_PROXY_H

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace yardwheel {

class SilentProxy {
public:
  /// Forwards connections from \p Listen to \p Target, both "IP:PORT".
  /// \throws std::runtime_error if it cannot listen.
  SilentProxy(const std::string &Listen, std::string Target);
  ~SilentProxy();
  SilentProxy(const SilentProxy &) = delete;
  SilentProxy &operator=(const SilentProxy &) = delete;

  /// Silences all open connections; returns once this is in effect.
  void silence();
  /// Returns the number of connections accepted so far.
  int accepted() const { return this->Accepted.load(); }

private:
  struct Pair {
    int Client = -1;
    int Server = -1;
    bool Silent = false;
  };

  void run();
  void accept();
  /// Reads from \p From and forwards the data to \p To unless \p Silent.
  /// \returns false once \p From has closed.
  static bool pump(int From, int To, bool Silent);
  static void close(const Pair &Open);

  std::string Target;
  int Listener = -1;
  std::vector<Pair> Pairs;
  std::atomic<bool> SilenceRequested{false};
  std::atomic<bool> Stopping{false};
  std::atomic<int> Accepted{0};
  std::thread Thread;
};

} // namespace yardwheel

#endif
