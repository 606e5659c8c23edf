//===- Tasks that crash each worker that starts them ----------------------===//
//
// A task may crash each worker that starts it; the worker is back after some
// seconds. Its run lapses with the worker, and is placed again, until its job's
// time is over. Without a count of crashes by task one such job of 12 s crashed
// workers of 24 twelve times, and was started nine times after the third;
// handed in eight times, sixteen and thirteen (virtual time).
//
//===----------------------------------------------------------------------===//

#include "emulator/leased_world.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Core = 1000;

/// A world with a load of ordinary jobs and some that crash workers.
class CrashStory {
public:
  /// \param Counts Whether crashes are counted by task; off only to compare.
  CrashStory(std::uint64_t Seed, std::size_t Agents, std::size_t Entries,
             bool Counts = true)
      : World(options(Seed, Agents, Entries, Counts)), Entries(Entries),
        Random(Seed) {}

  /// \param Tasks Of each job, the first of which crashes its worker if
  /// \p Crashes.
  void submit(const std::string &Route, std::uint32_t Tasks,
              std::chrono::milliseconds Length, bool Crashes,
              std::chrono::milliseconds Deadline, const std::string &Id = "") {
    LeasedJobRequest Job;
    Job.Id = Id.empty() ? fmt::format("job-{}", ++this->LastJob) : Id;
    Job.Route = Route;
    Job.Needs.set_cpu_milli(Core);
    Job.Estimate = Length;
    Job.Objective = Length * 16 / 10 + 60ms;
    Job.Deadline = Deadline;
    Job.MaxAttempts = 4;
    std::vector<std::chrono::milliseconds> Lengths(Tasks, Length);
    if (Crashes)
      Lengths[0] = CrashesWorker;
    this->World.submit(this->Random() % this->Entries, Job, Lengths,
                       Job.Objective);
  }
  void run(std::chrono::milliseconds Time) { this->World.world().run(Time); }
  RouteOutcome outcome(const std::string &Route) const {
    auto Found = this->World.outcomes().find(Route);
    return Found == this->World.outcomes().end() ? RouteOutcome()
                                                 : Found->second;
  }

  LeasedWorld World;

private:
  static LeasedWorldOptions options(std::uint64_t Seed, std::size_t Agents,
                                    std::size_t Entries, bool Counts) {
    LeasedWorldOptions Options;
    Options.Seed = Seed;
    Options.Agents = Agents;
    Options.Entries = Entries;
    Options.RoomsMilli = {8 * Core};
    if (!Counts)
      Options.Coordinator.Crashes = {.MaxCrashesStartedLast = SIZE_MAX,
                                     .MaxCrashesAnyTask = SIZE_MAX};
    return Options;
  }

  std::size_t Entries;
  std::mt19937_64 Random;
  std::uint64_t LastJob = 0;
};

} // namespace

TEST_GROUP(CrashingTaskTest){};

TEST(CrashingTaskTest, ATaskIsGivenUpUnderWhichTwoWorkersHaveCrashed) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CrashStory Story(Seed, 24, 3);
    Story.submit("crashing", 1, 60ms, /*Crashes=*/true, 12s);
    Story.run(14s);
    CrashToll Toll = Story.World.crashToll();
    std::string Found =
        fmt::format("seed {}: {} crashes, {} starts after three", Seed,
                    Toll.Crashes, Toll.MostStartsAfterThree);
    CHECK_TEXT(Toll.MostStartsAfterThree < 3, Found.c_str());
    LONGS_EQUAL_TEXT(2, Toll.MostUnderOneTask, Found.c_str());
    LONGS_EQUAL_TEXT(1, Story.outcome("crashing").Failed, Found.c_str());
  }
}

