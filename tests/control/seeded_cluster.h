//===- tests/control/seeded_cluster.h - A cluster from seeds ----*- C++ -*-===//
///
/// \file
/// Simulated control replicas that form a cluster from seed addresses and
/// replace its members. A host that loses its disk keeps its address, but its
/// replica gets a new name.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_CONTROL_SEEDED_CLUSTER_H
#define YARDWHEEL_TESTS_CONTROL_SEEDED_CLUSTER_H

#include "control/control_service.h"
#include "emulator/memory_log_storage.h"
#include "emulator/virtual_world.h"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace yardwheel {

/// Routes messages by address, since a replica's name may not be known yet.
class AddressSink final : public PeerSink {
public:
  using CongestionCheck = std::function<bool(const PeerRef &To)>;

  /// \param Congested Whether the link to a peer is congested; none is if
  /// empty.
  explicit AddressSink(PeerSink &Inner, const CongestionCheck &Congested = {})
      : Inner(Inner), Congested(Congested) {}
  bool isCongested(const PeerRef &To) const override {
    return this->Congested && this->Congested(To);
  }
  void send(const PeerRef &To, peer::Message Message) override {
    this->Inner.send({To.Address, To.Address}, std::move(Message));
  }
  void reconnect(const PeerRef &To) override { ++this->Reconnects[To.Address]; }
  /// Returns how often the connection to an address was replaced.
  int reconnects(const std::string &Address) const {
    auto Found = this->Reconnects.find(Address);
    return Found == this->Reconnects.end() ? 0 : Found->second;
  }

private:
  PeerSink &Inner;
  CongestionCheck Congested;
  std::map<std::string, int> Reconnects;
};

class SeededCluster {
public:
  /// Number of hosts whose addresses are known to all others.
  static constexpr std::size_t Seeds = 3;
  /// How long a process that shuts down waits until its vote is handed over,
  /// how often it checks, and how long it then sends on.
  static constexpr Duration HandoverTime = std::chrono::seconds(2);
  static constexpr Duration HandoverCheck = std::chrono::milliseconds(20);
  static constexpr Duration FlushTime = std::chrono::milliseconds(200);

  explicit SeededCluster(std::uint64_t Seed, std::uint32_t Voters = 3)
      : World(Seed), Voters(Voters) {}

  /// Starts a host with an empty disk.
  /// \param First Whether this is the first start of the cluster.
  void startEmpty(std::size_t Host, bool First) {
    bool IsFounder = First && Host < Seeds;
    peer::ReplicaSet Bootstrap;
    for (std::size_t I = 0; IsFounder && I < Seeds; ++I)
      *Bootstrap.add_replicas() = replica(nameOf(I, 0), I);
    if (IsFounder)
      Bootstrap.set_initial_hosts(Seeds);
    Node &Target = this->Hosts[Host];
    Target.IsFirstStart = First;
    Target.Name = nameOf(Host, IsFounder ? 0 : ++this->Generations);
    Target.Storage = std::make_unique<MemoryLogStorage>(Bootstrap);
    this->start(Host);
    Target.IsFirstStart = false;
  }

  /// Starts a host with its existing disk.
  void start(std::size_t Host) {
    Node &Target = this->Hosts[Host];
    std::string Address = addressOf(Host);
    Target.Storage->crash();
    this->World.start(Address, [this, Host](const PeerRef &From,
                                            const peer::Message &Message) {
      Node &Here = this->Hosts[Host];
      // As links do, drop messages for another replica at this address.
      if (Message.has_raft() && Message.raft().to() != Here.Name)
        return;
      Here.Service->onMessage(this->peerAt(From.Node), Message,
                              this->World.now());
    });
    Target.Sink = std::make_unique<AddressSink>(this->World.sinkOf(Address),
                                                this->Congested);
    Target.Service = std::make_unique<ControlService>(
        this->optionsFor(Host), *Target.Storage, *Target.Sink,
        this->World.now());
    this->World.every(Address, std::chrono::milliseconds(20), [this, Host] {
      Instant Now = this->World.now();
      this->Hosts[Host].Service->tick(Now, Now.Steady - this->InputDelay);
    });
  }

  /// Returns the name of the replica that a host has now.
  const std::string &nameAt(std::size_t Host) { return this->Hosts[Host].Name; }
  static std::string addressOf(std::size_t Host) {
    return fmt::format("host{}", Host);
  }
  void kill(std::size_t Host) { this->World.kill(addressOf(Host)); }
  void run(Duration Time) { this->World.run(Time); }
  /// Begins a shutdown; the host runs on until it is killed.
  void beginShutdown(std::size_t Host) { this->Hosts[Host].Service->leave(); }
  /// Whether a host whose shutdown has begun would stop by itself.
  bool mayStop(std::size_t Host) {
    return this->Hosts[Host].Service->mayStop();
  }
  /// Shuts a host down as its process does, which hands over its vote first.
  void shutDown(std::size_t Host) {
    this->beginShutdown(Host);
    for (Duration Passed{0}; Passed < HandoverTime && !this->mayStop(Host);
         Passed += HandoverCheck)
      this->run(HandoverCheck);
    this->stop(Host);
  }
  /// Ends a host whose shutdown has begun.
  void stop(std::size_t Host) {
    this->Hosts[Host].Service->drain(this->World.now());
    this->run(FlushTime);
    this->kill(Host);
  }

