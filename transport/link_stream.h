//===- transport/link_stream.h - Outgoing stream to a peer ------*- C++ -*-===//
///
/// \file
/// A gRPC stream that this process opens to one peer, driven by the event
/// loop's thread. It ends at the first failure and is not reopened; its owner
/// creates a new one.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_STREAM_H
#define YARDWHEEL_TRANSPORT_LINK_STREAM_H

#include "transport/completion_waiter.h"
#include "transport/envelope_stream.h"

#include <deque>
#include <memory>
#include <string>

namespace yardwheel {

class LinkStream final : public EnvelopeStream,
                         public std::enable_shared_from_this<LinkStream> {
public:
  LinkStream(const std::string &Address, grpc::CompletionQueue &Queue,
             Events &Owner);

  /// Connects. To be called once, on an object owned by a shared pointer.
  void open();
  void write(std::shared_ptr<const peer::Envelope> Envelope) override;
  /// Also cancels the stream.
  void release() override;
  std::size_t waiting() const override { return this->Waiting.size(); }

private:
  /// Calls a member function when an operation has completed.
  class Step final : public CompletionTag {
  public:
    Step(LinkStream &Target, void (LinkStream::*Next)(bool))
        : Target(Target), Next(Next) {}
    void onCompletion(bool Ok) override {
      // The member function may release the stream.
      auto Alive = this->Target.shared_from_this();
      (this->Target.*this->Next)(Ok);
    }
    void onShutDown() override {
      --this->Target.Pending;
      this->Target.settle();
    }
    void *tag() { return static_cast<CompletionTag *>(this); }

  private:
    LinkStream &Target;
    void (LinkStream::*Next)(bool);
  };

  void onStarted(bool Ok);
  void onWritten(bool Ok);
  void onRead(bool Ok);
  void onFinished(bool Ok);
  void writeNext();
  void finish();
  void settle();

  Events *Owner;
  grpc::CompletionQueue &Queue;
  std::unique_ptr<peer::Link::Stub> Stub;
  grpc::ClientContext Context;
  std::unique_ptr<grpc::ClientAsyncReaderWriter<peer::Envelope, peer::Receipt>>
      Call;
  peer::Receipt Receipt;
  grpc::Status Status;
  std::deque<std::shared_ptr<const peer::Envelope>> Waiting;
  bool Writing = false;
  bool Started = false;
  bool Failed = false;
  /// Operations whose tags gRPC holds. The object lives until all are returned.
  int Pending = 0;
  std::shared_ptr<LinkStream> Self;
  Step StartedStep{*this, &LinkStream::onStarted};
  Step WrittenStep{*this, &LinkStream::onWritten};
  Step ReadStep{*this, &LinkStream::onRead};
  Step FinishedStep{*this, &LinkStream::onFinished};
};

} // namespace yardwheel

#endif
