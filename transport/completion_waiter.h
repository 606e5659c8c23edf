//===- transport/completion_waiter.h - Waits for gRPC -----------*- C++ -*-===//
///
/// \file
/// Lets the event loop's own thread read and write gRPC's connections. With
/// threads of the library's own, each message costs several hand-overs between
/// threads, which is most of a message's price on a small share of a core.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_COMPLETION_WAITER_H
#define YARDWHEEL_TRANSPORT_COMPLETION_WAITER_H

#include "transport/loop_waiter.h"

#include <atomic>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>
#include <memory>

namespace yardwheel {

/// Hears that an operation on a connection has ended. Given to gRPC as the
/// operation's tag.
class CompletionTag {
public:
  virtual ~CompletionTag() = default;
  /// \param Ok False if the connection has failed or the peer has ended it.
  virtual void onCompletion(bool Ok) = 0;
  /// The same while the queue ends: no further operation may begin.
  virtual void onShutDown() = 0;
};

class CompletionWaiter final : public LoopWaiter {
public:
  explicit CompletionWaiter(std::unique_ptr<grpc::CompletionQueue> Queue);
  ~CompletionWaiter() override { this->shutDown(); }
  CompletionWaiter(const CompletionWaiter &) = delete;
  CompletionWaiter &operator=(const CompletionWaiter &) = delete;

  bool wait(Duration MaxWait) override;
  void wake() override;
  /// Ends all operations. No loop may wait any more, and what uses the queue
  /// must have been shut down or let go.
  void shutDown();

  grpc::CompletionQueue &queue() { return *this->Queue; }

private:
  /// Returned by a wake.
  class WakeTag final : public CompletionTag {
  public:
    void onCompletion(bool) override { this->Pending.store(false); }
    void onShutDown() override {}
    std::atomic<bool> Pending{false};
  };

  std::unique_ptr<grpc::CompletionQueue> Queue;
  WakeTag WakeUp;
  grpc::Alarm Alarm;
  bool IsShutDown = false;
};

} // namespace yardwheel

#endif
