//===- emulator/virtual_nodes.h - Nodes of a virtual cluster ----*- C++ -*-===//
///
/// \file
/// The nodes of VirtualCluster, one class for each role; each connects the
/// decision code of its role to the virtual world. Included by
/// virtual_cluster.cpp only.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_VIRTUAL_NODES_H
#define YARDWHEEL_EMULATOR_VIRTUAL_NODES_H

#include "emulator/virtual_cluster.h"

namespace yardwheel {

namespace virtual_cluster {

constexpr std::chrono::milliseconds LateAllowance{100};
constexpr std::chrono::milliseconds Retention{60000};
constexpr std::chrono::milliseconds Heartbeat{200};
constexpr std::chrono::milliseconds Lease{1000};
constexpr std::chrono::milliseconds Freshness{5000};
constexpr std::chrono::milliseconds MaxUnconfirmed{2000};
constexpr std::chrono::milliseconds SealWait{3500};

inline const char *const WorkspaceName = "bids";

inline LedgerOptions ledgerOptions(bool RefuseUnknownPast) {
  return {Retention, LateAllowance, RefuseUnknownPast};
}

} // namespace virtual_cluster

// ---- An entry ----

class VirtualCluster::EntryNode final : public OutcomeSink,
                                        public JobObserver,
                                        public AnnouncerEvents {
public:
  EntryNode(VirtualCluster &Cluster, const std::string &Name,
            std::uint64_t Incarnation)
      : Cluster(Cluster), Name(Name), Incarnation(Incarnation),
        Sink(Cluster.World.sinkOf(Name)),
        Service(serviceOptions(Cluster, Name, Incarnation), Sink, *this,
                *this) {
    if (Cluster.Options.Controls == 0)
      return;
    peer::Member Self = Cluster.memberFor(Name, peer::ROLE_ENTRY);
    Self.set_incarnation(Incarnation);
    this->Announce.emplace(Cluster.announcerOptions(), Self, this->Catalog,
                           this->Sink, *this);
  }

  void receive(const PeerRef &From, const peer::Message &Message) {
    Instant Now = this->Cluster.World.now();
    if (Message.has_heartbeat_reply())
      this->Announce->onReply(Message.heartbeat_reply(), Now);
    else
      this->Service.onMessage(From, Message, Now);
  }

  void tick() {
    Instant Now = this->Cluster.World.now();
    if (this->Announce)
      this->Announce->tick(Now);
    else
      this->Service.confirm(Now.Steady);
    this->Service.tick(Now);
  }

  void onOutcome(Ticket Number, const peer::JobOutcome *Outcome) override {
    this->Cluster.recordOutcome(Number, Outcome);
  }
  void onJobEnded(const Job &, std::uint32_t, TimePoint) override {}
  void onConfirmed(TimePoint Asked) override { this->Service.confirm(Asked); }
  void onCatalog(Instant) override {
    this->Service.setCatalog(this->Catalog.view());
  }
  void onMember(const peer::Member &Member, Instant Now) override {
    this->Service.onMember(Member, Now.Steady);
  }

  static ServiceOptions serviceOptions(const VirtualCluster &Cluster,
                                       const std::string &Name,
                                       std::uint64_t Incarnation) {
    ServiceOptions Options;
    Options.Self.set_entry(Name);
    Options.Self.set_address(Name);
    Options.Self.set_incarnation(Incarnation);
    Options.ClockAllowance = virtual_cluster::LateAllowance;
    Options.LedgerRetention = virtual_cluster::Retention;
    Options.Claims.Timeout = std::chrono::milliseconds(1000);
    Options.MaxUnconfirmed = virtual_cluster::MaxUnconfirmed;
    Options.MaxJobs = 1000;
    Options.MaxAnswerBytes = Cluster.Options.MaxAnswerBytes;
    Options.ClaimsFirst = Cluster.Options.ClaimsFirst;
    Options.Runner.Seed = Cluster.Options.Seed + Incarnation;
    Options.Runner.ResendOnlyOnProof = Cluster.Options.ResendOnlyOnProof;
    return Options;
  }

  VirtualCluster &Cluster;
  std::string Name;
  std::uint64_t Incarnation;
  PeerSink &Sink;
  NodeCatalog Catalog;
  JobService Service;
  std::optional<Announcer> Announce;
};

// ---- An agent and its upstream ----

class VirtualCluster::AgentNode final : public TaskRunner,
                                        public AnnouncerEvents {
public:
  AgentNode(VirtualCluster &Cluster, const std::string &Name,
            std::uint64_t Incarnation)
      : Cluster(Cluster), Name(Name), Incarnation(Incarnation),
        Core(agentOptions(Cluster, Name, Incarnation),
             Cluster.World.sinkOf(Name), *this) {
    if (Cluster.Options.Controls == 0)
      return;
    peer::Member Self = Cluster.memberFor(Name, peer::ROLE_AGENT);
    Self.set_incarnation(Incarnation);
    Self.set_freshness(this->Core.load(Cluster.World.now()).freshness());
    this->Announce.emplace(Cluster.announcerOptions(), Self, this->Catalog,
                           Cluster.World.sinkOf(Name), *this);
  }

  void receive(const PeerRef &From, const peer::Message &Message) {
    Instant Now = this->Cluster.World.now();
    if (Message.has_heartbeat_reply())
      this->Announce->onReply(Message.heartbeat_reply(), Now);
    else
      this->Core.onMessage(From, Message, Now);
  }

  void tick() {
    Instant Now = this->Cluster.World.now();
    if (this->Announce)
      this->Announce->tick(Now);
    this->Core.tick(Now);
  }

  void start(const TaskKey &Task, const std::string &,
             const std::string &Payload) override {
    this->Cluster.recordStart(this->Name, Task);
    // The upstream goes on when its agent dies; its answer is then dropped.
    VirtualCluster *Owner = &this->Cluster;
    TaskBehaviour Plan;
    if (Owner->Options.Behaviour)
      Plan = Owner->Options.Behaviour(this->Name, Payload);
    Owner->World.after(Plan.Service, [Owner, Agent = this->Name,
                                      Started = this->Incarnation, Task,
                                      Payload, Plan] {
      const auto &Node = Owner->Agents.at(Agent);
      if (Node->Incarnation == Started && Owner->World.isUp(Agent))
        Node->finishLater(Task, Payload, Plan);
    });
  }
  void stop(const TaskKey &Task) override {
    TaskEnd End;
    End.Reason = "stopped";
    this->Core.onTaskEnded(Task, End, this->Cluster.World.now());
  }

  /// A frozen agent reads the upstream's answer when it thaws.
  void finishLater(const TaskKey &Task, const std::string &Payload,
                   const TaskBehaviour &Plan) {
    VirtualCluster *Owner = &this->Cluster;
    Owner->World.runOn(this->Name, [Owner, Agent = this->Name, Task, Payload,
                                    Plan] {
      TaskEnd End;
      End.Kind = Plan.Fails ? TaskEndKind::Failed : TaskEndKind::Succeeded;
      End.Result = Payload.substr(0, Payload.find(' '));
      End.Service = Plan.Service;
      Owner->Agents.at(Agent)->Core.onTaskEnded(Task, End, Owner->World.now());
    });
  }

  void onConfirmed(TimePoint) override {}
  void onCatalog(Instant Now) override {
    this->Core.setCatalog(*this->Catalog.view(), Now);
  }
  void onMember(const peer::Member &, Instant) override {}

  static AgentOptions agentOptions(const VirtualCluster &Cluster,
                                   const std::string &Name,
                                   std::uint64_t Incarnation) {
    AgentOptions Options;
    Options.Name = Name;
    Options.Incarnation = Incarnation;
    Options.Slots = Cluster.Options.Slots;
    Options.Freshness = virtual_cluster::Freshness;
    Options.Ledger =
        virtual_cluster::ledgerOptions(Cluster.Options.RefuseUnknownPast);
    Options.RemembersTasks = Cluster.Options.RemembersTasks;
    Options.FencesOldDispatches = Cluster.Options.FencesOldDispatches;
    return Options;
  }

  VirtualCluster &Cluster;
  std::string Name;
  std::uint64_t Incarnation;
  NodeCatalog Catalog;
  AgentCore Core;
  std::optional<Announcer> Announce;
};

// ---- A control replica ----

class VirtualCluster::ControlNode {
public:
  ControlNode(VirtualCluster &Cluster, const std::string &Name,
              LogStorage &Disk, std::uint64_t Incarnation)
      : Cluster(Cluster),
        Service(controlOptions(Cluster, Name, Incarnation), Disk,
                Cluster.World.sinkOf(Name), Cluster.World.now()) {}

  void receive(const PeerRef &From, const peer::Message &Message) {
    this->Service.onMessage(From, Message, this->Cluster.World.now());
  }
  void tick() { this->Service.tick(this->Cluster.World.now()); }

  static ControlOptions controlOptions(const VirtualCluster &Cluster,
                                       const std::string &Name,
                                       std::uint64_t Incarnation) {
    ControlOptions Options;
    Options.Raft.Name = Name;
    Options.Raft.ElectionTimeout = std::chrono::milliseconds(200);
    Options.Raft.EntriesPerSnapshot = 20;
    Options.Raft.Seed = Cluster.Options.Seed * 1000 + Incarnation;
    Options.Lease = virtual_cluster::Lease;
    Options.ProposalTimeout = std::chrono::milliseconds(2000);
    Options.Groups.ReplaceAfter = Cluster.Options.ReplaceAfter;
    Options.Groups.SealWait = virtual_cluster::SealWait;
    Options.Groups.IsSealingEnabled = Cluster.Options.SealsGroups;
    return Options;
  }

  VirtualCluster &Cluster;
  ControlService Service;
};

} // namespace yardwheel

#endif
