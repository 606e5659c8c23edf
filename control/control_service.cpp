#include "control/control_service.h"

#include "core/error.h"

#include <algorithm>

namespace yardwheel {

ControlService::ControlService(ControlOptions Options, LogStorage &Storage,
                               PeerSink &Sink, Instant Now)
    : Options(std::move(Options)), Sink(Sink), Members(this->Options.Lease),
      Groups(this->Options.Groups), Replicas(this->Options.Replicas),
      Started(Now.Steady), Latest(Now),
      Raft(std::make_unique<RaftNode>(this->Options.Raft, Storage, *this,
                                      Now.Steady)) {}

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
  this->Latest = Now;
  if (!this->Raft->leads()) {
    Done({ProposalState::NotLeader, {}, "this replica does not lead"});
    return;
  }
  // A single replica commits at once: the handler must be there before.
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
  // An earlier leadership's proposal at this index has lost its place.
  auto Old = this->Proposals.find(Index);
  if (Old != this->Proposals.end()) {
    Proposal Lost = std::move(Old->second);
    this->Proposals.erase(Old);
    Lost.Done({ProposalState::Unknown, {}, "the leader has changed"});
  }
  Proposal New;
  New.Term = this->Raft->term();
  New.GiveUp = Now.Steady + this->Options.ProposalTimeout;
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
    this->PushDue = true;
  } else {
    this->State.advance(Entry.index());
  }
  auto Found = this->Proposals.find(Entry.index());
  if (Found == this->Proposals.end())
    return;
  Proposal Ended = std::move(Found->second);
  this->Proposals.erase(Found);
  // Another leader's entry may have taken the place of the one proposed.
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
  std::vector<Proposal> Late;
  std::erase_if(this->Proposals, [&](auto &Item) {
    bool Over = Now >= Item.second.GiveUp;
    if (Over)
      Late.push_back(std::move(Item.second));
    return Over;
  });
  for (Proposal &Ended : Late)
    Ended.Done({ProposalState::Unknown, {}, "not committed in time"});
  std::vector<WaitingRead> LateReads;
  std::erase_if(this->Reads, [&](auto &Item) {
    bool Over = Now >= Item.second.GiveUp;
    if (Over)
      LateReads.push_back(std::move(Item.second));
    return Over;
  });
  for (WaitingRead &Ended : LateReads)
    Ended.Done(false);
}

// ---- Reads ----

void ControlService::read(Instant Now, ReadHandler Done) {
  this->Latest = Now;
  if (!this->Raft->leads()) {
    Done(false);
    return;
  }
  std::optional<std::uint64_t> Number = this->Raft->read(Now.Steady);
  // A single replica confirms before read() returns.
  bool Confirmed = Number && *Number <= this->LastReady;
  if (!Number || Confirmed) {
    Done(Confirmed);
    return;
  }
  this->Reads[*Number] = {Now.Steady + this->Options.ProposalTimeout,
                          std::move(Done)};
}

void ControlService::onReadReady(std::uint64_t Read) {
  this->LastReady = std::max(this->LastReady, Read);
  auto Waiting = this->Reads.find(Read);
  if (Waiting != this->Reads.end()) {
    WaitingRead Ended = std::move(Waiting->second);
    this->Reads.erase(Waiting);
    Ended.Done(true);
  }
  auto Asked = this->BeatsOfRead.find(Read);
  if (Asked == this->BeatsOfRead.end())
    return;
  for (const WaitingBeat &Beat : Asked->second)
    this->replyTo(Beat.From, Beat.Beat, Beat.Beat.sequence());
  this->BeatsOfRead.erase(Asked);
}

void ControlService::failReads() {
  std::map<std::uint64_t, WaitingRead> Ended;
  std::swap(Ended, this->Reads);
  for (auto &[Number, Waiting] : Ended)
    Waiting.Done(false);
  // A node that hears nothing takes this replica for lost, and waits longer
  // than one that is refused.
  std::map<std::uint64_t, std::vector<WaitingBeat>> Asked;
  std::swap(Asked, this->BeatsOfRead);
  for (const auto &[Number, Waiting] : Asked)
    for (const WaitingBeat &Beat : Waiting)
      this->refuseBeat(Beat);
}

// ---- Messages ----

void ControlService::send(peer::RaftMessage Message) {
  std::string To = Message.to();
  PeerRef Target{To, ""};
  if (this->Raft)
    for (const peer::Replica &Known : this->Raft->log().replicas().replicas())
      if (Known.name() == To)
        Target.Address = Known.address();
  auto Heard = this->Addresses.find(To);
  if (Target.Address.empty() && Heard != this->Addresses.end())
    Target.Address = Heard->second;
  this->watchSilence(Target);
  peer::Message Envelope;
  *Envelope.mutable_raft() = std::move(Message);
  this->Sink.send(Target, std::move(Envelope));
}

