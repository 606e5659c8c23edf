//===- Agents that leave, restart, fall silent or are renewed -----------===//

#include "tests/entry/coordinator_bench.h"

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(CoordinatorAgentsTest, CoordinatorBench){};

TEST(CoordinatorAgentsTest, AnAgentThatIsGoneLeavesItsJobsUnknown) {
  struct Row {
    const char *Name;
    std::function<void()> Lose;
  };
  const Row Rows[] = {
      {"lost", [&] { loseToControl("a"); }},
      {"unreachable",
       [&] {
         loseDispatch(Sink.Dispatches.size() - 1);
         LONGS_EQUAL(0, Answers.Answers.size());
         Now.Steady += 20ms;
         loseDispatch(Sink.Dispatches.size() - 1);
       }},
      {"silent", [&] { pass(1000ms); }},
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

// Its connection may have broken or gone silent while new ones work.
TEST(CoordinatorAgentsTest, ADispatchWithoutReceiptIsSentAgain) {
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
  // All that was under way on the broken connection fails with it.
  Coordinator.onUndelivered({{"a", "10.0.0.1:1"}, Now.Steady - 200ms, Sent},
                            Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  // Only what still waits for an end is sent again.
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  std::size_t Before = Sink.Dispatches.size();
  Now.Steady += 300ms;
  loseDispatch(0);
  LONGS_EQUAL(Before, Sink.Dispatches.size());
}

// The same job may have been handed in, given up and handed in again.
TEST(CoordinatorAgentsTest, AnUpdateOfAnEarlierSubmissionChangesNothing) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  loseToControl("a");
  LONGS_EQUAL(1, Answers.Answers.size());
  addAgent("a");
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(1, Answers.Answers.size());
  answer(1, peer::LEASED_DONE);
  CHECK(Answers.Answers.back().second.End == LeasedEnd::Completed);
}

// It may be cut off from control only, and its worker has room.
TEST(CoordinatorAgentsTest, AnAgentThatControlLostIsUsedWhileItIsHeardHere) {
  auto Hear = [&] { this->hear("a"); };
  addAgent("a");
  Hear();
  LeasedJobRequest Long = request(1);
  Long.Deadline = 10s;
  Coordinator.submit(Long, 1, Now);
  setState("a", peer::MEMBER_LOST);
  LONGS_EQUAL(0, Answers.Answers.size());
  for (int I = 0; I < 10; ++I) {
    pass(400ms);
    Hear();
  }
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  Coordinator.submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(1, peer::LEASED_DONE);
  // Idle and no longer heard: neither control nor this entry knows of it.
  pass(3000ms);
  Coordinator.submit(request(1, "l"), 3, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Answers.Answers.back().second.End == LeasedEnd::NotRun);
  // Control hears it again.
  addAgent("a");
  Coordinator.submit(request(1, "m"), 4, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
}

// Control may tell of the new life later than the agent itself does.
TEST(CoordinatorAgentsTest, ARestartedAgentIsKnownByItsOwnWords) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentLife + 1);
  Load.mutable_worker_load()->set_stamp(5);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  pass(80ms);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  Coordinator.submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(AgentLife + 1, Sink.Dispatches[1].second.agent_incarnation());
  // The stamp that was heard, and the time since then.
  CHECK(Sink.Dispatches[1].second.stamp() > 5);
  CHECK(Sink.Dispatches[1].second.stamp() <= 5 + 80);
}

// After a common restart control knows of agents before this entry can reach
// them. What is sent then fails, and its callers never learn what became of it.
TEST(CoordinatorAgentsTest, AnAgentGetsNoTasksUntilItHasBeenHeardHere) {
  tellOf("a");
  CHECK_FALSE(Coordinator.hasWorkers());
  Coordinator.submit(request(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  Coordinator.tick(Now);
  LONGS_EQUAL(1, Sink.Renewals["a"]);
  hear("a");
  CHECK(Coordinator.hasWorkers());
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
}

// An entry on a slow host answers late, and so hears late.
TEST(CoordinatorAgentsTest, AnEntryThatIsBehindTakesNobodyForSilent) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  LeasedJobRequest Other = request(1, "k");
  for (auto Passed = 0ms; Passed < 3000ms; Passed += 100ms) {
    Now.Steady += 100ms;
    Coordinator.tick(Now, /*LastBehind=*/Now.Steady);
    if (Passed == 500ms)
      loseDispatch(0);
  }
  // Its caller's deadline is its own.
  LONGS_EQUAL(1, Answers.Answers.size());
  STRCMP_EQUAL("deadline", onlyAnswer().Step.c_str());
  LONGS_EQUAL(0, Sink.Reconnects["a"]);
  LONGS_EQUAL(0, Coordinator.counters().AgentsLost);
  // Once it has read all, what is unanswered from then on counts.
  Now.Steady += 1000ms;
  hear("a");
  Coordinator.submit(Other, 2, Now);
  pass(1000ms);
  LONGS_EQUAL(1, Coordinator.counters().AgentsLost);
}

// Until it is taken for lost, each job sent there may be lost with it.
TEST(CoordinatorAgentsTest, AnAgentThatLeavesAQuestionOpenGetsNoMoreTasks) {
  addAgent("a", 64000);
  addAgent("b", 1000);
  Coordinator.submit(request(2), 1, Now);
  STRCMP_EQUAL("a", Sink.Dispatches[0].first.c_str());
  pass(400ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  Coordinator.submit(request(1, "k"), 2, Now);
  STRCMP_EQUAL("b", Sink.Dispatches.back().first.c_str());
  // It is heard again.
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentLife);
  Load.mutable_worker_load()->set_stamp(++Stamp);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  Coordinator.submit(request(2, "l"), 3, Now);
  STRCMP_EQUAL("a", Sink.Dispatches.back().first.c_str());
}

TEST(CoordinatorAgentsTest, AnotherConnectionIsTriedBeforeAnAgentIsLost) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  pass(400ms);
  LONGS_EQUAL(0, Sink.Reconnects["a"]);
  pass(200ms);
  CHECK(Sink.Reconnects["a"] >= 1);
  LONGS_EQUAL(0, Answers.Answers.size());
}

// What its last life left unanswered says nothing of its present one.
TEST(CoordinatorAgentsTest, ARestartedAgentIsNotSilentForItsLastLife) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  pass(300ms);
  loseDispatch(0);
  pass(20ms);
  loseDispatch(0);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  // Back before it was asked again whether it is there.
  Now.Steady += 450ms;
  peer::Member Member;
  Member.set_name("a");
  Member.set_role(peer::ROLE_AGENT);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_incarnation(AgentLife + 1);
  Member.set_address("10.0.0.1:1");
  Member.set_pool("pool");
  Member.mutable_room()->set_cpu_milli(4000);
  Coordinator.onMember(Member, Now);
  hear("a", AgentLife + 1);
  Coordinator.submit(request(1, "k"), 2, Now);
  pass(100ms);
  LONGS_EQUAL(1, Answers.Answers.size());
}

