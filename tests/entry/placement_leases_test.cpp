// What an entry names in its renewals. A placement that is not named lapses at
// its agent, so that nothing an entry sends keeps a run alive of a job that it
// has answered for.

#include "tests/entry/coordinator_fixture.h"

#include <functional>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

using Orders = std::set<std::uint64_t>;

TEST_GROUP_BASE(PlacementLeasesTest,
                CoordinatorFixture){std::uint64_t place(const char *Id){
    Coordinator.submit(patientRequest(1, Id), 1, Now);
return Sink.Dispatches.back().second.tasks(0).order();
}
/// What the next renewal for the agent names.
Orders named() {
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 150 && Sink.Renewals["a"] == Before; ++I)
    advance(20ms);
  CHECK(Sink.Renewals["a"] > Before);
  return Sink.RenewedOrders["a"];
}
}
;

TEST(PlacementLeasesTest, RenewalsNameOnlyPlacementsOfJobsUnderWay) {
  struct Row {
    const char *Name;
    std::function<void()> End;
    bool IsNamed;
  };
  const Row Rows[] = {
      {"under way", [] {}, true},
      {"cancelled, its end not told",
       [&] { Coordinator.cancel("j", "test", Now); }, false},
      {"its caller has gone",
       [&] { Coordinator.withdraw("j", 1, "test", Now); }, false},
      {"its deadline has passed",
       [&] {
         for (int I = 0; I < 20; ++I) {
           advance(100ms);
           reportLoad("a");
         }
       },
       false},
      {"its agent has been silent", [&] { advance(1000ms); }, false},
      {"done", [&] { answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE); },
       false}};
  for (const Row &Row : Rows) {
    addAgent("a");
    std::uint64_t Order = place("j");
    Row.End();
    LONGS_EQUAL_TEXT(Row.IsNamed, named().contains(Order), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    advance(6000ms);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

TEST(PlacementLeasesTest, ADispatchRenewsWhatIsUnderWayThere) {
  addAgent("a");
  std::uint64_t First = place("first");
  std::uint64_t Second = place("second");
  Coordinator.cancel("second", "test", Now);
  place("third");
  const auto &Renewed = Sink.Dispatches.back().second.renewed();
  CHECK(CoordinatorSink::ordersOf(Renewed) == Orders{First});
  CHECK(First != Second);
}

// Its first copy may have named placements that were given up since.
TEST(PlacementLeasesTest, ARepeatedDispatchRenewsNothingElse) {
  addAgent("a");
  place("first");
  place("second");
  LONGS_EQUAL(1, Sink.Dispatches.back().second.renewed_size());
  Coordinator.cancel("first", "test", Now);
  Now.Steady += 300ms;
  failDispatchDelivery(1);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  LONGS_EQUAL(0, Sink.Dispatches.back().second.renewed_size());
}

// That a caller has closed its connection lies unread in an entry that stood
// still, and is handled after its next renewals.
TEST(PlacementLeasesTest, AnEntryThatStoodStillRenewsForNoCallerThatHasGone) {
  struct Row {
    const char *Name;
    bool CallersConnected;
    bool WasBehind;
    bool IsNamed;
  };
  const Row Rows[] = {{"the caller waits", true, true, true},
                      {"the caller has gone", false, true, false},
                      {"the entry kept up", false, false, true}};
  for (const Row &Row : Rows) {
    addAgent("a");
    Answers.CallersConnected = true;
    std::uint64_t Order = place("j");
    Sink.Stops.clear();
    Now.Steady += 780ms;
    Answers.CallersConnected = Row.CallersConnected;
    Coordinator.tick(Now, Row.WasBehind ? Now.Steady : TimePoint::min());
    LONGS_EQUAL_TEXT(Row.IsNamed, Sink.RenewedOrders["a"].contains(Order),
                     Row.Name);
    LONGS_EQUAL_TEXT(Row.IsNamed ? 0 : 1, Sink.Stops.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    advance(6000ms);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

// The way to an agent may be open while the way back is not.
TEST(PlacementLeasesTest, AnAgentThatIsTakenForLostIsToldToStop) {
  addAgent("a");
  std::uint64_t Order = place("j");
  advance(1000ms);
  LONGS_EQUAL(1, Answers.Answers.size());
  LONGS_EQUAL(1, Sink.Stops.size());
  CHECK(Sink.StoppedOrders == Orders{Order});
}
