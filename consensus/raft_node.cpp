#include "consensus/raft_node.h"

#include "core/error.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Heartbeats sent within one election timeout.
constexpr int HeartbeatsPerElectionTimeout = 5;

} // namespace

RaftNode::RaftNode(RaftOptions Options, LogStorage &Storage, RaftEvents &Events,
                   TimePoint Now)
    : Options(std::move(Options)), Storage(Storage), Events(Events),
      Random(this->Options.Seed) {
  StoredLog Stored = this->Storage.load();
  this->Hard = Stored.Hard;
  this->Log.load(std::move(Stored));
  const peer::Snapshot &Snapshot = this->Log.snapshot();
  this->Commit = Snapshot.index();
  this->Applied = Snapshot.index();
  if (Snapshot.index() > 0)
    this->Events.restoreState(Snapshot);
  this->resetElectionDeadline(Now);
}

void RaftNode::tick(TimePoint Now) {
  if (this->leads()) {
    this->checkQuorum(Now);
    // Again, if it could not be stored before.
    this->confirmReplicas(Now);
    if (this->leads() && Now >= this->NextHeartbeat)
      this->broadcast(Now);
    return;
  }
  if (Now < this->ElectionDeadline)
    return;
  ++this->Campaigns;
  this->resetElectionDeadline(Now);
  // A replica that does not vote forgets its leader as well. Otherwise it would
  // refer nodes to a former leader, which kept an outdated route table in use
  // for 7 s too long.
  this->Leader.clear();
  if (this->isVoter())
    this->campaign(this->Options.PreVote, Now);
}

void RaftNode::step(const peer::RaftMessage &Message, TimePoint Now) {
  // The message is for a replica that used this address before.
  if (Message.to() != this->Options.Name)
    return;
  this->recordLosses(Message);
  bool IsVote = Message.has_vote_request();
  bool PreReply = Message.has_vote_reply() && Message.vote_reply().pre();
  // A replica that has a live leader ignores vote requests of others, so that
  // they cannot disrupt that leader.
  if (IsVote && this->Options.CheckQuorum && this->hasRecentLeader(Now) &&
      Message.from() != this->Leader) {
    this->Events.onVoteDecision({Message.from(), Message.term(),
                                 Message.vote_request().pre(),
                                 "hears a leader"});
    return;
  }
  bool PreVote = IsVote && Message.vote_request().pre();
  if (Message.term() > this->Hard.term() && !PreVote && !PreReply) {
    bool FromLeader =
        Message.has_append_request() || Message.has_install_snapshot();
    this->becomeFollower(Message.term(), FromLeader ? Message.from() : "", Now);
  }
  switch (Message.body_case()) {
  case peer::RaftMessage::kVoteRequest:
    this->onVoteRequest(Message, Now);
    return;
  case peer::RaftMessage::kVoteReply:
    this->onVoteReply(Message, Now);
    return;
  case peer::RaftMessage::kAppendRequest:
    this->onAppend(Message, Now);
    return;
  case peer::RaftMessage::kAppendReply:
    this->onAppendReply(Message, Now);
    return;
  case peer::RaftMessage::kInstallSnapshot:
    this->onInstallSnapshot(Message, Now);
    return;
  default:
    return;
  }
}

std::optional<std::uint64_t> RaftNode::propose(const std::string &Command,
                                               TimePoint Now) {
  if (!this->leads() || !this->hasRoom())
    return std::nullopt;
  peer::LogEntry Entry;
  Entry.set_command(Command);
  this->appendLocal(std::move(Entry), Now);
  return this->Log.lastIndex();
}

bool RaftNode::hasRoom() const {
  return this->Log.bytesFrom(this->Commit + 1) < this->Options.MaxLogBytes;
}

std::optional<std::uint64_t>
RaftNode::proposeReplicas(const peer::ReplicaSet &Set, TimePoint Now) {
  bool IsCommitted = this->Log.replicasIndex() <= this->Commit ||
                     this->Log.hasRepeatedReplicas();
  bool Settled = IsCommitted && this->Log.hasSameVoters() &&
                 this->LeadershipIndex <= this->Commit;
  if (!this->leads() || !Settled)
    return std::nullopt;
  peer::LogEntry Entry;
  *Entry.mutable_replicas() = Set;
  this->appendLocal(std::move(Entry), Now);
  return this->Log.lastIndex();
}

std::optional<std::uint64_t> RaftNode::read(TimePoint Now) {
  if (!this->leads())
    return std::nullopt;
  this->Reads.push_back({++this->LastRead, this->Round + 1});
  std::uint64_t Number = this->LastRead;
  this->broadcast(Now);
  this->finishReads();
  return Number;
}

void RaftNode::stepDown(TimePoint Now) {
  if (this->leads())
    this->becomeFollower(this->Hard.term(), "", Now);
}

bool RaftNode::isVoter() const {
  const peer::Replica *Self = this->findReplica(this->Options.Name);
  return Self != nullptr && !Self->learner();
}

bool RaftNode::isCaughtUp(const std::string &Name) const {
  auto Found = this->Followers.find(Name);
  return Found != this->Followers.end() && Found->second.Match >= this->Commit;
}

