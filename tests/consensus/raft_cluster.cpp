#include "tests/consensus/raft_cluster.h"

#include <fmt/format.h>

namespace yardwheel {

RaftCluster::RaftCluster(std::size_t Replicas, RaftOptions Options,
                         std::uint64_t Seed)
    : World(Seed), Options(std::move(Options)) {
  this->Options.Seed = Seed;
  peer::ReplicaSet Set;
  for (std::size_t I = 1; I <= Replicas; ++I) {
    peer::Replica *Added = Set.add_replicas();
    Added->set_name(fmt::format("r{}", I));
    Added->set_address(Added->name());
  }
  for (const peer::Replica &Known : Set.replicas()) {
    this->Disks[Known.name()] = std::make_unique<MemoryLogStorage>(Set);
    this->start(Known.name());
  }
}

void RaftCluster::start(const std::string &Name) {
  auto New = std::make_unique<Node>(*this, Name);
  RaftOptions NodeOptions = this->Options;
  NodeOptions.Name = Name;
  NodeOptions.Seed = this->Options.Seed * 1000 + ++this->Starts;
  New->Raft = std::make_unique<RaftNode>(NodeOptions, *this->Disks.at(Name),
                                         *New, this->World.now().Steady);
  this->Nodes[Name] = std::move(New);
  this->World.start(
      Name, [this, Name](const PeerRef &, const peer::Message &Message) {
        this->node(Name).step(Message.raft(), this->World.now().Steady);
      });
  this->World.every(Name, std::chrono::milliseconds(10), [this, Name] {
    this->node(Name).tick(this->World.now().Steady);
  });
}

void RaftCluster::crash(const std::string &Name) {
  this->World.kill(Name);
  this->Disks.at(Name)->crash();
}

void RaftCluster::restart(const std::string &Name) {
  this->crash(Name);
  this->start(Name);
}

void RaftCluster::join(const std::string &Name) {
  this->Disks[Name] = std::make_unique<MemoryLogStorage>(peer::ReplicaSet());
  this->start(Name);
}

void RaftCluster::loseDisk(const std::string &Name) {
  this->World.kill(Name);
  this->Nodes.erase(Name);
  this->Disks.erase(Name);
}

std::optional<std::uint64_t> RaftCluster::propose(const std::string &Name,
                                                  const std::string &Command) {
  Node &Target = *this->Nodes.at(Name);
  if (!this->World.isUp(Name) || !Target.Raft->leads())
    return std::nullopt;
  Target.Proposed[Target.Raft->log().lastIndex() + 1] = Command;
  return Target.Raft->propose(Command, this->World.now().Steady);
}

std::string RaftCluster::leader() {
  std::string Best;
  std::uint64_t Term = 0;
  for (auto &[Name, Target] : this->Nodes) {
    if (!this->World.isUp(Name) || !Target->Raft->leads() ||
        Target->Raft->term() <= Term)
      continue;
    Best = Name;
    Term = Target->Raft->term();
  }
  return Best;
}

std::vector<std::string> RaftCluster::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Target] : this->Nodes)
    Names.push_back(Name);
  return Names;
}

std::vector<std::string> RaftCluster::applied(const std::string &Name) const {
  return this->Nodes.at(Name)->Applied;
}

void RaftCluster::Node::send(peer::RaftMessage Message) {
  peer::Message Envelope;
  std::string To = Message.to();
  *Envelope.mutable_raft() = std::move(Message);
  this->Cluster.World.sinkOf(this->Name).send({To, To}, std::move(Envelope));
}

void RaftCluster::Node::apply(const peer::LogEntry &Entry) {
  std::string Content = Entry.SerializeAsString();
  auto [Known, New] =
      this->Cluster.Committed.try_emplace(Entry.index(), Content);
  if (!New && Known->second != Content)
    this->Cluster.Violation =
        fmt::format("two entries were applied at index {}", Entry.index());
  if (!Entry.has_command())
    return;
  this->Applied.push_back(Entry.command());
  auto Mine = this->Proposed.find(Entry.index());
  if (Mine != this->Proposed.end() && Mine->second == Entry.command())
    this->Cluster.Acknowledged.push_back(Entry.command());
}

std::string RaftCluster::Node::saveState() {
  std::string State;
  for (const std::string &Command : this->Applied)
    State += Command + "\n";
  return State;
}

void RaftCluster::Node::restoreState(const peer::Snapshot &Snapshot) {
  this->Applied.clear();
  std::string Command;
  for (char C : Snapshot.state()) {
    if (C != '\n') {
      Command.push_back(C);
      continue;
    }
    this->Applied.push_back(Command);
    Command.clear();
  }
}

void RaftCluster::Node::onLeadershipChange(bool Leads) {
  if (!Leads || !this->Raft)
    return;
  auto [Known, New] =
      this->Cluster.LeaderOfTerm.try_emplace(this->Raft->term(), this->Name);
  if (!New && Known->second != this->Name)
    this->Cluster.Violation =
        fmt::format("two leaders in term {}", this->Raft->term());
}

} // namespace yardwheel
