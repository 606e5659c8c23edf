#include "transport/link_server.h"

#include "core/error.h"

#include <fmt/format.h>

namespace yardwheel {

std::string refusalOf(const peer::Envelope &Envelope,
                      const LinkIdentity &Self) {
  if (Envelope.cluster() != Self.Cluster)
    return fmt::format("expected cluster '{}', found '{}'", Self.Cluster,
                       Envelope.cluster());
  if (!Envelope.recipient().empty() && Envelope.recipient() != Self.Node)
    return fmt::format("meant for '{}', but this is '{}'", Envelope.recipient(),
                       Self.Node);
  bool KnownRole = Envelope.sender_role() != peer::ROLE_UNSPECIFIED &&
                   peer::Role_IsValid(Envelope.sender_role());
  if (!KnownRole || Envelope.sender().empty())
    return "expected a sender with a name and a role";
  bool FromControl = Envelope.sender_role() == peer::ROLE_CONTROL;
  for (const peer::Message &Message : Envelope.messages()) {
    bool ControlOnly = Message.has_raft() || Message.has_heartbeat_reply();
    if (ControlOnly && !FromControl)
      return "only control may send this message";
  }
  return {};
}

LinkServer::LinkServer(LinkIdentity Self) : Self(std::move(Self)) {
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(this->Self.Address,
                           grpc::InsecureServerCredentials(), &Port);
  Builder.RegisterService(&this->Service);
  Builder.SetMaxReceiveMessageSize(MaxEnvelopeBytes);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  std::unique_ptr<grpc::ServerCompletionQueue> Own =
      Builder.AddCompletionQueue();
  this->Queue = Own.get();
  this->Server = Builder.BuildAndStart();
  if (!this->Server || Port == 0)
    throw Error("link server", this->Self.Address, "cannot be bound");
  this->Waiter = std::make_unique<CompletionWaiter>(std::move(Own));
  this->accept();
}

LinkServer::~LinkServer() {
  this->stop();
  // gRPC requires this order.
  this->Waiter->shutDown();
  this->Server.reset();
}

void LinkServer::accept() {
  InboundStream::Receiver &Target = *this;
  std::make_shared<InboundStream>(Target)->await(this->Service, *this->Queue);
}

std::string LinkServer::check(const peer::Envelope &Envelope) const {
  return refusalOf(Envelope, this->Self);
}

void LinkServer::onEnvelope(const peer::Envelope &Envelope,
                            const std::shared_ptr<ReturnStream> &Back) {
  this->Receive(Envelope, Back);
}

void LinkServer::stop() {
  this->Server->Shutdown(std::chrono::system_clock::now());
}

} // namespace yardwheel
