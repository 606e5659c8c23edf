// Random faults on the leased path, for many seeds. A failing seed is printed
// with its story.

#include "tests/entry/lease_story.h"
#include "tests/support/seeds.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t DefaultSeeds = 60;
/// Within so many a planted fault must be seen.
constexpr std::uint64_t PlantedSeeds = 3000;

/// Plays a story in which workers, and in some all hosts, start again.
bool isBadWithRestarts(std::uint64_t Seed) {
  LeaseStoryOptions Options = LeaseStory::options(Seed);
  Options.MostWorkerCrashes = 6;
  Options.World.WorkersKeepId = Seed % 4 != 0;
  Options.PowerLoss = Seed % 2 == 0;
  LeaseStory Story(Options);
  std::string Found = Story.play();
  if (!Found.empty())
    UT_PRINT(
        fmt::format("seed {}: {}{}", Seed, Found, Story.describe()).c_str());
  return !Found.empty();
}

} // namespace

TEST_GROUP(LeaseHuntTest){};

TEST(LeaseHuntTest, NoTaskRunsTwiceAtOnceAndEachHandInIsAnsweredTruly) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  std::uint64_t Completed = 0;
  std::uint64_t Jobs = 0;
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    LeaseStory Story(LeaseStory::options(Seed));
    std::string Found = Story.play();
    Completed += Story.completed();
    Jobs += Story.jobs();
    if (Found.empty())
      continue;
    ++Bad;
    UT_PRINT(
        fmt::format("seed {}: {}{}", Seed, Found, Story.describe()).c_str());
  }
  LONGS_EQUAL(0, Bad);
  // What never ends when all is calm again would be hidden by a check by story.
  CHECK(Completed * 100 >= Jobs * 98);
}

// Workers crash and start again beside the other faults, each life under the id
// of the first or under its own.
TEST(LeaseHuntTest, NoTaskRunsTwiceAtOnceWhereWorkersStartAgain) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed)
    Bad += isBadWithRestarts(Seed) ? 1 : 0;
  LONGS_EQUAL(0, Bad);
}

// A start that is carried out seconds late reaches the next life of the same
// id. While its agent stands still or is gone, nothing has fenced it off.
TEST(LeaseHuntTest, ALateStartIsNotBegunByTheNextLifeOfItsId) {
  std::uint32_t Bad = 0;
  for (std::uint64_t Seed : {511, 1785, 2190, 4957})
    Bad += isBadWithRestarts(Seed) ? 1 : 0;
  LONGS_EQUAL(0, Bad);
}

// Each rule off by itself, so that a quiet hunt says something.
TEST(LeaseHuntTest, TheHuntSeesPlantedFaults) {
  struct Row {
    const char *Name;
    void (*Plant)(LeaseStoryOptions &Options);
  };
  const Row Rows[] = {
      {"leases count from the receipt of a message",
       [](LeaseStoryOptions &Options) {
         Options.World.Keeper.LeasesCountFromStamp = false;
       }},
      {"a worker's lease outlasts those of its runs",
       [](LeaseStoryOptions &Options) {
         Options.World.Keeper.StopAllowance = 1h;
       }},
      {"an entry's lease is too long",
       [](LeaseStoryOptions &Options) {
         Options.World.Keeper.EntryLease = 1600ms;
       }},
      {"callers do not wait",
       [](LeaseStoryOptions &Options) { Options.Callers.ResubmitAfter = 0ms; }},
      {"a silent worker's clock is taken to be right",
       [](LeaseStoryOptions &Options) {
         Options.World.Keeper.Session.LeaseExpiryMargin = 0ms;
       }},
      {"a confirmed stop counts as an end",
       [](LeaseStoryOptions &Options) {
         Options.World.Keeper.Session.MaxStopDuration = 0ms;
       }},
      {"a placement on its way is taken for missing",
       [](LeaseStoryOptions &Options) {
         Options.World.Coordinator.InTransit = 0ms;
         Options.World.Coordinator.MissingLimit = 0ms;
       }},
      {"placements that have ended are forgotten",
       [](LeaseStoryOptions &Options) {
         Options.World.Keeper.PlacementRetention = 0ms;
       }},
      {"an entry that stood still does not look whether its callers are there",
       [](LeaseStoryOptions &Options) {
         Options.World.Coordinator.BehindMemory = -1ms;
       }},
  };
  for (const Row &Row : Rows) {
    std::uint64_t SeenAt = 0;
    for (std::uint64_t Seed = 1; SeenAt == 0 && Seed <= PlantedSeeds; ++Seed) {
      LeaseStoryOptions Options = LeaseStory::options(Seed);
      Row.Plant(Options);
      LeaseStory Story(Options);
      Story.play();
      if (Story.doubledRuns() > 0)
        SeenAt = Seed;
    }
    CHECK_TEXT(SeenAt > 0, Row.Name);
  }
}
