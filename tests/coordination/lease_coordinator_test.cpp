//===- Jobs that a coordinator accepts, answers and gives up --------------===//

#include "tests/coordination/coordinator_fixture.h"

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(LeaseCoordinatorTest, CoordinatorFixture){};

TEST(LeaseCoordinatorTest, AJobIsCompleteWhenEveryTaskIsDone) {
  addAgent("a");
  addAgent("b");
  Coordinator.submit(request(4), 1, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(0, Answers.Answers.size());
  answer(1, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  LONGS_EQUAL(0, Coordinator.inFlight());
}

TEST(LeaseCoordinatorTest, AStaleRefusalIsRetriedThereWithTheNewStamp) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  answer(0, peer::LEASED_NOT_STARTED, peer::REFUSAL_STALE);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(Stamp, Sink.Dispatches[1].second.stamp());
  LONGS_EQUAL(2, Sink.Dispatches[1].second.tasks(0).attempt());
}

TEST(LeaseCoordinatorTest, WithoutAWorkerAJobIsRefusedAtOnceAsNotRun) {
  Coordinator.submit(request(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  CHECK(onlyAnswer().RetryAfter > 0ms);
}

TEST(LeaseCoordinatorTest, NotRunIsAnsweredOnlyIfEveryTaskIsProvenUnstarted) {
  struct Row {
    peer::LeasedEvent First;
    LeasedEnd Expected;
  };
  const Row Rows[] = {{peer::LEASED_NOT_STARTED, LeasedEnd::NotRun},
                      {peer::LEASED_DONE, LeasedEnd::Unknown},
                      {peer::LEASED_ENDED_EARLY, LeasedEnd::Unknown}};
  addAgent("a");
  addAgent("b");
  std::size_t Sent = 0;
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    Coordinator.submit(request(2), 1, Now);
    LONGS_EQUAL(Sent + 2, Sink.Dispatches.size());
    Coordinator.cancel("j", "test", Now);
    answer(Sent, Row.First, peer::REFUSAL_STOPPED);
    answer(Sent + 1, peer::LEASED_NOT_STARTED, peer::REFUSAL_STOPPED);
    CHECK(onlyAnswer().End == Row.Expected);
    Sent += 2;
  }
}

// The task has not started for this entry, but the agent runs a task of the
// same job for another entry, to which the caller submitted it before.
TEST(LeaseCoordinatorTest, AJobThatRunsForAnotherEntryIsNotAnsweredAsNotRun) {
  struct Row {
    peer::LeasedRefusal Refusal;
    LeasedEnd Expected;
  };
  const Row Rows[] = {{peer::REFUSAL_LEAVING, LeasedEnd::NotRun},
                      {peer::REFUSAL_OTHER_OWNER, LeasedEnd::Unknown}};
  addAgent("a");
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    Coordinator.submit(request(1), 1, Now);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED, Row.Refusal);
    CHECK(onlyAnswer().End == Row.Expected);
  }
}

TEST(LeaseCoordinatorTest, AGivenUpJobDoesNotWaitLongForProof) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  Coordinator.cancel("j", "test", Now);
  LONGS_EQUAL(1, Sink.Stops.size());
  LONGS_EQUAL(0, Answers.Answers.size());
  advance(60ms);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

// Until its runs are proven to have ended, the job must not start again here,
// and no caller may be told that it has not run.
TEST(LeaseCoordinatorTest, AJobResubmittedDuringItsStopStartsOnceItHasEnded) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  Coordinator.cancel("j", "test", Now);
  advance(60ms);
  LONGS_EQUAL(1, Answers.Answers.size());
  Coordinator.submit(request(1), 2, Now);
  Coordinator.submit(request(1), 3, Now);
  advance(60ms);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  LONGS_EQUAL(1, Answers.Answers.size());
  answer(0, peer::LEASED_ENDED_EARLY);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(1, peer::LEASED_DONE);
  LONGS_EQUAL(3, Answers.Answers.size());
  CHECK(Answers.Answers[2].second.End == LeasedEnd::Completed);
  LONGS_EQUAL(0, Coordinator.inFlight());
}

