//===- review/second/holding_proxy.h - A proxy that delays ------*- C++ -*-===//
///
/// \file
/// Forwards TCP connections, and holds what the client sends for a while, as a
/// link that loses packets does. What the client has sent arrives even if the
/// client has closed its connection by then.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SECOND_HOLDING_PROXY_H
#define YARDWHEEL_REVIEW_SECOND_HOLDING_PROXY_H

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace yardwheel {

class HoldingProxy {
public:
  /// Forwards one connection after the other from \p Listen to \p Target, both
  /// "IP:PORT". \throws std::runtime_error if it cannot listen.
  HoldingProxy(const std::string &Listen, std::string Target,
               std::chrono::milliseconds Hold);
  ~HoldingProxy();
  HoldingProxy(const HoldingProxy &) = delete;
  HoldingProxy &operator=(const HoldingProxy &) = delete;

  /// Returns how many requests have been forwarded.
  int forwarded() const { return this->Forwarded.load(); }

private:
  void run();
  void forward(int Client);

  std::string Target;
  std::chrono::milliseconds Hold;
  int Listener = -1;
  std::atomic<int> Forwarded{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace yardwheel

#endif
