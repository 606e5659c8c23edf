//===- Where tasks are placed, wait, are moved and are shed ---------------===//

#include "tests/coordination/coordinator_fixture.h"

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(CoordinatorPlacementTest, CoordinatorFixture){};

// An entry knows the tasks of other entries only from the last message, so
// several entries choose the same worker that each considers idle. The worker's
// agent refuses what it cannot start.
TEST(CoordinatorPlacementTest, TasksThatABusyAgentRefusesMoveTogetherAtOnce) {
  addAgent("a", 4000);
  addAgent("b", 4000);
  Coordinator.submit(request(4), 1, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[0].second.start_or_refuse());
  std::string Busy = Sink.Dispatches[0].first;
  // The refusals carry the agent's load.
  for (const peer::LeasedTask &Task : Sink.Dispatches[0].second.tasks()) {
    peer::Message Message;
    peer::LeasedUpdate *Update = Message.mutable_leased_update();
    Update->set_job("j");
    Update->set_index(Task.index());
    Update->set_order(Task.order());
    Update->set_event(peer::LEASED_NOT_STARTED);
    Update->set_refusal(peer::REFUSAL_BUSY);
    Update->mutable_load()->set_incarnation(AgentIncarnation);
    Update->mutable_load()->set_stamp(++Stamp);
    Update->mutable_load()->set_others_cpu_milli(4000);
    Coordinator.onMessage({Busy, "10.0.0.1:1"}, Message, Now);
  }
  LONGS_EQUAL(2, Sink.Dispatches.size());
  Coordinator.placeScheduled(Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[2].first != Busy);
  LONGS_EQUAL(2, Sink.Dispatches[2].second.tasks_size());
}

// Without this limit, tasks would move between agents for as long as all
// workers are full.
TEST(CoordinatorPlacementTest, AfterSomeRefusalsTasksWaitInTheAgentsQueue) {
  addAgent("a", 1000);
  CoordinatorOptions Options;
  Coordinator.submit(patientRequest(1), 1, Now);
  for (std::uint32_t I = 0; I < Options.MaxRefusableRetries; ++I) {
    CHECK(Sink.Dispatches.back().second.start_or_refuse());
    answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED,
           peer::REFUSAL_BUSY);
  }
  LONGS_EQUAL(Options.MaxRefusableRetries + 1, Sink.Dispatches.size());
  CHECK_FALSE(Sink.Dispatches.back().second.start_or_refuse());
}

TEST(CoordinatorPlacementTest, TasksThatCanOnlyWaitMayNotBeRefusedAsBusy) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "j"), 1, Now);
  CHECK(Sink.Dispatches.back().second.start_or_refuse());
  Coordinator.submit(patientRequest(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK_FALSE(Sink.Dispatches.back().second.start_or_refuse());
}

// A task queued at one worker can start only there, even if another worker has
// room earlier.
TEST(CoordinatorPlacementTest, UrgentTasksWithoutCapacityTakeTheFirstOffers) {
  for (const char *Agent : {"a", "b", "c"})
    addAgent(Agent, 1000);
  Coordinator.submit(patientRequest(3, "full"), 1, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  Coordinator.submit(request(2, "urgent"), 2, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  LONGS_EQUAL(3, Sink.Interests.size());
  for (const auto &[Agent, Interest] : Sink.Interests) {
    STRCMP_EQUAL("urgent", Interest.job().c_str());
    LONGS_EQUAL(2, Interest.tasks());
    LONGS_EQUAL(120, Interest.start_by_ms());
  }
  offer("c", "urgent", 1);
  offer("a", "urgent", 2);
  LONGS_EQUAL(5, Sink.Dispatches.size());
  for (std::size_t I : {3, 4}) {
    LONGS_EQUAL(1, Sink.Dispatches[I].second.tasks_size());
    CHECK(Sink.Dispatches[I].second.start_or_refuse());
    CHECK(Sink.Dispatches[I].second.offer() > 0);
  }
  // All tasks are placed: a further offer is declined at once.
  offer("b", "urgent", 1);
  LONGS_EQUAL(5, Sink.Dispatches.size());
  LONGS_EQUAL(1, Sink.DeclinedOffers["b"]);
  answer(3, peer::LEASED_DONE);
  answer(4, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
}

// The interest or the offer may have been lost.
TEST(CoordinatorPlacementTest, WithoutOffersUrgentTasksAreQueuedInTime) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "full"), 1, Now);
  Coordinator.submit(request(1, "urgent"), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  advance(60ms);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  advance(40ms);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[1].second.start_by_ms() > 0);
  CHECK_FALSE(Sink.Dispatches[1].second.start_or_refuse());
  // A late offer is declined.
  offer("a", "urgent", 1);
  LONGS_EQUAL(1, Sink.DeclinedOffers["a"]);
}

// Offers cost additional messages, and in a large pool a worker with free
// capacity is nearly always found without them.
TEST(CoordinatorPlacementTest, InALargePoolTasksAreQueuedAtWorkers) {
  WaitingOptions Limits;
  std::size_t Workers = Limits.MaxWorkers + 1;
  for (std::size_t I = 0; I < Workers; ++I)
    addAgent("a" + std::to_string(I), 1000);
  auto All = static_cast<std::uint32_t>(Workers);
  Coordinator.submit(patientRequest(All, "full"), 1, Now);
  Coordinator.submit(request(1, "urgent"), 2, Now);
  LONGS_EQUAL(0, Sink.Interests.size());
  LONGS_EQUAL(Workers + 1, Sink.Dispatches.size());
}

// If tasks that wait for offers did not count, no jobs would be shed however
// many such tasks there are.
TEST(CoordinatorPlacementTest, TasksThatWaitForOffersCountAsLoad) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "full"), 1, Now);
  Coordinator.submit(request(3, "u1"), 2, Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  Coordinator.submit(request(3, "u2"), 3, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
}

TEST(CoordinatorPlacementTest, AJobThatEndsWhileItWaitsForOffersHasNotRun) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "full"), 1, Now);
  Coordinator.submit(request(1, "urgent"), 2, Now);
  Coordinator.cancel("urgent", "test", Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  offer("a", "urgent", 1);
  LONGS_EQUAL(1, Sink.DeclinedOffers["a"]);
  LONGS_EQUAL(1, Sink.Dispatches.size());
}

