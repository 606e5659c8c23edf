// A worker may restart under its old id without knowing anything of before: its
// announcements, numbers of ends, clock and runs start over. Every place that
// tells incarnations apart must therefore compare the start time as well.

#include "tests/agent/keeper_fixture.h"
#include "tests/agent/session_recorders.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

const char *const Id = "worker";
constexpr std::uint64_t FirstStartMs = 1800000000000;
constexpr std::uint64_t SecondStartMs = FirstStartMs + 5000;
const WorkerIncarnation First{Id, FirstStartMs};
const WorkerIncarnation Second{Id, SecondStartMs};

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
  Instant Now{TimePoint(1h), fromUnixMillis(FirstStartMs + 100000)};
  RunKey Run{"00000000000000aa", 0, 1};

  void pass(std::chrono::milliseconds Time) {
    Now.Steady += Time;
    Now.Wall += Time;
    Session.tick(Now);
  }
  void attachFirst() {
    Session.onProfile(profileOf(FirstStartMs, 50), Now);
    Session.onHoldReply(First, replyOf(FirstStartMs), Now);
    CHECK(Session.isReady());
  }
  /// Starts a run and has the first incarnation confirm the start.
  void startRun(const RunKey &Key) {
    Session.start(Key, "spec", Now);
    Session.onStartReply(First, Key, replyOf({}), Now);
  }
  /// The first incarnation lists the run as running.
  void listInFirst(const RunKey &Key) {
    WorkerReply Held = replyOf(FirstStartMs);
    Held.Running.push_back(Key);
    pass(10ms);
    Session.onHoldReply(First, Held, Now);
  }
  /// The second incarnation replies to a call meant for the first.
  void replaceFirst() {
    pass(2s);
    WorkerReply Reply = replyOf(SecondStartMs);
    Reply.Clock = WorkerTime(700);
    Session.onHoldReply(First, Reply, Now);
  }
  /// The second incarnation replies to its first call and announces itself.
  void settleSecond(const WorkerReply &Reply) {
    Session.onHoldReply(Second, Reply, Now);
    Session.onProfile(profileOf(SecondStartMs, 1), Now);
  }
};

TEST(WorkerIncarnationTest, ALowerSequenceOfANewIncarnationIsAccepted) {
  attachFirst();
  WorkerProfile New = profileOf(SecondStartMs, 1);
  New.Room.set_cpu_milli(8000);
  Session.onProfile(New, Now);
  Session.onHoldReply(First, replyOf(SecondStartMs), Now);
  LONGS_EQUAL(2, Events.Attached);
  CHECK(Session.profile().StartUnixMs == SecondStartMs);
  LONGS_EQUAL(8000, Session.profile().Room.cpu_milli());
  Session.onHoldReply(Second, replyOf(SecondStartMs), Now);
  CHECK(Session.isReady());
}

// This includes wall clocks that were set back between the two: the agent asks
// which incarnation is there instead of comparing their start times.
TEST(WorkerIncarnationTest, ALateAnnouncementOfAnotherIncarnationIsIgnored) {
  for (std::uint64_t Other : {FirstStartMs - 5000, FirstStartMs + 5000}) {
    attachFirst();
    WorkerProfile Late = profileOf(Other, 99);
    Late.Draining = true;
    Late.Room.set_cpu_milli(1);
    Session.onProfile(Late, Now);
    Session.onHoldReply(First, replyOf(FirstStartMs), Now);
    CHECK(Session.profile().StartUnixMs == FirstStartMs);
    CHECK_FALSE(Session.profile().Draining);
    LONGS_EQUAL(16000, Session.profile().Room.cpu_milli());
    LONGS_EQUAL(1, Events.Attached);
  }
}

// A missing reply does not tell which of two incarnations is there; the next
// one will.
TEST(WorkerIncarnationTest, SilenceDoesNotDecideBetweenIncarnations) {
  attachFirst();
  Session.onProfile(profileOf(FirstStartMs - 5000, 99), Now);
  Session.onHoldReply(First, WorkerReply(), Now);
  LONGS_EQUAL(1, Events.Attached);
  pass(Options.HoldRetryInterval);
  Session.onHoldReply(First, replyOf(FirstStartMs), Now);
  LONGS_EQUAL(1, Events.Attached);
  CHECK(Session.isReady());
}

