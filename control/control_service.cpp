#include "control/control_service.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace yardwheel {

ControlService::ControlService(ControlOptions Options, LogStorage &Storage,
                               PeerSink &Sink, Instant Now)
    : Options(std::move(Options)), Sink(Sink), Members(this->Options.Lease),
      Demand(this->Options.Lease), Groups(this->Options.Groups),
      Replicas(this->Options.Replicas), Started(Now.Steady),
      LastLeaderAt(Now.Steady), CurrentTime(Now), RoundStart(Now.Steady),
      TableBytesLeft(this->Options.MaxTableBytesPerRound) {
  this->Raft = std::make_unique<RaftNode>(this->Options.Raft, Storage, *this,
                                          Now.Steady);
  this->Raft->requireFormat(this->State.requiredLogFormat());
}

// ---- Changes ----

void ControlService::propose(const peer::Change &Change, Instant Now,
                             const ChangeHandler &Done) {
  this->append(
      [&] {
        return this->Raft->propose(Change.SerializeAsString(), Now.Steady);
      },
      Now, Done);
}

void ControlService::proposeReplicas(const peer::ReplicaSet &Set, Instant Now,
                                     const ChangeHandler &Done) {
  this->append([&] { return this->Raft->proposeReplicas(Set, Now.Steady); },
               Now, Done);
}

void ControlService::append(const AppendFunction &Append, Instant Now,
                            const ChangeHandler &Done) {
  this->CurrentTime = Now;
  if (!this->Raft->leads()) {
    Done({ProposalState::NotLeader, {}, "this replica does not lead"});
    return;
  }
  if (!this->Raft->hasRoom()) {
    Done({ProposalState::Overloaded, {}, "earlier changes wait for a quorum"});
    return;
  }
  // A single replica commits within Append(), so the handler must be registered
  // first.
  std::uint64_t Expected = this->Raft->log().lastIndex() + 1;
  this->track(Expected, Now, Done);
  try {
    if (Append())
      return;
  } catch (const Error &Problem) {
    this->Proposals.erase(Expected);
    Done({ProposalState::StorageFailed, {}, Problem.what()});
    return;
  }
  this->Proposals.erase(Expected);
  Done({ProposalState::Unknown,
        {},
        "an earlier change of the replicas is not committed yet"});
}

void ControlService::track(std::uint64_t Index, Instant Now,
                           ChangeHandler Done) {
  // A proposal at this index from an earlier term of this leader has been
  // overwritten.
  auto Old = this->Proposals.find(Index);
  if (Old != this->Proposals.end()) {
    Proposal Overwritten = std::move(Old->second);
    this->Proposals.erase(Old);
    Overwritten.Done({ProposalState::Unknown, {}, "the leader has changed"});
  }
  Proposal New;
  New.Term = this->Raft->term();
  New.Deadline = Now.Steady + this->Options.ProposalTimeout;
  New.Done = std::move(Done);
  this->Proposals[Index] = std::move(New);
}

void ControlService::apply(const peer::LogEntry &Entry) {
  peer::ChangeResult Result;
  Result.set_verdict(peer::CHANGE_DONE);
  Result.set_revision(Entry.index());
  peer::Change Change;
  if (Entry.has_command() && Change.ParseFromString(Entry.command())) {
    Result = this->State.apply(Entry.index(), Change);
    this->IsPushPending = true;
  } else {
    this->State.advance(Entry.index());
  }
  auto Found = this->Proposals.find(Entry.index());
  if (Found == this->Proposals.end())
    return;
  Proposal Ended = std::move(Found->second);
  this->Proposals.erase(Found);
  // The entry of another leader may have replaced the one proposed here.
  if (Ended.Term == Entry.term())
    Ended.Done({ProposalState::Applied, Result, ""});
  else
    Ended.Done({ProposalState::Unknown, {}, "the leader has changed"});
}

std::string ControlService::saveState() { return this->State.saveSnapshot(); }

void ControlService::restoreState(const peer::Snapshot &Snapshot) {
  if (!Snapshot.state().empty())
    this->State.loadSnapshot(Snapshot.state());
  this->State.advance(Snapshot.index());
}

