//===- Configuration changes under failures of control and of nodes -------===//

#include "emulator/virtual_cluster.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

peer::Change weightChange(const std::string &Id, std::uint64_t Base,
                          std::uint32_t Weight) {
  peer::Change Change;
  Change.set_id(Id);
  peer::SetWorkspace *Body = Change.mutable_set_workspace();
  Body->set_name("bids");
  Body->set_base_version(Base);
  Body->mutable_parameters()->set_weight(Weight);
  return Change;
}

ClusterOptions withControl(std::uint64_t Seed) {
  ClusterOptions Options;
  Options.Seed = Seed;
  Options.Controls = 3;
  Options.Agents = 5;
  return Options;
}

/// Proposes at a replica and waits for the outcome.
ProposalOutcome change(VirtualCluster &Cluster, const std::string &Replica,
                       const peer::Change &Change, Duration Wait = 3s) {
  ProposalOutcome Result;
  Result.Reason = "no answer";
  Cluster.control(Replica)->propose(
      Change, Cluster.World.now(),
      [&Result](const ProposalOutcome &Outcome) { Result = Outcome; });
  Cluster.run(Wait);
  return Result;
}

std::uint32_t weightAt(const VirtualCluster &Cluster, const std::string &Node) {
  auto View = Cluster.catalogOf(Node).view();
  const peer::Workspace *Workspace = View->findWorkspace("bids");
  return Workspace == nullptr ? 0 : Workspace->parameters().weight();
}

const char *const Nodes[] = {"e1", "e2", "a1", "a2", "a3", "a4", "a5"};

std::string follower(VirtualCluster &Cluster) {
  return Cluster.leader() == "c1" ? "c2" : "c1";
}

} // namespace

TEST_GROUP(ConfigurationTest){};

TEST(ConfigurationTest, AChangeIsInForceEverywhereWithinASecond) {
  VirtualCluster Cluster(withControl(31));
  Cluster.settle();
  change(Cluster, Cluster.leader(), weightChange("x", 0, 321), 1s);
  for (const char *Node : Nodes)
    LONGS_EQUAL_TEXT(321, weightAt(Cluster, Node), Node);
}

TEST(ConfigurationTest, WithLossItIsInForceWithinNineSeconds) {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    VirtualCluster Cluster(withControl(Seed));
    Cluster.settle();
    NetworkFaults Faults;
    Faults.LossPermille = 200;
    Faults.Jitter = 50ms;
    Cluster.World.setFaults(Faults);
    std::string Leader = Cluster.leader();
    if (Leader.empty())
      continue;
    ProposalOutcome Outcome =
        change(Cluster, Leader, weightChange("x", 0, 321), 9s);
    if (Outcome.State != ProposalState::Applied)
      continue;
    for (const char *Node : Nodes)
      LONGS_EQUAL_TEXT(321, weightAt(Cluster, Node),
                       fmt::format("seed {} {}", Seed, Node).c_str());
  }
}

TEST(ConfigurationTest, OfConcurrentOperatorsOneWins) {
  VirtualCluster Cluster(withControl(33));
  Cluster.settle();
  std::vector<ProposalOutcome> Outcomes;
  for (int I = 0; I < 4; ++I)
    Cluster.control(Cluster.leader())
        ->propose(weightChange(fmt::format("race{}", I), 1, 200 + I),
                  Cluster.World.now(), [&](const ProposalOutcome &Outcome) {
                    Outcomes.push_back(Outcome);
                  });
  Cluster.run(2s);
  std::size_t Won = 0;
  std::size_t Lost = 0;
  for (const ProposalOutcome &Outcome : Outcomes) {
    Won += Outcome.Result.verdict() == peer::CHANGE_DONE ? 1 : 0;
    Lost += Outcome.Result.verdict() == peer::CHANGE_CONFLICT ? 1 : 0;
  }
  LONGS_EQUAL(1, Won);
  LONGS_EQUAL(3, Lost);
}

