#include "coordination/demand_meter.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(DemandMeterTest) {
  DemandMeter Meter{DemandMeterOptions()};
  TimePoint Now{1h};
  const DemandPair Pair{"r", "north"};

  /// Asks for \p MilliCores by jobs that arrive ten times a second.
  void ask(const DemandPair &Asking, double MilliCores,
           std::chrono::milliseconds Time) {
    for (auto Passed = 0ms; Passed < Time; Passed += 100ms) {
      Now += 100ms;
      Meter.add(Asking, MilliCores / 10, Now);
    }
  }
  ShareClaim claim(const DemandPair &Asking) {
    return Meter.claims(Now)[Asking];
  }
};

TEST(DemandMeterTest, ABurstIsPresentSoonAndNotUsual) {
  struct Row {
    const char *Name;
    double MilliCores;
    std::chrono::milliseconds Time;
    double MinPresent;
    double MaxPresent;
    double MinUsual;
    double MaxUsual;
  };
  // Each row continues from the state that the previous one left.
  const Row Rows[] = {
      {"soon after the start", 1000, 3000ms, 900, 1100, 900, 1100},
      {"as usual", 1000, 120000ms, 950, 1100, 950, 1050},
      {"a burst begins", 2400, 2000ms, 2100, 2600, 950, 1100},
      {"a burst of 10 s", 2400, 8000ms, 2300, 2600, 1100, 1300},
      {"as usual again", 1000, 3000ms, 900, 1200, 1000, 1300},
      {"much longer than a burst", 2400, 240000ms, 2300, 2600, 2300, 2500},
      {"silence", 0, 5000ms, 0, 50, 2000, 2400},
  };
  for (const Row &Row : Rows) {
    ask(Pair, Row.MilliCores, Row.Time);
    ShareClaim Seen = claim(Pair);
    std::string Text = fmt::format("{}: present {}, usual {}", Row.Name,
                                   Seen.Demand, Seen.Guaranteed);
    CHECK_TEXT(Seen.Demand >= Row.MinPresent, Text.c_str());
    CHECK_TEXT(Seen.Demand <= Row.MaxPresent, Text.c_str());
    CHECK_TEXT(Seen.Guaranteed >= Row.MinUsual, Text.c_str());
    CHECK_TEXT(Seen.Guaranteed <= Row.MaxUsual, Text.c_str());
  }
}

TEST(DemandMeterTest, ReportsThePairsWithTheMostDemand) {
  for (int I = 0; I < 40; ++I)
    Meter.add({fmt::format("r{}", I % 10), fmt::format("d{}", I / 10)},
              100.0 * (I + 1), Now);
  std::vector<peer::RouteDemand> Rows = Meter.report(Now);
  LONGS_EQUAL(MaxReportedPairs, Rows.size());
  for (const peer::RouteDemand &Row : Rows)
    CHECK(Row.cpu_milli() > 2400);
}

TEST(DemandMeterTest, DropsThePairsWithTheLeastUsualDemand) {
  ask(Pair, 1000, 1000ms);
  for (int I = 0; I < 1000; ++I)
    Meter.add({fmt::format("r{}", I), ""}, 1, Now);
  LONGS_EQUAL(DemandMeterOptions().MaxPairs, Meter.size());
  CHECK(claim(Pair).Demand > 500);
  // The newest pair is known, however small.
  CHECK(claim({"r999", ""}).Demand > 0);
}

TEST(DemandMeterTest, ReportsNothingWithoutDemand) {
  CHECK(Meter.report(Now).empty());
  ask(Pair, 1000, 1000ms);
  Now += 60s;
  CHECK(Meter.report(Now).empty());
}