void ControlService::tickProposals(TimePoint Now) {
  std::vector<Proposal> Expired;
  std::erase_if(this->Proposals, [&](auto &Item) {
    bool IsExpired = Now >= Item.second.Deadline;
    if (IsExpired)
      Expired.push_back(std::move(Item.second));
    return IsExpired;
  });
  for (Proposal &Ended : Expired)
    Ended.Done({ProposalState::Unknown, {}, "not committed in time"});
  std::vector<PendingRead> ExpiredReads;
  std::erase_if(this->Reads, [&](auto &Item) {
    bool IsExpired = Now >= Item.second.Deadline;
    if (IsExpired)
      ExpiredReads.push_back(std::move(Item.second));
    return IsExpired;
  });
  for (PendingRead &Ended : ExpiredReads)
    Ended.Done(false);
}

// ---- Reads ----

void ControlService::read(Instant Now, ReadHandler Done) {
  this->CurrentTime = Now;
  if (!this->Raft->leads()) {
    Done(false);
    return;
  }
  std::optional<std::uint64_t> Number = this->Raft->read(Now.Steady);
  // With a single replica, the read is confirmed before read() returns.
  bool Confirmed = Number && *Number <= this->LastConfirmedRead;
  if (!Number || Confirmed) {
    Done(Confirmed);
    return;
  }
  this->Reads[*Number] = {Now.Steady + this->Options.ProposalTimeout,
                          std::move(Done)};
}

void ControlService::onReadReady(std::uint64_t Read) {
  this->LastConfirmedRead = std::max(this->LastConfirmedRead, Read);
  auto Found = this->Reads.find(Read);
  if (Found != this->Reads.end()) {
    PendingRead Ended = std::move(Found->second);
    this->Reads.erase(Found);
    Ended.Done(true);
  }
  auto Heartbeats = this->HeartbeatsByRead.find(Read);
  if (Heartbeats == this->HeartbeatsByRead.end())
    return;
  for (const PendingHeartbeat &Pending : Heartbeats->second)
    this->replyTo(Pending.From, Pending.Heartbeat,
                  Pending.Heartbeat.sequence());
  this->HeartbeatsByRead.erase(Heartbeats);
}

std::size_t ControlService::heldHeartbeatBytes() const {
  std::size_t Sum = 0;
  for (const auto &[Node, Pending] : this->PendingHeartbeats)
    Sum += Pending.Heartbeat.ByteSizeLong();
  for (const auto &[Number, Heartbeats] : this->HeartbeatsByRead)
    for (const PendingHeartbeat &Pending : Heartbeats)
      Sum += Pending.Heartbeat.ByteSizeLong();
  return Sum;
}

void ControlService::failReads() {
  std::map<std::uint64_t, PendingRead> Ended;
  std::swap(Ended, this->Reads);
  for (auto &[Number, Pending] : Ended)
    Pending.Done(false);
  // Refuse the heartbeats instead of leaving them unanswered: a node that gets
  // no reply treats this replica as lost, and waits longer before it turns to
  // another one.
  std::map<std::uint64_t, std::vector<PendingHeartbeat>> Unconfirmed;
  std::swap(Unconfirmed, this->HeartbeatsByRead);
  for (const auto &[Number, Heartbeats] : Unconfirmed)
    for (const PendingHeartbeat &Pending : Heartbeats)
      this->refuseHeartbeat(Pending);
}

// ---- Messages ----

void ControlService::send(peer::RaftMessage Message) {
  std::string To = Message.to();
  PeerRef Target{To, ""};
  if (this->Raft)
    for (const peer::Replica &Known : this->Raft->log().replicas().replicas())
      if (Known.name() == To)
        Target.Address = Known.address();
  auto Heard = this->RaftPeers.find(To);
  if (Target.Address.empty() && Heard != this->RaftPeers.end())
    Target.Address = Heard->second.Address;
  this->reconnectIfSilent(Target);
  peer::Message Envelope;
  *Envelope.mutable_raft() = std::move(Message);
  this->Sink.send(Target, std::move(Envelope));
}

