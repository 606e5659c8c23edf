// Replays loads on workers of unequal speed, in virtual time, against the real
// coordinators and keepers, with and without learned run times.

#include "emulator/mixed_load.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// Mean credit of a class that users ask for.
constexpr double MinCredit = 0.9;
/// Differences of credit below this are noise.
constexpr double Noise = 0.03;
/// The kinds of job use nine tenths of as many usual workers.
constexpr std::size_t WorkersOfTheLoad = 9;

/// A pool whose workers are not equally fast.
struct Pool {
  const char *Name;
  std::vector<double> RunTimeFactors;
  std::vector<SpeedChange> SpeedChanges;
  /// Whether tasks are late on some workers, so that placement matters.
  bool EndsLate;
};

/// \param Workers Number of workers; with 24 at most, tasks wait for offers.
MixedLoadOptions loadOn(const Pool &Pool, std::size_t Workers,
                        std::uint64_t Seed) {
  MixedLoadOptions Options;
  Options.World.Seed = Seed;
  Options.World.Agents = Workers;
  Options.World.RunTimeFactors = Pool.RunTimeFactors;
  Options.SpeedChanges = Pool.SpeedChanges;
  // Two thirds of the room of usual workers, since slow ones have less.
  Options.Factor = 0.75 * static_cast<double>(Workers) /
                   static_cast<double>(WorkersOfTheLoad);
  return Options;
}

using Outcomes = std::map<std::string, RouteOutcome>;

Outcomes runWith(MixedLoadOptions Options, bool UsesRunTimes) {
  Options.World.Coordinator.Workers.UseRunTimes = UsesRunTimes;
  return runMixedLoad(Options).Routes;
}

std::string describe(const char *Name, std::size_t Workers, std::uint64_t Seed,
                     Outcomes Without, const Outcomes &With) {
  std::string Text =
      fmt::format("{}, {} workers, seed {}: {:.3f} without, {:.3f} with", Name,
                  Workers, Seed, meanCredit(Without), meanCredit(With));
  for (const auto &[Route, Seen] : With)
    Text += fmt::format("; {} {:.3f}, {:.3f}", Route,
                        Without[Route].inTimeShare(), Seen.inTimeShare());
  return Text;
}

} // namespace

TEST_GROUP(UnevenWorkersTest){};

TEST(UnevenWorkersTest, EachClassEarnsItsCreditOnUnevenWorkers) {
  const Pool Pools[] = {
      {"a quarter is twice as slow", {2, 1, 1, 1}, {}, true},
      {"a quarter is faster", {0.55, 1.2, 1.2, 1.2}, {}, false},
      {"a quarter is slower", {1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2}, {}, true}};
  for (const Pool &Row : Pools)
    for (std::size_t Workers : {12, 36})
      for (std::uint64_t Seed : {1, 2, 3}) {
        MixedLoadOptions Options = loadOn(Row, Workers, Seed);
        Outcomes Without = runWith(Options, false);
        Outcomes With = runWith(Options, true);
        std::string Text = describe(Row.Name, Workers, Seed, Without, With);
        double Gain = meanCredit(With) - meanCredit(Without);
        CHECK_TEXT(Gain > (Row.EndsLate ? Noise : -Noise), Text.c_str());
        for (const auto &[Route, Seen] : With) {
          CHECK_TEXT(meanCredit({{Route, Seen}}) >= MinCredit, Text.c_str());
          CHECK_TEXT(Seen.inTimeShare() > Without[Route].inTimeShare() - Noise,
                     Text.c_str());
        }
      }
}

// Half of the period passes before the slow workers are known and after they
// are fast again, so no class can earn its whole credit.
TEST(UnevenWorkersTest, WorkersThatTurnSlowAreFoundWhileTheyRun) {
  for (std::size_t Workers : {12, 36})
    for (std::uint64_t Seed : {1, 2, 3}) {
      const Pool Row = {"a third is three times as slow for a time",
                        {1},
                        {{2s, Workers / 3, 3}, {9s, Workers / 3, 1}},
                        true};
      MixedLoadOptions Options = loadOn(Row, Workers, Seed);
      Outcomes Without = runWith(Options, false);
      Outcomes With = runWith(Options, true);
      std::string Text = describe(Row.Name, Workers, Seed, Without, With);
      CHECK_TEXT(meanCredit(With) > meanCredit(Without) + Noise, Text.c_str());
      CHECK_TEXT(meanCredit(With) >= MinCredit, Text.c_str());
      for (const auto &[Route, Seen] : With)
        CHECK_TEXT(Seen.inTimeShare() > Without[Route].inTimeShare() - Noise,
                   Text.c_str());
    }
}

TEST(UnevenWorkersTest, EqualWorkersServeAsWithoutLearnedRunTimes) {
  const Pool Row = {"equal", {1}, {}, false};
  for (std::size_t Workers : {12, 36})
    for (std::uint64_t Seed : {1, 2, 3}) {
      MixedLoadOptions Options = loadOn(Row, Workers, Seed);
      Outcomes Without = runWith(Options, false);
      Outcomes With = runWith(Options, true);
      std::string Text = describe(Row.Name, Workers, Seed, Without, With);
      for (const auto &[Route, Seen] : With) {
        LONGS_EQUAL_TEXT(Without[Route].InTime, Seen.InTime, Text.c_str());
        LONGS_EQUAL_TEXT(Without[Route].Late, Seen.Late, Text.c_str());
        LONGS_EQUAL_TEXT(Without[Route].Refused, Seen.Refused, Text.c_str());
        LONGS_EQUAL_TEXT(Without[Route].Failed, Seen.Failed, Text.c_str());
      }
    }
}
