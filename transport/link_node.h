//===- transport/link_node.h - A node's links and their loop ----*- C++ -*-===//
///
/// \file
/// What every role is wired with: the server for peers' envelopes, the streams
/// to peers, and the loop whose thread drives both and runs the role's
/// decision code.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_NODE_H
#define YARDWHEEL_TRANSPORT_LINK_NODE_H

#include "core/clock.h"
#include "transport/event_loop.h"
#include "transport/link_pool.h"
#include "transport/link_server.h"

#include <chrono>
#include <functional>

namespace yardwheel {

/// A role's code, called on the loop's thread.
struct LinkNodeHandlers {
  std::function<void(Instant Now)> Tick;
  std::function<void(const peer::Envelope &Envelope, Instant Now)> Envelope;
  /// What may not have arrived; may be empty.
  std::function<void(const Undelivered &Lost, Instant Now)> Undelivered;
};

class LinkNode {
public:
  /// \throws Error if the address cannot be bound.
  LinkNode(const LinkIdentity &Self, const LinkOptions &Options,
           const Clock &Source, std::chrono::milliseconds TickInterval);
  ~LinkNode() { this->stop(); }

  /// Begins to take envelopes and to tick; nothing is called before.
  void start(LinkNodeHandlers NewHandlers);
  /// Nothing is called after.
  void stop();

  LinkPool &links() { return this->Links; }
  EventLoop &loop() { return this->Loop; }

private:
  void onEnvelope(const peer::Envelope &Envelope);

  const Clock &Source;
  LinkNodeHandlers Handlers;
  bool Running = false;
  LinkServer Server;
  LinkPool Links;
  EventLoop Loop;
};

} // namespace yardwheel

#endif