void ControlService::reconnectIfSilent(const PeerRef &Replica) {
  auto [Since, New] = this->UnansweredSince.try_emplace(
      Replica.Address, this->CurrentTime.Steady);
  // Answers that came after LastIdle may be unread in this process, for example
  // after a disk stall.
  if (this->LastIdle < Since->second + this->Options.Raft.ElectionTimeout)
    return;
  Since->second = this->CurrentTime.Steady;
  this->Sink.reconnect(Replica);
}

void ControlService::onMessage(const PeerRef &From,
                               const peer::Message &Message, Instant Now) {
  this->CurrentTime = Now;
  if (Message.has_raft()) {
    this->RaftPeers[From.Node] = {From.Address, Now.Steady};
    this->UnansweredSince.erase(From.Address);
    this->Raft->step(Message.raft(), Now.Steady);
    return;
  }
  if (Message.has_join_request()) {
    this->onJoinRequest(Message.join_request(), Now);
    return;
  }
  if (Message.has_disk_query()) {
    this->onDiskQuery(From, Message.disk_query());
    return;
  }
  if (Message.has_leave_request()) {
    this->onLeaveRequest(Message.leave_request(), Now);
    return;
  }
  if (Message.has_leave_reply()) {
    this->IsReleased = this->IsReleased || Message.leave_reply().may_stop();
    return;
  }
  if (!Message.has_heartbeat())
    return;
  PendingHeartbeat Pending{From, Message.heartbeat()};
  if (!this->Raft->leads()) {
    this->refuseHeartbeat(Pending);
    return;
  }
  this->Demand.onHeartbeat(Pending.Heartbeat, Now.Steady);
  if (this->Members.onHeartbeat(Pending.Heartbeat, Now.Steady))
    this->IsPushPending = true;
  this->hold(std::move(Pending));
}

void ControlService::hold(PendingHeartbeat Pending) {
  const std::string &Node = Pending.Heartbeat.member().name();
  auto [Held, New] = this->PendingHeartbeats.try_emplace(Node);
  auto Age = [](const peer::Heartbeat &Sent) {
    return std::pair(Sent.member().incarnation(), Sent.sequence());
  };
  if (New || Age(Pending.Heartbeat) > Age(Held->second.Heartbeat))
    Held->second = std::move(Pending);
}

void ControlService::refuseHeartbeat(const PendingHeartbeat &Pending) {
  peer::Message Message;
  peer::HeartbeatReply *Reply = Message.mutable_heartbeat_reply();
  Reply->set_accepted(false);
  Reply->set_sequence(Pending.Heartbeat.sequence());
  Reply->set_incarnation(Pending.Heartbeat.member().incarnation());
  if (const peer::Replica *Leader = this->leader())
    Reply->set_leader_address(Leader->address());
  *Reply->mutable_replicas() = this->Raft->log().replicas().replicas();
  this->Sink.send(Pending.From, std::move(Message));
}

void ControlService::answerHeartbeats() {
  if (this->PendingHeartbeats.empty() ||
      this->HeartbeatsByRead.size() >= this->Options.MaxPendingReads)
    return;
  std::vector<PendingHeartbeat> Heartbeats;
  for (auto &[Node, Pending] : this->PendingHeartbeats)
    Heartbeats.push_back(std::move(Pending));
  this->PendingHeartbeats.clear();
  // One quorum round confirms all heartbeats received since the last one.
  std::optional<std::uint64_t> Number =
      this->Raft->read(this->CurrentTime.Steady);
  if (!Number) {
    for (const PendingHeartbeat &Pending : Heartbeats)
      this->refuseHeartbeat(Pending);
    return;
  }
  this->HeartbeatsByRead[*Number] = std::move(Heartbeats);
  if (*Number <= this->LastConfirmedRead)
    this->onReadReady(*Number);
}

