#include "emulator/virtual_cluster.h"

#include "catalog/parameters.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds Allowance{100};
constexpr std::chrono::milliseconds Retention{60000};
constexpr std::chrono::milliseconds Heartbeat{200};
constexpr std::chrono::milliseconds Lease{1000};
constexpr std::chrono::milliseconds Freshness{5000};
constexpr std::chrono::milliseconds MaxUnconfirmed{2000};
constexpr std::chrono::milliseconds SealWait{3500};

const char *const Place = "bids";

LedgerOptions ledgerOptions(bool RefuseUnknownPast) {
  return {Retention, Allowance, RefuseUnknownPast};
}

} // namespace

// ---- An entry ----

class VirtualCluster::EntryNode final : public OutcomeSink,
                                        public JobObserver,
                                        public AnnouncerEvents {
public:
  EntryNode(VirtualCluster &Cluster, const std::string &Name,
            std::uint64_t Life)
      : Cluster(Cluster), Name(Name), Life(Life),
        Sink(Cluster.World.sinkOf(Name)),
        Service(serviceOptions(Cluster, Name, Life), Sink, *this, *this) {
    if (Cluster.Options.Controls == 0)
      return;
    peer::Member Self = Cluster.memberFor(Name, peer::ROLE_ENTRY);
    Self.set_incarnation(Life);
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
    this->Cluster.takeOutcome(Number, Outcome);
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
                                       std::uint64_t Life) {
    ServiceOptions Options;
    Options.Self.set_entry(Name);
    Options.Self.set_address(Name);
    Options.Self.set_incarnation(Life);
    Options.ClockAllowance = Allowance;
    Options.LedgerRetention = Retention;
    Options.Claims.Timeout = std::chrono::milliseconds(1000);
    Options.MaxUnconfirmed = MaxUnconfirmed;
    Options.MaxJobs = 1000;
    Options.MaxAnswerBytes = Cluster.Options.MaxAnswerBytes;
    Options.ClaimsFirst = Cluster.Options.ClaimsFirst;
    Options.Runner.Seed = Cluster.Options.Seed + Life;
    Options.Runner.ResendOnlyOnProof = Cluster.Options.ResendOnlyOnProof;
    return Options;
  }

  VirtualCluster &Cluster;
  std::string Name;
  std::uint64_t Life;
  PeerSink &Sink;
  NodeCatalog Catalog;
  JobService Service;
  std::optional<Announcer> Announce;
};

// ---- An agent and its minion ----

class VirtualCluster::AgentNode final : public TaskRunner,
                                        public AnnouncerEvents {
public:
  AgentNode(VirtualCluster &Cluster, const std::string &Name,
            std::uint64_t Life)
      : Cluster(Cluster), Name(Name), Life(Life),
        Core(agentOptions(Cluster, Name, Life), Cluster.World.sinkOf(Name),
             *this) {
    if (Cluster.Options.Controls == 0)
      return;
    peer::Member Self = Cluster.memberFor(Name, peer::ROLE_AGENT);
    Self.set_incarnation(Life);
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
    this->Cluster.noteStart(this->Name, Task);
    // The minion goes on when its agent dies; its answer then goes nowhere.
    VirtualCluster *Owner = &this->Cluster;
    TaskBehaviour Plan;
    if (Owner->Options.Behaviour)
      Plan = Owner->Options.Behaviour(this->Name, Payload);
    Owner->World.after(
        Plan.Service,
        [Owner, Agent = this->Name, Started = this->Life, Task, Payload, Plan] {
          const auto &Node = Owner->Agents.at(Agent);
          if (Node->Life == Started && Owner->World.isUp(Agent))
            Node->finishLater(Task, Payload, Plan);
        });
  }
  void stop(const TaskKey &Task) override {
    TaskEnd End;
    End.Reason = "stopped";
    this->Core.onTaskEnded(Task, End, this->Cluster.World.now());
  }

  /// A frozen agent reads the minion's answer when it wakes.
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
                                   std::uint64_t Life) {
    AgentOptions Options;
    Options.Name = Name;
    Options.Incarnation = Life;
    Options.Slots = Cluster.Options.Slots;
    Options.Freshness = Freshness;
    Options.Ledger = ledgerOptions(Cluster.Options.RefuseUnknownPast);
    Options.RemembersTasks = Cluster.Options.RemembersTasks;
    Options.FencesOldDispatches = Cluster.Options.FencesOldDispatches;
    return Options;
  }

  VirtualCluster &Cluster;
  std::string Name;
  std::uint64_t Life;
  NodeCatalog Catalog;
  AgentCore Core;
  std::optional<Announcer> Announce;
};

// ---- A control replica ----

