#include "agent/worker_session.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

class RecordingPort final : public WorkerPort {
public:
  void attach(const WorkerProfile &Profile) override {
    this->Life = Profile.Id;
  }
  void start(const StartCall &Call) override { this->Starts.push_back(Call); }
  void stop(const StopCall &Call) override { this->Stops.push_back(Call); }
  void hold(const HoldCall &Call) override { this->Holds.push_back(Call); }

  std::string Life;
  std::vector<StartCall> Starts;
  std::vector<StopCall> Stops;
  std::vector<HoldCall> Holds;
};

class RecordingEvents final : public SessionEvents {
public:
  void onRunRefused(const RunKey &, WorkerRefusal Why, Instant) override {
    this->Refusals.push_back(Why);
  }
  void onRunEnded(const RunKey &, RunEnd How, Instant) override {
    this->Ends.push_back(How);
  }
  void onWorkerReady(Instant) override { ++this->Ready; }
  void onWorkerSilent(Instant) override { ++this->Silent; }

  std::vector<WorkerRefusal> Refusals;
  std::vector<RunEnd> Ends;
  int Ready = 0;
  int Silent = 0;
};

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
    Profile.Id = "life-1";
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
    Session.onHoldReply("life-1", answered(), Now);
  }
};

TEST(WorkerSessionTest, ALostStartEndsOnlyWhenItsStopMustHaveTakenEffect) {
  attach();
  Session.start(Run, "spec", Now);
  pass(250ms);
  Session.onStartReply("life-1", Run, WorkerReply(), Now);
  LONGS_EQUAL(1, Port.Stops.size());
  Session.onStopReply("life-1", Run, answered(), Now);
  pass(40ms);
  // The run may have begun, and a stop takes a while.
  LONGS_EQUAL(0, Events.Ends.size());
  pass(100ms);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunEnd::Stopped);
}

TEST(WorkerSessionTest, AStopWithoutReplyIsRepeatedAndProvesNothing) {
  attach();
  Session.start(Run, "spec", Now);
  Session.onStartReply("life-1", Run, WorkerReply(), Now);
  for (int I = 0; I < 3; ++I) {
    Session.onStopReply("life-1", Run, WorkerReply(), Now);
    pass(100ms);
  }
  LONGS_EQUAL(4, Port.Stops.size());
  LONGS_EQUAL(0, Events.Ends.size());
}

TEST(WorkerSessionTest, ALateEndOfAStoppedRunIsTakenAsItWas) {
  attach();
  Session.start(Run, "spec", Now);
  Session.onStartReply("life-1", Run, WorkerReply(), Now);
  WorkerReply Held = answered();
  Held.Ended.push_back({1, Run, RunEnd::Done});
  Session.onHoldReply("life-1", Held, Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunEnd::Done);
  LONGS_EQUAL(1, Port.Holds.back().AcknowledgedEnd);
}

TEST(WorkerSessionTest, RunsOfAnEarlierAgentAreStoppedBeforeTheWorkerIsReady) {
  Session.onProfile(Profile, Now);
  WorkerReply Held = answered();
  Held.Running.push_back(Run);
  Session.onHoldReply("life-1", Held, Now);
  LONGS_EQUAL(0, Events.Ready);
  LONGS_EQUAL(1, Port.Stops.size());
  Session.onHoldReply("life-1", answered(), Now);
  LONGS_EQUAL(1, Events.Ready);
}

TEST(WorkerSessionTest, ATokenThatIsTooLowIsRaisedUntilItIsTaken) {
  Session.onProfile(Profile, Now);
  std::uint64_t First = Port.Holds.back().FencingToken;
  Session.onHoldReply("life-1", answered(WorkerRefusal::Fenced), Now);
  pass(50ms);
  CHECK(Port.Holds.back().FencingToken > First);
}

TEST(WorkerSessionTest, ANewLifeOfTheWorkerEndsAllRuns) {
  attach();
  Session.start(Run, "spec", Now);
  Profile.Id = "life-2";
  Session.onProfile(Profile, Now);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunEnd::Lapsed);
  // Replies of the last life change nothing.
  Session.onStartReply("life-1", Run, answered(WorkerRefusal::NoRoom), Now);
  LONGS_EQUAL(0, Events.Refusals.size());
}

TEST(WorkerSessionTest, EachCallExtendsTheLeaseByTheWorkersOwnClock) {
  attach();
  pass(300ms);
  Session.start(Run, "spec", Now);
  LONGS_EQUAL((5000ms + 300ms + Options.Lease).count(),
              Port.Starts[0].LeaseUntil.count());
}

TEST(WorkerSessionTest, ARunThatBeginsWhileACallForEndsWaitsKeepsItsLease) {
  attach();
  // The worker may take this call's whole time; it was made with no lease.
  CHECK_FALSE(Port.Holds.back().LeaseUntil.has_value());
  Session.start(Run, "spec", Now);
  Session.onStartReply("life-1", Run, answered(), Now);
  std::size_t Before = Port.Holds.size();
  for (int I = 0; I < 25; ++I)
    pass(20ms);
  LONGS_EQUAL(Before + 1, Port.Holds.size());
  CHECK(Port.Holds.back().LeaseUntil.has_value());
  // Two calls have come back, and one is made again.
  Session.onHoldReply("life-1", answered(), Now);
  LONGS_EQUAL(Before + 1, Port.Holds.size());
  Session.onHoldReply("life-1", answered(), Now);
  LONGS_EQUAL(Before + 2, Port.Holds.size());
}

// Some calls may stay without a reply at a worker that is sound.
TEST(WorkerSessionTest, OneCallWithoutReplyDoesNotMakeAWorkerSilent) {
  attach();
  Session.start(Run, "spec", Now);
  WorkerReply Good = answered();
  Good.Clock = WorkerTime(6000);
  for (int I = 0; I < 6; ++I) {
    Session.onHoldReply("life-1", WorkerReply(), Now);
    CHECK(Session.isReady());
    pass(60ms);
    // The next tells whether the worker hears us, and waits for nothing.
    LONGS_EQUAL(0, Port.Holds.back().Wait.count());
    CHECK_FALSE(Port.Holds.back().LeaseUntil.has_value());
    Session.onHoldReply("life-1", Good, Now);
    CHECK(Port.Holds.back().LeaseUntil.has_value());
  }
  LONGS_EQUAL(0, Events.Silent);
  for (int I = 0; I < 20; ++I) {
    Session.onHoldReply("life-1", WorkerReply(), Now);
    pass(60ms);
  }
  LONGS_EQUAL(1, Events.Silent);
  CHECK_FALSE(Session.isReady());
}

TEST(WorkerSessionTest, RunsOfASilentWorkerEndWhenItsLeaseMustHaveLapsed) {
  attach();
  Session.start(Run, "spec", Now);
  Session.onStartReply("life-1", Run, answered(), Now);
  for (std::chrono::milliseconds Time = 0ms; Time < 900ms; Time += 50ms) {
    Session.onHoldReply("life-1", WorkerReply(), Now);
    LONGS_EQUAL(0, Events.Ends.size());
    pass(50ms);
  }
  pass(200ms);
  LONGS_EQUAL(1, Events.Ends.size());
  CHECK(Events.Ends[0] == RunEnd::Lapsed);
}
