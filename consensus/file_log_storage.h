//===- consensus/file_log_storage.h - Log in a data folder ------*- C++ -*-===//
///
/// \file
/// Stores a replica's state in one folder. The file `identity` names the
/// cluster and the replica that the folder belongs to, `snapshot` holds the
/// newest snapshot, `log` holds the hard state and the entries after the
/// snapshot, and `lock` excludes a second process. An empty folder is rejected
/// rather than treated as an existing replica without data: a replica that has
/// lost its disk must rejoin under a new name.
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
/// \param Identity The cluster and the replica. Its `bootstrap` field lists the
/// initial replicas of a new cluster and is empty for a replica that joins an
/// existing one.
/// \throws Error if the folder already holds an identity.
void initDataFolder(const std::string &Folder, const peer::Identity &Identity);

/// Returns the identity stored in a folder, or nothing if there is none.
/// \throws Error if the identity file is corrupt.
std::optional<peer::Identity> findIdentity(const std::string &Folder);

/// Moves the files of a folder that cannot be read into a folder inside it, in
/// place of those moved there before. The folder then holds no identity.
/// \throws std::filesystem::filesystem_error if they cannot be moved.
void setDamagedAside(const std::string &Folder);

class FileLogStorage final : public LogStorage {
public:
  /// Opens and locks a data folder.
  /// \throws Error if the folder has no identity or that of another replica, or
  /// if another process uses it.
  FileLogStorage(std::string Folder, const std::string &Cluster,
                 const std::string &Replica, WriteFunction Write = writeToDisk);
  ~FileLogStorage() override;

  /// \throws CorruptFile if the files hold something else than what was synced.
  StoredLog load() override;
  void saveHardState(const peer::HardState &State) override;
  void append(const std::vector<peer::LogEntry> &Entries) override;
  void truncateFrom(std::uint64_t Index) override;
  void saveSnapshot(const peer::Snapshot &Snapshot, const peer::HardState &Hard,
                    const std::vector<peer::LogEntry> &Rest) override;
  void sync() override;

  /// Returns the number of bytes truncated from the end of the log file.
  std::uint64_t tornBytes() const {
    return this->Log ? this->Log->tornBytes() : 0;
  }

private:
  void lock();
  std::string pathOf(const char *Name) const;
  /// Appends records with a single write, after a truncation that is not
  /// written yet. A crash keeps or loses writes since the last sync one by one,
  /// and a lost one before a kept one would look like corruption.
  void write(std::vector<std::string> Records);
  peer::Snapshot readSnapshot() const;

  std::string Folder;
  WriteFunction Write;
  int LockFile = -1;
  peer::Identity Identity;
  /// Opens the log file again if replacing it has failed half-way.
  RecordFile &openedLog();

  std::unique_ptr<RecordFile> Log;
  /// Written together with what follows it.
  std::optional<peer::WalRecord> Truncation;
};

} // namespace yardwheel

#endif
