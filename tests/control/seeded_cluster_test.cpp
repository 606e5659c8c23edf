//===- A control cluster that forms from seeds and replaces its members ---===//

#include "tests/control/seeded_cluster.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Seeds = SeededCluster::Seeds;

} // namespace

TEST_GROUP(SeededClusterTest){};

TEST(SeededClusterTest, HostsThatStartInAnyOrderFormOneCluster) {
  const std::vector<std::vector<std::size_t>> Orders = {
      {0, 1, 2, 3}, {3, 2, 1, 0}, {2, 3, 0, 1}};
  for (const std::vector<std::size_t> &Order : Orders) {
    SeededCluster Cluster(7);
    for (std::size_t Host : Order) {
      Cluster.startEmpty(Host, /*First=*/true);
      Cluster.run(100ms);
    }
    Cluster.run(5s);
    CHECK(Cluster.leader() != nullptr);
    LONGS_EQUAL(3, Cluster.voters());
    LONGS_EQUAL(4, Cluster.leader()->raft().log().replicas().replicas_size());
    CHECK(Cluster.replace(5));
    Cluster.run(1s);
    for (std::size_t Host : Order)
      LONGS_EQUAL(5, Cluster.service(Host).catalog().routes().version());
  }
}

TEST(SeededClusterTest, EmptyHostsWithoutBootstrapFormNoCluster) {
  SeededCluster Cluster(8);
  Cluster.startEmpty(0, /*First=*/false);
  Cluster.startEmpty(1, /*First=*/false);
  Cluster.run(20s);
  POINTERS_EQUAL(nullptr, Cluster.leader());
}

TEST(SeededClusterTest, EachHostInTurnCanLoseItsDisk) {
  SeededCluster Cluster(9);
  for (std::size_t Host = 0; Host < Seeds; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(3s);
  std::uint64_t Version = 1;
  for (std::size_t Host : {0, 1, 2, 0}) {
    CHECK(Cluster.replace(++Version));
    Cluster.kill(Host);
    Cluster.startEmpty(Host, /*First=*/false);
    Cluster.run(8s);
    CHECK(Cluster.leader() != nullptr);
    LONGS_EQUAL(3, Cluster.voters());
    LONGS_EQUAL(3, Cluster.leader()->raft().log().replicas().replicas_size());
    LONGS_EQUAL(Version, Cluster.leader()->catalog().routes().version());
  }
}

TEST(SeededClusterTest, AHostThatIsGoneIsReplacedByAnotherAddress) {
  SeededCluster Cluster(10);
  for (std::size_t Host = 0; Host < Seeds; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(3s);
  CHECK(Cluster.replace(2));
  Cluster.kill(0);
  Cluster.run(1s);
  Cluster.startEmpty(4, /*First=*/false);
  Cluster.run(10s);
  LONGS_EQUAL(3, Cluster.voters());
  // Now one of the original hosts may be lost as well.
  Cluster.kill(1);
  Cluster.run(5s);
  CHECK(Cluster.replace(3));
  LONGS_EQUAL(3, Cluster.service(4).catalog().routes().version());
}

TEST(SeededClusterTest, AReplacedReplicaReturnsAsALearner) {
  SeededCluster Cluster(11);
  for (std::size_t Host = 0; Host < 4; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(5s);
  Cluster.kill(0);
  Cluster.run(8s);
  LONGS_EQUAL(3, Cluster.voters());
  CHECK(Cluster.replace(2));
  Cluster.start(0);
  Cluster.run(8s);
  LONGS_EQUAL(3, Cluster.voters());
  LONGS_EQUAL(2, Cluster.service(0).catalog().routes().version());
}

TEST(SeededClusterTest, NoAcknowledgedTableIsLostInRandomScenarios) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SeededCluster Cluster(Seed);
    for (std::size_t Host = 0; Host < 4; ++Host)
      Cluster.startEmpty(Host, /*First=*/true);
    Cluster.run(4s);
    std::uint64_t Version = 0;
    std::uint64_t Acknowledged = 0;
    std::mt19937_64 Random(Seed);
    for (int Round = 0; Round < 6; ++Round) {
      if (Cluster.replace(++Version))
        Acknowledged = Version;
      std::size_t Host = Random() % 4;
      Cluster.kill(Host);
      Cluster.run(std::chrono::milliseconds(Random() % 6000));
      if (Random() % 2 == 0)
        Cluster.startEmpty(Host, /*First=*/false);
      else
        Cluster.start(Host);
      Cluster.run(9s);
      CHECK_TEXT(Cluster.leader() != nullptr,
                 fmt::format("no leader, seed {}", Seed).c_str());
      CHECK_TEXT(Cluster.leader()->catalog().routes().version() >= Acknowledged,
                 fmt::format("lost, seed {}", Seed).c_str());
    }
  }
}

// A leader that was behind on its input again and again never replaced the
// connection to a follower, though it read all of its input in between.
TEST(SeededClusterTest, ABusyLeaderReplacesTheConnectionToASilentFollower) {
  SeededCluster Cluster(12);
  for (std::size_t Host = 0; Host < Seeds; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(5s);
  Cluster.InputDelay = 20ms;
  std::size_t Leader = 0;
  while (&Cluster.service(Leader) != Cluster.leader())
    ++Leader;
  std::size_t Follower = (Leader + 1) % Seeds;
  Cluster.World.freeze(SeededCluster::addressOf(Follower));
  Cluster.run(3s);
  CHECK(Cluster.reconnects(Leader, Follower) > 0);
  // One that replies keeps its connection.
  LONGS_EQUAL(0, Cluster.reconnects(Leader, (Leader + 2) % Seeds));
}
