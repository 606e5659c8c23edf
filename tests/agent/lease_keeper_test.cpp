#include "agent/lease_keeper.h"

#include <functional>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// A worker that starts what it is told to and ends it when a test says so.
class ObedientPort final : public WorkerPort {
public:
  void attach(const WorkerProfile &) override {}
  void start(const StartCall &Call) override { this->Starts.push_back(Call); }
  void stop(const StopCall &Call) override { this->Stops.push_back(Call); }
  void hold(const HoldCall &) override {}
  std::vector<StartCall> Starts;
  std::vector<StopCall> Stops;
};

class CollectingSink final : public PeerSink {
public:
  void send(const PeerRef &, peer::Message Message) override {
    if (Message.has_leased_update())
      this->Updates.push_back(Message.leased_update());
    else if (Message.has_worker_load())
      this->Load = Message.worker_load();
    else if (Message.has_leased_offer())
      this->Offers.push_back(Message.leased_offer());
  }
  std::vector<peer::LeasedOffer> Offers;
  std::vector<peer::LeasedUpdate> Updates;
  peer::WorkerLoad Load;
};

constexpr std::uint64_t Life = 7;
const PeerRef EntryA{"entry-a", "10.0.0.1:1"};
const PeerRef EntryB{"entry-b", "10.0.0.2:1"};

KeeperOptions optionsWith(bool CountFromEcho) {
  KeeperOptions Options;
  Options.Incarnation = Life;
  Options.LeasesCountFromEcho = CountFromEcho;
  return Options;
}

} // namespace

TEST_GROUP(LeaseKeeperTest) {
  ObedientPort Port;
  CollectingSink Sink;
  std::uint64_t LastOrder = 0;
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};

  void attach(LeaseKeeper & Keeper, std::uint32_t CpuMilli = 4000) {
    WorkerProfile Profile;
    Profile.Id = "w";
    Profile.Pool = "pool";
    Profile.Room.set_cpu_milli(CpuMilli);
    Profile.Room.set_memory_mb(1000);
    Keeper.onProfile(Profile, Now);
    WorkerReply Reply;
    Reply.Answered = true;
    Keeper.session().onHoldReply("w", Reply, Now);
  }
  peer::Message dispatch(const std::string &Job, std::uint64_t Stamp,
                         std::uint32_t CpuMilli = 1000,
                         std::int32_t StartByMs = 100,
                         std::uint32_t Tasks = 1) {
    peer::Message Message;
    peer::LeasedDispatch *Order = Message.mutable_leased_dispatch();
    Order->set_job(Job);
    Order->set_agent_incarnation(Life);
    Order->set_stamp(Stamp);
    Order->set_start_by_ms(StartByMs);
    Order->set_give_up_ms(2000);
    Order->mutable_needs()->set_cpu_milli(CpuMilli);
    for (std::uint32_t I = 0; I < Tasks; ++I) {
      peer::LeasedTask *Task = Order->add_tasks();
      Task->set_index(I);
      Task->set_attempt(1);
      Task->set_order(++this->LastOrder);
    }
    return Message;
  }
  peer::Message interest(const std::string &Job, std::uint32_t Tasks,
                         std::int32_t StartByMs) {
    peer::Message Message;
    peer::LeasedInterest *Told = Message.mutable_leased_interest();
    Told->set_job(Job);
    Told->set_agent_incarnation(Life);
    Told->mutable_needs()->set_cpu_milli(1000);
    Told->set_tasks(Tasks);
    Told->set_start_by_ms(StartByMs);
    return Message;
  }
  peer::Message decline(std::uint64_t Offer) {
    peer::Message Message;
    Message.mutable_offer_reply()->set_offer(Offer);
    return Message;
  }
  peer::Message renewal(std::uint64_t Stamp) {
    peer::Message Message;
    Message.mutable_lease_renewal()->set_agent_incarnation(Life);
    Message.mutable_lease_renewal()->set_stamp(Stamp);
    return Message;
  }
  std::uint64_t stamp() { return LeaseKeeper::stampAt(Now); }
  void pass(LeaseKeeper & Keeper, std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds Step = 0ms; Step < Time; Step += 20ms) {
      Now.Steady += 20ms;
      Keeper.tick(Now);
    }
  }
  void end(LeaseKeeper & Keeper, std::size_t Start, RunEnd How) {
    WorkerReply Reply;
    Reply.Answered = true;
    Reply.Ended.push_back({++this->Ends, this->Port.Starts[Start].Run, How});
    Keeper.session().onHoldReply("w", Reply, Now);
  }
  std::uint64_t Ends = 0;
};

