//===- Control hosts that lose their disks, beside other losses -----------===//
//
// Regression test: a configuration that had been acknowledged could not be read
// back. Replicas that had lost their disks for good stayed voters, while voters
// that were only cut off were removed, so that the loss of two more disks left
// no majority.
//
//===----------------------------------------------------------------------===//

#include "tests/control/seeded_cluster.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <set>
#include <vector>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Voters = 5;
/// With fewer, two hosts could acknowledge a change, and both lose their disks.
constexpr std::size_t MinVoters = 4;
/// Hosts that may be lost at once.
constexpr std::size_t MaxLosses = 2;
/// A host counts as lost until this long after it is back.
constexpr Duration CatchUpTime = 6s;
/// The configuration must be readable this long after the last host is back.
constexpr Duration RecoveryTime = 15s;
constexpr Duration Step = 20ms;

enum class Loss { Cut, Restart, Disk };
constexpr std::size_t LossKinds = 3;

const auto &replicasOf(ControlService &Leader) {
  return Leader.raft().log().replicas().replicas();
}

class LossScenario {
public:
  LossScenario(std::uint64_t Seed, std::size_t Hosts)
      : Cluster(Seed, Voters), Hosts(Hosts), Random(Seed) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.startEmpty(Host, /*First=*/true);
    this->run(8s);
  }

  void begin(std::size_t Host, Loss Kind) {
    if (Kind == Loss::Cut)
      this->Cluster.World.isolate(SeededCluster::addressOf(Host));
    else
      this->Cluster.kill(Host);
  }
  void end(std::size_t Host, Loss Kind) {
    switch (Kind) {
    case Loss::Cut:
      this->Cluster.World.reconnect(SeededCluster::addressOf(Host));
      return;
    case Loss::Restart:
      this->Cluster.start(Host);
      return;
    case Loss::Disk:
      this->Cluster.startEmpty(Host, /*First=*/false);
    }
  }
  void run(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += Step) {
      this->Cluster.run(Step);
      this->checkRemovals();
    }
  }
  void replaceTable() {
    if (this->Cluster.replace(this->Version + 1))
      ++this->Version;
  }

  /// Loses two hosts in ways and for times that are drawn from the seed.
  void loseTwo() {
    std::vector<std::size_t> Order = this->drawOrder();
    std::vector<std::pair<std::size_t, Loss>> Lost;
    for (std::size_t I = 0; I < MaxLosses; ++I)
      Lost.emplace_back(Order[I], static_cast<Loss>(this->draw(LossKinds)));
    for (const auto &[Host, Kind] : Lost) {
      this->begin(Host, Kind);
      this->run(std::chrono::milliseconds(this->draw(6000)));
      this->replaceTable();
    }
    std::shuffle(Lost.begin(), Lost.end(), this->Random);
    for (const auto &[Host, Kind] : Lost) {
      this->end(Host, Kind);
      this->run(std::chrono::milliseconds(this->draw(6000)));
      this->replaceTable();
    }
    this->run(CatchUpTime);
  }
  /// Lets all hosts lose power, and two of them, other than \p Spared, their
  /// disks.
  void losePowerAndTwoDisks(const std::set<std::size_t> &Spared) {
    std::vector<std::size_t> Wiped;
    for (std::size_t Host : this->drawOrder())
      if (!Spared.contains(Host) && Wiped.size() < MaxLosses)
        Wiped.push_back(Host);
    for (std::size_t Host = 0; Host < this->Hosts; ++Host)
      this->Cluster.kill(Host);
    this->Cluster.run(3s);
    for (std::size_t Host = 0; Host < this->Hosts; ++Host)
      this->end(Host, std::ranges::count(Wiped, Host) > 0 ? Loss::Disk
                                                          : Loss::Restart);
  }

  /// Notes what is wrong with the replica set while no host is lost.
  void checkVoters() {
    ControlService *Leader = this->Cluster.leader();
    if (Leader == nullptr) {
      this->note("there is no leader");
      return;
    }
    std::set<std::string> Addresses;
    for (const peer::Replica &Known : replicasOf(*Leader)) {
      if (Known.learner())
        continue;
      if (!Addresses.insert(Known.address()).second)
        this->note(fmt::format("{} has two votes", Known.address()));
      if (!this->isPresent(Known.name()))
        this->note(fmt::format("{}, a voter, has lost its disk", Known.name()));
    }
    if (Addresses.size() != Voters)
      this->note(fmt::format("there are {} voters", Addresses.size()));
  }
  /// Notes if the last acknowledged table cannot be read.
  void checkTable() {
    ControlService *Leader = this->Cluster.leader();
    if (!this->Cluster.confirm(Leader))
      this->note("the table cannot be read");
    else if (Leader->catalog().routes().version() < this->Version)
      this->note("an acknowledged table is gone");
  }
  const std::string &found() const { return this->Found; }