void ControlService::watchSilence(const PeerRef &Replica) {
  auto [Since, New] =
      this->UnheardSince.try_emplace(Replica.Node, this->Latest.Steady);
  // What it answered may lie here unread, as after a disk that stood still.
  TimePoint Unheard = std::max(Since->second, this->LastBehind);
  if (this->Latest.Steady - Unheard < this->Options.Raft.ElectionTimeout)
    return;
  Since->second = this->Latest.Steady;
  this->Sink.reconnect(Replica);
}

void ControlService::onMessage(const PeerRef &From,
                               const peer::Message &Message, Instant Now) {
  this->Latest = Now;
  if (Message.has_raft()) {
    this->Addresses[From.Node] = From.Address;
    this->UnheardSince.erase(From.Node);
    this->Raft->step(Message.raft(), Now.Steady);
    return;
  }
  if (Message.has_join_request()) {
    this->onJoinRequest(Message.join_request(), Now);
    return;
  }
  if (!Message.has_heartbeat())
    return;
  WaitingBeat Waiting{From, Message.heartbeat()};
  if (!this->Raft->leads()) {
    this->refuseBeat(Waiting);
    return;
  }
  if (this->Members.onHeartbeat(Waiting.Beat, Now.Steady))
    this->PushDue = true;
  this->Beats.push_back(std::move(Waiting));
}

void ControlService::refuseBeat(const WaitingBeat &Waiting) {
  peer::Message Message;
  peer::HeartbeatReply *Reply = Message.mutable_heartbeat_reply();
  Reply->set_accepted(false);
  Reply->set_sequence(Waiting.Beat.sequence());
  Reply->set_incarnation(Waiting.Beat.member().incarnation());
  if (const peer::Replica *Leader = this->leader())
    Reply->set_leader_address(Leader->address());
  *Reply->mutable_replicas() = this->Raft->log().replicas().replicas();
  this->Sink.send(Waiting.From, std::move(Message));
}

void ControlService::answerBeats() {
  if (this->Beats.empty())
    return;
  std::vector<WaitingBeat> Asked;
  std::swap(Asked, this->Beats);
  // One round among the replicas confirms all that have come meanwhile.
  std::optional<std::uint64_t> Number = this->Raft->read(this->Latest.Steady);
  if (!Number) {
    for (const WaitingBeat &Waiting : Asked)
      this->refuseBeat(Waiting);
    return;
  }
  this->BeatsOfRead[*Number] = std::move(Asked);
  if (*Number <= this->LastReady)
    this->onReadReady(*Number);
}

void ControlService::replyTo(const PeerRef &To, const peer::Heartbeat &Beat,
                             std::uint64_t Sequence) {
  peer::Message Message;
  peer::HeartbeatReply *Reply = Message.mutable_heartbeat_reply();
  Reply->set_accepted(true);
  Reply->set_sequence(Sequence);
  Reply->set_incarnation(Beat.member().incarnation());
  if (const MemberRegistry::Entry *Known =
          this->Members.find(Beat.member().name()))
    Reply->set_known_incarnation(Known->Member.incarnation());
  *Reply->mutable_replicas() = this->Raft->log().replicas().replicas();
  if (Beat.revision() < this->State.revision())
    *Reply->mutable_catalog() = this->State.updateSince(Beat.revision());
  if (this->Members.isSettled(this->Latest.Steady))
    *Reply->mutable_members() = this->Members.updateFor(Beat);
  else
    *Reply->mutable_members() = this->Members.partialFor(Beat);
  this->Sink.send(To, std::move(Message));
}

void ControlService::push() {
  if (!this->PushDue || !this->Raft->leads())
    return;
  this->PushDue = false;
  for (const auto &[Name, Entry] : this->Members.entries()) {
    if (Entry.Member.state() == peer::MEMBER_LOST)
      continue;
    bool HasTable = Entry.Member.role() == peer::ROLE_AGENT ||
                    (Entry.TableTerm == this->Raft->term() &&
                     Entry.TableVersion >= this->Members.version());
    // A node whose life has not begun waits for a confirmed answer.
    if (Entry.Revision == 0 ||
        (Entry.Revision >= this->State.revision() && HasTable))
      continue;
    peer::Heartbeat Held;
    *Held.mutable_member() = Entry.Member;
    Held.set_revision(Entry.Revision);
    Held.set_table_term(Entry.TableTerm);
    Held.set_table_version(Entry.TableVersion);
    this->replyTo({Name, Entry.Member.address()}, Held, /*Sequence=*/0);
  }
}

