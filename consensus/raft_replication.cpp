//===- Log replication in RaftNode ----------------------------------------===//

#include "consensus/raft_node.h"

#include "core/error.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Limits of a message with entries, of which each follower has at most one
/// under way. A single entry may exceed the second one.
constexpr std::size_t MaxEntriesPerMessage = 200;
constexpr std::size_t MaxEntryBytesPerMessage = 1048576;

} // namespace

void RaftNode::syncProgress(TimePoint Now) {
  // Former voters whose acknowledgement still counts are followers as well.
  std::set<std::string> Wanted = this->countedVoters();
  for (const peer::Replica &Known : this->Log.replicas().replicas())
    Wanted.insert(Known.name());
  Wanted.erase(this->Options.Name);
  for (const std::string &Name : Wanted) {
    auto [Target, New] = this->Followers.try_emplace(Name);
    if (!New)
      continue;
    Target->second.Next = this->Log.lastIndex() + 1;
    Target->second.LastHeard = Now;
  }
  std::erase_if(this->Followers,
                [&](const auto &Item) { return !Wanted.contains(Item.first); });
}

void RaftNode::appendLocal(peer::LogEntry Entry, TimePoint Now) {
  Entry.set_index(this->Log.lastIndex() + 1);
  Entry.set_term(this->Hard.term());
  this->Storage.append({Entry});
  if (this->Options.SyncBeforeReply)
    this->Storage.sync();
  this->Log.append(Entry);
  this->broadcast(Now);
  this->advanceCommit(Now);
}

void RaftNode::sendTo(const std::string &Name, TimePoint Now) {
  Progress &Follower = this->Followers.at(Name);
  if (this->maySendEntries(Follower, Now))
    this->sendEntries(Name, Follower, Now);
  else
    this->sendHeartbeat(Name, Follower);
}

bool RaftNode::maySendEntries(const Progress &Follower, TimePoint Now) const {
  if (Follower.Match >= this->Log.lastIndex())
    return false;
  bool IsUnderWay = Follower.AckedRound < Follower.SentRound;
  if (IsUnderWay)
    return false;
  // A follower that cannot store entries replies to heartbeats only.
  bool IsRepeated = Follower.SentFrom == Follower.Next;
  return !IsRepeated || Now - Follower.SentAt >= this->heartbeatInterval();
}

void RaftNode::sendEntries(const std::string &Name, Progress &Follower,
                           TimePoint Now) {
  Follower.SentRound = this->Round;
  Follower.SentAt = Now;
  Follower.SentFrom = Follower.Next;
  std::uint64_t Previous = Follower.Next - 1;
  std::optional<std::uint64_t> PreviousTerm = this->Log.termAt(Previous);
  if (!PreviousTerm) {
    this->sendSnapshot(Name);
    return;
  }
  peer::RaftMessage Message = this->messageTo(Name);
  peer::AppendRequest *Append = Message.mutable_append_request();
  Append->set_previous_index(Previous);
  Append->set_previous_term(*PreviousTerm);
  Append->set_commit(this->Commit);
  Append->set_round(this->Round);
  for (peer::LogEntry &Entry : this->Log.slice(
           Follower.Next, MaxEntriesPerMessage, MaxEntryBytesPerMessage))
    *Append->add_entries() = std::move(Entry);
  this->Events.send(std::move(Message));
}

void RaftNode::sendHeartbeat(const std::string &Name,
                             const Progress &Follower) {
  peer::RaftMessage Message = this->messageTo(Name);
  peer::AppendRequest *Append = Message.mutable_append_request();
  // Without a known common entry, the heartbeat names the start of the log, on
  // which all replicas agree.
  if (std::optional<std::uint64_t> Term = this->Log.termAt(Follower.Match)) {
    Append->set_previous_index(Follower.Match);
    Append->set_previous_term(*Term);
  }
  Append->set_commit(this->Commit);
  Append->set_round(this->Round);
  this->Events.send(std::move(Message));
}

void RaftNode::sendSnapshot(const std::string &Name) {
  peer::RaftMessage Message = this->messageTo(Name);
  *Message.mutable_install_snapshot()->mutable_snapshot() =
      this->Log.snapshot();
  Message.mutable_install_snapshot()->set_round(this->Round);
  this->Events.send(std::move(Message));
}

