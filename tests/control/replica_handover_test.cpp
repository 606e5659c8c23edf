//===- Control hosts that are replaced, restarted and lost in any order ---===//
//
// Regression tests. After two control hosts had been replaced as planned, 2 s
// apart, the configuration could be neither read nor changed any more: a voter
// that had shut down stayed one until it had been silent for 4 s, and its
// successor, which held the whole log, did not vote until then. The same
// happened when a host with a successor vanished without a word and another one
// lost its disk before this was noticed.
//
//===----------------------------------------------------------------------===//

#include "tests/control/seeded_cluster.h"
#include "tests/support/seeds.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <set>
#include <vector>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// A host counts as lost until this long after its start.
constexpr Duration CatchUpTime = 4s;
/// The configuration must be readable this long after the last loss has ended.
constexpr Duration RecoveryTime = 12s;
/// A learner that has vanished is removed within this time.
constexpr Duration SilentLearnerTime = 16s;
constexpr Duration Step = 20ms;

/// Runs a cluster and notes what callers of control would see.
class HandoverScenario {
public:
  HandoverScenario(std::uint64_t Seed, std::uint32_t Voters, std::size_t Hosts)
      : Cluster(Seed, Voters), FirstHosts(Hosts) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.startEmpty(Host, /*First=*/true);
    this->Cluster.run(8s);
  }

  /// \returns the host that leads, or the first one if there is none.
  std::size_t leader(std::size_t Hosts) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      if (&this->Cluster.service(Host) == this->Cluster.leader())
        return Host;
    return 0;
  }
  void replaceTable() {
    if (this->Cluster.replace(this->Version + 1))
      ++this->Version;
  }
  /// Returns whether the leader's set has a replica at this host.
  bool isMember(std::size_t Host) {
    ControlService *Leader = this->Cluster.leader();
    return Leader != nullptr &&
           std::ranges::any_of(Leader->raft().log().replicas().replicas(),
                               [&](const peer::Replica &Known) {
                                 return Known.address() ==
                                        SeededCluster::addressOf(Host);
                               });
  }
  /// Notes if the last acknowledged table cannot be read, or cannot be changed.
  void checkTable() {
    ControlService *Leader = this->Cluster.leader();
    if (!this->Cluster.confirm(Leader))
      this->note("the table cannot be read");
    else if (Leader->catalog().routes().version() < this->Version)
      this->note("an acknowledged table is gone");
    else if (!this->Cluster.replace(this->Version + 1))
      this->note("the table cannot be changed");
    else
      ++this->Version;
  }
  /// Notes what is wrong with the replica set while none of its hosts is lost.
  /// \param Living The hosts that run.
  void checkVoters(const std::set<std::size_t> &Living) {
    ControlService *Leader = this->Cluster.leader();
    if (Leader == nullptr)
      return;
    std::set<std::string> Names;
    for (std::size_t Host : Living)
      Names.insert(this->Cluster.nameAt(Host));
    std::set<std::string> Addresses;
    for (const peer::Replica &Known :
         Leader->raft().log().replicas().replicas()) {
      if (Known.learner())
        continue;
      if (!Addresses.insert(Known.address()).second)
        this->note(fmt::format("{} has two votes", Known.address()));
      if (!Names.contains(Known.name()))
        this->note(fmt::format("{}, a voter, is gone", Known.name()));
      if (Known.leaving())
        this->note(fmt::format("{}, which runs, is leaving", Known.name()));
    }
    // All of them vote once there is a successor beside the first hosts. A set
    // of an even size without one has no leader when it is cut into halves.
    bool HasSuccessor = Living.size() > this->FirstHosts;
    std::size_t Expected = Living.size();
    if (!HasSuccessor && Expected % 2 == 0)
      --Expected;
    if (Addresses.size() != Expected)
      this->note(fmt::format("there are {} voters in place of {}",
                             Addresses.size(), Expected));
  }
  void note(const std::string &What) { this->Found += What + "; "; }
  const std::string &found() const { return this->Found; }

  SeededCluster Cluster;

private:
  std::size_t FirstHosts;
  std::uint64_t Version = 0;
  std::string Found;
};

/// One host of a RandomStory.
struct StoryHost {
  enum class State { Running, Stopping, Down, Cut, Removed };
  State Now = State::Running;
  /// When it counts as lost no longer, if it runs on.
  TimePoint SoundAt;
  /// Whether it takes the place of a host that has been or will be removed.
  bool IsSpare = false;
  /// Whether it went without a word and may still be in the set.
  bool HasVanished = false;
  /// What happens to it next, and when.
  enum class Next { None, Start, StartEmpty, Reconnect, Remove };
  Next Then = Next::None;
  TimePoint ThenAt;
};

/// Hosts that join, restart, are cut off, lose their disks and are removed, in
/// an order drawn from a seed in which no more than the tolerated number of
/// hosts is lost at a time.
class RandomStory {
public:
  RandomStory(std::uint64_t Seed, std::uint32_t Voters, std::size_t Hosts)
      : Scenario(Seed, Voters, Hosts), Tolerated((Voters - 1) / 2),
        Random(Seed), MaxHosts(Seed % 4 < 2 ? Hosts + 1 : 9), Hosts(Hosts) {}

