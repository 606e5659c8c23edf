//===- transport/link_pool.h - Sends envelopes to peers ---------*- C++ -*-===//
///
/// \file
/// Keeps one stream per address and sends envelopes over it: a stream of its
/// own, or with LinkOptions::TwoWay the one that the peer has opened, if there
/// is one. All messages that
/// are queued for a peer at a flush are sent in one envelope; none is delayed
/// to wait for more (grouping of queued messages is an idea of
/// "Weir: Batching"; its effect is in docs/design/transport.md).
///
/// There are no separate acknowledgements: each envelope contains the number of
/// the last envelope read in the other direction. Envelopes that are not
/// acknowledged when a stream ends are reported, as they may not have arrived.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_POOL_H
#define YARDWHEEL_TRANSPORT_LINK_POOL_H

#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "transport/envelope_stream.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

/// The identity that a process states in every envelope.
struct LinkIdentity {
  std::string Cluster;
  peer::Role Role = peer::ROLE_UNSPECIFIED;
  std::string Node;
  std::string Address;
  std::uint64_t Incarnation = 0;
};

/// The maximum size of an envelope, sent or received, in bytes.
constexpr int MaxEnvelopeBytes = 16777216;

/// An upper bound of the memory for an encoded byte of an envelope: the message
/// as an object, with its small fields and strings, and its encoding in gRPC.
constexpr std::size_t HeapBytesPerEncodedByte = 7;

struct LinkCounters {
  std::atomic<std::uint64_t> EnvelopesSent{0};
  std::atomic<std::uint64_t> MessagesSent{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> EnvelopesRead{0};
  std::atomic<std::uint64_t> StreamsOpened{0};
  /// Streams of peers used in place of own ones.
  std::atomic<std::uint64_t> StreamsShared{0};
  /// Envelopes that may not have arrived.
  std::atomic<std::uint64_t> Failed{0};
  std::atomic<std::uint64_t> Dropped{0};
};

/// The counters in Prometheus' text format.
std::string describeCounters(const LinkCounters &Counters);

/// What a process holds in memory for one peer.
struct LinkLoad {
  PeerRef Peer;
  /// Envelopes that are not yet written to the connection.
  std::size_t Unwritten = 0;
  std::size_t UnwrittenBytes = 0;
  /// Envelopes that are not yet acknowledged, including these.
  std::size_t Unacked = 0;
  std::size_t UnackedBytes = 0;
};

/// What is known of the connection to one peer, for logs.
struct LinkState {
  /// When the stream in use was opened, and whether by this process; nothing
  /// without a stream.
  std::optional<TimePoint> OpenedAt;
  bool IsOwnStream = false;
  /// When an envelope last came from the peer.
  std::optional<TimePoint> HeardAt;
  /// When the oldest envelope that is not acknowledged was sent.
  std::optional<TimePoint> AwaitedSince;
  /// Why the last stream ended by itself, and when; empty if none has.
  std::string LastEnd;
  TimePoint LastEndAt;
};

/// The part of a process's memory limit, as a divisor, that envelopes for its
/// peers may take.
constexpr std::size_t LinkShareOfMemory = 4;

struct LinkOptions {
  /// A stream is considered dead if its peer still sends this long after an
  /// envelope was sent to it, but has not acknowledged that envelope. Many
  /// times longer than a busy peer takes to read.
  std::chrono::milliseconds SilenceTimeout{1000};
  /// How long unacknowledged envelopes are kept. Older ones are no longer of
  /// use to anyone.
  std::chrono::milliseconds UnackedRetention{2000};
  /// The minimum time between two connections to a peer that leaves messages
  /// unanswered. It may be slow, and each connection costs it time.
  std::chrono::milliseconds MinReconnectInterval{250};
  /// The maximum size of what is held for one peer, and for all peers, until it
  /// is acknowledged. What would exceed it is dropped, but each peer has its
  /// share of the latter, and may always have one envelope under way.
  std::size_t MaxHeldBytesPerPeer = 16777216;
  std::size_t MaxHeldBytes = 67108864;
  /// Whether both directions of two peers share a stream. Each stream is a
  /// connection, and connections are most of the work of a process that starts.
  bool TwoWay = false;
};

/// Sets the limits of what is held for peers from the memory limit of this
/// process, in bytes.
void limitHeldBytes(LinkOptions &Options, std::size_t MemoryLimit);

/// For the loop's thread only, except where stated otherwise.
class LinkPool final : public PeerSink {
public:
  using FailureHandler = std::function<void(const Undelivered &Lost)>;
  using ReturnHandler = std::function<void(const peer::Envelope &Envelope)>;

  LinkPool(LinkIdentity Self, grpc::CompletionQueue &Queue, const Clock &Source,
           LinkOptions Options = {});
  ~LinkPool() override;

