#include "coordination/delegation_rule.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(DelegationThresholdsTest){};

TEST(DelegationThresholdsTest, DelegatesFromTheStatedShareOn) {
  struct Row {
    const char *Name;
    double HighLoad;
    /// The busy share of the entry's loop, for one second each.
    double Before;
    double Load;
    double Expected;
  };
  const Row Rows[] = {
      {"usual, below", 0.4, 0.3, 0.39, 0},
      {"usual, at it", 0.4, 0.3, 0.4, 1},
      {"usual, falls", 0.4, 0.4, 0.24, 0.5},
      {"half of it, below", 0.2, 0.15, 0.19, 0},
      {"half of it, at it", 0.2, 0.15, 0.2, 1},
      {"half of it, falls", 0.2, 0.2, 0.12, 0.5},
      {"always, idle", 0, 0, 0, 1},
  };
  for (const Row &Case : Rows) {
    DelegationRule Rule(delegationRuleAt(Case.HighLoad, 1));
    TimePoint Now(1h);
    for (double Load : {Case.Before, Case.Load})
      for (TimePoint End = Now + 1000ms; Now < End; Now += 100ms)
        Rule.update({.ProcessorShare = Load}, Now);
    DOUBLES_EQUAL_TEXT(Case.Expected, Rule.share(), 1e-9, Case.Name);
  }
}

TEST(DelegationThresholdsTest, TheUsualShareLeavesTheThresholdsAsTheyAre) {
  DelegationRuleOptions Usual;
  DelegationRuleOptions Given = delegationRuleAt(Usual.HighLoad, 3);
  DOUBLES_EQUAL(Usual.PrepareAt, Given.PrepareAt, 0);
  DOUBLES_EQUAL(Usual.LowLoad, Given.LowLoad, 0);
  DOUBLES_EQUAL(Usual.ReleaseBelow, Given.ReleaseBelow, 0);
  LONGS_EQUAL(3, Given.MaxDelegates);
}
