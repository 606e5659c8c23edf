#include "agent/worker_pace.h"

#include <fmt/format.h>
#include <random>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Declared{100};

} // namespace

TEST_GROUP(WorkerPaceTest) {
  WorkerPace Pace;
  TimePoint Now{1h};
  int Jobs = 0;

  void finishJobs(int Count, std::chrono::milliseconds RunTime) {
    for (int I = 0; I < Count; ++I)
      Pace.onDone(fmt::format("job-{}", ++Jobs), RunTime, Declared, Now);
  }
};

TEST(WorkerPaceTest, TheMedianOfTheLastJobsIsTold) {
  struct Row {
    const char *Name;
    int Usual;
    int Slow;
    std::uint32_t Permille;
  };
  const Row Rows[] = {{"none", 0, 0, 0},
                      {"too few", 11, 0, 0},
                      {"enough", 12, 0, 1000},
                      {"some stragglers", 20, 4, 1000},
                      {"turned slow", 24, 14, 3000},
                      {"long slow", 24, 100, 3000}};
  for (const Row &Row : Rows) {
    Pace.reset();
    finishJobs(Row.Usual, Declared);
    finishJobs(Row.Slow, 3 * Declared);
    LONGS_EQUAL_TEXT(Row.Permille, Pace.permille(Now), Row.Name);
  }
}

// The declared time of a job is off by as much for all its tasks.
TEST(WorkerPaceTest, TheTasksOfAJobCountOnce) {
  finishJobs(14, Declared);
  for (int I = 0; I < 100; ++I)
    Pace.onDone("wide", 5 * Declared, Declared, Now);
  LONGS_EQUAL(1000, Pace.permille(Now));
}

TEST(WorkerPaceTest, JobsCountForALimitedTime) {
  finishJobs(24, 2 * Declared);
  LONGS_EQUAL(2000, Pace.permille(Now));
  Now += 10s;
  LONGS_EQUAL(0, Pace.permille(Now));
}

TEST(WorkerPaceTest, TasksWithoutADeclaredTimeAreIgnored) {
  for (int I = 0; I < 50; ++I)
    Pace.onDone(fmt::format("job-{}", I), 1s, 0ms, Now);
  LONGS_EQUAL(0, Pace.permille(Now));
}
