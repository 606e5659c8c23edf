#include "dispatch/run_time_factors.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(RunTimeFactorsTest){};

TEST(RunTimeFactorsTest, AFactorIsTheRatioToThePoolsMedian) {
  struct Row {
    const char *Name;
    std::vector<std::uint32_t> Told;
    std::uint32_t Own;
    double Factor;
  };
  const Row Rows[] = {
      {"none told", {}, 3000, 1},
      {"too few told", {1000, 3000}, 3000, 1},
      {"not known", {1000, 1000, 3000}, 0, 1},
      {"usual", {1000, 1000, 3000}, 1000, 1},
      {"slow", {1000, 1000, 3000}, 3000, 3},
      {"fast", {1200, 1200, 1200, 550}, 550, 550.0 / 1200},
      {"declared times are too short for all", {2000, 2000, 2100}, 2000, 1},
      {"within the noise", {1000, 1000, 1000}, 1490, 1},
      {"within the noise, below", {1000, 1000, 1000}, 670, 1},
      {"implausibly slow", {1000, 1000, 1000}, 90000, 4},
      {"implausibly fast", {1000, 1000, 1000}, 1, 0.25}};
  for (const Row &Row : Rows) {
    RunTimeFactors Factors;
    Factors.update(Row.Told, TimePoint(1h));
    DOUBLES_EQUAL_TEXT(Row.Factor, Factors.factorOf(Row.Own), 1e-9, Row.Name);
  }
}

TEST(RunTimeFactorsTest, AMedianIsUsedForItsLifetime) {
  RunTimeFactors Factors;
  TimePoint Now(1h);
  CHECK(Factors.isDue(Now));
  Factors.update({2000, 2000, 2000}, Now);
  DOUBLES_EQUAL(2, Factors.usualRatio(), 1e-9);
  CHECK_FALSE(Factors.isDue(Now + 99ms));
  CHECK(Factors.isDue(Now + 100ms));
}
