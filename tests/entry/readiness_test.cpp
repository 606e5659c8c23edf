//===- An entry that must refuse is sent no callers -----------------------=//
//
// An entry that could not reach control, and had heard of a newer route table,
// refused each job handed in ("the route table here may be old"), and still
// told its balancer that it was ready. So its callers came to it for as long as
// the cut lasted, though other entries could have served them. Readiness looked
// at routes, workers and load; that the table's state was unknown was in no
// input.
//
//===----------------------------------------------------------------------===//

#include "entry/readiness.h"

#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr ReadinessFacts Sound{.HasRoutes = true,
                               .HasWorkers = true,
                               .KeepsUp = true,
                               .Draining = false,
                               .Table = TableState::Current};

ReadinessFacts with(TableState Table) {
  ReadinessFacts Facts = Sound;
  Facts.Table = Table;
  return Facts;
}

} // namespace

TEST_GROUP(ReadinessTest){};

TEST(ReadinessTest, EachFactAloneSendsCallersElsewhere) {
  struct Row {
    const char *Name;
    ReadinessFacts Facts;
    bool Ready;
  };
  ReadinessFacts NoRoutes = Sound, NoWorkers = Sound, Behind = Sound,
                 Draining = Sound;
  NoRoutes.HasRoutes = false;
  NoWorkers.HasWorkers = false;
  Behind.KeepsUp = false;
  Draining.Draining = true;
  const Row Rows[] = {
      {"sound", Sound, true},
      {"no routes", NoRoutes, false},
      {"no workers", NoWorkers, false},
      {"behind", Behind, false},
      {"draining", Draining, false},
      {"control out of reach, served on", with(TableState::Unreachable), true}};
  for (const Row &Row : Rows) {
    Readiness Rule;
    CHECK_EQUAL_TEXT(Row.Ready, Rule.update(Row.Facts, TimePoint(1h)),
                     Row.Name);
  }
}

TEST(ReadinessTest, AnOldTableSendsCallersElsewhereOnceItLasts) {
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
      {"a spell that the balancer would not see",
       {{0ms, TableState::Current, true},
        {100ms, TableState::Unknown, true},
        {900ms, TableState::Unknown, true},
        {1000ms, TableState::Current, true},
        {1900ms, TableState::Unknown, true}}},
      {"one that lasts, and its end",
       {{0ms, TableState::Current, true},
        {100ms, TableState::Unknown, true},
        {1200ms, TableState::Unknown, false},
        {5000ms, TableState::Unknown, false},
        {5100ms, TableState::Current, true}}},
      {"one that ends as control is known to be out of reach",
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
