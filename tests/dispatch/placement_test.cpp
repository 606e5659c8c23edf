#include "core/error.h"
#include "dispatch/placement.h"

#include <algorithm>
#include <chrono>
#include <set>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

struct Worker {
  std::uint32_t CapacityMilliCores;
  std::uint32_t LoadMilliCores;
  std::uint32_t MaxTasks = UINT32_MAX;
  double RunTimeFactor = 1;
  std::uint32_t DeviationMilliCores = 0;
  bool LastChoice = false;
  std::chrono::milliseconds StartDelay{};
};

std::vector<PlacementTarget> targetsOf(const std::vector<Worker> &Workers) {
  std::vector<PlacementTarget> Targets;
  Targets.reserve(Workers.size());
  for (const Worker &Known : Workers)
    Targets.push_back({Targets.size(), Known.CapacityMilliCores,
                       Known.LoadMilliCores, Known.MaxTasks,
                       Known.RunTimeFactor, Known.DeviationMilliCores,
                       Known.LastChoice, Known.StartDelay});
  return Targets;
}

/// Returns a hash of what a placement does with random loads of workers that
/// are equally fast.
std::uint64_t hashOfEqualWorkers(const char *Name, std::uint64_t Seed,
                                 std::chrono::milliseconds RunTime,
                                 std::chrono::milliseconds TimeLeft) {
  constexpr std::uint64_t Basis = 14695981039346656037ULL;
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t Hash = Basis;
  auto Add = [&](std::uint64_t Value) { Hash = (Hash ^ Value) * Prime; };
  std::mt19937_64 Random(Seed);
  auto Below = [&](std::uint64_t Limit) {
    return static_cast<std::uint32_t>(Random() % Limit);
  };
  auto Current = makePlacement(Name);
  for (int I = 0; I < 200; ++I) {
    std::vector<Worker> Workers(12);
    for (Worker &Known : Workers) {
      Known.CapacityMilliCores = 8000 + 4000 * Below(3);
      Known.LoadMilliCores = Below(14000);
      bool IsUncertain = Below(2) == 1;
      std::uint32_t Deviation = Below(1500);
      Known.DeviationMilliCores = IsUncertain ? Deviation : 0;
      Known.StartDelay = std::chrono::milliseconds(Below(300));
    }
    PlacementDemand Demand{1 + Below(10), 500 + Below(2000), Below(2) == 0,
                           RunTime, TimeLeft};
    for (const PlacementShare &Share :
         Current->divide(Demand, targetsOf(Workers), Random)) {
      Add(Share.Worker);
      Add(Share.Tasks);
      Add(Share.StartsNow ? 1 : 0);
    }
  }
  return Hash;
}

std::uint32_t tasksIn(const std::vector<PlacementShare> &Shares) {
  std::uint32_t Tasks = 0;
  for (const PlacementShare &Share : Shares)
    Tasks += Share.Tasks;
  return Tasks;
}

} // namespace

TEST_GROUP(PlacementTest) { std::mt19937_64 Random{5}; };

TEST(PlacementTest, EachKnownNameMakesAPlacementAndNoOtherDoes) {
  for (const char *Name : {"packed", "spread"})
    CHECK(makePlacement(Name) != nullptr);
  CHECK_THROWS(Error, makePlacement("magic"));
}

