#include "emulator/virtual_cluster.h"

#include "catalog/parameters.h"
#include "emulator/virtual_nodes.h"

#include <fmt/format.h>

namespace yardwheel {

using virtual_cluster::Heartbeat;
using virtual_cluster::WorkspaceName;

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
  Workspace.mutable_create_workspace()->set_name(WorkspaceName);
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
  peer::Workspace &Workspace = View->Workspaces[WorkspaceName];
  Workspace.set_name(WorkspaceName);
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
  Member.set_pool(WorkspaceName);
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

/// Without control replicas, announces all agents and entries to every entry
/// directly.
void VirtualCluster::announceFixed() {
  if (this->Options.Controls > 0)
    return;
  for (auto &[EntryName, Entry] : this->Entries) {
    for (auto &[Name, Agent] : this->Agents) {
      peer::Member Member = this->memberFor(Name, peer::ROLE_AGENT);
      Member.set_incarnation(Agent->Incarnation);
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
  Member.set_incarnation(this->Agents.at(Agent)->Incarnation);
  Member.set_state(peer::MEMBER_LOST);
  for (auto &[Name, Entry] : this->Entries)
    Entry->Service.onMember(Member, this->World.now().Steady);
}

void VirtualCluster::startEntry(const std::string &Name) {
  this->Entries[Name] =
      std::make_unique<EntryNode>(*this, Name, this->nextIncarnation());
  this->World.start(
      Name, [this, Name](const PeerRef &From, const peer::Message &Message) {
        this->Entries[Name]->receive(From, Message);
      });
  this->World.every(Name, this->Options.Tick,
                    [this, Name] { this->Entries[Name]->tick(); });
  this->World.onSendFailed(Name, [this, Name](const Undelivered &Lost) {
    this->Entries[Name]->Service.onSendFailed(Lost.To.Node, this->World.now());
  });
  if (this->Options.Controls == 0)
    this->Entries[Name]->Service.setCatalog(this->fixedView());
}

void VirtualCluster::startAgent(const std::string &Name) {
  this->Agents[Name] =
      std::make_unique<AgentNode>(*this, Name, this->nextIncarnation());
  this->World.start(
      Name, [this, Name](const PeerRef &From, const peer::Message &Message) {
        this->Agents[Name]->receive(From, Message);
      });
  this->World.every(Name, this->Options.Tick,
                    [this, Name] { this->Agents[Name]->tick(); });
  this->World.onSendFailed(Name, [this, Name](const Undelivered &Lost) {
    this->Agents[Name]->Core.onSendFailed(Lost.To.Node, this->World.now());
  });
  if (this->Options.Controls == 0)
    this->Agents[Name]->Core.setCatalog(*this->fixedView(), this->World.now());
}

void VirtualCluster::startControl(const std::string &Name) {
  this->Controls[Name] = std::make_unique<ControlNode>(
      *this, Name, *this->Disks[Name], this->nextIncarnation());
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
  Request.Workspace = WorkspaceName;
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
    this->Answers.back().EntryIncarnation = this->Entries[Entry]->Incarnation;
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

void VirtualCluster::recordOutcome(std::size_t Number,
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
    this->Violation = "answered as not run, but was run: " + Target.JobKey;
}

void VirtualCluster::recordStart(const std::string &Agent,
                                 const TaskKey &Task) {
  ++this->Starts[Task];
  this->LastStart[Agent] = this->World.now().Steady;
}

std::size_t VirtualCluster::unanswered() const {
  std::size_t Total = 0;
  for (const Answer &Received : this->Answers) {
    bool SameLife = Received.EntryIncarnation != 0 &&
                    this->World.isUp(Received.Entry) &&
                    this->Entries.at(Received.Entry)->Incarnation ==
                        Received.EntryIncarnation;
    Total += SameLife && !Received.Done ? 1 : 0;
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
