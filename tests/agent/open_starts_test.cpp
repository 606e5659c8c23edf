// Tests which open starts an agent reports to which entry, and for how long.

#include "agent/open_starts.h"
#include "tests/agent/keeper_fixture.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(OpenStartsTest) {
  OpenStartOptions Options;
  OpenStarts Starts{OpenStartOptions()};
  TimePoint Now{1h};

  std::vector<std::string> due() {
    std::vector<std::string> Names;
    for (const PeerRef &Entry : Starts.dueReports(Now))
      Names.push_back(Entry.Node);
    return Names;
  }
  peer::WorkerLoad listFor(const PeerRef &Entry) {
    peer::WorkerLoad Report;
    Starts.list(Entry.Node, Now, Report);
    return Report;
  }
};

// Entries that did not take part in the job must learn of it as well: its
// caller may resubmit it to any of them.
TEST(OpenStartsTest, EachEntryIsToldUntilItAcknowledges) {
  Starts.trackEntry(EntryA, Now);
  Starts.trackEntry(EntryB, Now);
  CHECK(due().empty());
  Starts.add("j", 2, Now);
  LONGS_EQUAL(2, due().size());
  CHECK(due().empty());
  Starts.acknowledge(EntryA.Node, 1);
  Now += Options.ReportInterval;
  CHECK(due() == std::vector<std::string>{EntryB.Node});
  LONGS_EQUAL(0, listFor(EntryA).open_starts_size());
  LONGS_EQUAL(1, listFor(EntryB).open_starts_size());
  LONGS_EQUAL(2, listFor(EntryB).open_starts(0).index());
}

// The new incarnation of an entry has lost what the last one acknowledged.
TEST(OpenStartsTest, ANewIncarnationOfAnEntryIsToldAgain) {
  PeerRef Entry = EntryA;
  Entry.Incarnation = 1;
  Starts.trackEntry(Entry, Now);
  Starts.add("j", 0, Now);
  Starts.acknowledge(Entry.Node, 1);
  Entry.Incarnation = 2;
  Starts.trackEntry(Entry, Now);
  LONGS_EQUAL(1, due().size());
  LONGS_EQUAL(1, listFor(Entry).open_starts_size());
}

TEST(OpenStartsTest, ReportsEndWithTheTimeOfLateCalls) {
  Starts.trackEntry(EntryA, Now);
  Starts.add("j", 0, Now);
  Now += Options.MaxCallDelay - 1ms;
  Starts.trackEntry(EntryA, Now);
  LONGS_EQUAL(1, listFor(EntryA).open_starts_size());
  LONGS_EQUAL(1, listFor(EntryA).open_starts(0).left_ms());
  Now += 1ms;
  LONGS_EQUAL(0, listFor(EntryA).open_starts_size());
  CHECK(due().empty());
}

TEST(OpenStartsTest, SilentEntriesGetNoReports) {
  Starts.trackEntry(EntryA, Now);
  Now += Options.EntryTimeout;
  Starts.trackEntry(EntryB, Now);
  Starts.add("j", 0, Now);
  CHECK(due() == std::vector<std::string>{EntryB.Node});
}

TEST(OpenStartsTest, AReportIsBoundedAndTheRestFollows) {
  Options.MaxPerReport = 2;
  Starts = OpenStarts(Options);
  Starts.trackEntry(EntryA, Now);
  for (std::uint32_t I = 0; I < 3; ++I)
    Starts.add("j", I, Now);
  LONGS_EQUAL(2, listFor(EntryA).open_starts_size());
  Starts.acknowledge(EntryA.Node, 2);
  LONGS_EQUAL(1, listFor(EntryA).open_starts_size());
  LONGS_EQUAL(3, listFor(EntryA).open_starts(0).number());
}

// ---- The keeper's reports ----

TEST_GROUP_BASE(OpenStartReportsTest, KeeperFixture) {
  LeaseKeeper Keeper{optionsWith(/*FromStamp=*/true), Sink, Port};

  void attachWith(std::optional<std::uint64_t> StartUnixMs) {
    WorkerProfile Profile;
    Profile.Id = WorkerId;
    Profile.StartUnixMs = StartUnixMs;
    Profile.Room.set_cpu_milli(4000);
    Profile.Room.set_memory_mb(1000);
    Keeper.onProfile(Profile, Now);
    WorkerReply Reply = plainReply();
    Reply.StartUnixMs = StartUnixMs;
    Keeper.session().onHoldReply({WorkerId, StartUnixMs}, Reply, Now);
  }
  void loseStart(std::optional<std::uint64_t> StartUnixMs) {
    Keeper.onMessage(EntryA, dispatch("j", stamp()), Now);
    Keeper.onMessage(EntryB, renewal(stamp()), Now);
    Sink.Load.Clear();
    Keeper.session().onStartReply({WorkerId, StartUnixMs},
                                  Port.Starts.back().Run, WorkerReply(), Now);
  }
};

TEST(OpenStartReportsTest, AStartWithoutReplyIsReportedAtOnce) {
  attachWith(5);
  loseStart(5);
  LONGS_EQUAL(1, Sink.Load.open_starts_size());
  STRCMP_EQUAL("j", Sink.Load.open_starts(0).job().c_str());
  CHECK(Sink.Load.worker_keeps_id());
}

