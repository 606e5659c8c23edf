//===- Random faults on random submissions, for many seeds ----------------===//
///
/// Runs entries and agents under message loss, duplication, reordering,
/// partitions, freezes, kills and restarts. A failing seed is printed; running
/// the test with only that seed replays it.
///
//===----------------------------------------------------------------------===//

#include "emulator/virtual_cluster.h"

#include "tests/support/seeds.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DefaultSeeds = 2000;

std::string randomNode(std::mt19937_64 &Random) {
  bool Entry = Random() % 3 == 0;
  return VirtualCluster::nodeName(Entry ? 'e' : 'a',
                                  1 + Random() % (Entry ? 3 : 4));
}

void causeFault(VirtualCluster &Cluster, std::mt19937_64 &Random) {
  std::string Node = randomNode(Random);
  NetworkFaults Faults;
  switch (Random() % 7) {
  case 0:
    Cluster.restart(Node);
    return;
  case 1:
    Cluster.World.freeze(Node);
    return;
  case 2:
    Cluster.World.thaw(Node);
    return;
  case 3:
    Cluster.World.cut(Node, randomNode(Random));
    return;
  case 4:
    Cluster.World.isolate(Node);
    return;
  case 5:
    Faults.LossPermille = Random() % 200;
    Faults.DuplicatePermille = Random() % 300;
    Faults.Jitter = std::chrono::milliseconds(1 + Random() % 500);
    Cluster.World.setFaults(Faults);
    return;
  default:
    Cluster.World.reconnectAll();
    return;
  }
}

struct Run {
  std::uint32_t DoubleStarts = 0;
  std::uint32_t Complete = 0;
  std::size_t Unanswered = 0;
  std::string Violation;
};

/// Runs one random scenario of about ten seconds, then gives it time to finish.
Run runSeed(std::uint64_t Seed, bool UseMechanisms) {
  ClusterOptions Options;
  Options.Seed = Seed;
  Options.Entries = 3;
  Options.Agents = 4;
  Options.Tick = 20ms;
  Options.ClaimsFirst = UseMechanisms;
  Options.ResendOnlyOnProof = UseMechanisms;
  const char *Policies[] = {"slot_borrow", "late_binding", "two_choices",
                            "slot_share"};
  Options.Policy = Policies[Seed % 4];
  VirtualCluster Cluster(Options);
  Cluster.settle();
  std::mt19937_64 Random(Seed);
  std::vector<JobRequest> Jobs;
  std::vector<std::size_t> Numbers;
  for (int Step = 0; Step < 40; ++Step) {
    if (Random() % 3 == 0)
      Jobs.push_back(
          Cluster.makeJob(fmt::format("job{}", Step), 1 + Random() % 6));
    // Resubmit a random earlier job at a random entry.
    if (!Jobs.empty() && Random() % 2 == 0) {
      std::string Entry = VirtualCluster::nodeName('e', 1 + Random() % 3);
      Numbers.push_back(Cluster.submit(Entry, Jobs[Random() % Jobs.size()]));
    }
    if (Random() % 4 == 0)
      causeFault(Cluster, Random);
    Cluster.run(std::chrono::milliseconds(Random() % 400));
  }
  Cluster.World.reconnectAll();
  for (std::size_t I = 1; I <= 4; ++I) {
    Cluster.World.thaw(VirtualCluster::nodeName('a', I));
    if (I <= 3)
      Cluster.World.thaw(VirtualCluster::nodeName('e', I));
  }
  Cluster.run(30s);
  Run Result;
  Result.DoubleStarts = Cluster.doubleStarts();
  Result.Violation = Cluster.violation();
  Result.Unanswered = Cluster.unanswered();
  for (std::size_t Number : Numbers) {
    const Answer &Received = Cluster.answer(Number);
    Result.Complete += Received.Outcome.complete() ? 1 : 0;
  }
  return Result;
}

} // namespace

TEST_GROUP(AtMostOnceFuzzTest){};

TEST(AtMostOnceFuzzTest, NoSeedStartsATaskTwice) {
  std::uint64_t Complete = 0;
  const SeedRange Seeds = seedRange(DefaultSeeds);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    Run Result = runSeed(Seed, true);
    std::string Name = fmt::format("seed {}", Seed);
    LONGS_EQUAL_TEXT(0, Result.DoubleStarts, Name.c_str());
    STRCMP_EQUAL_TEXT("", Result.Violation.c_str(), Name.c_str());
    LONGS_EQUAL_TEXT(0, Result.Unanswered, Name.c_str());
    Complete += Result.Complete;
  }
  // A cluster that rejects every job would pass without proving anything.
  CHECK_TRUE(Complete > (Seeds.Last - Seeds.First) * 3);
}

TEST(AtMostOnceFuzzTest, DoubleStartsAreDetectedWithoutTheMechanisms) {
  std::uint32_t Caught = 0;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    Caught += runSeed(Seed, false).DoubleStarts > 0 ? 1 : 0;
  CHECK_TRUE(Caught > 20);
}
