//===- tests/control/configured_node.h - A node of a cluster ----*- C++ -*-===//
///
/// \file
/// The part of an entry or an agent that learns the configuration from control,
/// and knows until when it may be relied on.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_CONTROL_CONFIGURED_NODE_H
#define YARDWHEEL_TESTS_CONTROL_CONFIGURED_NODE_H

#include "entry/table_lease.h"
#include "membership/announcer.h"
#include "tests/control/seeded_cluster.h"

#include <set>
#include <string>

namespace yardwheel {

/// Sends over connections that can break without notice. What is sent over a
/// broken one is lost until it is replaced.
class BreakableSink final : public PeerSink {
public:
  explicit BreakableSink(PeerSink &Inner) : Inner(Inner) {}
  void send(const PeerRef &To, peer::Message Message) override {
    if (!this->isBroken(To.Address))
      this->Inner.send(To, std::move(Message));
  }
  void reconnect(const PeerRef &To) override { this->Broken.erase(To.Address); }
  void breakConnection(const std::string &Address) {
    this->Broken.insert(Address);
  }
  bool isBroken(const std::string &Address) const {
    return this->Broken.contains(Address);
  }

private:
  PeerSink &Inner;
  std::set<std::string> Broken;
};

class ConfiguredNode final : public AnnouncerEvents {
public:
  static constexpr std::chrono::milliseconds Tick{20};
  /// Longest time for which a node relies on what control has last confirmed.
  static constexpr std::chrono::milliseconds MaxTableAge{2250};

  /// Starts the node. Its name is its address.
  /// \param ForgetsEvacuations Plants a fault: an update that names some
  /// evacuations, or none, is taken for the list of all.
  ConfiguredNode(SeededCluster &Cluster, const std::string &Name,
                 peer::Role Role, bool ForgetsEvacuations = false)
      : Cluster(Cluster), Name(Name), ForgetsEvacuations(ForgetsEvacuations),
        Sink(Cluster.World.sinkOf(Name)), Connections(this->Sink),
        HeartbeatAnnouncer(options(), memberFor(Name, Role), this->Catalog,
                           this->Connections, *this) {
    Cluster.World.start(
        Name, [this](const PeerRef &From, const peer::Message &Message) {
          if (!this->Connections.isBroken(From.Node))
            this->receive(Message.heartbeat_reply());
        });
    Cluster.World.every(Name, Tick, [this] { this->tick(); });
  }

  void onConfirmed(TimePoint Asked) override { this->Lease.confirm(Asked); }
  void onNoLeaderSince(TimePoint Since) override {
    this->Lease.setNoLeaderSince(Since);
  }
  void onNewerRevision(std::uint64_t Revision) override {
    this->Lease.onPeerRevision(Revision);
  }
  void onCatalog(Instant) override {
    this->Lease.setHeldRevision(this->Catalog.revision());
  }
  void onMember(const peer::Member &, Instant) override {}

  /// Breaks the connection to a control host without notice.
  void breakConnection(std::size_t Host) {
    this->Connections.breakConnection(SeededCluster::addressOf(Host));
  }
  /// Sets whether this node is behind on its input again and again, though it
  /// reads all of it in between.
  void setBusy(bool Busy) { this->Busy = Busy; }

  TableState state() const {
    TimePoint Now = this->Cluster.World.now().Steady;
    return this->Lease.status(Now, Now).State;
  }
  std::uint64_t version() const {
    return this->Catalog.view()->Routes.version();
  }
  /// \returns the data centres in which this node places and starts nothing.
  std::set<std::string> evacuated() const {
    return this->ForgetsEvacuations ? this->LastListed
                                    : this->Catalog.view()->Evacuated;
  }
  const std::string &name() const { return this->Name; }

private:
  static AnnouncerOptions options() {
    AnnouncerOptions Options;
    for (std::size_t I = 0; I < SeededCluster::Seeds; ++I)
      Options.Controls.push_back({"", SeededCluster::addressOf(I)});
    Options.Interval = std::chrono::milliseconds(500);
    Options.SearchDelay = std::chrono::milliseconds(250);
    Options.SearchInterval = std::chrono::milliseconds(60);
    return Options;
  }
  static peer::Member memberFor(const std::string &Name, peer::Role Role) {
    peer::Member Self;
    Self.set_name(Name);
    Self.set_address(Name);
    Self.set_role(Role);
    Self.set_incarnation(1);
    Self.set_state(peer::MEMBER_ALIVE);
    return Self;
  }
  void receive(const peer::HeartbeatReply &Reply) {
    if (Reply.has_catalog()) {
      this->LastListed.clear();
      for (const peer::Evacuation &Listed : Reply.catalog().evacuations())
        if (Listed.active())
          this->LastListed.insert(Listed.data_centre());
    }
    this->HeartbeatAnnouncer.onReply(Reply, this->Cluster.World.now());
  }
  void tick() {
    Instant Now = this->Cluster.World.now();
    this->Lease.tick(Now.Steady);
    InputProgress Input{.LastIdle = Now.Steady};
    if (this->Busy)
      Input.LastBehind = Now.Steady - Tick;
    this->HeartbeatAnnouncer.tick(Now, Input);
  }

  SeededCluster &Cluster;
  std::string Name;
  bool ForgetsEvacuations;
  std::set<std::string> LastListed;
  AddressSink Sink;
  BreakableSink Connections;
  bool Busy = false;
  NodeCatalog Catalog;
  TableLease Lease{{.MaxAge = MaxTableAge}};
  Announcer HeartbeatAnnouncer;
};

} // namespace yardwheel

#endif
