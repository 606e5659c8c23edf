//===- No dispatches to an upstream after it leaves -----------------------===//

#include "emulator/virtual_cluster.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// The limit that is documented for operators, in virtual time.
constexpr Duration MaxDispatchDelay = 4s;

void drainAgent(VirtualCluster &Cluster) {
  Cluster.agent("a3").drain(Cluster.World.now());
}
void killAgent(VirtualCluster &Cluster) { Cluster.kill("a3"); }
void freezeAgent(VirtualCluster &Cluster) { Cluster.World.freeze("a3"); }
void isolateAgent(VirtualCluster &Cluster) { Cluster.World.isolate("a3"); }
void disconnectFromControl(VirtualCluster &Cluster) {
  for (const char *Replica : {"c1", "c2", "c3"})
    Cluster.World.cut("a3", Replica);
}
void disconnectFromOneEntry(VirtualCluster &Cluster) {
  Cluster.World.cut("a3", "e1");
}

struct Departure {
  const char *Name;
  void (*Leave)(VirtualCluster &Cluster);
  /// Whether all entries must stop dispatching to it, or only e1.
  bool AllEntries;
};

const Departure Departures[] = {
    {"drained", drainAgent, true},
    {"killed", killAgent, true},
    {"frozen", freezeAgent, true},
    {"isolated", isolateAgent, true},
    {"disconnected from control", disconnectFromControl, true},
    {"disconnected from one entry", disconnectFromOneEntry, false},
};

/// Submits jobs before and after agent a3 leaves.
/// \returns the number of dispatches sent to a3 later than \p After its
/// departure.
std::size_t lateDispatches(const Departure &Case, Duration After) {
  ClusterOptions Options;
  Options.Seed = 61;
  // Enough slots that tasks stuck on a3 do not by themselves prevent further
  // dispatches, and jobs large enough to use the slots.
  Options.Slots = 16;
  Options.Controls = 3;
  Options.Agents = 5;
  VirtualCluster Cluster(Options);
  Cluster.settle();
  TimePoint Limit = TimePoint::max();
  std::size_t Late = 0;
  Cluster.World.setFilter([&](const PeerRef &From, const PeerRef &To,
                              const peer::Message &Message) {
    bool Counted = Message.has_dispatch() && To.Node == "a3" &&
                   (Case.AllEntries || From.Node == "e1");
    if (Counted && Cluster.World.now().Steady > Limit)
      ++Late;
    return Duration(0);
  });
  int Number = 0;
  auto Load = [&](Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += 20ms) {
      Cluster.submit(Number % 2 == 0 ? "e1" : "e2",
                     Cluster.makeJob(fmt::format("job{}", Number), 12));
      ++Number;
      Cluster.run(20ms);
    }
  };
  Load(1s);
  Case.Leave(Cluster);
  Limit = Cluster.World.now().Steady + After;
  Load(10s);
  STRCMP_EQUAL_TEXT("", Cluster.violation().c_str(), Case.Name);
  LONGS_EQUAL_TEXT(0, Cluster.doubleStarts(), Case.Name);
  return Late;
}

} // namespace

TEST_GROUP(LeavingTest){};

TEST(LeavingTest, NothingIsDispatchedAfterTheLimit) {
  for (const Departure &Case : Departures) {
    LONGS_EQUAL_TEXT(0, lateDispatches(Case, MaxDispatchDelay), Case.Name);
  }
}

TEST(LeavingTest, TheCountIncludesDispatchesBeforeTheLimit) {
  // All departures except a drain are detected by silence, which takes a while.
  for (const Departure &Case : Departures)
    if (Case.Leave != drainAgent)
      CHECK_TRUE_TEXT(lateDispatches(Case, 0s) > 0, Case.Name);
}

TEST(LeavingTest, AThawedAgentStartsNoOldDispatches) {
  for (bool Fence : {false, true}) {
    ClusterOptions Options;
    Options.Seed = 63;
    Options.Agents = 4;
    Options.FencesOldDispatches = Fence;
    VirtualCluster Cluster(Options);
    Cluster.settle();
    Cluster.World.freeze("a4");
    Cluster.submit("e1", Cluster.makeJob("job", 8));
    Cluster.run(10s);
    Cluster.World.thaw("a4");
    Cluster.run(2s);
    bool Started = Cluster.lastStartAt("a4") != TimePoint();
    CHECK_EQUAL(!Fence, Started);
  }
}

TEST(LeavingTest, ADrainingAgentFinishesRunningTasksAndReturnsTheRest) {
  ClusterOptions Options;
  Options.Seed = 65;
  Options.Agents = 4;
  Options.Policy = "random";
  VirtualCluster Cluster(Options);
  Cluster.settle();
  std::vector<std::size_t> Numbers;
  Numbers.reserve(6);
  for (int I = 0; I < 6; ++I)
    Numbers.push_back(
        Cluster.submit("e1", Cluster.makeJob(fmt::format("job{}", I), 5)));
  Cluster.run(50ms);
  Cluster.agent("a4").drain(Cluster.World.now());
  Cluster.run(10s);
  CHECK_TRUE(Cluster.agent("a4").isIdle());
  for (std::size_t Number : Numbers)
    CHECK_TRUE(Cluster.answer(Number).Outcome.complete());
  LONGS_EQUAL(0, Cluster.doubleStarts());
}
