#include "tests/agent/keeper_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

// What the keeper sends to entries: ends of runs and offers of free room.
TEST_GROUP_BASE(KeeperUpdatesTest, KeeperFixture){};

// An entry answers its caller only when all tasks of a job are done.
TEST(KeeperUpdatesTest, EndsOfOneJobAreSentTogetherWithTheLast) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 3), Now);
  end(Keeper, 0, RunOutcome::Done);
  end(Keeper, 1, RunOutcome::Done);
  LONGS_EQUAL(0, Sink.Updates.size());
  end(Keeper, 2, RunOutcome::Done);
  LONGS_EQUAL(3, Sink.Updates.size());
}

TEST(KeeperUpdatesTest, AnEndHeldBackIsSentSoonAnyway) {
  struct Row {
    const char *Name;
    std::function<void(LeaseKeeper &)> Prompt;
    std::size_t Updates;
  };
  const Row Rows[] = {
      {"time", [&](LeaseKeeper &Keeper) { pass(Keeper, 60ms); }, 1},
      {"a failure",
       [&](LeaseKeeper &Keeper) { end(Keeper, 1, RunOutcome::Failed); }, 2},
      {"a renewal",
       [&](LeaseKeeper &Keeper) {
         Keeper.onMessage(EntryA, renewal(stamp()), Now);
       },
       1}};
  for (const Row &Row : Rows) {
    Port.Starts.clear();
    Sink.Updates.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper);
    Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 3), Now);
    end(Keeper, 0, RunOutcome::Done);
    LONGS_EQUAL_TEXT(0, Sink.Updates.size(), Row.Name);
    Row.Prompt(Keeper);
    LONGS_EQUAL_TEXT(Row.Updates, Sink.Updates.size(), Row.Name);
    CHECK_TEXT(Sink.Updates[0].event() == peer::LEASED_DONE, Row.Name);
  }
}

TEST(KeeperUpdatesTest, CountsStartsThatMissTheirObjective) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds Waits;
    std::uint64_t Late;
  };
  const Row Rows[] = {{"in time", 60ms, 0}, {"late", 140ms, 1}};
  for (const Row &Case : Rows) {
    Port.Starts.clear();
    Ends = 0;
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper, 1000);
    Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
    LONGS_EQUAL_TEXT(1000, Keeper.usedRoom().cpu_milli(), Case.Name);
    Keeper.onMessage(EntryA, dispatch("k", stamp(), 1000, 100), Now);
    pass(Keeper, Case.Waits);
    end(Keeper, 0, RunOutcome::Done);
    LONGS_EQUAL_TEXT(2, Keeper.counters().Started, Case.Name);
    LONGS_EQUAL_TEXT(Case.Late, Keeper.counters().StartedLate, Case.Name);
  }
}

TEST(KeeperUpdatesTest, LostUpdatesAreResentWhileTheEntryRenewsItsLease) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  end(Keeper, 0, RunOutcome::Done);
  auto Sent = std::make_shared<peer::Envelope>();
  *Sent->add_messages()->mutable_leased_update() = Sink.Updates.back();
  Sent->add_messages()->mutable_worker_load();
  Keeper.onUndelivered({EntryA, Now.Steady, Sent}, Now);
  LONGS_EQUAL(2, Sink.Updates.size());
  CHECK(Sink.Updates.back().event() == peer::LEASED_DONE);
  CHECK(Sink.Updates.back().order() == LastOrder);
  Now.Steady += 2s;
  Keeper.tick(Now);
  Keeper.onUndelivered({EntryA, Now.Steady, Sent}, Now);
  LONGS_EQUAL(2, Sink.Updates.size());
}

TEST(KeeperUpdatesTest, EveryEndIsReportedOnce) {
  struct Row {
    RunOutcome Outcome;
    peer::LeasedEvent Expected;
    peer::LeasedRefusal Blame = peer::REFUSAL_NONE;
  };
  const Row Rows[] = {
      {RunOutcome::Done, peer::LEASED_DONE},
      {RunOutcome::Failed, peer::LEASED_FAILED},
      {RunOutcome::Stopped, peer::LEASED_ENDED_EARLY},
      {RunOutcome::Lapsed, peer::LEASED_ENDED_EARLY},
      {RunOutcome::Unanswered, peer::LEASED_ENDED_EARLY, peer::REFUSAL_WORKER},
      {RunOutcome::Other, peer::LEASED_ENDED_EARLY}};
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::size_t Start = 0;
  for (const Row &Row : Rows) {
    Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
    end(Keeper, Start++, Row.Outcome);
    LONGS_EQUAL(Start, Sink.Updates.size());
    CHECK(Sink.Updates.back().event() == Row.Expected);
    CHECK(Sink.Updates.back().refusal() == Row.Blame);
    // A later run of the same task has a higher number.
    LONGS_EQUAL(Start, Port.Starts.back().Run.Run);
  }
}