// ---- Time and roles ----

void ControlService::onLeadershipChange(bool Leads) {
  if (Leads) {
    this->Members.reset(this->Raft->term(), this->Latest.Steady);
    return;
  }
  this->failReads();
  for (const WaitingBeat &Waiting : this->Beats)
    this->refuseBeat(Waiting);
  this->Beats.clear();
}

void ControlService::tick(Instant Now, TimePoint NewLastBehind) {
  this->Latest = Now;
  this->LastBehind = NewLastBehind;
  this->Raft->tick(Now.Steady);
  this->tickProposals(Now.Steady);
  this->tickJoin(Now);
  if (!this->Raft->leads())
    return;
  this->tickReplicas(Now);
  if (this->Members.isSettled(Now.Steady)) {
    if (this->Members.tick(Now.Steady))
      this->PushDue = true;
    this->tickGroups(Now);
  }
  this->answerBeats();
  this->push();
}

void ControlService::tickGroups(Instant Now) {
  if (this->GroupChangeOpen)
    return;
  std::optional<peer::Change> Change =
      this->Groups.next(this->State, this->Members, Now.Steady);
  if (!Change)
    return;
  this->GroupChangeOpen = true;
  this->propose(*Change, Now, [this](const ProposalOutcome &) {
    this->GroupChangeOpen = false;
  });
}

// ---- Replicas that come and go ----

void ControlService::onJoinRequest(const peer::JoinRequest &Request,
                                   Instant Now) {
  if (this->Raft->leads()) {
    this->Replicas.onJoin(Request.replica(), Now.Steady);
    return;
  }
  const peer::Replica *Leader = this->leader();
  if (Leader == nullptr || Leader->name() == Request.replica().name())
    return;
  peer::Message Message;
  *Message.mutable_join_request() = Request;
  this->Sink.send({Leader->name(), Leader->address()}, std::move(Message));
}

void ControlService::tickJoin(Instant Now) {
  bool Managed = this->Options.Replicas.Voters > 0;
  if (!Managed || this->Raft->leads() || Now.Steady < this->NextJoin)
    return;
  this->NextJoin = Now.Steady + this->Options.JoinEvery;
  const peer::ReplicaSet &Present = this->Raft->log().replicas();
  bool Member =
      std::any_of(Present.replicas().begin(), Present.replicas().end(),
                  [&](const peer::Replica &Known) {
                    return Known.name() == this->Options.Self.name();
                  });
  TimePoint Heard = std::max(this->Raft->lastLeaderContact(), this->Started);
  bool Silent = Now.Steady - Heard > this->Options.JoinAfterSilence;
  if (Member && !Silent)
    return;
  std::map<std::string, PeerRef> Targets;
  for (const PeerRef &Seed : this->Options.Seeds)
    Targets[Seed.Address] = Seed;
  for (const peer::Replica &Known : Present.replicas())
    Targets[Known.address()] = {Known.name(), Known.address()};
  Targets.erase(this->Options.Self.address());
  for (const auto &[Address, Target] : Targets) {
    peer::Message Message;
    *Message.mutable_join_request()->mutable_replica() = this->Options.Self;
    this->Sink.send(Target, std::move(Message));
  }
}

void ControlService::tickReplicas(Instant Now) {
  if (this->ReplicaChangeOpen)
    return;
  std::optional<peer::ReplicaSet> Next =
      this->Replicas.next(*this->Raft, this->Options.Raft.Name, Now.Steady);
  if (!Next)
    return;
  std::string Names;
  for (const peer::Replica &Known : Next->replicas())
    Names += Known.name() + (Known.learner() ? "(learner) " : " ");
  this->ReplicaChangeOpen = true;
  this->proposeReplicas(*Next, Now, [this, Names](const ProposalOutcome &Done) {
    this->ReplicaChangeOpen = false;
    if (Done.State == ProposalState::Applied)
      this->Log.decision(
          "replicas_changed",
          {{"replicas", Names}, {"revision", Done.Result.revision()}});
  });
}

void ControlService::drain(Instant Now) {
  this->Latest = Now;
  this->Raft->stepDown(Now.Steady);
}

const peer::Replica *ControlService::leader() const {
  for (const peer::Replica &Known : this->Raft->log().replicas().replicas())
    if (Known.name() == this->Raft->leader())
      return &Known;
  return nullptr;
}

} // namespace yardwheel
