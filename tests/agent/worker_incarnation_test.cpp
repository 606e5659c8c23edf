// A worker may start again under the id that it had, and then knows nothing of
// before: its announcements, its ends, its clock and its runs begin anew. Each
// place that tells two lives apart must go by the time of birth as well.

#include "tests/agent/keeper_fixture.h"
#include "tests/agent/session_recorders.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

const char *const Id = "worker";
constexpr std::uint64_t FirstBorn = 1800000000000;
constexpr std::uint64_t SecondBorn = FirstBorn + 5000;
const WorkerIncarnation First{Id, FirstBorn};
const WorkerIncarnation Second{Id, SecondBorn};

WorkerReply replyOf(std::optional<std::uint64_t> StartUnixMs,
                    WorkerRefusal Refusal = WorkerRefusal::None) {
  WorkerReply Reply;
  Reply.Answered = true;
  Reply.Refusal = Refusal;
  Reply.StartUnixMs = StartUnixMs;
  return Reply;
}

WorkerProfile profileOf(std::optional<std::uint64_t> StartUnixMs,
                        std::uint64_t Sequence) {
  WorkerProfile Profile;
  Profile.Id = Id;
  Profile.StartUnixMs = StartUnixMs;
  Profile.Sequence = Sequence;
  Profile.Clock = WorkerTime(480000);
  Profile.Room.set_cpu_milli(16000);
  return Profile;
}

} // namespace

TEST_GROUP(WorkerIncarnationTest) {
  RecordingPort Port;
  RecordingEvents Events;
  SessionOptions Options;
  WorkerSession Session{SessionOptions(), Port, Events};
  Instant Now{TimePoint(1h), fromUnixMillis(FirstBorn + 100000)};
  RunKey Run{"00000000000000aa", 0, 1};

  void pass(std::chrono::milliseconds Time) {
    Now.Steady += Time;
    Now.Wall += Time;
    Session.tick(Now);
  }
  void attachFirst() {
    Session.onProfile(profileOf(FirstBorn, 50), Now);
    Session.onHoldReply(First, replyOf(FirstBorn), Now);
    CHECK(Session.isReady());
  }
  /// Starts a run that the first life is known to hold.
  void startRun(const RunKey &Key) {
    Session.start(Key, "spec", Now);
    Session.onStartReply(First, Key, replyOf({}), Now);
  }
  void proveFirst(const RunKey &Key) {
    WorkerReply Held = replyOf(FirstBorn);
    Held.Running.push_back(Key);
    pass(10ms);
    Session.onHoldReply(First, Held, Now);
  }
  /// The second life answers a call that was meant for the first.
  void replaceFirst() {
    pass(2s);
    WorkerReply Reply = replyOf(SecondBorn);
    Reply.Clock = WorkerTime(700);
    Session.onHoldReply(First, Reply, Now);
  }
  /// The second life answers what is asked of it, and says what it is.
  void settleSecond(const WorkerReply &Reply) {
    Session.onHoldReply(Second, Reply, Now);
    Session.onProfile(profileOf(SecondBorn, 1), Now);
  }
};

TEST(WorkerIncarnationTest, ALowerSequenceOfANewLifeIsNotALateWord) {
  attachFirst();
  WorkerProfile New = profileOf(SecondBorn, 1);
  New.Room.set_cpu_milli(8000);
  Session.onProfile(New, Now);
  Session.onHoldReply(First, replyOf(SecondBorn), Now);
  LONGS_EQUAL(2, Events.Attached);
  CHECK(Session.profile().StartUnixMs == SecondBorn);
  LONGS_EQUAL(8000, Session.profile().Room.cpu_milli());
  Session.onHoldReply(Second, replyOf(SecondBorn), Now);
  CHECK(Session.isReady());
}