// Tasks may stall on a worker that still answers every call, so only their run
// time shows it.
TEST(CoordinatorPlacementTest, AStragglerIsStoppedAndMoved) {
  addAgent("a", 2000);
  addAgent("b", 2000);
  addAgent("c", 2000);
  Coordinator.submit(request(6), 1, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  advance(100ms);
  answer(0, peer::LEASED_DONE);
  answer(1, peer::LEASED_DONE);
  advance(100ms);
  LONGS_EQUAL(0, Sink.StallStops.size());
  advance(400ms);
  // The agent is asked to stop both tasks, and is asked again only after a
  // delay.
  CHECK(Sink.StallStops.size() >= 2);
  CHECK(Sink.StallStops[0].second.longer_than_ms() > 100);
  STRCMP_EQUAL(Sink.Dispatches[2].first.c_str(),
               Sink.StallStops[0].first.c_str());
  answer(2, peer::LEASED_ENDED_EARLY);
  LONGS_EQUAL(5, Sink.Dispatches.size());
  for (std::size_t I = 3; I < 5; ++I)
    CHECK(Sink.Dispatches[I].first != Sink.Dispatches[2].first);
}

// A worker that does not answer starts holds no tasks, so it looks less loaded
// than all others.
TEST(CoordinatorPlacementTest, AWorkerThatDoesNotAnswerStartsIsAvoided) {
  addAgent("a");
  addAgent("b");
  for (int I = 0; I < 4; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    std::string First = Sink.Dispatches.back().first;
    answer(Sink.Dispatches.size() - 1, peer::LEASED_ENDED_EARLY,
           peer::REFUSAL_WORKER);
    CHECK(Sink.Dispatches.back().first != First);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
  LONGS_EQUAL(4, Answers.Answers.size());
}

TEST(CoordinatorPlacementTest, AWorkerIsEjectedForUnansweredStarts) {
  addAgent("a", 100000);
  addAgent("b", 2000);
  Coordinator.submit(request(8), 1, Now);
  std::size_t ToA = Sink.Dispatches[0].first == "a" ? 0 : 1;
  answer(ToA, peer::LEASED_ENDED_EARLY, peer::REFUSAL_WORKER);
  LONGS_EQUAL(1, Coordinator.counters().Ejections);
}

TEST(CoordinatorPlacementTest, AWorkerThatFailsRepeatedlyIsEjected) {
  addAgent("a");
  addAgent("b");
  for (int I = 0; I < 3; ++I) {
    std::string Id = "j" + std::to_string(I);
    LeasedJobRequest Request = request(1, Id.c_str());
    Request.MaxAttempts = 1;
    Coordinator.submit(Request, 1, Now);
    while (Sink.Dispatches.back().first != "a") {
      answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED,
             peer::REFUSAL_LEAVING);
    }
    answer(Sink.Dispatches.size() - 1, peer::LEASED_FAILED);
  }
  LONGS_EQUAL(1, Coordinator.counters().Ejections);
  Coordinator.submit(request(4, "k"), 1, Now);
  STRCMP_EQUAL("b", Sink.Dispatches.back().first.c_str());
  LONGS_EQUAL(4, Sink.Dispatches.back().second.tasks_size());
}

// If entries did not share failures, each would have to lose tasks at the
// worker to learn of them.
TEST(CoordinatorPlacementTest, FailuresSeenByOtherEntriesEjectAWorker) {
  auto ReportFailures = [&](std::uint32_t Failures) {
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(AgentIncarnation);
    Load->set_stamp(++Stamp);
    Load->set_failures_in_row(Failures);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  };
  struct Row {
    std::uint32_t Failures;
    std::size_t Workers;
  };
  const Row Rows[] = {{2, 2}, {3, 1}, {4, 1}, {0, 2}};
  addAgent("a");
  addAgent("b");
  int Number = 0;
  for (const Row &Row : Rows) {
    ReportFailures(Row.Failures);
    Sink.Dispatches.clear();
    std::string Id = "j" + std::to_string(++Number);
    Coordinator.submit(request(4, Id.c_str()), 1, Now);
    LONGS_EQUAL(Row.Workers, Sink.Dispatches.size());
    for (std::size_t I = 0; I < Sink.Dispatches.size(); ++I)
      for (const peer::LeasedTask &Task : Sink.Dispatches[I].second.tasks()) {
        peer::Message Message;
        peer::LeasedUpdate *Update = Message.mutable_leased_update();
        Update->set_job(Id);
        Update->set_index(Task.index());
        Update->set_order(Task.order());
        Update->set_event(peer::LEASED_DONE);
        Coordinator.onMessage({"x", ""}, Message, Now);
        Coordinator.onMessage({Sink.Dispatches[I].first, ""}, Message, Now);
      }
  }
}

TEST(CoordinatorPlacementTest, UnderOverloadTheRouteWithMostWorkIsShedFirst) {
  addAgent("a", 10000);
  LeasedJobRequest Heavy = request(13, "h1");
  Heavy.Route = "heavy";
  Coordinator.submit(Heavy, 1, Now);
  LeasedJobRequest Light = request(1, "l1");
  Light.Route = "light";
  Coordinator.submit(Light, 2, Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  Heavy.Id = "h2";
  Coordinator.submit(Heavy, 3, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  STRCMP_EQUAL("admit", onlyAnswer().Step.c_str());
  Light.Id = "l2";
  Coordinator.submit(Light, 4, Now);
  LONGS_EQUAL(1, Answers.Answers.size());
}

// After a stall, an entry first reads the messages that agents sent meanwhile,
// then checks deadlines, and only later notices closed connections of callers.
// Without this check it would place tasks for callers that no longer wait.
TEST(CoordinatorPlacementTest, NothingIsPlacedForACallerThatNoLongerWaits) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds Passed;
    bool WasBehind;
    bool CallersConnected;
    bool IsPlaced;
  };
  const Row Rows[] = {
      {"in time", 0ms, false, true, true},
      {"stalled, the caller waits", 1000ms, true, true, true},
      {"the deadline has passed", 1600ms, false, true, false},
      {"stalled, the deadline has passed", 1600ms, true, true, false},
      {"stalled, the caller has disconnected", 1000ms, true, false, false},
      {"not stalled, the close is read in its turn", 1000ms, false, false,
       true}};
  for (bool Offered : {false, true})
    for (const Row &Row : Rows) {
      Answers.Answers.clear();
      Answers.CallersConnected = true;
      addAgent("a", 1000);
      // With a full worker, the job waits at the entry for an offer.
      LeasedJobRequest Full = patientRequest(1, "full");
      Full.Deadline = 20s;
      if (Offered)
        Coordinator.submit(Full, 2, Now);
      Coordinator.submit(request(1), 1, Now);
      std::size_t Before = Sink.Dispatches.size();
      Now.Steady += Row.Passed;
      Answers.CallersConnected = Row.CallersConnected;
      Coordinator.noteBehind(Row.WasBehind ? Now.Steady : TimePoint::min(),
                             Now);
      if (Offered)
        offer("a", "j", 1);
      else
        answer(Before - 1, peer::LEASED_NOT_STARTED, peer::REFUSAL_STALE);
      LONGS_EQUAL_TEXT(Row.IsPlaced, Sink.Dispatches.size() > Before, Row.Name);
      LONGS_EQUAL_TEXT(Row.IsPlaced ? 0 : 1, Answers.countOf(1), Row.Name);
      for (std::size_t I = 0; I < Sink.Dispatches.size(); ++I)
        answer(I, peer::LEASED_DONE);
      Coordinator.noteBehind(TimePoint::min(), Now);
      advance(6000ms);
      LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
    }
}

// The agent still runs the task for an earlier submission. Placed elsewhere, a
// second run would overlap with it.
TEST(CoordinatorPlacementTest, ATaskThatRunsAtAnAgentIsNotStartedElsewhere) {
  addAgent("a");
  addAgent("b");
  Coordinator.submit(request(1), 1, Now);
  answer(0, peer::LEASED_NOT_STARTED, peer::REFUSAL_OTHER_OWNER);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

namespace {

CoordinatorOptions priorityOptions() {
  CoordinatorOptions Options = spreadOptions();
  Options.SendsPriority = true;
  return Options;
}

class PriorityFixture : public CoordinatorFixture {
protected:
  PriorityFixture() : CoordinatorFixture(priorityOptions()) {}
  LeasedJobRequest lessUrgentRequest() {
    LeasedJobRequest Request = this->request(1);
    Request.Priority = 2;
    Request.DataCentre = "west";
    return Request;
  }
};

} // namespace

TEST_GROUP_BASE(QueuePriorityTest, PriorityFixture){};

TEST(QueuePriorityTest, DispatchesCarryRoutePriorityAndDataCentre) {
  addAgent("a");
  Coordinator.submit(lessUrgentRequest(), 1, Now);
  const peer::LeasedDispatch &Dispatch = Sink.Dispatches.at(0).second;
  STRCMP_EQUAL("r", Dispatch.route().c_str());
  LONGS_EQUAL(2, Dispatch.priority());
  STRCMP_EQUAL("west", Dispatch.data_centre().c_str());
}

TEST(CoordinatorPlacementTest, DispatchesCarryNoPriorityByDefault) {
  addAgent("a");
  LeasedJobRequest Request = request(1);
  Request.Priority = 2;
  Request.DataCentre = "west";
  Coordinator.submit(Request, 1, Now);
  const peer::LeasedDispatch &Dispatch = Sink.Dispatches.at(0).second;
  STRCMP_EQUAL("", Dispatch.route().c_str());
  LONGS_EQUAL(0, Dispatch.priority());
  STRCMP_EQUAL("", Dispatch.data_centre().c_str());
}

// Each refused job is told to return after those that were refused before it.
TEST(CoordinatorPlacementTest, RefusedJobsAreToldToReturnOneAfterAnother) {
  addAgent("a", 4000);
  Coordinator.submit(patientRequest(1, "ended"), 1, Now);
  answer(0, peer::LEASED_DONE);
  Coordinator.submit(patientRequest(16, "taken"), 2, Now);
  Answers.Answers.clear();
  const RetryAdviceOptions Options;
  for (LeaseTicket Ticket = 10; Ticket < 20; ++Ticket)
    Coordinator.submit(
        patientRequest(1, ("j" + std::to_string(Ticket)).c_str()), Ticket, Now);
  LONGS_EQUAL(10, Answers.Answers.size());
  for (const auto &[Ticket, Answer] : Answers.Answers) {
    CHECK(Answer.End == LeasedEnd::NotRun);
    CHECK(Answer.RetryAfter >= Options.MinDelay);
    CHECK(Answer.RetryAfter <= Options.MaxDelay);
  }
  CHECK(Answers.Answers.back().second.RetryAfter >
        Answers.Answers.front().second.RetryAfter);
}

namespace {

class FailingWorkerBench final : public CoordinatorFixture {
public:
  /// Returns where a job of one task is placed if one worker is idle but has
  /// failed, and another one that has not failed has more tasks.
  std::string placeJob(std::uint32_t MaxAttempts, bool HasOther) {
    addAgent("other", 4000);
    Coordinator.submit(patientRequest(3, "taken"), 1, Now);
    addAgent("failing", 4000);
    LeasedJobRequest Failed = patientRequest(1, "failed");
    Failed.MaxAttempts = 1;
    Coordinator.submit(Failed, 2, Now);
    STRCMP_EQUAL("failing", Sink.Dispatches.back().first.c_str());
    answer(Sink.Dispatches.size() - 1, peer::LEASED_FAILED);
    if (!HasOther)
      setState("other", peer::MEMBER_LEAVING);
    LeasedJobRequest Request = patientRequest(1, "placed");
    Request.MaxAttempts = MaxAttempts;
    Coordinator.submit(Request, 3, Now);
    STRCMP_EQUAL("placed", Sink.Dispatches.back().second.job().c_str());
    return Sink.Dispatches.back().first;
  }
};

} // namespace

TEST(CoordinatorPlacementTest, TheLastAttemptGoesToAWorkerWithoutFailures) {
  struct Row {
    const char *Name;
    std::uint32_t MaxAttempts;
    bool HasOther;
    const char *Expected;
  };
  const Row Rows[] = {
      {"two attempts left", 2, true, "failing"},
      {"the last attempt", 1, true, "other"},
      {"the last attempt, no other worker", 1, false, "failing"},
  };
  for (const Row &Row : Rows) {
    FailingWorkerBench Bench;
    STRCMP_EQUAL_TEXT(Row.Expected,
                      Bench.placeJob(Row.MaxAttempts, Row.HasOther).c_str(),
                      Row.Name);
  }
}
