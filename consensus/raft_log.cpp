#include "consensus/raft_log.h"

namespace yardwheel {

void RaftLog::load(const StoredLog &Stored) {
  this->Base = Stored.Snapshot;
  this->Entries.assign(Stored.Entries.begin(), Stored.Entries.end());
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

std::size_t RaftLog::bytes() const {
  std::size_t Sum = this->Base.ByteSizeLong();
  for (const peer::LogEntry &Entry : this->Entries)
    Sum += Entry.ByteSizeLong();
  return Sum;
}

void RaftLog::append(const peer::LogEntry &Entry) {
  this->Entries.push_back(Entry);
  if (Entry.has_replicas()) {
    this->Replicas = Entry.replicas();
    this->ReplicasIndex = Entry.index();
  }
}

void RaftLog::truncateFrom(std::uint64_t Index) {
  while (this->lastIndex() >= Index && !this->Entries.empty())
    this->Entries.pop_back();
  this->updateReplicas();
}

void RaftLog::compact(const peer::Snapshot &Snapshot) {
  std::optional<std::uint64_t> Known = this->termAt(Snapshot.index());
  bool Continues = Known && *Known == Snapshot.term();
  if (!Continues)
    this->Entries.clear();
  while (!this->Entries.empty() &&
         this->Entries.front().index() <= Snapshot.index())
    this->Entries.pop_front();
  this->Base = Snapshot;
  this->updateReplicas();
}

void RaftLog::updateReplicas() {
  for (auto Entry = this->Entries.rbegin(); Entry != this->Entries.rend();
       ++Entry) {
    if (!Entry->has_replicas())
      continue;
    this->Replicas = Entry->replicas();
    this->ReplicasIndex = Entry->index();
    return;
  }
  this->Replicas = this->Base.replicas();
  this->ReplicasIndex = this->Base.index();
}

peer::ReplicaSet RaftLog::replicasAt(std::uint64_t Index) const {
  for (auto Entry = this->Entries.rbegin(); Entry != this->Entries.rend();
       ++Entry)
    if (Entry->has_replicas() && Entry->index() <= Index)
      return Entry->replicas();
  return this->Base.replicas();
}

} // namespace yardwheel
