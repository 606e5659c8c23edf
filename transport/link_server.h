//===- transport/link_server.h - Receives envelopes from peers --*- C++ -*-===//
///
/// \file
/// The gRPC server of a process, driven by the event loop's thread. It refuses
/// envelopes that come from another cluster or an unknown role, are addressed
/// to another node or are too large, and passes the rest to a handler.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_SERVER_H
#define YARDWHEEL_TRANSPORT_LINK_SERVER_H

#include "transport/inbound_stream.h"
#include "transport/link_pool.h"

#include <functional>
#include <memory>
#include <string>

namespace yardwheel {

/// Returns why an envelope must be refused; empty if it is accepted.
std::string refusalOf(const peer::Envelope &Envelope, const LinkIdentity &Self);

class LinkServer final : InboundStream::Receiver {
public:
  /// Called for each accepted envelope, on the loop's thread.
  /// \param Back The way back to the sender on the stream that it has opened.
  using Handler = std::function<void(
      const peer::Envelope &, const std::shared_ptr<ReturnStream> &Back)>;

  /// \throws Error if the address cannot be bound.
  explicit LinkServer(LinkIdentity Self);
  ~LinkServer() override;

  /// The waiter of the event loop; its queue also serves the node's streams.
  CompletionWaiter &waiter() { return *this->Waiter; }
  /// Sets the handler. To be called before the loop starts.
  void onEnvelope(Handler Receive) { this->Receive = std::move(Receive); }

  /// Returns the number of streams that peers have opened and that have not
  /// ended. For the loop's thread only.
  std::size_t streams() const { return this->Streams; }

  /// Refuses further envelopes. If the loop was started, it must still run.
  void stop();

private:
  void onAccepted() override {
    ++this->Streams;
    this->accept();
  }
  void onClosed() override { --this->Streams; }
  std::string check(const peer::Envelope &Envelope) const override;
  void onEnvelope(const peer::Envelope &Envelope,
                  const std::shared_ptr<ReturnStream> &Back) override;

  /// Prepares to accept one more stream.
  void accept();

  LinkIdentity Self;
  Handler Receive;
  std::size_t Streams = 0;
  peer::Link::AsyncService Service;
  grpc::ServerCompletionQueue *Queue = nullptr;
  std::unique_ptr<grpc::Server> Server;
  std::unique_ptr<CompletionWaiter> Waiter;
};

} // namespace yardwheel

#endif
