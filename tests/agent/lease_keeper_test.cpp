#include "tests/agent/keeper_fixture.h"

#include <functional>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(LeaseKeeperTest, KeeperFixture){};

TEST(LeaseKeeperTest, RunsStopWhenTheirEntryBecomesSilent) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
  pass(Keeper, 780ms);
  LONGS_EQUAL(0, Port.Stops.size());
  pass(Keeper, 40ms);
  LONGS_EQUAL(1, Port.Stops.size());
}

TEST(LeaseKeeperTest, ARenewalKeepsRunsAndReturnsANewStamp) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  for (int I = 0; I < 10; ++I) {
    pass(Keeper, 200ms);
    Keeper.onMessage(EntryA, renewal(stamp()), Now);
    LONGS_EQUAL(stamp(), Sink.Load.stamp());
  }
  LONGS_EQUAL(0, Port.Stops.size());
}

// A restarted entry does not know what it sent before, and renews its lease
// here for other jobs. The callers of the old jobs have them run elsewhere.
TEST(LeaseKeeperTest, ARestartedEntryKeepsNoRunsOfItsEarlierIncarnation) {
  struct Row {
    const char *Name;
    std::uint64_t Incarnation;
    std::size_t Stops;
  };
  const Row Rows[] = {
      {"the same incarnation", 5, 0},
      {"a later incarnation", 6, 1},
      {"a later incarnation after its clock was set back", 4, 1}};
  for (const Row &Row : Rows) {
    Port.Stops.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper);
    const PeerRef Before{EntryA.Node, EntryA.Address, 5};
    const PeerRef After{EntryA.Node, EntryA.Address, Row.Incarnation};
    Keeper.onMessage(Before, dispatch("j", stamp()), Now);
    Keeper.onMessage(EntryB, dispatch("other", stamp()), Now);
    pass(Keeper, 200ms);
    // Another role on the same node, with its own incarnation.
    Keeper.onMessage({EntryA.Node, EntryA.Address, 99}, peer::Message(), Now);
    LONGS_EQUAL_TEXT(0, Port.Stops.size(), Row.Name);
    Keeper.onMessage(After, renewal(stamp()), Now);
    LONGS_EQUAL_TEXT(Row.Stops, Port.Stops.size(), Row.Name);
    // What it sends now belongs to its new incarnation.
    Keeper.onMessage(After, dispatch("new", stamp()), Now);
    Keeper.onMessage(After, renewal(stamp()), Now);
    LONGS_EQUAL_TEXT(Row.Stops, Port.Stops.size(), Row.Name);
  }
}

// The sender of a delayed renewal may be gone by the time it arrives. Counted
// from its arrival, the renewal would keep runs alive past the time at which
// the caller may have them started elsewhere.
TEST(LeaseKeeperTest, ADelayedRenewalExtendsNoLease) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  pass(Keeper, 700ms);
  Keeper.onMessage(EntryA, renewal(Sent), Now);
  pass(Keeper, 120ms);
  LONGS_EQUAL(1, Port.Stops.size());
}

