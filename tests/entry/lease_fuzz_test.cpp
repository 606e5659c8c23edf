// Runs random fault scenarios of the leased path for many seeds. A failing seed
// is printed with its faults and what callers saw.

#include "tests/entry/lease_scenario.h"
#include "tests/support/seeds.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DefaultSeeds = 60;
/// A planted fault must be found within this many seeds.
constexpr std::uint64_t PlantedSeeds = 3000;

/// Runs a scenario in which workers restart and, for some seeds, all hosts.
/// \returns whether a violation was found.
bool failsWithRestarts(std::uint64_t Seed) {
  LeaseScenarioOptions Options = LeaseScenario::options(Seed);
  Options.MaxWorkerCrashes = 6;
  Options.World.WorkersKeepId = Seed % 4 != 0;
  Options.PowerLoss = Seed % 2 == 0;
  LeaseScenario Scenario(Options);
  std::string Found = Scenario.run();
  if (!Found.empty())
    UT_PRINT(
        fmt::format("seed {}: {}{}", Seed, Found, Scenario.describe()).c_str());
  return !Found.empty();
}

} // namespace

TEST_GROUP(LeaseFuzzTest){};

TEST(LeaseFuzzTest, NoRunsOverlapAndEachSubmissionIsAnsweredCorrectly) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  std::uint64_t Completed = 0;
  std::uint64_t Jobs = 0;
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    LeaseScenario Scenario(LeaseScenario::options(Seed));
    std::string Found = Scenario.run();
    Completed += Scenario.completed();
    Jobs += Scenario.jobs();
    if (Found.empty())
      continue;
    ++Bad;
    UT_PRINT(
        fmt::format("seed {}: {}{}", Seed, Found, Scenario.describe()).c_str());
  }
  LONGS_EQUAL(0, Bad);
  // The check of a single scenario tolerates some jobs that never end; over all
  // seeds nearly every job must complete.
  CHECK(Completed * 100 >= Jobs * 98);
}

// In addition to the other faults, workers crash and restart, with the id of
// the first incarnation or with a new one.
TEST(LeaseFuzzTest, NoRunsOverlapWhenWorkersRestart) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed)
    Bad += failsWithRestarts(Seed) ? 1 : 0;
  LONGS_EQUAL(0, Bad);
}

// A start call that is executed seconds late reaches the next incarnation of
// the worker with the same id. While its agent is frozen or dead, that
// incarnation has not received a fencing token that would reject the call.
TEST(LeaseFuzzTest, ALateStartDoesNotRunInTheNextIncarnation) {
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed : {511, 1785, 2190, 4957})
    Bad += failsWithRestarts(Seed) ? 1 : 0;
  LONGS_EQUAL(0, Bad);
}

// Disables one rule at a time and expects a violation, to show that the
// scenarios above would find one.
TEST(LeaseFuzzTest, PlantedFaultsAreFound) {
  struct Row {
    const char *Name;
    void (*Plant)(LeaseScenarioOptions &Options);
  };
  const Row Rows[] = {
      {"leases count from the receipt of a message",
       [](LeaseScenarioOptions &Options) {
         Options.World.Keeper.LeasesCountFromStamp = false;
       }},
      {"a worker's lease outlasts those of its runs",
       [](LeaseScenarioOptions &Options) {
         Options.World.Keeper.StopAllowance = 1h;
       }},
      {"an entry's lease is too long",
       [](LeaseScenarioOptions &Options) {
         Options.World.Keeper.EntryLease = 1600ms;
       }},
      {"callers do not wait",
       [](LeaseScenarioOptions &Options) {
         Options.Callers.ResubmitAfter = 0ms;
       }},
      {"no allowance for the clock of an unresponsive worker",
       [](LeaseScenarioOptions &Options) {
         Options.World.Keeper.Session.LeaseExpiryMargin = 0ms;
       }},
      {"a confirmed stop counts as the end of the run",
       [](LeaseScenarioOptions &Options) {
         Options.World.Keeper.Session.MaxStopDuration = 0ms;
       }},
      {"a placement in transit counts as missing",
       [](LeaseScenarioOptions &Options) {
         Options.World.Coordinator.MaxTransitTime = 0ms;
         Options.World.Coordinator.MissingTimeout = 0ms;
       }},
      {"placements that have ended are forgotten",
       [](LeaseScenarioOptions &Options) {
         Options.World.Keeper.PlacementRetention = 0ms;
       }},
      {"a stalled entry does not check whether callers are connected",
       [](LeaseScenarioOptions &Options) {
         Options.World.Coordinator.CatchUpPeriod = -1ms;
       }},
      {"starts without a reply are forgotten",
       [](LeaseScenarioOptions &Options) {
         Options.MaxWorkerCrashes = 6;
         Options.World.WorkersKeepId = true;
         Options.PowerLoss = Options.World.Seed % 2 == 0;
         Options.World.Keeper.OpenStarts.MaxCallDelay = 0ms;
         Options.World.Coordinator.OpenStarts.MaxCallDelay = 0ms;
         Options.World.Coordinator.OpenStarts.StartupWait = 0ms;
       }},
  };
  for (const Row &Row : Rows) {
    std::uint64_t FoundAt = 0;
    for (std::uint64_t Seed = 1; FoundAt == 0 && Seed <= PlantedSeeds; ++Seed) {
      LeaseScenarioOptions Options = LeaseScenario::options(Seed);
      Row.Plant(Options);
      LeaseScenario Scenario(Options);
      Scenario.run();
      if (Scenario.overlappingRuns() > 0)
        FoundAt = Seed;
    }
    CHECK_TEXT(FoundAt > 0, Row.Name);
  }
}