void RaftNode::onAppend(const peer::RaftMessage &Message, TimePoint Now) {
  peer::RaftMessage ReplyMessage = this->messageTo(Message.from());
  peer::AppendReply *Reply = ReplyMessage.mutable_append_reply();
  Reply->set_log_format(this->Options.LogFormat);
  const peer::AppendRequest &Append = Message.append_request();
  if (Message.term() < this->Hard.term()) {
    this->Events.send(std::move(ReplyMessage));
    return;
  }
  this->Role = RaftRole::Follower;
  this->Leader = Message.from();
  this->LastLeaderContact = Now;
  this->resetElectionDeadline(Now);
  Reply->set_round(Append.round());

  std::uint64_t Previous = Append.previous_index();
  std::optional<std::uint64_t> Known = this->Log.termAt(Previous);
  // Entries covered by a snapshot are committed, so every leader has them.
  bool Compacted = Previous < this->Log.snapshot().index();
  bool Agrees = Compacted || (Known && *Known == Append.previous_term());
  if (!Agrees) {
    Reply->set_hint_index(std::min(Previous - 1, this->Log.lastIndex()));
    this->Events.send(std::move(ReplyMessage));
    return;
  }
  try {
    this->storeEntries(Append);
  } catch (const Error &) {
    // Entries that could not be stored are not acknowledged.
    return;
  }
  std::uint64_t Last =
      Previous + static_cast<std::uint64_t>(Append.entries_size());
  Reply->set_success(true);
  Reply->set_match_index(Last);
  this->Events.send(std::move(ReplyMessage));
  std::uint64_t NewCommit = std::min(Append.commit(), Last);
  if (NewCommit > this->Commit) {
    this->Commit = NewCommit;
    this->applyCommitted(Now);
  }
}

void RaftNode::storeEntries(const peer::AppendRequest &Append) {
  std::vector<peer::LogEntry> New;
  for (const peer::LogEntry &Entry : Append.entries()) {
    if (Entry.index() <= this->Log.snapshot().index())
      continue;
    std::optional<std::uint64_t> Known = this->Log.termAt(Entry.index());
    if (New.empty() && Known && *Known == Entry.term())
      continue;
    New.push_back(Entry);
  }
  if (New.empty())
    return;
  if (New.front().index() <= this->Log.lastIndex()) {
    this->Storage.truncateFrom(New.front().index());
    this->Log.truncateFrom(New.front().index());
  }
  this->Storage.append(New);
  if (this->Options.SyncBeforeReply)
    this->Storage.sync();
  for (const peer::LogEntry &Entry : New)
    this->Log.append(Entry);
}

void RaftNode::onAppendReply(const peer::RaftMessage &Message, TimePoint Now) {
  auto Found = this->Followers.find(Message.from());
  if (!this->leads() || Found == this->Followers.end() ||
      Message.term() != this->Hard.term())
    return;
  const peer::AppendReply &Reply = Message.append_reply();
  Progress &Follower = Found->second;
  Follower.LastHeard = Now;
  Follower.LogFormat = Reply.log_format();
  Follower.AckedRound = std::max(Follower.AckedRound, Reply.round());
  if (!Reply.success()) {
    // A reply to an earlier message says nothing about the present Next.
    if (Reply.round() >= Follower.SentRound)
      Follower.Next = std::max(Reply.hint_index() + 1, Follower.Match + 1);
  } else if (Reply.match_index() > Follower.Match) {
    Follower.Match = Reply.match_index();
    Follower.Next = Follower.Match + 1;
  }
  // A report of a lost disk alone can make a quorum of earlier replies.
  this->advanceCommit(Now);
  // advanceCommit() may have ended the leadership or removed the follower.
  Found = this->Followers.find(Message.from());
  if (this->leads() && Found != this->Followers.end() &&
      this->maySendEntries(Found->second, Now)) {
    ++this->Round;
    this->sendEntries(Message.from(), Found->second, Now);
  }
  this->finishReads();
}

