//===- What an entry serves while its control cluster is split ------------===//
//
// An entry answered for a route 2.9 s after the change that dropped it had been
// acknowledged; changes have to be in force within 2.5 s. Here control is
// split: the larger half elects a leader and takes changes, while the entry
// asks only replicas of the smaller half. The old leader refuses its
// heartbeats, and a replica in reserve, which never campaigns and so never
// forgets a leader, sends it back to the old one each time. The entry takes
// refusals for silence, and silence for the lack of a quorum, without which
// nothing can have changed. On the code with that fault, 6 of these 25 splits
// of 10 s go so: "an old table served 6998 ms too long, unreachable".
//
//===----------------------------------------------------------------------===//

#include "entry/table_lease.h"
#include "membership/announcer.h"
#include "tests/control/seeded_cluster.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr const char *EntryAddress = "entry";
constexpr Duration Tick = 20ms;
/// In which a change has to be in force at entries that reach control.
constexpr Duration ChangeInForce = 2500ms;
constexpr TableLeaseOptions LeaseOptions{.MaxAge = 2250ms};

/// The part of an entry that knows which route table is in force.
class TableKeeper final : public AnnouncerEvents {
public:
  explicit TableKeeper(SeededCluster &Cluster)
      : Cluster(Cluster), Sink(Cluster.World.sinkOf(EntryAddress)),
        Announce(options(), self(), this->Catalog, this->Sink, *this) {
    Cluster.World.start(EntryAddress,
                        [this](const PeerRef &, const peer::Message &Message) {
                          this->Announce.onReply(Message.heartbeat_reply(),
                                                 this->Cluster.World.now());
                        });
    Cluster.World.every(EntryAddress, Tick, [this] { this->tick(); });
  }

  void onConfirmed(TimePoint Asked) override { this->Lease.confirm(Asked); }
  void onNoLeaderSince(TimePoint Since) override {
    this->Lease.setNoLeaderSince(Since);
  }
  void onNewerRevision(std::uint64_t Revision) override {
    this->Lease.onPeerRevision(Revision);
  }
  void onCatalog(Instant) override {
    this->Lease.setHeldRevision(this->Catalog.revision());
  }
  void onMember(const peer::Member &, Instant) override {}

  TableState state() const {
    TimePoint Now = this->Cluster.World.now().Steady;
    return this->Lease.status(Now, Now).State;
  }
  std::uint64_t version() const {
    return this->Catalog.view()->Routes.version();
  }

private:
  static AnnouncerOptions options() {
    AnnouncerOptions Options;
    for (std::size_t I = 0; I < SeededCluster::Seeds; ++I)
      Options.Controls.push_back({"", SeededCluster::addressOf(I)});
    Options.Interval = 500ms;
    Options.SearchDelay = 250ms;
    Options.SearchInterval = 60ms;
    return Options;
  }
  static peer::Member self() {
    peer::Member Self;
    Self.set_name(EntryAddress);
    Self.set_address(EntryAddress);
    Self.set_role(peer::ROLE_ENTRY);
    Self.set_incarnation(1);
    Self.set_state(peer::MEMBER_ALIVE);
    return Self;
  }
  void tick() {
    Instant Now = this->Cluster.World.now();
    this->Lease.tick(Now.Steady);
    this->Announce.tick(Now);
  }

  SeededCluster &Cluster;
  AddressSink Sink;
  NodeCatalog Catalog;
  TableLease Lease{LeaseOptions};
  Announcer Announce;
};

/// Hosts on either side of a split.
struct Halves {
  std::vector<std::size_t> Smaller;
  std::vector<std::size_t> Larger;
};

/// A story of six control hosts, five of which vote, and one entry.
class SplitStory {
public:
  static constexpr std::size_t Voters = 5;