// Also where the clocks of hosts were set back between the two: which of them
// is there is asked, not concluded from which was born first.
TEST(WorkerIncarnationTest, ALateAnnouncementOfAnotherLifeChangesNothing) {
  for (std::uint64_t Other : {FirstBorn - 5000, FirstBorn + 5000}) {
    attachFirst();
    WorkerProfile Late = profileOf(Other, 99);
    Late.Draining = true;
    Late.Room.set_cpu_milli(1);
    Session.onProfile(Late, Now);
    Session.onHoldReply(First, replyOf(FirstBorn), Now);
    CHECK(Session.profile().StartUnixMs == FirstBorn);
    CHECK_FALSE(Session.profile().Draining);
    LONGS_EQUAL(16000, Session.profile().Room.cpu_milli());
    LONGS_EQUAL(1, Events.Attached);
  }
}

// No answer says which of two lives is there; the next one will.
TEST(WorkerIncarnationTest, SilenceDecidesNothingBetweenLivesOfOneId) {
  attachFirst();
  Session.onProfile(profileOf(FirstBorn - 5000, 99), Now);
  Session.onHoldReply(First, WorkerReply(), Now);
  LONGS_EQUAL(1, Events.Attached);
  pass(Options.HoldRetryInterval);
  Session.onHoldReply(First, replyOf(FirstBorn), Now);
  LONGS_EQUAL(1, Events.Attached);
  CHECK(Session.isReady());
}

// A worker forgets its ends up to the number that it is told.
TEST(WorkerIncarnationTest, EndsAreCountedAnewInEachLife) {
  attachFirst();
  startRun(Run);
  WorkerReply Told = replyOf(FirstBorn);
  Told.Ended.push_back({57, Run, RunOutcome::Done});
  Session.onHoldReply(First, Told, Now);
  LONGS_EQUAL(57, Port.Holds.back().AcknowledgedEnd);
  replaceFirst();
  LONGS_EQUAL(0, Port.Holds.back().AcknowledgedEnd);
  settleSecond(replyOf(SecondBorn));
  Run.Run = 2;
  Session.start(Run, "spec", Now);
  WorkerReply Next = replyOf(SecondBorn);
  Next.Ended.push_back({1, Run, RunOutcome::Done});
  Session.onHoldReply(Second, Next, Now);
  LONGS_EQUAL(2, Events.Ends.size());
  LONGS_EQUAL(1, Port.Holds.back().AcknowledgedEnd);
}

// A deadline on the clock of the last life would be the longest lease that the
// new one grants.
TEST(WorkerIncarnationTest, LeasesGoByTheClockOfTheLifeThatGrantsThem) {
  attachFirst();
  replaceFirst();
  settleSecond(replyOf(SecondBorn));
  Session.start(Run, "spec", Now);
  CHECK(Port.Starts.back().LeaseUntil <= WorkerTime(700) + Options.Lease);
  CHECK(Port.Starts.back().LeaseUntil > WorkerTime(700));
}

// Calls that were meant for the last life, and are carried out late, are
// refused by the token of the first call that was meant for the new one.
TEST(WorkerIncarnationTest, ANewLifeGetsAHigherToken) {
  attachFirst();
  std::uint64_t Before = Port.Holds.back().FencingToken;
  replaceFirst();
  CHECK(Port.Holds.back().FencingToken > Before);
}

TEST(WorkerIncarnationTest, RepliesOfTheLastLifeChangeNothing) {
  attachFirst();
  startRun(Run);
  replaceFirst();
  settleSecond(replyOf(SecondBorn));
  Run.Run = 2;
  Session.start(Run, "spec", Now);
  std::size_t Ends = Events.Ends.size();
  WorkerReply Late = replyOf(FirstBorn);
  Late.Clock = WorkerTime(999000);
  Late.Ended.push_back({58, Run, RunOutcome::Done});
  Session.onHoldReply(First, Late, Now);
  Session.onStartReply(First, Run, replyOf({}, WorkerRefusal::NoRoom), Now);
  LONGS_EQUAL(Ends, Events.Ends.size());
  LONGS_EQUAL(0, Events.Refusals.size());
  Run.Index = 1;
  Session.start(Run, "spec", Now);
  CHECK(Port.Starts.back().LeaseUntil < WorkerTime(999000));
}

// It was known to run in the life that has ended.
TEST(WorkerIncarnationTest, WhatRanInTheLastLifeHasLapsedAndCountsAsACrash) {
  attachFirst();
  startRun(Run);
  proveFirst(Run);
  replaceFirst();
  settleSecond(replyOf(SecondBorn));
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Lapsed);
  LONGS_EQUAL(1, Events.Crashed.size());
}

