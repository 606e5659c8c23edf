#include "tests/consensus/raft_cluster.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

RaftOptions defaults() {
  RaftOptions Options;
  Options.ElectionTimeout = 200ms;
  Options.EntriesPerSnapshot = 30;
  return Options;
}

bool contains(const std::vector<std::string> &All, const std::string &One) {
  return std::find(All.begin(), All.end(), One) != All.end();
}

/// Adds a learner, waits until it has caught up, promotes it and removes the
/// old replica.
void replaceReplica(RaftCluster &Cluster, const std::string &Old,
                    const std::string &New) {
  auto Propose = [&](const peer::ReplicaSet &Set) {
    RaftNode &Leader = Cluster.node(Cluster.leader());
    CHECK_TRUE(
        Leader.proposeReplicas(Set, Cluster.World.now().Steady).has_value());
    Cluster.run(1s);
  };
  peer::ReplicaSet Set = Cluster.node(Cluster.leader()).log().replicas();
  peer::Replica *Added = Set.add_replicas();
  Added->set_name(New);
  Added->set_address(New);
  Added->set_learner(true);
  Propose(Set);
  CHECK_TRUE(Cluster.node(Cluster.leader()).isCaughtUp(New));
  Added->set_learner(false);
  Propose(Set);
  peer::ReplicaSet Rest;
  for (const peer::Replica &Kept : Set.replicas())
    if (Kept.name() != Old)
      *Rest.add_replicas() = Kept;
  Propose(Rest);
}

} // namespace

TEST_GROUP(RaftNodeTest){};

// All hosts can lose power together. Callers then wait for the first election.
TEST(RaftNodeTest, ElectsALeaderEarlyAfterACommonRestart) {
  struct Row {
    int MaxEarlyCampaigns;
    Duration MaxWait;
    bool Expected;
  };
  const Row Rows[] = {{3, 150ms, true}, {0, 400ms, false}, {0, 1500ms, true}};
  for (const Row &Row : Rows) {
    RaftOptions Options = defaults();
    Options.ElectionTimeout = 500ms;
    Options.MaxEarlyCampaigns = Row.MaxEarlyCampaigns;
    RaftCluster Cluster(3, Options, 3);
    Cluster.run(5s);
    for (const std::string &Name : Cluster.names())
      Cluster.crash(Name);
    Cluster.run(1s);
    for (const std::string &Name : Cluster.names())
      Cluster.restart(Name);
    Cluster.run(Row.MaxWait);
    LONGS_EQUAL(Row.Expected, !Cluster.leader().empty());
  }
}

// A replica that restarts alone must not depose a leader that it has not heard
// from yet.
TEST(RaftNodeTest, AnEarlyCampaignDoesNotDeposeTheLeader) {
  RaftOptions Options = defaults();
  Options.FirstElectionTimeout = 5ms;
  RaftCluster Cluster(3, Options, 3);
  Cluster.run(2s);
  std::string Leader = Cluster.leader();
  std::uint64_t Term = Cluster.node(Leader).term();
  for (const std::string &Name : Cluster.names()) {
    if (Name == Leader)
      continue;
    Cluster.crash(Name);
    Cluster.run(100ms);
    Cluster.restart(Name);
    Cluster.run(1s);
  }
  STRCMP_EQUAL(Leader.c_str(), Cluster.leader().c_str());
  LONGS_EQUAL(Term, Cluster.node(Leader).term());
}

TEST(RaftNodeTest, ElectsOneLeaderAndCommits) {
  for (std::size_t Replicas : {1U, 3U, 5U}) {
    RaftCluster Cluster(Replicas, defaults(), 3);
    Cluster.run(2s);
    std::string Leader = Cluster.leader();
    CHECK_FALSE(Leader.empty());
    Cluster.propose(Leader, "x");
    Cluster.run(1s);
    for (const std::string &Name : Cluster.names())
      CHECK_TRUE(contains(Cluster.applied(Name), "x"));
  }
}

