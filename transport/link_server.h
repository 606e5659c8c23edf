//===- transport/link_server.h - Receives envelopes from peers --*- C++ -*-===//
///
/// \file
/// The gRPC server of a process. It refuses envelopes of other clusters, of
/// unknown roles, meant for another node or too large, and hands the rest to
/// a handler on gRPC's threads.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_SERVER_H
#define YARDWHEEL_TRANSPORT_LINK_SERVER_H

#include "transport/link_pool.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace yardwheel {

/// Why an envelope must be refused; empty if it may be read.
std::string refusalOf(const peer::Envelope &Envelope, const LinkIdentity &Self);

class LinkServer {
public:
  /// Takes an envelope that was not refused; must not wait.
  using Handler = std::function<void(std::shared_ptr<peer::Envelope>)>;

  /// \throws Error if the address cannot be bound.
  LinkServer(LinkIdentity Self, Handler Receive);
  ~LinkServer();

  /// Refuses further envelopes and ends.
  void stop();

private:
  class Service final : public peer::Link::CallbackService {
  public:
    Service(const LinkIdentity &Self, Handler Receive)
        : Self(Self), Receive(std::move(Receive)) {}
    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *Context,
                                      const peer::Envelope *Envelope,
                                      peer::Receipt *Receipt) override;

  private:
    const LinkIdentity &Self;
    Handler Receive;
  };

  LinkIdentity Self;
  Service Implementation;
  std::unique_ptr<grpc::Server> Server;
};

} // namespace yardwheel

#endif