// A worker forgets its ends up to the acknowledged number.
TEST(WorkerIncarnationTest, EndsAreNumberedAnewInEachIncarnation) {
  attachFirst();
  startRun(Run);
  WorkerReply Report = replyOf(FirstStartMs);
  Report.Ended.push_back({57, Run, RunOutcome::Done});
  Session.onHoldReply(First, Report, Now);
  LONGS_EQUAL(57, Port.Holds.back().AcknowledgedEnd);
  replaceFirst();
  LONGS_EQUAL(0, Port.Holds.back().AcknowledgedEnd);
  settleSecond(replyOf(SecondStartMs));
  Run.Run = 2;
  Session.start(Run, "spec", Now);
  WorkerReply Next = replyOf(SecondStartMs);
  Next.Ended.push_back({1, Run, RunOutcome::Done});
  Session.onHoldReply(Second, Next, Now);
  LONGS_EQUAL(2, Events.Ends.size());
  LONGS_EQUAL(1, Port.Holds.back().AcknowledgedEnd);
}

// Interpreted by the clock of the new incarnation, a deadline on the previous
// clock would become the longest lease that it grants.
TEST(WorkerIncarnationTest, LeasesUseTheClockOfTheIncarnationThatGrantsThem) {
  attachFirst();
  replaceFirst();
  settleSecond(replyOf(SecondStartMs));
  Session.start(Run, "spec", Now);
  CHECK(Port.Starts.back().LeaseUntil <= WorkerTime(700) + Options.Lease);
  CHECK(Port.Starts.back().LeaseUntil > WorkerTime(700));
}

// Calls meant for the previous incarnation that are executed late are refused,
// because the first call to the new one carried a higher token.
TEST(WorkerIncarnationTest, ANewIncarnationGetsAHigherToken) {
  attachFirst();
  std::uint64_t Before = Port.Holds.back().FencingToken;
  replaceFirst();
  CHECK(Port.Holds.back().FencingToken > Before);
}

TEST(WorkerIncarnationTest, RepliesOfThePreviousIncarnationChangeNothing) {
  attachFirst();
  startRun(Run);
  replaceFirst();
  settleSecond(replyOf(SecondStartMs));
  Run.Run = 2;
  Session.start(Run, "spec", Now);
  std::size_t Ends = Events.Ends.size();
  WorkerReply Late = replyOf(FirstStartMs);
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

// The run was known to be active in the incarnation that has ended.
TEST(WorkerIncarnationTest, RunsOfThePreviousIncarnationLapseAndCountAsACrash) {
  attachFirst();
  startRun(Run);
  listInFirst(Run);
  replaceFirst();
  settleSecond(replyOf(SecondStartMs));
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Lapsed);
  LONGS_EQUAL(1, Events.Crashed.size());
}

// The new incarnation has the same id and could accept a start meant for the
// previous one. If the run were reported as ended, the task would be started
// elsewhere while it still runs here.
TEST(WorkerIncarnationTest, RunsThatANewIncarnationInheritedAreStoppedFirst) {
  attachFirst();
  startRun(Run);
  replaceFirst();
  WorkerReply Held = replyOf(SecondStartMs);
  Held.Running.push_back(Run);
  settleSecond(Held);
  LONGS_EQUAL(0, Events.Ends.size());
  CHECK_FALSE(Session.isReady());
  LONGS_EQUAL(1, Port.Stops.size());
  CHECK(Port.Stops.back().Run == Run);
  WorkerReply Stopped = replyOf(SecondStartMs);
  Stopped.Ended.push_back({1, Run, RunOutcome::Stopped});
  Session.onHoldReply(Second, Stopped, Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Stopped);
  CHECK(Session.isReady());
}

// The new incarnation may have started and ended the run, and may have
// forgotten that end because of an acknowledgement meant for the previous one.
TEST(WorkerIncarnationTest, ARunThatMayHaveEndedUnreportedIsUnknown) {
  attachFirst();
  pass(10ms);
  startRun(Run);
  replaceFirst();
  settleSecond(replyOf(SecondStartMs));
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunOutcome::Unknown);
}

