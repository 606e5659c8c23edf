#include "coordination/load_shedder.h"

#include <vector>

// Must be included last: it redefines new.
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
    Shedder.onJobSubmitted("r", 0, 100, Now);
    CHECK(Shedder.limitFor("r", Now) > Row.MinLimit);
    CHECK(Shedder.limitFor("r", Now) < Row.MaxLimit);
  }
}

// The names of the rows tell which route is worth most. Work is in core-seconds
// submitted.
TEST(LoadShedderTest, TheRouteThatEarnsLeastPerCoreSecondIsShedFirst) {
  struct Row {
    const char *Name;
    std::map<std::uint32_t, double> Values;
    /// Work of the routes a, b and c, with priorities 0, 1 and 2.
    std::vector<double> Work;
    /// The routes, the first one to be shed first.
    const char *Order;
  };
  const std::map<std::uint32_t, double> Values = {
      {0, 10.1}, {1, 4.2}, {2, 7.4}};
  const Row Rows[] = {
      {"no values: by work", {}, {99, 240, 135}, "bca"},
      {"values agree with the work", Values, {99, 240, 135}, "bca"},
      {"the route with the most work is not the cheapest",
       Values,
       {80, 194, 237},
       "bca"},
      {"the same without values", {}, {80, 194, 237}, "cba"},
      {"a value is missing: by work",
       {{0, 10.1}, {1, 4.2}},
       {80, 194, 237},
       "cba"}};
  for (const Row &Row : Rows) {
    ShedderOptions Options;
    Options.Values = Row.Values;
    LoadShedder Rule(Options);
    for (std::uint32_t I = 0; I < Row.Work.size(); ++I)
      Rule.onJobSubmitted(std::string(1, static_cast<char>('a' + I)), I,
                          Row.Work[I], Now);
    double Last = 0;
    for (const char *Route = Row.Order; *Route != 0; ++Route) {
      double Limit = Rule.limitFor(std::string(1, *Route), Now);
      CHECK_TEXT(Limit > Last, Row.Name);
      Last = Limit;
    }
    DOUBLES_EQUAL_TEXT(Options.CheapestRouteLimit,
                       Rule.limitFor(std::string(1, Row.Order[0]), Now), 0.001,
                       Row.Name);
  }
}

TEST(LoadShedderTest, ASustainedLimitOfOneDisablesTheReduction) {
  ShedderOptions Options;
  Options.SustainedLimit = 1;
  Shedder = LoadShedder(Options);
  hold(2, 10000ms);
  Shedder.onJobSubmitted("r", 0, 100, Now);
  DOUBLES_EQUAL(Options.CheapestRouteLimit, Shedder.limitFor("r", Now), 0.001);
}