std::optional<TimePoint> RaftNode::lastHeard(const std::string &Name) const {
  auto Found = this->Followers.find(Name);
  if (Found == this->Followers.end())
    return std::nullopt;
  return Found->second.LastHeard;
}

std::optional<TimePoint> RaftNode::lastReply(const std::string &Name) const {
  auto Found = this->Followers.find(Name);
  if (Found == this->Followers.end() || Found->second.AckedRound == 0)
    return std::nullopt;
  return Found->second.LastHeard;
}

std::vector<FollowerStatus> RaftNode::followers() const {
  std::vector<FollowerStatus> Result;
  if (!this->leads())
    return Result;
  for (const auto &[Name, Follower] : this->Followers)
    Result.push_back({Name, Follower.Next, Follower.Match, Follower.LastHeard});
  return Result;
}

std::string RaftNode::findOlderThan(std::uint32_t LogFormat) const {
  for (const auto &[Name, Follower] : this->Followers)
    if (Follower.LogFormat && *Follower.LogFormat < LogFormat)
      return Name;
  return {};
}

const peer::Replica *RaftNode::findReplica(const std::string &Name) const {
  for (const peer::Replica &Candidate : this->Log.replicas().replicas())
    if (Candidate.name() == Name)
      return &Candidate;
  return nullptr;
}

bool RaftNode::countsFormerVoters() const {
  return this->Options.CountFormerVoters && !this->Log.hasSameVoters() &&
         this->Log.replicasIndex() > this->Commit;
}

std::set<std::string> RaftNode::countedVoters() const {
  std::vector<std::string> Names = votersOf(this->Log.replicas());
  std::set<std::string> Counted(Names.begin(), Names.end());
  if (this->countsFormerVoters()) {
    std::vector<std::string> Former = votersOf(this->Log.previousReplicas());
    Counted.insert(Former.begin(), Former.end());
  }
  return Counted;
}

Quorum RaftNode::quorum() const {
  Quorum Rule(this->Reports);
  Rule.setReportsShared(!this->Options.RequireOwnReports);
  Rule.require(votersOf(this->Log.replicas()));
  if (this->countsFormerVoters())
    Rule.require(votersOf(this->Log.previousReplicas()));
  return Rule;
}

bool RaftNode::noteLostDisk(const std::string &Name) {
  this->dropOldReports();
  if (Name == this->Options.Name || !this->countedVoters().contains(Name))
    return false;
  bool IsNew = this->Reports[this->Options.Name].insert(Name).second;
  if (IsNew)
    this->Events.onLossReported(this->Options.Name, Name);
  return IsNew;
}

bool RaftNode::hasLostDisk(const std::string &Name) const {
  auto Own = this->Reports.find(this->Options.Name);
  return Own != this->Reports.end() && Own->second.contains(Name);
}

void RaftNode::recordLosses(const peer::RaftMessage &Message) {
  for (const std::string &Name : Message.lost()) {
    this->noteLostDisk(Name);
    if (this->countedVoters().contains(Message.from()) &&
        this->Reports[Message.from()].insert(Name).second)
      this->Events.onLossReported(Message.from(), Name);
  }
}

void RaftNode::dropOldReports() {
  std::set<std::string> Counted = this->countedVoters();
  for (auto &[Name, Lost] : this->Reports)
    std::erase_if(Lost, [&](const std::string &Replica) {
      return !Counted.contains(Replica);
    });
  std::erase_if(this->Reports,
                [](const auto &Item) { return Item.second.empty(); });
}

peer::RaftMessage RaftNode::messageTo(const std::string &Name) const {
  peer::RaftMessage Message;
  Message.set_from(this->Options.Name);
  Message.set_to(Name);
  Message.set_term(this->Hard.term());
  auto Own = this->Reports.find(this->Options.Name);
  if (Own != this->Reports.end())
    Message.mutable_lost()->Assign(Own->second.begin(), Own->second.end());
  return Message;
}

void RaftNode::persistHardState(std::uint64_t Term,
                                const std::string &VotedFor) {
  peer::HardState New;
  New.set_term(Term);
  New.set_voted_for(VotedFor);
  this->Storage.saveHardState(New);
  if (this->Options.SyncBeforeReply)
    this->Storage.sync();
  this->Hard = New;
}

std::chrono::milliseconds RaftNode::electionTimeout() const {
  bool Early = this->LastLeaderContact == TimePoint::min() &&
               this->Campaigns < this->Options.MaxEarlyCampaigns;
  return Early ? std::min(this->Options.FirstElectionTimeout,
                          this->Options.ElectionTimeout)
               : this->Options.ElectionTimeout;
}

void RaftNode::resetElectionDeadline(TimePoint Now) {
  auto Base = std::chrono::duration_cast<Duration>(this->electionTimeout());
  Duration Extra(this->Random() % static_cast<std::uint64_t>(Base.count()));
  this->ElectionDeadline = Now + Base + Extra;
}

std::chrono::milliseconds RaftNode::heartbeatInterval() const {
  return this->Options.ElectionTimeout / HeartbeatsPerElectionTimeout;
}

void RaftNode::broadcast(TimePoint Now) {
  ++this->Round;
  this->NextHeartbeat = Now + this->heartbeatInterval();
  this->syncProgress(Now);
  for (const auto &[Name, Follower] : this->Followers)
    this->sendTo(Name, Now);
}

} // namespace yardwheel
