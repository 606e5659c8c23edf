//===- transport/inbound_stream.h - A stream opened by a peer ---*- C++ -*-===//
///
/// \file
/// The receiving side of a stream of envelopes. Refuses those that are not
/// meant for this process, passes the rest to a handler, and can send envelopes
/// back if the peer reads them. Keeps itself alive until the stream has ended.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_INBOUND_STREAM_H
#define YARDWHEEL_TRANSPORT_INBOUND_STREAM_H

#include "transport/completion_waiter.h"
#include "transport/envelope_stream.h"

#include <deque>
#include <memory>
#include <string>

namespace yardwheel {

class InboundStream final : public ReturnStream,
                            public std::enable_shared_from_this<InboundStream> {
public:
  /// Accepts streams and receives their envelopes.
  class Receiver {
  public:
    virtual ~Receiver() = default;
    /// A peer has opened a stream; the next one is to be awaited.
    virtual void onAccepted() = 0;
    /// A stream that a peer had opened has ended.
    virtual void onClosed() = 0;
    /// \returns why the envelope is refused; empty if it is accepted.
    virtual std::string check(const peer::Envelope &Envelope) const = 0;
    /// \param Back The way back to the sender.
    virtual void onEnvelope(const peer::Envelope &Envelope,
                            const std::shared_ptr<ReturnStream> &Back) = 0;
  };

  explicit InboundStream(Receiver &Server) : Server(Server) {}
  /// Awaits a peer. To be called once, on an object owned by a shared pointer.
  void await(peer::Link::AsyncService &Service,
             grpc::ServerCompletionQueue &Queue);

  void write(std::shared_ptr<const peer::Envelope> Envelope) override;
  /// The peer's envelopes are still read.
  void release() override;
  std::size_t waiting() const override { return this->Waiting.size(); }
  bool mayAttach() const override { return !this->WasAttached && !this->Ended; }
  void attach(Events &NewOwner) override;
  void close() override { this->Context.TryCancel(); }

private:
  /// Calls a member function when an operation has completed.
  class Step final : public CompletionTag {
  public:
    Step(InboundStream &Target, void (InboundStream::*Next)(bool))
        : Target(Target), Next(Next) {}
    void onCompletion(bool Ok) override {
      // The member function may end the stream.
      auto Alive = this->Target.shared_from_this();
      --this->Target.Pending;
      (this->Target.*this->Next)(Ok);
    }
    void onShutDown() override {
      --this->Target.Pending;
      this->Target.settle();
    }
    /// Returns the tag for an operation that is about to start.
    void *tag() {
      ++this->Target.Pending;
      return static_cast<CompletionTag *>(this);
    }

  private:
    InboundStream &Target;
    void (InboundStream::*Next)(bool);
  };

  void onAccepted(bool Ok);
  void onRead(bool Ok);
  void onWritten(bool Ok);
  void onFinished(bool Ok);
  void writeNext();
  /// Closes the stream once the peer has ended it and nothing is being written.
  void finishIfEnded();
  /// Lets go of this object once gRPC holds none of its tags.
  void settle();

  Receiver &Server;
  Events *Owner = nullptr;
  grpc::ServerContext Context;
  grpc::ServerAsyncReaderWriter<peer::Receipt, peer::Envelope> Stream{
      &this->Context};
  peer::Envelope Envelope;
  /// Reason of the last refusal that has not been sent.
  std::string Refusal;
  std::deque<std::shared_ptr<const peer::Envelope>> Waiting;
  bool Accepted = false;
  bool WasAttached = false;
  bool Writing = false;
  /// What is being written is an envelope of the present owner.
  bool WritesEnvelope = false;
  bool Ended = false;
  /// Operations whose tags gRPC holds. The object lives until all are returned.
  int Pending = 0;
  std::shared_ptr<InboundStream> Self;
  Step AcceptedStep{*this, &InboundStream::onAccepted};
  Step ReadStep{*this, &InboundStream::onRead};
  Step WrittenStep{*this, &InboundStream::onWritten};
  Step FinishedStep{*this, &InboundStream::onFinished};
};

} // namespace yardwheel

#endif
