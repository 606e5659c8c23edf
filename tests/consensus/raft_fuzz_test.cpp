//===- Random faults on the consensus log, for many seeds -----------------===//
///
/// A differential test. The reference is the list of commands that leaders
/// acknowledged, in one process's memory. Every replica's state must contain
/// each of them exactly once, and all replicas must have the same state.
///
//===----------------------------------------------------------------------===//

#include "tests/consensus/raft_cluster.h"

#include "tests/support/seeds.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DefaultSeeds = 1000;

void injectFault(RaftCluster &Cluster, std::mt19937_64 &Random) {
  std::vector<std::string> Names = Cluster.names();
  const std::string &One = Names[Random() % Names.size()];
  const std::string &Other = Names[Random() % Names.size()];
  NetworkFaults Faults;
  // NOLINTNEXTLINE(bugprone-branch-clone): the branches differ.
  switch (Random() % 8) {
  case 0:
    Cluster.crash(One);
    return;
  case 1:
    Cluster.restart(One);
    return;
  case 2:
    Cluster.World.isolate(One);
    return;
  case 3:
    Cluster.World.cut(One, Other);
    return;
  case 4:
    Cluster.World.freeze(One);
    return;
  case 5:
    Cluster.World.thaw(One);
    return;
  case 6:
    Faults.LossPermille = Random() % 300;
    Faults.DuplicatePermille = Random() % 300;
    Faults.Jitter = std::chrono::milliseconds(1 + Random() % 300);
    Cluster.World.setFaults(Faults);
    return;
  default:
    Cluster.World.reconnectAll();
    return;
  }
}

struct Outcome {
  std::string Problem;
  std::size_t Acknowledged = 0;
};

Outcome runSeed(std::uint64_t Seed, bool Sync) {
  RaftOptions Options;
  Options.ElectionTimeout = 200ms;
  Options.EntriesPerSnapshot = 5 + Seed % 20;
  Options.SyncBeforeReply = Sync;
  RaftCluster Cluster(Seed % 2 == 0 ? 3 : 5, Options, Seed);
  std::mt19937_64 Random(Seed);
  for (int Step = 0; Step < 120; ++Step) {
    for (const std::string &Name : Cluster.names())
      if (Random() % 2 == 0)
        Cluster.propose(Name, fmt::format("{}-{}", Name, Step));
    if (Random() % 5 == 0)
      injectFault(Cluster, Random);
    Cluster.run(std::chrono::milliseconds(Random() % 100));
  }
  Cluster.World.reconnectAll();
  for (const std::string &Name : Cluster.names()) {
    Cluster.World.thaw(Name);
    if (!Cluster.World.isUp(Name))
      Cluster.restart(Name);
  }
  Cluster.run(5s);
  Outcome Result;
  Result.Problem = Cluster.violation();
  Result.Acknowledged = Cluster.acknowledged().size();
  if (Cluster.leader().empty()) {
    Result.Problem = "no leader after the faults ended";
    return Result;
  }
  Cluster.propose(Cluster.leader(), "last");
  Cluster.run(3s);
  std::vector<std::string> First = Cluster.applied(Cluster.leader());
  for (const std::string &Name : Cluster.names())
    if (Cluster.applied(Name) != First)
      Result.Problem = "replicas differ: " + Name;
  for (const std::string &Command : Cluster.acknowledged())
    if (std::count(First.begin(), First.end(), Command) != 1)
      Result.Problem = "acknowledged, but not applied exactly once: " + Command;
  if (First.empty() || First.back() != "last")
    Result.Problem = "no progress after the faults ended";
  return Result;
}

} // namespace

TEST_GROUP(RaftFuzzTest){};

TEST(RaftFuzzTest, NoSeedLosesOrDuplicatesAcknowledgedCommands) {
  std::size_t Acknowledged = 0;
  const SeedRange Seeds = seedRange(DefaultSeeds);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    Outcome Result = runSeed(Seed, true);
    std::string Name = fmt::format("seed {}", Seed);
    STRCMP_EQUAL_TEXT("", Result.Problem.c_str(), Name.c_str());
    Acknowledged += Result.Acknowledged;
  }
  CHECK_TRUE(Acknowledged > (Seeds.Last - Seeds.First) * 10);
}

TEST(RaftFuzzTest, TheCheckerDetectsRepliesBeforeSync) {
  std::size_t Caught = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    Caught += runSeed(Seed, false).Problem.empty() ? 0 : 1;
  CHECK_TRUE(Caught > 10);
}