  /// Lets hosts that start again know only the seeds of the first start, which
  /// may all be gone.
  void keepFirstSeeds() { this->KeepsFirstSeeds = true; }
  void play(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += Step) {
      this->Scenario.Cluster.run(Step);
      this->advance();
      if (this->draw(AveragePause / Step) == 0)
        this->act();
    }
    while (!this->isCalm()) {
      this->Scenario.Cluster.run(Step);
      this->advance();
    }
    this->Scenario.Cluster.run(RecoveryTime);
    this->Scenario.checkTable();
    std::set<std::size_t> Living;
    for (std::size_t Host = 0; Host < this->Hosts.size(); ++Host)
      if (this->Hosts[Host].Now == StoryHost::State::Running)
        Living.insert(Host);
    this->Scenario.checkVoters(Living);
  }
  const std::string &found() const { return this->Scenario.found(); }

private:
  static constexpr Duration AveragePause = 400ms;
  /// Ways in which one host is lost.
  static constexpr std::uint64_t LossKinds = 4;
  static constexpr std::uint64_t DiskLoss = 0;

  std::uint64_t draw(std::uint64_t Limit) { return this->Random() % Limit; }
  Duration drawTime(std::chrono::milliseconds Limit) {
    return std::chrono::milliseconds(
        this->draw(static_cast<std::uint64_t>(Limit.count())));
  }
  TimePoint now() { return this->Scenario.Cluster.World.now().Steady; }

  std::size_t lostHosts() {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->Hosts, [&](const StoryHost &Host) {
          return Host.Now != StoryHost::State::Removed &&
                 (Host.Now != StoryHost::State::Running ||
                  this->now() < Host.SoundAt) &&
                 !(Host.IsSpare && Host.Now == StoryHost::State::Running);
        }));
  }
  bool mayLoseOneMore() { return this->lostHosts() < this->Tolerated; }
  /// Whether a host may go for good. While the set still has one that went
  /// without a word, or one that is down, those that are left cannot be told
  /// from one side of a split.
  bool mayRemove(bool Announced) {
    bool IsNoticed = std::ranges::none_of(
        this->Hosts, [](const StoryHost &Host) { return Host.HasVanished; });
    if (Announced || !IsNoticed)
      return IsNoticed;
    if (this->Scenario.Cluster.leader() == nullptr)
      return false;
    for (std::size_t Host = 0; Host < this->Hosts.size(); ++Host)
      if (this->Hosts[Host].Now != StoryHost::State::Running &&
          this->Scenario.isMember(Host))
        return false;
    return true;
  }
  bool isCalm() {
    return std::ranges::all_of(this->Hosts, [&](const StoryHost &Host) {
      bool Rests = Host.Now == StoryHost::State::Running ||
                   Host.Now == StoryHost::State::Removed;
      return Rests && this->now() >= Host.SoundAt;
    });
  }

  void act() {
    constexpr std::uint64_t Actions = 8;
    std::size_t Host = this->draw(this->Hosts.size());
    StoryHost &Target = this->Hosts[Host];
    bool Runs = Target.Now == StoryHost::State::Running;
    switch (this->draw(Actions)) {
    case 0:
      this->addSpare();
      return;
    case 1:
      this->losePower();
      return;
    case 2:
    case 3:
      if (Runs && !Target.IsSpare)
        this->remove(Host, /*Announced=*/this->draw(2) == 0);
      return;
    case 4:
      this->Scenario.replaceTable();
      return;
    default:
      this->tryToLose(Host, this->draw(LossKinds));
    }
  }
  void tryToLose(std::size_t Host, std::uint64_t Kind) {
    StoryHost &Target = this->Hosts[Host];
    if (Target.Now == StoryHost::State::Running && !Target.IsSpare &&
        this->now() >= Target.SoundAt && this->mayLoseOneMore())
      this->lose(Host, Kind);
  }

  void addSpare() {
    auto Present = std::ranges::count_if(this->Hosts, [](const StoryHost &H) {
      return H.Now != StoryHost::State::Removed;
    });
    if (static_cast<std::size_t>(Present) >= this->MaxHosts)
      return;
    this->updateSeeds();
    this->Scenario.Cluster.startEmpty(this->Hosts.size(), /*First=*/false);
    this->Hosts.push_back(
        {.SoundAt = this->now() + CatchUpTime, .IsSpare = true});
  }

  /// A host that starts is told some of the hosts that there are.
  void updateSeeds() {
    std::vector<std::size_t> Known;
    for (std::size_t Host = 0; Host < this->Hosts.size(); ++Host)
      if (this->Hosts[Host].Now != StoryHost::State::Removed &&
          Known.size() < SeededCluster::Seeds)
        Known.push_back(Host);
    this->Scenario.Cluster.SeedHosts = Known;
  }

  /// \returns the number of a spare that no longer counts as lost, or of no
  /// host.
  std::size_t findSuccessor(bool Announced) {
    for (std::size_t I = 0; I < this->Hosts.size(); ++I)
      if (this->Hosts[I].IsSpare &&
          this->Hosts[I].Now == StoryHost::State::Running &&
          this->now() >= this->Hosts[I].SoundAt &&
          (Announced || this->Scenario.isMember(I)))
        return I;
    return this->Hosts.size();
  }

  /// Removes a host for good if another one can take its place. It does not
  /// count as lost then, whether it goes with a word or without.
  void remove(std::size_t Host, bool Announced) {
    std::size_t Successor = this->findSuccessor(Announced);
    if (Successor == this->Hosts.size() || !this->mayRemove(Announced))
      return;
    this->Hosts[Successor].IsSpare = false;
    StoryHost &Target = this->Hosts[Host];
    if (Announced) {
      this->Scenario.Cluster.beginShutdown(Host);
      this->plan(Target, StoryHost::State::Stopping, StoryHost::Next::Remove,
                 SeededCluster::HandoverTime);
      return;
    }
    this->Scenario.Cluster.kill(Host);
    Target.Now = StoryHost::State::Removed;
    Target.SoundAt = this->now();
    Target.HasVanished = true;
    // As many disks as may be lost can be lost in the same moment.
    while (this->draw(2) == 0)
      this->tryToLose(this->draw(this->Hosts.size()), DiskLoss);
  }

  void lose(std::size_t Host, std::uint64_t Kind) {
    StoryHost &Target = this->Hosts[Host];
    Duration Time = this->drawTime(6000ms);
    switch (Kind) {
    case DiskLoss:
      this->Scenario.Cluster.kill(Host);
      this->plan(Target, StoryHost::State::Down, StoryHost::Next::StartEmpty,
                 Time);
      return;
    case 1:
      this->Scenario.Cluster.World.isolate(SeededCluster::addressOf(Host));
      this->plan(Target, StoryHost::State::Cut, StoryHost::Next::Reconnect,
                 Time);
      return;
    case 2:
      this->Scenario.Cluster.kill(Host);
      break;
    default:
      this->Scenario.Cluster.shutDown(Host);
    }
    this->plan(Target, StoryHost::State::Down, StoryHost::Next::Start, Time);
  }

  /// All hosts lose power while none of them is lost.
  void losePower() {
    if (!this->isCalm())
      return;
    Duration Time = this->drawTime(3000ms);
    for (std::size_t Host = 0; Host < this->Hosts.size(); ++Host) {
      if (this->Hosts[Host].Now == StoryHost::State::Removed)
        continue;
      this->Scenario.Cluster.kill(Host);
      this->plan(this->Hosts[Host], StoryHost::State::Down,
                 StoryHost::Next::Start, Time + this->drawTime(300ms));
    }
  }

  void plan(StoryHost &Host, StoryHost::State State, StoryHost::Next Then,
            Duration After) {
    Host.Now = State;
    Host.Then = Then;
    Host.ThenAt = this->now() + After;
  }

  /// Carries out what is due.
  void advance() {
    for (std::size_t I = 0; I < this->Hosts.size(); ++I) {
      StoryHost &Host = this->Hosts[I];
      if (Host.HasVanished && this->Scenario.Cluster.leader() != nullptr)
        Host.HasVanished = this->Scenario.isMember(I);
      bool IsDue = this->now() >= Host.ThenAt;
      bool HasLeft = Host.Then == StoryHost::Next::Remove &&
                     this->Scenario.Cluster.mayStop(I);
      if (Host.Then == StoryHost::Next::None || (!IsDue && !HasLeft))
        continue;
      this->carryOut(I);
    }
  }

  void carryOut(std::size_t Number) {
    SeededCluster &Cluster = this->Scenario.Cluster;
    StoryHost &Host = this->Hosts[Number];
    this->updateSeeds();
    if (this->KeepsFirstSeeds)
      Cluster.SeedHosts = {0, 1, 2};
    Host.Now = StoryHost::State::Running;
    switch (Host.Then) {
    case StoryHost::Next::Start:
      Cluster.start(Number);
      break;
    case StoryHost::Next::StartEmpty:
      Cluster.startEmpty(Number, /*First=*/false);
      break;
    case StoryHost::Next::Reconnect:
      Cluster.World.reconnect(SeededCluster::addressOf(Number));
      break;
    default:
      Host.Now = StoryHost::State::Removed;
      Cluster.stop(Number);
    }
    Host.Then = StoryHost::Next::None;
    Host.SoundAt = this->now();
    if (Host.Now == StoryHost::State::Running)
      Host.SoundAt += CatchUpTime;
  }

  HandoverScenario Scenario;
  std::size_t Tolerated;
  std::mt19937_64 Random;
  /// Hosts that have not been removed.
  std::size_t MaxHosts;
  bool KeepsFirstSeeds = false;
  std::vector<StoryHost> Hosts;
};

