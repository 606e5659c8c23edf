//===- consensus/log_storage.h - Where the log lasts ------------*- C++ -*-===//
///
/// \file
/// The interface between the consensus protocol and its disk. Nothing lasts
/// until sync() has returned.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_LOG_STORAGE_H
#define YARDWHEEL_CONSENSUS_LOG_STORAGE_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <vector>

namespace yardwheel {

/// What a replica finds when it starts.
struct StoredLog {
  peer::HardState Hard;
  peer::Snapshot Snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<peer::LogEntry> Entries;
};

/// Every function throws Error, with the file as the peer, if it fails; the
/// state then is as if it had not been called.
class LogStorage {
public:
  virtual ~LogStorage() = default;
  virtual StoredLog load() = 0;
  virtual void saveHardState(const peer::HardState &State) = 0;
  virtual void append(const std::vector<peer::LogEntry> &Entries) = 0;
  /// Drops the entry with this index and all after it.
  virtual void truncateFrom(std::uint64_t Index) = 0;
  /// Stores a snapshot and the entries that follow it, in place of all else,
  /// and syncs.
  virtual void saveSnapshot(const peer::Snapshot &Snapshot,
                            const peer::HardState &Hard,
                            const std::vector<peer::LogEntry> &Rest) = 0;
  virtual void sync() = 0;
};

} // namespace yardwheel

#endif