void RaftNode::onInstallSnapshot(const peer::RaftMessage &Message,
                                 TimePoint Now) {
  if (Message.term() < this->Hard.term())
    return;
  this->Role = RaftRole::Follower;
  this->Leader = Message.from();
  this->LastLeaderContact = Now;
  this->resetElectionDeadline(Now);
  const peer::Snapshot &Snapshot = Message.install_snapshot().snapshot();
  if (Snapshot.index() > this->Commit) {
    try {
      this->Storage.saveSnapshot(Snapshot, this->Hard,
                                 this->Log.entriesAfter(Snapshot));
    } catch (const Error &) {
      return;
    }
    this->Log.compact(Snapshot);
    this->Commit = Snapshot.index();
    this->Applied = Snapshot.index();
    this->Events.restoreState(Snapshot);
  }
  peer::RaftMessage ReplyMessage = this->messageTo(Message.from());
  peer::AppendReply *Reply = ReplyMessage.mutable_append_reply();
  Reply->set_log_format(this->Options.LogFormat);
  Reply->set_success(true);
  Reply->set_match_index(std::max(Snapshot.index(), this->Commit));
  Reply->set_round(Message.install_snapshot().round());
  this->Events.send(std::move(ReplyMessage));
}

void RaftNode::advanceCommit(TimePoint Now) {
  std::map<std::string, std::uint64_t> Matches;
  for (const auto &[Name, Follower] : this->Followers)
    Matches[Name] = Follower.Match;
  Matches[this->Options.Name] = this->Log.lastIndex();
  std::uint64_t Reached = this->quorum().reachedValue(Matches);
  std::optional<std::uint64_t> Term = this->Log.termAt(Reached);
  // Only an entry of the leader's own term can be committed by counting
  // replicas.
  if (Reached <= this->Commit || !Term || *Term != this->Hard.term())
    return;
  this->Commit = Reached;
  this->applyCommitted(Now);
  this->finishReads();
  this->confirmReplicas(Now);
  bool Removed = this->Log.replicasIndex() <= this->Commit && !this->isVoter();
  if (this->leads() && Removed)
    this->becomeFollower(this->Hard.term(), "", Now);
  else if (this->leads())
    this->broadcast(Now);
}

void RaftNode::confirmReplicas(TimePoint Now) {
  bool IsDue = this->leads() && !this->Log.hasSameVoters() &&
               this->Log.replicasIndex() <= this->Commit &&
               this->LeadershipIndex <= this->Commit;
  if (!IsDue)
    return;
  peer::LogEntry Entry;
  *Entry.mutable_replicas() = this->Log.replicas();
  try {
    this->appendLocal(std::move(Entry), Now);
  } catch (const Error &) {
    // tick() tries again.
    return;
  }
}

void RaftNode::applyCommitted(TimePoint) {
  while (this->Applied < this->Commit) {
    ++this->Applied;
    this->Events.apply(this->Log.at(this->Applied));
  }
  this->maybeSnapshot();
}

bool RaftNode::isSnapshotDue() const {
  std::uint64_t Last = this->Log.snapshot().index();
  if (this->Applied >= Last + this->Options.EntriesPerSnapshot)
    return true;
  // A snapshot that is itself larger than the limit must not be written for
  // each entry.
  std::size_t Allowed =
      std::max(this->Options.MaxLogBytes, this->Log.snapshotBytes());
  std::size_t Held = this->Log.bytes() - this->Log.snapshotBytes();
  return Held >= Allowed &&
         Held - this->Log.bytesFrom(this->Applied + 1) >= Allowed;
}

void RaftNode::maybeSnapshot() {
  if (!this->isSnapshotDue())
    return;
  peer::Snapshot New;
  New.set_index(this->Applied);
  New.set_term(*this->Log.termAt(this->Applied));
  *New.mutable_replicas() = this->Log.replicasAt(this->Applied);
  New.set_state(this->Events.saveState());
  try {
    this->Storage.saveSnapshot(New, this->Hard, this->Log.entriesAfter(New));
  } catch (const Error &) {
    // The log is not compacted; the next applied entry retries the snapshot.
    return;
  }
  this->Log.compact(New);
}

void RaftNode::finishReads() {
  if (this->Reads.empty() || !this->leads() ||
      this->Commit < this->LeadershipIndex)
    return;
  std::map<std::string, std::uint64_t> Rounds;
  for (const auto &[Name, Follower] : this->Followers)
    Rounds[Name] = Follower.AckedRound;
  Rounds[this->Options.Name] = this->Round;
  std::uint64_t Confirmed = this->quorum().reachedValue(Rounds);
  std::vector<std::uint64_t> Ready;
  std::erase_if(this->Reads, [&](const PendingRead &Read) {
    bool Done = Read.Round <= Confirmed;
    if (Done)
      Ready.push_back(Read.Number);
    return Done;
  });
  for (std::uint64_t Number : Ready)
    this->Events.onReadReady(Number);
}

} // namespace yardwheel
