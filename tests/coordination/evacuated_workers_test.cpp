//===- Placement while data centres are evacuated -------------------------===//

#include "tests/coordination/coordinator_fixture.h"

using namespace yardwheel;
using namespace std::chrono_literals;

// Guards against tasks that reach an evacuated data centre by a placement, a
// retry or an offer, and against jobs that wait for upstreams there.
TEST_GROUP_BASE(EvacuatedWorkersTest, CoordinatorFixture){
    void setup() override{addAgent("a1", 4000, "hall-a");
addAgent("b1", 4000, "hall-b");
}
std::set<std::string> agentsOf(std::size_t First) {
  std::set<std::string> Agents;
  for (std::size_t I = First; I < Sink.Dispatches.size(); ++I)
    Agents.insert(Sink.Dispatches[I].first);
  return Agents;
}
}
;

TEST(EvacuatedWorkersTest, NewTasksArePlacedOutsideTheDataCentre) {
  addAgent("a1", 40000, "hall-a");
  addAgent("b1", 40000, "hall-b");
  Coordinator.submit(request(4, "before"), 1, Now);
  CHECK(agentsOf(0) == (std::set<std::string>{"a1", "b1"}));
  Coordinator.setEvacuated({"hall-a"});
  std::size_t First = Sink.Dispatches.size();
  Coordinator.submit(patientRequest(4, "during"), 2, Now);
  CHECK(agentsOf(First) == std::set<std::string>{"b1"});
  LONGS_EQUAL(1, Coordinator.counters().PlacementsDiverted);
  // An agent that control announces meanwhile gets nothing either.
  addAgent("a2", 4000, "hall-a");
  First = Sink.Dispatches.size();
  Coordinator.submit(patientRequest(4, "later"), 3, Now);
  CHECK(agentsOf(First) == std::set<std::string>{"b1"});
  Coordinator.setEvacuated({});
  First = Sink.Dispatches.size();
  Coordinator.submit(patientRequest(6, "after"), 4, Now);
  CHECK(agentsOf(First).contains("a1"));
}

TEST(EvacuatedWorkersTest, RunningTasksEndAndRetriesGoElsewhere) {
  struct Row {
    const char *Name;
    peer::LeasedEvent Event;
    peer::LeasedRefusal Refusal;
    std::size_t Retries;
  };
  const Row Rows[] = {
      {"done", peer::LEASED_DONE, peer::REFUSAL_NONE, 0},
      {"failed", peer::LEASED_FAILED, peer::REFUSAL_NONE, 1},
      {"lapsed", peer::LEASED_ENDED_EARLY, peer::REFUSAL_NONE, 1},
      {"refused", peer::LEASED_NOT_STARTED, peer::REFUSAL_EVACUATED, 1},
      {"stale", peer::LEASED_NOT_STARTED, peer::REFUSAL_STALE, 1},
  };
  for (const Row &Row : Rows) {
    Coordinator.setEvacuated({"hall-b"});
    Sink.Dispatches.clear();
    Coordinator.submit(request(1, Row.Name), 1, Now);
    STRCMP_EQUAL_TEXT("a1", Sink.Dispatches[0].first.c_str(), Row.Name);
    Coordinator.setEvacuated({"hall-a"});
    answer(0, Row.Event, Row.Refusal);
    LONGS_EQUAL_TEXT(1 + Row.Retries, Sink.Dispatches.size(), Row.Name);
    if (Row.Retries == 0)
      continue;
    STRCMP_EQUAL_TEXT("b1", Sink.Dispatches[1].first.c_str(), Row.Name);
    answer(1, peer::LEASED_DONE);
  }
  for (const auto &[Ticket, Answer] : Answers.Answers)
    CHECK(Answer.End == LeasedEnd::Completed);
  LONGS_EQUAL(5, Answers.Answers.size());
}

TEST(EvacuatedWorkersTest, AnOfferFromTheDataCentreIsDeclined) {
  Coordinator.submit(request(8, "fills"), 1, Now);
  Coordinator.submit(request(2, "waits"), 2, Now);
  CHECK_FALSE(Sink.Interests.empty());
  std::size_t First = Sink.Dispatches.size();
  Coordinator.setEvacuated({"hall-a"});
  offer("a1", "waits", 2);
  LONGS_EQUAL(First, Sink.Dispatches.size());
  LONGS_EQUAL(1, Sink.DeclinedOffers["a1"]);
  offer("b1", "waits", 2);
  CHECK(agentsOf(First) == std::set<std::string>{"b1"});
}

TEST(EvacuatedWorkersTest, WithAllDataCentresEvacuatedJobsAreRefusedAtOnce) {
  Coordinator.setEvacuated({"hall-a", "hall-b"});
  Coordinator.submit(request(2), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  CHECK(onlyAnswer().RetryAfter > 0ms);
  STRCMP_CONTAINS("evacuated", onlyAnswer().Reason.c_str());
  LONGS_EQUAL(0, Sink.Dispatches.size());
  CHECK(Coordinator.hasWorkers());
}

// An upstream may come back cold, or repaired.
TEST(EvacuatedWorkersTest, FailuresFromBeforeAreForgotten) {
  for (int Failure = 0; Failure < 3; ++Failure) {
    Coordinator.setEvacuated({"hall-b"});
    Coordinator.submit(request(1, fmt::format("j{}", Failure).c_str()), 1, Now);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED,
           peer::REFUSAL_WORKER);
  }
  CHECK(Coordinator.workerTable().find("a1")->Ejected);
  Coordinator.setEvacuated({"hall-a"});
  CHECK(Coordinator.workerTable().find("a1")->Ejected);
  Coordinator.setEvacuated({});
  CHECK_FALSE(Coordinator.workerTable().find("a1")->Ejected);
}
