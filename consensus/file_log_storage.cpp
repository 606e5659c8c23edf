#include "consensus/file_log_storage.h"

#include "core/error.h"

#include <algorithm>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

namespace yardwheel {

namespace {

constexpr const char *IdentityName = "identity";
constexpr const char *SnapshotName = "snapshot";
constexpr const char *LogName = "log";
constexpr const char *LockName = "lock";
constexpr const char *DamagedName = "damaged";
constexpr mode_t LockMode = 0600;

std::string joinPath(const std::string &Folder, const char *Name) {
  return (std::filesystem::path(Folder) / Name).string();
}

/// Reads a file that must hold exactly one record. It may have been replaced
/// without its folder having been synced since; RecordFile's constructor does
/// that for the log beside it, before anything is acknowledged.
std::string readSingleRecord(const std::string &Path) {
  std::vector<std::string> Records = readRecordFile(Path);
  if (Records.size() != 1)
    throw CorruptFile("storage", Path, "expected exactly one record");
  return Records.front();
}

peer::WalRecord hardStateRecord(const peer::HardState &State) {
  peer::WalRecord Record;
  *Record.mutable_hard_state() = State;
  return Record;
}

peer::WalRecord entryRecord(const peer::LogEntry &Entry) {
  peer::WalRecord Record;
  *Record.mutable_entry() = Entry;
  return Record;
}

/// Applies one record of the log file to the state read so far.
void replay(peer::WalRecord &Record, StoredLog &Stored,
            const std::string &Path) {
  if (Record.has_hard_state()) {
    Stored.Hard = Record.hard_state();
    return;
  }
  std::uint64_t Next = Stored.Snapshot.index() + Stored.Entries.size() + 1;
  if (Record.body_case() == peer::WalRecord::kTruncateFrom) {
    while (Next > Record.truncate_from() && !Stored.Entries.empty()) {
      Stored.Entries.pop_back();
      --Next;
    }
    return;
  }
  std::uint64_t Index = Record.entry().index();
  // After a crash in saveSnapshot() the snapshot is newer than the log file.
  if (Index <= Stored.Snapshot.index())
    return;
  if (Index != Next)
    throw CorruptFile(
        "storage", Path,
        fmt::format("expected log index {}, found {}", Next, Index));
  Stored.Entries.push_back(std::move(*Record.mutable_entry()));
}

} // namespace

void initDataFolder(const std::string &Folder, const peer::Identity &Identity) {
  std::filesystem::create_directories(Folder);
  std::string Path = joinPath(Folder, IdentityName);
  if (std::filesystem::exists(Path))
    throw Error("storage", Path,
                "the data folder already belongs to a replica");
  replaceRecordFile(Path, {Identity.SerializeAsString()}, writeToDisk);
}

std::optional<peer::Identity> findIdentity(const std::string &Folder) {
  std::string Path = joinPath(Folder, IdentityName);
  if (!std::filesystem::exists(Path))
    return std::nullopt;
  peer::Identity Read;
  if (!Read.ParseFromString(readSingleRecord(Path)))
    throw CorruptFile("storage", Path, "the record is not a valid identity");
  return Read;
}

FileLogStorage::FileLogStorage(std::string Folder, const std::string &Cluster,
                               const std::string &Replica, WriteFunction Write)
    : Folder(std::move(Folder)), Write(std::move(Write)) {
  std::string Path = this->pathOf(IdentityName);
  std::optional<peer::Identity> Found = findIdentity(this->Folder);
  if (!Found)
    throw Error("storage", this->Folder,
                "the data folder holds no replica; start once with --init for "
                "a new cluster or with --join to replace a lost replica under "
                "a new name");
  this->Identity = *Found;
  if (this->Identity.cluster() != Cluster ||
      this->Identity.replica() != Replica)
    throw Error("storage", Path,
                fmt::format("the data folder belongs to replica '{}' of "
                            "cluster '{}'",
                            this->Identity.replica(),
                            this->Identity.cluster()));
  this->lock();
  this->Log = std::make_unique<RecordFile>(this->pathOf(LogName), this->Write);
}

FileLogStorage::~FileLogStorage() {
  if (this->LockFile >= 0)
    ::close(this->LockFile);
}

std::string FileLogStorage::pathOf(const char *Name) const {
  return joinPath(this->Folder, Name);
}

void FileLogStorage::lock() {
  std::string Path = this->pathOf(LockName);
  this->LockFile = ::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, LockMode);
  if (this->LockFile < 0 || ::flock(this->LockFile, LOCK_EX | LOCK_NB) != 0)
    throw Error("storage", Path, "another process uses the data folder");
}

