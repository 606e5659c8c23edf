//===- When an entry delegates jobs, and to how many agents ---------------===//

#include "coordination/delegation_rule.h"

#include <cmath>
#include <vector>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// A load that lasts for some time.
struct Phase {
  std::chrono::milliseconds Length;
  EntryLoad Load;
};

DelegationRuleOptions threeDelegates() {
  DelegationRuleOptions Options;
  Options.MaxDelegates = 3;
  return Options;
}

/// Returns a load of the entry; its delegates, if any, are ready and idle.
EntryLoad loadOf(double Share, Duration Wait = Duration{0}) {
  return {.ProcessorShare = Share, .ExpectedWait = Wait, .ReadyDelegates = 3};
}

EntryLoad withDelegates(std::uint32_t Ready, double Share) {
  return {
      .ProcessorShare = 0.9, .ReadyDelegates = Ready, .DelegateShare = Share};
}

constexpr std::chrono::milliseconds Tick{20};

} // namespace

TEST_GROUP(DelegationRuleTest){};

TEST(DelegationRuleTest, WantedDelegatesAndShareFollowTheLoad) {
  struct Row {
    const char *Name;
    std::uint32_t MaxDelegates;
    std::vector<Phase> Phases;
    std::uint32_t Wanted;
    double Share;
  };
  const Row Rows[] = {
      {"idle", 3, {{60s, loadOf(0.05)}}, 0, 0},
      {"an entry that has just started", 3, {{1s, loadOf(0)}}, 1, 0},
      {"no delegates allowed", 0, {{10s, loadOf(1)}}, 0, 0},
      {"prepares before it is short",
       3,
       {{40s, loadOf(0.05)}, {10s, loadOf(0.2)}},
       1,
       0},
      {"short for 100 ms", 3, {{100ms, loadOf(0.7)}}, 1, 0.5},
      {"a burst: all within a quarter of a second",
       3,
       {{200ms, loadOf(1)}},
       1,
       1},
      {"work waits", 3, {{500ms, loadOf(0.1, 20ms)}}, 1, 1},
      {"keeps its share between the limits",
       3,
       {{100ms, loadOf(1)}, {10s, loadOf(0.3)}},
       1,
       0.5},
      {"takes jobs back slowly",
       3,
       {{500ms, loadOf(1)}, {1s, loadOf(0.2)}},
       1,
       0.5},
      {"work that waits is no reserve",
       3,
       {{500ms, loadOf(1)}, {2s, loadOf(0.2, 15ms)}},
       1,
       1},
      {"a wave's trough", 3, {{2s, loadOf(1)}, {29s, loadOf(0.05)}}, 1, 0},
      {"the load is over", 3, {{2s, loadOf(1)}, {31s, loadOf(0.05)}}, 0, 0},
      {"low load keeps delegates",
       3,
       {{2s, loadOf(1)}, {60s, loadOf(0.1)}},
       1,
       0},
      {"the delegate is short", 3, {{300ms, withDelegates(1, 0.7)}}, 2, 1},
      {"the second is not ready yet", 3, {{10s, withDelegates(1, 0.7)}}, 2, 1},
      {"all delegates are short", 3, {{10s, withDelegates(3, 0.9)}}, 3, 1},
      {"the least busy delegate has reserve",
       3,
       {{10s, withDelegates(1, 0.5)}},
       1,
       1},
  };
  for (const Row &Row : Rows) {
    DelegationRuleOptions Options = threeDelegates();
    Options.MaxDelegates = Row.MaxDelegates;
    DelegationRule Rule(Options);
    TimePoint Now(1h);
    for (const Phase &Each : Row.Phases)
      for (auto At = 0ms; At < Each.Length; At += Tick, Now += Tick)
        Rule.update(Each.Load, Now);
    LONGS_EQUAL_TEXT(Row.Wanted, Rule.wantedDelegates(), Row.Name);
    DOUBLES_EQUAL_TEXT(Row.Share, Rule.share(), 0.001, Row.Name);
  }
}

// Under a steady demand the share settles: a delegated job still costs its
// entry something, and the load follows the share.
TEST(DelegationRuleTest, TheShareDoesNotSwing) {
  for (double Demand = 0.1; Demand < 2.4; Demand += 0.1)
    for (double CostShare : {0.2, 0.35, 0.5}) {
      DelegationRule Rule(threeDelegates());
      TimePoint Now(1h);
      double Settled = -1;
      for (auto At = 0ms; At < 60s; At += Tick, Now += Tick) {
        double Used = Demand * (1 - Rule.share() * (1 - CostShare));
        Rule.update(loadOf(std::min(Used, 1.0)), Now);
        if (At == 5s)
          Settled = Rule.share();
        if (At > 5s)
          DOUBLES_EQUAL(Settled, Rule.share(), 0.001);
      }
    }
}
