//===- consensus/raft_log.h - The replicated log in memory ------*- C++ -*-===//
///
/// \file
/// The entries after the last snapshot, and the set of replicas that is in
/// force: the newest one in the log, committed or not.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_RAFT_LOG_H
#define YARDWHEEL_CONSENSUS_RAFT_LOG_H

#include "consensus/log_storage.h"

#include <deque>
#include <optional>

namespace yardwheel {

class RaftLog {
public:
  void load(const StoredLog &Stored);

  std::uint64_t firstIndex() const { return this->Base.index() + 1; }
  std::uint64_t lastIndex() const {
    return this->Base.index() + this->Entries.size();
  }
  std::uint64_t lastTerm() const { return *this->termAt(this->lastIndex()); }
  /// Nothing for an index that is compacted away or not there yet.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  const peer::LogEntry &at(std::uint64_t Index) const;
  /// Entries from \p From on, at most \p Max.
  std::vector<peer::LogEntry> slice(std::uint64_t From, std::size_t Max) const;

  void append(const peer::LogEntry &Entry);
  void truncateFrom(std::uint64_t Index);
  /// Takes a snapshot's place of all entries up to its index.
  void compact(const peer::Snapshot &Snapshot);

  const peer::Snapshot &snapshot() const { return this->Base; }
  std::size_t size() const { return this->Entries.size(); }
  const peer::ReplicaSet &replicas() const { return this->Replicas; }
  /// Index of the entry that set replicas(), at least the snapshot's.
  std::uint64_t replicasIndex() const { return this->ReplicasIndex; }
  /// The set of replicas as of an index.
  peer::ReplicaSet replicasAt(std::uint64_t Index) const;

private:
  void updateReplicas();

  peer::Snapshot Base;
  std::deque<peer::LogEntry> Entries;
  peer::ReplicaSet Replicas;
  std::uint64_t ReplicasIndex = 0;
};

} // namespace yardwheel

#endif
