//===- core/peer_sink.h - Where messages to peers go ------------*- C++ -*-===//
///
/// \file
/// The outlet through which decision code sends messages. The daemon hands
/// them to its links; tests and benches keep, delay, drop or repeat them.
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

/// A process of the cluster and the IP number and port of its link.
struct PeerRef {
  std::string Node;
  std::string Address;
  /// The life that a message came from; 0 where that is not known.
  std::uint64_t Incarnation = 0;
};

/// Messages of which it is not known whether they have arrived.
struct Undelivered {
  PeerRef To;
  TimePoint SentAt;
  std::shared_ptr<const peer::Envelope> Envelope;
};

class PeerSink {
public:
  virtual ~PeerSink() = default;
  /// Sends without waiting. The message may be lost, late or doubled.
  virtual void send(const PeerRef &To, peer::Message Message) = 0;
  /// The peer leaves messages unanswered that it should have answered: its
  /// connection may have gone silent, and later messages take another one.
  virtual void reconnect(const PeerRef &) {}
};

} // namespace yardwheel

#endif
