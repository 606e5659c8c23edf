#include "transport/link_node.h"

namespace yardwheel {

LinkNode::LinkNode(const LinkIdentity &Self, const LinkOptions &Options,
                   const Clock &Source, std::chrono::milliseconds TickInterval)
    : Source(Source), Server(Self),
      Links(Self, this->Server.waiter().queue(), Source, Options),
      Loop(
          Source, this->Server.waiter(), TickInterval,
          [this](Instant Now) {
            this->Links.tick(Now.Steady, this->Loop.lastBehind());
            this->Handlers.Tick(Now);
          },
          [this] { this->Links.flush(); }) {
  this->Server.onEnvelope(
      [this](const peer::Envelope &Envelope) { this->onEnvelope(Envelope); });
}

void LinkNode::start(LinkNodeHandlers NewHandlers) {
  this->Handlers = std::move(NewHandlers);
  if (this->Handlers.Undelivered)
    this->Links.onFailure([this](const Undelivered &Lost) {
      this->Handlers.Undelivered(Lost, this->Source.now());
    });
  this->Running = true;
  this->Loop.start();
}

void LinkNode::stop() {
  if (!this->Running)
    return;
  this->Running = false;
  // The server waits for its streams, which end on the loop's thread.
  this->Server.stop();
  this->Loop.stop();
  this->Links.onFailure(nullptr);
}

void LinkNode::onEnvelope(const peer::Envelope &Envelope) {
  Instant Now = this->Source.now();
  this->Links.onRead(Envelope, Now.Steady);
  this->Handlers.Envelope(Envelope, Now);
}

} // namespace yardwheel