TEST(RaftNodeTest, AnIsolatedLeaderStepsDownOnlyWithCheckQuorum) {
  for (bool CheckQuorum : {false, true}) {
    RaftOptions Options = defaults();
    Options.CheckQuorum = CheckQuorum;
    RaftCluster Cluster(3, Options, 5);
    Cluster.run(2s);
    std::string Old = Cluster.leader();
    Cluster.World.isolate(Old);
    Cluster.run(5s);
    CHECK_EQUAL(!CheckQuorum, Cluster.node(Old).leads());
    CHECK_TRUE(Cluster.leader() != Old);
    std::size_t Before = Cluster.readsReady();
    Cluster.node(Old).read(Cluster.World.now().Steady);
    Cluster.run(1s);
    // In both cases it must not complete a read without a quorum.
    LONGS_EQUAL(Before, Cluster.readsReady());
    Cluster.propose(Cluster.leader(), "new");
    Cluster.run(500ms);
    Cluster.World.reconnect(Old);
    Cluster.run(2s);
    CHECK_TRUE(contains(Cluster.applied(Old), "new"));
    STRCMP_EQUAL("", Cluster.violation().c_str());
  }
}

TEST(RaftNodeTest, AReturningReplicaDeposesTheLeaderOnlyWithoutPreVote) {
  for (bool PreVote : {false, true}) {
    RaftOptions Options = defaults();
    Options.PreVote = PreVote;
    // Either mechanism alone prevents the failure, so both are switched
    // together.
    Options.CheckQuorum = PreVote;
    RaftCluster Cluster(3, Options, 7);
    Cluster.run(2s);
    std::string Leader = Cluster.leader();
    std::string Isolated = Leader == "r1" ? "r2" : "r1";
    Cluster.World.isolate(Isolated);
    Cluster.run(5s);
    std::uint64_t Term = Cluster.node(Leader).term();
    Cluster.World.reconnect(Isolated);
    Cluster.run(2s);
    CHECK_EQUAL(PreVote, Cluster.node(Leader).term() == Term);
  }
}

TEST(RaftNodeTest, AcknowledgedEntriesSurviveCrashesOnlyIfSynced) {
  for (bool Sync : {false, true}) {
    RaftOptions Options = defaults();
    Options.SyncBeforeReply = Sync;
    RaftCluster Cluster(3, Options, 9);
    Cluster.run(2s);
    Cluster.propose(Cluster.leader(), "kept");
    Cluster.run(500ms);
    CHECK_TRUE(contains(Cluster.acknowledged(), "kept"));
    for (const std::string &Name : Cluster.names())
      Cluster.restart(Name);
    Cluster.run(3s);
    CHECK_EQUAL(Sync, contains(Cluster.applied(Cluster.leader()), "kept"));
  }
}

TEST(RaftNodeTest, ALaggingReplicaCatchesUpThroughASnapshot) {
  RaftCluster Cluster(3, defaults(), 13);
  Cluster.run(2s);
  std::string Leader = Cluster.leader();
  std::string Isolated = Leader == "r1" ? "r2" : "r1";
  Cluster.World.isolate(Isolated);
  for (int I = 0; I < 500; ++I) {
    Cluster.propose(Leader, fmt::format("c{}", I));
    Cluster.run(10ms);
  }
  CHECK_TRUE(Cluster.node(Leader).log().snapshot().index() > 400);
  Cluster.World.reconnect(Isolated);
  Cluster.run(2s);
  LONGS_EQUAL(500, Cluster.applied(Isolated).size());
  STRCMP_EQUAL("c499", Cluster.applied(Isolated).back().c_str());
}

TEST(RaftNodeTest, AReplacedReplicaToleratesTheLossOfASecondHost) {
  RaftCluster Cluster(3, defaults(), 17);
  Cluster.run(2s);
  for (int I = 0; I < 100; ++I) {
    Cluster.propose(Cluster.leader(), fmt::format("c{}", I));
    Cluster.run(10ms);
  }
  std::string Lost = Cluster.leader() == "r1" ? "r2" : "r1";
  Cluster.crash(Lost);
  Cluster.join("new");
  replaceReplica(Cluster, Lost, "new");
  // A second host is lost for good right after the replacement.
  std::string Second = Cluster.leader();
  Cluster.crash(Second);
  Cluster.run(3s);
  std::string Leader = Cluster.leader();
  CHECK_FALSE(Leader.empty());
  LONGS_EQUAL(100, Cluster.applied(Leader).size());
  Cluster.propose(Leader, "after");
  Cluster.run(1s);
  CHECK_TRUE(contains(Cluster.acknowledged(), "after"));
  STRCMP_EQUAL("", Cluster.violation().c_str());
}