// A worker without a start time gets another id when it restarts, and refuses
// the call.
TEST(OpenStartReportsTest, NothingIsReportedOfAWorkerWithoutAStartTime) {
  attachWith(std::nullopt);
  loseStart(std::nullopt);
  LONGS_EQUAL(0, Sink.Load.open_starts_size());
  CHECK_FALSE(Sink.Load.worker_keeps_id());
}

TEST(OpenStartReportsTest, ARenewalAcknowledgesOpenStarts) {
  attachWith(5);
  loseStart(5);
  peer::Message Renewal = renewal(stamp());
  Renewal.mutable_lease_renewal()->set_open_starts_seen(1);
  Keeper.onMessage(EntryB, Renewal, Now);
  LONGS_EQUAL(0, Sink.Load.open_starts_size());
}

// An entry that loses the agent takes all other starts for possibly open.
TEST(OpenStartReportsTest, RepliesListThePlacementsWithAnAnsweredStart) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    bool Lost;
    bool Answered;
    int Listed;
  };
  const Row Rows[] = {
      {"no reply yet", 5, false, false, 0},
      {"answered", 5, false, true, 1},
      {"the first start is lost", 5, true, true, 0},
      {"the worker changes its id", std::nullopt, false, true, 0},
  };
  std::uint64_t Id = 0;
  for (const Row &Row : Rows) {
    LeaseKeeper Keeper{optionsWith(/*FromStamp=*/true), Sink, Port};
    WorkerProfile Profile;
    Profile.Id = WorkerId;
    Profile.StartUnixMs = Row.StartUnixMs;
    Profile.Room.set_cpu_milli(4000);
    Profile.Room.set_memory_mb(1000);
    Keeper.onProfile(Profile, Now);
    WorkerReply Reply = plainReply();
    Reply.StartUnixMs = Row.StartUnixMs;
    WorkerIncarnation Worker{WorkerId, Row.StartUnixMs};
    Keeper.session().onHoldReply(Worker, Reply, Now);
    Keeper.onMessage(EntryA, dispatch("j" + std::to_string(++Id), stamp()),
                     Now);
    RunKey Run = Port.Starts.back().Run;
    if (Row.Lost)
      Keeper.session().onStartReply(Worker, Run, WorkerReply(), Now);
    if (Row.Answered)
      Keeper.session().onStartReply(Worker, Run, Reply, Now);
    Keeper.onMessage(EntryA, renewal(stamp()), Now);
    LONGS_EQUAL_TEXT(1, Sink.Load.held_orders_size(), Row.Name);
    LONGS_EQUAL_TEXT(Row.Listed, Sink.Load.answered_orders_size(), Row.Name);
  }
}

TEST(OpenStartReportsTest, ReportsSayWhetherTheWorkerRefusesEarlierStarts) {
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  CHECK(Sink.Load.without_worker());
  WorkerProfile Profile;
  Profile.Id = WorkerId;
  Profile.StartUnixMs = 5;
  Keeper.onProfile(Profile, Now);
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  CHECK_FALSE(Sink.Load.without_worker());
  CHECK_FALSE(Sink.Load.worker_ready());
  // The report follows without being asked for.
  WorkerReply Reply = plainReply();
  Reply.StartUnixMs = 5;
  Keeper.session().onHoldReply({WorkerId, 5}, Reply, Now);
  CHECK(Sink.Load.worker_ready());
}

// The time until a late start begins the run is not the run's own.
TEST(OpenStartReportsTest, ARunThatHasNotBegunHasNotStalled) {
  constexpr std::chrono::milliseconds Limit{200};
  attachWith(5);
  loseStart(5);
  peer::Message Stop;
  Stop.mutable_leased_stop()->set_job("j");
  Stop.mutable_leased_stop()->set_longer_than_ms(Limit.count());
  pass(Keeper, Limit + 50ms);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(0, Port.Stops.size());
  Keeper.session().onStartReply({WorkerId, 5}, Port.Starts.back().Run,
                                plainReply(), Now);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(0, Port.Stops.size());
  pass(Keeper, Limit + 50ms);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(1, Port.Stops.size());
}

// Entries place other tasks elsewhere, although the run is not stopped.
TEST(OpenStartReportsTest, AWorkerThatLeavesStartsUnansweredHasFailed) {
  attachWith(5);
  loseStart(5);
  RunKey Run = Port.Starts.back().Run;
  std::uint32_t Attempts = SessionOptions().MaxStartAttempts;
  for (std::uint32_t I = 2; I <= Attempts; ++I) {
    LONGS_EQUAL(0, Sink.Load.failures_in_row());
    Keeper.session().onStartReply({WorkerId, 5}, Run, WorkerReply(), Now);
    Keeper.onMessage(EntryA, renewal(stamp()), Now);
  }
  LONGS_EQUAL(1, Sink.Load.failures_in_row());
  // Its end is not another failure.
  peer::Message Stop;
  Stop.mutable_leased_stop()->set_job("j");
  Keeper.onMessage(EntryA, Stop, Now);
  Keeper.session().onStopReply({WorkerId, 5}, Run, plainReply(), Now);
  pass(Keeper, SessionOptions().MaxStopDuration);
  LONGS_EQUAL(1, Sink.Updates.size());
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  LONGS_EQUAL(1, Sink.Load.failures_in_row());
}
