#include "entry/drain_watch.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(DrainWatchTest){};

TEST(DrainWatchTest, DrainsUntilCallersHaveMovedAndNoLonger) {
  struct Row {
    const char *Name;
    /// Callers submit a job every 100 ms until this time; each job takes
    /// JobTakes.
    std::chrono::milliseconds SubmitUntil;
    std::chrono::milliseconds JobTakes;
    std::chrono::milliseconds Expected;
  };
  const Row Rows[] = {
      {"idle", 0ms, 0ms, 2200ms},
      {"callers move in time", 1000ms, 100ms, 2200ms},
      {"callers move late", 2500ms, 100ms, 2990ms},
      {"a long job", 1000ms, 2000ms, 3390ms},
      {"callers stay", 9000ms, 100ms, 4000ms},
  };
  for (const Row &Row : Rows) {
    TimePoint Start(1h);
    DrainWatch Watch(DrainOptions(), Start);
    std::uint64_t Submissions = 7;
    std::chrono::milliseconds Passed = 0ms;
    for (; Passed < 10000ms; Passed += 10ms) {
      bool Submits = Passed % 100ms == 0ms && Passed <= Row.SubmitUntil;
      if (Submits)
        ++Submissions;
      bool Busy = Passed < Row.SubmitUntil + Row.JobTakes;
      if (Watch.isOver(Submissions, Busy ? 1 : 0, Start + Passed))
        break;
    }
    LONGS_EQUAL_TEXT(Row.Expected.count(), Passed.count(), Row.Name);
  }
}