TEST(ConfigurationTest, AChangeRetriedAtAnotherLeaderGetsItsFirstResult) {
  VirtualCluster Cluster(withControl(35));
  Cluster.settle();
  ProposalOutcome First =
      change(Cluster, Cluster.leader(), weightChange("x", 1, 321));
  // A snapshot is taken every 20 entries, so the first change is compacted
  // away.
  for (int I = 0; I < 50; ++I)
    change(Cluster, Cluster.leader(),
           weightChange(fmt::format("y{}", I), 0, 400 + I), 50ms);
  Cluster.kill(Cluster.leader());
  Cluster.run(2s);
  ProposalOutcome Again =
      change(Cluster, Cluster.leader(), weightChange("x", 1, 321));
  LONGS_EQUAL(First.Result.revision(), Again.Result.revision());
  LONGS_EQUAL(First.Result.version(), Again.Result.version());
  LONGS_EQUAL(449, weightAt(Cluster, "e1"));
}

TEST(ConfigurationTest, AnIsolatedLeaderGivesUpInTimeAndNothingReverts) {
  VirtualCluster Cluster(withControl(37));
  Cluster.settle();
  std::string Old = Cluster.leader();
  Cluster.World.isolate(Old);
  // The isolated replica still considers itself the leader.
  ProposalOutcome Cut = change(Cluster, Old, weightChange("x", 0, 111), 3s);
  CHECK_TRUE(Cut.State == ProposalState::Unknown);
  ProposalOutcome Good =
      change(Cluster, Cluster.leader(), weightChange("y", 0, 222), 60s);
  CHECK_TRUE(Good.State == ProposalState::Applied);
  Cluster.World.reconnect(Old);
  Cluster.run(5s);
  for (const char *Node : Nodes)
    LONGS_EQUAL_TEXT(222, weightAt(Cluster, Node), Node);
  bool Confirmed = true;
  Cluster.control(Old)->read(Cluster.World.now(),
                             [&](bool Result) { Confirmed = Result; });
  Cluster.run(3s);
  CHECK_FALSE(Confirmed);
}

TEST(ConfigurationTest, WithoutAQuorumAChangeIsRefusedInBoundedTime) {
  VirtualCluster Cluster(withControl(39));
  Cluster.settle();
  std::string Leader = Cluster.leader();
  for (const char *Replica : {"c1", "c2", "c3"})
    if (Replica != Leader)
      Cluster.kill(Replica);
  ProposalOutcome Outcome =
      change(Cluster, Leader, weightChange("x", 0, 111), 3s);
  CHECK_TRUE(Outcome.State == ProposalState::Unknown);
}

TEST(ConfigurationTest, ARestartedNodeStartsFromTheNewestRevision) {
  // Replies of control to the node's earlier incarnation are delayed, so they
  // arrive after the restart.
  for (const char *Node : {"e1", "a2"}) {
    VirtualCluster Cluster(withControl(41));
    Cluster.settle();
    std::string Watched = Node;
    bool IsDelaying = true;
    Cluster.World.setFilter(
        [&](const PeerRef &, const PeerRef &To, const peer::Message &Message) {
          bool IsDelayed =
              IsDelaying && To.Node == Watched && Message.has_heartbeat_reply();
          return IsDelayed ? Duration(2s) : Duration(0);
        });
    change(Cluster, Cluster.leader(), weightChange("x", 0, 111), 500ms);
    change(Cluster, Cluster.leader(), weightChange("y", 0, 222), 500ms);
    std::uint64_t Newest =
        Cluster.control(Cluster.leader())->catalog().revision();
    IsDelaying = false;
    Cluster.restart(Watched);
    for (int I = 0; I < 400; ++I) {
      Cluster.run(10ms);
      std::uint64_t Held = Cluster.catalogOf(Watched).revision();
      CHECK_TRUE(Held == 0 || Held >= Newest);
    }
    CHECK_TRUE(Cluster.catalogOf(Watched).revision() >= Newest);
  }
}

TEST(ConfigurationTest, ANodeThatMissedHundredsOfChangesCatchesUpAtOnce) {
  VirtualCluster Cluster(withControl(43));
  Cluster.settle();
  Cluster.World.isolate("a5");
  for (int I = 0; I < 500; ++I)
    change(Cluster, Cluster.leader(),
           weightChange(fmt::format("y{}", I), 0, 1 + I), 20ms);
  Cluster.World.reconnect("a5");
  Cluster.run(1s);
  LONGS_EQUAL(500, weightAt(Cluster, "a5"));
}