// Only its announcement tells what it is: a new incarnation may have different
// room.
TEST(WorkerIncarnationTest, AnIncarnationGetsNoRunsBeforeItsAnnouncement) {
  attachFirst();
  replaceFirst();
  Session.onHoldReply(Second, replyOf(SecondStartMs), Now);
  CHECK_FALSE(Session.isReady());
  int Ready = Events.Ready;
  WorkerProfile New = profileOf(SecondStartMs, 1);
  New.Room.set_cpu_milli(8000);
  New.Address = "10.0.0.9:1";
  Session.onProfile(New, Now);
  CHECK(Session.isReady());
  LONGS_EQUAL(Ready + 1, Events.Ready);
  LONGS_EQUAL(8000, Session.profile().Room.cpu_milli());
  STRCMP_EQUAL("10.0.0.9:1", Session.profile().Address.c_str());
}

// If another id has replied, no incarnation of the old id is there.
TEST(WorkerIncarnationTest,
     AnotherIdAtTheAddressRulesOutAllIncarnationsOfThisId) {
  attachFirst();
  Session.onProfile(profileOf(SecondStartMs, 1), Now);
  Session.onHoldReply(First, replyOf({}, WorkerRefusal::OtherIncarnation), Now);
  LONGS_EQUAL(1, Events.Attached);
  WorkerProfile Other = profileOf(SecondStartMs, 1);
  Other.Id = "other";
  Session.onProfile(Other, Now);
  Session.onHoldReply(First, replyOf({}, WorkerRefusal::OtherIncarnation), Now);
  STRCMP_EQUAL("other", Session.profile().Id.c_str());
}

TEST(WorkerIncarnationTest, WithoutAStartTimeTheIdAloneIdentifiesTheWorker) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> Announced;
    std::optional<std::uint64_t> Again;
    std::optional<std::uint64_t> Replied;
  };
  const Row Rows[] = {
      {"nobody says it", {}, {}, {}},
      {"only the lists say it", {}, {}, FirstStartMs},
      {"only the announcements say it", FirstStartMs, FirstStartMs, {}},
      {"a later announcement says it", {}, FirstStartMs, FirstStartMs},
      {"a later announcement does not", FirstStartMs, {}, FirstStartMs},
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

// Guards against a second placement of a task that still runs: the next
// incarnation grants the longest lease for a deadline on the previous clock.
TEST(WorkerIncarnationTest, RunsLapseWithTheLongestLeaseOfANextIncarnation) {
  constexpr std::chrono::milliseconds Asked{200};
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    std::chrono::milliseconds LongestLease;
  };
  const Row Rows[] = {
      {"it may return under its id", FirstStartMs, Options.Lease},
      {"its next incarnation has another id", {}, Asked}};
  for (const Row &Row : Rows) {
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.StartUnixMs, 1), Now);
    Fresh.onHoldReply(Port.workerIncarnation(), replyOf(Row.StartUnixMs), Now);
    std::size_t Ends = Events.Ends.size();
    Events.EndBy = Now.Steady + Asked;
    Fresh.start(Run, "spec", Now);
    CHECK_TEXT(Fresh.leaseEnds() == Now.Steady + Asked, Row.Name);
    Fresh.onHoldReply(Port.workerIncarnation(), WorkerReply(), Now);
    Now.Steady += Row.LongestLease + Options.LeaseExpiryMargin - 1ms;
    Fresh.tick(Now);
    LONGS_EQUAL_TEXT(Ends, Events.Ends.size(), Row.Name);
    Now.Steady += 1ms;
    Fresh.tick(Now);
    LONGS_EQUAL_TEXT(Ends + 1, Events.Ends.size(), Row.Name);
  }
}

