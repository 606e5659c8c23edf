//===- consensus/file_log_storage.h - The log in a data folder --*- C++ -*-===//
///
/// \file
/// Keeps a replica's state under one folder: `identity` says which replica of
/// which cluster it belongs to, `snapshot` holds the newest snapshot, `log`
/// the hard state and the entries after it, and `lock` keeps a second process
/// out. An empty folder is never taken for an old one: a replica whose disk
/// is lost must come back under a new name.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_FILE_LOG_STORAGE_H
#define YARDWHEEL_CONSENSUS_FILE_LOG_STORAGE_H

#include "consensus/log_storage.h"
#include "consensus/record_file.h"

#include <memory>
#include <optional>
#include <string>

namespace yardwheel {

/// Prepares a folder for a new replica.
/// \param Bootstrap The first replicas of a new cluster; empty for a replica
/// that joins an existing one.
/// \throws Error if the folder holds an identity already.
void initDataFolder(const std::string &Folder, const peer::Identity &Identity);

/// The identity that a folder holds, if it holds one.
/// \throws Error if its file is damaged.
std::optional<peer::Identity> findIdentity(const std::string &Folder);

class FileLogStorage final : public LogStorage {
public:
  /// \throws Error if the folder has no identity or another one, or if
  /// another process uses it.
  FileLogStorage(std::string Folder, const std::string &Cluster,
                 const std::string &Replica, WriteFunction Write = writeToDisk);
  ~FileLogStorage() override;

  StoredLog load() override;
  void saveHardState(const peer::HardState &State) override;
  void append(const std::vector<peer::LogEntry> &Entries) override;
  void truncateFrom(std::uint64_t Index) override;
  void saveSnapshot(const peer::Snapshot &Snapshot, const peer::HardState &Hard,
                    const std::vector<peer::LogEntry> &Rest) override;
  void sync() override;

  std::uint64_t tornBytes() const { return this->Log->tornBytes(); }

private:
  void lock();
  std::string pathOf(const char *Name) const;
  void appendRecord(const peer::WalRecord &Record);
  peer::Snapshot readSnapshot() const;

  std::string Folder;
  WriteFunction Write;
  int LockFile = -1;
  peer::Identity Identity;
  std::unique_ptr<RecordFile> Log;
};

} // namespace yardwheel

#endif