TEST(ConfigurationTest, AnUnconfirmedEntryRefusesNewJobsWithoutRunningThem) {
  VirtualCluster Cluster(withControl(45));
  Cluster.settle();
  for (const char *Replica : {"c1", "c2", "c3"})
    Cluster.World.cut("e1", Replica);
  Cluster.run(3s);
  JobRequest Job = Cluster.makeJob("job", 2);
  Job.HasGeneratedId = true;
  std::size_t Number = Cluster.submit("e1", Job);
  const peer::JobFailure &Failure = Cluster.answer(Number).Outcome.failure();
  LONGS_EQUAL(peer::FAILURE_UNAVAILABLE, Failure.kind());
  LONGS_EQUAL(peer::RAN_NOT_RUN, Failure.ran());
  Cluster.run(5s);
  LONGS_EQUAL(0, Cluster.starts(Job));
  std::size_t Other = Cluster.submit("e2", Cluster.makeJob("other", 2));
  Cluster.run(2s);
  CHECK_TRUE(Cluster.answer(Other).Outcome.complete());
}

TEST(ConfigurationTest, ALostReplicaIsReplacedUnderANewName) {
  VirtualCluster Cluster(withControl(47));
  Cluster.settle();
  std::string Lost = follower(Cluster);
  Cluster.kill(Lost);
  Cluster.startReplica("c9");
  auto Set = [&](const std::function<void(peer::ReplicaSet &)> &Edit) {
    ControlService *Leader = Cluster.control(Cluster.leader());
    peer::ReplicaSet New = Leader->raft().log().replicas();
    Edit(New);
    ProposalOutcome Result;
    Leader->proposeReplicas(
        New, Cluster.World.now(),
        [&Result](const ProposalOutcome &Outcome) { Result = Outcome; });
    Cluster.run(1s);
    CHECK_TRUE(Result.State == ProposalState::Applied);
  };
  Set([](peer::ReplicaSet &New) {
    peer::Replica *Added = New.add_replicas();
    Added->set_name("c9");
    Added->set_address("c9");
    Added->set_learner(true);
  });
  Set([](peer::ReplicaSet &New) {
    for (peer::Replica &Known : *New.mutable_replicas())
      Known.set_learner(false);
  });
  Set([&](peer::ReplicaSet &New) {
    peer::ReplicaSet Kept;
    for (const peer::Replica &Known : New.replicas())
      if (Known.name() != Lost)
        *Kept.add_replicas() = Known;
    New = Kept;
  });
  // A second host is lost right after the replacement.
  Cluster.kill(Cluster.leader());
  Cluster.run(3s);
  ProposalOutcome After =
      change(Cluster, Cluster.leader(), weightChange("z", 0, 77), 5s);
  CHECK_TRUE(After.State == ProposalState::Applied);
  LONGS_EQUAL(77, weightAt(Cluster, "e1"));
}

TEST(ConfigurationTest, SwappingPoliciesUnderLoadLosesAndDuplicatesNothing) {
  VirtualCluster Cluster(withControl(49));
  Cluster.settle();
  const char *Policies[] = {"random", "late_binding", "slot_share",
                            "two_choices", "slot_borrow"};
  std::vector<std::size_t> Numbers;
  for (int I = 0; I < 200; ++I) {
    Numbers.push_back(
        Cluster.submit(I % 2 == 0 ? "e1" : "e2",
                       Cluster.makeJob(fmt::format("job{}", I), 1 + I % 7)));
    Cluster.run(30ms);
    if (I % 20 != 0)
      continue;
    peer::Change Swap;
    Swap.set_id(fmt::format("swap{}", I));
    peer::SetExperiment *Body = Swap.mutable_set_experiment();
    Body->set_name("bids");
    for (int Arm : {0, 1}) {
      peer::PolicyShare *Share = Body->add_shares();
      Share->set_policy(Policies[(I / 20 + Arm) % 5]);
      Share->set_share(50);
    }
    ProposalOutcome Outcome = change(Cluster, Cluster.leader(), Swap, 50ms);
    LONGS_EQUAL(peer::CHANGE_DONE, Outcome.Result.verdict());
  }
  Cluster.run(20s);
  for (std::size_t Number : Numbers)
    CHECK_TRUE(Cluster.answer(Number).Outcome.complete());
  LONGS_EQUAL(0, Cluster.doubleStarts());
  STRCMP_EQUAL("", Cluster.violation().c_str());
}
