#include "catalog/policy_names.h"
#include "core/error.h"
#include "dispatch/route_policy.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace yardwheel;

namespace {

/// Returns a table of three upstreams with 4 slots each, as the first of two
/// entries sees it.
UpstreamTable makeTable() {
  UpstreamTable Table;
  for (int I = 0; I < 3; ++I) {
    peer::Member Member;
    Member.set_name(fmt::format("a{}", I));
    Member.set_incarnation(1);
    Member.set_slots(4);
    Member.set_state(peer::MEMBER_ALIVE);
    bool Replaced = false;
    Table.update(Member, Replaced);
  }
  Table.setShares(0, 2);
  return Table;
}

void occupy(UpstreamTable &Table, std::uint32_t Others) {
  for (UpstreamIndex I = 0; I < 3; ++I) {
    peer::AgentLoad Load;
    Load.set_incarnation(1);
    Load.set_freshness(Table.at(I).Freshness + 1);
    Load.set_running(Others + Table.at(I).OwnTasks);
    Table.onLoadReport(I, Load, TimePoint());
  }
}

/// Returns the number of tasks that a policy sends before it waits, at most
/// 100.
int sendsUntilItWaits(RoutePolicy &Policy, UpstreamTable &Table) {
  std::mt19937_64 Random(3);
  constexpr int MaxSends = 100;
  for (int I = 0; I < MaxSends; ++I) {
    std::optional<UpstreamIndex> Chosen = Policy.choose(Table, Random);
    if (!Chosen)
      return I;
    Table.onSent(*Chosen);
  }
  return MaxSends;
}

} // namespace

TEST_GROUP(PolicyTest){};

TEST(PolicyTest, EachPolicySendsAsManyTasksAsAllowed) {
  struct Row {
    const char *Policy;
    /// Slots that other entries' tasks use at each upstream.
    std::uint32_t Others;
    int Sends;
    bool QueuesAtAgent;
  };
  const Row Rows[] = {
      {"random", 0, 100, true},      {"round_robin", 0, 100, true},
      {"two_choices", 0, 100, true}, {"slot_share", 0, 6, false},
      {"slot_share", 4, 6, false},   {"slot_borrow", 0, 15, true},
      {"slot_borrow", 4, 6, true},   {"late_binding", 0, 18, true},
      {"late_binding", 4, 6, true},
  };
  for (const Row &Case : Rows) {
    UpstreamTable Table = makeTable();
    occupy(Table, Case.Others);
    std::unique_ptr<RoutePolicy> Policy = makePolicy(Case.Policy);
    std::string What = fmt::format("{} {}", Case.Policy, Case.Others);
    LONGS_EQUAL_TEXT(Case.Sends, sendsUntilItWaits(*Policy, Table),
                     What.c_str());
    CHECK_EQUAL_TEXT(Case.QueuesAtAgent, Policy->queuesAtAgent(), Case.Policy);
  }
}

TEST(PolicyTest, NoPolicySendsToAnIneligibleUpstream) {
  for (std::string_view Name : PolicyNames) {
    UpstreamTable Table = makeTable();
    Table.setUnreachable(1, true);
    std::unique_ptr<RoutePolicy> Policy = makePolicy(Name);
    std::mt19937_64 Random(5);
    for (int I = 0; I < 50; ++I) {
      std::optional<UpstreamIndex> Chosen = Policy->choose(Table, Random);
      CHECK_TRUE(!Chosen || *Chosen != 1);
      if (Chosen)
        Table.onSent(*Chosen);
    }
    Table.setUnreachable(0, true);
    Table.setUnreachable(2, true);
    CHECK_FALSE(Policy->choose(Table, Random).has_value());
  }
}

TEST(PolicyTest, EveryNameIsRegisteredAndNoOther) {
  for (std::string_view Name : PolicyNames)
    CHECK_TRUE(makePolicy(Name) != nullptr);
  CHECK_THROWS(Error, makePolicy("best"));
}
