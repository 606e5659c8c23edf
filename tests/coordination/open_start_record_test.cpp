// Tests where a task with an open start may be placed, and when an entry that
// has just started accepts jobs.

#include "coordination/open_start_record.h"
#include "tests/coordination/coordinator_fixture.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Left{5000};

/// A report of an agent whose worker may restart under its id.
peer::WorkerLoad reportOf(bool Ready = true) {
  peer::WorkerLoad Load;
  Load.set_incarnation(AgentIncarnation);
  Load.set_worker_keeps_id(true);
  Load.set_worker_ready(Ready);
  return Load;
}

void addOpenStart(peer::WorkerLoad &Load, const std::string &Job,
                  std::uint32_t Index, std::uint64_t Number) {
  peer::OpenStart *Row = Load.add_open_starts();
  Row->set_job(Job);
  Row->set_index(Index);
  Row->set_left_ms(static_cast<std::uint32_t>(Left.count()));
  Row->set_number(Number);
}

peer::Member memberOf(const char *Agent, std::uint64_t Incarnation,
                      peer::MemberState State) {
  peer::Member Member;
  Member.set_name(Agent);
  Member.set_role(peer::ROLE_AGENT);
  Member.set_incarnation(Incarnation);
  Member.set_address("10.0.0.1:1");
  Member.set_pool("pool");
  Member.mutable_room()->set_cpu_milli(4000);
  Member.mutable_room()->set_memory_mb(1000);
  Member.set_state(State);
  return Member;
}

} // namespace

TEST_GROUP(OpenStartRecordTest) {
  OpenStartRecord Record;
  TimePoint Now{1h};
};

TEST(OpenStartRecordTest, AnOpenStartIsKnownUntilItsTimeIsOver) {
  peer::WorkerLoad Load = reportOf();
  addOpenStart(Load, "j", 1, 7);
  CHECK(Record.onLoad("a", Load, Now));
  CHECK_FALSE(Record.choiceFor("j", 1, Now).IsFree);
  STRCMP_EQUAL("a", Record.choiceFor("j", 1, Now).Agent.c_str());
  CHECK(Record.choiceFor("j", 0, Now).IsFree);
  CHECK(Record.hasOpenStart("j", Now));
  CHECK_FALSE(Record.hasOpenStart("i", Now));
  Now += Left;
  CHECK(Record.choiceFor("j", 1, Now).IsFree);
  CHECK_FALSE(Record.hasOpenStart("j", Now));
}

// The numbers start over with the agent's process.
TEST(OpenStartRecordTest, ANumberIsAcknowledgedToTheIncarnationThatGaveIt) {
  peer::WorkerLoad Load = reportOf();
  addOpenStart(Load, "j", 1, 7);
  Record.onLoad("a", Load, Now);
  LONGS_EQUAL(7, Record.acknowledged("a", AgentIncarnation));
  LONGS_EQUAL(0, Record.acknowledged("a", AgentIncarnation + 1));
  LONGS_EQUAL(0, Record.acknowledged("b", AgentIncarnation));
}

TEST(OpenStartRecordTest, AFullRecordKeepsWhatItHas) {
  OpenStartRecordOptions Options;
  Options.MaxTasks = 2;
  Record = OpenStartRecord(Options);
  for (std::uint32_t I = 0; I < 3; ++I) {
    peer::WorkerLoad Load = reportOf();
    addOpenStart(Load, "j", I, I + 1);
    Record.onLoad("a", Load, Now);
  }
  CHECK_FALSE(Record.choiceFor("j", 0, Now).IsFree);
  CHECK_FALSE(Record.choiceFor("j", 1, Now).IsFree);
  CHECK(Record.choiceFor("j", 2, Now).IsFree);
}

// Starts at a worker that leaves all of them without a reply would keep the
// task there for ever.
TEST(OpenStartRecordTest, NoAgentMayTakeATaskThatHasLostTooManyStarts) {
  std::size_t Allowed = OpenStartRecordOptions().MaxLostStarts;
  for (std::size_t I = 1; I <= Allowed + 1; ++I) {
    peer::WorkerLoad Load = reportOf();
    addOpenStart(Load, "j", 0, I);
    Record.onLoad("a", Load, Now);
    Record.onLoad("a", Load, Now);
    STRCMP_EQUAL(I <= Allowed ? "a" : "",
                 Record.choiceFor("j", 0, Now).Agent.c_str());
  }
  CHECK_FALSE(Record.choiceFor("j", 0, Now).IsFree);
  CHECK(Record.choiceFor("j", 0, Now + Left).IsFree);
}

