// Tests that the lease of each placement at an agent is kept separately.

#include "tests/agent/keeper_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

using Jobs = std::set<std::string>;

TEST_GROUP_BASE(PlacementLeaseTest, KeeperFixture) {
  LeaseKeeper Keeper{optionsWith(true), Sink, Port};
  void setup() override { attach(Keeper); }
  /// Stops are repeated until they are confirmed, so each job counts once.
  std::set<std::string> stoppedJobs() const {
    std::set<std::string> Jobs;
    for (const StopCall &Call : Port.Stops)
      Jobs.insert(Call.Run.Job);
    return Jobs;
  }
  void renew(const std::vector<std::uint64_t> &Orders) {
    peer::Message Message;
    peer::LeaseRenewal *Renewal = Message.mutable_lease_renewal();
    Renewal->set_agent_incarnation(AgentIncarnation);
    Renewal->set_stamp(stamp());
    Renewal->mutable_orders()->Add(Orders.begin(), Orders.end());
    Keeper.onMessage(EntryA, Message, Now);
  }
};

TEST(PlacementLeaseTest, APlacementThatItsEntryNoLongerNamesLapses) {
  Keeper.onMessage(EntryA, dispatch("given-up", stamp()), Now);
  Keeper.onMessage(EntryA, dispatch("wanted", stamp()), Now);
  for (int I = 0; I < 5; ++I) {
    pass(Keeper, 200ms);
    renew({2});
  }
  CHECK(stoppedJobs() == Jobs{"given-up"});
}

TEST(PlacementLeaseTest, ADispatchRenewsThePlacementsThatItNames) {
  Keeper.onMessage(EntryA, dispatch("first", stamp()), Now);
  for (int I = 0; I < 5; ++I) {
    pass(Keeper, 200ms);
    peer::Message Next = dispatch("other", stamp());
    Next.mutable_leased_dispatch()->add_renewed(1);
    Keeper.onMessage(EntryA, Next, Now);
  }
  CHECK(stoppedJobs() == Jobs{"other"});
}

// Another entry may use the same order numbers.
TEST(PlacementLeaseTest, AnEntryRenewsOnlyItsOwnPlacements) {
  Keeper.onMessage(EntryB, dispatch("j", stamp()), Now);
  for (int I = 0; I < 5; ++I) {
    pass(Keeper, 200ms);
    renew({1});
  }
  CHECK(stoppedJobs() == Jobs{"j"});
}

TEST(PlacementLeaseTest, AStopOfNamedPlacementsLeavesOthersOfItsJob) {
  Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 3), Now);
  peer::Message Stop;
  Stop.mutable_leased_stop()->set_job("j");
  Stop.mutable_leased_stop()->add_orders(2);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(1, Port.Stops.size());
  LONGS_EQUAL(1, Port.Stops[0].Run.Index);
}

// After a suspension an agent reads the messages that have arrived before it
// checks the time. The entry may have advanced its copy of the stamp meanwhile.
TEST(PlacementLeaseTest, ARenewalReadBeforeTheClockRevivesNoLapsedLease) {
  Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
  Now.Steady += 1000ms;
  renew({1});
  CHECK(stoppedJobs() == Jobs{"j"});
}

TEST(PlacementLeaseTest, FreedRoomStartsNoTaskThatHasLapsed) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds StoodStill;
    std::int32_t GiveUpMs;
    std::size_t Starts;
  };
  const Row Rows[] = {{"in time", 100ms, 2000, 2},
                      {"its lease has lapsed", 900ms, 2000, 1},
                      {"it can no longer be in time", 400ms, 300, 1}};
  for (const Row &Row : Rows) {
    Port.Starts.clear();
    LeaseKeeper Other(optionsWith(true), Sink, Port);
    attach(Other, 1000);
    Other.onMessage(EntryA, dispatch("runs", stamp()), Now);
    peer::Message Waits = dispatch("waits", stamp());
    Waits.mutable_leased_dispatch()->set_give_up_ms(Row.GiveUpMs);
    Other.onMessage(EntryA, Waits, Now);
    Now.Steady += Row.StoodStill;
    end(Other, 0, RunOutcome::Done);
    LONGS_EQUAL_TEXT(Row.Starts, Port.Starts.size(), Row.Name);
  }
}

