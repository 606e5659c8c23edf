#include "tests/coordination/coordinator_fixture.h"

#include "coordination/deadline_check.h"

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

CoordinatorOptions checkingOptions() {
  CoordinatorOptions Options = spreadOptions();
  Options.Deadlines.Enabled = true;
  // Refused by the deadline alone.
  Options.Shedder.CheapestRouteLimit = 100;
  Options.Shedder.SustainedLimit = 100;
  Options.Shedder.MaxRouteLimit = 100;
  return Options;
}

class DeadlineFixture : public CoordinatorFixture {
protected:
  DeadlineFixture() : CoordinatorFixture(checkingOptions()) {}
  /// Lets a job of one task end, which ran for 100 ms.
  void endOneTask() {
    Coordinator.submit(patientRequest(1, "ended"), 1, Now);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
  /// Ends all jobs.
  void clear() {
    std::size_t First = this->Answered;
    Coordinator.cancelAll("test", Now);
    this->Answered = Sink.Dispatches.size();
    for (std::size_t I = First; I < this->Answered; ++I)
      answer(I, peer::LEASED_NOT_STARTED, peer::REFUSAL_STOPPED);
    Answers.Answers.clear();
  }
  /// Number of dispatches whose tasks have ended.
  std::size_t Answered = 0;
};

} // namespace

TEST_GROUP(DrainForecastTest){};

TEST(DrainForecastTest, WhatWaitsDrainsOnceInTheMeanRunTime) {
  struct Row {
    const char *Name;
    std::vector<std::pair<std::uint32_t, std::chrono::milliseconds>> Ended;
    double Pressure;
    double Limit;
    std::optional<std::chrono::milliseconds> Expected;
  };
  const Row Rows[] = {
      {"nothing has ended", {}, 2, 1, std::nullopt},
      {"nothing waits", {{1000, 200ms}}, 0.9, 1, 0ms},
      {"as much waits as there is room", {{1000, 200ms}}, 2, 1, 200ms},
      {"down to a limit above the room", {{1000, 200ms}}, 2, 1.5, 100ms},
      {"by room", {{3000, 100ms}, {1000, 500ms}}, 2, 1, 201ms},
  };
  for (const Row &Row : Rows) {
    DrainForecast Forecast;
    for (const auto &[CpuMilli, RunTime] : Row.Ended)
      Forecast.onTaskEnded("pool", CpuMilli, RunTime);
    CHECK_TEXT(Forecast.timeToDrain("pool", Row.Pressure, Row.Limit) ==
                   Row.Expected,
               Row.Name);
    CHECK_TEXT(!Forecast.timeToDrain("other", Row.Pressure, Row.Limit),
               Row.Name);
  }
}

TEST_GROUP_BASE(DeadlineCheckTest, DeadlineFixture){};

TEST(DeadlineCheckTest, AJobIsRefusedIfEvenAnEarlyEndMissesItsDeadline) {
  struct Row {
    const char *Name;
    /// Tasks of other jobs on a worker with room for four.
    std::uint32_t Taken;
    std::chrono::milliseconds Estimate;
    std::chrono::milliseconds Deadline;
    bool IsRefused;
  };
  // Each multiple of the room that waits, the job's own task included, takes
  // 100 ms.
  const Row Rows[] = {
      {"room is free, though it runs too long", 3, 1000ms, 200ms, false},
      {"a little waits, it runs too long", 5, 1000ms, 200ms, true},
      {"as much waits as there is room", 8, 100ms, 1000ms, false},
      {"misses by less than declared times are off", 8, 100ms, 150ms, false},
      {"misses by more", 8, 100ms, 120ms, true},
      {"the objective does not count", 24, 1ms, 400ms, false},
      {"the wait alone is too long", 24, 1ms, 300ms, true},
  };
  addAgent("a", 4000);
  for (const Row &Row : Rows) {
    endOneTask();
    Coordinator.submit(patientRequest(Row.Taken, "taken"), 2, Now);
    LeasedJobRequest Request = patientRequest(1);
    Request.Estimate = Row.Estimate;
    Request.Deadline = Row.Deadline;
    Coordinator.submit(Request, 3, Now);
    LONGS_EQUAL_TEXT(Row.IsRefused ? 1 : 0, Answers.countOf(3), Row.Name);
    if (Row.IsRefused) {
      CHECK_TEXT(Answers.Answers.back().second.End == LeasedEnd::NotRun,
                 Row.Name);
      STRCMP_EQUAL_TEXT("admit", Answers.Answers.back().second.Step.c_str(),
                        Row.Name);
    }
    clear();
  }
}

TEST(DeadlineCheckTest, WithoutEndedTasksNothingIsRefused) {
  addAgent("a", 4000);
  Coordinator.submit(patientRequest(24, "taken"), 2, Now);
  LeasedJobRequest Request = patientRequest(1);
  Request.Deadline = 1ms;
  Coordinator.submit(Request, 3, Now);
  LONGS_EQUAL(0, Answers.countOf(3));
}

TEST_GROUP_BASE(NoDeadlineCheckTest, CoordinatorFixture){};

TEST(NoDeadlineCheckTest, ByDefaultNoJobIsRefusedByItsDeadline) {
  addAgent("a", 4000);
  Coordinator.submit(patientRequest(1, "ended"), 1, Now);
  answer(0, peer::LEASED_DONE);
  Coordinator.submit(patientRequest(5, "taken"), 2, Now);
  LeasedJobRequest Request = patientRequest(1);
  Request.Deadline = 10ms;
  Coordinator.submit(Request, 3, Now);
  LONGS_EQUAL(0, Answers.countOf(3));
}
