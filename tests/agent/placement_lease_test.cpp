// Leases of single placements at an agent.

#include "tests/agent/keeper_fixture.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

using Jobs = std::set<std::string>;

TEST_GROUP_BASE(PlacementLeaseTest, KeeperFixture) {
  LeaseKeeper Keeper{optionsWith(true), Sink, Port};
  void setup() override { attach(Keeper); }
  /// Stops are repeated until they are confirmed.
  std::set<std::string> stoppedJobs() const {
    std::set<std::string> Jobs;
    for (const StopCall &Call : Port.Stops)
      Jobs.insert(Call.Run.Job);
    return Jobs;
  }
  void renew(const std::vector<std::uint64_t> &Orders) {
    peer::Message Message;
    peer::LeaseRenewal *Renewal = Message.mutable_lease_renewal();
    Renewal->set_agent_incarnation(AgentLife);
    Renewal->set_stamp(stamp());
    Renewal->mutable_orders()->Add(Orders.begin(), Orders.end());
    Keeper.onMessage(EntryA, Message, Now);
  }
};

TEST(PlacementLeaseTest, APlacementThatItsEntryNoLongerNamesLapses) {
  Keeper.onMessage(EntryA, dispatch("given-up", stamp()), Now);
  Keeper.onMessage(EntryA, dispatch("wanted", stamp()), Now);
  for (int I = 0; I < 5; ++I) {
    pass(Keeper, 200ms);
    renew({2});
  }
  CHECK(stoppedJobs() == Jobs{"given-up"});
}

TEST(PlacementLeaseTest, ADispatchRenewsThePlacementsThatItNames) {
  Keeper.onMessage(EntryA, dispatch("first", stamp()), Now);
  for (int I = 0; I < 5; ++I) {
    pass(Keeper, 200ms);
    peer::Message Next = dispatch("other", stamp());
    Next.mutable_leased_dispatch()->add_renewed(1);
    Keeper.onMessage(EntryA, Next, Now);
  }
  CHECK(stoppedJobs() == Jobs{"other"});
}

// Another entry may give its placements the same numbers.
TEST(PlacementLeaseTest, AnEntryRenewsOnlyItsOwnPlacements) {
  Keeper.onMessage(EntryB, dispatch("j", stamp()), Now);
  for (int I = 0; I < 5; ++I) {
    pass(Keeper, 200ms);
    renew({1});
  }
  CHECK(stoppedJobs() == Jobs{"j"});
}

TEST(PlacementLeaseTest, AStopOfNamedPlacementsLeavesOthersOfItsJob) {
  Keeper.onMessage(EntryA, dispatch("j", stamp(), 1000, 100, 3), Now);
  peer::Message Stop;
  Stop.mutable_leased_stop()->set_job("j");
  Stop.mutable_leased_stop()->add_orders(2);
  Keeper.onMessage(EntryA, Stop, Now);
  LONGS_EQUAL(1, Port.Stops.size());
  LONGS_EQUAL(1, Port.Stops[0].Run.Index);
}