// Its id let the new life take a start that was meant for the last one. Told as
// ended it would be begun elsewhere beside itself.
TEST(WorkerIncarnationTest, WhatANewLifeHasBegunForTheLastIsStoppedFirst) {
  attachFirst();
  startRun(Run);
  replaceFirst();
  WorkerReply Held = replyOf(SecondBorn);
  Held.Running.push_back(Run);
  settleSecond(Held);
  LONGS_EQUAL(0, Events.Ends.size());
  CHECK_FALSE(Session.isReady());
  LONGS_EQUAL(1, Port.Stops.size());
  CHECK(Port.Stops.back().Run == Run);
  WorkerReply Stopped = replyOf(SecondBorn);
  Stopped.Ended.push_back({1, Run, RunOutcome::Stopped});
  Session.onHoldReply(Second, Stopped, Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Stopped);
  CHECK(Session.isReady());
}

// The new life may have begun it, ended it, and forgotten that end for an
// acknowledgement that was meant for the last life.
TEST(WorkerIncarnationTest, WhatMayHaveEndedUnheardIsNotToldAsLapsed) {
  attachFirst();
  pass(10ms);
  startRun(Run);
  replaceFirst();
  settleSecond(replyOf(SecondBorn));
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Unknown);
}

// What it is must be known from itself: another life may have another room.
TEST(WorkerIncarnationTest,
     ALifeThatOnlyAnsweredGetsNothingBeforeItsAnnouncement) {
  attachFirst();
  replaceFirst();
  Session.onHoldReply(Second, replyOf(SecondBorn), Now);
  CHECK_FALSE(Session.isReady());
  int Ready = Events.Ready;
  WorkerProfile New = profileOf(SecondBorn, 1);
  New.Room.set_cpu_milli(8000);
  New.Address = "10.0.0.9:1";
  Session.onProfile(New, Now);
  CHECK(Session.isReady());
  LONGS_EQUAL(Ready + 1, Events.Ready);
  LONGS_EQUAL(8000, Session.profile().Room.cpu_milli());
  STRCMP_EQUAL("10.0.0.9:1", Session.profile().Address.c_str());
}

// An id that is not there proves that no life of that id is.
TEST(WorkerIncarnationTest, AnotherIdAtTheAddressRulesOutEachLifeOfThisOne) {
  attachFirst();
  Session.onProfile(profileOf(SecondBorn, 1), Now);
  Session.onHoldReply(First, replyOf({}, WorkerRefusal::OtherIncarnation), Now);
  LONGS_EQUAL(1, Events.Attached);
  WorkerProfile Other = profileOf(SecondBorn, 1);
  Other.Id = "other";
  Session.onProfile(Other, Now);
  Session.onHoldReply(First, replyOf({}, WorkerRefusal::OtherIncarnation), Now);
  STRCMP_EQUAL("other", Session.profile().Id.c_str());
}

TEST(WorkerIncarnationTest, WithoutATimeOfBirthTheIdAloneIsTheLife) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> Announced;
    std::optional<std::uint64_t> Again;
    std::optional<std::uint64_t> Replied;
  };
  const Row Rows[] = {
      {"nobody says it", {}, {}, {}},
      {"only the lists say it", {}, {}, FirstBorn},
      {"only the announcements say it", FirstBorn, FirstBorn, {}},
      {"a later announcement says it", {}, FirstBorn, FirstBorn},
      {"a later announcement does not", FirstBorn, {}, FirstBorn},
  };
  for (const Row &Row : Rows) {
    int Attached = Events.Attached;
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.Announced, 1), Now);
    Fresh.onHoldReply(Port.workerIncarnation(), replyOf(Row.Replied), Now);
    Fresh.onProfile(profileOf(Row.Again, 2), Now);
    Fresh.onHoldReply(Port.workerIncarnation(), replyOf(Row.Replied), Now);
    LONGS_EQUAL_TEXT(Attached + 1, Events.Attached, Row.Name);
    CHECK_TEXT(Fresh.isReady(), Row.Name);
  }
}

