//===- transport/link_pool.h - Sends envelopes to peers ---------*- C++ -*-===//
///
/// \file
/// Keeps one gRPC channel for each address and sends envelopes over it. What
/// is queued for one peer when the loop flushes goes in one envelope; nothing
/// waits for more to come (grouping what is already queued is an idea of
/// "Weir: Batching"; its effect is in docs/design/transport.md).
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_LINK_POOL_H
#define YARDWHEEL_TRANSPORT_LINK_POOL_H

#include "core/logger.h"
#include "core/peer_sink.h"
#include "protocol/peer.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

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
  std::atomic<std::uint64_t> Failed{0};
  std::atomic<std::uint64_t> Dropped{0};
};

/// The counters in Prometheus' text format.
std::string describeCounters(const LinkCounters &Counters);

/// Hears, on gRPC's threads, that an envelope may not have arrived. It can be
/// closed while calls are under way.
class LinkFailures {
public:
  using Handler = std::function<void(const Undelivered &Lost)>;

  void open(Handler NewHandler);
  void close() { this->open(nullptr); }
  void report(const Undelivered &Lost);

private:
  std::mutex Mutex;
  Handler Current;
};

struct LinkOptions {
  /// An envelope whose receipt has not come by then may not have arrived, and
  /// its connection may have gone silent. Many times a round trip.
  std::chrono::milliseconds CallTimeout{1000};
  /// Between two connections to a peer that leaves envelopes without a
  /// receipt: it may be slow, and a connection costs it time.
  std::chrono::milliseconds ReconnectEvery{250};
};

/// Used by the loop's thread only, but for the counters.
class LinkPool final : public PeerSink {
public:
  explicit LinkPool(LinkIdentity Self, LinkOptions Options = {});
  /// Waits for the calls under way.
  ~LinkPool() override;

  void send(const PeerRef &To, peer::Message Message) override;
  /// Sends what has been queued since the last flush.
  void flush();
  void setRevision(std::uint64_t NewRevision) { this->Revision = NewRevision; }

  /// Where failures are reported; close it before the handler's target ends.
  LinkFailures &failures() { return *this->Failures; }
  /// Whether every envelope has been delivered or has failed.
  bool isIdle() const { return this->UnderWay->load() == 0; }
  const LinkCounters &counters() const { return *this->Counters; }

private:
  enum class LinkState {
    Sound,
    /// The peer refused or reset the connection.
    Broken,
    /// The peer left an envelope without a receipt.
    Silent
  };
  struct Link {
    std::unique_ptr<peer::Link::Stub> Stub;
    std::shared_ptr<std::atomic<std::uint32_t>> InFlight;
    /// Set by a failed call. The next one connects anew instead of failing
    /// for as long as the library waits before it tries again.
    std::shared_ptr<std::atomic<LinkState>> State;
    /// The receiver refuses what is sent; told once, until it does not.
    std::shared_ptr<std::atomic<bool>> Refused;
    PeerRef Peer;
    peer::Envelope Queued;
    std::size_t QueuedBytes = 0;
    TimePoint ConnectedAt;
  };

  Link &linkTo(const PeerRef &To);
  static void connect(Link &Target, const std::string &Address);
  /// Whether the connection has failed and may be made anew now.
  bool mayReconnect(const Link &Target) const;
  void transmit(Link &Target);

  LinkIdentity Self;
  LinkOptions Options;
  Logger Log{"link"};
  std::uint64_t Revision = 0;
  std::map<std::string, Link> Links;
  std::shared_ptr<std::atomic<std::uint64_t>> UnderWay;
  std::shared_ptr<LinkCounters> Counters;
  std::shared_ptr<LinkFailures> Failures;
};

} // namespace yardwheel

#endif