// Guards against a second placement of a task that the next incarnation may
// still begin: a confirmed stop does not hold there.
TEST(WorkerIncarnationTest, ARunWithLostStartsIsAwaited) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    std::size_t Starts;
    bool IsStopped;
    std::size_t StartsUnanswered;
  };
  const Row Rows[] = {{"it may return under its id", FirstStartMs, 5, false, 1},
                      {"its next incarnation has another id", {}, 3, true, 0}};
  for (const Row &Row : Rows) {
    Port = RecordingPort();
    Events = RecordingEvents();
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.StartUnixMs, 1), Now);
    WorkerIncarnation Worker = Port.workerIncarnation();
    Fresh.onHoldReply(Worker, replyOf(Row.StartUnixMs), Now);
    Fresh.start(Run, "spec", Now);
    for (std::size_t I = 0; I < 4; ++I) {
      Fresh.onStartReply(Worker, Run, WorkerReply(), Now);
      Fresh.tick(Now);
    }
    std::uint64_t Token = Port.Starts.back().FencingToken;
    Now.Steady += Options.StartRetryInterval;
    Fresh.tick(Now);
    LONGS_EQUAL_TEXT(Row.Starts, Port.Starts.size(), Row.Name);
    CHECK_EQUAL_TEXT(Row.IsStopped, !Port.Stops.empty(), Row.Name);
    LONGS_EQUAL_TEXT(Row.StartsUnanswered, Events.StartsUnanswered, Row.Name);
    // The starts may not have extended the lease that a late one needs.
    if (!Row.IsStopped)
      CHECK_TEXT(Port.Holds.back().LeaseUntil.has_value(), Row.Name);
    // A start that the worker executes late must not be overtaken by the next.
    CHECK_TEXT(Port.Starts.back().FencingToken == Token, Row.Name);
    for (const StartCall &Sent : Port.Starts)
      CHECK_TEXT(Sent.Run == Run, Row.Name);
  }
}

TEST(WorkerIncarnationTest, ARunThatTheWorkerListsIsNotStartedAgain) {
  attachFirst();
  Session.start(Run, "spec", Now);
  for (std::uint32_t I = 0; I <= Options.MaxStartAttempts; ++I) {
    Session.onStartReply(First, Run, WorkerReply(), Now);
    Session.tick(Now);
  }
  std::size_t Sent = Port.Starts.size();
  CHECK_FALSE(Session.runningSince(Run).has_value());
  listInFirst(Run);
  CHECK(Session.runningSince(Run) == Now.Steady);
  pass(Options.StartRetryInterval);
  LONGS_EQUAL(Sent, Port.Starts.size());
  LONGS_EQUAL(0, Port.Stops.size());
}

// Guards against a late start of a run that has ended beside the task's next
// run, in an incarnation whose first call is the start of the latter.
TEST(WorkerIncarnationTest, TheNextRunHasAHigherTokenThanTheLostStarts) {
  attachFirst();
  // The wall clock must not be what raises the token.
  Now.Wall -= 1h;
  Session.start(Run, "spec", Now);
  for (std::uint32_t I = 0; I < Options.MaxStartAttempts + 2; ++I) {
    Session.onStartReply(First, Run, WorkerReply(), Now);
    pass(Options.StartRetryInterval);
  }
  std::uint64_t Lost = Port.Starts.back().FencingToken;
  Session.stop(Run, Now);
  Session.onStopReply(First, Run, replyOf(FirstStartMs), Now);
  pass(Options.MaxStopDuration);
  RunKey Next{Run.Job, Run.Index, Run.Run + 1};
  Session.start(Next, "spec", Now);
  CHECK(Port.Starts.back().Run == Next);
  CHECK(Port.Starts.back().FencingToken > Lost);
}

// The loss of another run's start advances the token meanwhile.
TEST(WorkerIncarnationTest, AnAwaitedRunIsNotStoppedByARefusedToken) {
  attachFirst();
  Session.start(Run, "spec", Now);
  for (std::uint32_t I = 0; I < Options.MaxStartAttempts; ++I)
    Session.onStartReply(First, Run, WorkerReply(), Now);
  pass(1ms);
  std::size_t Sent = Port.Starts.size();
  Session.onStartReply(First, Run, replyOf({}, WorkerRefusal::Fenced), Now);
  LONGS_EQUAL(0, Port.Stops.size());
  pass(Options.StartRetryInterval);
  LONGS_EQUAL(Sent + 1, Port.Starts.size());
}