peer::Snapshot FileLogStorage::readSnapshot() const {
  peer::Snapshot Read;
  std::string Path = this->pathOf(SnapshotName);
  if (!std::filesystem::exists(Path)) {
    // A new cluster starts with the bootstrap replicas of its identity.
    *Read.mutable_replicas() = this->Identity.bootstrap();
    return Read;
  }
  if (!Read.ParseFromString(readSingleRecord(Path)))
    throw CorruptFile("storage", Path, "the record is not a valid snapshot");
  return Read;
}

StoredLog FileLogStorage::load() {
  StoredLog Stored;
  Stored.Snapshot = this->readSnapshot();
  this->Log->readAll([&](std::string_view Content) {
    peer::WalRecord Record;
    if (!Record.ParseFromArray(Content.data(),
                               static_cast<int>(Content.size())))
      throw CorruptFile("storage", this->Log->path(),
                        "a record is not a valid log record");
    replay(Record, Stored, this->Log->path());
  });
  return Stored;
}

void FileLogStorage::write(std::vector<std::string> Records) {
  if (this->Truncation)
    Records.insert(Records.begin(), this->Truncation->SerializeAsString());
  this->openedLog().append(Records);
  this->Truncation.reset();
}

void FileLogStorage::saveHardState(const peer::HardState &State) {
  this->write({hardStateRecord(State).SerializeAsString()});
}

void FileLogStorage::append(const std::vector<peer::LogEntry> &Entries) {
  std::vector<std::string> Records;
  Records.reserve(Entries.size());
  for (const peer::LogEntry &Entry : Entries)
    Records.push_back(entryRecord(Entry).SerializeAsString());
  this->write(std::move(Records));
}

void FileLogStorage::truncateFrom(std::uint64_t Index) {
  // An earlier one that was not written yet may go further back.
  if (this->Truncation)
    Index = std::min(Index, this->Truncation->truncate_from());
  this->Truncation.emplace().set_truncate_from(Index);
}

void FileLogStorage::saveSnapshot(const peer::Snapshot &Snapshot,
                                  const peer::HardState &Hard,
                                  const std::vector<peer::LogEntry> &Rest) {
  // The snapshot is stored first, since the remaining log is unusable without
  // it.
  replaceRecordFile(this->pathOf(SnapshotName), {Snapshot.SerializeAsString()},
                    this->Write);
  std::vector<std::string> Records;
  Records.reserve(Rest.size() + 1);
  Records.push_back(hardStateRecord(Hard).SerializeAsString());
  for (const peer::LogEntry &Entry : Rest)
    Records.push_back(entryRecord(Entry).SerializeAsString());
  std::string New =
      writeRecordFile(this->pathOf(LogName), Records, this->Write);
  // Once renamed, the present file is no longer the one in the folder, even if
  // the folder cannot be synced.
  this->Log.reset();
  installRecordFile(New, this->pathOf(LogName));
  this->Truncation.reset();
  this->openedLog();
}

RecordFile &FileLogStorage::openedLog() {
  if (this->Log)
    return *this->Log;
  auto Opened =
      std::make_unique<RecordFile>(this->pathOf(LogName), this->Write);
  Opened->readAll([](std::string_view) {});
  this->Log = std::move(Opened);
  return *this->Log;
}

void FileLogStorage::sync() {
  if (this->Truncation)
    this->write({});
  this->openedLog().sync();
}

void setDamagedAside(const std::string &Folder) {
  std::string Aside = joinPath(Folder, DamagedName);
  std::filesystem::remove_all(Aside);
  std::filesystem::create_directories(Aside);
  for (const char *Name : {IdentityName, SnapshotName, LogName})
    if (std::filesystem::exists(joinPath(Folder, Name)))
      std::filesystem::rename(joinPath(Folder, Name), joinPath(Aside, Name));
}

} // namespace yardwheel
