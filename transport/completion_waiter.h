//===- transport/completion_waiter.h - Polls a gRPC queue -------*- C++ -*-===//
///
/// \file
/// Lets the event loop's thread drive gRPC's connections. With separate gRPC
/// threads, each message would need several thread switches, which are most of
/// the cost of a message on a small share of a core.
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

/// Is notified when an operation on a connection has completed. Passed to gRPC
/// as the operation's tag.
class CompletionTag {
public:
  virtual ~CompletionTag() = default;
  /// \param Ok False if the connection has failed or the peer has closed it.
  virtual void onCompletion(bool Ok) = 0;
  /// The same during the queue's shutdown: no new operation may be started.
  virtual void onShutDown() = 0;
};

class CompletionWaiter final : public LoopWaiter {
public:
  explicit CompletionWaiter(std::unique_ptr<grpc::CompletionQueue> Queue);
  ~CompletionWaiter() override { this->shutDown(); }
  CompletionWaiter(const CompletionWaiter &) = delete;
  CompletionWaiter &operator=(const CompletionWaiter &) = delete;

  bool wait(Duration MaxWait) override;
  bool poll() override;
  Duration waited() const override { return this->Waited; }
  void wake() override;
  /// Completes all operations. No loop may be waiting, and all users of the
  /// queue must have been shut down or released.
  void shutDown();

  grpc::CompletionQueue &queue() { return *this->Queue; }

private:
  /// The tag of a wake-up.
  class WakeTag final : public CompletionTag {
  public:
    void onCompletion(bool) override { this->Pending.store(false); }
    void onShutDown() override {}
    std::atomic<bool> Pending{false};
  };

  /// Waits for an event until \p Deadline. \returns null if none came.
  CompletionTag *next(gpr_timespec Deadline, bool &Ok);

  std::unique_ptr<grpc::CompletionQueue> Queue;
  Duration Waited{0};
  WakeTag WakeUp;
  grpc::Alarm Alarm;
  bool IsShutDown = false;
};

} // namespace yardwheel

#endif
