//===- emulator/memory_log_storage.h - A disk that can lose -----*- C++ -*-===//
///
/// \file
/// A stand-in for a replica's disk: what is not synced is lost in a crash,
/// and the disk can be full or be lost whole.
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

  /// The process dies: what was not synced is gone.
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