TEST(LeaseKeeperTest, RunsStopWhenTheirEntryFallsSilent) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
  pass(Keeper, 780ms);
  LONGS_EQUAL(0, Port.Stops.size());
  pass(Keeper, 40ms);
  LONGS_EQUAL(1, Port.Stops.size());
}

TEST(LeaseKeeperTest, ARenewalKeepsRunsAndTellsTheNewStamp) {
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

// A restarted entry knows nothing of what it sent before, and renews its lease
// here for other jobs. The callers of the old ones have them run elsewhere.
TEST(LeaseKeeperTest, ARestartedEntryKeepsNothingOfItsEarlierLife) {
  struct Row {
    const char *Name;
    std::uint64_t Life;
    std::size_t Stops;
  };
  const Row Rows[] = {{"the same life", 5, 0},
                      {"a later life", 6, 1},
                      {"a later life after its clock was set back", 4, 1}};
  for (const Row &Row : Rows) {
    Port.Stops.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    attach(Keeper);
    const PeerRef Before{EntryA.Node, EntryA.Address, 5};
    const PeerRef After{EntryA.Node, EntryA.Address, Row.Life};
    Keeper.onMessage(Before, dispatch("j", stamp()), Now);
    Keeper.onMessage(EntryB, dispatch("other", stamp()), Now);
    pass(Keeper, 200ms);
    // Another role of the node, with a life of its own.
    Keeper.onMessage({EntryA.Node, EntryA.Address, 99}, peer::Message(), Now);
    LONGS_EQUAL_TEXT(0, Port.Stops.size(), Row.Name);
    Keeper.onMessage(After, renewal(stamp()), Now);
    LONGS_EQUAL_TEXT(Row.Stops, Port.Stops.size(), Row.Name);
    // What it sends now is its own.
    Keeper.onMessage(After, dispatch("new", stamp()), Now);
    Keeper.onMessage(After, renewal(stamp()), Now);
    LONGS_EQUAL_TEXT(Row.Stops, Port.Stops.size(), Row.Name);
  }
}

// A renewal that was held up on its way was sent by an entry that may be gone
// since: counted from its arrival it would keep runs alive past the time at
// which the caller may have them started elsewhere.
TEST(LeaseKeeperTest, AHeldUpRenewalExtendsNoLease) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  pass(Keeper, 700ms);
  Keeper.onMessage(EntryA, renewal(Sent), Now);
  pass(Keeper, 120ms);
  LONGS_EQUAL(1, Port.Stops.size());
}

