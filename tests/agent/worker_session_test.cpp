#include "tests/agent/session_recorders.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

WorkerReply answered(WorkerRefusal Refusal = WorkerRefusal::None) {
  WorkerReply Reply;
  Reply.Answered = true;
  Reply.Refusal = Refusal;
  return Reply;
}

} // namespace

TEST_GROUP(WorkerSessionTest) {
  RecordingPort Port;
  RecordingEvents Events;
  SessionOptions Options;
  WorkerSession Session{SessionOptions(), Port, Events};
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};
  RunKey Run{"00000000000000aa", 0, 1};
  WorkerProfile Profile;

  void setup() override {
    Profile.Id = "worker-1";
    Profile.Clock = WorkerTime(5000);
    Profile.Room.set_cpu_milli(16000);
  }
  void pass(std::chrono::milliseconds Time) {
    Now.Steady += Time;
    Now.Wall += Time;
    Session.tick(Now);
  }
  void attach() {
    Session.onProfile(Profile, Now);
    Session.onHoldReply({"worker-1"}, answered(), Now);
  }
  /// Leaves all attempts of a start without a reply.
  void loseStarts() {
    for (std::uint32_t I = 0; I < Options.MaxStartAttempts; ++I)
      Session.onStartReply({"worker-1"}, Run, WorkerReply(), Now);
  }
};

// The worker executes a start once, however often it is sent, because the run's
// number stays the same.
TEST(WorkerSessionTest, AStartWithoutReplyIsSentAgainAsTheSameRun) {
  attach();
  Session.start(Run, "spec", Now);
  pass(50ms);
  Session.onStartReply({"worker-1"}, Run, WorkerReply(), Now);
  LONGS_EQUAL(0, Port.Stops.size());
  LONGS_EQUAL(2, Port.Starts.size());
  CHECK(Port.Starts[0].Run == Port.Starts[1].Run);
  STRCMP_EQUAL("spec", Port.Starts[1].Spec.c_str());
  CHECK(Port.Starts[1].LeaseUntil > Port.Starts[0].LeaseUntil);
  Session.onStartReply({"worker-1"}, Run, answered(), Now);
  pass(200ms);
  LONGS_EQUAL(0, Port.Stops.size());
  LONGS_EQUAL(0, Events.Ends.size());
}

// The first start may have started the run, whatever the reply to the second.
TEST(WorkerSessionTest, ARefusalAfterALostStartProvesNothing) {
  const WorkerRefusal Rows[] = {WorkerRefusal::StaleRun, WorkerRefusal::NoRoom,
                                WorkerRefusal::Fenced,
                                WorkerRefusal::Unhealthy};
  attach();
  std::size_t Stops = 0;
  for (WorkerRefusal Cause : Rows) {
    ++Run.Run;
    Session.start(Run, "spec", Now);
    Session.onStartReply({"worker-1"}, Run, WorkerReply(), Now);
    Session.onStartReply({"worker-1"}, Run, answered(Cause), Now);
    LONGS_EQUAL(0, Events.Refusals.size());
    LONGS_EQUAL(++Stops, Port.Stops.size());
    Session.onStopReply({"worker-1"}, Run, answered(), Now);
  }
  // One of them had started and is done.
  WorkerReply Held = answered();
  Held.Ended.push_back({1, Run, RunOutcome::Done});
  Session.onHoldReply({"worker-1"}, Held, Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Done);
  pass(150ms);
  LONGS_EQUAL(4, Events.Ends.size());
}

TEST(WorkerSessionTest, AStopEndsTheRetriesOfALostStart) {
  attach();
  Session.start(Run, "spec", Now);
  Session.stop(Run, Now);
  Session.onStartReply({"worker-1"}, Run, WorkerReply(), Now);
  LONGS_EQUAL(1, Port.Starts.size());
}

