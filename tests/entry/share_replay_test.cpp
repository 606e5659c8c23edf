// Replays bursts of one class of jobs or of one data centre, in virtual time,
// against the real coordinators and keepers, with and without shares.

#include "emulator/mixed_load.h"

#include <algorithm>
#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// Credit that classes and data centres keep during a burst which ask for no
/// more than usual.
constexpr double MinWithinUsual = 0.95;
/// Credit that any of them keeps over the whole load, the bursting ones as
/// well.
constexpr double MinOfAny = 0.75;

struct Replay {
  const char *Name;
  std::vector<LoadBurst> Bursts;
  std::vector<EntryLoss> Losses;
};

/// Credit by class, data centre and pair of these.
std::map<std::string, double> creditsOf(const MixedOutcome &Outcome) {
  std::map<std::string, double> Credits;
  for (const auto &[Route, Seen] : Outcome.Routes)
    Credits[Route] = creditOf(Seen);
  for (const auto &[Group, Seen] : Outcome.Groups)
    Credits[Group] = creditOf(Seen);
  return Credits;
}

/// Three data centres with two entries each, whose callers usually ask for
/// 0.85 of the room.
MixedLoadOptions usualLoad(std::uint64_t Seed) {
  MixedLoadOptions Options;
  Options.World.Seed = Seed;
  Options.World.Entries = 6;
  Options.DataCentres = 3;
  Options.Factor = 0.94;
  Options.Lasts = 40000ms;
  return Options;
}

constexpr std::chrono::milliseconds BurstBegins{20000};
constexpr std::chrono::milliseconds BurstLasts{10000};
constexpr double BurstFactor = 2.4;

LoadBurst burst(const char *Route, const char *DataCentre) {
  return {Route, BurstBegins, BurstLasts, BurstFactor, DataCentre};
}

} // namespace

TEST_GROUP(ShareReplayTest){
    /// Whether some jobs of a class, a data centre or a pair are in a burst.
    static bool isInBurst(const Replay &Load, const std::string &Name){
        std::size_t At = Name.find('@');
bool IsPair = At != std::string::npos;
bool IsPlace = Name.starts_with("dc-");
std::string Route = IsPlace ? "" : Name.substr(0, At);
std::string Place = IsPair ? Name.substr(At + 1) : IsPlace ? Name : "";
return std::ranges::any_of(Load.Bursts, [&](const LoadBurst &Burst) {
  bool Routes = Burst.Route.empty() || Route.empty() || Burst.Route == Route;
  bool Places =
      Burst.DataCentre.empty() || Place.empty() || Burst.DataCentre == Place;
  return Routes && Places;
});
}

/// Runs a replay and checks the credit of each class and data centre.
static void check(const Replay &Load) {
  std::string Findings;
  for (std::uint64_t Seed : {1, 2, 3}) {
    MixedLoadOptions Options = usualLoad(Seed);
    Options.Bursts = Load.Bursts;
    Options.EntryLosses = Load.Losses;
    auto Without = creditsOf(runMixedLoad(Options));
    Options.World.Coordinator.Shares = ShareOptions();
    MixedOutcome Outcome = runMixedLoad(Options);
    LONGS_EQUAL_TEXT(0, Outcome.OverlappingRuns, Load.Name);
    auto With = creditsOf(Outcome);
    std::string Text = fmt::format("{}, seed {}:", Load.Name, Seed);
    for (const auto &[Name, Credit] : With)
      if (Name.find('@') == std::string::npos)
        Text += fmt::format(" {} {:.3f} ({:.3f})", Name, Credit, Without[Name]);
    UT_PRINT(Text.c_str());
    const std::string Prefix = "burst ";
    for (const auto &[Name, Credit] : With) {
      bool IsPeriod = Name.starts_with(Prefix);
      bool IsWithin = IsPeriod && !isInBurst(Load, Name.substr(Prefix.size()));
      if (IsPeriod && !IsWithin)
        continue;
      double Bound = IsWithin ? MinWithinUsual : MinOfAny;
      if (Credit < Bound)
        Findings += fmt::format("seed {}: {} has {:.3f}, below {}\n", Seed,
                                Name, Credit, Bound);
    }
  }
  STRCMP_EQUAL("", Findings.c_str());
}
}
;

TEST(ShareReplayTest, ABurstOfNarrowJobs) {
  check({"a burst of narrow jobs", {burst("narrow", "")}, {}});
}

TEST(ShareReplayTest, ABurstOfLongJobs) {
  check({"a burst of long jobs", {burst("long", "")}, {}});
}

TEST(ShareReplayTest, ABurstOfOneDataCentre) {
  check({"a burst of one data centre", {burst("", "dc-1")}, {}});
}

TEST(ShareReplayTest, ABurstOfTwoDataCentres) {
  check({"a burst of two data centres",
         {burst("", "dc-0"), burst("", "dc-1")},
         {}});
}

TEST(ShareReplayTest, ABurstOfTwoClasses) {
  check({"a burst of two classes", {burst("wide", ""), burst("long", "")}, {}});
}

TEST(ShareReplayTest, ABurstWhileAnEntryIsLost) {
  check({"a burst while an entry is lost",
         {burst("", "dc-1")},
         {{0, BurstBegins + 3000ms, 4000ms}}});
}
