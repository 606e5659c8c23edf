#include "consensus/file_log_storage.h"
#include "core/error.h"

#include <CppUTest/TestHarness.h>
#include <cerrno>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

using namespace yardwheel;

namespace {

peer::LogEntry entry(std::uint64_t Index, const std::string &Command) {
  peer::LogEntry Entry;
  Entry.set_index(Index);
  Entry.set_term(1);
  Entry.set_command(Command);
  return Entry;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void writeFile(const std::string &Path, const std::string &Content) {
  std::ofstream(Path, std::ios::binary | std::ios::trunc) << Content;
}

} // namespace

TEST_GROUP(FileLogStorageTest) {
  std::string Folder;

  void setup() override {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "ywXXXXXX").string();
    Folder = mkdtemp(Pattern.data());
    peer::Identity Identity;
    Identity.set_cluster("demo");
    Identity.set_replica("c1");
    initDataFolder(Folder, Identity);
  }
  void teardown() override { std::filesystem::remove_all(Folder); }

  std::string path(const char *Name) const { return Folder + "/" + Name; }

  /// Writes and syncs three entries and a vote.
  void fill() const {
    FileLogStorage Storage(Folder, "demo", "c1");
    Storage.load();
    peer::HardState Hard;
    Hard.set_term(7);
    Hard.set_voted_for("c2");
    Storage.saveHardState(Hard);
    Storage.append({entry(1, "one"), entry(2, "two"), entry(3, "three")});
    Storage.sync();
  }

  /// Returns the number of entries that load, or -1 if the corruption is
  /// reported with its file.
  int countLoadedEntries() const {
    try {
      FileLogStorage Storage(Folder, "demo", "c1");
      return static_cast<int>(Storage.load().Entries.size());
    } catch (const Error &Problem) {
      CHECK_TRUE(Problem.peer().starts_with(Folder));
      return -1;
    }
  }
};

TEST(FileLogStorageTest, LoadsSyncedState) {
  fill();
  FileLogStorage Storage(Folder, "demo", "c1");
  StoredLog Stored = Storage.load();
  LONGS_EQUAL(7, Stored.Hard.term());
  STRCMP_EQUAL("c2", Stored.Hard.voted_for().c_str());
  LONGS_EQUAL(3, Stored.Entries.size());
  STRCMP_EQUAL("three", Stored.Entries[2].command().c_str());
}

TEST(FileLogStorageTest, TruncatesAnIncompleteRecordOfAnyLength) {
  fill();
  std::string Whole = readFile(path("log"));
  int Last = 0;
  for (std::size_t Length = 0; Length <= Whole.size(); ++Length) {
    writeFile(path("log"), Whole.substr(0, Length));
    int Entries = countLoadedEntries();
    // Truncation loses only whole records at the end.
    CHECK_TRUE(Entries >= Last);
    Last = Entries;
    writeFile(path("log"), Whole.substr(0, Length) + std::string(100, '\0'));
    LONGS_EQUAL(Entries, countLoadedEntries());
  }
  LONGS_EQUAL(3, Last);
}

TEST(FileLogStorageTest, ReportsCorruptionOfAnyByte) {
  fill();
  for (const char *Name : {"log", "identity"}) {
    std::string Whole = readFile(path(Name));
    for (std::size_t I = 0; I < Whole.size(); ++I) {
      std::string Damaged = Whole;
      Damaged[I] = static_cast<char>(Damaged[I] ^ 0x10);
      writeFile(path(Name), Damaged);
      LONGS_EQUAL_TEXT(-1, countLoadedEntries(),
                       fmt::format("{} {}", Name, I).c_str());
    }
    writeFile(path(Name), Whole);
  }
  LONGS_EQUAL(3, countLoadedEntries());
}

TEST(FileLogStorageTest, SnapshotsReplaceTheLogAndAreChecksummed) {
  {
    FileLogStorage Storage(Folder, "demo", "c1");
    Storage.load();
    Storage.append({entry(1, "one"), entry(2, "two"), entry(3, "three")});
    peer::Snapshot Snapshot;
    Snapshot.set_index(2);
    Snapshot.set_term(1);
    Snapshot.set_state("state");
    Storage.saveSnapshot(Snapshot, {}, {entry(3, "three")});
    Storage.append({entry(4, "four")});
    Storage.sync();
  }
  {
    FileLogStorage Storage(Folder, "demo", "c1");
    StoredLog Stored = Storage.load();
    STRCMP_EQUAL("state", Stored.Snapshot.state().c_str());
    LONGS_EQUAL(2, Stored.Entries.size());
    LONGS_EQUAL(4, Stored.Entries[1].index());
  }
  std::string Whole = readFile(path("snapshot"));
  for (std::size_t I = 0; I < Whole.size(); ++I) {
    std::string Damaged = Whole;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 0x10);
    writeFile(path("snapshot"), Damaged);
    LONGS_EQUAL(-1, countLoadedEntries());
  }
}

TEST(FileLogStorageTest, ACrashBetweenSnapshotAndLogLosesNothing) {
  fill();
  std::string OldLog = readFile(path("log"));
  {
    FileLogStorage Storage(Folder, "demo", "c1");
    Storage.load();
    peer::Snapshot Snapshot;
    Snapshot.set_index(2);
    Snapshot.set_term(1);
    Storage.saveSnapshot(Snapshot, {}, {entry(3, "three")});
  }
  // The state after a crash: the new snapshot with the old log.
  writeFile(path("log"), OldLog);
  LONGS_EQUAL(1, countLoadedEntries());
}