class VirtualCluster::ControlNode {
public:
  ControlNode(VirtualCluster &Cluster, const std::string &Name,
              LogStorage &Disk, std::uint64_t Life)
      : Cluster(Cluster),
        Service(controlOptions(Cluster, Name, Life), Disk,
                Cluster.World.sinkOf(Name), Cluster.World.now()) {}

  void receive(const PeerRef &From, const peer::Message &Message) {
    this->Service.onMessage(From, Message, this->Cluster.World.now());
  }
  void tick() { this->Service.tick(this->Cluster.World.now()); }

  static ControlOptions controlOptions(const VirtualCluster &Cluster,
                                       const std::string &Name,
                                       std::uint64_t Life) {
    ControlOptions Options;
    Options.Raft.Name = Name;
    Options.Raft.Election = std::chrono::milliseconds(200);
    Options.Raft.SnapshotEvery = 20;
    Options.Raft.Seed = Cluster.Options.Seed * 1000 + Life;
    Options.Lease = Lease;
    Options.ProposalTimeout = std::chrono::milliseconds(2000);
    Options.Groups.ReplaceAfter = Cluster.Options.ReplaceAfter;
    Options.Groups.SealWait = SealWait;
    Options.Groups.Seals = Cluster.Options.SealsGroups;
    return Options;
  }

  VirtualCluster &Cluster;
  ControlService Service;
};

// ---- The cluster ----

VirtualCluster::VirtualCluster(ClusterOptions Options)
    : World(Options.Seed), Options(std::move(Options)) {
  for (std::size_t I = 1; I <= this->Options.Controls; ++I) {
    std::string Name = nodeName('c', I);
    this->Disks[Name] = std::make_unique<MemoryLogStorage>(this->bootstrap());
    this->startControl(Name);
  }
  for (std::size_t I = 1; I <= this->Options.Agents; ++I)
    this->startAgent(nodeName('a', I));
  for (std::size_t I = 1; I <= this->Options.Entries; ++I)
    this->startEntry(nodeName('e', I));
  this->announceFixed();
}

VirtualCluster::~VirtualCluster() = default;

peer::ReplicaSet VirtualCluster::bootstrap() const {
  peer::ReplicaSet Set;
  for (std::size_t I = 1; I <= this->Options.Controls; ++I) {
    peer::Replica *Added = Set.add_replicas();
    Added->set_name(nodeName('c', I));
    Added->set_address(nodeName('c', I));
  }
  return Set;
}

void VirtualCluster::settle() {
  this->run(std::chrono::milliseconds(500));
  if (this->Options.Controls == 0)
    return;
  this->run(std::chrono::seconds(4));
  peer::Change Template;
  Template.set_id("template");
  Template.mutable_set_template()->set_name("t");
  peer::Change Workspace;
  Workspace.set_id("workspace");
  Workspace.mutable_create_workspace()->set_name(Place);
  Workspace.mutable_create_workspace()->set_template_name("t");
  peer::Parameters &Given =
      *Workspace.mutable_create_workspace()->mutable_parameters();
  Given.set_policy(this->Options.Policy);
  Given.set_queue_limit(this->Options.QueueLimit);
  for (const peer::Change &Change : {Template, Workspace}) {
    ControlService *Leader = this->control(this->leader());
    if (Leader != nullptr)
      Leader->propose(Change, this->World.now(), [](const auto &) {});
    this->run(std::chrono::milliseconds(500));
  }
}

std::shared_ptr<const CatalogView> VirtualCluster::fixedView() const {
  auto View = std::make_shared<CatalogView>();
  View->Revision = 1;
  peer::Workspace &Workspace = View->Workspaces[Place];
  Workspace.set_name(Place);
  *Workspace.mutable_parameters() = defaultParameters();
  Workspace.mutable_parameters()->set_policy(this->Options.Policy);
  Workspace.mutable_parameters()->set_queue_limit(this->Options.QueueLimit);
  constexpr std::uint32_t AnswersKeptMs = 5000;
  Workspace.mutable_parameters()->set_answer_retention_ms(AnswersKeptMs);
  peer::HolderGroup &Group = View->Groups[0];
  Group.set_epoch(1);
  Group.set_group_count(1);
  for (std::size_t I = 1; I <= HoldersPerGroup; ++I)
    Group.add_holders(nodeName('a', I));
  return View;
}

peer::Member VirtualCluster::memberFor(const std::string &Name,
                                       peer::Role Role) const {
  peer::Member Member;
  Member.set_name(Name);
  Member.set_address(Name);
  Member.set_role(Role);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_data_centre("z" + Name);
  Member.set_pool(Place);
  Member.set_slots(this->Options.Slots);
  Member.mutable_resources()->set_cpus(16);
  Member.mutable_resources()->set_memory_mb(1024);
  return Member;
}