TEST_GROUP_BASE(KeeperIncarnationTest, KeeperFixture){
    WorkerProfile profileBorn(std::uint64_t StartUnixMs){
        WorkerProfile Profile = profileOf(StartUnixMs, 1);
Profile.Id = WorkerId;
Profile.Pool = "pool";
Profile.Room.set_memory_mb(1000);
return Profile;
}
void beginLife(LeaseKeeper &Keeper, std::uint64_t StartUnixMs) {
  Keeper.onProfile(profileBorn(StartUnixMs), Now);
  Keeper.session().onHoldReply({WorkerId, StartUnixMs}, replyOf(StartUnixMs),
                               Now);
  CHECK(Keeper.session().isReady());
}
/// Another life of the worker answers, and says what it is.
void replaceLife(LeaseKeeper &Keeper, const WorkerReply &Held) {
  Keeper.session().onHoldReply({WorkerId, FirstBorn}, replyOf(SecondBorn), Now);
  Keeper.session().onHoldReply({WorkerId, SecondBorn}, Held, Now);
  Keeper.onProfile(profileBorn(SecondBorn), Now);
}
}
;

// Held up on its way, it would take a new life out of use for good.
TEST(KeeperIncarnationTest, ALateLeavingOfAnEarlierLifeChangesNothing) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginLife(Keeper, SecondBorn);
  Keeper.onWorkerLeft({WorkerId, FirstBorn}, Now);
  CHECK_FALSE(Keeper.isLeaving());
  Keeper.onWorkerLeft({WorkerId, SecondBorn}, Now);
  CHECK(Keeper.isLeaving());
}

// Entries tell lives of a worker apart by the agent's number for each.
TEST(KeeperIncarnationTest, EachLifeOfOneIdHasANumberOfItsOwnForEntries) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginLife(Keeper, FirstBorn);
  std::uint64_t Before = Keeper.incarnation();
  replaceLife(Keeper, replyOf(SecondBorn));
  CHECK(Keeper.incarnation() > Before);
  // What was meant for the last life is not begun by the new one.
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  LONGS_EQUAL(0, Port.Starts.size());
  CHECK(Sink.Updates.back().refusal() == peer::REFUSAL_STALE);
}

// The entry is told nothing that would let it place the task again; it takes
// it for lost with the agent's earlier life.
TEST(KeeperIncarnationTest, ATaskOfUnknownEndIsNotGivenBackForAnotherStart) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginLife(Keeper, FirstBorn);
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
  replaceLife(Keeper, replyOf(SecondBorn));
  LONGS_EQUAL(0, Sink.Updates.size());
  CHECK(Keeper.isIdle());
  // Its room is free again.
  peer::Message Next = dispatch("next", stamp(), 16000);
  Next.mutable_leased_dispatch()->set_agent_incarnation(Keeper.incarnation());
  Keeper.onMessage(EntryA, Next, Now);
  LONGS_EQUAL(2, Port.Starts.size());
}

// A crash of one life is not counted for the next one of its id.
TEST(KeeperIncarnationTest, CrashesAreToldByLife) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginLife(Keeper, FirstBorn);
  std::uint64_t Incarnation = Keeper.incarnation();
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  replaceLife(Keeper, replyOf(SecondBorn));
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  LONGS_EQUAL(1, Sink.Load.crashes_size());
  CHECK(Sink.Load.crashes(0).incarnation() == Incarnation);
}

// A worker refuses a run that is not above one that it has seen.
TEST(KeeperIncarnationTest, RunNumbersGoOnRisingAcrossLives) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginLife(Keeper, FirstBorn);
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  replaceLife(Keeper, replyOf(SecondBorn));
  peer::Message Again = dispatch("job", stamp());
  Again.mutable_leased_dispatch()->set_agent_incarnation(Keeper.incarnation());
  Keeper.onMessage(EntryA, Again, Now);
  LONGS_EQUAL(2, Port.Starts.size());
  CHECK(Port.Starts[1].Run.Run > Port.Starts[0].Run.Run);
}