// A start would be lost with the worker and extend the lease after which the
// runs there count as ended.
TEST(KeeperUpdatesTest, NothingIsStartedAfterSeveralHoldsWithoutAReply) {
  WorkerReply NoConnection;
  NoConnection.Answered = true;
  NoConnection.Refusal = WorkerRefusal::Unhealthy;
  struct Row {
    const char *Name;
    std::size_t FailedHolds;
    WorkerReply Failure;
    bool RepliesAgain;
    bool Starts;
  };
  const Row Rows[] = {
      {"it replies", 0, WorkerReply(), false, true},
      {"one call was lost", 1, WorkerReply(), false, true},
      {"as many as a lossy link loses", 3, WorkerReply(), false, true},
      {"it does not reply", 4, WorkerReply(), false, false},
      {"it replies again", 4, WorkerReply(), true, true},
      {"it refuses connections, so that a start fails at once", 4, NoConnection,
       false, true}};
  for (const Row &Row : Rows) {
    for (bool MayWait : {false, true}) {
      Port.Starts.clear();
      Sink.Updates.clear();
      LeaseKeeper Keeper(optionsWith(true), Sink, Port);
      attach(Keeper);
      for (std::size_t I = 0; I < Row.FailedHolds; ++I)
        Keeper.session().onHoldReply({WorkerId}, Row.Failure, Now);
      if (Row.RepliesAgain)
        Keeper.session().onHoldReply({WorkerId}, plainReply(), Now);
      peer::Message Order = dispatch("j", stamp());
      Order.mutable_leased_dispatch()->set_start_or_refuse(!MayWait);
      Keeper.onMessage(EntryA, Order, Now);
      LONGS_EQUAL_TEXT(Row.Starts ? 1 : 0, Port.Starts.size(), Row.Name);
      bool Refused = !Row.Starts && !MayWait;
      LONGS_EQUAL_TEXT(Refused ? 1 : 0, Sink.Updates.size(), Row.Name);
      if (Refused)
        CHECK_TEXT(Sink.Updates[0].refusal() == peer::REFUSAL_BUSY, Row.Name);
      // A task that may wait starts with the worker's next reply.
      Keeper.session().onHoldReply({WorkerId}, plainReply(), Now);
      Keeper.tick(Now);
      LONGS_EQUAL_TEXT(Refused ? 0 : 1, Port.Starts.size(), Row.Name);
    }
  }
}

TEST(KeeperUpdatesTest, FreedRoomIsOfferedToTheMostUrgentInterest) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 2000);
  Keeper.onMessage(EntryA, dispatch("long", stamp(), 1000, 500, 2), Now);
  Keeper.onMessage(EntryA, dispatch("queued", stamp(), 1000, 300, 1), Now);
  Keeper.onMessage(EntryB, interest("later", 1, 90), Now);
  Keeper.onMessage(EntryB, interest("urgent", 1, 80), Now);
  LONGS_EQUAL(0, Sink.Offers.size());
  end(Keeper, 0, RunOutcome::Done);
  LONGS_EQUAL(1, Sink.Offers.size());
  STRCMP_EQUAL("urgent", Sink.Offers[0].job().c_str());
  // Its room is reserved: nothing else starts in it.
  LONGS_EQUAL(2, Port.Starts.size());
  peer::Message Order = dispatch("urgent", stamp(), 1000, 80, 1);
  Order.mutable_leased_dispatch()->set_offer(Sink.Offers[0].offer());
  Order.mutable_leased_dispatch()->set_start_or_refuse(true);
  Keeper.onMessage(EntryB, Order, Now);
  LONGS_EQUAL(3, Port.Starts.size());
  STRCMP_EQUAL("urgent", Port.Starts[2].Run.Job.c_str());
}

