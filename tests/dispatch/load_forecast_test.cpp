#include "dispatch/load_forecast.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr double Close = 0.01;
const TimePoint Start = TimePoint(1h);

/// Returns a pool whose workers are alternately reported empty and full.
LoadForecast mixedPool() {
  LoadForecast Pool;
  for (int I = 0; I < 50; ++I)
    Pool.onReport(I % 2, Start);
  return Pool;
}

} // namespace

TEST_GROUP(LoadForecastTest){};

TEST(LoadForecastTest, AReportDecaysTowardsThePoolsMean) {
  struct Row {
    const char *Name;
    double Reported;
    Duration Age;
    double Share;
    double Deviation;
  };
  const Row Rows[] = {
      {"just reported empty", 0, 0ms, 0, 0},
      {"just reported full", 1, 0ms, 1, 0},
      {"empty, as old as a task's run time", 0, 200ms, 0.5 * (1 - 0.368),
       0.5 * 0.930},
      {"full, as old as a task's run time", 1, 200ms, 1 - 0.5 * (1 - 0.368),
       0.5 * 0.930},
      {"long ago", 0, 5s, 0.5, 0.5},
      {"long ago, and overloaded", 3, 5s, 0.5, 0.5},
  };
  LoadForecast Pool = mixedPool();
  for (const Row &Row : Rows) {
    Forecast Result = Pool.at(Row.Reported, Row.Age);
    DOUBLES_EQUAL_TEXT(Row.Share, Result.Share, Close, Row.Name);
    DOUBLES_EQUAL_TEXT(Row.Deviation, Result.Deviation, Close, Row.Name);
  }
}

TEST(LoadForecastTest, AUniformPoolHasNoDeviation) {
  LoadForecast Pool;
  for (int I = 0; I < 50; ++I)
    Pool.onReport(0.4, Start);
  DOUBLES_EQUAL(0, Pool.at(0.4, 5s).Deviation, Close);
}

TEST(LoadForecastTest, WithoutReportsNoLoadIsAssumed) {
  LoadForecast Pool;
  DOUBLES_EQUAL(0, Pool.at(0, 1h).Share, 0);
  DOUBLES_EQUAL(0, Pool.at(0, 1h).Deviation, 0);
}

// If tasks run for long, a report stays valid for longer.
TEST(LoadForecastTest, ReportsDecayAtTheRateAtWhichTasksEnd) {
  LoadForecast Short = mixedPool();
  LoadForecast Long = mixedPool();
  for (int I = 0; I < 100; ++I) {
    Short.onTaskEnded(20ms);
    Long.onTaskEnded(2s);
  }
  CHECK(Short.at(0, 200ms).Share > 0.45);
  CHECK(Long.at(0, 200ms).Share < 0.1);
}

TEST(LoadForecastTest, ThePoolsMeanFollowsABurstWithinHalfASecond) {
  LoadForecast Pool;
  for (int I = 0; I < 100; ++I)
    Pool.onReport(0.2, Start + I * 5ms);
  for (int I = 100; I < 200; ++I)
    Pool.onReport(1, Start + I * 5ms);
  CHECK(Pool.at(0.2, 5s).Share > 0.65);
}

// The workers of a pool that was idle are probed simultaneously; no single
// answer may dominate.
TEST(LoadForecastTest, SimultaneousReportsHaveEqualWeight) {
  LoadForecast Pool;
  Pool.onReport(1, Start);
  for (int I = 0; I < 9; ++I)
    Pool.onReport(0, Start);
  DOUBLES_EQUAL(0.1, Pool.at(0, 5s).Share, Close);
}