TEST(RaftNodeTest, AFullDiskRejectsProposalsAndLosesNone) {
  RaftCluster Cluster(3, defaults(), 19);
  Cluster.run(2s);
  std::string Leader = Cluster.leader();
  Cluster.disk(Leader).setFull(true);
  CHECK_THROWS(std::exception, Cluster.propose(Leader, "refused"));
  std::size_t Before = Cluster.readsReady();
  Cluster.node(Leader).read(Cluster.World.now().Steady);
  Cluster.run(1s);
  CHECK_TRUE(Cluster.readsReady() > Before);
  Cluster.disk(Leader).setFull(false);
  Cluster.propose(Cluster.leader(), "taken");
  Cluster.run(1s);
  CHECK_TRUE(contains(Cluster.applied(Leader), "taken"));
  CHECK_FALSE(contains(Cluster.applied(Leader), "refused"));
}

// An entry was never committed if the report of a lost disk came after its
// acknowledgement and no further entry followed.
TEST(RaftNodeTest, AReportAfterTheAcknowledgementCommits) {
  RaftCluster Cluster(4, defaults(), 29);
  Cluster.run(2s);
  std::string Leader = Cluster.leader();
  std::vector<std::string> Others = Cluster.names();
  std::erase(Others, Leader);
  Cluster.crash(Others[0]);
  Cluster.loseDisk(Others[1]);
  Cluster.propose(Leader, "x");
  Cluster.run(100ms);
  CHECK_FALSE(contains(Cluster.acknowledged(), "x"));
  Cluster.node(Leader).noteLostDisk(Others[1]);
  Cluster.node(Others[2]).noteLostDisk(Others[1]);
  Cluster.run(500ms);
  STRCMP_EQUAL(Leader.c_str(), Cluster.leader().c_str());
  CHECK_TRUE(contains(Cluster.acknowledged(), "x"));
}

// An operator that has the acknowledgement of a change may send the next one.
TEST(RaftNodeTest, AcceptsTheNextReplicaSetChangeOnceOneIsCommitted) {
  RaftCluster Cluster(3, defaults(), 23);
  Cluster.run(2s);
  RaftNode &Leader = Cluster.node(Cluster.leader());
  peer::ReplicaSet Set = Leader.log().replicas();
  Set.add_replicas()->set_name("r4");
  std::optional<std::uint64_t> First =
      Leader.proposeReplicas(Set, Cluster.World.now().Steady);
  CHECK_TRUE(First.has_value());
  while (Leader.commitIndex() < *First)
    Cluster.run(1ms);
  Set.mutable_replicas()->RemoveLast();
  CHECK_TRUE(
      Leader.proposeReplicas(Set, Cluster.World.now().Steady).has_value());
  Cluster.run(1s);
  LONGS_EQUAL(3, Leader.log().replicas().replicas_size());
  CHECK_TRUE(Leader.log().hasRepeatedReplicas());
  CHECK_TRUE(Leader.commitIndex() >= Leader.log().replicasIndex());
}

TEST(RaftNodeTest, AllowsOneReplicaSetChangeAtATime) {
  RaftCluster Cluster(3, defaults(), 23);
  Cluster.run(2s);
  RaftNode &Leader = Cluster.node(Cluster.leader());
  peer::ReplicaSet Set = Leader.log().replicas();
  Set.add_replicas()->set_name("r4");
  TimePoint Now = Cluster.World.now().Steady;
  CHECK_TRUE(Leader.proposeReplicas(Set, Now).has_value());
  CHECK_FALSE(Leader.proposeReplicas(Set, Now).has_value());
}
