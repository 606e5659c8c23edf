#include "entry/self_load.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(SelfLoadTest) {
  SelfLoad Load{SelfLoadOptions()};
  TimePoint Now{1h};
};

TEST(SelfLoadTest, JobsAreRefusedWhileTheEntryDoesNotKeepUp) {
  struct Row {
    std::chrono::milliseconds SinceIdle;
    bool Refused;
  };
  const Row Rows[] = {
      {0ms, false}, {50ms, false}, {150ms, false}, {200ms, true}, {5s, true}};
  for (const Row &Row : Rows)
    CHECK(Load.isBehind(Now, Now - Row.SinceIdle) == Row.Refused);
}

TEST(SelfLoadTest, ShortBusyPeriodsKeepTheEntryReady) {
  for (int I = 0; I < 100; ++I) {
    Now += 20ms;
    CHECK(Load.mayBeReady(Now, Now - 400ms));
  }
}

// The balancer takes seconds to notice, and the load returns once it has.
TEST(SelfLoadTest, AnOverloadedEntryPausesForLongerEachTime) {
  std::chrono::milliseconds Away[3]{};
  for (std::chrono::milliseconds &Spell : Away) {
    CHECK(Load.mayBeReady(Now, Now));
    CHECK_FALSE(Load.mayBeReady(Now, Now - 600ms));
    while (!Load.mayBeReady(Now, Now)) {
      Now += 20ms;
      Spell += 20ms;
    }
    Now += 500ms;
  }
  CHECK(Away[0] >= 2s);
  CHECK(Away[1] >= 4s);
  CHECK(Away[2] >= 8s);
  // Long after the last overload, the pause is the shortest again.
  Now += 60s;
  CHECK_FALSE(Load.mayBeReady(Now, Now - 600ms));
  CHECK(Load.mayBeReady(Now + 2100ms, Now + 2100ms));
}

// The callers of such requests may have left in the meantime.
TEST(SelfLoadTest, StaleRequestsMayBeReadForSecondsAfterFallingBehind) {
  struct Row {
    TimePoint LastBehind;
    bool MayRead;
  };
  const Row Rows[] = {{TimePoint::min(), false},
                      {Now, true},
                      {Now - 2900ms, true},
                      {Now - 3000ms, false}};
  for (const Row &Row : Rows)
    CHECK(Load.mayReadStale(Now, Row.LastBehind) == Row.MayRead);
}

TEST(SelfLoadTest, NeverRefusesWhenDisabled) {
  SelfLoadOptions Options;
  Options.Enabled = false;
  SelfLoad Off(Options);
  CHECK_FALSE(Off.isBehind(Now, Now - 10s));
  CHECK(Off.mayBeReady(Now, Now - 10s));
}