  void send(const PeerRef &To, peer::Message Message) override;
  void reconnect(const PeerRef &To) override;
  bool isCongested(const PeerRef &To) const override;
  /// Sends the messages queued since the last flush.
  void flush();
  /// Replaces dead streams and drops old unacknowledged envelopes.
  /// \param LastBehind The last time that this process was behind.
  void tick(TimePoint Now, TimePoint LastBehind);
  /// Handles the acknowledgement in a peer's envelope. \param Back The way back
  /// on the stream that it came on; null if this process has opened that one.
  void onRead(const peer::Envelope &Envelope, TimePoint Now,
              const std::shared_ptr<ReturnStream> &Back = nullptr);
  void setRevision(std::uint64_t NewRevision) { this->Revision = NewRevision; }
  /// Sets the handler for envelopes that may not have arrived.
  void onFailure(FailureHandler Handler) { this->Failure = std::move(Handler); }
  /// Sets the handler for envelopes that come back on this process's streams.
  /// To be called before the loop starts.
  void onReturned(ReturnHandler Handler) {
    this->Returned = std::move(Handler);
  }

  /// Returns whether every envelope has been written to its connection or has
  /// failed. Thread-safe.
  bool isIdle() const { return this->Unwritten.load() == 0; }
  const LinkCounters &counters() const { return this->Counters; }
  /// Returns what is held for each peer, the most bytes first. Leaves out peers
  /// for which nothing is held.
  std::vector<LinkLoad> loads() const;
  /// \returns the state of the link to an address, or nothing if there is none.
  std::optional<LinkState> stateOf(const std::string &Address) const;
  /// Returns an estimate of the heap memory of all envelopes held.
  std::size_t heapBytes() const {
    return (this->HeldBytes + this->QueuedBytes) * HeapBytesPerEncodedByte;
  }

private:
  struct Sent {
    std::uint64_t Number = 0;
    TimePoint At;
    std::size_t Bytes = 0;
    std::shared_ptr<const peer::Envelope> Envelope;
  };
  /// The stream and the queue of one address.
  class Link final : public EnvelopeStream::Events {
  public:
    explicit Link(LinkPool &Pool) : Pool(Pool) {}
    void onWritten() override { this->Pool.onWritten(*this); }
    void onRefused(const std::string &Reason) override {
      this->Pool.onRefused(*this, Reason);
    }
    void onReturned(const peer::Envelope &Envelope) override {
      this->Pool.Returned(Envelope);
    }
    void onEnded(const grpc::Status &Why) override {
      this->Pool.onEnded(*this, Why);
    }

    LinkPool &Pool;
    PeerRef Peer;
    std::shared_ptr<EnvelopeStream> Stream;
    /// Whether this process has opened Stream.
    bool IsOwnStream = false;
    /// The way back on the newest stream that the peer has opened and reads.
    std::weak_ptr<ReturnStream> Back;
    /// The same, also once it is attached.
    std::weak_ptr<ReturnStream> Inbound;
    std::uint64_t StreamId = 0;
    std::uint64_t LastNumber = 0;
    TimePoint OpenedAt;
    peer::Envelope Queued;
    std::size_t QueuedBytes = 0;
    /// Sent on the current stream and not yet acknowledged.
    std::deque<Sent> Unacked;
    std::size_t UnackedBytes = 0;
    /// The number of these that are not yet written to the connection.
    std::size_t Unwritten = 0;
    /// The newest envelope read from the peer, and its time. Its numbers are
    /// comparable only within the same incarnation of the peer.
    std::uint64_t PeerIncarnation = 0;
    std::uint64_t ReceivedStream = 0;
    std::uint64_t ReceivedNumber = 0;
    TimePoint ReceivedAt;
    /// Why the last stream ended by itself.
    std::string LastEnd;
    TimePoint LastEndAt;
    /// The peer refuses envelopes; logged once per stream.
    bool Refused = false;
  };

  Link &linkTo(const std::string &Address);
  void onWritten(Link &Target);
  void onRefused(Link &Target, const std::string &Reason);
  void onEnded(Link &Target, const grpc::Status &Why);
  void transmit(Link &Target);
  void open(Link &Target);
  /// Ends the stream that a peer has opened before \p Newest.
  void closeReplaced(Link &From, const std::shared_ptr<ReturnStream> &Newest);
  /// Sets the way back to a peer on the stream that it uses now.
  void setBack(Link &From, const std::shared_ptr<ReturnStream> &Back);
  /// Whether what is held for a peer leaves room for another envelope.
  bool hasRoom(const Link &Target, std::size_t Bytes) const;
  /// Releases the memory of an envelope that was written, unless it would be
  /// reported if its stream ended.
  void releaseWritten(Link &Target);
  /// Forgets the oldest unacknowledged envelope.
  void forgetOldest(Link &Target);
  /// Releases the stream and reports its unacknowledged envelopes.
  void abandon(Link &Target);
  bool isSilent(const Link &Target, TimePoint Now, TimePoint LastBehind) const;

  LinkIdentity Self;
  grpc::CompletionQueue &Queue;
  const Clock &Source;
  LinkOptions Options;
  Logger Log{"link"};
  FailureHandler Failure;
  ReturnHandler Returned;
  std::uint64_t Revision = 0;
  std::uint64_t LastStreamId;
  std::map<std::string, Link> Links;
  /// Links with queued messages.
  std::vector<Link *> PendingFlush;
  TimePoint NextCheck;
  std::atomic<std::size_t> Unwritten{0};
  /// The sum of UnackedBytes of all links.
  std::size_t HeldBytes = 0;
  /// The sum of QueuedBytes of all links.
  std::size_t QueuedBytes = 0;
  LinkCounters Counters;
};

} // namespace yardwheel

#endif