TEST(WorkerIncarnationTest, NoStartIsSentAgainAfterAFailedHoldCall) {
  attachFirst();
  Session.start(Run, "spec", Now);
  for (std::uint32_t I = 0; I < Options.MaxStartAttempts; ++I)
    Session.onStartReply(First, Run, WorkerReply(), Now);
  Session.onHoldReply(First, WorkerReply(), Now);
  std::size_t Sent = Port.Starts.size();
  pass(1ms);
  LONGS_EQUAL(Sent, Port.Starts.size());
  Session.onHoldReply(First, replyOf(FirstStartMs), Now);
  pass(1ms);
  LONGS_EQUAL(Sent + 1, Port.Starts.size());
}

// Guards against a run in the next incarnation that the entry counts as ended:
// an agent that was suspended handles the time-out of a start call before the
// end of the task's lease.
TEST(WorkerIncarnationTest, AStartIsNotSentAgainWhenItsLeaseHasExpired) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    std::chrono::milliseconds Suspended;
    std::size_t Starts;
    std::size_t Stops;
  };
  const Row Rows[] = {
      {"the lease is valid", FirstStartMs, 50ms, 2, 0},
      {"the lease is too short for a next incarnation", FirstStartMs, 71ms, 1,
       1},
      {"the lease has just expired", FirstStartMs, Options.Lease, 1, 1},
      {"the lease expired long ago", FirstStartMs, 3s, 1, 1},
      {"the next incarnation has another id", {}, 3s, 2, 0}};
  for (const Row &Row : Rows) {
    Port = RecordingPort();
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.StartUnixMs, 1), Now);
    Fresh.onHoldReply(Port.workerIncarnation(), replyOf(Row.StartUnixMs), Now);
    Events.EndBy = Now.Steady + Options.Lease;
    Events.LastRunEnd = Events.EndBy + 200ms;
    Fresh.start(Run, "spec", Now);
    Now.Steady += Row.Suspended;
    Fresh.onStartReply(Port.workerIncarnation(), Run, WorkerReply(), Now);
    LONGS_EQUAL_TEXT(Row.Starts, Port.Starts.size(), Row.Name);
    LONGS_EQUAL_TEXT(Row.Stops, Port.Stops.size(), Row.Name);
  }
}

// Guards against a run that the next incarnation has begun from a start in
// transit: a hold call would give it the longest lease there. Runs that only
// the current incarnation can have begun end with it.
TEST(WorkerIncarnationTest, NoHoldCallLetsARunOutlastItsLimit) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    bool IsStartLost;
    bool IsListed;
    std::chrono::milliseconds UntilLimit;
    bool Extends;
  };
  const Row Rows[] = {
      {"it ends in time", FirstStartMs, false, false, 1030ms, true},
      {"it would last too long", FirstStartMs, false, false, 1029ms, false},
      {"the incarnation lists it", FirstStartMs, false, true, 100ms, true},
      {"another start was sent", FirstStartMs, true, true, 1029ms, false},
      {"the next incarnation has another id", {}, true, false, 100ms, true}};
  for (const Row &Row : Rows) {
    Events.LastRunEnd = TimePoint::max();
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.StartUnixMs, 1), Now);
    WorkerReply Held = replyOf(Row.StartUnixMs);
    Fresh.onHoldReply(Port.workerIncarnation(), Held, Now);
    Fresh.start(Run, "spec", Now);
    if (Row.IsStartLost)
      Fresh.onStartReply(Port.workerIncarnation(), Run, WorkerReply(), Now);
    Fresh.onStartReply(Port.workerIncarnation(), Run, replyOf({}), Now);
    if (Row.IsListed)
      Held.Running.push_back(Run);
    Events.LastRunEnd = Now.Steady + Row.UntilLimit;
    Fresh.onHoldReply(Port.workerIncarnation(), Held, Now);
    CHECK_EQUAL_TEXT(Row.Extends, Port.Holds.back().LeaseUntil.has_value(),
                     Row.Name);
  }
}

