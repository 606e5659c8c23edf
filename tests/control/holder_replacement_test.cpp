//===- Replacement of ledger holders under load ---------------------------===//

#include "emulator/virtual_cluster.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

ClusterOptions options(std::uint64_t Seed) {
  ClusterOptions Options;
  Options.Seed = Seed;
  Options.Controls = 3;
  Options.Agents = 6;
  return Options;
}

std::vector<std::string> holders(VirtualCluster &Cluster) {
  const auto &Groups = Cluster.control(Cluster.leader())->catalog().groups();
  if (Groups.empty())
    return {};
  const auto &Names = Groups.begin()->second.holders();
  return {Names.begin(), Names.end()};
}

std::uint64_t epoch(VirtualCluster &Cluster) {
  return Cluster.control(Cluster.leader())->catalog().groups().at(0).epoch();
}

/// Two holders and an entry are cut off from control, so they do not learn of a
/// replacement. The same jobs are submitted to that entry and to one that knows
/// the new epoch. \returns the number of tasks that were started twice.
std::uint32_t runSplitScenario(std::uint64_t Seed, bool IsSealingEnabled) {
  ClusterOptions Given = options(Seed);
  Given.SealsGroups = IsSealingEnabled;
  // Earlier than the cut-off entry stops accepting jobs.
  Given.ReplaceAfter = 100ms;
  VirtualCluster Cluster(Given);
  Cluster.settle();
  std::vector<std::string> Old = holders(Cluster);
  for (const std::string &Holder : {Old[0], Old[1]})
    for (const char *Replica : {"c1", "c2", "c3"})
      Cluster.World.cut(Holder, Replica);
  for (const char *Replica : {"c1", "c2", "c3"})
    Cluster.World.cut("e1", Replica);
  // Submit new jobs with new ids throughout, each at both entries.
  for (int Step = 0; Step < 120; ++Step) {
    JobRequest Job = Cluster.makeJob(fmt::format("job{}", Step), 1);
    Cluster.submit("e1", Job);
    Cluster.submit("e2", Job);
    Cluster.run(100ms);
  }
  Cluster.run(10s);
  CHECK_TRUE(epoch(Cluster) > 1);
  STRCMP_EQUAL("", Cluster.violation().c_str());
  return Cluster.doubleStarts();
}

} // namespace

TEST_GROUP(HolderReplacementTest){};

TEST(HolderReplacementTest, ALostHolderIsReplacedAndJobsContinue) {
  VirtualCluster Cluster(options(51));
  Cluster.settle();
  std::vector<std::string> Old = holders(Cluster);
  LONGS_EQUAL(3, Old.size());
  JobRequest Early = Cluster.makeJob("early", 2);
  Cluster.submit("e1", Early);
  Cluster.run(1s);
  Cluster.kill(Old[0]);
  Cluster.run(10s);
  CHECK_TRUE(epoch(Cluster) > 1);
  std::size_t Number = Cluster.submit("e2", Cluster.makeJob("late", 2));
  std::size_t Again = Cluster.submit("e2", Early);
  Cluster.run(3s);
  CHECK_TRUE(Cluster.answer(Number).Outcome.complete());
  CHECK_TRUE(Cluster.answer(Again).Outcome.complete());
  LONGS_EQUAL(2, Cluster.starts(Early));
}

TEST(HolderReplacementTest, TwoHoldersLostAtOnceAreReplacedAfterTheSealWait) {
  VirtualCluster Cluster(options(53));
  Cluster.settle();
  std::vector<std::string> Old = holders(Cluster);
  Cluster.kill(Old[0]);
  Cluster.kill(Old[1]);
  Cluster.run(15s);
  CHECK_TRUE(epoch(Cluster) > 1);
  std::size_t Number = Cluster.submit("e2", Cluster.makeJob("late", 2));
  Cluster.run(3s);
  CHECK_TRUE(Cluster.answer(Number).Outcome.complete());
}

TEST(HolderReplacementTest, OldAndNewHoldersNeverBothDecide) {
  std::uint32_t DoubleStartsWithoutSeal = 0;
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    LONGS_EQUAL_TEXT(0, runSplitScenario(Seed, true),
                     fmt::format("seed {}", Seed).c_str());
    DoubleStartsWithoutSeal += runSplitScenario(Seed, false);
  }
  CHECK_TRUE(DoubleStartsWithoutSeal > 0);
}
