//===- Replicas that are replaced and lose their disks, for many seeds ----===//
///
/// The log under changes of the replica set at any moment, also by leaders that
/// others have replaced, beside lost disks, crashes and cuts. No two replicas
/// may apply different entries at one index, and no term may have two leaders.
/// Each part of the rule by which replicas are counted is left out in turn, to
/// show that these stories find what it is for.
///
//===----------------------------------------------------------------------===//

#include "tests/consensus/raft_cluster.h"
#include "tests/support/seeds.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DefaultSeeds = 600;
constexpr std::uint64_t PlantedSeeds = 1500;

class ReplacementStory {
public:
  ReplacementStory(std::uint64_t Seed, RaftOptions Options)
      : Cluster(2 + Seed % 3, std::move(Options), Seed), Random(Seed) {}

  /// Lets living replicas be reported as lost as well, as by a late message of
  /// a replica that had their address before.
  void reportFalsely() { this->AreReportsFalse = true; }

  /// Changes the set and injects faults in any order.
  void play() {
    for (int I = 0; I < 2; ++I)
      this->startSpare();
    constexpr int Steps = 150;
    for (int Step = 0; Step < Steps && this->problem().empty(); ++Step) {
      for (const std::string &Name : this->Cluster.names())
        this->actAt(Name, Step);
      if (this->draw(3) == 0)
        this->injectFault();
      this->spreadReports();
      this->Cluster.run(std::chrono::milliseconds(this->draw(120)));
    }
    this->endFaults();
  }

  /// Cuts a set in halves and lets it lose two disks, one soon after the other,
  /// while messages are late.
  void loseTwoDisks() {
    this->Cluster.run(1s);
    NetworkFaults Faults;
    Faults.Jitter = std::chrono::milliseconds(1 + this->draw(4000));
    this->Cluster.World.setFaults(Faults);
    this->cutInHalves();
    for (int Loss = 0; Loss < 2; ++Loss) {
      this->proposeFor(std::chrono::milliseconds(this->draw(1500)));
      std::vector<std::string> Names = this->Cluster.names();
      const std::string &Gone = Names[this->draw(Names.size())];
      this->Cluster.loseDisk(Gone);
      this->Lost.push_back(Gone);
    }
    this->proposeFor(3s);
    this->endFaults();
  }

  std::string problem() const { return this->Cluster.violation(); }
  std::size_t acknowledged() const {
    return this->Cluster.acknowledged().size();
  }
  std::size_t changes() const { return this->Changes; }
  std::size_t losses() const { return this->Lost.size(); }

private:
  std::uint64_t draw(std::uint64_t Limit) { return this->Random() % Limit; }

  void startSpare() { this->Cluster.join(fmt::format("s{}", ++this->Spares)); }

  void proposeFor(Duration Time) {
    constexpr Duration Pause = 50ms;
    for (Duration Passed{0}; Passed < Time; Passed += Pause) {
      for (const std::string &Name : this->Cluster.names())
        this->Cluster.propose(
            Name,
            fmt::format("{}-{}", Name, this->Cluster.acknowledged().size()));
      this->spreadReports();
      this->Cluster.run(Pause);
    }
  }

  /// Lets a replica, if it leads, take a command or change the set.
  void actAt(const std::string &Name, int Step) {
    if (!this->Cluster.World.isUp(Name) || !this->Cluster.node(Name).leads())
      return;
    if (this->draw(2) == 0)
      this->Cluster.propose(Name, fmt::format("{}-{}", Name, Step));
    if (this->draw(2) == 0)
      this->changeSet(Name);
  }

  void changeSet(const std::string &Leader) {
    RaftNode &Raft = this->Cluster.node(Leader);
    peer::ReplicaSet Set = Raft.log().replicas();
    std::vector<std::string> Names = this->Cluster.names();
    const std::string &Chosen = Names[this->draw(Names.size())];
    auto Known = std::ranges::find(*Set.mutable_replicas(), Chosen,
                                   [](const auto &R) { return R.name(); });
    if (Known == Set.mutable_replicas()->end()) {
      peer::Replica *Added = Set.add_replicas();
      Added->set_name(Chosen);
      Added->set_address(Chosen);
      Added->set_learner(true);
    } else if (Known->learner()) {
      if (!Raft.isCaughtUp(Chosen))
        return;
      Known->set_learner(false);
    } else {
      this->removeOne(Set);
    }
    if (Raft.proposeReplicas(Set, this->Cluster.World.now().Steady))
      ++this->Changes;
  }

  /// Removes a voter whose disk is lost, or else any one.
  void removeOne(peer::ReplicaSet &Set) {
    std::vector<std::string> Voters = votersOf(Set);
    if (Voters.size() <= 2)
      return;
    std::string Leaving = Voters[this->draw(Voters.size())];
    for (const std::string &Name : Voters)
      if (std::ranges::count(this->Lost, Name) > 0)
        Leaving = Name;
    peer::ReplicaSet Rest;
    for (const peer::Replica &Known : Set.replicas())
      if (Known.name() != Leaving)
        *Rest.add_replicas() = Known;
    Set = Rest;
  }

  void injectFault() {
    std::vector<std::string> Names = this->Cluster.names();
    const std::string &One = Names[this->draw(Names.size())];
    const std::string &Other = Names[this->draw(Names.size())];
    NetworkFaults Faults;
    // NOLINTNEXTLINE(bugprone-branch-clone): the branches differ.
    switch (this->draw(9)) {
    case 0:
      this->Cluster.crash(One);
      return;
    case 1:
      this->Cluster.restart(One);
      return;
    case 2:
      this->Cluster.World.isolate(One);
      return;
    case 3:
      this->cutInHalves();
      return;
    case 4:
      this->Cluster.World.freeze(One);
      return;
    case 5:
      this->Cluster.World.thaw(One);
      return;
    case 6:
      Faults.LossPermille = this->draw(300);
      Faults.DuplicatePermille = this->draw(300);
      Faults.Jitter = std::chrono::milliseconds(1 + this->draw(2000));
      this->Cluster.World.setFaults(Faults);
      return;
    case 7:
      this->loseDisk(One);
      return;
    default:
      this->Cluster.World.cut(One, Other);
      this->Cluster.World.reconnectAll();
    }
  }