// Guards against a late start that the next incarnation executes because its
// first call from here carried the same token.
TEST(WorkerIncarnationTest, ACallThatMayReachAnotherIncarnationHasANewToken) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    void (*Do)(WorkerSession &Target, const WorkerIncarnation &Worker,
               Instant Now);
    bool Advances;
  };
  auto Announce = [](WorkerSession &Target, const WorkerIncarnation &,
                     Instant Now) {
    Target.onProfile(profileOf(SecondStartMs, 1), Now);
  };
  auto AnnounceAgain = [](WorkerSession &Target, const WorkerIncarnation &,
                          Instant Now) {
    Target.onProfile(profileOf(FirstStartMs, 2), Now);
  };
  auto LoseHold = [](WorkerSession &Target, const WorkerIncarnation &Worker,
                     Instant Now) {
    Target.onHoldReply(Worker, WorkerReply(), Now);
  };
  auto FailHold = [](WorkerSession &Target, const WorkerIncarnation &Worker,
                     Instant Now) {
    Target.onHoldReply(Worker, replyOf({}, WorkerRefusal::Unhealthy), Now);
  };
  auto LoseStart = [](WorkerSession &Target, const WorkerIncarnation &Worker,
                      Instant Now) {
    Target.onStartReply(Worker, {"00000000000000aa", 0, 1}, WorkerReply(), Now);
  };
  const Row Rows[] = {
      {"another incarnation is announced", FirstStartMs, Announce, true},
      {"the current one is announced", FirstStartMs, AnnounceAgain, false},
      {"a hold call is lost", FirstStartMs, LoseHold, true},
      {"a hold call fails", FirstStartMs, FailHold, true},
      {"a start is lost", FirstStartMs, LoseStart, true},
      {"a hold call is lost, the next incarnation has another id",
       {},
       LoseHold,
       false}};
  for (const Row &Row : Rows) {
    Port = RecordingPort();
    // The wall clock must not be what raises the token.
    Now.Wall -= 1h;
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.StartUnixMs, 1), Now);
    WorkerIncarnation Worker = Port.workerIncarnation();
    Fresh.onHoldReply(Worker, replyOf(Row.StartUnixMs), Now);
    Fresh.start(Run, "spec", Now);
    std::uint64_t Before = Port.Starts.back().FencingToken;
    Row.Do(Fresh, Worker, Now);
    Fresh.onHoldReply(Worker, replyOf(Row.StartUnixMs), Now);
    Now.Steady += Options.HoldRetryInterval;
    Fresh.tick(Now);
    CHECK_EQUAL_TEXT(Row.Advances, Port.Holds.back().FencingToken > Before,
                     Row.Name);
    CHECK_TEXT(Port.Holds.back().FencingToken >= Before, Row.Name);
  }
}

// Guards against a token that doubles its distance from the wall clock with
// each refused call that was overtaken by one with a higher token.
TEST(WorkerIncarnationTest, ARefusalOfAnOvertakenCallDoesNotRaiseTheToken) {
  attachFirst();
  Session.onHoldReply(First, WorkerReply(), Now);
  pass(Options.HoldRetryInterval);
  std::uint64_t Advanced = Port.Holds.back().FencingToken;
  Session.onHoldReply(First, replyOf({}, WorkerRefusal::Fenced), Now);
  pass(Options.HoldRetryInterval);
  CHECK(Port.Holds.back().FencingToken == Advanced);
  // A refusal that concerns the new token raises it.
  pass(Options.TokenSettleTime);
  Session.onHoldReply(First, replyOf({}, WorkerRefusal::Fenced), Now);
  pass(Options.HoldRetryInterval);
  CHECK(Port.Holds.back().FencingToken > Advanced);
}