// The caller may hand the job in again at another entry, and again.
TEST(CrashingTaskTest, AJobThatIsHandedInAgainIsRefusedAsFailed) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CrashStory Story(Seed, 24, 3);
    for (int Try = 0; Try < 8; ++Try) {
      Story.submit("crashing", 1, 60ms, /*Crashes=*/true, 1500ms, "the-job");
      Story.run(2800ms);
    }
    CrashToll Toll = Story.World.crashToll();
    std::string Found =
        fmt::format("seed {}: {} crashes, {} starts after three", Seed,
                    Toll.Crashes, Toll.MostStartsAfterThree);
    CHECK_TEXT(Toll.MostStartsAfterThree < 3, Found.c_str());
    CHECK_TEXT(Toll.MostUnderOneTask <= 4, Found.c_str());
  }
}

// What ran beside it on a worker must be served, and not be given up with it.
TEST(CrashingTaskTest, JobsBesideACrashingTaskAreServed) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CrashStory Story(Seed, 24, 3);
    for (int I = 0; I < 200; ++I) {
      Story.submit("ordinary", 3, 300ms, /*Crashes=*/false, 12s);
      if (I == 50)
        Story.submit("crashing", 1, 60ms, /*Crashes=*/true, 12s);
      Story.run(20ms);
    }
    Story.run(14s);
    RouteOutcome Ordinary = Story.outcome("ordinary");
    std::string Found = fmt::format(
        "seed {}: in time {}, late {}, refused {}, failed {}", Seed,
        Ordinary.InTime, Ordinary.Late, Ordinary.Refused, Ordinary.Failed);
    LONGS_EQUAL_TEXT(0, Ordinary.Failed, Found.c_str());
    CHECK_TEXT(Ordinary.inTimeShare() >= 0.97, Found.c_str());
    LONGS_EQUAL_TEXT(1, Story.outcome("crashing").Failed, Found.c_str());
    LONGS_EQUAL(0, Story.World.doubledRuns());
  }
}

// Some crashing jobs a second for five seconds, beside an ordinary load. Each
// takes its two workers and no more, so that the others are served.
TEST(CrashingTaskTest, AStormOfCrashingJobsTakesTwoWorkersForEach) {
  struct Row {
    const char *Name;
    bool Counts;
    std::uint32_t MaxCrashes;
    double LeastInTime;
  };
  const Row Rows[] = {{"counted", true, 2, 0.9}, {"not counted", false, 12, 0}};
  constexpr std::size_t Seeds = 10;
  double InTime[2] = {};
  for (std::size_t Run = 0; Run < 2 * Seeds; ++Run) {
    std::size_t I = Run % 2;
    const Row &Row = Rows[I];
    CrashStory Story(/*Seed=*/Run / 2 + 1, 70, 7, Row.Counts);
    for (int Step = 0; Step < 500; ++Step) {
      for (int Job = 0; Job < 3; ++Job)
        Story.submit("ordinary", 3, 300ms, /*Crashes=*/false, 8s);
      if (Step < 250 && Step % 10 == 0)
        Story.submit("crashing", 1, 60ms, /*Crashes=*/true, 8s);
      Story.run(20ms);
    }
    Story.run(10s);
    CrashToll Toll = Story.World.crashToll();
    RouteOutcome Ordinary = Story.outcome("ordinary");
    InTime[I] = Ordinary.inTimeShare();
    std::string Found = fmt::format(
        "{}: {} crashes, {} under one task; in time {}, late {}, refused {}, "
        "failed {} of {}",
        Row.Name, Toll.Crashes, Toll.MostUnderOneTask, Ordinary.InTime,
        Ordinary.Late, Ordinary.Refused, Ordinary.Failed, Ordinary.Asked);
    CHECK_TEXT(Toll.MostUnderOneTask <= Row.MaxCrashes, Found.c_str());
    CHECK_TEXT(InTime[I] >= Row.LeastInTime, Found.c_str());
    CHECK_TEXT(!Row.Counts || Ordinary.Failed == 0, Found.c_str());
    LONGS_EQUAL(0, Story.World.doubledRuns());
    CHECK_TEXT(I == 0 || InTime[0] > InTime[1], Found.c_str());
  }
}
