//===- core/peer_sink.h - Interface to send peer messages -------*- C++ -*-===//
///
/// \file
/// The interface through which decision code sends messages. The daemon sends
/// them over its links; tests and benches store, delay, drop or repeat them.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_PEER_SINK_H
#define YARDWHEEL_CORE_PEER_SINK_H

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace yardwheel {

namespace peer {
class Envelope;
class Message;
} // namespace peer

/// A process of the cluster and the IP address and port of its link.
struct PeerRef {
  std::string Node;
  std::string Address;
  /// The incarnation that sent a message; 0 if unknown.
  std::uint64_t Incarnation = 0;
};

/// Messages that may not have arrived.
struct Undelivered {
  PeerRef To;
  TimePoint SentAt;
  std::shared_ptr<const peer::Envelope> Envelope;
};

class PeerSink {
public:
  virtual ~PeerSink() = default;
  /// Sends without blocking. The message may be lost, delayed or duplicated.
  virtual void send(const PeerRef &To, peer::Message Message) = 0;
  /// Returns whether messages to the peer wait to be written, or this process
  /// holds as much for its peers as it may. What a later message repeats should
  /// then not be sent: it would be held as well, or dropped.
  virtual bool isCongested(const PeerRef &) const { return false; }
  /// Reports that the peer has left messages unanswered. Its connection may be
  /// dead without having been reset, so later messages use a new one.
  virtual void reconnect(const PeerRef &) {}
};

} // namespace yardwheel

#endif
