// Replays loads under which all workers are full for moments, in virtual time,
// against the real coordinators and keepers; some with a feature on and off.

#include "emulator/mixed_load.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(LeaseOverloadTest){};

TEST(LeaseOverloadTest, EveryJobGetsOneAnswer) {
  struct Row {
    const char *Name;
    double Factor;
    NetworkFaults Faults;
  };
  const Row Rows[] = {{"normal load", 0.8, {}},
                      {"overload", 1.3, {}},
                      {"delayed messages", 1, {0, 0, 10ms}},
                      {"duplicated messages", 1, {0, 100, 5ms}},
                      {"lost messages", 1, {50, 0, 0ms}},
                      {"all of these", 1.2, {30, 50, 10ms}}};
  for (const Row &Row : Rows) {
    MixedLoadOptions Options;
    Options.Factor = Row.Factor;
    Options.Faults = Row.Faults;
    MixedOutcome Outcome = runMixedLoad(Options);
    LONGS_EQUAL_TEXT(0, Outcome.OverlappingRuns, Row.Name);
    for (const auto &[Route, Seen] : Outcome.Routes) {
      CHECK_TEXT(Seen.Submitted > 50, Row.Name);
      LONGS_EQUAL_TEXT(Seen.Submitted,
                       Seen.InTime + Seen.Late + Seen.Refused + Seen.Failed,
                       Row.Name);
    }
  }
}

TEST(LeaseOverloadTest, TheSameSeedGivesTheSameRun) {
  MixedLoadOptions Options;
  auto First = runMixedLoad(Options).Routes;
  auto Second = runMixedLoad(Options).Routes;
  for (const auto &[Route, Seen] : First)
    LONGS_EQUAL_TEXT(Seen.InTime, Second[Route].InTime, Route.c_str());
}

// In the queues of single workers, a wide job takes as long as the task that
// waits longest.
TEST(LeaseOverloadTest, WideShortJobsAreInTimeBesideLongOnes) {
  for (std::uint64_t Seed : {1, 2, 3}) {
    MixedLoadOptions Options;
    Options.World.Seed = Seed;
    auto With = runMixedLoad(Options).Routes;
    Options.World.Coordinator.Waiting.Enabled = false;
    auto Without = runMixedLoad(Options).Routes;
    CHECK(With["wide"].inTimeShare() > Without["wide"].inTimeShare() + 0.03);
    CHECK(meanCredit(With) > meanCredit(Without));
  }
}
