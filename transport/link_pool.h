//===- transport/link_pool.h - Sends envelopes to peers ---------*- C++ -*-===//
///
/// \file
/// Keeps one stream for each address and sends envelopes over it. What is
/// queued for one peer when the loop flushes goes in one envelope; nothing
/// waits for more to come (grouping what is already queued is an idea of
/// "Weir: Batching"; its effect is in docs/design/transport.md).
///
/// No receipts are sent: each envelope says how far the other way has been
/// read. What has not been read when a stream ends is reported, as it may not
/// have arrived.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_POOL_H
#define YARDWHEEL_TRANSPORT_LINK_POOL_H

#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "transport/link_stream.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

/// Who a process says it is in every envelope.
struct LinkIdentity {
  std::string Cluster;
  peer::Role Role = peer::ROLE_UNSPECIFIED;
  std::string Node;
  std::string Address;
  std::uint64_t Incarnation = 0;
};

/// The largest envelope that is sent or read, in bytes.
constexpr int MaxEnvelopeBytes = 16777216;

struct LinkCounters {
  std::atomic<std::uint64_t> EnvelopesSent{0};
  std::atomic<std::uint64_t> MessagesSent{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> EnvelopesRead{0};
  std::atomic<std::uint64_t> StreamsOpened{0};
  /// Envelopes of which it is not known whether they have arrived.
  std::atomic<std::uint64_t> Failed{0};
  std::atomic<std::uint64_t> Dropped{0};
};

/// The counters in Prometheus' text format.
std::string describeCounters(const LinkCounters &Counters);

struct LinkOptions {
  /// A peer that sends something this long after an envelope was sent to it,
  /// and has not read that one, is behind a stream that has gone silent. Many
  /// times what a busy peer takes to read.
  std::chrono::milliseconds SilenceTimeout{1000};
  /// How long envelopes are kept that the peer has not said it has read. What
  /// is older is of no use to anybody.
  std::chrono::milliseconds UnackedRetention{2000};
  /// Between two connections to a peer that leaves messages unanswered: it may
  /// be slow, and a connection costs it time.
  std::chrono::milliseconds MinReconnectInterval{250};
};

/// Used by the loop's thread only, but where it says otherwise.
class LinkPool final : public PeerSink {
public:
  using FailureHandler = std::function<void(const Undelivered &Lost)>;

  LinkPool(LinkIdentity Self, grpc::CompletionQueue &Queue, const Clock &Source,
           LinkOptions Options = {});
  ~LinkPool() override;

  void send(const PeerRef &To, peer::Message Message) override;
  void reconnect(const PeerRef &To) override;
  /// Sends what has been queued since the last flush.
  void flush();
  /// Looks for streams that have gone silent.
  /// \param LastBehind Until when this process did not keep up with its input.
  void tick(TimePoint Now, TimePoint LastBehind);
  /// Takes what an envelope of a peer says of those sent to it.
  void onRead(const peer::Envelope &Envelope, TimePoint Now);
  void setRevision(std::uint64_t NewRevision) { this->Revision = NewRevision; }
  /// Hears what may not have arrived.
  void onFailure(FailureHandler Handler) { this->Failure = std::move(Handler); }

  /// Whether all that was sent has been handed to its connection or has
  /// failed; for any thread.
  bool isIdle() const { return this->Unwritten.load() == 0; }
  const LinkCounters &counters() const { return this->Counters; }

private:
  struct Sent {
    std::uint64_t Number = 0;
    TimePoint At;
    std::shared_ptr<const peer::Envelope> Envelope;
  };
  /// What goes to one address.
  class Link final : public LinkStream::Events {
  public:
    explicit Link(LinkPool &Pool) : Pool(Pool) {}
    void onWritten() override { this->Pool.onWritten(*this); }
    void onRefused(const std::string &Reason) override {
      this->Pool.onRefused(*this, Reason);
    }
    void onEnded(const grpc::Status &Why) override {
      this->Pool.onEnded(*this, Why);
    }

    LinkPool &Pool;
    PeerRef Peer;
    std::shared_ptr<LinkStream> Stream;
    std::uint64_t StreamId = 0;
    std::uint64_t LastNumber = 0;
    TimePoint OpenedAt;
    peer::Envelope Queued;
    std::size_t QueuedBytes = 0;
    /// Sent on the present stream and not known to have been read.
    std::deque<Sent> Unacked;
    /// Of these, not yet handed to the connection.
    std::size_t Unwritten = 0;
    /// The newest envelope read from the peer, and when. Its numbers can be
    /// compared only with those of the same life of the peer.
    std::uint64_t PeerIncarnation = 0;
    std::uint64_t ReceivedStream = 0;
    std::uint64_t ReceivedNumber = 0;
    TimePoint ReceivedAt;
    /// The peer refuses what is sent; told once, until a new stream.
    bool Refused = false;
  };

  Link &linkTo(const std::string &Address);
  void onWritten(Link &Target);
  void onRefused(Link &Target, const std::string &Reason);
  void onEnded(Link &Target, const grpc::Status &Why);
  void transmit(Link &Target);
  void open(Link &Target);
  /// Lets go of the stream and reports what may not have arrived.
  void abandon(Link &Target);
  bool isSilent(const Link &Target, TimePoint Now, TimePoint LastBehind) const;

  LinkIdentity Self;
  grpc::CompletionQueue &Queue;
  const Clock &Source;
  LinkOptions Options;
  Logger Log{"link"};
  FailureHandler Failure;
  std::uint64_t Revision = 0;
  std::uint64_t LastStreamId;
  std::map<std::string, Link> Links;
  /// Links with something queued.
  std::vector<Link *> PendingFlush;
  TimePoint NextCheck;
  std::atomic<std::size_t> Unwritten{0};
  LinkCounters Counters;
};

} // namespace yardwheel

#endif
