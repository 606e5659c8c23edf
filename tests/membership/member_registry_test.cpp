#include "membership/member_registry.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

peer::Heartbeat makeHeartbeat(std::uint64_t Incarnation,
                              peer::MemberState State) {
  peer::Heartbeat Request;
  Request.mutable_member()->set_name("a1");
  Request.mutable_member()->set_role(peer::ROLE_AGENT);
  Request.mutable_member()->set_incarnation(Incarnation);
  Request.mutable_member()->set_state(State);
  return Request;
}

const TimePoint Start{1h};

} // namespace

TEST_GROUP(MemberRegistryTest) {
  MemberRegistry Registry{1000ms};

  void setup() override {
    Registry.reset(1, Start);
    Registry.onHeartbeat(makeHeartbeat(5, peer::MEMBER_ALIVE), Start);
  }
  peer::MemberState state() { return Registry.find("a1")->Member.state(); }
};

TEST(MemberRegistryTest, IgnoresDelayedHeartbeatsOfEarlierIncarnations) {
  struct Row {
    const char *Name;
    std::uint64_t Incarnation;
    peer::MemberState Reported;
    peer::MemberState Expected;
    std::uint64_t ExpectedIncarnation;
  };
  // Each row continues from the state that the previous one left.
  const Row Table[] = {
      {"an earlier incarnation", 4, peer::MEMBER_LEAVING, peer::MEMBER_ALIVE,
       5},
      {"leaving", 5, peer::MEMBER_LEAVING, peer::MEMBER_LEAVING, 5},
      {"leaving is final", 5, peer::MEMBER_ALIVE, peer::MEMBER_LEAVING, 5},
      {"a new incarnation", 6, peer::MEMBER_ALIVE, peer::MEMBER_ALIVE, 6},
      {"leaving of the earlier incarnation", 5, peer::MEMBER_LEAVING,
       peer::MEMBER_ALIVE, 6},
  };
  for (const Row &Case : Table) {
    Registry.onHeartbeat(makeHeartbeat(Case.Incarnation, Case.Reported), Start);
    LONGS_EQUAL_TEXT(Case.Expected, state(), Case.Name);
    LONGS_EQUAL_TEXT(Case.ExpectedIncarnation,
                     Registry.find("a1")->Member.incarnation(), Case.Name);
  }
}

TEST(MemberRegistryTest, AnExpiredLeaseMarksAMemberLostUntilItsNextHeartbeat) {
  CHECK_FALSE(Registry.tick(Start + 1000ms));
  CHECK_TRUE(Registry.tick(Start + 1001ms));
  LONGS_EQUAL(peer::MEMBER_LOST, state());
  CHECK_FALSE(Registry.tick(Start + 2000ms));
  CHECK_TRUE(Registry.onHeartbeat(makeHeartbeat(5, peer::MEMBER_ALIVE),
                                  Start + 3000ms));
  LONGS_EQUAL(peer::MEMBER_ALIVE, state());
}

TEST(MemberRegistryTest, ANewTableSettlesAfterOneLease) {
  Registry.reset(2, Start + 5s);
  CHECK_FALSE(Registry.isSettled(Start + 5s + 999ms));
  CHECK_TRUE(Registry.isSettled(Start + 6s));
}

TEST(MemberRegistryTest, UpdatesContainOnlyWhatTheNodeLacks) {
  peer::Heartbeat Asker = makeHeartbeat(1, peer::MEMBER_ALIVE);
  Asker.mutable_member()->set_role(peer::ROLE_ENTRY);
  struct Row {
    std::uint64_t Term;
    std::uint64_t Version;
    bool Full;
    int Members;
  };
  const Row Table[] = {{0, 0, true, 1}, {1, 0, false, 1}, {1, 1, false, 0}};
  for (const Row &Case : Table) {
    Asker.set_table_term(Case.Term);
    Asker.set_table_version(Case.Version);
    peer::MemberUpdate Update = Registry.updateFor(Asker);
    CHECK_EQUAL(Case.Full, Update.full());
    LONGS_EQUAL(Case.Members, Update.members_size());
  }
}

// Regression test: control kept, and passed on, the labels that a worker had
// before it came back as another kind, as only its room was compared.
TEST(MemberRegistryTest, AChangedKindOfWorkerIsTakenOver) {
  struct Row {
    const char *Pool;
    const char *Label;
    bool Changes;
  };
  // Each row continues from the state that the previous one left.
  const Row Table[] = {{"pool", "a", true},
                       {"pool", "a", false},
                       {"pool", "b", true},
                       {"other", "b", true}};
  for (const Row &Case : Table) {
    peer::Heartbeat Request = makeHeartbeat(5, peer::MEMBER_ALIVE);
    Request.mutable_member()->set_pool(Case.Pool);
    Request.mutable_member()->add_labels(Case.Label);
    LONGS_EQUAL_TEXT(Case.Changes, Registry.onHeartbeat(Request, Start),
                     Case.Label);
    const peer::Member &Known = Registry.find("a1")->Member;
    STRCMP_EQUAL(Case.Pool, Known.pool().c_str());
    STRCMP_EQUAL(Case.Label, Known.labels(0).c_str());
  }
}