TEST(LeaseKeeperTest, CountedFromArrivalAHeldUpRenewalWouldExtendIt) {
  LeaseKeeper Keeper(optionsWith(false), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  pass(Keeper, 700ms);
  Keeper.onMessage(EntryA, renewal(Sent), Now);
  pass(Keeper, 120ms);
  LONGS_EQUAL(0, Port.Stops.size());
}

TEST(LeaseKeeperTest, ADispatchOnOldNewsStartsNothingAndSaysSo) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::uint64_t Sent = stamp();
  pass(Keeper, 2000ms);
  Keeper.onMessage(EntryA, dispatch("j", Sent), Now);
  LONGS_EQUAL(0, Port.Starts.size());
  LONGS_EQUAL(1, Sink.Updates.size());
  CHECK(Sink.Updates[0].event() == peer::LEASED_NOT_STARTED);
  CHECK(Sink.Updates[0].refusal() == peer::REFUSAL_STALE);
  // With the stamp that came back, the next one is taken.
  Keeper.onMessage(EntryA, dispatch("j", Sink.Updates[0].load().stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
}

// A renewal takes a round trip to bring a new stamp: what is taken on a stamp
// that is nearly too old would lapse before.
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

TEST(LeaseKeeperTest, ADoubledDispatchStartsOnce) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  peer::Message Order = dispatch("j", stamp());
  Keeper.onMessage(EntryA, Order, Now);
  Keeper.onMessage(EntryA, Order, Now);
  LONGS_EQUAL(1, Port.Starts.size());
  LONGS_EQUAL(0, Sink.Updates.size());
}

TEST(LeaseKeeperTest, RoomBoundsWhatRunsAndUrgentTasksGoFirst) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 2000);
  Keeper.onMessage(EntryA, dispatch("full", stamp(), 1000, 500, 2), Now);
  Keeper.onMessage(EntryA, dispatch("calm", stamp(), 1000, 500), Now);
  Keeper.onMessage(EntryA, dispatch("late", stamp(), 1000, -50), Now);
  Keeper.onMessage(EntryA, dispatch("urgent", stamp(), 1000, 50), Now);
  LONGS_EQUAL(2, Port.Starts.size());
  const char *Expected[] = {"urgent", "calm", "late"};
  for (std::size_t I = 0; I < 3; ++I) {
    end(Keeper, I, RunEnd::Done);
    LONGS_EQUAL(3 + I, Port.Starts.size());
    STRCMP_EQUAL(Expected[I], Port.Starts.back().Run.Job.c_str());
  }
}

// The entry has sent it where it believes that it starts at once, and asks
// another agent sooner than it would start here.
TEST(LeaseKeeperTest, WhatMustNotWaitIsRefusedAtOnceWhereItDoesNotFit) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 2000);
  Keeper.onMessage(EntryA, dispatch("runs", stamp()), Now);
  Keeper.onMessage(EntryB, dispatch("waits", stamp(), 2000), Now);
  peer::Message Order = dispatch("j", stamp(), 1000, 50, 3);
  Order.mutable_leased_dispatch()->set_start_or_refuse(true);
  Keeper.onMessage(EntryA, Order, Now);
  // One of the three fits, as the first in order does.
  LONGS_EQUAL(2, Port.Starts.size());
  LONGS_EQUAL(2, Sink.Updates.size());
  for (const peer::LeasedUpdate &Update : Sink.Updates) {
    CHECK(Update.event() == peer::LEASED_NOT_STARTED);
    CHECK(Update.refusal() == peer::REFUSAL_BUSY);
    LONGS_EQUAL(2000, Update.load().others_cpu_milli());
  }
  LONGS_EQUAL(1, Keeper.queued());
}

// An entry answers only when all tasks of a job are done.
TEST(LeaseKeeperTest, EndsOfOneJobAreToldTogetherAndTheLastAtOnce) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 3), Now);
  end(Keeper, 0, RunEnd::Done);
  end(Keeper, 1, RunEnd::Done);
  LONGS_EQUAL(0, Sink.Updates.size());
  end(Keeper, 2, RunEnd::Done);
  LONGS_EQUAL(3, Sink.Updates.size());
}

TEST(LeaseKeeperTest, AnEndThatWaitsForOthersIsToldSoonAnyhow) {
  struct Row {
    const char *Name;
    std::function<void(LeaseKeeper &)> Prompt;
    std::size_t Updates;
  };
  const Row Rows[] = {
      {"time", [&](LeaseKeeper &Keeper) { pass(Keeper, 60ms); }, 1},
      {"a failure",
       [&](LeaseKeeper &Keeper) { end(Keeper, 1, RunEnd::Failed); }, 2},
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
    end(Keeper, 0, RunEnd::Done);
    LONGS_EQUAL_TEXT(0, Sink.Updates.size(), Row.Name);
    Row.Prompt(Keeper);
    LONGS_EQUAL_TEXT(Row.Updates, Sink.Updates.size(), Row.Name);
    CHECK_TEXT(Sink.Updates[0].event() == peer::LEASED_DONE, Row.Name);
  }
}