  explicit SplitStory(std::uint64_t Seed) : Cluster(Seed, Voters) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.startEmpty(Host, /*First=*/true);
    this->Cluster.run(8s);
    this->Entry.emplace(this->Cluster);
    CHECK(this->Cluster.replace(++this->Version));
    this->Cluster.run(1s);
    CHECK(this->Entry->state() == TableState::Current);
  }

  /// Lets the leader step down, as often as it takes until \p Host leads.
  void elect(std::size_t Host) {
    for (int Try = 0; Try < 60 && !this->leads(Host); ++Try) {
      this->Cluster.leader()->drain(this->Cluster.World.now());
      this->Cluster.run(2s);
    }
    CHECK(this->leads(Host));
  }

  /// With the leader, the replica in reserve and \p Third in the smaller half.
  Halves leaderInSmallerHalf(std::size_t Third) {
    Halves Made;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      bool Reserve = !this->Cluster.service(Host).raft().isVoter();
      bool Small = Host == Third || this->leads(Host) || Reserve;
      (Small ? Made.Smaller : Made.Larger).push_back(Host);
    }
    return Made;
  }

  void split(const Halves &By) {
    for (std::size_t A : By.Smaller)
      for (std::size_t B : By.Larger)
        this->Cluster.World.cut(SeededCluster::addressOf(A),
                                SeededCluster::addressOf(B));
  }

  /// What the leader sends does not reach the entry; its questions do.
  void silenceLeaderTowardsEntry() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      if (this->leads(Host))
        this->Cluster.World.cutOneWay(SeededCluster::addressOf(Host),
                                      EntryAddress);
  }

  void killAll() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.kill(Host);
  }
  void startAll() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.start(Host);
  }

  /// Sends a change every half second and looks at the entry meanwhile.
  void play(Duration Length) {
    TimePoint End = this->now() + Length;
    TimePoint NextChange = this->now();
    while (this->now() < End) {
      if (this->now() >= NextChange) {
        this->change();
        NextChange += 500ms;
      }
      this->Cluster.run(Tick);
      this->look();
    }
  }

  /// The longest time for which the entry served a table after a newer one had
  /// to be in force.
  Duration Late{0};
  TableState StateWhenLate = TableState::Unknown;
  /// Time spent without serving.
  Duration Refusing{0};

private:
  struct Acknowledged {
    std::uint64_t Version;
    TimePoint At;
  };

  TimePoint now() { return this->Cluster.World.now().Steady; }
  bool leads(std::size_t Host) {
    return this->Cluster.service(Host).raft().leads();
  }

  void change() {
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
                        this->Taken.push_back({New, this->now()});
                    });
  }

  void look() {
    TableState State = this->Entry->state();
    if (State == TableState::Unknown) {
      this->Refusing += Tick;
      return;
    }
    for (const Acknowledged &Change : this->Taken) {
      Duration Over = this->now() - Change.At - ChangeInForce;
      if (Change.Version <= this->Entry->version() || Over <= this->Late)
        continue;
      this->Late = Over;
      this->StateWhenLate = State;
    }
  }

  static constexpr std::size_t Hosts = 6;

  SeededCluster Cluster;
  std::optional<TableKeeper> Entry;
  std::uint64_t Version = 0;
  std::vector<Acknowledged> Taken;
};

} // namespace

TEST_GROUP(EntryTableTest){};

TEST(EntryTableTest, NoOldTableIsServedWhileTheSmallerHalfIsAsked) {
  std::string Found;
  for (std::size_t Leader = 0; Leader < SplitStory::Voters; ++Leader)
    for (std::size_t Third = 0; Third < SplitStory::Voters; ++Third) {
      SplitStory Story(/*Seed=*/Leader + 1);
      Story.elect(Leader);
      Story.split(Story.leaderInSmallerHalf(Third));
      Story.play(10s);
      if (Story.Late.count() > 0)
        Found += fmt::format(
            "leader {}, third {}: an old table served {} ms too long, {}; ",
            Leader, Third, Story.Late.count() / 1000,
            tableStateName(Story.StateWhenLate));
    }
  STRCMP_EQUAL("", Found.c_str());
}

// Nothing can change while all of control is gone, so that callers are served
// on; the entry only has to know it.
TEST(EntryTableTest, WithoutControlAnEntryServesOnAndReturnsInTime) {
  // Its table may get too old while the last replicas have time to answer.
  constexpr Duration MayRefuse = 300ms;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    SplitStory Story(Seed);
    Story.play(std::chrono::milliseconds(100 * Seed));
    Story.killAll();
    Story.play(8s);
    std::string Found = fmt::format("seed {}: refused for {} ms", Seed,
                                    Story.Refusing.count() / 1000);
    CHECK_TEXT(Story.Refusing <= MayRefuse, Found.c_str());
    Story.startAll();
    Story.play(6s);
    LONGS_EQUAL_TEXT(0, Story.Late.count(), Found.c_str());
  }
}

// The leader takes changes, and its answers to the entry are lost, as while its
// connection to a busy entry is made anew. That the others refuse, and name it,
// shows that there is a leader.
TEST(EntryTableTest, ALeaderWhoseAnswersAreLostIsNotTakenForGone) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SplitStory Story(Seed);
    Story.silenceLeaderTowardsEntry();
    Story.play(8s);
    std::string Found = fmt::format(
        "seed {}: an old table served {} ms too long, {}", Seed,
        std::chrono::duration_cast<std::chrono::milliseconds>(Story.Late)
            .count(),
        tableStateName(Story.StateWhenLate));
    CHECK_TEXT(Story.Late.count() == 0, Found.c_str());
  }
}