/// Hosts that leave one after the other, and the pause between them.
struct Replacement {
  std::vector<std::size_t> Leaving;
  Duration Pause;
};

} // namespace

TEST_GROUP(ReplicaHandoverTest){};

TEST(ReplicaHandoverTest, PlannedReplacementsOneAfterTheOtherKeepTheTable) {
  const std::vector<Replacement> Table = {
      {{0, 1}, 0ms},   {{1, 2}, 0ms},   {{2, 0}, 0ms},    {{0, 1}, 500ms},
      {{1, 2}, 500ms}, {{2, 0}, 500ms}, {{0, 1}, 2s},     {{1, 2}, 2s},
      {{2, 0}, 2s},    {{1, 0}, 2s},    {{2, 1}, 2s},     {{0, 2}, 2s},
      {{0, 1, 2}, 2s}, {{2, 1, 0}, 2s}, {{1, 0, 2}, 0ms},
  };
  std::string Found;
  for (std::size_t Row = 0; Row < Table.size(); ++Row) {
    HandoverScenario Scenario(/*Seed=*/Row + 1, /*Voters=*/3, /*Hosts=*/3);
    std::set<std::size_t> Living = {0, 1, 2};
    for (std::size_t I = 0; I < Table[Row].Leaving.size(); ++I) {
      Scenario.Cluster.startEmpty(3 + I, /*First=*/false);
      Living.insert(3 + I);
    }
    Scenario.Cluster.run(CatchUpTime + 500ms);
    Scenario.replaceTable();
    for (std::size_t Host : Table[Row].Leaving) {
      Scenario.Cluster.shutDown(Host);
      Living.erase(Host);
      Scenario.Cluster.run(Table[Row].Pause);
    }
    Scenario.Cluster.run(RecoveryTime);
    Scenario.checkTable();
    Scenario.checkVoters(Living);
    if (!Scenario.found().empty())
      Found += fmt::format("row {}: {}\n", Row, Scenario.found());
  }
  STRCMP_EQUAL("", Found.c_str());
}