TEST(KeeperUpdatesTest, OfferedRoomThatIsNotUsedIsReleased) {
  struct Row {
    const char *Name;
    bool Declined;
  };
  const Row Rows[] = {{"declined", true}, {"no answer", false}};
  for (const Row &Row : Rows) {
    Sink.Offers.clear();
    Port.Starts.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper, 1000);
    Keeper.onMessage(EntryB, interest("urgent", 2, 80), Now);
    LONGS_EQUAL_TEXT(1, Sink.Offers.size(), Row.Name);
    LONGS_EQUAL_TEXT(1, Sink.Offers[0].tasks(), Row.Name);
    Keeper.onMessage(EntryA, dispatch("queued", stamp(), 1000, 300, 1), Now);
    LONGS_EQUAL_TEXT(0, Port.Starts.size(), Row.Name);
    if (Row.Declined)
      Keeper.onMessage(EntryB, decline(Sink.Offers[0].offer()), Now);
    else
      pass(Keeper, 100ms);
    LONGS_EQUAL_TEXT(1, Port.Starts.size(), Row.Name);
    // An entry that declines has no more tasks waiting.
    if (Row.Declined)
      LONGS_EQUAL_TEXT(1, Sink.Offers.size(), Row.Name);
  }
}

// Offer numbers start over with each incarnation of an agent, and two entries
// may have the same job.
TEST(KeeperUpdatesTest, AnEntryRepliesOnlyForItsOwnOffersAndJobs) {
  struct Row {
    const char *Name;
    PeerRef From;
    std::size_t Starts;
    std::size_t Offers;
  };
  const Row Rows[] = {{"its own", EntryB, 1, 1}, {"another's", EntryA, 0, 2}};
  for (const Row &Row : Rows) {
    Sink.Offers.clear();
    Port.Starts.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper, 1000);
    Keeper.onMessage(EntryB, interest("urgent", 2, 500), Now);
    LONGS_EQUAL_TEXT(1, Sink.Offers.size(), Row.Name);
    Keeper.onMessage(EntryA, dispatch("queued", stamp(), 1000, 800, 1), Now);
    Keeper.onMessage(Row.From, decline(Sink.Offers[0].offer()), Now);
    LONGS_EQUAL_TEXT(Row.Starts, Port.Starts.size(), Row.Name);
    // It cannot withdraw the interest of another entry either.
    Keeper.onMessage(Row.From, interest("urgent", 0, 0), Now);
    pass(Keeper, 40ms);
    LONGS_EQUAL_TEXT(Row.Offers, Sink.Offers.size(), Row.Name);
  }
}

TEST(KeeperUpdatesTest, ALeavingAgentOffersNoRoom) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.leave("test", Now);
  Keeper.onMessage(EntryB, interest("urgent", 1, 80), Now);
  LONGS_EQUAL(0, Sink.Offers.size());
}

TEST(KeeperUpdatesTest, LoadReportsCarryTheTimesLeftOfTheWorker) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds Cold;
    std::optional<std::chrono::milliseconds> Left;
    std::chrono::milliseconds Passed;
    std::uint32_t ColdLeftMs;
    std::uint32_t LeftMs;
  };
  const Row Rows[] = {{"nothing stated", 0ms, std::nullopt, 0ms, 0, 0},
                      {"cold", 300ms, std::nullopt, 0ms, 300, 0},
                      {"less cold", 300ms, std::nullopt, 100ms, 200, 0},
                      {"warm again", 300ms, std::nullopt, 400ms, 0, 0},
                      {"about to leave", 0ms, 500ms, 100ms, 0, 400},
                      {"about to end", 0ms, 100ms, 200ms, 0, 1}};
  for (const Row &Row : Rows) {
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    WorkerProfile Profile;
    Profile.Id = WorkerId;
    Profile.Room.set_cpu_milli(4000);
    Profile.ColdLeft = Row.Cold;
    Profile.TimeLeft = Row.Left;
    Keeper.onProfile(Profile, Now);
    pass(Keeper, Row.Passed);
    Keeper.onMessage(EntryA, renewal(stamp()), Now);
    LONGS_EQUAL_TEXT(Row.ColdLeftMs, Sink.Load.cold_left_ms(), Row.Name);
    LONGS_EQUAL_TEXT(Row.LeftMs, Sink.Load.left_ms(), Row.Name);
  }
}
