#include "transport/link_node.h"

namespace yardwheel {

LinkNode::LinkNode(const LinkIdentity &Self, const LinkOptions &Options,
                   const Clock &Source, std::chrono::milliseconds TickInterval)
    : Source(Source), Self(Self), Server(Self),
      Links(Self, this->Server.waiter().queue(), Source, Options),
      Loop(
          Source, this->Server.waiter(), TickInterval,
          [this](Instant Now) {
            this->Links.tick(Now.Steady, this->Loop.lastBehind());
            this->Handlers.Tick(Now);
          },
          [this] { this->Links.flush(); }) {
  this->Server.onEnvelope([this](const peer::Envelope &Envelope,
                                 const std::shared_ptr<ReturnStream> &Back) {
    this->onEnvelope(Envelope, Back);
  });
  this->Links.onReturned(
      [this](const peer::Envelope &Envelope) { this->onReturned(Envelope); });
}

void LinkNode::start(LinkNodeHandlers NewHandlers) {
  this->Handlers = std::move(NewHandlers);
  if (this->Handlers.Undelivered)
    this->Links.onFailure([this](const Undelivered &Lost) {
      // A node that stops ends its peers' streams, and has nothing to resend.
      if (this->Running)
        this->Handlers.Undelivered(Lost, this->Source.now());
    });
  this->Running = true;
  this->Loop.start();
}

void LinkNode::stop() {
  if (!this->Running.exchange(false))
    return;
  // The server waits for its streams, which end on the loop's thread.
  this->Server.stop();
  this->Loop.stop();
  this->Links.onFailure(nullptr);
}

void LinkNode::onEnvelope(const peer::Envelope &Envelope,
                          const std::shared_ptr<ReturnStream> &Back) {
  Instant Now = this->Source.now();
  this->Links.onRead(Envelope, Now.Steady, Back);
  this->Handlers.Envelope(Envelope, Now);
}

void LinkNode::onReturned(const peer::Envelope &Envelope) {
  std::string Refusal = refusalOf(Envelope, this->Self);
  if (Refusal.empty())
    this->onEnvelope(Envelope, nullptr);
  else
    this->Log.warning("An envelope that {} sent back is refused: {}.",
                      Envelope.sender(), Refusal);
}

} // namespace yardwheel
