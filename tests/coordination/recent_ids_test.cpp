#include "coordination/recent_ids.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(RecentIdsTest){};

TEST(RecentIdsTest, IdsAreKeptForAtLeastTheRetentionAndThenDropped) {
  RecentIds Ids(5s);
  TimePoint Now(1h);
  CHECK_FALSE(Ids.contains("j"));
  Ids.add("j", Now);
  for (int I = 1; I <= 5; ++I) {
    Ids.add("other" + std::to_string(I), Now + I * 1s);
    CHECK(Ids.contains("j"));
  }
  Ids.add("later", Now + 11s);
  CHECK(Ids.contains("j"));
  Ids.add("much later", Now + 22s);
  CHECK_FALSE(Ids.contains("j"));
  CHECK(Ids.contains("later"));
}