// What the reports of two agents say of a record that has just begun.
TEST(OpenStartRecordTest, UnknownStartsMayBeOpenUntilAllAgentsHaveSettled) {
  peer::WorkerLoad Other;
  Other.set_worker_keeps_id(false);
  peer::WorkerLoad Without;
  Without.set_without_worker(true);
  struct Row {
    const char *Name;
    std::vector<peer::WorkerLoad> Reports;
    Duration Passed;
    bool MayMiss;
    bool Settled;
  };
  const OpenStartRecordOptions Options;
  const Row Rows[] = {
      {"no report", {}, 0ms, false, false},
      {"a worker that keeps its id", {reportOf()}, 0ms, true, true},
      {"one that has not been called", {reportOf(false)}, 0ms, true, false},
      {"an agent without a worker", {Without}, 0ms, true, false},
      {"a worker that changes its id", {Other}, 0ms, false, true},
      {"it does so beside an agent without one",
       {Without, Other},
       0ms,
       false,
       true},
      {"it has been called, then not",
       {reportOf(), reportOf(false)},
       0ms,
       true,
       false},
      {"its report is old", {reportOf()}, Options.SettledTimeout, true, false},
      {"the wait is over",
       {reportOf(false)},
       Options.StartupWait,
       false,
       false},
  };
  for (const Row &Row : Rows) {
    OpenStartRecord New;
    New.mayMissOpenStarts(Now);
    for (const peer::WorkerLoad &Report : Row.Reports)
      New.onLoad("a", Report, Now);
    CHECK_EQUAL_TEXT(Row.MayMiss, New.mayMissOpenStarts(Now + Row.Passed),
                     Row.Name);
    CHECK_EQUAL_TEXT(Row.Settled, New.hasSettled("a", Now + Row.Passed),
                     Row.Name);
  }
}

// ---- Placement ----

TEST_GROUP_BASE(OpenStartPlacementTest, CoordinatorFixture) {
  void report(const std::string &Agent, peer::WorkerLoad Load) {
    peer::Message Message;
    Load.set_stamp(++Stamp);
    *Message.mutable_worker_load() = std::move(Load);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  void addAgentThatKeepsId(const std::string &Name, bool Ready = true) {
    announceAgent(Name);
    report(Name, reportOf(Ready));
  }
  void openStartAt(const std::string &Agent, std::uint32_t Index = 0,
                   const char *Job = "j") {
    peer::WorkerLoad Load = reportOf();
    addOpenStart(Load, Job, Index, ++LastNumber);
    report(Agent, Load);
  }
  std::uint64_t LastNumber = 0;
};

// Anywhere else, a late start could begin a second run beside the first.
TEST(OpenStartPlacementTest, ATaskIsPlacedOnlyWhereItsStartIsOpen) {
  for (const char *Agent : {"a", "b", "c"})
    addAgentThatKeepsId(Agent);
  openStartAt("b", 1);
  Coordinator.submit(patientRequest(3), 1, Now);
  std::string PlacedAt;
  for (const auto &[Agent, Dispatch] : Sink.Dispatches)
    for (const peer::LeasedTask &Task : Dispatch.tasks())
      if (Task.index() == 1)
        PlacedAt = Agent;
  STRCMP_EQUAL("b", PlacedAt.c_str());
  CHECK(Answers.Answers.empty());
}

// The caller is not kept waiting for an agent that may not come back, and is
// not told that its job has not run.
TEST(OpenStartPlacementTest, AJobIsAnsweredAtOnceIfItCannotBePlacedThere) {
  struct Row {
    const char *Job;
    bool IsLost;
    std::vector<const char *> OpenAt;
  };
  const Row Rows[] = {
      {"open at two agents", false, {"a", "b"}},
      {"open at a lost agent", true, {"a"}},
  };
  addAgentThatKeepsId("a");
  addAgentThatKeepsId("b");
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    for (const char *Agent : Row.OpenAt)
      openStartAt(Agent, 0, Row.Job);
    if (Row.IsLost) {
      Now.Steady += 3s;
      report("b", reportOf());
      setState("a", peer::MEMBER_LOST);
    }
    Coordinator.submit(patientRequest(1, Row.Job), 1, Now);
    CHECK_TEXT(onlyAnswer().End == LeasedEnd::Unknown, Row.Job);
    CHECK_TEXT(Sink.Dispatches.empty(), Row.Job);
  }
}

