//===- Jobs that a coordinator takes, answers and gives up --------------===//

#include "tests/entry/coordinator_fixture.h"

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

TEST(LeaseCoordinatorTest, AStaleRefusalIsAnsweredWithTheNewStampThere) {
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

TEST(LeaseCoordinatorTest, NotRunIsSaidOnlyWhereEveryTaskIsProvedUnstarted) {
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

// The task has not started for this entry, but one of its job is there for
// another, to which the caller handed it in before.
TEST(LeaseCoordinatorTest, AJobThatRunsForAnotherEntryIsNotSaidNotToHaveRun) {
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

// Until its runs are proved ended, the same job may not begin again here, and
// nobody may be told that it has not run.
TEST(LeaseCoordinatorTest, AJobHandedInWhileItIsStoppedBeginsWhenThatHasEnded) {
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

TEST(LeaseCoordinatorTest, ACallerWhoLeavesTakesNothingFromOthers) {
  struct Row {
    const char *Name;
    LeaseTicket Leaves;
    LeasedEnd Second;
    LeasedEnd Third;
  };
  // The first has been answered; the others wait for the job to begin again.
  const Row Rows[] = {
      {"the first", 1, LeasedEnd::Completed, LeasedEnd::Completed},
      {"the second", 2, LeasedEnd::Unknown, LeasedEnd::Completed},
      {"the third", 3, LeasedEnd::Completed, LeasedEnd::Unknown},
      {"a stranger", 4, LeasedEnd::Completed, LeasedEnd::Completed},
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

TEST(LeaseCoordinatorTest, WhoWaitsForAStoppedJobIsToldTheTruthInTime) {
  struct Row {
    const char *Name;
    bool CallerLeaves;
  };
  const Row Rows[] = {{"its deadline passes", false}, {"it leaves", true}};
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
    // One of its runs may have begun.
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

// "Not run" is said of the job, not of a hand-in: its caller hands it in again
// since nobody could tell him how the first one ended.
TEST(LeaseCoordinatorTest,
     AJobThatRanHereIsNotSaidNotToHaveRunWhenItComesAgain) {
  struct Row {
    const char *Name;
    /// How the first hand-in's only task is answered.
    peer::LeasedEvent First;
    /// What has the second refused.
    std::function<void()> Refuse;
    /// Handed in while the first is still being stopped.
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
      {"ran, waits for its end", peer::LEASED_ENDED_EARLY, NoRoom, true,
       LeasedEnd::Unknown},
      {"ran, overload now", peer::LEASED_ENDED_EARLY, Overload, false,
       LeasedEnd::Unknown},
      {"never began, no worker now", peer::LEASED_NOT_STARTED, NoRoom, false,
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

TEST(LeaseCoordinatorTest, AFailedTaskIsRunElsewhereAsOftenAsItMay) {
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

TEST(LeaseCoordinatorTest, ASecondHandInOfARunningJobGetsTheSameAnswer) {
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
  const Row Rows[] = {{"handed in once", false, 1},
                      {"handed in again", true, 0}};
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