// An announcement of an incarnation that has ended may arrive late.
TEST(WorkerSessionTest, AnnouncementsApplyOnceTheLastIncarnationHasEnded) {
  struct Row {
    const char *Name;
    bool HasRuns;
    WorkerReply FromCurrent;
    const char *Expected;
  };
  const Row Rows[] = {
      {"it replies", true, answered(), "worker-1"},
      {"another is there", true, answered(WorkerRefusal::OtherIncarnation),
       "worker-2"},
      {"silence", true, WorkerReply(), "worker-2"},
      {"nobody is there", true, answered(WorkerRefusal::Unhealthy), "worker-2"},
      {"nobody, and no runs", false, answered(WorkerRefusal::Unhealthy),
       "worker-3"},
      {"silence, and no runs", false, WorkerReply(), "worker-4"},
  };
  attach();
  for (const Row &Row : Rows) {
    if (Row.HasRuns) {
      ++Run.Run;
      Session.start(Run, "spec", Now);
      Session.onStartReply({Port.Id}, Run, answered(), Now);
    }
    std::string Current = Port.Id;
    std::size_t Ends = Events.Ends.size();
    std::size_t RunsBefore = Session.runs();
    int Attached = Events.Attached;
    bool IsReplaced = Row.Expected != Current;
    Profile.Id = IsReplaced ? Row.Expected : "worker-0";
    Session.onProfile(Profile, Now);
    LONGS_EQUAL_TEXT(0, Port.Holds.back().Wait.count(), Row.Name);
    STRCMP_EQUAL_TEXT(Current.c_str(), Port.Id.c_str(), Row.Name);
    Session.onHoldReply({Current}, Row.FromCurrent, Now);
    STRCMP_EQUAL_TEXT(Row.Expected, Port.Id.c_str(), Row.Name);
    LONGS_EQUAL_TEXT(Ends + (IsReplaced ? RunsBefore : 0), Events.Ends.size(),
                     Row.Name);
    LONGS_EQUAL_TEXT(Attached + (IsReplaced ? 1 : 0), Events.Attached,
                     Row.Name);
    // The current incarnation replies and reports the end of its run.
    WorkerReply Held = answered();
    if (Row.HasRuns && Session.runs() > 0)
      Held.Ended.push_back({1, Run, RunOutcome::Done});
    Session.onHoldReply({Port.Id}, Held, Now);
    CHECK_TEXT(Session.isReady(), Row.Name);
    LONGS_EQUAL_TEXT(0, Session.runs(), Row.Name);
  }
}

// An announcement delayed since before the restart may arrive together with the
// new incarnation's own one, before the reply that proves that the previous one
// is gone.
TEST(WorkerSessionTest, ALateAnnouncementHidesNoNewIncarnation) {
  using Pair = std::pair<const char *, const char *>;
  for (auto [First, Second] :
       {Pair{"worker-2", "worker-0"}, Pair{"worker-0", "worker-2"}}) {
    WorkerSession Restarted(Options, Port, Events);
    for (const char *Id : {"worker-1", First, Second}) {
      Profile.Id = Id;
      Restarted.onProfile(Profile, Now);
    }
    // Only the new incarnation is there to reply.
    for (const char *Asked : {"worker-1", "worker-0"})
      if (Port.Id == Asked)
        Restarted.onHoldReply({Asked},
                              answered(WorkerRefusal::OtherIncarnation), Now);
    STRCMP_EQUAL("worker-2", Port.Id.c_str());
    Restarted.onHoldReply({"worker-2"}, answered(), Now);
    CHECK(Restarted.isReady());
    STRCMP_EQUAL("worker-2", Port.Id.c_str());
  }
}

// An incarnation that drains keeps draining until it ends, and an old
// announcement does not change its room.
TEST(WorkerSessionTest, ALateAnnouncementOfTheCurrentIncarnationIsIgnored) {
  attach();
  WorkerProfile Late = Profile;
  Profile.Draining = true;
  Session.onProfile(Profile, Now);
  Late.Room.set_cpu_milli(1);
  Session.onProfile(Late, Now);
  CHECK(Session.profile().Draining);
  LONGS_EQUAL(16000, Session.profile().Room.cpu_milli());
  LONGS_EQUAL(1, Events.Attached);
}

// A call without a reply does not prove that the current incarnation has ended.
// If its runs were reported as ended, their tasks would be started elsewhere
// while they continue here.
TEST(WorkerSessionTest, SilenceAfterAnAnnouncementEndsNoRuns) {
  attach();
  Session.start(Run, "spec", Now);
  Session.onStartReply({"worker-1"}, Run, answered(), Now);
  Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
  Profile.Id = "worker-0";
  Session.onProfile(Profile, Now);
  Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
  pass(Options.HoldRetryInterval);
  Session.onHoldReply({"worker-1"}, answered(WorkerRefusal::Unhealthy), Now);
  STRCMP_EQUAL("worker-1", Port.Id.c_str());
  LONGS_EQUAL(0, Events.Ends.size());
  // It was only slow to reply.
  pass(Options.HoldRetryInterval);
  Session.onHoldReply({"worker-1"}, answered(), Now);
  STRCMP_EQUAL("worker-1", Port.Id.c_str());
  // Once it has been silent until its lease must have expired, the other one
  // takes its place.
  Session.onProfile(Profile, Now);
  for (int I = 0; I < 24; ++I) {
    Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
    pass(50ms);
  }
  STRCMP_EQUAL("worker-0", Port.Id.c_str());
  LONGS_EQUAL(1, Events.Ends.size());
}