TEST(LeaseKeeperTest, CountedFromArrivalADelayedRenewalWouldExtendTheLease) {
  LeaseKeeper Keeper(optionsWith(false), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  pass(Keeper, 700ms);
  Keeper.onMessage(EntryA, renewal(Sent), Now);
  pass(Keeper, 120ms);
  LONGS_EQUAL(0, Port.Stops.size());
}

TEST(LeaseKeeperTest, ADispatchWithAnOldStampIsRefused) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  pass(Keeper, 2000ms);
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  LONGS_EQUAL(0, Port.Starts.size());
  LONGS_EQUAL(1, Sink.Updates.size());
  CHECK(Sink.Updates[0].event() == peer::LEASED_NOT_STARTED);
  CHECK(Sink.Updates[0].refusal() == peer::REFUSAL_STALE);
  // The next dispatch, with the stamp from the refusal, is accepted.
  Keeper.onMessage(EntryA, dispatch("j", Sink.Updates[0].load().stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
}

// A renewal takes a round trip to bring a new stamp. A task accepted with a
// stamp that is nearly too old would lapse before that.
TEST(LeaseKeeperTest, ADispatchThatLeavesNoTimeForARenewalIsRefused) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  pass(Keeper, 600ms);
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  LONGS_EQUAL(0, Port.Starts.size());
  CHECK(Sink.Updates.back().refusal() == peer::REFUSAL_STALE);
}

TEST(LeaseKeeperTest, ATaskThatRunsForOneEntryStartsForNoOther) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  Keeper.onMessage(EntryB, dispatch("j", stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
  CHECK(Sink.Updates.back().refusal() == peer::REFUSAL_OTHER_OWNER);
}

TEST(LeaseKeeperTest, ADuplicateDispatchStartsOnce) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  peer::Message Order = dispatch("j", stamp());
  Keeper.onMessage(EntryA, Order, Now);
  Keeper.onMessage(EntryA, Order, Now);
  LONGS_EQUAL(1, Port.Starts.size());
  LONGS_EQUAL(0, Sink.Updates.size());
}

TEST(LeaseKeeperTest, RoomLimitsRunsAndUrgentTasksGoFirst) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 2000);
  Keeper.onMessage(EntryA, dispatch("full", stamp(), 1000, 500, 2), Now);
  Keeper.onMessage(EntryA, dispatch("calm", stamp(), 1000, 500), Now);
  Keeper.onMessage(EntryA, dispatch("late", stamp(), 1000, -50), Now);
  Keeper.onMessage(EntryA, dispatch("urgent", stamp(), 1000, 50), Now);
  LONGS_EQUAL(2, Port.Starts.size());
  const char *Expected[] = {"urgent", "calm", "late"};
  for (std::size_t I = 0; I < 3; ++I) {
    end(Keeper, I, RunOutcome::Done);
    LONGS_EQUAL(3 + I, Port.Starts.size());
    STRCMP_EQUAL(Expected[I], Port.Starts.back().Run.Job.c_str());
  }
}

// The entry expects these tasks to start at once here, and can ask another
// agent sooner than they would start here.
TEST(LeaseKeeperTest, StartOrRefuseRefusesTasksThatDoNotFit) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 2000);
  Keeper.onMessage(EntryA, dispatch("runs", stamp()), Now);
  Keeper.onMessage(EntryB, dispatch("waits", stamp(), 2000), Now);
  peer::Message Order = dispatch("j", stamp(), 1000, 50, 3);
  Order.mutable_leased_dispatch()->set_start_or_refuse(true);
  Keeper.onMessage(EntryA, Order, Now);
  // One of the three tasks fits, since it is first in the queue's order.
  LONGS_EQUAL(2, Port.Starts.size());
  LONGS_EQUAL(2, Sink.Updates.size());
  for (const peer::LeasedUpdate &Update : Sink.Updates) {
    CHECK(Update.event() == peer::LEASED_NOT_STARTED);
    CHECK(Update.refusal() == peer::REFUSAL_BUSY);
    LONGS_EQUAL(2000, Update.load().others_cpu_milli());
  }
  LONGS_EQUAL(1, Keeper.queued());
}

// An entry that does not get a receipt cannot know whether its dispatch
// arrived.
TEST(LeaseKeeperTest, AResentDispatchStartsNothingAgain) {
  struct Row {
    const char *Name;
    RunOutcome Outcome;
    bool Ends;
    bool Leaves;
  };
  const Row Rows[] = {{"it runs", RunOutcome::Done, false, false},
                      {"it is done", RunOutcome::Done, true, false},
                      {"it has failed", RunOutcome::Failed, true, false},
                      {"it was not started", RunOutcome::Done, false, true}};
  for (const Row &Row : Rows) {
    Port.Starts.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper);
    if (Row.Leaves)
      Keeper.leave("test", Now);
    peer::Message Order = dispatch("j", stamp());
    Keeper.onMessage(EntryA, Order, Now);
    std::size_t Starts = Row.Leaves ? 0 : 1;
    if (Row.Ends)
      end(Keeper, 0, Row.Outcome);
    std::size_t UpdatesBefore = Sink.Updates.size();
    Keeper.onMessage(EntryA, Order, Now);
    LONGS_EQUAL_TEXT(Starts, Port.Starts.size(), Row.Name);
    LONGS_EQUAL_TEXT(UpdatesBefore, Sink.Updates.size(), Row.Name);
  }
}