// A disk that is lost right after a planned replacement is the only loss.
TEST(ReplicaHandoverTest, ADiskMayBeLostRightAfterAPlannedReplacement) {
  std::string Found;
  for (std::size_t Leaving = 0; Leaving < 3; ++Leaving)
    for (std::size_t Wiped = 0; Wiped < 3; ++Wiped) {
      if (Leaving == Wiped)
        continue;
      HandoverScenario Scenario(/*Seed=*/Leaving + 1, /*Voters=*/3,
                                /*Hosts=*/3);
      Scenario.Cluster.startEmpty(3, /*First=*/false);
      Scenario.Cluster.run(CatchUpTime);
      Scenario.Cluster.shutDown(Leaving);
      Scenario.replaceTable();
      Scenario.Cluster.kill(Wiped);
      Scenario.Cluster.run(1s);
      Scenario.Cluster.startEmpty(Wiped, /*First=*/false);
      Scenario.Cluster.run(RecoveryTime);
      Scenario.checkTable();
      if (!Scenario.found().empty())
        Found += fmt::format("{} leaves, {} wiped: {}\n", Leaving, Wiped,
                             Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// Two of three hosts vanish at once, after their successors have caught up.
TEST(ReplicaHandoverTest, TwoHostsMayVanishOnceTheirSuccessorsHaveCaughtUp) {
  std::string Found;
  for (std::size_t Kept = 0; Kept < 3; ++Kept) {
    HandoverScenario Scenario(/*Seed=*/Kept + 1, /*Voters=*/3, /*Hosts=*/3);
    Scenario.Cluster.startEmpty(3, /*First=*/false);
    Scenario.Cluster.startEmpty(4, /*First=*/false);
    Scenario.Cluster.run(CatchUpTime);
    Scenario.replaceTable();
    for (std::size_t Host = 0; Host < 3; ++Host)
      if (Host != Kept)
        Scenario.Cluster.kill(Host);
    Scenario.Cluster.run(RecoveryTime);
    Scenario.checkTable();
    Scenario.checkVoters({Kept, 3, 4});
    if (!Scenario.found().empty())
      Found += fmt::format("{} kept: {}\n", Kept, Scenario.found());
  }
  STRCMP_EQUAL("", Found.c_str());
}

namespace {

/// What befalls the hosts that are left, after one has vanished and others have
/// lost their disks.
enum class Sequel { None, PowerLoss, DiskLostAgain, Twice };

struct LostDiskOrder {
  /// Hosts that may be lost at once, and hosts at the first start.
  std::size_t Tolerated;
  std::size_t Hosts;
  /// From the removal of a host to the loss of the disks; negative if the disks
  /// are lost first.
  std::chrono::milliseconds Gap;
  /// From the loss of a disk until its host is back.
  std::chrono::milliseconds Outage;
  Sequel Then;
};

/// Hosts of a row of the table, of which one vanishes next to a successor while
/// others lose their disks.
class LostDiskScenario {
public:
  LostDiskScenario(std::uint64_t Seed, const LostDiskOrder &Order)
      : Order(Order),
        Scenario(Seed, static_cast<std::uint32_t>(2 * Order.Tolerated + 1),
                 Order.Hosts),
        NextHost(Order.Hosts) {
    for (std::size_t Host = 0; Host < Order.Hosts; ++Host)
      this->Living.push_back(Host);
  }

  /// \param First Position of the host that vanishes; those after it lose their
  /// disks.
  std::string play(std::size_t First) {
    this->playOnce(First);
    if (this->Order.Then == Sequel::Twice) {
      this->Scenario.Cluster.run(CatchUpTime);
      this->playOnce(First);
    }
    this->Scenario.Cluster.run(RecoveryTime);
    this->Scenario.checkTable();
    this->Scenario.Cluster.run(SilentLearnerTime);
    this->Scenario.checkVoters({this->Living.begin(), this->Living.end()});
    return this->Scenario.found();
  }

private:
  void playOnce(std::size_t First) {
    SeededCluster &Cluster = this->Scenario.Cluster;
    Cluster.SeedHosts = {this->Living[0], this->Living[1], this->Living[2]};
    Cluster.startEmpty(this->NextHost, /*First=*/false);
    Cluster.run(CatchUpTime);
    this->Scenario.replaceTable();
    std::size_t Gone = this->Living[First];
    std::vector<std::size_t> Wiped;
    for (std::size_t I = 1; I <= this->Order.Tolerated; ++I)
      Wiped.push_back(this->Living[(First + I) % this->Living.size()]);
    this->lose(Gone, Wiped);
    if (this->Order.Then == Sequel::PowerLoss) {
      Cluster.run(200ms);
      for (std::size_t Host : this->Living)
        Cluster.kill(Host);
      Cluster.run(1s);
      for (std::size_t Host : this->Living)
        Cluster.start(Host);
    }
    if (this->Order.Then == Sequel::DiskLostAgain) {
      Cluster.run(100ms);
      this->wipe(Wiped);
    }
  }

  void lose(std::size_t Gone, const std::vector<std::size_t> &Wiped) {
    SeededCluster &Cluster = this->Scenario.Cluster;
    if (this->Order.Gap < 0ms) {
      this->wipe(Wiped);
      Cluster.run(-this->Order.Gap);
      this->remove(Gone);
      return;
    }
    this->remove(Gone);
    Cluster.run(this->Order.Gap);
    this->wipe(Wiped);
  }

  /// Hosts that start later are told others.
  void remove(std::size_t Gone) {
    this->Scenario.Cluster.kill(Gone);
    std::erase(this->Living, Gone);
    this->Living.push_back(this->NextHost++);
    this->Scenario.Cluster.SeedHosts = {this->Living[0], this->Living[1],
                                        this->Living[2]};
  }

  void wipe(const std::vector<std::size_t> &Hosts) {
    for (std::size_t Host : Hosts)
      this->Scenario.Cluster.kill(Host);
    this->Scenario.Cluster.run(this->Order.Outage);
    for (std::size_t Host : Hosts)
      this->Scenario.Cluster.startEmpty(Host, /*First=*/false);
  }

  LostDiskOrder Order;
  HandoverScenario Scenario;
  std::size_t NextHost;
  std::vector<std::size_t> Living;
};

} // namespace

// A host that has a successor vanishes without a word, and the disks that may
// be lost are lost before, after or in the same moment.
TEST(ReplicaHandoverTest, AHostMayVanishWhileOtherDisksAreLost) {
  const std::vector<LostDiskOrder> Table = {
      {1, 3, 0ms, 0ms, Sequel::None},
      {1, 3, 300ms, 500ms, Sequel::None},
      {1, 3, 1s, 500ms, Sequel::None},
      {1, 3, 2500ms, 500ms, Sequel::None},
      {1, 3, -100ms, 500ms, Sequel::None},
      {1, 3, -700ms, 500ms, Sequel::None},
      {1, 3, -2s, 500ms, Sequel::None},
      {1, 3, 0ms, 3s, Sequel::None},
      {1, 3, 1s, 500ms, Sequel::PowerLoss},
      {1, 3, 1s, 500ms, Sequel::DiskLostAgain},
      {1, 3, 1s, 500ms, Sequel::Twice},
      {1, 4, 0ms, 500ms, Sequel::None},
      {1, 4, 1s, 500ms, Sequel::Twice},
      {2, 5, 0ms, 500ms, Sequel::None},
      {2, 5, 1s, 500ms, Sequel::None},
      {2, 5, -700ms, 500ms, Sequel::None},
      {2, 5, 1s, 500ms, Sequel::PowerLoss},
      {2, 5, 1s, 500ms, Sequel::DiskLostAgain},
      {2, 5, 1s, 500ms, Sequel::Twice},
      {2, 6, 0ms, 500ms, Sequel::None},
  };
  std::string Found;
  for (std::size_t Row = 0; Row < Table.size(); ++Row)
    for (std::size_t First = 0; First < Table[Row].Hosts; ++First) {
      LostDiskScenario Scenario(/*Seed=*/Row + 1, Table[Row]);
      std::string Result = Scenario.play(First);
      if (!Result.empty())
        Found += fmt::format("row {}, {} vanishes: {}\n", Row, First, Result);
    }
  STRCMP_EQUAL("", Found.c_str());
}

// A host that only restarts with its disk, or that froze and led, next to one
// that has vanished or lost its disk.
TEST(ReplicaHandoverTest, AHostThatReturnsWithItsDiskEndsTheWait) {
  std::string Found;
  for (std::size_t Gone = 0; Gone < 3; ++Gone)
    for (Duration Outage : {Duration(500ms), Duration(6s)}) {
      HandoverScenario Scenario(/*Seed=*/Gone + 1, /*Voters=*/3, /*Hosts=*/3);
      std::size_t Restarted = (Gone + 1) % 3;
      Scenario.Cluster.startEmpty(3, /*First=*/false);
      Scenario.Cluster.run(CatchUpTime);
      Scenario.replaceTable();
      Scenario.Cluster.kill(Gone);
      Scenario.Cluster.kill(Restarted);
      Scenario.Cluster.run(Outage);
      Scenario.Cluster.start(Restarted);
      Scenario.Cluster.run(RecoveryTime);
      Scenario.checkTable();
      std::set<std::size_t> Living = {0, 1, 2, 3};
      Living.erase(Gone);
      Scenario.checkVoters(Living);
      if (!Scenario.found().empty())
        Found += fmt::format("{} gone: {}\n", Gone, Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// The frozen leader must neither show an older table nor acknowledge a change
// once the others have gone on without it.
TEST(ReplicaHandoverTest, AFrozenLeaderAcknowledgesNothingBesideItsSuccessors) {
  HandoverScenario Scenario(/*Seed=*/1, /*Voters=*/3, /*Hosts=*/3);
  Scenario.Cluster.startEmpty(3, /*First=*/false);
  Scenario.Cluster.run(CatchUpTime);
  Scenario.replaceTable();
  std::size_t Frozen = Scenario.leader(4);
  std::size_t Wiped = (Frozen + 1) % 3;
  Scenario.Cluster.World.freeze(SeededCluster::addressOf(Frozen));
  Scenario.Cluster.kill(Wiped);
  Scenario.Cluster.run(500ms);
  Scenario.Cluster.startEmpty(Wiped, /*First=*/false);
  Scenario.Cluster.run(RecoveryTime);
  bool IsReplaced = false;
  for (std::size_t Host = 0; Host < 4; ++Host)
    IsReplaced = IsReplaced || (Host != Frozen &&
                                Scenario.Cluster.service(Host).raft().leads());
  CHECK_TRUE(IsReplaced);
  ControlService &Old = Scenario.Cluster.service(Frozen);
  CHECK_TRUE(Old.raft().leads());
  bool Shown = false;
  Old.read(Scenario.Cluster.World.now(),
           [&Shown](bool Confirmed) { Shown = Confirmed; });
  bool Acknowledged = false;
  peer::Change Change;
  Change.mutable_replace_routes()->mutable_table()->set_version(1000);
  Old.propose(Change, Scenario.Cluster.World.now(),
              [&Acknowledged](const ProposalOutcome &Outcome) {
                Acknowledged = Outcome.State == ProposalState::Applied;
              });
  Scenario.Cluster.World.thaw(SeededCluster::addressOf(Frozen));
  Scenario.Cluster.run(RecoveryTime);
  Scenario.checkTable();
  CHECK_FALSE(Shown);
  CHECK_FALSE(Acknowledged);
  STRCMP_EQUAL("", Scenario.found().c_str());
}

// The old host vanishes first; its successor must have replaced it when it no
// longer counts as lost.
TEST(ReplicaHandoverTest, ALateSuccessorReplacesAVanishedHostInTime) {
  std::string Found;
  for (std::size_t Gone = 0; Gone < 3; ++Gone)
    for (std::size_t Wiped = 0; Wiped < 3; ++Wiped) {
      if (Gone == Wiped)
        continue;
      HandoverScenario Scenario(/*Seed=*/Gone + 1, /*Voters=*/3, /*Hosts=*/3);
      Scenario.replaceTable();
      Scenario.Cluster.kill(Gone);
      Scenario.Cluster.startEmpty(3, /*First=*/false);
      Scenario.Cluster.run(CatchUpTime);
      Scenario.Cluster.kill(Wiped);
      Scenario.Cluster.startEmpty(Wiped, /*First=*/false);
      Scenario.Cluster.run(RecoveryTime);
      Scenario.checkTable();
      if (!Scenario.found().empty())
        Found += fmt::format("{} gone, {} wiped: {}\n", Gone, Wiped,
                             Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// Restarts in turn on the old disks, without and with learners beside them.
TEST(ReplicaHandoverTest, RestartsInTurnKeepAllVotes) {
  std::string Found;
  for (std::size_t Hosts : {3, 4, 5})
    for (Duration Pause : {Duration(0ms), Duration(2s)}) {
      HandoverScenario Scenario(/*Seed=*/Hosts, /*Voters=*/3, Hosts);
      std::set<std::size_t> Living;
      for (std::size_t Host = 0; Host < Hosts; ++Host) {
        Scenario.replaceTable();
        Scenario.Cluster.shutDown(Host);
        Scenario.Cluster.run(500ms);
        Scenario.Cluster.start(Host);
        Scenario.Cluster.run(Pause);
        Living.insert(Host);
      }
      Scenario.Cluster.run(RecoveryTime);
      Scenario.checkTable();
      Scenario.checkVoters(Living);
      if (!Scenario.found().empty())
        Found += fmt::format("{} hosts, pause {} ms: {}\n", Hosts,
                             millisBetween(TimePoint(), TimePoint() + Pause),
                             Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// A successor makes the set even, so that each restart takes a vote of four.
TEST(ReplicaHandoverTest, RestartsInTurnBesideASuccessorKeepAllVotes) {
  std::string Found;
  for (std::size_t First = 0; First < 4; ++First)
    for (Duration Pause : {Duration(0ms), Duration(500ms), Duration(2s)}) {
      HandoverScenario Scenario(/*Seed=*/First + 1, /*Voters=*/3, /*Hosts=*/3);
      Scenario.Cluster.startEmpty(3, /*First=*/false);
      Scenario.Cluster.run(CatchUpTime);
      for (std::size_t I = 0; I < 4; ++I) {
        Scenario.replaceTable();
        Scenario.Cluster.shutDown((First + I) % 4);
        Scenario.Cluster.run(500ms);
        Scenario.Cluster.start((First + I) % 4);
        Scenario.Cluster.run(Pause);
      }
      Scenario.Cluster.run(RecoveryTime);
      Scenario.checkTable();
      Scenario.checkVoters({0, 1, 2, 3});
      if (!Scenario.found().empty())
        Found += fmt::format("{} first: {}\n", First, Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// The successor is what is lost: it goes again, or loses its own disk.
TEST(ReplicaHandoverTest, ASuccessorMayBeLostBeforeADiskIs) {
  enum class Fate { Vanishes, Leaves, LosesDisk };
  constexpr Duration Pause = 6s;
  std::string Found;
  for (Fate Ends : {Fate::Vanishes, Fate::Leaves, Fate::LosesDisk})
    for (std::size_t Wiped = 0; Wiped < 3; ++Wiped) {
      HandoverScenario Scenario(/*Seed=*/Wiped + 1, /*Voters=*/3, /*Hosts=*/3);
      Scenario.Cluster.startEmpty(3, /*First=*/false);
      Scenario.Cluster.run(CatchUpTime);
      if (Ends == Fate::Leaves)
        Scenario.Cluster.shutDown(3);
      else
        Scenario.Cluster.kill(3);
      if (Ends == Fate::LosesDisk)
        Scenario.Cluster.startEmpty(3, /*First=*/false);
      Scenario.replaceTable();
      Scenario.Cluster.run(Pause);
      Scenario.Cluster.kill(Wiped);
      Scenario.Cluster.run(500ms);
      Scenario.Cluster.startEmpty(Wiped, /*First=*/false);
      Scenario.Cluster.run(RecoveryTime);
      Scenario.checkTable();
      std::set<std::size_t> Living = {0, 1, 2};
      if (Ends == Fate::LosesDisk)
        Living.insert(3);
      Scenario.checkVoters(Living);
      if (!Scenario.found().empty())
        Found += fmt::format("fate {}, {} wiped: {}\n", static_cast<int>(Ends),
                             Wiped, Scenario.found());
    }
  STRCMP_EQUAL("", Found.c_str());
}

// What a set tolerates next rests on this bound: from then on another host may
// vanish while a disk is lost.
TEST(ReplicaHandoverTest, ASuccessorVotesWithinCatchUpTime) {
  struct Row {
    const char *Name;
    NetworkFaults Faults;
    /// The hosts that the successor is told.
    std::vector<std::size_t> Seeds;
    /// Whether a host vanishes as the successor starts.
    bool HostVanishes = false;
  };
  const Row Table[] = {
      {"sound", {}, {0, 1, 2}},
      {"one seed", {}, {1}},
      {"lost messages", {.LossPermille = 200}, {0, 1, 2}},
      {"slow messages", {.Jitter = 200ms}, {0, 1, 2}},
      {"a host vanishes", {}, {0, 1, 2}, true},
      {"a host vanishes, one seed", {}, {1}, true},
      {"a host vanishes, slow messages", {.Jitter = 100ms}, {0, 1, 2}, true},
  };
  constexpr std::size_t Successor = 3;
  constexpr std::uint64_t Seeds = 20;
  std::string Found;
  for (const Row &Case : Table)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      HandoverScenario Scenario(Seed, /*Voters=*/3, /*Hosts=*/3);
      SeededCluster &Cluster = Scenario.Cluster;
      Cluster.World.setFaults(Case.Faults);
      Cluster.SeedHosts = Case.Seeds;
      // Not the only seed.
      if (Case.HostVanishes)
        Cluster.kill(Seed % 2 == 0 ? 0 : 2);
      Cluster.startEmpty(Successor, /*First=*/false);
      Cluster.run(CatchUpTime);
      ControlService *Leader = Cluster.leader();
      bool Votes = Leader != nullptr &&
                   std::ranges::any_of(
                       Leader->raft().log().replicas().replicas(),
                       [&](const peer::Replica &Known) {
                         return !Known.learner() &&
                                Known.name() == Cluster.nameAt(Successor);
                       });
      if (!Votes)
        Found += fmt::format("{}, seed {}; ", Case.Name, Seed);
    }
  STRCMP_EQUAL("", Found.c_str());
}

// All first hosts have been replaced, and the settings of their successors
// still name them. A successor that lost its disk reached nobody: it stayed a
// silent voter, and the next lost disk ended control.
TEST(ReplicaHandoverTest, AHostWithoutItsDiskIsFoundIfItsSeedsAreGone) {
  std::string Found;
  for (std::size_t Tolerated : {1, 2}) {
    std::size_t FirstHosts = 2 * Tolerated + 1;
    for (std::size_t First = 0; First < FirstHosts; ++First)
      for (std::size_t Second = 0; Second < FirstHosts; ++Second) {
        HandoverScenario Scenario(/*Seed=*/First + 1,
                                  static_cast<std::uint32_t>(FirstHosts),
                                  FirstHosts);
        SeededCluster &Cluster = Scenario.Cluster;
        std::set<std::size_t> Living;
        for (std::size_t Host = FirstHosts; Host < 2 * FirstHosts; ++Host) {
          Cluster.startEmpty(Host, /*First=*/false);
          Living.insert(Host);
        }
        Cluster.run(CatchUpTime);
        for (std::size_t Host = 0; Host < FirstHosts; ++Host) {
          Cluster.shutDown(Host);
          Cluster.run(CatchUpTime);
        }
        Scenario.replaceTable();
        // Each time as many disks as may be lost at once.
        for (std::size_t Lost : {First, Second}) {
          for (std::size_t I = 0; I < Tolerated; ++I)
            Cluster.kill(FirstHosts + (Lost + I) % FirstHosts);
          Cluster.run(500ms);
          for (std::size_t I = 0; I < Tolerated; ++I)
            Cluster.startEmpty(FirstHosts + (Lost + I) % FirstHosts,
                               /*First=*/false);
          Cluster.run(CatchUpTime);
        }
        Cluster.run(RecoveryTime);
        Scenario.checkTable();
        Scenario.checkVoters(Living);
        if (!Scenario.found().empty())
          Found += fmt::format("f = {}, {} then {}: {}", Tolerated, First,
                               Second, Scenario.found());
      }
  }
  STRCMP_EQUAL("", Found.c_str());
}

// A host that leaves while it is cut off stops all the same, and is replaced
// once its successor has caught up.
TEST(ReplicaHandoverTest, AHostThatLeavesWhileItIsCutOffIsReplaced) {
  for (std::size_t Leaving = 0; Leaving < 3; ++Leaving) {
    HandoverScenario Scenario(/*Seed=*/Leaving + 1, /*Voters=*/3, /*Hosts=*/4);
    Scenario.Cluster.World.isolate(SeededCluster::addressOf(Leaving));
    Scenario.Cluster.shutDown(Leaving);
    Scenario.Cluster.run(CatchUpTime);
    std::set<std::size_t> Living = {0, 1, 2, 3};
    Living.erase(Leaving);
    Scenario.checkTable();
    Scenario.checkVoters(Living);
    STRCMP_EQUAL("", Scenario.found().c_str());
  }
}

TEST(ReplicaHandoverTest, RandomRemovalsJoinsRestartsAndLossesKeepTheTable) {
  std::string Found;
  constexpr std::uint64_t Seeds = 120;
  SeedRange Range = seedRange(Seeds);
  for (std::uint64_t Seed = Range.First; Seed <= Range.Last; ++Seed) {
    std::uint32_t Voters = Seed % 3 == 0 ? 5 : 3;
    RandomStory Story(Seed, Voters, Voters + Seed % 2);
    Story.play(60s);
    if (!Story.found().empty())
      Found += fmt::format("seed {}: {}\n", Seed, Story.found());
  }
  STRCMP_EQUAL("", Found.c_str());
}

TEST(ReplicaHandoverTest, RandomStoriesWithSeedsThatAreGoneKeepTheTable) {
  std::string Found;
  constexpr std::uint64_t Seeds = 120;
  SeedRange Range = seedRange(Seeds);
  for (std::uint64_t Seed = Range.First; Seed <= Range.Last; ++Seed) {
    std::uint32_t Voters = Seed % 3 == 0 ? 5 : 3;
    RandomStory Story(Seed, Voters, Voters + Seed % 2);
    Story.keepFirstSeeds();
    Story.play(60s);
    if (!Story.found().empty())
      Found += fmt::format("seed {}: {}\n", Seed, Story.found());
  }
  STRCMP_EQUAL("", Found.c_str());
}
