// Replays a crest of callers at an entry that is too small for it, beside
// agents that are nearly idle, in virtual time: with and without delegation.

#include "emulator/mixed_load.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// Load factor at which the entry has processor time to spare.
constexpr double EasyLoadFactor = 0.3;
constexpr std::uint32_t MaxDelegates = 3;
/// Share of the entry's processor time that callers ask for between crests.
constexpr double BaseDemand = 0.6;

MixedLoadOptions loadAt(double Factor, std::uint64_t Seed) {
  MixedLoadOptions Options;
  Options.Factor = Factor;
  Options.World.Seed = Seed;
  Options.World.Entries = 1;
  // More workers than the load needs, so that only the entry is short.
  Options.World.Agents = 60;
  // About 0.12 core-ms at 0.12 of a core.
  Options.World.EntryMessageCost = 1ms;
  Options.World.EntriesRefuseWhenBehind = true;
  Options.World.WarmUp = 2s;
  return Options;
}

/// Returns the load factor at which callers ask for BaseDemand.
double baseFactor(std::uint64_t Seed) {
  MixedOutcome Easy = runMixedLoad(loadAt(EasyLoadFactor, Seed));
  return BaseDemand * EasyLoadFactor / Easy.Effort.MaxBusyShare;
}

/// Runs a load with a crest of five seconds, in which callers ask for \p Crest
/// times the entry's processor time.
MixedOutcome runCrest(double Crest, std::uint64_t Seed, double Factor,
                      std::uint32_t Delegates) {
  MixedLoadOptions Options = loadAt(Factor, Seed);
  Options.World.Delegation.Rule.MaxDelegates = Delegates;
  Options.Bursts = {{"", 3s, 5s, Crest / BaseDemand}};
  return runMixedLoad(Options);
}

/// Checks that the entry earns nearly all that its callers are owed.
void checkCrest(double Crest, std::uint64_t Seed) {
  // 0.95 of what is owed, wherever upstreams have room.
  constexpr double MinCredit = 0.95;
  double Factor = baseFactor(Seed);
  MixedOutcome With = runCrest(Crest, Seed, Factor, MaxDelegates);
  MixedOutcome Without = runCrest(Crest, Seed, Factor, 0);
  double Credit = meanCredit(With.Routes);
  std::string Text =
      fmt::format("seed {}, crest {}: credit {:.3f}, without delegates {:.3f}",
                  Seed, Crest, Credit, meanCredit(Without.Routes));
  LONGS_EQUAL_TEXT(0, With.OverlappingRuns, Text.c_str());
  CHECK_TEXT(Credit >= MinCredit, Text.c_str());
  CHECK_TEXT(Credit > meanCredit(Without.Routes), Text.c_str());
}

} // namespace

TEST_GROUP(DelegatedCrestTest){};

TEST(DelegatedCrestTest, ACrestOfCallersIsServedWithDelegates) {
  for (double Crest : {1.0, 1.5})
    for (std::uint64_t Seed : {1, 2, 3})
      checkCrest(Crest, Seed);
}

// The entry still reads, hands over and answers each delegated job.
TEST_GROUP(DoubleCrestTest){};

TEST(DoubleCrestTest, ACrestOfTwiceTheProcessorTimeIsServedWithDelegates) {
  for (std::uint64_t Seed : {1, 2, 3})
    checkCrest(2, Seed);
}