TEST(CoordinatorAgentsTest, WhatARestartedAgentRefusesIsSentAgain) {
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
    Update->mutable_load()->set_incarnation(AgentLife + 1);
    Update->mutable_load()->set_stamp(5);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  }
  pass(100ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(3, Sink.Dispatches[1].second.tasks_size());
  LONGS_EQUAL(AgentLife + 1, Sink.Dispatches[1].second.agent_incarnation());
}

// What an earlier life had is given up a little later than the new one is heard
// of; the new one's own tasks must stay counted, or their lease is not renewed.
TEST(CoordinatorAgentsTest,
     TasksOfAnAgentsNewLifeStayCountedWhenOldOnesAreLost) {
  struct Row {
    const char *Name;
    bool ByControl;
  };
  const Row Rows[] = {{"told by the agent", false}, {"told by control", true}};
  std::uint64_t Newest = AgentLife;
  for (const Row &Row : Rows) {
    addAgent("a");
    hear("a", Newest);
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
    hear("a", Newest);
    Coordinator.submit(request(1, "new"), 2, Now);
    pass(100ms);
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

// Its present life refuses the second copy of a dispatch. The first may have
// reached the life before, which may have begun the task.
TEST(CoordinatorAgentsTest, ARestartedAgentsRefusalOfASecondCopyProvesNothing) {
  addAgent("a");
  Now.Steady += 20ms;
  Coordinator.submit(request(1), 1, Now);
  loseDispatch(0);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  peer::Message Message;
  peer::LeasedUpdate *Update = Message.mutable_leased_update();
  Update->set_job("j");
  Update->set_attempt(1);
  Update->set_order(Sink.Dispatches[0].second.tasks(0).order());
  Update->set_event(peer::LEASED_NOT_STARTED);
  Update->set_refusal(peer::REFUSAL_STALE);
  Update->mutable_load()->set_incarnation(AgentLife + 1);
  Update->mutable_load()->set_stamp(5);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  pass(100ms);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

TEST(CoordinatorAgentsTest, LeasesAreRenewedOnlyOftenWhileTasksRun) {
  addAgent("a");
  pass(1000ms);
  int Idle = Sink.Renewals["a"];
  Coordinator.submit(request(1), 1, Now);
  for (int I = 0; I < 5; ++I) {
    pass(200ms);
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(AgentLife);
    Load.mutable_worker_load()->set_stamp(++Stamp);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  }
  CHECK(Idle <= 2);
  CHECK(Sink.Renewals["a"] - Idle >= 4);
  LONGS_EQUAL(0, Answers.Answers.size());
}

// At 70 agents these would be most of an entry's messages.
TEST(CoordinatorAgentsTest,
     ADispatchRenewsTheLeaseAndNewsOfAnAgentSpareAQuestion) {
  addAgent("a");
  pass(100ms);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 20; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    pass(100ms);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    pass(100ms);
  }
  LONGS_EQUAL(Before, Sink.Renewals["a"]);
  LONGS_EQUAL(20, Answers.Answers.size());
}

// Of tasks that seem to run for long the end may have been missed.
TEST(CoordinatorAgentsTest,
     AnAgentWithAnOldTaskIsAskedWhatItHoldsBetweenDispatches) {
  addAgent("a");
  LeasedJobRequest Long = request(1, "long");
  Long.Estimate = 5s;
  Long.Deadline = 60s;
  Coordinator.submit(Long, 1, Now);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 20; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    pass(100ms);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
  CHECK(Sink.Renewals["a"] - Before >= 2);
}

// The clocks of two hosts run on while nothing is said.
TEST(CoordinatorAgentsTest, AStampIsCarriedOnByAtMostTheTimeThatHasPassed) {
  struct Row {
    std::chrono::milliseconds Passed;
    std::uint64_t Least;
    std::uint64_t Most;
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
    CHECK(Carried >= Row.Least);
    CHECK(Carried <= Row.Most);
  }
}

// It lets its runs end, which takes longer than a lease lasts.
TEST(CoordinatorAgentsTest, LeasesAtALeavingAgentAreRenewedWhileTasksRunThere) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  setState("a", peer::MEMBER_LEAVING);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 4; ++I) {
    pass(200ms);
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(AgentLife);
    Load.mutable_worker_load()->set_stamp(++Stamp);
    Load.mutable_worker_load()->set_leaving(true);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  }
  CHECK(Sink.Renewals["a"] - Before >= 3);
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  int After = Sink.Renewals["a"];
  pass(2000ms);
  LONGS_EQUAL(After, Sink.Renewals["a"]);
}

// The balancer then sends callers to an entry that has some.
TEST(CoordinatorAgentsTest, AnEntryWithoutReachableWorkersSaysSo) {
  CHECK_FALSE(Coordinator.hasWorkers());
  addAgent("a");
  CHECK(Coordinator.hasWorkers());
  Now.Steady += 300ms;
  peer::Message Renewal;
  Renewal.mutable_lease_renewal();
  loseMessage("a", Renewal);
  CHECK(Coordinator.hasWorkers());
  Now.Steady += 300ms;
  loseMessage("a", Renewal);
  CHECK_FALSE(Coordinator.hasWorkers());
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentLife);
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