// An entry that misses a receipt cannot know whether its dispatch arrived.
TEST(LeaseKeeperTest, ADispatchThatIsSentAgainStartsNothingAgain) {
  struct Row {
    const char *Name;
    RunEnd How;
    bool Ends;
    bool Leaves;
  };
  const Row Rows[] = {{"it runs", RunEnd::Done, false, false},
                      {"it is done", RunEnd::Done, true, false},
                      {"it has failed", RunEnd::Failed, true, false},
                      {"it was not started", RunEnd::Done, false, true}};
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
      end(Keeper, 0, Row.How);
    std::size_t Told = Sink.Updates.size();
    Keeper.onMessage(EntryA, Order, Now);
    LONGS_EQUAL_TEXT(Starts, Port.Starts.size(), Row.Name);
    LONGS_EQUAL_TEXT(Told, Sink.Updates.size(), Row.Name);
  }
}

TEST(LeaseKeeperTest, UpdatesAreToldAgainWhileTheirEntryRenewsItsLease) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  end(Keeper, 0, RunEnd::Done);
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

TEST(LeaseKeeperTest, AnswersToRenewalsListWhatTheAskingEntryHasHere) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.onMessage(EntryA, dispatch("runs", stamp()), Now);
  Keeper.onMessage(EntryB, dispatch("other", stamp()), Now);
  Keeper.onMessage(EntryA, dispatch("waits", stamp()), Now);
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  CHECK(Sink.Load.lists_held());
  LONGS_EQUAL(2, Sink.Load.held_orders_size());
  end(Keeper, 0, RunEnd::Done);
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  LONGS_EQUAL(1, Sink.Load.held_orders_size());
  LONGS_EQUAL(LastOrder, Sink.Load.held_orders(0));
}

// Entries must not take what they hear of one life for news of another.
TEST(LeaseKeeperTest, EachLifeOfTheWorkerHasANumberOfItsOwn) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  LONGS_EQUAL(Life, Keeper.incarnation());
  Keeper.leave("test", Now);
  WorkerProfile Next;
  Next.Id = "w2";
  Keeper.onProfile(Next, Now);
  LONGS_EQUAL(Life, Keeper.incarnation());
  WorkerReply Gone;
  Gone.Answered = true;
  Gone.Refusal = WorkerRefusal::OtherLife;
  Keeper.session().onHoldReply("w", Gone, Now);
  LONGS_EQUAL(Life + 1, Keeper.incarnation());
  CHECK_FALSE(Keeper.isLeaving());
}

TEST(LeaseKeeperTest, AnOutrankedAgentTakesAHigherIncarnation) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  Keeper.outrank(Life - 1);
  LONGS_EQUAL(Life, Keeper.incarnation());
  Keeper.outrank(Life + 5);
  LONGS_EQUAL(Life + 6, Keeper.incarnation());
  Keeper.outrank(Life + 5);
  LONGS_EQUAL(Life + 6, Keeper.incarnation());
}

TEST(LeaseKeeperTest, FailuresInARowAreCountedUntilARunIsDone) {
  struct Row {
    RunEnd How;
    std::uint32_t Expected;
  };
  const Row Rows[] = {{RunEnd::Failed, 1},  {RunEnd::Unanswered, 2},
                      {RunEnd::Stopped, 2}, {RunEnd::Lapsed, 2},
                      {RunEnd::Done, 0},    {RunEnd::Failed, 1}};
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::size_t Start = 0;
  for (const Row &Row : Rows) {
    Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
    end(Keeper, Start++, Row.How);
    LONGS_EQUAL(Row.Expected, Sink.Updates.back().load().failures_in_row());
  }
}

TEST(LeaseKeeperTest, EveryEndIsToldOnce) {
  struct Row {
    RunEnd How;
    peer::LeasedEvent Expected;
    peer::LeasedRefusal Blame = peer::REFUSAL_NONE;
  };
  const Row Rows[] = {
      {RunEnd::Done, peer::LEASED_DONE},
      {RunEnd::Failed, peer::LEASED_FAILED},
      {RunEnd::Stopped, peer::LEASED_ENDED_EARLY},
      {RunEnd::Lapsed, peer::LEASED_ENDED_EARLY},
      {RunEnd::Unanswered, peer::LEASED_ENDED_EARLY, peer::REFUSAL_WORKER},
      {RunEnd::Other, peer::LEASED_ENDED_EARLY}};
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  std::size_t Start = 0;
  for (const Row &Row : Rows) {
    Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
    end(Keeper, Start++, Row.How);
    LONGS_EQUAL(Start, Sink.Updates.size());
    CHECK(Sink.Updates.back().event() == Row.Expected);
    CHECK(Sink.Updates.back().refusal() == Row.Blame);
    // A later run of the same task has a higher number.
    LONGS_EQUAL(Start, Port.Starts.back().Run.Run);
  }
}

