//===- transport/link_node.h - A node's links and event loop ----*- C++ -*-===//
///
/// \file
/// The transport of every role: the server that receives envelopes, the streams
/// to peers, and the event loop whose thread drives both and runs the role's
/// decision code.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_NODE_H
#define YARDWHEEL_TRANSPORT_LINK_NODE_H

#include "core/clock.h"
#include "core/logger.h"
#include "transport/event_loop.h"
#include "transport/link_pool.h"
#include "transport/link_server.h"

#include <atomic>
#include <chrono>
#include <functional>

namespace yardwheel {

/// Callbacks of a role, called on the loop's thread.
struct LinkNodeHandlers {
  std::function<void(Instant Now)> Tick;
  std::function<void(const peer::Envelope &Envelope, Instant Now)> Envelope;
  /// Called for each envelope that may not have arrived; may be empty.
  std::function<void(const Undelivered &Lost, Instant Now)> Undelivered;
};

class LinkNode {
public:
  /// \throws Error if the address cannot be bound.
  LinkNode(const LinkIdentity &Self, const LinkOptions &Options,
           const Clock &Source, std::chrono::milliseconds TickInterval);
  ~LinkNode() { this->stop(); }

  /// Starts to handle envelopes and to tick. No handler is called before.
  void start(LinkNodeHandlers NewHandlers);
  /// Stops the node. No handler is called afterwards.
  void stop();

  LinkPool &links() { return this->Links; }
  const LinkPool &links() const { return this->Links; }
  EventLoop &loop() { return this->Loop; }
  const EventLoop &loop() const { return this->Loop; }
  /// Returns the number of open streams of peers. For the loop's thread only.
  std::size_t inboundStreams() const { return this->Server.streams(); }
  /// Returns the processor time of this process.
  Duration processorTime() const { return this->Source.processTime(); }

private:
  void onEnvelope(const peer::Envelope &Envelope,
                  const std::shared_ptr<ReturnStream> &Back);
  /// Handles an envelope that a peer has sent back on a stream of this process.
  void onReturned(const peer::Envelope &Envelope);

  const Clock &Source;
  LinkIdentity Self;
  Logger Log{"link"};
  LinkNodeHandlers Handlers;
  /// Read on the loop's thread while another one stops the node.
  std::atomic<bool> Running{false};
  LinkServer Server;
  LinkPool Links;
  EventLoop Loop;
};

} // namespace yardwheel

#endif