void ControlService::replyTo(const PeerRef &To,
                             const peer::Heartbeat &Heartbeat,
                             std::uint64_t Sequence) {
  peer::Message Message;
  peer::HeartbeatReply *Reply = Message.mutable_heartbeat_reply();
  Reply->set_accepted(true);
  Reply->set_sequence(Sequence);
  Reply->set_incarnation(Heartbeat.member().incarnation());
  if (const MemberRegistry::Entry *Known =
          this->Members.find(Heartbeat.member().name()))
    Reply->set_known_incarnation(Known->Member.incarnation());
  *Reply->mutable_replicas() = this->Raft->log().replicas().replicas();
  if (this->maySendTables(To))
    this->addTables(*Reply, Heartbeat);
  else if (Heartbeat.revision() < this->State.revision()) {
    // An update that builds on what the node lacks: it is not taken over, and
    // the node does not take its own configuration for confirmed.
    Reply->mutable_catalog()->set_revision(this->State.revision());
    Reply->mutable_catalog()->set_since(this->State.revision());
    this->Deferred.insert(Heartbeat.member().name());
  }
  // Changes that are pushed unasked go without the demand.
  if (Sequence != 0)
    this->Demand.addTo(*Reply, Heartbeat, this->CurrentTime.Steady);
  this->Sink.send(To, std::move(Message));
}

bool ControlService::maySendTables(const PeerRef &To) const {
  return this->TableBytesLeft > 0 && !this->Sink.isCongested(To);
}

void ControlService::addTables(peer::HeartbeatReply &Reply,
                               const peer::Heartbeat &Heartbeat) {
  if (Heartbeat.revision() < this->State.revision())
    *Reply.mutable_catalog() =
        this->State.nodeUpdateSince(Heartbeat.revision());
  if (this->Members.isSettled(this->CurrentTime.Steady))
    *Reply.mutable_members() = this->Members.updateFor(Heartbeat);
  else
    *Reply.mutable_members() = this->Members.partialFor(Heartbeat);
  std::size_t Bytes = Reply.ByteSizeLong();
  this->TableBytesLeft -= std::min(this->TableBytesLeft, Bytes);
  this->Members.onRevisionSent(Heartbeat.member().name(),
                               this->State.revision());
}

void ControlService::beginRound(TimePoint Now) {
  bool HasReadInput = this->LastIdle > this->RoundStart;
  if (!HasReadInput && Now - this->RoundStart < this->Options.MaxRoundTime)
    return;
  this->RoundStart = Now;
  this->TableBytesLeft = this->Options.MaxTableBytesPerRound;
}

void ControlService::push() {
  std::set<std::string> Due;
  std::swap(Due, this->Deferred);
  if (std::exchange(this->IsPushPending, false))
    for (const auto &[Name, Entry] : this->Members.entries())
      Due.insert(Name);
  std::vector<std::string> Order(Due.upper_bound(this->LastServed), Due.end());
  Order.insert(Order.end(), Due.begin(), Due.upper_bound(this->LastServed));
  for (const std::string &Name : Order)
    if (this->pushTo(Name))
      this->Deferred.insert(Name);
}

bool ControlService::pushTo(const std::string &Name) {
  const MemberRegistry::Entry *Entry = this->Members.find(Name);
  // A node that has not yet received its first configuration waits for the
  // confirmed reply to its heartbeat.
  if (Entry == nullptr || Entry->Member.state() == peer::MEMBER_LOST ||
      Entry->Revision == 0)
    return false;
  bool HasTable = Entry->Member.role() == peer::ROLE_AGENT ||
                  (Entry->TableTerm == this->Raft->term() &&
                   Entry->TableVersion >= this->Members.version());
  // Each change is pushed once. A node that has missed one ignores the later
  // ones, and gets all of them with the reply to its next heartbeat.
  std::uint64_t Sent = std::max(Entry->Revision, Entry->SentRevision);
  if (Sent >= this->State.revision() && HasTable)
    return false;
  PeerRef To{Name, Entry->Member.address()};
  if (!this->maySendTables(To))
    return true;
  peer::Heartbeat LastHeartbeat;
  *LastHeartbeat.mutable_member() = Entry->Member;
  LastHeartbeat.set_revision(Sent);
  LastHeartbeat.set_table_term(Entry->TableTerm);
  LastHeartbeat.set_table_version(Entry->TableVersion);
  this->replyTo(To, LastHeartbeat, /*Sequence=*/0);
  this->LastServed = Name;
  return false;
}

