//===- consensus/log_storage.h - Durable log storage ------------*- C++ -*-===//
///
/// \file
/// The storage interface of the consensus protocol. Writes are durable only
/// after sync() has returned.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_LOG_STORAGE_H
#define YARDWHEEL_CONSENSUS_LOG_STORAGE_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace yardwheel {

/// The persistent state that a replica loads when it starts.
struct StoredLog {
  peer::HardState Hard;
  peer::Snapshot Snapshot;
  /// Contiguous entries that follow the snapshot.
  std::deque<peer::LogEntry> Entries;
};

/// Stores a replica's log, hard state and snapshot. Every function throws
/// Error, with the file as the peer, on failure and then leaves the state
/// unchanged.
class LogStorage {
public:
  virtual ~LogStorage() = default;
  virtual StoredLog load() = 0;
  virtual void saveHardState(const peer::HardState &State) = 0;
  virtual void append(const std::vector<peer::LogEntry> &Entries) = 0;
  /// Removes the entry at \p Index and all later entries.
  virtual void truncateFrom(std::uint64_t Index) = 0;
  /// Replaces the whole stored state by a snapshot, the hard state and the
  /// entries that follow the snapshot, and syncs.
  virtual void saveSnapshot(const peer::Snapshot &Snapshot,
                            const peer::HardState &Hard,
                            const std::vector<peer::LogEntry> &Rest) = 0;
  virtual void sync() = 0;
};

} // namespace yardwheel

#endif
