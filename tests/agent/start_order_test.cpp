#include "agent/start_order.h"
#include "tests/agent/keeper_fixture.h"

#include <algorithm>
#include <random>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint At{std::chrono::hours(1)};
constexpr std::chrono::milliseconds Bound = StartOrderOptions().MaxPassedOver;

WaitingTask waiting(std::uint32_t Priority, std::chrono::milliseconds Slack,
                    TimePoint PassedOverSince = TimePoint::max()) {
  return {Priority, At + Slack, PassedOverSince};
}

} // namespace

TEST_GROUP(StartOrderTest) { StartOrder Order{StartOrderOptions()}; };

TEST(StartOrderTest, WhichOfTwoTasksStartsFirst) {
  struct Row {
    const char *Name;
    WaitingTask First;
    WaitingTask Second;
  };
  const Row Rows[] = {
      {"one priority: the earlier latest start", waiting(1, 50ms),
       waiting(1, 60ms)},
      {"the more urgent, with more slack", waiting(0, 90ms), waiting(2, 10ms)},
      {"in time before late, though less urgent", waiting(2, 10ms),
       waiting(0, -10ms)},
      {"due now is in time", waiting(2, 0ms), waiting(0, -1ms)},
      {"among late tasks the more urgent", waiting(0, -10ms),
       waiting(1, -90ms)},
      {"among late tasks of one priority the earlier latest start",
       waiting(1, -90ms), waiting(1, -10ms)},
      {"passed over for less than the bound", waiting(0, 90ms),
       waiting(2, 10ms, At - Bound + 1ms)},
      {"passed over for the bound", waiting(2, 10ms, At - Bound),
       waiting(0, 90ms)},
      {"passed over for the bound, later latest start", waiting(0, 5ms),
       waiting(2, 10ms, At - Bound)},
      {"passed over and late by now", waiting(0, 90ms),
       waiting(2, -10ms, At - Bound)},
  };
  for (const Row &Row : Rows) {
    CHECK_TEXT(Order.precedes(Row.First, Row.Second, At), Row.Name);
    CHECK_FALSE_TEXT(Order.precedes(Row.Second, Row.First, At), Row.Name);
  }
}

TEST(StartOrderTest, WhichWaitingTasksAStartPassesOver) {
  struct Row {
    const char *Name;
    WaitingTask Started;
    WaitingTask Waiting;
    bool IsPassedOver;
  };
  const Row Rows[] = {
      {"less urgent, earlier latest start", waiting(0, 90ms), waiting(1, 50ms),
       true},
      {"less urgent, later latest start", waiting(0, 40ms), waiting(1, 50ms),
       false},
      {"one priority", waiting(1, 90ms), waiting(1, 50ms), false},
      {"more urgent", waiting(1, 90ms), waiting(0, 50ms), false},
  };
  for (const Row &Row : Rows) {
    WaitingTask Waiting = Row.Waiting;
    Order.noteStarted(Row.Started, Waiting, At);
    CHECK_TEXT((Waiting.PassedOverSince == At) == Row.IsPassedOver, Row.Name);
    // Only the first time counts.
    Order.noteStarted(Row.Started, Waiting, At + 5ms);
    CHECK_TEXT((Waiting.PassedOverSince == At) == Row.IsPassedOver, Row.Name);
  }
}

// Entries that send no priorities must see the order by latest start alone.
TEST(StartOrderTest, WithOnePriorityOnlyTheLatestStartCounts) {
  std::mt19937_64 Random(1);
  std::uniform_int_distribution<int> Slack(-100, 100);
  for (std::uint32_t Priority : {0U, 3U}) {
    std::vector<WaitingTask> Tasks(300);
    for (WaitingTask &Task : Tasks)
      Task = waiting(Priority, std::chrono::milliseconds(Slack(Random)));
    for (const WaitingTask &Started : Tasks)
      for (WaitingTask &Other : Tasks)
        Order.noteStarted(Started, Other, At - 2 * Bound);
    std::vector<std::size_t> Sorted(Tasks.size());
    for (std::size_t I = 0; I < Sorted.size(); ++I)
      Sorted[I] = I;
    std::vector<std::size_t> ByLatestStart = Sorted;
    std::ranges::stable_sort(Sorted, [&](std::size_t Left, std::size_t Right) {
      return Order.precedes(Tasks[Left], Tasks[Right], At);
    });
    std::ranges::stable_sort(ByLatestStart,
                             [&](std::size_t Left, std::size_t Right) {
                               const WaitingTask &A = Tasks[Left];
                               const WaitingTask &B = Tasks[Right];
                               if (A.isLate(At) != B.isLate(At))
                                 return B.isLate(At);
                               return A.StartBy < B.StartBy;
                             });
    CHECK(Sorted == ByLatestStart);
  }
}

TEST_GROUP_BASE(KeeperStartOrderTest, KeeperFixture){};

TEST(KeeperStartOrderTest, AnAgentStartsInTheOrderThatDispatchesStateOrToday) {
  struct Row {
    const char *Name;
    std::uint32_t LongPriority;
    const char *First;
    const char *Second;
  };
  const Row Rows[] = {{"no priorities", 0, "long", "short"},
                      {"the long one is less urgent", 2, "short", "long"}};
  for (const Row &Row : Rows) {
    Port.Starts.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper, 1000);
    Keeper.onMessage(EntryA, dispatch("first", stamp()), Now);
    peer::Message Long = dispatch("long", stamp(), 1000, 50);
    Long.mutable_leased_dispatch()->set_priority(Row.LongPriority);
    Keeper.onMessage(EntryA, Long, Now);
    Keeper.onMessage(EntryA, dispatch("short", stamp(), 1000, 90), Now);
    end(Keeper, 0, RunOutcome::Done);
    end(Keeper, 1, RunOutcome::Done);
    LONGS_EQUAL_TEXT(3, Port.Starts.size(), Row.Name);
    STRCMP_EQUAL_TEXT(Row.First, Port.Starts[1].Run.Job.c_str(), Row.Name);
    STRCMP_EQUAL_TEXT(Row.Second, Port.Starts[2].Run.Job.c_str(), Row.Name);
  }
}

// The urgent tasks alone take all room.
TEST(KeeperStartOrderTest, ATaskIsPassedOverForABoundedTime) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.onMessage(EntryA, dispatch("first", stamp()), Now);
  peer::Message Long = dispatch("long", stamp(), 1000, 300);
  Long.mutable_leased_dispatch()->set_priority(2);
  Keeper.onMessage(EntryA, Long, Now);
  std::size_t Started = 1;
  for (int I = 0; Port.Starts.back().Run.Job != "long"; ++I) {
    CHECK(I < 10);
    Keeper.onMessage(
        EntryA, dispatch("short" + std::to_string(I), stamp(), 1000, 320), Now);
    end(Keeper, Started - 1, RunOutcome::Done);
    LONGS_EQUAL(++Started, Port.Starts.size());
    pass(Keeper, 20ms);
  }
  CHECK(Started > 3);
}