// ---- Timers and leadership ----

void ControlService::onLeadershipChange(bool Leads) {
  if (Leads) {
    this->Members.reset(this->Raft->term(), this->CurrentTime.Steady);
    this->Demand.reset(this->CurrentTime.Steady);
    return;
  }
  this->failReads();
  for (const auto &[Node, Pending] : this->PendingHeartbeats)
    this->refuseHeartbeat(Pending);
  this->PendingHeartbeats.clear();
  this->Deferred.clear();
}

void ControlService::onVoteDecision(const VoteDecision &Vote) {
  this->Log.decision(Vote.Refusal.empty() ? "vote_granted" : "vote_refused",
                     {{"candidate", Vote.Candidate},
                      {"term", Vote.Term},
                      {"pre_vote", Vote.IsPreVote},
                      {"reason", Vote.Refusal}});
}

void ControlService::onCampaign(const CampaignState &State) {
  this->Log.decision("campaign",
                     {{"term", State.Term},
                      {"pre_vote", State.IsPreVote},
                      {"votes", fmt::format("{}", fmt::join(State.Votes, " "))},
                      {"won", State.IsWon}});
}

void ControlService::onLossReported(const std::string &Reporter,
                                    const std::string &Lost) {
  this->Log.decision("disk_loss_reported",
                     {{"replica", Lost}, {"reporter", Reporter}});
}

std::optional<TimePoint>
ControlService::lastHeard(const std::string &Replica) const {
  auto Found = this->RaftPeers.find(Replica);
  if (Found == this->RaftPeers.end())
    return std::nullopt;
  return Found->second.HeardAt;
}

Duration ControlService::leaderlessTime(Instant Now) const {
  return this->Raft->leader().empty() ? Now.Steady - this->LastLeaderAt
                                      : Duration{0};
}

void ControlService::tick(Instant Now, std::optional<TimePoint> NewLastIdle) {
  this->CurrentTime = Now;
  this->LastIdle = NewLastIdle.value_or(Now.Steady);
  this->beginRound(Now.Steady);
  this->Raft->requireFormat(this->State.requiredLogFormat());
  this->Raft->tick(Now.Steady);
  if (!this->Raft->leader().empty())
    this->LastLeaderAt = Now.Steady;
  this->tickProposals(Now.Steady);
  if (this->IsLeaving)
    this->tickLeave(Now);
  else
    this->tickJoin(Now);
  this->tickDiskQueries(Now);
  if (!this->Raft->leads())
    return;
  this->tickReplicas(Now);
  if (this->Members.isSettled(Now.Steady)) {
    if (this->Members.tick(Now.Steady))
      this->IsPushPending = true;
    this->tickGroups(Now);
  }
  this->answerHeartbeats();
  this->push();
}

void ControlService::tickGroups(Instant Now) {
  if (this->IsGroupChangePending)
    return;
  std::optional<peer::Change> Change =
      this->Groups.next(this->State, this->Members, Now.Steady);
  if (!Change)
    return;
  this->IsGroupChangePending = true;
  this->propose(*Change, Now, [this](const ProposalOutcome &) {
    this->IsGroupChangePending = false;
  });
}

// ---- Changes of the replica set ----

void ControlService::onJoinRequest(const peer::JoinRequest &Request,
                                   Instant Now) {
  this->checkPredecessors(Request);
  if (this->Raft->leads()) {
    this->Replicas.onJoinRequest(Request, Now.Steady);
    return;
  }
  peer::Message Message;
  *Message.mutable_join_request() = Request;
  this->forwardToLeader(Message);
}

