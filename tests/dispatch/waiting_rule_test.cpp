#include "dispatch/waiting_rule.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(WaitingRuleTest){};

TEST(WaitingRuleTest,
     OnlyUrgentTasksThatCanStillMeetTheirObjectiveWaitForOffers) {
  struct Row {
    std::chrono::milliseconds Slack;
    std::size_t Workers;
    bool Waits;
  };
  const Row Rows[] = {{-10ms, 11, false}, {0ms, 11, false},
                      {1ms, 11, true},    {149ms, 11, true},
                      {150ms, 11, false}, {600ms, 11, false},
                      {100ms, 24, true},  {100ms, 25, false}};
  WaitingRule Rule{WaitingOptions()};
  WaitingOptions Disabled;
  Disabled.Enabled = false;
  for (const Row &Row : Rows) {
    CHECK(Rule.waitsForOffers(Row.Slack, Row.Workers) == Row.Waits);
    CHECK_FALSE(WaitingRule(Disabled).waitsForOffers(Row.Slack, Row.Workers));
  }
}

TEST(WaitingRuleTest, WaitingForOffersLeavesTimeForAWorkersQueue) {
  WaitingRule Rule{WaitingOptions()};
  CHECK(Rule.offerWaitTime(100ms) == 60ms);
  LONGS_EQUAL(16, Rule.workersToQuery(8));
}
