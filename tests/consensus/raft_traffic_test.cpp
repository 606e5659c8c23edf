//===- What a Raft leader sends to a replica that lags --------------------===//
//
// Regression test: control replicas ran out of memory. With each round of
// heartbeats, of which each quorum read starts one, the leader sent a follower
// all entries again that it had not acknowledged, and answered each rejection
// with the whole log.
//
//===----------------------------------------------------------------------===//

#include "tests/consensus/raft_cluster.h"
#include "transport/link_pool.h"

#include <fmt/format.h>
#include <limits>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// About the size of a configuration with 43 routes.
constexpr std::size_t CommandBytes = 12000;
/// Size of a heartbeat, with room to spare.
constexpr std::uint64_t HeartbeatBytes = 200;
/// With 80 nodes, a tick rarely passes without a heartbeat to confirm.
constexpr Duration ReadInterval = 20ms;
constexpr Duration ChangeInterval = 330ms;
constexpr Duration StormTime = 10s;

enum class Lag { Frozen, Slow, Joining };

struct Row {
  const char *Name;
  Lag Kind;
  /// Delay of each message from and to the replica.
  Duration Delay;
};

/// The messages sent to one replica.
struct Traffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

class StormScenario {
public:
  StormScenario() : Cluster(5, options(), /*Seed=*/3) {
    this->Cluster.run(3s);
    this->Leader = this->Cluster.leader();
  }

  /// Proposes a change every ChangeInterval and reads every ReadInterval.
  void run(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += ReadInterval) {
      if (Passed % ChangeInterval < ReadInterval) {
        this->Cluster.propose(this->Leader, std::string(CommandBytes, 'x'));
        this->LogBytes += CommandBytes;
      }
      this->Cluster.node(this->Leader).read(this->now());
      this->Cluster.run(ReadInterval);
    }
  }
  /// Delays the replica's messages and counts what is sent to it.
  void watch(const std::string &Name, Duration Delay) {
    this->Cluster.World.setFilter(
        [this, Name, Delay](const PeerRef &From, const PeerRef &To,
                            const peer::Message &Message) {
          if (To.Node == Name) {
            ++this->Sent.Messages;
            this->Sent.Bytes += Message.ByteSizeLong();
          }
          return From.Node == Name || To.Node == Name ? Delay : Duration(0);
        });
  }
  void addLearner(const std::string &Name) {
    peer::ReplicaSet Set = this->Cluster.node(this->Leader).log().replicas();
    peer::Replica *Added = Set.add_replicas();
    Added->set_name(Name);
    Added->set_address(Name);
    Added->set_learner(true);
    this->Cluster.join(Name);
    CHECK(this->Cluster.node(this->Leader)
              .proposeReplicas(Set, this->now())
              .has_value());
  }
  std::string follower() const { return this->Leader == "r5" ? "r4" : "r5"; }

  RaftCluster Cluster;
  Traffic Sent;
  std::uint64_t LogBytes = 0;

private:
  static RaftOptions options() {
    RaftOptions Options;
    Options.EntriesPerSnapshot = 200;
    // The messages with entries are looked at, so the log has to keep them. The
    // state of this cluster is the list of all commands, of any size.
    Options.MaxLogBytes = std::numeric_limits<std::size_t>::max();
    return Options;
  }
  TimePoint now() { return this->Cluster.World.now().Steady; }

  std::string Leader;
};

} // namespace

TEST_GROUP(RaftTrafficTest){};

TEST(RaftTrafficTest, AReplicaThatLagsIsNotSentTheSameEntriesAgainAndAgain) {
  const Row Rows[] = {{"frozen", Lag::Frozen, 0ms},
                      {"slow", Lag::Slow, 150ms},
                      {"joining", Lag::Joining, 150ms}};
  for (const Row &Row : Rows) {
    StormScenario Scenario;
    std::string Replica = Scenario.follower();
    if (Row.Kind == Lag::Joining) {
      Replica = "r6";
      Scenario.run(StormTime);
      Scenario.watch(Replica, Row.Delay);
      Scenario.addLearner(Replica);
    }
    Scenario.watch(Replica, Row.Delay);
    if (Row.Kind == Lag::Frozen)
      Scenario.Cluster.World.freeze(Replica);
    Scenario.run(StormTime);
    // Each entry once, and once more for what may have been lost.
    std::uint64_t Allowed =
        2 * Scenario.LogBytes + HeartbeatBytes * Scenario.Sent.Messages;
    std::string Found =
        fmt::format("{}: {} KB sent, {} KB of entries in the log", Row.Name,
                    Scenario.Sent.Bytes / 1000, Scenario.LogBytes / 1000);
    CHECK_TEXT(Scenario.Sent.Bytes <= Allowed, Found.c_str());
    // The replica does catch up.
    if (Row.Kind == Lag::Frozen)
      Scenario.Cluster.World.thaw(Replica);
    Scenario.Cluster.run(3s);
    LONGS_EQUAL_TEXT(
        Scenario.Cluster.node(Scenario.Cluster.leader()).log().lastIndex(),
        Scenario.Cluster.node(Replica).log().lastIndex(), Row.Name);
  }
}

// An envelope larger than MaxEnvelopeBytes is refused by the transport, so that
// a replica that needs it would never catch up.
TEST(RaftTrafficTest, AMessageWithEntriesFitsIntoAnEnvelope) {
  constexpr std::size_t LargeCommandBytes = 262144;
  constexpr int Commands = 100;
  StormScenario Scenario;
  std::string Replica = Scenario.follower();
  Scenario.Cluster.World.isolate(Replica);
  for (int I = 0; I < Commands; ++I) {
    Scenario.Cluster.propose(Scenario.Cluster.leader(),
                             std::string(LargeCommandBytes, 'x'));
    Scenario.Cluster.run(20ms);
  }
  std::uint64_t Largest = 0;
  Scenario.Cluster.World.setFilter(
      [&](const PeerRef &, const PeerRef &, const peer::Message &Message) {
        Largest = std::max<std::uint64_t>(Largest, Message.ByteSizeLong());
        return Duration(0);
      });
  Scenario.Cluster.World.reconnect(Replica);
  Scenario.Cluster.run(5s);
  CHECK_TEXT(Largest <= MaxEnvelopeBytes, fmt::format("{}", Largest).c_str());
  LONGS_EQUAL(
      Scenario.Cluster.node(Scenario.Cluster.leader()).log().lastIndex(),
      Scenario.Cluster.node(Replica).log().lastIndex());
}