void ControlService::checkPredecessors(const peer::JoinRequest &Request) {
  const peer::Replica &Joining = Request.replica();
  std::vector<std::string> Unnamed;
  for (const peer::Replica &Known : this->Raft->log().replicas().replicas()) {
    if (Known.address() != Joining.address() || Known.name() == Joining.name())
      continue;
    if (std::ranges::count(Request.predecessors(), Known.name()) == 0)
      Unnamed.push_back(Known.name());
    else if (this->Raft->noteLostDisk(Known.name()))
      this->Log.decision("disk_lost", {{"replica", Known.name()},
                                       {"successor", Joining.name()}});
  }
  if (!Unnamed.empty())
    this->sendDiskQuery({Joining.name(), Joining.address()}, Unnamed);
}

void ControlService::sendDiskQuery(const PeerRef &Host,
                                   const std::vector<std::string> &Replicas) {
  peer::Message Message;
  Message.mutable_disk_query()->mutable_replicas()->Assign(Replicas.begin(),
                                                           Replicas.end());
  this->Sink.send(Host, std::move(Message));
}

void ControlService::onDiskQuery(const PeerRef &From,
                                 const peer::DiskQuery &Query) {
  bool HasOther = false;
  for (const std::string &Name : Query.replicas()) {
    if (Name == this->Options.Self.name())
      continue;
    this->Predecessors.insert(Name);
    HasOther = true;
  }
  // A request to join would withdraw the request to leave.
  if (!HasOther || this->IsLeaving)
    return;
  this->Askers[From.Address] = From;
  this->Sink.send(From, this->joinRequest());
}

bool ControlService::isLeaderSilent(Instant Now) const {
  TimePoint Heard = std::max(this->Raft->lastLeaderContact(), this->Started);
  return !this->Raft->leads() &&
         Now.Steady - Heard > this->Options.RejoinTimeout;
}

void ControlService::tickDiskQueries(Instant Now) {
  bool IsManaged = this->Options.Replicas.Voters > 0;
  bool MayAsk = this->Raft->leads() ||
                (this->isLeaderSilent(Now) && this->Raft->isVoter());
  if (!IsManaged || !MayAsk || Now.Steady < this->NextDiskQuery)
    return;
  this->NextDiskQuery = Now.Steady + this->Options.DiskQueryInterval;
  std::map<std::string, std::vector<std::string>> Silent;
  for (const peer::Replica &Known : this->Raft->log().replicas().replicas())
    if (Known.name() != this->Options.Self.name() &&
        this->mayHaveLostDisk(Known))
      Silent[Known.address()].push_back(Known.name());
  for (const auto &[Address, Names] : Silent)
    this->sendDiskQuery({"", Address}, Names);
}

bool ControlService::mayHaveLostDisk(const peer::Replica &Known) const {
  // Without a leader, nobody hears the voters regularly.
  if (!this->Raft->leads())
    return !Known.learner();
  std::optional<TimePoint> Heard = this->Raft->lastHeard(Known.name());
  TimePoint ReadUpTo = std::min(this->LastIdle, this->CurrentTime.Steady);
  return Heard && ReadUpTo - *Heard > this->Options.RejoinTimeout;
}

void ControlService::onLeaveRequest(const peer::LeaveRequest &Request,
                                    Instant Now) {
  peer::Message Message;
  if (!this->Raft->leads()) {
    *Message.mutable_leave_request() = Request;
    this->forwardToLeader(Message);
    return;
  }
  const peer::Replica &Leaving = Request.replica();
  this->Replicas.onLeaveRequest(Leaving, Now.Steady);
  Message.mutable_leave_reply()->set_may_stop(
      this->Replicas.mayStop(*this->Raft, Leaving.name()));
  this->Sink.send({Leaving.name(), Leaving.address()}, std::move(Message));
}

void ControlService::forwardToLeader(const peer::Message &Message) {
  const peer::Replica *Leader = this->leader();
  if (Leader != nullptr && Leader->name() != this->Options.Self.name())
    this->Sink.send({Leader->name(), Leader->address()}, Message);
}

