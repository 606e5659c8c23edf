//===- Lists of held orders that agents send to an entry ------------------===//

#include "tests/coordination/coordinator_fixture.h"

#include <functional>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(CoordinatorListsTest, CoordinatorFixture){};

// An entry that was stalled misses the updates sent meanwhile. Tasks that it
// wrongly counts as running must not keep it from accepting jobs for ever.
TEST(CoordinatorListsTest, TasksNoLongerListedByTheirAgentHaveEnded) {
  struct Row {
    const char *Name;
    bool Listed;
    std::chrono::milliseconds After;
    std::size_t Dispatches;
  };
  const Row Rows[] = {{"listed", true, 3000ms, 1},
                      {"in transit", false, 800ms, 1},
                      {"the update may still arrive", false, 1200ms, 1},
                      {"lost", false, 2000ms, 2}};
  addAgent("a", 2000);
  addAgent("b", 500);
  for (const Row &Row : Rows) {
    Sink.Dispatches.clear();
    LeasedJobRequest Long = request(1, Row.Name);
    Long.Deadline = 60s;
    Coordinator.submit(Long, 1, Now);
    for (auto Passed = 0ms; Passed < Row.After; Passed += 200ms) {
      advance(200ms);
      peer::Message Message;
      peer::WorkerLoad *Load = Message.mutable_worker_load();
      Load->set_incarnation(AgentIncarnation);
      Load->set_stamp(++Stamp);
      Load->set_lists_held(true);
      if (Row.Listed)
        Load->add_held_orders(Sink.Dispatches[0].second.tasks(0).order());
      Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
      // The list of another agent must not matter for this one.
      Load->clear_held_orders();
      Coordinator.onMessage({"b", "10.0.0.1:1"}, Message, Now);
    }
    LONGS_EQUAL_TEXT(Row.Dispatches, Sink.Dispatches.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    CHECK_TEXT(Answers.Answers.back().second.End == LeasedEnd::Completed,
               Row.Name);
    LONGS_EQUAL_TEXT(0, Coordinator.workerTable().workers().at("a").OwnTasks,
                     Row.Name);
  }
}

// The second copy carries a stamp of its own, and may start the task for as
// long after it was sent as the first copy.
TEST(CoordinatorListsTest, AResentDispatchMayBeInTransitAgain) {
  struct Row {
    const char *Name;
    bool Repeated;
    std::size_t Placed;
  };
  const Row Rows[] = {{"sent once", false, 2}, {"resent", true, 1}};
  addAgent("a");
  for (const Row &Row : Rows) {
    LeasedJobRequest Long = request(1, Row.Name);
    Long.Deadline = 60s;
    Coordinator.submit(Long, 1, Now);
    std::size_t First = Sink.Dispatches.size() - 1;
    for (auto Passed = 0ms; Passed < 1800ms; Passed += 200ms) {
      advance(200ms);
      if (Row.Repeated && Passed == 1200ms)
        failDispatchDelivery(First);
      listHeldOrders("a", {});
    }
    Coordinator.placeScheduled(Now);
    std::set<std::uint64_t> Orders;
    for (std::size_t I = First; I < Sink.Dispatches.size(); ++I)
      Orders.insert(Sink.Dispatches[I].second.tasks(0).order());
    LONGS_EQUAL_TEXT(Row.Placed, Orders.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
}

// A caller that was answered "unknown" may have resubmitted the job elsewhere
// by then.
TEST(CoordinatorListsTest, OrdersHeldForNoRunningJobAreStopped) {
  struct Row {
    const char *Name;
    std::function<std::uint64_t()> Hold;
    std::size_t Stops;
  };
  auto Place = [&] {
    Coordinator.submit(request(1), 1, Now);
    return Sink.Dispatches.back().second.tasks(0).order();
  };
  const Row Rows[] = {
      {"wanted", Place, 0},
      {"given up when its agent was lost",
       [&] {
         std::uint64_t Order = Place();
         advance(1000ms);
         LONGS_EQUAL(1, Answers.Answers.size());
         return Order;
       },
       1},
      {"given up, with a newer placement of the job there",
       [&] {
         std::uint64_t Order = Place();
         advance(1000ms);
         reportLoad("a");
         Place();
         return Order;
       },
       1},
      {"the stop was lost",
       [&] {
         std::uint64_t Order = Place();
         Coordinator.cancel("j", "test", Now);
         return Order;
       },
       1},
  };
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    std::uint64_t Order = Row.Hold();
    Sink.Stops.clear();
    listHeldOrders("a", {Order});
    LONGS_EQUAL_TEXT(Row.Stops, Sink.Stops.size(), Row.Name);
    // A newer placement of the same job is not stopped.
    if (Row.Stops > 0)
      CHECK_TEXT(Sink.StoppedOrders == std::set<std::uint64_t>{Order},
                 Row.Name);
    // The runs end before the next row.
    Coordinator.cancel("j", "test", Now);
    advance(2000ms);
    listHeldOrders("a", {});
    advance(600ms);
    listHeldOrders("a", {});
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}
