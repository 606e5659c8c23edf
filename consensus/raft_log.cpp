#include "consensus/raft_log.h"

#include "consensus/quorum.h"

#include <algorithm>
#include <utility>

namespace yardwheel {

void RaftLog::load(StoredLog Stored) {
  this->Base = std::move(Stored.Snapshot);
  this->Entries = std::move(Stored.Entries);
  this->SnapshotBytes = this->Base.ByteSizeLong();
  this->EntryBytes = this->bytesFrom(this->firstIndex());
  this->updateReplicas();
}

std::optional<std::uint64_t> RaftLog::termAt(std::uint64_t Index) const {
  if (Index == this->Base.index())
    return this->Base.term();
  if (Index < this->Base.index() || Index > this->lastIndex())
    return std::nullopt;
  return this->at(Index).term();
}

const peer::LogEntry &RaftLog::at(std::uint64_t Index) const {
  return this->Entries[Index - this->firstIndex()];
}

std::vector<peer::LogEntry> RaftLog::slice(std::uint64_t From, std::size_t Max,
                                           std::size_t MaxBytes) const {
  std::vector<peer::LogEntry> Result;
  std::size_t Bytes = 0;
  for (std::uint64_t I = From; I <= this->lastIndex() && Result.size() < Max;
       ++I) {
    Bytes += this->at(I).ByteSizeLong();
    if (!Result.empty() && Bytes > MaxBytes)
      break;
    Result.push_back(this->at(I));
  }
  return Result;
}

std::size_t RaftLog::bytesFrom(std::uint64_t From) const {
  std::size_t Sum = 0;
  for (std::uint64_t I = std::max(From, this->firstIndex());
       I <= this->lastIndex(); ++I)
    Sum += this->at(I).ByteSizeLong();
  return Sum;
}

void RaftLog::append(const peer::LogEntry &Entry) {
  this->EntryBytes += Entry.ByteSizeLong();
  this->Entries.push_back(Entry);
  if (Entry.has_replicas())
    this->setReplicas(Entry.replicas(), Entry.index());
}

void RaftLog::truncateFrom(std::uint64_t Index) {
  while (this->lastIndex() >= Index && !this->Entries.empty()) {
    this->EntryBytes -= this->Entries.back().ByteSizeLong();
    this->Entries.pop_back();
  }
  this->updateReplicas();
}

bool RaftLog::continues(const peer::Snapshot &Snapshot) const {
  std::optional<std::uint64_t> Known = this->termAt(Snapshot.index());
  return Known && *Known == Snapshot.term();
}

std::vector<peer::LogEntry>
RaftLog::entriesAfter(const peer::Snapshot &Snapshot) const {
  if (!this->continues(Snapshot))
    return {};
  return this->slice(Snapshot.index() + 1, this->size());
}

void RaftLog::compact(const peer::Snapshot &Snapshot) {
  if (!this->continues(Snapshot))
    this->Entries.clear();
  while (!this->Entries.empty() &&
         this->Entries.front().index() <= Snapshot.index())
    this->Entries.pop_front();
  this->Base = Snapshot;
  this->SnapshotBytes = this->Base.ByteSizeLong();
  this->EntryBytes = this->bytesFrom(this->firstIndex());
  this->updateReplicas();
}

void RaftLog::updateReplicas() {
  this->Replicas = this->Base.replicas();
  this->Previous = this->Base.replicas();
  this->SameVoters = true;
  this->Repeated = false;
  this->ReplicasIndex = this->Base.index();
  for (const peer::LogEntry &Entry : this->Entries)
    if (Entry.has_replicas())
      this->setReplicas(Entry.replicas(), Entry.index());
}

void RaftLog::setReplicas(const peer::ReplicaSet &Set, std::uint64_t Index) {
  // A replica that joins starts without a set.
  bool IsFirst = this->Replicas.replicas().empty();
  this->Previous = IsFirst ? Set : this->Replicas;
  this->Repeated =
      !IsFirst && Set.SerializeAsString() == this->Previous.SerializeAsString();
  this->Replicas = Set;
  this->ReplicasIndex = Index;
  this->SameVoters = votersOf(this->Previous) == votersOf(this->Replicas);
}

peer::ReplicaSet RaftLog::replicasAt(std::uint64_t Index) const {
  for (auto Entry = this->Entries.rbegin(); Entry != this->Entries.rend();
       ++Entry)
    if (Entry->has_replicas() && Entry->index() <= Index)
      return Entry->replicas();
  return this->Base.replicas();
}

} // namespace yardwheel