  /// Asks a replica to confirm that it leads, and runs for one second.
  /// \returns whether it has. \p Leader may be null.
  bool confirm(ControlService *Leader) {
    // The reply may come after this function has returned.
    auto Confirmed = std::make_shared<bool>(false);
    if (Leader != nullptr)
      Leader->read(this->World.now(),
                   [Confirmed](bool Result) { *Confirmed = Result; });
    this->run(std::chrono::seconds(1));
    return *Confirmed;
  }

  ControlService *leader() {
    for (auto &[Number, Host] : this->Hosts)
      if (this->World.isUp(addressOf(Number)) && Host.Service->raft().leads())
        return Host.Service.get();
    return nullptr;
  }
  /// Returns how often \p Host has replaced its connection to \p Peer since it
  /// was started.
  int reconnects(std::size_t Host, std::size_t Peer) {
    return this->Hosts[Host].Sink->reconnects(addressOf(Peer));
  }
  ControlService &service(std::size_t Host) {
    return *this->Hosts[Host].Service;
  }

  /// Replaces the route table and runs for one second.
  /// \returns whether the change was acknowledged.
  bool replace(std::uint64_t Version) {
    ControlService *Leader = this->leader();
    if (Leader == nullptr)
      return false;
    peer::Change Change;
    peer::RouteTable *Table = Change.mutable_replace_routes()->mutable_table();
    Table->set_version(Version);
    Table->set_document(fmt::format("{}", Version));
    // The outcome may come after this function has returned.
    auto Done = std::make_shared<bool>(false);
    Leader->propose(Change, this->World.now(),
                    [Done](const ProposalOutcome &Outcome) {
                      *Done = Outcome.State == ProposalState::Applied;
                    });
    this->run(std::chrono::seconds(1));
    return *Done;
  }

  std::uint32_t voters() {
    std::uint32_t Count = 0;
    for (const peer::Replica &Known :
         this->leader()->raft().log().replicas().replicas())
      Count += Known.learner() ? 0 : 1;
    return Count;
  }

  VirtualWorld World;
  /// The check of the links of hosts that start from now on.
  AddressSink::CongestionCheck Congested;
  /// How long ago the hosts had last read all of their input, at each tick.
  Duration InputDelay{0};
  /// The hosts whose addresses a host is told when it starts.
  std::vector<std::size_t> SeedHosts = {0, 1, 2};
  /// Log formats of hosts that run an older build.
  std::map<std::size_t, std::uint32_t> LogFormats;

private:
  struct Node {
    std::string Name;
    bool IsFirstStart = false;
    std::unique_ptr<MemoryLogStorage> Storage;
    std::unique_ptr<AddressSink> Sink;
    std::unique_ptr<ControlService> Service;
  };

  static std::string nameOf(std::size_t Host, std::uint64_t Generation) {
    return fmt::format("{}.{}", addressOf(Host), Generation);
  }
  static peer::Replica replica(const std::string &Name, std::size_t Host) {
    peer::Replica Made;
    Made.set_name(Name);
    Made.set_address(addressOf(Host));
    Made.set_http_address(addressOf(Host));
    return Made;
  }
  PeerRef peerAt(const std::string &Address) {
    for (auto &[Number, Host] : this->Hosts)
      if (addressOf(Number) == Address)
        return {Host.Name, Address};
    return {Address, Address};
  }
  ControlOptions optionsFor(std::size_t Host) {
    ControlOptions Options;
    Options.Raft.Name = this->Hosts[Host].Name;
    Options.Raft.Seed = Host + 1;
    if (auto Older = this->LogFormats.find(Host);
        Older != this->LogFormats.end())
      Options.Raft.LogFormat = Older->second;
    Options.Groups.Groups = 0;
    Options.Replicas.Voters = this->Voters;
    Options.Self = replica(this->Hosts[Host].Name, Host);
    Options.IsFirstStart = this->Hosts[Host].IsFirstStart;
    for (std::size_t Known : this->SeedHosts)
      Options.Seeds.push_back({"", addressOf(Known)});
    return Options;
  }

  std::uint32_t Voters;
  std::uint64_t Generations = 0;
  std::map<std::size_t, Node> Hosts;
};

} // namespace yardwheel

#endif
