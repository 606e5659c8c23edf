// Replays a burst beyond the room of all workers, in virtual time, with callers
// that return when they are told to.

#include "emulator/persistent_caller.h"

#include <algorithm>

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// Jobs per second: four fifths of what nine workers serve, and in the burst
/// a quarter more than they do.
constexpr double UsualRate = 180;
constexpr double BurstRate = 290;
constexpr auto BurstBegins = 2000ms;
constexpr auto BurstEnds = 5000ms;
constexpr auto LoadEnds = 8000ms;
constexpr auto ReplayEnds = 16000ms;
constexpr auto TaskLength = 200ms;

struct ReplayOutcome {
  std::size_t Jobs = 0;
  std::size_t Completed = 0;
  std::uint64_t Submissions = 0;
  /// Mean time from a job's first submission to its last answer.
  std::chrono::milliseconds MeanTime{};
};

LeasedJobRequest requestOf(int Number) {
  LeasedJobRequest Request;
  Request.Id = fmt::format("job-{}", Number);
  Request.Route = "route";
  Request.TaskCount = 2;
  Request.Needs.set_cpu_milli(6200);
  Request.Estimate = TaskLength;
  Request.MaxAttempts = 3;
  Request.Objective = 380ms;
  Request.Deadline = 6000ms;
  return Request;
}

ReplayOutcome replay(std::uint64_t Seed, const RetryAdviceOptions &Retries) {
  LeasedWorldOptions Options;
  Options.Seed = Seed;
  Options.Coordinator.Retries = Retries;
  LeasedWorld World(Options);
  std::mt19937_64 Random(Seed);
  std::vector<std::unique_ptr<PersistentCaller>> Callers;
  std::size_t Begun = 0;
  std::chrono::duration<double, std::milli> At(0);
  while (true) {
    bool IsBurst = At >= BurstBegins && At < BurstEnds;
    std::exponential_distribution<double> Gap(
        (IsBurst ? BurstRate : UsualRate) / 1000);
    At += std::chrono::duration<double, std::milli>(Gap(Random));
    if (At >= LoadEnds)
      break;
    Callers.push_back(std::make_unique<PersistentCaller>(
        World, requestOf(static_cast<int>(Callers.size())),
        std::vector<std::chrono::milliseconds>(2, TaskLength),
        PersistentCallerOptions()));
    World.world().after(std::chrono::duration_cast<Duration>(At),
                        [&Begun, &Caller = *Callers.back()] {
                          ++Begun;
                          Caller.begin();
                        });
  }
  constexpr auto Step = 20ms;
  std::chrono::milliseconds Waited{};
  auto CountEnded = [&] {
    return static_cast<std::size_t>(std::ranges::count_if(
        Callers, [](const auto &Caller) { return Caller->end().has_value(); }));
  };
  for (auto Passed = 0ms; Passed < ReplayEnds; Passed += Step) {
    World.world().run(Step);
    Waited += Step * (Begun - CountEnded());
  }
  ReplayOutcome Outcome;
  Outcome.Jobs = Callers.size();
  Outcome.Completed = CountEnded();
  Outcome.Submissions = World.nextSubmission() - 1;
  Outcome.MeanTime = Waited / Callers.size();
  return Outcome;
}

} // namespace

TEST_GROUP(RefusedCallersTest){};

// Compared with one delay for all, fewer returns are refused again and callers
// have their answers sooner.
TEST(RefusedCallersTest, AfterABurstAllAreServedWithFewRefusals) {
  RetryAdviceOptions Constant;
  Constant.MinDelay = 1000ms;
  Constant.MaxDelay = 1000ms;
  Constant.Spread = 0;
  for (std::uint64_t Seed : {1, 2, 3}) {
    ReplayOutcome With = replay(Seed, RetryAdviceOptions());
    ReplayOutcome Without = replay(Seed, Constant);
    std::string Text = fmt::format(
        "seed {}: {} of {} jobs after {} submissions and {} ms; with one delay "
        "{} after {} and {} ms",
        Seed, With.Completed, With.Jobs, With.Submissions,
        With.MeanTime.count(), Without.Completed, Without.Submissions,
        Without.MeanTime.count());
    LONGS_EQUAL_TEXT(With.Jobs, With.Completed, Text.c_str());
    CHECK_TEXT(With.Submissions < Without.Submissions, Text.c_str());
    CHECK_TEXT(With.MeanTime <= Without.MeanTime, Text.c_str());
  }
}
