//===- Memory that a replica's log takes ----------------------------------===//
//
// Regression test: control replicas ran out of memory, again at each start. The
// log was compacted by the number of its entries, whatever their size, copied
// for each snapshot, and held several times while it was read.
//
//===----------------------------------------------------------------------===//

#include "consensus/file_log_storage.h"
#include "core/process_memory.h"
#include "tests/consensus/raft_cluster.h"

#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// A configuration of the largest size that the platform allows, kept as text
/// and parsed.
constexpr std::size_t CommandBytes = 400000;
/// The part of the smallest memory limit of a control replica, 256 MB, that its
/// log may take.
constexpr std::size_t MaxLogBytes = 16 * BytesPerMegabyte;

std::string command(std::size_t Number) {
  std::string Text = fmt::format("{}.", Number);
  return Text + std::string(CommandBytes - Text.size(), 'x');
}

class NoEvents final : public RaftEvents {
public:
  void send(peer::RaftMessage) override {}
  void apply(const peer::LogEntry &) override {}
  std::string saveState() override { return command(0); }
  void restoreState(const peer::Snapshot &) override {}
  void onReadReady(std::uint64_t) override {}
  void onLeadershipChange(bool) override {}
};

/// Returns a figure of this process from the host, in bytes.
std::size_t processFigure(const std::string &Name) {
  std::ifstream File("/proc/self/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Name))
      return std::stoull(Line.substr(Name.size() + 1)) * BytesPerKilobyte;
  return 0;
}

/// Runs \p Work in a process of its own.
/// \returns by how many bytes its memory grew at most meanwhile.
std::size_t peakOf(const std::function<void()> &Work) {
  int Pipe[2];
  CHECK(::pipe(Pipe) == 0);
  pid_t Child = ::fork();
  if (Child == 0) {
    std::size_t Before = residentBytes();
    // Restarts the measurement of the peak at the present memory.
    std::ofstream("/proc/self/clear_refs") << "5";
    Work();
    std::size_t Peak = processFigure("VmHWM:") - Before;
    bool Written = ::write(Pipe[1], &Peak, sizeof Peak) == sizeof Peak;
    ::_exit(Written ? 0 : 1);
  }
  ::close(Pipe[1]);
  std::size_t Peak = 0;
  CHECK(::read(Pipe[0], &Peak, sizeof Peak) == sizeof Peak);
  ::close(Pipe[0]);
  ::waitpid(Child, nullptr, 0);
  return Peak;
}

RaftOptions options() {
  RaftOptions Options;
  Options.Name = "c1";
  Options.EntriesPerSnapshot = 200;
  return Options;
}

} // namespace

TEST_GROUP(LogMemoryTest) {
  std::string Folder;

  void setup() override {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "ywXXXXXX").string();
    Folder = mkdtemp(Pattern.data());
    peer::Identity Identity;
    Identity.set_cluster("demo");
    Identity.set_replica("c1");
    Identity.mutable_bootstrap()->add_replicas()->set_name("c1");
    initDataFolder(Folder, Identity);
  }
  void teardown() override { std::filesystem::remove_all(Folder); }

  std::size_t fileBytes() const {
    return std::filesystem::file_size(Folder + "/log");
  }

  /// Writes a log as an earlier build may have left it.
  void fill(std::size_t Entries) const {
    FileLogStorage Storage(Folder, "demo", "c1");
    Storage.load();
    for (std::size_t I = 1; I <= Entries; ++I) {
      peer::LogEntry Entry;
      Entry.set_index(I);
      Entry.set_term(1);
      Entry.set_command(command(I));
      Storage.append({Entry});
    }
    peer::HardState Hard;
    Hard.set_term(1);
    Storage.saveHardState(Hard);
    Storage.sync();
  }
};

TEST(LogMemoryTest, ALogOfLargeEntriesIsCompactedByItsBytes) {
  constexpr std::size_t Changes = 150;
  FileLogStorage Storage(Folder, "demo", "c1");
  NoEvents Events;
  TimePoint Now{};
  RaftNode Node(options(), Storage, Events, Now);
  while (!Node.leads()) {
    Now += 10ms;
    Node.tick(Now);
  }
  for (std::size_t I = 1; I <= Changes; ++I) {
    CHECK(Node.propose(command(I), Now).has_value());
    CHECK_TEXT(Node.log().bytes() <= MaxLogBytes,
               fmt::format("{} bytes in memory", Node.log().bytes()).c_str());
    CHECK_TEXT(fileBytes() <= MaxLogBytes,
               fmt::format("{} bytes on disk", fileBytes()).c_str());
  }
}

TEST(LogMemoryTest, AStartHoldsTheEntriesOnce) {
  constexpr std::size_t Entries = 150;
  // For what is read at a time, and for the allocator.
  constexpr std::size_t Allowance = 16 * BytesPerMegabyte;
  fill(Entries);
  std::size_t Peak = peakOf([&] {
    FileLogStorage Storage(Folder, "demo", "c1");
    NoEvents Events;
    RaftNode Node(options(), Storage, Events, TimePoint{});
  });
  CHECK_TEXT(
      Peak <= fileBytes() + Allowance,
      fmt::format("{} bytes for a log of {}", Peak, fileBytes()).c_str());
}

TEST(LogMemoryTest, ASnapshotOfALongLogIsTakenWithoutACopyOfIt) {
  constexpr std::size_t Entries = 150;
  constexpr std::size_t Allowance = 16 * BytesPerMegabyte;
  fill(Entries);
  std::size_t Peak = peakOf([&] {
    FileLogStorage Storage(Folder, "demo", "c1");
    NoEvents Events;
    TimePoint Now{};
    RaftOptions Options = options();
    Options.EntriesPerSnapshot = Entries;
    RaftNode Node(Options, Storage, Events, Now);
    // The only replica commits all entries as soon as it leads.
    while (!Node.leads()) {
      Now += 10ms;
      Node.tick(Now);
    }
  });
  CHECK_TEXT(Peak <= Entries * CommandBytes + Allowance,
             fmt::format("{} bytes for {} entries", Peak, Entries).c_str());
}

TEST(LogMemoryTest, WhatCannotBeCommittedIsLimited) {
  constexpr std::size_t Changes = 100;
  RaftCluster Cluster(3, options(), /*Seed=*/1);
  Cluster.run(3s);
  std::string Leader = Cluster.leader();
  // The other replicas reply to heartbeats, but cannot store entries.
  for (const char *Name : {"r1", "r2", "r3"})
    if (Name != Leader)
      Cluster.disk(Name).setFull(true);
  for (std::size_t I = 1; I <= Changes; ++I) {
    Cluster.propose(Leader, command(I));
    Cluster.run(20ms);
    std::size_t Held = Cluster.node(Leader).log().bytes();
    CHECK_TEXT(Held <= MaxLogBytes,
               fmt::format("{} bytes in memory", Held).c_str());
  }
}