private:
  std::uint64_t draw(std::uint64_t Limit) { return this->Random() % Limit; }
  std::vector<std::size_t> drawOrder() {
    std::vector<std::size_t> Order(this->Hosts);
    std::iota(Order.begin(), Order.end(), 0);
    std::shuffle(Order.begin(), Order.end(), this->Random);
    return Order;
  }
  /// Returns whether some host has the disk of this replica.
  bool isPresent(const std::string &Name) {
    for (std::size_t Host = 0; Host < this->Hosts; ++Host)
      if (this->Cluster.nameAt(Host) == Name)
        return true;
    return false;
  }
  /// Returns whether the leader knows that a replica has lost its disk, as the
  /// replica that its host has now is in the set.
  bool isKnownLost(const peer::Replica &Known, ControlService &Leader) {
    return !this->isPresent(Known.name()) &&
           std::ranges::any_of(replicasOf(Leader),
                               [&](const peer::Replica &Other) {
                                 return Other.address() == Known.address() &&
                                        this->isPresent(Other.name());
                               });
  }
  /// Notes the removal of a voter that has its disk while one that is known to
  /// have lost it stays.
  void checkRemovals() {
    ControlService *Leader = this->Cluster.leader();
    if (Leader == nullptr)
      return;
    std::set<std::string> Present;
    std::string Lost;
    for (const peer::Replica &Known : replicasOf(*Leader)) {
      if (Known.learner())
        continue;
      Present.insert(Known.name());
      if (this->isKnownLost(Known, *Leader))
        Lost = Known.name();
    }
    if (Present.size() < MinVoters && this->LastVoters.size() >= MinVoters)
      this->note(fmt::format("there are only {} voters", Present.size()));
    for (const std::string &Name : this->LastVoters)
      if (!Present.contains(Name) && this->isPresent(Name) && !Lost.empty())
        this->note(fmt::format("{} was removed, and {}, which has lost its "
                               "disk, was not",
                               Name, Lost));
    this->LastVoters = std::move(Present);
  }
  void note(const std::string &What) { this->Found += What + "; "; }

  SeededCluster Cluster;
  std::size_t Hosts;
  std::mt19937_64 Random;
  std::uint64_t Version = 0;
  std::set<std::string> LastVoters;
  std::string Found;
};

/// Counts the queries for lost disks.
class QueryCounter final : public PeerSink {
public:
  bool isCongested(const PeerRef &) const override { return false; }
  void send(const PeerRef &, peer::Message Message) override {
    this->Queries += Message.has_disk_query() ? 1 : 0;
  }
  void reconnect(const PeerRef &) override {}
  int Queries = 0;
};

} // namespace

TEST_GROUP(ReplicaLossTest){};

// After a common restart most hosts do not listen yet. Queries in the first
// round delayed the connections to them, and the election by 0.9 s.
TEST(ReplicaLossTest, AsksForLostDisksOnlyOnceTheLeaderIsSilent) {
  peer::ReplicaSet Set;
  for (std::size_t Host = 0; Host < 3; ++Host) {
    peer::Replica *Added = Set.add_replicas();
    Added->set_name(SeededCluster::addressOf(Host));
    Added->set_address(SeededCluster::addressOf(Host));
  }
  VirtualWorld World(/*Seed=*/1);
  MemoryLogStorage Storage(Set);
  QueryCounter Sink;
  ControlOptions Options;
  Options.Raft.Name = Set.replicas(0).name();
  Options.Replicas.Voters = 3;
  Options.Self = Set.replicas(0);
  ControlService Service(Options, Storage, Sink, World.now());
  auto RunFor = [&](Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += Step) {
      World.run(Step);
      Service.tick(World.now());
    }
  };
  RunFor(Options.RejoinTimeout);
  LONGS_EQUAL(0, Sink.Queries);
  RunFor(1s);
  // Two hosts, at an interval of half a second.
  CHECK_TRUE(Sink.Queries >= 4);
}