TEST(LeaseKeeperTest, ALeavingWorkerGetsNothingAndGivesBackWhatWaits) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.onMessage(EntryA, dispatch("runs", stamp()), Now);
  Keeper.onMessage(EntryA, dispatch("waits", stamp()), Now);
  WorkerProfile Draining;
  Draining.Id = "w";
  Draining.Draining = true;
  Keeper.onProfile(Draining, Now);
  LONGS_EQUAL(1, Sink.Updates.size());
  CHECK(Sink.Updates[0].refusal() == peer::REFUSAL_LEAVING);
  end(Keeper, 0, RunEnd::Done);
  Keeper.onMessage(EntryA, dispatch("new", stamp()), Now);
  CHECK(Sink.Updates.back().refusal() == peer::REFUSAL_LEAVING);
  LONGS_EQUAL(1, Port.Starts.size());
}

TEST(LeaseKeeperTest, AStalledRunIsStoppedOnlyIfItHasRunForSoLong) {
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

TEST(LeaseKeeperTest, AStopProvesThatWhatWaitsHasNotStarted) {
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

TEST(LeaseKeeperTest, FreedRoomIsOfferedToTheMostUrgentThatWaitElsewhere) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 2000);
  Keeper.onMessage(EntryA, dispatch("long", stamp(), 1000, 500, 2), Now);
  Keeper.onMessage(EntryA, dispatch("queued", stamp(), 1000, 300, 1), Now);
  Keeper.onMessage(EntryB, interest("later", 1, 90), Now);
  Keeper.onMessage(EntryB, interest("urgent", 1, 80), Now);
  LONGS_EQUAL(0, Sink.Offers.size());
  end(Keeper, 0, RunEnd::Done);
  LONGS_EQUAL(1, Sink.Offers.size());
  STRCMP_EQUAL("urgent", Sink.Offers[0].job().c_str());
  // Its room is held: nothing else starts in it.
  LONGS_EQUAL(2, Port.Starts.size());
  peer::Message Order = dispatch("urgent", stamp(), 1000, 80, 1);
  Order.mutable_leased_dispatch()->set_offer(Sink.Offers[0].offer());
  Order.mutable_leased_dispatch()->set_start_or_refuse(true);
  Keeper.onMessage(EntryB, Order, Now);
  LONGS_EQUAL(3, Port.Starts.size());
  STRCMP_EQUAL("urgent", Port.Starts[2].Run.Job.c_str());
}

TEST(LeaseKeeperTest, OfferedRoomThatIsNotTakenUpIsUsedByOthers) {
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
    // Whoever declines has no more tasks that wait.
    if (Row.Declined)
      LONGS_EQUAL_TEXT(1, Sink.Offers.size(), Row.Name);
  }
}

// Offers are numbered anew in each life of an agent, and two entries may have
// the same job.
TEST(LeaseKeeperTest, AnEntryAnswersOnlyForItsOwnOffersAndJobs) {
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
    // Nor does it say that another's tasks wait no longer.
    Keeper.onMessage(Row.From, interest("urgent", 0, 0), Now);
    pass(Keeper, 40ms);
    LONGS_EQUAL_TEXT(Row.Offers, Sink.Offers.size(), Row.Name);
  }
}

TEST(LeaseKeeperTest, ALeavingAgentOffersNoRoom) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper, 1000);
  Keeper.leave("test", Now);
  Keeper.onMessage(EntryB, interest("urgent", 1, 80), Now);
  LONGS_EQUAL(0, Sink.Offers.size());
}