TEST(FileLogStorageTest, AFailedWriteToAFullDiskLeavesNoPartialRecord) {
  std::size_t FreeBytes = SIZE_MAX;
  auto Write = [&FreeBytes](int File, const void *Data, std::size_t Size) {
    std::size_t Taken = std::min(Size, FreeBytes);
    if (Taken == 0) {
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    }
    FreeBytes -= FreeBytes == SIZE_MAX ? 0 : Taken;
    return ::write(File, Data, Taken);
  };
  {
    FileLogStorage Storage(Folder, "demo", "c1", Write);
    Storage.load();
    Storage.append({entry(1, "one")});
    for (std::size_t Left : {0U, 1U, 13U, 30U}) {
      FreeBytes = Left;
      CHECK_THROWS(Error, Storage.append({entry(2, "two"), entry(3, "three")}));
    }
    FreeBytes = SIZE_MAX;
    Storage.append({entry(2, "second")});
    Storage.sync();
  }
  LONGS_EQUAL(2, countLoadedEntries());
}

// Regression test: a replica could not be started again after a loss of power
// that kept the second of two writes since the last sync, but not the first.
TEST(FileLogStorageTest, ALostWriteBeforeAKeptOneIsNoCorruption) {
  fill();
  bool IsLost = true;
  auto Write = [&IsLost](int File, const void *Data, std::size_t Size) {
    std::string Zeros(Size, '\0');
    bool Loses = std::exchange(IsLost, false);
    return ::write(File, Loses ? Zeros.data() : Data, Size);
  };
  {
    FileLogStorage Storage(Folder, "demo", "c1", Write);
    Storage.load();
    Storage.truncateFrom(3);
    Storage.append({entry(3, "other")});
  }
  LONGS_EQUAL(3, countLoadedEntries());
}

TEST(FileLogStorageTest, ATruncationIsStoredWithTheEntriesAfterIt) {
  fill();
  {
    FileLogStorage Storage(Folder, "demo", "c1");
    Storage.load();
    Storage.truncateFrom(2);
    Storage.append({entry(2, "other")});
    Storage.sync();
  }
  {
    FileLogStorage Storage(Folder, "demo", "c1");
    StoredLog Stored = Storage.load();
    LONGS_EQUAL(2, Stored.Entries.size());
    STRCMP_EQUAL("other", Stored.Entries[1].command().c_str());
    Storage.truncateFrom(2);
    Storage.sync();
  }
  LONGS_EQUAL(1, countLoadedEntries());
}

TEST(FileLogStorageTest, ADamagedReplicaCanBeMovedAsideAgainAndAgain) {
  for (int I = 0; I < 2; ++I) {
    fill();
    std::string Damaged = readFile(path("log"));
    Damaged[20] = static_cast<char>(Damaged[20] ^ 0x10);
    writeFile(path("log"), Damaged);
    CHECK_THROWS(CorruptFile, FileLogStorage(Folder, "demo", "c1").load());
    setDamagedAside(Folder);
    CHECK_FALSE(findIdentity(Folder).has_value());
    STRCMP_EQUAL(Damaged.c_str(), readFile(path("damaged/log")).c_str());
    peer::Identity Identity;
    Identity.set_cluster("demo");
    Identity.set_replica("c1");
    initDataFolder(Folder, Identity);
    LONGS_EQUAL(0, countLoadedEntries());
  }
}

TEST(FileLogStorageTest, AFailedSnapshotLosesNoLaterEntries) {
  struct Row {
    /// The write that fails: that of the snapshot, or of the log after it.
    int FailedWrite;
    std::size_t Entries;
  };
  const Row Rows[] = {{0, 4}, {1, 2}};
  for (const Row &Row : Rows) {
    std::filesystem::remove(path("log"));
    std::filesystem::remove(path("snapshot"));
    fill();
    int Writes = -1;
    auto Write = [&](int File, const void *Data, std::size_t Size) {
      if (Writes < 0 || Writes++ != Row.FailedWrite)
        return ::write(File, Data, Size);
      errno = ENOSPC;
      return static_cast<ssize_t>(-1);
    };
    {
      FileLogStorage Storage(Folder, "demo", "c1", Write);
      Storage.load();
      peer::Snapshot Snapshot;
      Snapshot.set_index(2);
      Snapshot.set_term(1);
      Writes = 0;
      CHECK_THROWS(Error,
                   Storage.saveSnapshot(Snapshot, {}, {entry(3, "three")}));
      Writes = -1;
      Storage.append({entry(4, "later")});
      Storage.sync();
    }
    LONGS_EQUAL(Row.Entries, countLoadedEntries());
  }
}

TEST(FileLogStorageTest, RejectsOtherReplicasAndASecondProcess) {
  struct Row {
    const char *Cluster;
    const char *Replica;
    bool CanOpen;
  };
  const Row Table[] = {
      {"demo", "c1", true}, {"other", "c1", false}, {"demo", "c2", false}};
  for (const Row &Case : Table) {
    bool Opened = true;
    try {
      FileLogStorage Storage(Folder, Case.Cluster, Case.Replica);
    } catch (const Error &) {
      Opened = false;
    }
    CHECK_EQUAL(Case.CanOpen, Opened);
  }
  FileLogStorage First(Folder, "demo", "c1");
  CHECK_THROWS(Error, FileLogStorage(Folder, "demo", "c1"));
  CHECK_THROWS(Error, initDataFolder(Folder, peer::Identity()));
}

TEST(FileLogStorageTest, RejectsAnEmptyFolder) {
  std::string Empty = path("empty");
  std::filesystem::create_directories(Empty);
  CHECK_THROWS(Error, FileLogStorage(Empty, "demo", "c1"));
}
