//===- tests/support/silent_proxy.h - Connections that go silent -*- C++ -*-=//
///
/// \file
/// A TCP proxy on loopback. On demand, the connections that are open go silent
/// for good, both ways and without a reset, while new ones work.
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
  /// Forwards from one address to the other, both "IP:PORT". Fails the test
  /// that starts it, by an exception, if it cannot listen.
  SilentProxy(const std::string &Listen, std::string Target);
  ~SilentProxy();
  SilentProxy(const SilentProxy &) = delete;
  SilentProxy &operator=(const SilentProxy &) = delete;

  /// The connections open now carry nothing once this returns.
  void silence();
  /// Connections accepted so far.
  int accepted() const { return this->Accepted.load(); }

private:
  struct Pair {
    int Client = -1;
    int Server = -1;
    bool Silent = false;
  };

  void run();
  void accept();
  /// \returns false once either end has closed.
  static bool pump(int From, int To, bool Silent);
  static void close(const Pair &Open);

  std::string Target;
  int Listener = -1;
  std::vector<Pair> Pairs;
  std::atomic<bool> SilenceAsked{false};
  std::atomic<bool> Stopping{false};
  std::atomic<int> Accepted{0};
  std::thread Thread;
};

} // namespace yardwheel

#endif
