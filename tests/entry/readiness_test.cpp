//===- Readiness of an entry that must refuse jobs ------------------------=//
//
// Guards against an entry that reports itself ready while it refuses all jobs.
// An entry that couldn't reach control, and knew of a newer route table,
// refused every submitted job ("the route table here may be old"), yet told its
// balancer that it was ready. Its callers kept coming to it for as long as it
// was cut off, although other entries could have served them: readiness
// considered routes, workers and load, but not that the table's state was
// unknown.
//
//===----------------------------------------------------------------------===//

#include "entry/readiness.h"

#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr ReadinessFacts Healthy{.HasRoutes = true,
                                 .HasWorkers = true,
                                 .KeepsUp = true,
                                 .Draining = false,
                                 .Table = TableState::Current};

ReadinessFacts with(TableState Table) {
  ReadinessFacts Facts = Healthy;
  Facts.Table = Table;
  return Facts;
}

} // namespace

TEST_GROUP(ReadinessTest){};

TEST(ReadinessTest, EachConditionAloneMakesTheEntryNotReady) {
  struct Row {
    const char *Name;
    ReadinessFacts Facts;
    bool Ready;
  };
  ReadinessFacts NoRoutes = Healthy, NoWorkers = Healthy, Behind = Healthy,
                 Draining = Healthy;
  NoRoutes.HasRoutes = false;
  NoWorkers.HasWorkers = false;
  Behind.KeepsUp = false;
  Draining.Draining = true;
  const Row Rows[] = {{"healthy", Healthy, true},
                      {"no routes", NoRoutes, false},
                      {"no workers", NoWorkers, false},
                      {"behind", Behind, false},
                      {"draining", Draining, false},
                      {"control unreachable, jobs still served",
                       with(TableState::Unreachable), true}};
  for (const Row &Row : Rows) {
    Readiness Rule;
    CHECK_EQUAL_TEXT(Row.Ready, Rule.update(Row.Facts, TimePoint(1h)),
                     Row.Name);
  }
}

TEST(ReadinessTest, AnUnknownTableStateMakesTheEntryNotReadyOnceItLasts) {
  struct Step {
    std::chrono::milliseconds At;
    TableState Table;
    bool Ready;
  };
  struct Row {
    const char *Name;
    std::vector<Step> Steps;
  };
  const Row Rows[] = {
      {"too short for the balancer to notice",
       {{0ms, TableState::Current, true},
        {100ms, TableState::Unknown, true},
        {900ms, TableState::Unknown, true},
        {1000ms, TableState::Current, true},
        {1900ms, TableState::Unknown, true}}},
      {"lasting, then over",
       {{0ms, TableState::Current, true},
        {100ms, TableState::Unknown, true},
        {1200ms, TableState::Unknown, false},
        {5000ms, TableState::Unknown, false},
        {5100ms, TableState::Current, true}}},
      {"lasting, until control is known to be unreachable",
       {{0ms, TableState::Unknown, true},
        {3000ms, TableState::Unknown, false},
        {3100ms, TableState::Unreachable, true}}},
  };
  for (const Row &Row : Rows) {
    Readiness Rule;
    for (const Step &Step : Row.Steps)
      CHECK_EQUAL_TEXT(Step.Ready,
                       Rule.update(with(Step.Table), TimePoint(1h) + Step.At),
                       Row.Name);
  }
}