TEST(LeaseCoordinatorTest, ACallerThatDisconnectsDoesNotAffectOthers) {
  struct Row {
    const char *Name;
    LeaseTicket Leaves;
    LeasedEnd Second;
    LeasedEnd Third;
  };
  // The first caller has been answered; the others wait for the job to start
  // again.
  const Row Rows[] = {
      {"first caller", 1, LeasedEnd::Completed, LeasedEnd::Completed},
      {"second caller", 2, LeasedEnd::Unknown, LeasedEnd::Completed},
      {"third caller", 3, LeasedEnd::Completed, LeasedEnd::Unknown},
      {"unknown caller", 4, LeasedEnd::Completed, LeasedEnd::Completed},
  };
  for (const Row &Row : Rows) {
    addAgent("a");
    Answers.Answers.clear();
    Coordinator.submit(request(1), 1, Now);
    Coordinator.cancel("j", "test", Now);
    advance(60ms);
    Coordinator.submit(request(1), 2, Now);
    Coordinator.submit(request(1), 3, Now);
    Coordinator.withdraw("j", Row.Leaves, "test", Now);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_ENDED_EARLY);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    std::map<LeaseTicket, LeasedEnd> Ends;
    for (const auto &[Ticket, Answer] : Answers.Answers)
      Ends[Ticket] = Answer.End;
    LONGS_EQUAL_TEXT(3, Answers.Answers.size(), Row.Name);
    CHECK_TEXT(Ends[2] == Row.Second, Row.Name);
    CHECK_TEXT(Ends[3] == Row.Third, Row.Name);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

TEST(LeaseCoordinatorTest, CallersOfAStoppedJobAreAnsweredUnknownInTime) {
  struct Row {
    const char *Name;
    bool CallerLeaves;
  };
  const Row Rows[] = {{"the deadline passes", false},
                      {"the caller disconnects", true}};
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    std::string Id = Row.Name;
    Coordinator.submit(request(1, Id.c_str()), 1, Now);
    Coordinator.cancel(Id, "test", Now);
    LeasedJobRequest Again = request(1, Id.c_str());
    Again.Deadline = 200ms;
    Coordinator.submit(Again, 2, Now);
    if (Row.CallerLeaves)
      Coordinator.cancel(Id, "test", Now);
    else
      advance(240ms);
    // One of its runs may have started.
    CHECK_TEXT(Answers.Answers.back().first == 2 ||
                   Answers.Answers.front().first == 2,
               Row.Name);
    for (const auto &[Ticket, Answer] : Answers.Answers)
      CHECK_TEXT(Answer.End == LeasedEnd::Unknown, Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_ENDED_EARLY);
    advance(60ms);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

// The answer "not run" is about the job, not about one submission: the caller
// resubmits the job because the outcome of the first submission is unknown.
TEST(LeaseCoordinatorTest, AResubmittedJobThatRanHereIsNotAnsweredAsNotRun) {
  struct Row {
    const char *Name;
    /// Update for the only task of the first submission.
    peer::LeasedEvent First;
    /// Makes the coordinator refuse the second submission.
    std::function<void()> Refuse;
    /// Whether the job is resubmitted while the first run is being stopped.
    bool Early;
    LeasedEnd Expected;
  };
  auto NoRoom = [&] { setState("a", peer::MEMBER_LEAVING); };
  auto Overload = [&] {
    for (int I = 0; I < 40; ++I)
      Coordinator.submit(patientRequest(4, ("o" + std::to_string(I)).c_str()),
                         100, Now);
  };
  const Row Rows[] = {
      {"ran, no worker now", peer::LEASED_ENDED_EARLY, NoRoom, false,
       LeasedEnd::Unknown},
      {"ran, waits for the end of that run", peer::LEASED_ENDED_EARLY, NoRoom,
       true, LeasedEnd::Unknown},
      {"ran, overload now", peer::LEASED_ENDED_EARLY, Overload, false,
       LeasedEnd::Unknown},
      {"never started, no worker now", peer::LEASED_NOT_STARTED, NoRoom, false,
       LeasedEnd::NotRun},
  };
  for (const Row &Row : Rows) {
    addAgent("a");
    Coordinator.submit(request(1, Row.Name), 1, Now);
    std::size_t First = Sink.Dispatches.size() - 1;
    Coordinator.cancel(Row.Name, "test", Now);
    if (Row.Early) {
      advance(60ms);
      Coordinator.submit(request(1, Row.Name), 2, Now);
      Row.Refuse();
      answer(First, Row.First, peer::REFUSAL_STOPPED);
    } else {
      answer(First, Row.First, peer::REFUSAL_STOPPED);
      advance(1000ms);
      Row.Refuse();
      Coordinator.submit(request(1, Row.Name), 2, Now);
    }
    LONGS_EQUAL_TEXT(2, Answers.Answers.back().first, Row.Name);
    CHECK_TEXT(Answers.Answers.back().second.End == Row.Expected, Row.Name);
  }
}

TEST(LeaseCoordinatorTest, AFailedTaskIsRetriedElsewhereUpToItsLimit) {
  addAgent("a");
  addAgent("b");
  Coordinator.submit(request(1), 1, Now);
  answer(0, peer::LEASED_FAILED);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[0].first != Sink.Dispatches[1].first);
  answer(1, peer::LEASED_FAILED);
  CHECK(onlyAnswer().End == LeasedEnd::Failed);
  LONGS_EQUAL(2, Sink.Dispatches.size());
}

TEST(LeaseCoordinatorTest, AResubmissionOfARunningJobGetsTheSameAnswer) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(2, Answers.Answers.size());
}

TEST(LeaseCoordinatorTest, AJobIsNotGivenUpWhileALaterCallerStillWaits) {
  struct Row {
    const char *Name;
    bool Again;
    std::size_t AnsweredInBetween;
  };
  const Row Rows[] = {{"submitted once", false, 1},
                      {"submitted again", true, 0}};
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    Coordinator.submit(request(1, Row.Name), 1, Now);
    for (auto Passed = 0ms; Passed < 2000ms; Passed += 100ms) {
      advance(100ms);
      reportLoad("a");
      if (Row.Again && Passed == 1000ms)
        Coordinator.submit(request(1, Row.Name), 2, Now);
    }
    LONGS_EQUAL_TEXT(Row.AnsweredInBetween, Answers.Answers.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}
