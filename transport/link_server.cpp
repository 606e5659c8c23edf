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

grpc::ServerUnaryReactor *
LinkServer::Service::Deliver(grpc::CallbackServerContext *Context,
                             const peer::Envelope *Envelope,
                             peer::Receipt *Receipt) {
  std::string Refusal = refusalOf(*Envelope, this->Self);
  if (Refusal.empty())
    this->Receive(std::make_shared<peer::Envelope>(*Envelope));
  else
    Receipt->set_refusal(Refusal);
  grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
  Reactor->Finish(grpc::Status::OK);
  return Reactor;
}

LinkServer::LinkServer(LinkIdentity Self, Handler Receive)
    : Self(std::move(Self)), Implementation(this->Self, std::move(Receive)) {
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(this->Self.Address,
                           grpc::InsecureServerCredentials(), &Port);
  Builder.RegisterService(&this->Implementation);
  Builder.SetMaxReceiveMessageSize(MaxEnvelopeBytes);
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  this->Server = Builder.BuildAndStart();
  if (!this->Server || Port == 0)
    throw Error("link server", this->Self.Address, "cannot be bound");
}

LinkServer::~LinkServer() { this->stop(); }

void LinkServer::stop() {
  constexpr std::chrono::seconds Grace{1};
  if (this->Server)
    this->Server->Shutdown(std::chrono::system_clock::now() + Grace);
}

} // namespace yardwheel
