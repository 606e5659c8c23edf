//===- Route table of an entry while control is partitioned ---------------===//
//
// Regression test: an entry kept answering for a route after the change that
// removed it had been acknowledged, for longer than the 2.5 s within which a
// change must be in force. It happens when control is partitioned and the entry
// asks only replicas of the minority. The majority elects a new leader and
// accepts changes. The old leader refuses the entry's heartbeats, and the
// learner, which never campaigns and so never forgets a leader, redirects the
// entry to the old leader each time. The faulty code treated refusals as
// silence, and silence as the loss of the quorum, without which nothing can
// have changed.
//
//===----------------------------------------------------------------------===//

#include "tests/control/configured_node.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <vector>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr const char *EntryAddress = "entry";
constexpr Duration Tick = ConfiguredNode::Tick;
/// A change must be in force within this at entries that reach control.
constexpr Duration ChangeInForce = 2500ms;

/// The hosts on either side of a partition.
struct Partition {
  std::vector<std::size_t> Minority;
  std::vector<std::size_t> Majority;
};

/// Scenario with six control hosts, five of them voters, and one entry.
class SplitScenario {
public:
  static constexpr std::size_t Voters = 5;

  explicit SplitScenario(std::uint64_t Seed) : Cluster(Seed, Voters) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.startEmpty(Host, /*First=*/true);
    this->Cluster.run(8s);
    this->Entry.emplace(this->Cluster, EntryAddress, peer::ROLE_ENTRY);
    CHECK(this->Cluster.replace(++this->Version));
    this->Cluster.run(1s);
    CHECK(this->Entry->state() == TableState::Current);
  }

  /// Makes the leader step down repeatedly until \p Host leads.
  void elect(std::size_t Host) {
    for (int Try = 0; Try < 60 && !this->leads(Host); ++Try) {
      this->Cluster.leader()->drain(this->Cluster.World.now());
      this->Cluster.run(2s);
    }
    CHECK(this->leads(Host));
  }

  /// \returns a partition with the leader, the learner and \p Third in the
  /// minority.
  Partition leaderInMinority(std::size_t Third) {
    Partition Made;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      bool IsLearner = !this->Cluster.service(Host).raft().isVoter();
      bool InMinority = Host == Third || this->leads(Host) || IsLearner;
      (InMinority ? Made.Minority : Made.Majority).push_back(Host);
    }
    return Made;
  }

  void split(const Partition &Sides) {
    for (std::size_t A : Sides.Minority)
      for (std::size_t B : Sides.Majority)
        this->Cluster.World.cut(SeededCluster::addressOf(A),
                                SeededCluster::addressOf(B));
  }

  /// Drops messages from the leader to the entry; the entry's requests still
  /// reach the leader.
  void silenceLeaderTowardsEntry() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      if (this->leads(Host))
        this->Cluster.World.cutOneWay(SeededCluster::addressOf(Host),
                                      EntryAddress);
  }

  /// Breaks the entry's connections to control without notice, as a cut does
  /// that has ended.
  void breakEntryConnections() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Entry->breakConnection(Host);
  }
  void setEntryBusy() { this->Entry->setBusy(true); }
  /// Forgets how long an old table was served and requests were refused.
  void resetTimes() {
    this->MaxStaleTime = Duration(0);
    this->RefusingTime = Duration(0);
  }

  void killAll() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.kill(Host);
  }
  void startAll() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.start(Host);
  }

  /// Runs for \p Length; proposes a change every 500 ms and checks the entry at
  /// each tick.
  void runFor(Duration Length) {
    TimePoint End = this->now() + Length;
    TimePoint NextChange = this->now();
    while (this->now() < End) {
      if (this->now() >= NextChange) {
        this->proposeChange();
        NextChange += 500ms;
      }
      this->Cluster.run(Tick);
      this->checkEntry();
    }
  }

  /// Longest time for which the entry served a table after a newer one had to
  /// be in force.
  Duration MaxStaleTime{0};
  TableState StateWhenStale = TableState::Unknown;
  /// Total time in which the entry refused requests.
  Duration RefusingTime{0};