// Guards against a run that a late start has begun and that the session's own
// lease renewals keep alive beside a later placement of its task.
TEST(WorkerIncarnationTest, AReadySessionStopsRunsThatItDoesNotKnow) {
  const RunKey Unknown{"00000000000000bb", 0, 1};
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    RunKey Listed;
    std::size_t Stops;
  };
  const Row Rows[] = {
      {"an unknown run", FirstStartMs, Unknown, 1},
      {"an earlier run of a known task", FirstStartMs, {Run.Job, 0, 1}, 1},
      {"a known run", FirstStartMs, {Run.Job, 0, 2}, 0},
      {"the next incarnation has another id", {}, Unknown, 0}};
  for (const Row &Row : Rows) {
    Port = RecordingPort();
    WorkerSession Fresh(Options, Port, Events);
    Fresh.onProfile(profileOf(Row.StartUnixMs, 1), Now);
    WorkerReply Held = replyOf(Row.StartUnixMs);
    Fresh.onHoldReply(Port.workerIncarnation(), Held, Now);
    Fresh.start({Run.Job, 0, 2}, "spec", Now);
    Held.Running.push_back(Row.Listed);
    Fresh.onHoldReply(Port.workerIncarnation(), Held, Now);
    LONGS_EQUAL_TEXT(Row.Stops, Port.Stops.size(), Row.Name);
    if (Row.Stops == 0)
      continue;
    CHECK_TEXT(Port.Stops.back().Run == Row.Listed, Row.Name);
    LONGS_EQUAL_TEXT(Port.Holds.back().FencingToken,
                     Port.Stops.back().FencingToken, Row.Name);
    // The stop is sent until the worker no longer lists the run.
    Fresh.onHoldReply(Port.workerIncarnation(), Held, Now);
    LONGS_EQUAL_TEXT(2, Port.Stops.size(), Row.Name);
    Fresh.onHoldReply(Port.workerIncarnation(), replyOf(Row.StartUnixMs), Now);
    LONGS_EQUAL_TEXT(2, Port.Stops.size(), Row.Name);
  }
}

// Guards against a lost stop of such a run that is noticed only at the end of a
// long idle hold call.
TEST(WorkerIncarnationTest, AnIdleSessionChecksSoonWhetherAnUnknownRunEnded) {
  attachFirst();
  CHECK(Port.Holds.back().Wait == Options.IdleHoldWait);
  listInFirst(Run);
  CHECK(Port.Holds.back().Wait == Options.HoldWait);
  // An end that the session does not know is only acknowledged.
  WorkerReply Stopped = replyOf(FirstStartMs);
  Stopped.Ended.push_back({1, Run, RunOutcome::Stopped});
  Session.onHoldReply(First, Stopped, Now);
  LONGS_EQUAL(0, Events.Ends.size());
  LONGS_EQUAL(1, Port.Holds.back().AcknowledgedEnd);
  CHECK(Port.Holds.back().Wait == Options.IdleHoldWait);
}

TEST_GROUP_BASE(KeeperIncarnationTest, KeeperFixture){
    WorkerProfile profileStartedAt(std::uint64_t StartUnixMs){
        WorkerProfile Profile = profileOf(StartUnixMs, 1);
Profile.Id = WorkerId;
Profile.Pool = "pool";
Profile.Room.set_memory_mb(1000);
return Profile;
}
void beginIncarnation(LeaseKeeper &Keeper, std::uint64_t StartUnixMs) {
  Keeper.onProfile(profileStartedAt(StartUnixMs), Now);
  Keeper.session().onHoldReply({WorkerId, StartUnixMs}, replyOf(StartUnixMs),
                               Now);
  CHECK(Keeper.session().isReady());
}
/// Another incarnation of the worker replies and announces itself.
void replaceIncarnation(LeaseKeeper &Keeper, const WorkerReply &Held) {
  Keeper.session().onHoldReply({WorkerId, FirstStartMs}, replyOf(SecondStartMs),
                               Now);
  Keeper.session().onHoldReply({WorkerId, SecondStartMs}, Held, Now);
  Keeper.onProfile(profileStartedAt(SecondStartMs), Now);
}
}
;

// Arriving late, the announcement would put the new incarnation out of use for
// good.
TEST(KeeperIncarnationTest, ALateLeaveOfAnEarlierIncarnationChangesNothing) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginIncarnation(Keeper, SecondStartMs);
  Keeper.onWorkerLeft({WorkerId, FirstStartMs}, Now);
  CHECK_FALSE(Keeper.isLeaving());
  Keeper.onWorkerLeft({WorkerId, SecondStartMs}, Now);
  CHECK(Keeper.isLeaving());
}

// Entries distinguish incarnations of a worker by the agent's number for each.
TEST(KeeperIncarnationTest, EntriesSeeANumberForEachIncarnationOfOneId) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginIncarnation(Keeper, FirstStartMs);
  std::uint64_t Before = Keeper.incarnation();
  replaceIncarnation(Keeper, replyOf(SecondStartMs));
  CHECK(Keeper.incarnation() > Before);
  // The new incarnation does not start what was meant for the previous one.
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  LONGS_EQUAL(0, Port.Starts.size());
  CHECK(Sink.Updates.back().refusal() == peer::REFUSAL_STALE);
}

