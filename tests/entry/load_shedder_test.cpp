#include "entry/load_shedder.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(LoadShedderTest) {
  LoadShedder Shedder{ShedderOptions()};
  TimePoint Now{1h};
  /// Records the pressure a hundred times a second.
  void hold(double Pressure, std::chrono::milliseconds Time) {
    for (auto Passed = 0ms; Passed < Time; Passed += 10ms) {
      Now += 10ms;
      Shedder.onPressure(Pressure, Now);
    }
  }
};

// A burst is worth waiting out; a persistent queue makes all jobs wait.
TEST(LoadShedderTest, TheLimitFallsWhileTheWorkersStayFull) {
  struct Row {
    double Pressure;
    std::chrono::milliseconds Time;
    double MinLimit;
    double MaxLimit;
  };
  const Row Rows[] = {{0.8, 10000ms, 1.29, 1.31},
                      {1.25, 300ms, 1.29, 1.31},
                      {1.25, 10000ms, 1.09, 1.11},
                      {0.8, 10000ms, 1.29, 1.31}};
  for (const Row &Row : Rows) {
    hold(Row.Pressure, Row.Time);
    Shedder.onJobSubmitted("r", 100, Now);
    CHECK(Shedder.limitFor("r", Now) > Row.MinLimit);
    CHECK(Shedder.limitFor("r", Now) < Row.MaxLimit);
  }
}

TEST(LoadShedderTest, ASustainedLimitOfOneDisablesTheReduction) {
  ShedderOptions Options;
  Options.SustainedLimit = 1;
  Shedder = LoadShedder(Options);
  hold(2, 10000ms);
  Shedder.onJobSubmitted("r", 100, Now);
  DOUBLES_EQUAL(Options.BusiestRouteLimit, Shedder.limitFor("r", Now), 0.001);
}
