//===- consensus/raft_log.h - The replicated log in memory ------*- C++ -*-===//
///
/// \file
/// The entries after the last snapshot, and the effective replica set: the
/// newest one in the log, whether committed or not.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_RAFT_LOG_H
#define YARDWHEEL_CONSENSUS_RAFT_LOG_H

#include "consensus/log_storage.h"

#include <deque>
#include <limits>
#include <optional>

namespace yardwheel {

class RaftLog {
public:
  void load(StoredLog Stored);

  std::uint64_t firstIndex() const { return this->Base.index() + 1; }
  std::uint64_t lastIndex() const {
    return this->Base.index() + this->Entries.size();
  }
  std::uint64_t lastTerm() const { return *this->termAt(this->lastIndex()); }
  /// Returns the term of the entry at \p Index, or nothing if the index is
  /// before the snapshot or after the last entry.
  std::optional<std::uint64_t> termAt(std::uint64_t Index) const;
  const peer::LogEntry &at(std::uint64_t Index) const;
  /// Returns the entries from index \p From on: at most \p Max, and at most
  /// \p MaxBytes unless the first one alone is larger.
  std::vector<peer::LogEntry>
  slice(std::uint64_t From, std::size_t Max,
        std::size_t MaxBytes = std::numeric_limits<std::size_t>::max()) const;

  void append(const peer::LogEntry &Entry);
  void truncateFrom(std::uint64_t Index);
  /// Returns the entries that compact() would keep.
  std::vector<peer::LogEntry>
  entriesAfter(const peer::Snapshot &Snapshot) const;
  /// Replaces all entries up to the snapshot's index by the snapshot. Also
  /// discards later entries if the log disagrees with the snapshot.
  void compact(const peer::Snapshot &Snapshot);

  const peer::Snapshot &snapshot() const { return this->Base; }
  /// Returns the size of the entries and the snapshot in bytes, encoded.
  std::size_t bytes() const { return this->SnapshotBytes + this->EntryBytes; }
  std::size_t snapshotBytes() const { return this->SnapshotBytes; }
  /// Returns the size of the entries from index \p From on.
  std::size_t bytesFrom(std::uint64_t From) const;
  std::size_t size() const { return this->Entries.size(); }
  const peer::ReplicaSet &replicas() const { return this->Replicas; }
  /// Returns the set that was effective before replicas(), or replicas() itself
  /// if the log does not reach back to it.
  const peer::ReplicaSet &previousReplicas() const { return this->Previous; }
  /// Whether replicas() and previousReplicas() have the same voters.
  bool hasSameVoters() const { return this->SameVoters; }
  /// Whether replicas() repeats previousReplicas(), which are committed then.
  bool hasRepeatedReplicas() const { return this->Repeated; }
  /// Returns the index of the entry that set replicas(), or the snapshot's
  /// index if the set comes from the snapshot.
  std::uint64_t replicasIndex() const { return this->ReplicasIndex; }
  /// Returns the replica set that was effective at \p Index.
  peer::ReplicaSet replicasAt(std::uint64_t Index) const;

private:
  /// Whether the log agrees with a snapshot up to its index.
  bool continues(const peer::Snapshot &Snapshot) const;
  /// Sets the effective replica sets from the entries and the snapshot.
  void updateReplicas();
  /// Makes a set the effective one.
  void setReplicas(const peer::ReplicaSet &Set, std::uint64_t Index);

  peer::Snapshot Base;
  std::deque<peer::LogEntry> Entries;
  std::size_t SnapshotBytes = 0;
  std::size_t EntryBytes = 0;
  peer::ReplicaSet Replicas;
  peer::ReplicaSet Previous;
  bool SameVoters = true;
  bool Repeated = false;
  std::uint64_t ReplicasIndex = 0;
};

} // namespace yardwheel

#endif