// The entry must not be told anything that lets it place the task again. It
// counts the task as lost with the agent's previous incarnation.
TEST(KeeperIncarnationTest, ATaskWithAnUnknownEndIsNotReported) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginIncarnation(Keeper, FirstStartMs);
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  LONGS_EQUAL(1, Port.Starts.size());
  replaceIncarnation(Keeper, replyOf(SecondStartMs));
  LONGS_EQUAL(0, Sink.Updates.size());
  CHECK(Keeper.isIdle());
  // The task's room is free again.
  peer::Message Next = dispatch("next", stamp(), 16000);
  Next.mutable_leased_dispatch()->set_agent_incarnation(Keeper.incarnation());
  Keeper.onMessage(EntryA, Next, Now);
  LONGS_EQUAL(2, Port.Starts.size());
}

// A crash of one incarnation must not be counted for the next one with the same
// id.
TEST(KeeperIncarnationTest, CrashesAreReportedByIncarnation) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginIncarnation(Keeper, FirstStartMs);
  std::uint64_t Incarnation = Keeper.incarnation();
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  replaceIncarnation(Keeper, replyOf(SecondStartMs));
  Keeper.onMessage(EntryA, renewal(stamp()), Now);
  LONGS_EQUAL(1, Sink.Load.crashes_size());
  CHECK(Sink.Load.crashes(0).incarnation() == Incarnation);
}

// A worker refuses a run whose number is not above the highest it has seen.
TEST(KeeperIncarnationTest, RunNumbersKeepRisingAcrossIncarnations) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  beginIncarnation(Keeper, FirstStartMs);
  Keeper.onMessage(EntryA, dispatch("job", stamp()), Now);
  replaceIncarnation(Keeper, replyOf(SecondStartMs));
  peer::Message Again = dispatch("job", stamp());
  Again.mutable_leased_dispatch()->set_agent_incarnation(Keeper.incarnation());
  Keeper.onMessage(EntryA, Again, Now);
  LONGS_EQUAL(2, Port.Starts.size());
  CHECK(Port.Starts[1].Run.Run > Port.Starts[0].Run.Run);
}

// Guards against a start in transit over the restart of the worker: the next
// incarnation gives its run the longest lease. Dispatches with a stamp of an
// ordinary age must start at once all the same.
TEST(KeeperIncarnationTest, ATaskWithTooShortALeaseWaitsForARenewal) {
  struct Row {
    const char *Name;
    std::optional<std::uint64_t> StartUnixMs;
    std::chrono::milliseconds StampAge;
    std::size_t StartsAtOnce;
  };
  const Row Rows[] = {{"a fresh stamp", FirstStartMs, 5ms, 1},
                      {"the oldest stamp for which its run ends in time",
                       FirstStartMs, 220ms, 1},
                      {"its run would last too long", FirstStartMs, 221ms, 0},
                      {"the next incarnation has another id", {}, 390ms, 1}};
  for (const Row &Row : Rows) {
    Port.Starts.clear();
    LeaseKeeper Keeper(optionsWith(true), Sink, Port);
    WorkerProfile Profile = profileStartedAt(FirstStartMs);
    Profile.StartUnixMs = Row.StartUnixMs;
    Keeper.onProfile(Profile, Now);
    Keeper.session().onHoldReply(Profile.workerIncarnation(),
                                 replyOf(Row.StartUnixMs), Now);
    Keeper.onMessage(EntryA,
                     dispatch("job", stamp() - static_cast<std::uint64_t>(
                                                   Row.StampAge.count())),
                     Now);
    LONGS_EQUAL_TEXT(Row.StartsAtOnce, Port.Starts.size(), Row.Name);
    Keeper.onMessage(EntryA, renewal(stamp()), Now);
    pass(Keeper, TickInterval);
    LONGS_EQUAL_TEXT(1, Port.Starts.size(), Row.Name);
  }
}