AnnouncerOptions VirtualCluster::announcerOptions() const {
  AnnouncerOptions Result;
  Result.Interval = Heartbeat;
  for (std::size_t I = 1; I <= this->Options.Controls; ++I)
    Result.Controls.push_back({nodeName('c', I), nodeName('c', I)});
  return Result;
}

/// Without control, every entry is told of all agents and entries at once.
void VirtualCluster::announceFixed() {
  if (this->Options.Controls > 0)
    return;
  for (auto &[EntryName, Entry] : this->Entries) {
    for (auto &[Name, Agent] : this->Agents) {
      peer::Member Member = this->memberFor(Name, peer::ROLE_AGENT);
      Member.set_incarnation(Agent->Life);
      Member.set_freshness(Agent->Core.load(this->World.now()).freshness());
      Entry->Service.onMember(Member, this->World.now().Steady);
    }
    for (const auto &[Name, Other] : this->Entries)
      Entry->Service.onMember(this->memberFor(Name, peer::ROLE_ENTRY),
                              this->World.now().Steady);
  }
}

void VirtualCluster::announceLost(const std::string &Agent) {
  peer::Member Member = this->memberFor(Agent, peer::ROLE_AGENT);
  Member.set_incarnation(this->Agents.at(Agent)->Life);
  Member.set_state(peer::MEMBER_LOST);
  for (auto &[Name, Entry] : this->Entries)
    Entry->Service.onMember(Member, this->World.now().Steady);
}

void VirtualCluster::startEntry(const std::string &Name) {
  this->Entries[Name] =
      std::make_unique<EntryNode>(*this, Name, this->nextLife());
  this->World.start(
      Name, [this, Name](const PeerRef &From, const peer::Message &Message) {
        this->Entries[Name]->receive(From, Message);
      });
  this->World.every(Name, this->Options.Tick,
                    [this, Name] { this->Entries[Name]->tick(); });
  this->World.onSendFailed(Name, [this, Name](const PeerRef &To) {
    this->Entries[Name]->Service.onSendFailed(To.Node, this->World.now());
  });
  if (this->Options.Controls == 0)
    this->Entries[Name]->Service.setCatalog(this->fixedView());
}

void VirtualCluster::startAgent(const std::string &Name) {
  this->Agents[Name] =
      std::make_unique<AgentNode>(*this, Name, this->nextLife());
  this->World.start(
      Name, [this, Name](const PeerRef &From, const peer::Message &Message) {
        this->Agents[Name]->receive(From, Message);
      });
  this->World.every(Name, this->Options.Tick,
                    [this, Name] { this->Agents[Name]->tick(); });
  this->World.onSendFailed(Name, [this, Name](const PeerRef &To) {
    this->Agents[Name]->Core.onSendFailed(To.Node, this->World.now());
  });
  if (this->Options.Controls == 0)
    this->Agents[Name]->Core.setCatalog(*this->fixedView(), this->World.now());
}

void VirtualCluster::startControl(const std::string &Name) {
  this->Controls[Name] = std::make_unique<ControlNode>(
      *this, Name, *this->Disks[Name], this->nextLife());
  this->World.start(
      Name, [this, Name](const PeerRef &From, const peer::Message &Message) {
        this->Controls[Name]->receive(From, Message);
      });
  this->World.every(Name, this->Options.Tick,
                    [this, Name] { this->Controls[Name]->tick(); });
}

void VirtualCluster::startReplica(const std::string &Name) {
  this->Disks[Name] = std::make_unique<MemoryLogStorage>(peer::ReplicaSet());
  this->startControl(Name);
}

void VirtualCluster::kill(const std::string &Node) {
  this->World.kill(Node);
  auto Disk = this->Disks.find(Node);
  if (Disk != this->Disks.end())
    Disk->second->crash();
}

void VirtualCluster::restart(const std::string &Node) {
  this->kill(Node);
  if (this->Entries.contains(Node))
    this->startEntry(Node);
  else if (this->Agents.contains(Node))
    this->startAgent(Node);
  else
    this->startControl(Node);
  this->announceFixed();
}

JobRequest VirtualCluster::makeJob(const std::string &Id, std::size_t Tasks) {
  JobRequest Request;
  Request.Id = Id;
  Request.Workspace = Place;
  Request.FirstSubmitted = this->World.now().Wall;
  Request.Fingerprint = Tasks;
  Request.TimeLeft = std::chrono::seconds(20);
  for (std::size_t I = 0; I < Tasks; ++I)
    Request.Tasks.push_back({fmt::format("{}#{}", Id, I), {}, {}});
  return Request;
}

