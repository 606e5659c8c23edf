//===- emulator/memory_log_storage.h - Simulated disk -----------*- C++ -*-===//
///
/// \file
/// In-memory storage in place of a replica's disk: a crash loses what was not
/// synced, and the disk can be full or be lost entirely.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_MEMORY_LOG_STORAGE_H
#define YARDWHEEL_EMULATOR_MEMORY_LOG_STORAGE_H

#include "consensus/log_storage.h"

namespace yardwheel {

class MemoryLogStorage final : public LogStorage {
public:
  explicit MemoryLogStorage(const peer::ReplicaSet &Bootstrap) {
    *this->Durable.Snapshot.mutable_replicas() = Bootstrap;
    this->Written = this->Durable;
  }

  StoredLog load() override { return this->Durable; }
  void saveHardState(const peer::HardState &State) override;
  void append(const std::vector<peer::LogEntry> &Entries) override;
  void truncateFrom(std::uint64_t Index) override;
  void saveSnapshot(const peer::Snapshot &Snapshot, const peer::HardState &Hard,
                    const std::vector<peer::LogEntry> &Rest) override;
  void sync() override;

  /// Simulates a crash of the process: drops what was not synced.
  void crash() { this->Written = this->Durable; }
  void setFull(bool NewFull) { this->Full = NewFull; }
  std::uint64_t syncs() const { return this->Syncs; }

private:
  void requireSpace() const;

  StoredLog Written;
  StoredLog Durable;
  bool Full = false;
  std::uint64_t Syncs = 0;
};

} // namespace yardwheel

#endif
