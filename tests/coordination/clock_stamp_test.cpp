//===- Lower bounds of a peer's clock -------------------------------------===//

#include "coordination/clock_stamp.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(ClockStampTest){};

TEST(ClockStampTest, AStampIsExtrapolatedToALowerBound) {
  struct Row {
    const char *Name;
    std::uint64_t Stamp;
    Duration After;
    std::uint64_t Expected;
  };
  const Row Rows[] = {
      {"none", 0, 1s, 0},
      {"none, earlier", 0, -1s, 0},
      {"on receipt", 50000, 0ms, 50000},
      {"later, by a clock that may be slower", 50000, 1000ms, 50980},
      {"a part of a millisecond", 50000, 900us, 50000},
      {"as old as allowed", 50000, 5000ms, 54900},
      {"older", 50000, 60s, 54900},
      {"earlier, by a clock that may be faster", 50000, -1000ms, 48980},
      {"earlier, rounded down", 50000, -1ms, 49998},
      {"earlier by a part of a millisecond", 50000, -1us, 49998},
      {"earlier than its clock", 50, -1000ms, 0},
  };
  const TimePoint Received(1h);
  for (const Row &Row : Rows)
    LONGS_EQUAL_TEXT(
        Row.Expected,
        extrapolateStamp(Row.Stamp, Received, Received + Row.After), Row.Name);
}