void ControlService::tickJoin(Instant Now) {
  bool IsManaged = this->Options.Replicas.Voters > 0;
  if (!IsManaged || this->Raft->leads() || Now.Steady < this->NextJoin)
    return;
  this->NextJoin = Now.Steady + this->Options.JoinInterval;
  const peer::ReplicaSet &Present = this->Raft->log().replicas();
  // One that was leaving when it was last shut down is to stay now.
  const peer::Replica *Self = this->findReplica(this->Options.Self.name());
  bool IsMember = Self != nullptr && !Self->leaving();
  if (Self != nullptr)
    this->Options.IsFirstStart = false;
  if (IsMember && !this->isLeaderSilent(Now))
    return;
  std::map<std::string, PeerRef> Targets = this->Askers;
  for (const PeerRef &Seed : this->Options.Seeds)
    Targets[Seed.Address] = Seed;
  for (const peer::Replica &Known : Present.replicas())
    Targets[Known.address()] = {Known.name(), Known.address()};
  Targets.erase(this->Options.Self.address());
  for (const auto &[Address, Target] : Targets)
    this->Sink.send(Target, this->joinRequest());
}

peer::Message ControlService::joinRequest() const {
  peer::Message Message;
  peer::JoinRequest *Request = Message.mutable_join_request();
  *Request->mutable_replica() = this->Options.Self;
  Request->set_first_start(this->Options.IsFirstStart);
  Request->mutable_predecessors()->Assign(this->Predecessors.begin(),
                                          this->Predecessors.end());
  return Message;
}

void ControlService::tickLeave(Instant Now) {
  if (Now.Steady < this->NextLeave || this->mayStop())
    return;
  this->NextLeave = Now.Steady + this->Options.LeaveInterval;
  peer::LeaveRequest Request;
  *Request.mutable_replica() = this->Options.Self;
  if (this->Raft->leads()) {
    this->Replicas.onLeaveRequest(this->Options.Self, Now.Steady);
    return;
  }
  // Without a known leader, one of the others may know it.
  const peer::Replica *Leader = this->leader();
  for (const peer::Replica &Known : this->Raft->log().replicas().replicas()) {
    bool IsAsked = Leader == nullptr || Leader->name() == Known.name();
    if (!IsAsked || Known.name() == this->Options.Self.name())
      continue;
    peer::Message Message;
    *Message.mutable_leave_request() = Request;
    this->Sink.send({Known.name(), Known.address()}, std::move(Message));
  }
}

bool ControlService::mayStop() const {
  if (!this->IsLeaving)
    return false;
  bool HasSet = this->Raft->log().replicas().replicas_size() > 0;
  if (this->Options.Replicas.Voters == 0 || !HasSet || this->IsReleased)
    return true;
  // A leader that has removed itself no longer leads.
  const std::string &Self = this->Options.Self.name();
  bool Decides = this->Raft->leads() || this->findReplica(Self) == nullptr;
  return Decides && this->Replicas.mayStop(*this->Raft, Self);
}

void ControlService::tickReplicas(Instant Now) {
  if (this->IsReplicaChangePending)
    return;
  std::optional<ReplicaChange> Next = this->Replicas.next(
      *this->Raft, this->Options.Raft.Name, Now.Steady, this->LastIdle);
  if (!Next)
    return;
  std::string Names;
  for (const peer::Replica &Known : Next->Set.replicas())
    Names += Known.name() + (Known.learner() ? "(learner) " : "") +
             (Known.leaving() ? "(leaving) " : "") + " ";
  this->IsReplicaChangePending = true;
  this->proposeReplicas(
      Next->Set, Now,
      [this, Names, Change = *Next](const ProposalOutcome &Done) {
        this->IsReplicaChangePending = false;
        if (Done.State == ProposalState::Applied)
          this->Log.decision("replicas_changed",
                             {{"replica", Change.Replica},
                              {"reason", Change.Reason},
                              {"replicas", Names},
                              {"revision", Done.Result.revision()}});
      });
}

void ControlService::drain(Instant Now) {
  this->CurrentTime = Now;
  this->Raft->stepDown(Now.Steady);
}

const peer::Replica *ControlService::leader() const {
  return this->findReplica(this->Raft->leader());
}

const peer::Replica *
ControlService::findReplica(const std::string &Name) const {
  for (const peer::Replica &Known : this->Raft->log().replicas().replicas())
    if (Known.name() == Name)
      return &Known;
  return nullptr;
}

} // namespace yardwheel