TEST(OpenStartPlacementTest, ATaskIsPlacedAnywhereOnceItsStartIsNotOpen) {
  addAgentThatKeepsId("a");
  addAgentThatKeepsId("b");
  openStartAt("a");
  Now.Steady += Left;
  setState("a", peer::MEMBER_LOST);
  report("b", reportOf());
  Coordinator.submit(patientRequest(1), 1, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  STRCMP_EQUAL("b", Sink.Dispatches[0].first.c_str());
}

// Neither a confirmed stop nor a lapse is a promise of the worker's next
// incarnation, so the task stays at its agent, also in a resubmission.
TEST(OpenStartPlacementTest, AnEndedTaskWithAnOpenStartStaysAtItsAgent) {
  struct Row {
    const char *Job;
    peer::LeasedRefusal Refusal;
  };
  const Row Rows[] = {
      {"stopped", peer::REFUSAL_WORKER},
      {"lapsed", peer::REFUSAL_NONE},
  };
  addAgentThatKeepsId("a");
  addAgentThatKeepsId("b");
  for (const Row &Row : Rows) {
    Sink.Dispatches.clear();
    Coordinator.submit(patientRequest(1, Row.Job), 1, Now);
    std::string First = Sink.Dispatches.at(0).first;
    openStartAt(First, 0, Row.Job);
    answer(0, peer::LEASED_ENDED_EARLY, Row.Refusal);
    Now.Steady += CoordinatorOptions().OnlyAgentRetryInterval;
    for (const char *Agent : {"a", "b"})
      report(Agent, reportOf());
    for (int I = 0; I < 2; ++I)
      Coordinator.tick(Now);
    LONGS_EQUAL_TEXT(2, Sink.Dispatches.size(), Row.Job);
    STRCMP_EQUAL_TEXT(First.c_str(), Sink.Dispatches[1].first.c_str(), Row.Job);
    Coordinator.cancel(Row.Job, "the caller has gone", Now);
    answer(1, peer::LEASED_ENDED_EARLY);
    Coordinator.submit(patientRequest(1, Row.Job), 2, Now);
    LONGS_EQUAL_TEXT(3, Sink.Dispatches.size(), Row.Job);
    STRCMP_EQUAL_TEXT(First.c_str(), Sink.Dispatches[2].first.c_str(), Row.Job);
  }
}

// It would probably stall there again until its caller's deadline.
TEST(OpenStartPlacementTest, AStalledTaskIsNotLeftToItsOnlyAgent) {
  addAgentThatKeepsId("a");
  addAgentThatKeepsId("b");
  Coordinator.submit(patientRequest(1), 1, Now);
  openStartAt(Sink.Dispatches.at(0).first);
  Duration Step = CoordinatorOptions().RenewalInterval;
  while (Sink.StallStops.empty() && Now.Steady < TimePoint(2h)) {
    Now.Steady += Step;
    for (const char *Agent : {"a", "b"})
      report(Agent, reportOf());
    Coordinator.tick(Now);
  }
  openStartAt(Sink.Dispatches[0].first);
  answer(0, peer::LEASED_ENDED_EARLY);
  Coordinator.tick(Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

// Guards against an answer 504 to a resubmission that arrives just before the
// successor of a killed agent is heard from.
TEST(OpenStartPlacementTest, ATaskWaitsForItsOnlyAgentWhileItMayComeBack) {
  constexpr std::uint64_t Successor = AgentIncarnation + 1;
  struct Row {
    const char *Job;
    /// What control says of the agent while the task waits.
    peer::MemberState State;
    bool IsHeard;
    Duration Passed;
    std::size_t Dispatches;
    std::size_t Answers;
  };
  const Row Rows[] = {
      {"heard from", peer::MEMBER_ALIVE, true, 0ms, 1, 0},
      {"not heard from yet", peer::MEMBER_ALIVE, false, 999ms, 0, 0},
      {"not heard from in time", peer::MEMBER_ALIVE, false, 1000ms, 0, 1},
      {"lost by control", peer::MEMBER_LOST, false, 0ms, 0, 1},
      {"leaving", peer::MEMBER_LEAVING, false, 0ms, 0, 1},
  };
  for (const Row &Row : Rows) {
    CoordinatorSink NewSink;
    CoordinatorAnswers NewAnswers;
    CoordinatorOptions Options = spreadOptions();
    Options.OpenStarts.HasPredecessor = false;
    LeaseCoordinator New(Options, NewSink, NewAnswers);
    auto Announce = [&](const char *Name, std::uint64_t Incarnation,
                        peer::MemberState State) {
      New.onMember(memberOf(Name, Incarnation, State), Now);
    };
    auto Report = [&](const char *Name, peer::WorkerLoad Load) {
      peer::Message Message;
      Load.set_stamp(++Stamp);
      *Message.mutable_worker_load() = std::move(Load);
      New.onMessage({Name, "10.0.0.1:1"}, Message, Now);
    };
    for (const char *Name : {"a", "b"}) {
      Announce(Name, AgentIncarnation, peer::MEMBER_ALIVE);
      Report(Name, reportOf());
    }
    peer::WorkerLoad Open = reportOf();
    addOpenStart(Open, Row.Job, 0, 1);
    Report("a", Open);
    // The successor has announced itself to control, and has not been probed.
    Announce("a", Successor, peer::MEMBER_ALIVE);
    New.submit(patientRequest(1, Row.Job), 1, Now);
    LONGS_EQUAL_TEXT(0, NewSink.Dispatches.size(), Row.Job);
    LONGS_EQUAL_TEXT(0, NewAnswers.Answers.size(), Row.Job);
    if (Row.State != peer::MEMBER_ALIVE)
      Announce("a", Successor, Row.State);
    Instant Start = Now;
    Now.Steady += Row.Passed;
    if (Row.IsHeard) {
      peer::WorkerLoad Load = reportOf();
      Load.set_incarnation(Successor);
      Report("a", Load);
    }
    for (int I = 0; I < 2; ++I)
      New.tick(Now);
    LONGS_EQUAL_TEXT(Row.Dispatches, NewSink.Dispatches.size(), Row.Job);
    LONGS_EQUAL_TEXT(Row.Answers, NewAnswers.Answers.size(), Row.Job);
    if (Row.Answers > 0)
      CHECK_TEXT(NewAnswers.Answers[0].second.End == LeasedEnd::Unknown,
                 Row.Job);
    Now = Start;
  }
}

// The late start may still run, although no placement of this submission has.
TEST(OpenStartPlacementTest, AJobWithAnOpenStartIsNotSaidToHaveNotRun) {
  addAgentThatKeepsId("a");
  addAgentThatKeepsId("b");
  Coordinator.submit(patientRequest(1), 1, Now);
  openStartAt(Sink.Dispatches.at(0).first == "a" ? "b" : "a");
  answer(0, peer::LEASED_NOT_STARTED, peer::REFUSAL_TOO_LATE);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

TEST(OpenStartPlacementTest, AReportIsAcknowledged) {
  addAgentThatKeepsId("a");
  int Before = Sink.Renewals["a"];
  report("a", reportOf());
  LONGS_EQUAL(Before, Sink.Renewals["a"]);
  openStartAt("a");
  LONGS_EQUAL(Before + 1, Sink.Renewals["a"]);
}

// An entry that has just started cannot know which starts are open at an agent
// that has not reported.
TEST(OpenStartPlacementTest, AnEntryAcceptsNoJobsUntilAllAgentsHaveReported) {
  addAgentThatKeepsId("a");
  addAgentThatKeepsId("b", /*Ready=*/false);
  Coordinator.submit(request(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  CHECK(onlyAnswer().RetryAfter > 0ms);
  CHECK_FALSE(Coordinator.hasWorkers());
  report("b", reportOf());
  Coordinator.submit(request(1), 2, Now);
  CHECK(Coordinator.hasWorkers());
  LONGS_EQUAL(1, Sink.Dispatches.size());
}

TEST(OpenStartPlacementTest, AnEntryDoesNotWaitForAgentsForEver) {
  addAgentThatKeepsId("a");
  announceAgent("b");
  Coordinator.tick(Now);
  CHECK_FALSE(Coordinator.hasWorkers());
  Now.Steady += OpenStartRecordOptions().StartupWait;
  report("a", reportOf());
  Coordinator.tick(Now);
  CHECK(Coordinator.hasWorkers());
}

// Nothing is heard of an agent that control has lost or that is leaving.
TEST(OpenStartPlacementTest, AnEntryWaitsOnlyForAgentsThatAreAlive) {
  for (peer::MemberState State : {peer::MEMBER_LOST, peer::MEMBER_LEAVING}) {
    addAgentThatKeepsId("a");
    announceAgent("b");
    setState("b", State);
    Coordinator.tick(Now);
    CHECK(Coordinator.hasWorkers());
  }
}

TEST(OpenStartPlacementTest, AnEntryWaitsForNobodyIfWorkersChangeTheirIds) {
  addAgent("a");
  announceAgent("b");
  Coordinator.submit(request(1), 1, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  CHECK(Coordinator.hasWorkers());
}

// Guards against a late start in a worker that restarts once more while its
// agent cannot report it: nobody has told this entry of the start.
TEST(OpenStartPlacementTest, AnEntryThatHasJustStartedNeedsRecentReports) {
  const OpenStartRecordOptions Options;
  struct Row {
    const char *Job;
    /// What the second agent reports while the job waits, if anything.
    std::optional<peer::WorkerLoad> Report;
    Duration Passed;
    std::size_t Dispatches;
    std::size_t Answers;
  };
  const Row Rows[] = {
      {"silent", std::nullopt, 900ms, 0, 0},
      {"settled", reportOf(), 900ms, 1, 0},
      {"not settled", reportOf(false), 900ms, 0, 0},
      {"silent for too long", std::nullopt, 1000ms, 0, 1},
      {"the entry is old enough", std::nullopt, Options.StartupWait, 1, 0},
  };
  for (const Row &Row : Rows) {
    CoordinatorSink NewSink;
    CoordinatorAnswers NewAnswers;
    LeaseCoordinator New(spreadOptions(), NewSink, NewAnswers);
    Instant At = Now;
    auto Report = [&](const char *Name, peer::WorkerLoad Load) {
      peer::Message Message;
      Load.set_stamp(++Stamp);
      *Message.mutable_worker_load() = std::move(Load);
      New.onMessage({Name, "10.0.0.1:1"}, Message, At);
    };
    for (const char *Name : {"a", "b"}) {
      New.onMember(memberOf(Name, AgentIncarnation, peer::MEMBER_ALIVE), At);
      Report(Name, reportOf());
    }
    New.tick(At);
    At.Steady += Options.SettledTimeout;
    Report("a", reportOf());
    LeasedJobRequest Request = patientRequest(1, Row.Job);
    Request.Deadline = 1min;
    New.submit(Request, 1, At);
    LONGS_EQUAL_TEXT(0, NewSink.Dispatches.size(), Row.Job);
    LONGS_EQUAL_TEXT(0, NewAnswers.Answers.size(), Row.Job);
    At.Steady += Row.Passed;
    Report("a", reportOf());
    if (Row.Report)
      Report("b", *Row.Report);
    for (int I = 0; I < 3; ++I)
      New.tick(At);
    LONGS_EQUAL_TEXT(Row.Dispatches, NewSink.Dispatches.size(), Row.Job);
    LONGS_EQUAL_TEXT(Row.Answers, NewAnswers.Answers.size(), Row.Job);
    if (Row.Answers > 0)
      CHECK_TEXT(NewAnswers.Answers[0].second.End == LeasedEnd::NotRun,
                 Row.Job);
  }
}