  void cutInHalves() {
    std::vector<std::string> Names = this->Cluster.names();
    std::ranges::shuffle(Names, this->Random);
    for (std::size_t I = 0; I < Names.size() / 2; ++I)
      for (std::size_t J = Names.size() / 2; J < Names.size(); ++J)
        this->Cluster.World.cut(Names[I], Names[J]);
  }

  void loseDisk(const std::string &Name) {
    constexpr std::size_t MinReplicas = 4;
    if (this->Cluster.names().size() <= MinReplicas)
      this->startSpare();
    this->Cluster.loseDisk(Name);
    this->Lost.push_back(Name);
    this->startSpare();
  }

  /// The successor of a lost replica tells some of the others, in any order.
  void spreadReports() {
    for (const std::string &Name : this->Cluster.names())
      for (const std::string &Gone : this->Lost)
        if (this->Cluster.World.isUp(Name) && this->draw(3) == 0)
          this->Cluster.node(Name).noteLostDisk(Gone);
    if (this->AreReportsFalse)
      this->reportLiving();
  }

  void reportLiving() {
    std::vector<std::string> Names = this->Cluster.names();
    const std::string &One = Names[this->draw(Names.size())];
    const std::string &Other = Names[this->draw(Names.size())];
    if (this->Cluster.World.isUp(One))
      this->Cluster.node(One).noteLostDisk(Other);
  }

  void endFaults() {
    this->Cluster.World.reconnectAll();
    this->Cluster.World.setFaults({});
    for (const std::string &Name : this->Cluster.names()) {
      this->Cluster.World.thaw(Name);
      if (!this->Cluster.World.isUp(Name))
        this->Cluster.restart(Name);
    }
    for (int I = 0; I < 10; ++I) {
      this->spreadReports();
      this->Cluster.run(500ms);
    }
    if (!this->Cluster.leader().empty())
      this->Cluster.propose(this->Cluster.leader(), "last");
    this->Cluster.run(2s);
  }

  RaftCluster Cluster;
  std::mt19937_64 Random;
  std::vector<std::string> Lost;
  bool AreReportsFalse = false;
  int Spares = 0;
  std::size_t Changes = 0;
};

RaftOptions storyOptions(std::uint64_t Seed) {
  RaftOptions Options;
  Options.ElectionTimeout = 200ms;
  Options.EntriesPerSnapshot = 5 + Seed % 40;
  // Leaders that step down late must do no harm.
  Options.CheckQuorum = Seed % 2 == 0;
  return Options;
}

using StoryFunction = void (ReplacementStory::*)();

/// Returns the first seed whose story breaks an invariant, or 0 if none does.
/// \param Part The part of the rule that is left out, or null.
std::uint64_t findBroken(StoryFunction Play, bool RaftOptions::*Part) {
  for (std::uint64_t Seed = 1; Seed <= PlantedSeeds; ++Seed) {
    RaftOptions Options = storyOptions(Seed);
    if (Part != nullptr)
      Options.*Part = false;
    ReplacementStory Story(Seed, Options);
    (Story.*Play)();
    if (!Story.problem().empty())
      return Seed;
  }
  return 0;
}

} // namespace

TEST_GROUP(ReplacementFuzzTest){};

TEST(ReplacementFuzzTest, NoSeedAppliesTwoEntriesAtAnIndex) {
  std::size_t Acknowledged = 0;
  std::size_t Changes = 0;
  std::size_t Losses = 0;
  const SeedRange Seeds = seedRange(DefaultSeeds);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    ReplacementStory Story(Seed, storyOptions(Seed));
    Story.play();
    std::string Name = fmt::format("seed {}", Seed);
    STRCMP_EQUAL_TEXT("", Story.problem().c_str(), Name.c_str());
    Acknowledged += Story.acknowledged();
    Changes += Story.changes();
    Losses += Story.losses();
  }
  // The stories are worth something only if much happens in them.
  std::uint64_t Count = Seeds.Last - Seeds.First;
  CHECK_TRUE(Acknowledged > Count * 5);
  CHECK_TRUE(Changes > Count * 3);
  CHECK_TRUE(Losses > Count * 2);
}

TEST(ReplacementFuzzTest, TwoLostDisksLeaveOneHistory) {
  LONGS_EQUAL(0, findBroken(&ReplacementStory::loseTwoDisks, nullptr));
}

TEST(ReplacementFuzzTest, FindsThatFormerVotersAreNotCounted) {
  CHECK_TRUE(
      findBroken(&ReplacementStory::play, &RaftOptions::CountFormerVoters) > 0);
}

TEST(ReplacementFuzzTest, FindsThatReportsOfOthersAreCounted) {
  CHECK_TRUE(findBroken(&ReplacementStory::loseTwoDisks,
                        &RaftOptions::RequireOwnReports) > 0);
}

TEST(ReplacementFuzzTest, FindsThatALivingReplicaIsReportedAsLost) {
  bool IsBroken = false;
  for (std::uint64_t Seed = 1; Seed <= PlantedSeeds && !IsBroken; ++Seed) {
    ReplacementStory Story(Seed, storyOptions(Seed));
    Story.reportFalsely();
    Story.play();
    IsBroken = !Story.problem().empty();
  }
  CHECK_TRUE(IsBroken);
}