TEST_GROUP(DelegatedFuzzTest){};

// Agents coordinate jobs for entries, and crash, freeze, restart and are cut
// off like all other processes.
TEST(DelegatedFuzzTest, NoRunsOverlapWhenAgentsCoordinate) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  std::uint64_t Completed = 0;
  std::uint64_t Jobs = 0;
  std::uint64_t Delegated = 0;
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    LeaseScenario Scenario(LeaseScenario::delegatedOptions(Seed));
    std::string Found = Scenario.run();
    Completed += Scenario.completed();
    Jobs += Scenario.jobs();
    Delegated += Scenario.delegated();
    if (Found.empty())
      continue;
    ++Bad;
    UT_PRINT(
        fmt::format("seed {}: {}{}", Seed, Found, Scenario.describe()).c_str());
  }
  UT_PRINT(fmt::format("{} of {} jobs completed, {} delegated", Completed, Jobs,
                       Delegated)
               .c_str());
  LONGS_EQUAL(0, Bad);
  CHECK(Completed * 100 >= Jobs * 98);
  // Jobs are submitted again, and entries that restart begin to count anew.
  CHECK(Delegated * 2 >= Jobs);
}

// Disables one rule of delegation at a time and expects a violation.
TEST(DelegatedFuzzTest, PlantedFaultsOfDelegationAreFound) {
  struct Row {
    const char *Name;
    void (*Plant)(LeaseScenarioOptions &Options);
  };
  const Row Rows[] = {
      {"a delegate's messages carry its own time",
       [](LeaseScenarioOptions &Options) {
         Options.World.Delegate.LeasesCountFromEntry = false;
       }},
      {"a delegate forgets the jobs that have ended",
       [](LeaseScenarioOptions &Options) {
         Options.World.Delegate.EndedRetention = 0ms;
       }},
  };
  for (const Row &Row : Rows) {
    std::uint64_t FoundAt = 0;
    for (std::uint64_t Seed = 1; FoundAt == 0 && Seed <= PlantedSeeds; ++Seed) {
      LeaseScenarioOptions Options = LeaseScenario::delegatedOptions(Seed);
      Row.Plant(Options);
      LeaseScenario Scenario(Options);
      Scenario.run();
      if (Scenario.overlappingRuns() > 0)
        FoundAt = Seed;
    }
    CHECK_TEXT(FoundAt > 0, Row.Name);
  }
}

TEST_GROUP(UnknownStartFuzzTest){};

// The entry that places the task again does not know of the open start, as all
// hosts have lost power since, or as it has not received the agent's report.
TEST(UnknownStartFuzzTest, NoRunOverlapsALateStartThatIsUnknownToItsEntry) {
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed : {1004635, 1005810, 1021330})
    Bad += failsWithRestarts(Seed) ? 1 : 0;
  LONGS_EQUAL(0, Bad);
}
