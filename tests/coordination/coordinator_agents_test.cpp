//===- Agents that leave, restart, stop answering or are renewed ----------===//

#include "tests/coordination/coordinator_fixture.h"

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(CoordinatorAgentsTest, CoordinatorFixture){};

TEST(CoordinatorAgentsTest, JobsOfALostAgentEndAsUnknown) {
  struct Row {
    const char *Name;
    std::function<void()> Lose;
  };
  const Row Rows[] = {
      {"lost", [&] { markLostByControl("a"); }},
      {"unreachable",
       [&] {
         failDispatchDelivery(Sink.Dispatches.size() - 1);
         LONGS_EQUAL(0, Answers.Answers.size());
         Now.Steady += 20ms;
         failDispatchDelivery(Sink.Dispatches.size() - 1);
       }},
      {"unresponsive", [&] { advance(1000ms); }},
  };
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    Now.Steady += 20ms;
    Coordinator.submit(request(1), 1, Now);
    Row.Lose();
    LONGS_EQUAL_TEXT(1, Answers.Answers.size(), Row.Name);
    CHECK_TEXT(Answers.Answers[0].second.End == LeasedEnd::Unknown, Row.Name);
  }
}

// Guards against a connection that breaks or hangs while new connections work.
TEST(CoordinatorAgentsTest, AnUndeliveredDispatchIsResent) {
  addAgent("a");
  Coordinator.submit(request(3), 1, Now);
  std::uint64_t First = Sink.Dispatches[0].second.tasks(0).order();
  Now.Steady += 300ms;
  auto Sent = std::make_shared<peer::Envelope>();
  *Sent->add_messages()->mutable_leased_dispatch() = Sink.Dispatches[0].second;
  Coordinator.onUndelivered({{"a", "10.0.0.1:1"}, Now.Steady - 300ms, Sent},
                            Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  const peer::LeasedDispatch &Again = Sink.Dispatches[1].second;
  LONGS_EQUAL(3, Again.tasks_size());
  LONGS_EQUAL(First, Again.tasks(0).order());
  LONGS_EQUAL(Sink.Dispatches[0].second.start_by_ms() - 300,
              Again.start_by_ms());
  LONGS_EQUAL(1, Sink.Renewals["a"]);
  // All messages in transit on the broken connection fail with it.
  Coordinator.onUndelivered({{"a", "10.0.0.1:1"}, Now.Steady - 200ms, Sent},
                            Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  // Only tasks that have not ended are sent again.
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  std::size_t Before = Sink.Dispatches.size();
  Now.Steady += 300ms;
  failDispatchDelivery(0);
  LONGS_EQUAL(Before, Sink.Dispatches.size());
}

// The same job may have been submitted, given up and submitted again.
TEST(CoordinatorAgentsTest, AnUpdateOfAnEarlierSubmissionIsIgnored) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  markLostByControl("a");
  LONGS_EQUAL(1, Answers.Answers.size());
  addAgent("a");
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(1, Answers.Answers.size());
  answer(1, peer::LEASED_DONE);
  CHECK(Answers.Answers.back().second.End == LeasedEnd::Completed);
}

// The agent may be disconnected from control only, while its worker has free
// capacity.
TEST(CoordinatorAgentsTest, AnAgentLostByControlIsUsedWhileReachableHere) {
  auto ReportLoad = [&] { this->reportLoad("a"); };
  addAgent("a");
  ReportLoad();
  LeasedJobRequest Long = request(1);
  Long.Deadline = 10s;
  Coordinator.submit(Long, 1, Now);
  setState("a", peer::MEMBER_LOST);
  LONGS_EQUAL(0, Answers.Answers.size());
  for (int I = 0; I < 10; ++I) {
    advance(400ms);
    ReportLoad();
  }
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  Coordinator.submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(1, peer::LEASED_DONE);
  // Idle and sending nothing: neither control nor this entry reaches the agent.
  advance(3000ms);
  Coordinator.submit(request(1, "l"), 3, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Answers.Answers.back().second.End == LeasedEnd::NotRun);
  // Control reaches the agent again.
  addAgent("a");
  Coordinator.submit(request(1, "m"), 4, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
}

// The agent's own messages may show its new incarnation before control does.
TEST(CoordinatorAgentsTest, ARestartIsKnownFromTheAgentsOwnMessages) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentIncarnation + 1);
  Load.mutable_worker_load()->set_stamp(5);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  // Its worker may be of another kind, which the agent is asked for at once.
  LONGS_EQUAL(1, Sink.KindQuestions["a"]);
  advance(80ms);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  Coordinator.submit(request(1, "i"), 3, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  describeWorker(*Load.mutable_worker_load());
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  advance(80ms);
  Coordinator.submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(AgentIncarnation + 1,
              Sink.Dispatches[1].second.agent_incarnation());
  // The last stamp received, plus the time since then.
  CHECK(Sink.Dispatches[1].second.stamp() > 5);
  CHECK(Sink.Dispatches[1].second.stamp() <= 5 + 80);
}

// After a restart of all processes, control knows of agents before this entry
// can reach them. Tasks sent then would be lost and their jobs end as unknown.
TEST(CoordinatorAgentsTest, AnAgentGetsNoTasksBeforeItsFirstMessage) {
  announceAgent("a");
  CHECK_FALSE(Coordinator.hasWorkers());
  Coordinator.submit(request(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  Coordinator.tick(Now);
  LONGS_EQUAL(1, Sink.Renewals["a"]);
  reportLoad("a");
  CHECK(Coordinator.hasWorkers());
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
}

// An entry on a slow host reads its input late, so replies of agents only seem
// late.
TEST(CoordinatorAgentsTest, AnEntryThatIsBehindConsidersNoAgentLost) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  LeasedJobRequest Other = request(1, "k");
  for (auto Passed = 0ms; Passed < 3000ms; Passed += 100ms) {
    Now.Steady += 100ms;
    Coordinator.tick(Now, /*LastBehind=*/Now.Steady);
    if (Passed == 500ms)
      failDispatchDelivery(0);
  }
  // The deadline of the caller still applies.
  LONGS_EQUAL(1, Answers.Answers.size());
  STRCMP_EQUAL("deadline", onlyAnswer().Step.c_str());
  LONGS_EQUAL(0, Sink.Reconnects["a"]);
  LONGS_EQUAL(0, Coordinator.counters().AgentsLost);
  // Once the entry has caught up, renewals left unanswered count again.
  Now.Steady += 1000ms;
  reportLoad("a");
  Coordinator.submit(Other, 2, Now);
  advance(1000ms);
  LONGS_EQUAL(1, Coordinator.counters().AgentsLost);
}

// Jobs sent to the agent before it is considered lost would be lost with it.
TEST(CoordinatorAgentsTest, AnAgentThatLeavesAProbeUnansweredGetsNoTasks) {
  addAgent("a", 64000);
  addAgent("b", 1000);
  Coordinator.submit(request(2), 1, Now);
  STRCMP_EQUAL("a", Sink.Dispatches[0].first.c_str());
  advance(400ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  Coordinator.submit(request(1, "k"), 2, Now);
  STRCMP_EQUAL("b", Sink.Dispatches.back().first.c_str());
  // A message from the agent arrives again.
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentIncarnation);
  Load.mutable_worker_load()->set_stamp(++Stamp);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  Coordinator.submit(request(2, "l"), 3, Now);
  STRCMP_EQUAL("a", Sink.Dispatches.back().first.c_str());
}

TEST(CoordinatorAgentsTest, AnotherConnectionIsTriedBeforeAnAgentIsLost) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  advance(400ms);
  LONGS_EQUAL(0, Sink.Reconnects["a"]);
  advance(200ms);
  CHECK(Sink.Reconnects["a"] >= 1);
  LONGS_EQUAL(0, Answers.Answers.size());
}

// Renewals left unanswered by the previous incarnation must not count against
// the current one.
TEST(CoordinatorAgentsTest, ARestartedAgentIsNotLostForItsLastIncarnation) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  advance(300ms);
  failDispatchDelivery(0);
  advance(20ms);
  failDispatchDelivery(0);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  // The agent is back before it was probed again.
  Now.Steady += 450ms;
  peer::Member Member;
  Member.set_name("a");
  Member.set_role(peer::ROLE_AGENT);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_incarnation(AgentIncarnation + 1);
  Member.set_address("10.0.0.1:1");
  Member.set_pool("pool");
  Member.mutable_room()->set_cpu_milli(4000);
  Coordinator.onMember(Member, Now);
  reportLoad("a", AgentIncarnation + 1);
  Coordinator.submit(request(1, "k"), 2, Now);
  advance(100ms);
  LONGS_EQUAL(1, Answers.Answers.size());
}