private:
  struct Acknowledged {
    std::uint64_t Version;
    TimePoint At;
  };

  TimePoint now() { return this->Cluster.World.now().Steady; }
  bool leads(std::size_t Host) {
    return this->Cluster.service(Host).raft().leads();
  }

  void proposeChange() {
    ControlService *Newest = nullptr;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      if (!this->Cluster.World.isUp(SeededCluster::addressOf(Host)))
        continue;
      ControlService &Here = this->Cluster.service(Host);
      bool Newer =
          Newest == nullptr || Here.raft().term() > Newest->raft().term();
      if (Here.raft().leads() && Newer)
        Newest = &Here;
    }
    if (Newest == nullptr)
      return;
    std::uint64_t New = ++this->Version;
    peer::Change Change;
    peer::RouteTable *Table = Change.mutable_replace_routes()->mutable_table();
    Table->set_version(New);
    Table->set_document(std::to_string(New));
    Newest->propose(Change, this->Cluster.World.now(),
                    [this, New](const ProposalOutcome &Outcome) {
                      if (Outcome.State == ProposalState::Applied)
                        this->AcknowledgedChanges.push_back({New, this->now()});
                    });
  }

  void checkEntry() {
    TableState State = this->Entry->state();
    if (State == TableState::Unknown) {
      this->RefusingTime += Tick;
      return;
    }
    for (const Acknowledged &Change : this->AcknowledgedChanges) {
      Duration StaleTime = this->now() - Change.At - ChangeInForce;
      if (Change.Version <= this->Entry->version() ||
          StaleTime <= this->MaxStaleTime)
        continue;
      this->MaxStaleTime = StaleTime;
      this->StateWhenStale = State;
    }
  }

  static constexpr std::size_t Hosts = 6;

  SeededCluster Cluster;
  std::optional<ConfiguredNode> Entry;
  std::uint64_t Version = 0;
  std::vector<Acknowledged> AcknowledgedChanges;
};

} // namespace

TEST_GROUP(EntryTableTest){};

TEST(EntryTableTest, NoOldTableIsServedWhileOnlyTheMinorityIsAsked) {
  std::string Found;
  for (std::size_t Leader = 0; Leader < SplitScenario::Voters; ++Leader)
    for (std::size_t Third = 0; Third < SplitScenario::Voters; ++Third) {
      SplitScenario Scenario(/*Seed=*/Leader + 1);
      Scenario.elect(Leader);
      Scenario.split(Scenario.leaderInMinority(Third));
      Scenario.runFor(10s);
      if (Scenario.MaxStaleTime.count() > 0)
        Found += fmt::format(
            "leader {}, third {}: an old table served {} ms too long, {}; ",
            Leader, Third, Scenario.MaxStaleTime.count() / 1000,
            tableStateName(Scenario.StateWhenStale));
    }
  STRCMP_EQUAL("", Found.c_str());
}

// Nothing can change while all control replicas are down, so the entry must
// keep serving. It must detect that case within a bounded time.
TEST(EntryTableTest, WithoutControlAnEntryKeepsServingAndRecoversInTime) {
  // The table may expire while the entry still waits for the last replicas.
  constexpr Duration MaxRefusingTime = 300ms;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    SplitScenario Scenario(Seed);
    Scenario.runFor(std::chrono::milliseconds(100 * Seed));
    Scenario.killAll();
    Scenario.runFor(8s);
    std::string Found = fmt::format("seed {}: refused for {} ms", Seed,
                                    Scenario.RefusingTime.count() / 1000);
    CHECK_TEXT(Scenario.RefusingTime <= MaxRefusingTime, Found.c_str());
    Scenario.startAll();
    Scenario.runFor(6s);
    LONGS_EQUAL_TEXT(0, Scenario.MaxStaleTime.count(), Found.c_str());
  }
}

// The leader accepts changes, but its replies to the entry are lost, as happens
// while the connection to a busy entry is re-established. The other replicas
// refuse the heartbeat and name the leader, so the entry knows that one exists.
TEST(EntryTableTest, ALeaderWhoseRepliesAreLostIsNotTreatedAsDown) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SplitScenario Scenario(Seed);
    Scenario.silenceLeaderTowardsEntry();
    Scenario.runFor(8s);
    std::string Found =
        fmt::format("seed {}: an old table served {} ms too long, {}", Seed,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Scenario.MaxStaleTime)
                        .count(),
                    tableStateName(Scenario.StateWhenStale));
    CHECK_TEXT(Scenario.MaxStaleTime.count() == 0, Found.c_str());
  }
}

// An entry whose loop is late again and again counted no silence of its peers
// long enough to replace a connection, but did count it as the loss of control.
// Its connections to control had broken without notice, and it kept serving an
// old table.
TEST(EntryTableTest, ABusyEntryReplacesBrokenConnections) {
  // After this an entry that can reach control must serve the newest table.
  constexpr Duration ContactTime = 4s;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SplitScenario Scenario(Seed);
    Scenario.setEntryBusy();
    Scenario.runFor(2s);
    Scenario.breakEntryConnections();
    Scenario.runFor(ContactTime);
    Scenario.resetTimes();
    Scenario.runFor(6s);
    std::string Found =
        fmt::format("seed {}: an old table served {} ms too long, {}", Seed,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Scenario.MaxStaleTime)
                        .count(),
                    tableStateName(Scenario.StateWhenStale));
    CHECK_TEXT(Scenario.MaxStaleTime.count() == 0, Found.c_str());
    CHECK_TEXT(Scenario.RefusingTime.count() == 0, Found.c_str());
  }
}