// Each additional worker costs messages and is another one that may fail.
TEST(PlacementTest, APackedJobUsesTheFewestWorkersThatStartItImmediately) {
  struct Row {
    const char *Name;
    std::vector<Worker> Workers;
    std::uint32_t Tasks;
    std::vector<std::uint32_t> Shares;
    bool StartsNow;
  };
  const Row Rows[] = {
      {"fits on one worker",
       {{4000, 3000}, {4000, 0}, {4000, 3000}},
       4,
       {4},
       true},
      {"fits on two workers",
       {{4000, 1000}, {4000, 2000}, {4000, 3500}},
       5,
       {2, 3},
       true},
      {"limited by a worker's maximum",
       {{9000, 0, 1}, {4000, 2000}},
       3,
       {1, 2},
       true},
      {"waits where it waits least",
       {{4000, 4000}, {4000, 9000}},
       2,
       {2},
       false},
      {"all workers are full", {{4000, 4000}, {9000, 9500}}, 1, {1}, false},
      {"no worker may take it", {{4000, 0, 0}}, 2, {}, true},
      {"some tasks can't be placed",
       {{4000, 0, 1}, {4000, 0, 1}},
       3,
       {1, 1},
       true},
      {"uncertain capacity is not used",
       {{4000, 0, UINT32_MAX, 1, 2000}, {4000, 1000}},
       3,
       {3},
       true},
  };
  auto Packed = makePlacement("packed");
  for (const Row &Row : Rows) {
    std::vector<PlacementShare> Shares =
        Packed->divide({Row.Tasks, 1000}, targetsOf(Row.Workers), Random);
    std::vector<std::uint32_t> Given;
    for (const PlacementShare &Share : Shares) {
      Given.push_back(Share.Tasks);
      CHECK_TEXT(Share.StartsNow == Row.StartsNow, Row.Name);
      CHECK_TEXT(Share.Tasks <= Row.Workers[Share.Worker].MaxTasks, Row.Name);
    }
    std::sort(Given.begin(), Given.end());
    CHECK_TEXT(Given == Row.Shares, Row.Name);
  }
}

TEST(PlacementTest, ATargetOfLastChoiceStartsOnlyWhatOthersCannot) {
  constexpr std::uint32_t Any = UINT32_MAX;
  struct Row {
    const char *Name;
    std::vector<Worker> Workers;
    std::uint32_t Tasks;
    /// Number of tasks on the first worker, which is the one of last choice.
    std::uint32_t OnFirst;
  };
  const Row Rows[] = {
      {"another fits", {{9000, 0, Any, 1, 0, true}, {4000, 2000}}, 2, 0},
      {"others fit together",
       {{9000, 0, Any, 1, 0, true}, {4000, 2000}, {4000, 3000}},
       3,
       0},
      {"others fit in part", {{9000, 0, Any, 1, 0, true}, {4000, 2000}}, 5, 3},
      {"others are full", {{9000, 0, Any, 1, 0, true}, {4000, 4000}}, 2, 2}};
  auto Packed = makePlacement("packed");
  for (const Row &Row : Rows) {
    std::uint32_t OnFirst = 0;
    for (const PlacementShare &Share :
         Packed->divide({Row.Tasks, 1000}, targetsOf(Row.Workers), Random))
      if (Share.Worker == 0)
        OnFirst += Share.Tasks;
    LONGS_EQUAL_TEXT(Row.OnFirst, OnFirst, Row.Name);
  }
}

// The hashes are those of placement without predicted ends.
TEST(PlacementTest, EqualWorkersArePlacedOnAsWithoutPredictedEnds) {
  struct Row {
    const char *Name;
    std::uint64_t Seed;
    std::uint64_t Hash;
  };
  const Row Rows[] = {{"packed", 1, 4294980329975338712ULL},
                      {"packed", 2, 12651398076758790788ULL},
                      {"packed", 3, 5476593484055245062ULL},
                      {"spread", 1, 11374342418919816738ULL},
                      {"spread", 2, 8843807758731957061ULL},
                      {"spread", 3, 11021298461175871065ULL}};
  for (const Row &Row : Rows)
    for (std::chrono::milliseconds RunTime : {0ms, 60ms, 900ms})
      for (std::chrono::milliseconds TimeLeft : {0ms, 100ms, 2000ms})
        CHECK_TEXT(hashOfEqualWorkers(Row.Name, Row.Seed, RunTime, TimeLeft) ==
                       Row.Hash,
                   Row.Name);
}

