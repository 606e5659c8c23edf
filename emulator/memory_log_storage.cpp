#include "emulator/memory_log_storage.h"

#include "core/error.h"

namespace yardwheel {

void MemoryLogStorage::requireSpace() const {
  if (this->Full)
    throw Error("storage", "memory", "no space left");
}

void MemoryLogStorage::saveHardState(const peer::HardState &State) {
  this->requireSpace();
  this->Written.Hard = State;
}

void MemoryLogStorage::append(const std::vector<peer::LogEntry> &Entries) {
  this->requireSpace();
  for (const peer::LogEntry &Entry : Entries)
    this->Written.Entries.push_back(Entry);
}

void MemoryLogStorage::truncateFrom(std::uint64_t Index) {
  this->requireSpace();
  std::erase_if(this->Written.Entries, [Index](const peer::LogEntry &Entry) {
    return Entry.index() >= Index;
  });
}

void MemoryLogStorage::saveSnapshot(const peer::Snapshot &Snapshot,
                                    const peer::HardState &Hard,
                                    const std::vector<peer::LogEntry> &Rest) {
  this->requireSpace();
  this->Written.Snapshot = Snapshot;
  this->Written.Hard = Hard;
  this->Written.Entries.assign(Rest.begin(), Rest.end());
  this->sync();
}

void MemoryLogStorage::sync() {
  ++this->Syncs;
  this->Durable = this->Written;
}

} // namespace yardwheel