// The first call to an incarnation tells whether it is there.
TEST(WorkerSessionTest, AnIncarnationThatIsNotReadyYetIsProbedToo) {
  Session.onProfile(Profile, Now);
  Profile.Id = "worker-0";
  Session.onProfile(Profile, Now);
  Session.onHoldReply({"worker-1"}, answered(), Now);
  STRCMP_EQUAL("worker-1", Port.Id.c_str());
  CHECK(Session.isReady());
}

TEST(WorkerSessionTest, HoldCallsWaitLessAfterALostCall) {
  attach();
  Session.start(Run, "spec", Now);
  Session.onStartReply({"worker-1"}, Run, answered(), Now);
  Session.onHoldReply({"worker-1"}, answered(), Now);
  CHECK(Port.Holds.back().Wait == Options.HoldWait);
  Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
  pass(Options.HoldRetryInterval);
  Session.onHoldReply({"worker-1"}, answered(), Now);
  CHECK(Port.Holds.back().Wait == Options.HoldWaitAfterLoss);
  pass(Options.LossWindow);
  // Of these two calls, one waited and one renewed the lease meanwhile.
  Session.onHoldReply({"worker-1"}, answered(), Now);
  Session.onHoldReply({"worker-1"}, answered(), Now);
  CHECK(Port.Holds.back().Wait == Options.HoldWait);
}

TEST(WorkerSessionTest, ALostStartEndsOnlyWhenItsStopMustHaveTakenEffect) {
  attach();
  Session.start(Run, "spec", Now);
  pass(250ms);
  loseStarts();
  LONGS_EQUAL(Options.MaxStartAttempts, Port.Starts.size());
  LONGS_EQUAL(1, Port.Stops.size());
  Session.onStopReply({"worker-1"}, Run, answered(), Now);
  pass(40ms);
  // The run may have started, and a stop takes time to have an effect.
  LONGS_EQUAL(0, Events.Ends.size());
  pass(100ms);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Unanswered);
}

TEST(WorkerSessionTest, AStopWithoutReplyIsRepeatedAndProvesNothing) {
  attach();
  Session.start(Run, "spec", Now);
  loseStarts();
  for (int I = 0; I < 3; ++I) {
    Session.onStopReply({"worker-1"}, Run, WorkerReply(), Now);
    pass(100ms);
  }
  LONGS_EQUAL(4, Port.Stops.size());
  LONGS_EQUAL(0, Events.Ends.size());
}

TEST(WorkerSessionTest, ALateEndOfAStoppedRunIsReportedAsItWas) {
  attach();
  Session.start(Run, "spec", Now);
  loseStarts();
  WorkerReply Held = answered();
  Held.Ended.push_back({1, Run, RunOutcome::Done});
  Session.onHoldReply({"worker-1"}, Held, Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Done);
  LONGS_EQUAL(1, Port.Holds.back().AcknowledgedEnd);
}

TEST(WorkerSessionTest, RunsOfAnEarlierAgentAreStoppedBeforeTheWorkerIsReady) {
  Session.onProfile(Profile, Now);
  WorkerReply Held = answered();
  Held.Running.push_back(Run);
  Session.onHoldReply({"worker-1"}, Held, Now);
  LONGS_EQUAL(0, Events.Ready);
  LONGS_EQUAL(1, Port.Stops.size());
  Session.onHoldReply({"worker-1"}, answered(), Now);
  LONGS_EQUAL(1, Events.Ready);
}

TEST(WorkerSessionTest, ATokenThatIsTooLowIsRaised) {
  Session.onProfile(Profile, Now);
  std::uint64_t First = Port.Holds.back().FencingToken;
  Session.onHoldReply({"worker-1"}, answered(WorkerRefusal::Fenced), Now);
  pass(50ms);
  CHECK(Port.Holds.back().FencingToken > First);
}

TEST(WorkerSessionTest, ANewIncarnationEndsAllRuns) {
  attach();
  Session.start(Run, "spec", Now);
  Profile.Id = "worker-2";
  Session.onProfile(Profile, Now);
  // The previous incarnation no longer replies, or another replies in its
  // place.
  Session.onHoldReply({"worker-1"}, answered(WorkerRefusal::OtherIncarnation),
                      Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Lapsed);
  // Replies of the previous incarnation change nothing.
  Session.onStartReply({"worker-1"}, Run, answered(WorkerRefusal::NoRoom), Now);
  LONGS_EQUAL(0, Events.Refusals.size());
}

