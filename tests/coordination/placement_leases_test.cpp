// Which placements an entry names in its renewals. The lease of a placement
// that is not named expires at its agent, so that no message of an entry
// prolongs a run of a job that it has already answered.

#include "tests/coordination/coordinator_fixture.h"

#include <functional>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

using Orders = std::set<std::uint64_t>;

TEST_GROUP_BASE(PlacementLeasesTest,
                CoordinatorFixture){std::uint64_t place(const char *Id){
    Coordinator.submit(patientRequest(1, Id), 1, Now);
return Sink.Dispatches.back().second.tasks(0).order();
}
/// Returns the orders that the next renewal to the agent names.
Orders nextRenewedOrders() {
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 150 && Sink.Renewals["a"] == Before; ++I)
    advance(20ms);
  CHECK(Sink.Renewals["a"] > Before);
  return Sink.RenewedOrders["a"];
}
}
;

TEST(PlacementLeasesTest, RenewalsNameOnlyPlacementsOfRunningJobs) {
  struct Row {
    const char *Name;
    std::function<void()> End;
    bool IsNamed;
  };
  const Row Rows[] = {
      {"running", [] {}, true},
      {"cancelled, no update yet",
       [&] { Coordinator.cancel("j", "test", Now); }, false},
      {"its caller has disconnected",
       [&] { Coordinator.withdraw("j", 1, "test", Now); }, false},
      {"its deadline has passed",
       [&] {
         for (int I = 0; I < 20; ++I) {
           advance(100ms);
           reportLoad("a");
         }
       },
       false},
      {"its agent is unresponsive", [&] { advance(1000ms); }, false},
      {"done", [&] { answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE); },
       false}};
  for (const Row &Row : Rows) {
    addAgent("a");
    std::uint64_t Order = place("j");
    Row.End();
    LONGS_EQUAL_TEXT(Row.IsNamed, nextRenewedOrders().contains(Order),
                     Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    advance(6000ms);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

TEST(PlacementLeasesTest, ADispatchRenewsRunningPlacementsAtItsAgent) {
  addAgent("a");
  std::uint64_t First = place("first");
  std::uint64_t Second = place("second");
  Coordinator.cancel("second", "test", Now);
  place("third");
  const auto &Renewed = Sink.Dispatches.back().second.renewed();
  CHECK(CoordinatorSink::ordersOf(Renewed) == Orders{First});
  CHECK(First != Second);
}

// The first copy may have named placements that were given up since.
TEST(PlacementLeasesTest, AResentDispatchRenewsNothingElse) {
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

// After a stall, an entry would read that a caller has closed its connection
// only after it has sent the next renewals.
TEST(PlacementLeasesTest, AStalledEntryDoesNotRenewForDisconnectedCallers) {
  struct Row {
    const char *Name;
    bool CallersConnected;
    bool WasBehind;
    bool IsNamed;
  };
  const Row Rows[] = {{"the caller waits", true, true, true},
                      {"the caller has disconnected", false, true, false},
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

// Messages to an agent may arrive while those from it do not.
TEST(PlacementLeasesTest, AnAgentConsideredLostIsToldToStop) {
  addAgent("a");
  std::uint64_t Order = place("j");
  advance(1000ms);
  LONGS_EQUAL(1, Answers.Answers.size());
  LONGS_EQUAL(1, Sink.Stops.size());
  CHECK(Sink.StoppedOrders == Orders{Order});
}