TEST(PlacementTest, TasksArePlacedWhereTheyEndInTime) {
  constexpr std::uint32_t Any = UINT32_MAX;
  struct Row {
    const char *Name;
    /// The first one is slow.
    std::vector<Worker> Workers;
    std::chrono::milliseconds RunTime;
    std::chrono::milliseconds TimeLeft;
    bool OnlyStartingNow;
    /// Number of tasks on the slow one, and on all.
    std::uint32_t OnSlow;
    std::uint32_t Placed;
  };
  const Worker Slow{9000, 0, Any, 2};
  const Row Rows[] = {
      {"late on the slow one",
       {Slow, {4000, 2000}},
       900ms,
       1500ms,
       false,
       0,
       2},
      {"in time on the slow one, even if it takes somewhat longer",
       {Slow, {4000, 3000}},
       50ms,
       160ms,
       false,
       2,
       2},
      {"barely in time on the slow one, and another one starts it",
       {Slow, {4000, 2000}},
       50ms,
       140ms,
       false,
       0,
       2},
      {"barely in time on the slow one, and no other one starts it",
       {Slow, {4000, 4000}},
       50ms,
       140ms,
       false,
       2,
       2},
      {"the usual one is full, and the wait for it is short",
       {Slow, {4000, 4000, Any, 1, 0, false, 20ms}},
       500ms,
       900ms,
       false,
       0,
       2},
      {"the usual one is full, and the wait for it is long",
       {Slow, {4000, 4000, Any, 1, 0, false, 600ms}},
       500ms,
       900ms,
       false,
       2,
       2},
      {"the usual one is full, and the tasks may wait for room",
       {Slow, {4000, 4000, Any, 1, 0, false, 20ms}},
       500ms,
       900ms,
       true,
       0,
       0},
      {"late everywhere", {Slow, {4000, 4000}}, 900ms, 300ms, false, 2, 2},
  };
  auto Packed = makePlacement("packed");
  for (const Row &Row : Rows) {
    std::vector<PlacementShare> Shares = Packed->divide(
        {2, 1000, Row.OnlyStartingNow, Row.RunTime, Row.TimeLeft},
        targetsOf(Row.Workers), Random);
    std::uint32_t OnSlow = 0;
    for (const PlacementShare &Share : Shares)
      if (Share.Worker == 0)
        OnSlow += Share.Tasks;
    LONGS_EQUAL_TEXT(Row.OnSlow, OnSlow, Row.Name);
    LONGS_EQUAL_TEXT(Row.Placed, tasksIn(Shares), Row.Name);
  }
}

TEST(PlacementTest, ASpreadJobUsesAsManyWorkersAsItHasTasks) {
  auto Spread = makePlacement("spread");
  std::vector<PlacementShare> Shares = Spread->divide(
      {3, 1000}, targetsOf({{9000, 0}, {9000, 0}, {9000, 0}}), Random);
  LONGS_EQUAL(3, Shares.size());
}

// Entries that see the same loads must not all choose the same worker.
TEST(PlacementTest, EntriesWithTheSameViewChooseDifferently) {
  auto Packed = makePlacement("packed");
  std::vector<Worker> Workers(10, {8000, 0});
  Workers[3].LoadMilliCores = 1000;
  std::set<std::size_t> Chosen;
  for (int I = 0; I < 200; ++I)
    for (const PlacementShare &Share :
         Packed->divide({2, 1000}, targetsOf(Workers), Random))
      Chosen.insert(Share.Worker);
  CHECK(Chosen.size() >= 9);
}

// Workers whose load is uncertain must not look alike to every entry.
TEST(PlacementTest, TasksWithoutCertainCapacityAreSpreadAmongUncertainWorkers) {
  auto Packed = makePlacement("packed");
  std::vector<Worker> Workers(60, {4000, 2000, UINT32_MAX, 1, 1500});
  std::set<std::size_t> Chosen;
  for (int I = 0; I < 20; ++I)
    for (const PlacementShare &Share :
         Packed->divide({4, 1000}, targetsOf(Workers), Random))
      Chosen.insert(Share.Worker);
  CHECK(Chosen.size() >= 30);
}

TEST(PlacementTest, AllTasksArePlacedWhateverTheLoad) {
  std::uniform_int_distribution<std::uint32_t> Load(0, 12000);
  std::uniform_int_distribution<std::uint32_t> Width(1, 40);
  for (const char *Name : {"packed", "spread"}) {
    auto Current = makePlacement(Name);
    for (int I = 0; I < 500; ++I) {
      std::vector<Worker> Workers;
      Workers.reserve(7);
      for (int J = 0; J < 7; ++J)
        Workers.push_back({8000, Load(Random)});
      std::uint32_t Tasks = Width(Random);
      LONGS_EQUAL_TEXT(
          Tasks,
          tasksIn(Current->divide({Tasks, 700}, targetsOf(Workers), Random)),
          Name);
    }
  }
}