std::size_t VirtualCluster::submit(const std::string &Entry,
                                   const JobRequest &Request) {
  std::size_t Number = this->Answers.size();
  this->Answers.push_back({Entry, Request.key()});
  this->Answers.back().SubmittedAt = this->World.now().Steady;
  if (this->World.isUp(Entry))
    this->Answers.back().EntryLife = this->Entries[Entry]->Life;
  if (this->World.isUp(Entry))
    this->Entries[Entry]->Service.submit(Request, Number, this->World.now());
  return Number;
}

std::size_t VirtualCluster::query(const std::string &Entry,
                                  const JobRequest &Request, QueryKind Kind) {
  std::size_t Number = this->Answers.size();
  this->Answers.push_back({Entry, Request.key()});
  this->Entries[Entry]->Service.query(Request.key(), Kind, Number,
                                      this->World.now());
  return Number;
}

void VirtualCluster::takeOutcome(std::size_t Number,
                                 const peer::JobOutcome *Outcome) {
  Answer &Target = this->Answers[Number];
  Target.Done = true;
  Target.At = this->World.now().Steady;
  if (++Target.Count > 1)
    this->Violation = "answered twice: " + Target.JobKey;
  if (Outcome == nullptr) {
    Target.Pending = true;
    return;
  }
  Target.Outcome = *Outcome;
  for (int I = 0; I < Outcome->results_size(); ++I) {
    std::string Id = Target.JobKey.substr(Target.JobKey.find('/') + 1);
    if (Outcome->results(I) != fmt::format("{}#{}", Id, I))
      this->Violation = fmt::format("wrong result {} in {}: '{}'", I,
                                    Target.JobKey, Outcome->results(I));
  }
  bool SaysNotRun = !Outcome->complete() &&
                    Outcome->failure().ran() == peer::RAN_NOT_RUN &&
                    Outcome->failure().kind() != peer::FAILURE_CONFLICT;
  auto First = this->Starts.lower_bound({Target.JobKey, 0});
  bool Ran = First != this->Starts.end() && First->first.Job == Target.JobKey;
  if (SaysNotRun && Ran)
    this->Violation = "said not run, but ran: " + Target.JobKey;
}

void VirtualCluster::noteStart(const std::string &Agent, const TaskKey &Task) {
  ++this->Starts[Task];
  this->LastStart[Agent] = this->World.now().Steady;
}

std::size_t VirtualCluster::unanswered() const {
  std::size_t Total = 0;
  for (const Answer &Heard : this->Answers) {
    bool SameLife = Heard.EntryLife != 0 && this->World.isUp(Heard.Entry) &&
                    this->Entries.at(Heard.Entry)->Life == Heard.EntryLife;
    Total += SameLife && !Heard.Done ? 1 : 0;
  }
  return Total;
}

std::uint32_t VirtualCluster::starts(const JobRequest &Request,
                                     std::uint32_t Task) const {
  auto Found = this->Starts.find({Request.key(), Task});
  return Found == this->Starts.end() ? 0 : Found->second;
}

std::uint32_t VirtualCluster::starts(const JobRequest &Request) const {
  std::uint32_t Total = 0;
  for (std::uint32_t I = 0; I < Request.Tasks.size(); ++I)
    Total += this->starts(Request, I);
  return Total;
}

std::uint32_t VirtualCluster::doubleStarts() const {
  std::uint32_t Total = 0;
  for (const auto &[Task, Count] : this->Starts)
    Total += Count > 1 ? 1 : 0;
  return Total;
}

TimePoint VirtualCluster::lastStartAt(const std::string &Agent) const {
  auto Found = this->LastStart.find(Agent);
  return Found == this->LastStart.end() ? TimePoint() : Found->second;
}

ControlService *VirtualCluster::control(const std::string &Name) {
  auto Found = this->Controls.find(Name);
  return Found == this->Controls.end() ? nullptr : &Found->second->Service;
}

std::string VirtualCluster::leader() {
  std::string Best;
  std::uint64_t Term = 0;
  for (auto &[Name, Replica] : this->Controls) {
    const RaftNode &Raft = Replica->Service.raft();
    if (this->World.isUp(Name) && Raft.leads() && Raft.term() > Term) {
      Best = Name;
      Term = Raft.term();
    }
  }
  return Best;
}

const NodeCatalog &VirtualCluster::catalogOf(const std::string &Node) const {
  auto Entry = this->Entries.find(Node);
  if (Entry != this->Entries.end())
    return Entry->second->Catalog;
  return this->Agents.at(Node)->Catalog;
}

AgentCore &VirtualCluster::agent(const std::string &Name) {
  return this->Agents.at(Name)->Core;
}

} // namespace yardwheel