// Just when an entry's lease lapses, the agent may be suspended or its stops
// may get lost. The worker's own lease then ends the run, and must not add its
// length to the entry's lease.
TEST(PlacementLeaseTest, TheWorkersLeaseOutlastsNoLeaseOfItsRuns) {
  KeeperOptions Options = optionsWith(true);
  WorkerTime EntryLease = Options.EntryLease;
  Keeper.onMessage(EntryA, dispatch("given-up", stamp()), Now);
  Keeper.onMessage(EntryB, dispatch("wanted", stamp()), Now);
  auto RenewB = [&] { Keeper.onMessage(EntryB, renewal(stamp()), Now); };
  for (int I = 0; I < 10; ++I) {
    pass(Keeper, 100ms);
    RenewB();
    Keeper.session().onHoldReply({WorkerId}, plainReply(), Now);
  }
  CHECK(stoppedJobs() == Jobs{"given-up"});
  CHECK(Port.LeaseUntil > EntryLease);
  CHECK(Port.LeaseUntil <= EntryLease + Options.StopAllowance);
  // Nothing can be started under a lease that is about to end.
  Keeper.onMessage(EntryB, dispatch("late", stamp()), Now);
  LONGS_EQUAL(2, Port.Starts.size());
  // Once the stopped run has ended, the other one continues and the next one
  // starts.
  end(Keeper, 0, RunOutcome::Stopped);
  pass(Keeper, 20ms);
  LONGS_EQUAL(3, Port.Starts.size());
  CHECK(Port.LeaseUntil > EntryLease + Options.StopAllowance);
}

// The worker's lease covers all of its runs, whichever start carried it.
TEST(PlacementLeaseTest, ATaskWithAShorterLeaseThanTheWorkersIsNotStarted) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds StampAge;
    std::size_t Starts;
  };
  const Row Rows[] = {{"a new dispatch", 5ms, 2},
                      {"a delayed dispatch", 390ms, 1}};
  for (const Row &Row : Rows) {
    Port.Starts.clear();
    LeaseKeeper Other(optionsWith(true), Sink, Port);
    attach(Other);
    Other.onMessage(EntryA, dispatch("runs", stamp()), Now);
    Other.session().onHoldReply({WorkerId}, plainReply(), Now);
    peer::Message Late = dispatch(
        "late", stamp() - static_cast<std::uint64_t>(Row.StampAge.count()));
    Other.onMessage(EntryB, Late, Now);
    LONGS_EQUAL_TEXT(Row.Starts, Port.Starts.size(), Row.Name);
    // The entry still renews this placement.
    Other.onMessage(EntryB, renewal(stamp()), Now);
    pass(Other, 20ms);
    LONGS_EQUAL_TEXT(2, Port.Starts.size(), Row.Name);
  }
}

// A queued task may start when its lease is nearly over.
TEST(PlacementLeaseTest, AQueuedTaskLimitsTheWorkersLease) {
  KeeperOptions Options = optionsWith(true);
  Keeper.onMessage(EntryA, dispatch("runs", stamp(), 4000), Now);
  Keeper.onMessage(EntryB, dispatch("waits", stamp()), Now);
  for (int I = 0; I < 7; ++I) {
    pass(Keeper, 100ms);
    renew({1});
    Keeper.session().onHoldReply({WorkerId}, plainReply(), Now);
  }
  CHECK(Port.LeaseUntil <= Options.EntryLease + Options.StopAllowance);
  end(Keeper, 0, RunOutcome::Done);
  LONGS_EQUAL(2, Port.Starts.size());
  CHECK(Port.Starts[1].LeaseUntil <=
        Options.EntryLease + Options.StopAllowance);
}

// The worker's other runs must not end with the stopped one.
TEST(PlacementLeaseTest, AStopThatHasTakenEffectLimitsNoLease) {
  struct Row {
    const char *Name;
    bool IsConfirmed;
    bool IsNamed;
    bool IsLimited;
  };
  const Row Rows[] = {{"confirmed", true, false, false},
                      {"its entry still names it", false, true, false},
                      {"neither", false, false, true}};
  for (const Row &Row : Rows) {
    Port.LeaseUntil = {};
    LeaseKeeper Other(optionsWith(true), Sink, Port);
    attach(Other);
    Other.onMessage(EntryA, dispatch("stopped", stamp()), Now);
    std::uint64_t Stopped = LastOrder;
    Other.onMessage(EntryB, dispatch("other", stamp()), Now);
    peer::Message Stop;
    Stop.mutable_leased_stop()->set_job("stopped");
    Other.onMessage(EntryA, Stop, Now);
    if (Row.IsConfirmed)
      Other.session().onStopReply({WorkerId}, Port.Stops.back().Run,
                                  plainReply(), Now);
    for (int I = 0; I < 20; ++I) {
      pass(Other, 100ms);
      peer::Message Renewal;
      Renewal.mutable_lease_renewal()->set_agent_incarnation(AgentIncarnation);
      Renewal.mutable_lease_renewal()->set_stamp(stamp());
      Renewal.mutable_lease_renewal()->add_orders(Stopped);
      if (Row.IsNamed)
        Other.onMessage(EntryA, Renewal, Now);
      Other.onMessage(EntryB, renewal(stamp()), Now);
      Other.session().onHoldReply({WorkerId}, plainReply(), Now);
    }
    CHECK_TEXT(Row.IsLimited == (Port.LeaseUntil < 2000ms), Row.Name);
  }
}