TEST(LeaseKeeperTest, RepliesToRenewalsListThePlacementsOfTheEntry) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.onMessage(EntryA, dispatch("runs", stamp()), Now);
  Keeper.onMessage(EntryB, dispatch("other", stamp()), Now);
  Keeper.onMessage(EntryA, dispatch("waits", stamp()), Now);
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  CHECK(Sink.Load.lists_held());
  LONGS_EQUAL(2, Sink.Load.held_orders_size());
  end(Keeper, 0, RunOutcome::Done);
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  LONGS_EQUAL(1, Sink.Load.held_orders_size());
  LONGS_EQUAL(LastOrder, Sink.Load.held_orders(0));
}

// Entries must not mistake reports about one incarnation for those about
// another.
TEST(LeaseKeeperTest, EachWorkerIncarnationHasItsOwnNumber) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  LONGS_EQUAL(AgentIncarnation, Keeper.incarnation());
  Keeper.leave("test", Now);
  WorkerProfile Next;
  Next.Id = "w2";
  Keeper.onProfile(Next, Now);
  LONGS_EQUAL(AgentIncarnation, Keeper.incarnation());
  WorkerReply Gone;
  Gone.Answered = true;
  Gone.Refusal = WorkerRefusal::OtherIncarnation;
  Keeper.session().onHoldReply({WorkerId}, Gone, Now);
  LONGS_EQUAL(AgentIncarnation + 1, Keeper.incarnation());
  CHECK_FALSE(Keeper.isLeaving());
}

TEST(LeaseKeeperTest, AnAgentRaisesItsIncarnationAboveAKnownOne) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.raiseIncarnationAbove(AgentIncarnation - 1);
  LONGS_EQUAL(AgentIncarnation, Keeper.incarnation());
  Keeper.raiseIncarnationAbove(AgentIncarnation + 5);
  LONGS_EQUAL(AgentIncarnation + 6, Keeper.incarnation());
  Keeper.raiseIncarnationAbove(AgentIncarnation + 5);
  LONGS_EQUAL(AgentIncarnation + 6, Keeper.incarnation());
}

TEST(LeaseKeeperTest, FailuresInARowAreCountedUntilARunIsDone) {
  struct Row {
    RunOutcome Outcome;
    std::uint32_t Expected;
  };
  const Row Rows[] = {{RunOutcome::Failed, 1},  {RunOutcome::Unanswered, 2},
                      {RunOutcome::Stopped, 2}, {RunOutcome::Lapsed, 2},
                      {RunOutcome::Done, 0},    {RunOutcome::Failed, 1}};
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::size_t Start = 0;
  for (const Row &Row : Rows) {
    Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
    end(Keeper, Start++, Row.Outcome);
    LONGS_EQUAL(Row.Expected, Sink.Updates.back().load().failures_in_row());
  }
}

TEST(LeaseKeeperTest, ALeavingWorkerStartsNothingAndRejectsQueuedTasks) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.onMessage(EntryA, dispatch("runs", stamp()), Now);
  Keeper.onMessage(EntryA, dispatch("waits", stamp()), Now);
  WorkerProfile Draining;
  Draining.Id = WorkerId;
  Draining.Draining = true;
  Keeper.onProfile(Draining, Now);
  LONGS_EQUAL(1, Sink.Updates.size());
  CHECK(Sink.Updates[0].refusal() == peer::REFUSAL_LEAVING);
  end(Keeper, 0, RunOutcome::Done);
  Keeper.onMessage(EntryA, dispatch("new", stamp()), Now);
  CHECK(Sink.Updates.back().refusal() == peer::REFUSAL_LEAVING);
  LONGS_EQUAL(1, Port.Starts.size());
}

TEST(LeaseKeeperTest, AStalledRunIsStoppedOnlyAfterTheGivenTime) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 2), Now);
  peer::Message Stop;
  Stop.mutable_leased_stop()->set_job("j");
  Stop.mutable_leased_stop()->set_index(1);
  Stop.mutable_leased_stop()->set_longer_than_ms(200);
  pass(Keeper, 100ms);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(0, Port.Stops.size());
  pass(Keeper, 160ms);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(1, Port.Stops.size());
  LONGS_EQUAL(1, Port.Stops[0].Run.Index);
}

TEST(LeaseKeeperTest, AStopRejectsQueuedTasksAsNotStarted) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 2), Now);
  peer::Message Stop;
  Stop.mutable_leased_stop()->set_job("j");
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(1, Port.Stops.size());
  LONGS_EQUAL(1, Sink.Updates.size());
  CHECK(Sink.Updates[0].event() == peer::LEASED_NOT_STARTED);
  LONGS_EQUAL(1, Sink.Updates[0].index());
}