TEST(ReplicaLossTest, AReplicaThatLostItsDiskIsReplacedBeforeOneThatIsCutOff) {
  constexpr std::uint64_t Seeds = 40;
  std::string Found;
  for (std::size_t Hosts : {5, 6})
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      LossScenario Scenario(Seed, Hosts);
      for (int Round = 0; Round < 3; ++Round) {
        Scenario.loseTwo();
        Scenario.checkVoters();
      }
      Scenario.losePowerAndTwoDisks({});
      Scenario.run(RecoveryTime);
      Scenario.checkTable();
      if (!Scenario.found().empty())
        Found +=
            fmt::format("{} hosts, seed {}: {}", Hosts, Seed, Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

TEST(ReplicaLossTest, ATableCanBeReadAfterTwoMoreDisksWereLost) {
  std::string Found;
  for (std::size_t CutOff = 0; CutOff < Voters; ++CutOff)
    for (std::size_t Wiped = 0; Wiped < Voters; ++Wiped) {
      if (CutOff == Wiped)
        continue;
      LossScenario Scenario(/*Seed=*/CutOff + 1, /*Hosts=*/Voters);
      Scenario.begin(CutOff, Loss::Cut);
      Scenario.begin(Wiped, Loss::Disk);
      Scenario.run(5s);
      Scenario.end(Wiped, Loss::Disk);
      Scenario.run(CatchUpTime);
      Scenario.replaceTable();
      Scenario.losePowerAndTwoDisks({CutOff, Wiped});
      Scenario.end(CutOff, Loss::Cut);
      Scenario.run(RecoveryTime);
      Scenario.checkTable();
      if (!Scenario.found().empty())
        Found += fmt::format("{} cut off, {} wiped: {}", CutOff, Wiped,
                             Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// A request that the old replica sent before it lost its disk looks like one of
// a host that has just lost the disk of the new replica.
TEST(ReplicaLossTest, ALateRequestDoesNotReportTheSuccessorAsLost) {
  constexpr std::size_t Wiped = 1;
  SeededCluster Cluster(/*Seed=*/1, Voters);
  for (std::size_t Host = 0; Host < Voters; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(8s);
  peer::Message Late;
  peer::Replica *Old = Late.mutable_join_request()->mutable_replica();
  Old->set_name(Cluster.nameAt(Wiped));
  Old->set_address(SeededCluster::addressOf(Wiped));
  Cluster.kill(Wiped);
  Cluster.run(1s);
  Cluster.startEmpty(Wiped, /*First=*/false);
  Cluster.run(CatchUpTime);
  for (std::size_t Host = 0; Host < Voters; ++Host)
    if (Host != Wiped)
      Cluster.service(Host).onMessage({Old->name(), Old->address()}, Late,
                                      Cluster.World.now());
  Cluster.run(2s);
  for (std::size_t Host = 0; Host < Voters; ++Host)
    CHECK_FALSE(
        Cluster.service(Host).raft().hasLostDisk(Cluster.nameAt(Wiped)));
}

// The lost replica has the address of the new one and never answers. The leader
// replaced the connection to both every 500 ms, so that the new one did not
// catch up for half a minute.
TEST(ReplicaLossTest, ANewReplicaKeepsItsConnectionBesideTheLostOne) {
  constexpr std::size_t Hosts = Voters + 1;
  for (std::size_t Wiped = 0; Wiped < Hosts; ++Wiped) {
    SeededCluster Cluster(/*Seed=*/Wiped + 1, Voters);
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      Cluster.startEmpty(Host, /*First=*/true);
    Cluster.run(8s);
    Cluster.kill(Wiped);
    Cluster.run(2s);
    Cluster.startEmpty(Wiped, /*First=*/false);
    // Until the new replica is known, its host does not answer the leader.
    Cluster.run(600ms);
    std::size_t Leader = 0;
    while (&Cluster.service(Leader) != Cluster.leader())
      ++Leader;
    int Before = Cluster.reconnects(Leader, Wiped);
    Cluster.run(CatchUpTime);
    LONGS_EQUAL(Before, Cluster.reconnects(Leader, Wiped));
  }
}