TEST(CoordinatorAgentsTest, TasksThatARestartedAgentRefusesAreSentAgain) {
  addAgent("a");
  Coordinator.submit(request(3), 1, Now);
  peer::Message Message;
  for (std::uint32_t I = 0; I < 3; ++I) {
    peer::LeasedUpdate *Update = Message.mutable_leased_update();
    Update->set_job("j");
    Update->set_index(I);
    Update->set_attempt(1);
    Update->set_order(
        Sink.Dispatches[0].second.tasks(static_cast<int>(I)).order());
    Update->set_event(peer::LEASED_NOT_STARTED);
    Update->set_refusal(peer::REFUSAL_STALE);
    Update->mutable_load()->set_incarnation(AgentIncarnation + 1);
    Update->mutable_load()->set_stamp(5);
    describeWorker(*Update->mutable_load());
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  }
  advance(100ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(3, Sink.Dispatches[1].second.tasks_size());
  LONGS_EQUAL(AgentIncarnation + 1,
              Sink.Dispatches[1].second.agent_incarnation());
}

// The tasks of an earlier incarnation are given up some time after the new one
// is known. The tasks of the new one must stay counted, or their lease is not
// renewed.
TEST(CoordinatorAgentsTest, NewTasksStayCountedWhenOldOnesAreLost) {
  struct Row {
    const char *Name;
    bool ByControl;
  };
  const Row Rows[] = {{"reported by the agent", false},
                      {"reported by control", true}};
  std::uint64_t Newest = AgentIncarnation;
  for (const Row &Row : Rows) {
    addAgent("a");
    reportRestart("a", Newest);
    Coordinator.submit(request(2, "old"), 1, Now);
    ++Newest;
    if (Row.ByControl) {
      peer::Member Member;
      Member.set_name("a");
      Member.set_role(peer::ROLE_AGENT);
      Member.set_state(peer::MEMBER_ALIVE);
      Member.set_incarnation(Newest);
      Member.set_address("10.0.0.1:1");
      Member.set_pool("pool");
      Member.mutable_room()->set_cpu_milli(4000);
      Member.mutable_room()->set_memory_mb(1000);
      Coordinator.onMember(Member, Now);
    }
    reportRestart("a", Newest);
    Coordinator.submit(request(1, "new"), 2, Now);
    advance(100ms);
    LONGS_EQUAL_TEXT(1, Coordinator.workerTable().workers().at("a").OwnTasks,
                     Row.Name);
    LONGS_EQUAL_TEXT(1000,
                     Coordinator.workerTable().workers().at("a").OwnMilliCores,
                     Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    LONGS_EQUAL_TEXT(0, Coordinator.workerTable().workers().at("a").OwnTasks,
                     Row.Name);
  }
}

// The current incarnation refuses the second copy of a dispatch. The first copy
// may have reached the previous one, which may have started the task.
TEST(CoordinatorAgentsTest, ARestartedAgentsRefusalOfAResendProvesNothing) {
  addAgent("a");
  Now.Steady += 20ms;
  Coordinator.submit(request(1), 1, Now);
  failDispatchDelivery(0);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  peer::Message Message;
  peer::LeasedUpdate *Update = Message.mutable_leased_update();
  Update->set_job("j");
  Update->set_attempt(1);
  Update->set_order(Sink.Dispatches[0].second.tasks(0).order());
  Update->set_event(peer::LEASED_NOT_STARTED);
  Update->set_refusal(peer::REFUSAL_STALE);
  Update->mutable_load()->set_incarnation(AgentIncarnation + 1);
  Update->mutable_load()->set_stamp(5);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  advance(100ms);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

TEST(CoordinatorAgentsTest, LeasesAreRenewedOftenOnlyWhileTasksRun) {
  addAgent("a");
  advance(1000ms);
  int Idle = Sink.Renewals["a"];
  Coordinator.submit(request(1), 1, Now);
  for (int I = 0; I < 5; ++I) {
    advance(200ms);
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(AgentIncarnation);
    Load.mutable_worker_load()->set_stamp(++Stamp);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  }
  CHECK(Idle <= 2);
  CHECK(Sink.Renewals["a"] - Idle >= 4);
  LONGS_EQUAL(0, Answers.Answers.size());
}

// With 70 agents, separate renewals and probes would be most of an entry's
// messages.
TEST(CoordinatorAgentsTest, ADispatchRenewsTheLeaseAndMessagesReplaceProbes) {
  addAgent("a");
  advance(100ms);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 20; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    advance(100ms);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    advance(100ms);
  }
  LONGS_EQUAL(Before, Sink.Renewals["a"]);
  LONGS_EQUAL(20, Answers.Answers.size());
}

// The end of a task that seems to run for long may have been missed.
TEST(CoordinatorAgentsTest, AnAgentWithALongTaskListsOrdersBetweenDispatches) {
  addAgent("a");
  LeasedJobRequest Long = request(1, "long");
  Long.Estimate = 5s;
  Long.Deadline = 60s;
  Coordinator.submit(Long, 1, Now);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 20; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    advance(100ms);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
  CHECK(Sink.Renewals["a"] - Before >= 2);
}

// The clocks of both hosts advance between messages. The extrapolated stamp
// must not run ahead of the agent's clock.
TEST(CoordinatorAgentsTest, AStampIsExtrapolatedByAtMostTheElapsedTime) {
  struct Row {
    std::chrono::milliseconds Passed;
    std::uint64_t Min;
    std::uint64_t Max;
  };
  const Row Rows[] = {{0ms, 1000, 1000},
                      {100ms, 1097, 1100},
                      {1000ms, 1970, 2000},
                      {60s, 1000 + 4000, 1000 + 5000}};
  addAgent("a");
  for (const Row &Row : Rows) {
    LeasedWorker Worker;
    Worker.Stamp = 1000;
    Worker.StampReceived = Now.Steady;
    std::uint64_t Carried = Worker.stampAt(Now.Steady + Row.Passed);
    CHECK(Carried >= Row.Min);
    CHECK(Carried <= Row.Max);
  }
}

// A leaving agent finishes its runs, which takes longer than a lease lasts.
TEST(CoordinatorAgentsTest, LeasesAtALeavingAgentAreRenewedWhileTasksRun) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  setState("a", peer::MEMBER_LEAVING);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 4; ++I) {
    advance(200ms);
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(AgentIncarnation);
    Load.mutable_worker_load()->set_stamp(++Stamp);
    Load.mutable_worker_load()->set_leaving(true);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  }
  CHECK(Sink.Renewals["a"] - Before >= 3);
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  int After = Sink.Renewals["a"];
  advance(2000ms);
  LONGS_EQUAL(After, Sink.Renewals["a"]);
}

// The load balancer then sends callers to an entry that reaches workers.
TEST(CoordinatorAgentsTest, AnEntryWithoutReachableWorkersReportsIt) {
  CHECK_FALSE(Coordinator.hasWorkers());
  addAgent("a");
  CHECK(Coordinator.hasWorkers());
  Now.Steady += 300ms;
  peer::Message Renewal;
  Renewal.mutable_lease_renewal();
  failDelivery("a", Renewal);
  CHECK(Coordinator.hasWorkers());
  Now.Steady += 300ms;
  failDelivery("a", Renewal);
  CHECK_FALSE(Coordinator.hasWorkers());
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentIncarnation);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  CHECK(Coordinator.hasWorkers());
  setState("a", peer::MEMBER_LEAVING);
  CHECK_FALSE(Coordinator.hasWorkers());
}

TEST(CoordinatorAgentsTest, ALeavingAgentGetsNoTasks) {
  addAgent("a");
  addAgent("b");
  setState("a", peer::MEMBER_LEAVING);
  Coordinator.submit(request(4), 1, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  STRCMP_EQUAL("b", Sink.Dispatches[0].first.c_str());
}