TEST(WorkerSessionTest, EachCallExtendsTheLeaseByTheWorkersOwnClock) {
  attach();
  pass(300ms);
  Session.start(Run, "spec", Now);
  LONGS_EQUAL((5000ms + 300ms + Options.Lease).count(),
              Port.Starts[0].LeaseUntil.count());
}

TEST(WorkerSessionTest, ARunStartedDuringAHoldCallKeepsItsLease) {
  attach();
  // The worker may use this call's whole wait; the call carried no lease.
  CHECK_FALSE(Port.Holds.back().LeaseUntil.has_value());
  Session.start(Run, "spec", Now);
  Session.onStartReply({"worker-1"}, Run, answered(), Now);
  std::size_t Before = Port.Holds.size();
  for (int I = 0; I < 25; ++I)
    pass(20ms);
  LONGS_EQUAL(Before + 1, Port.Holds.size());
  CHECK(Port.Holds.back().LeaseUntil.has_value());
  // Two calls have returned, and one new call is made.
  Session.onHoldReply({"worker-1"}, answered(), Now);
  LONGS_EQUAL(Before + 1, Port.Holds.size());
  Session.onHoldReply({"worker-1"}, answered(), Now);
  LONGS_EQUAL(Before + 2, Port.Holds.size());
}

// A healthy worker may leave some calls without a reply.
TEST(WorkerSessionTest, OneCallWithoutReplyDoesNotMakeAWorkerSilent) {
  attach();
  Session.start(Run, "spec", Now);
  WorkerReply Good = answered();
  Good.Clock = WorkerTime(6000);
  for (int I = 0; I < 6; ++I) {
    Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
    CHECK(Session.isReady());
    pass(60ms);
    // The next call tests whether the worker receives our calls, and does not
    // wait.
    LONGS_EQUAL(0, Port.Holds.back().Wait.count());
    CHECK_FALSE(Port.Holds.back().LeaseUntil.has_value());
    Session.onHoldReply({"worker-1"}, Good, Now);
    CHECK(Port.Holds.back().LeaseUntil.has_value());
  }
  LONGS_EQUAL(0, Events.Silent);
  for (int I = 0; I < 20; ++I) {
    Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
    pass(60ms);
  }
  LONGS_EQUAL(1, Events.Silent);
  CHECK_FALSE(Session.isReady());
}

TEST(WorkerSessionTest, RunsOfASilentWorkerEndWhenItsLeaseMustHaveLapsed) {
  attach();
  Session.start(Run, "spec", Now);
  Session.onStartReply({"worker-1"}, Run, answered(), Now);
  for (std::chrono::milliseconds Time = 0ms; Time < 900ms; Time += 50ms) {
    Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
    LONGS_EQUAL(0, Events.Ends.size());
    pass(50ms);
  }
  pass(200ms);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Lapsed);
}

// A worker never shortens a lease, so a later and shorter one proves nothing.
TEST(WorkerSessionTest, RunsLapseOnlyWithTheLongestLeaseGranted) {
  attach();
  Session.start(Run, "spec", Now);
  TimePoint Longest = Now.Steady + Options.Lease;
  Events.EndBy = Now.Steady + 200ms;
  pass(20ms);
  Session.onHoldReply({"worker-1"}, answered(), Now);
  CHECK(Session.leaseEnds() == Longest);
  Session.onHoldReply({"worker-1"}, WorkerReply(), Now);
  pass(600ms);
  LONGS_EQUAL(0, Events.Ends.size());
  pass(500ms);
  LONGS_EQUAL(1, Events.Ends.size());
}

// A worker has no lease before its first start.
TEST(WorkerSessionTest, ANewIncarnationDoesNotInheritTheLease) {
  attach();
  Session.start(Run, "spec", Now);
  Profile.Id = "worker-2";
  Session.onProfile(Profile, Now);
  Session.onHoldReply({"worker-1"}, answered(WorkerRefusal::OtherIncarnation),
                      Now);
  CHECK(Session.leaseEnds() == Now.Steady);
}

TEST(WorkerSessionTest, AConfirmedStopHasTakenEffectAfterMaxStopDuration) {
  attach();
  Session.start(Run, "spec", Now);
  Session.stop(Run, Now);
  pass(Options.MaxStopDuration);
  CHECK_FALSE(Session.hasStopped(Run, Now));
  Session.onStopReply({"worker-1"}, Run, answered(), Now);
  CHECK_FALSE(Session.hasStopped(Run, Now));
  pass(Options.MaxStopDuration);
  CHECK(Session.hasStopped(Run, Now));
}
