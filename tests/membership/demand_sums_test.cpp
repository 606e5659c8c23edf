#include "membership/demand_sums.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(DemandSumsTest) {
  DemandSums Sums{3000ms};
  TimePoint Now{1h};
  std::uint64_t Sequence = 0;

  void setup() override {
    Sums.reset(Now);
    Now += 1000ms;
  }
  static peer::Heartbeat heartbeat(const char *Name, peer::Role Role,
                                   std::uint64_t Incarnation = 1) {
    peer::Heartbeat Request;
    Request.mutable_member()->set_name(Name);
    Request.mutable_member()->set_role(Role);
    Request.mutable_member()->set_incarnation(Incarnation);
    return Request;
  }
  static void addRow(peer::Heartbeat & Request, const std::string &Route,
                     std::uint32_t CpuMilli) {
    peer::RouteDemand *Row = Request.add_demand();
    Row->set_route(Route);
    Row->set_data_centre("north");
    Row->set_cpu_milli(CpuMilli);
  }
  /// An entry reports its demand for one route; none if it is 0.
  void report(const char *Entry, std::uint32_t CpuMilli) {
    peer::Heartbeat Request = heartbeat(Entry, peer::ROLE_ENTRY);
    Request.set_sequence(++Sequence);
    if (CpuMilli > 0)
      addRow(Request, "r", CpuMilli);
    Sums.onHeartbeat(Request, Now);
  }
  peer::HeartbeatReply replyTo(const peer::Heartbeat &Request) {
    peer::HeartbeatReply Reply;
    Sums.addTo(Reply, Request, Now);
    return Reply;
  }
  /// Returns the sum that an entry is told; 0 if it is told none.
  std::uint32_t told() {
    peer::HeartbeatReply Reply = replyTo(heartbeat("e9", peer::ROLE_ENTRY));
    return Reply.demand().empty() ? 0 : Reply.demand(0).cpu_milli();
  }
};

TEST(DemandSumsTest, AddsUpTheNewestDemandOfEachLiveEntry) {
  struct Row {
    const char *Name;
    const char *Entry;
    std::uint32_t CpuMilli;
    std::chrono::milliseconds Later;
    std::uint32_t Sum;
    std::uint32_t AgeMs;
  };
  // Each row continues from the state that the previous one left.
  const Row Rows[] = {{"the first entry", "e1", 1000, 0ms, 1000, 0},
                      {"a second entry", "e2", 500, 400ms, 1500, 400},
                      {"a newer demand", "e1", 700, 400ms, 1200, 400},
                      {"an entry without demand", "e2", 0, 100ms, 700, 100},
                      {"it has some again", "e2", 300, 2900ms, 1000, 3000},
                      {"the first entry is lost", "e2", 300, 200ms, 300, 0}};
  for (const Row &Row : Rows) {
    Now += Row.Later;
    report(Row.Entry, Row.CpuMilli);
    LONGS_EQUAL_TEXT(Row.Sum, told(), Row.Name);
    LONGS_EQUAL_TEXT(Row.AgeMs,
                     replyTo(heartbeat("e9", peer::ROLE_ENTRY)).demand_age_ms(),
                     Row.Name);
  }
}

TEST(DemandSumsTest, ADelayedHeartbeatReplacesNoNewerOne) {
  peer::Heartbeat Old = heartbeat("e1", peer::ROLE_ENTRY);
  addRow(Old, "r", 9000);
  Old.set_sequence(1);
  Sequence = 1;
  report("e1", 1000);
  Sums.onHeartbeat(Old, Now);
  LONGS_EQUAL(1000, told());
  peer::Heartbeat Restarted = heartbeat("e1", peer::ROLE_ENTRY, 2);
  addRow(Restarted, "r", 400);
  Restarted.set_sequence(1);
  Sums.onHeartbeat(Restarted, Now);
  LONGS_EQUAL(400, told());
  Sums.onHeartbeat(Old, Now);
  LONGS_EQUAL(400, told());
}

TEST(DemandSumsTest, TellsThoseWhoDecideOnJobs) {
  struct Row {
    const char *Name;
    peer::Role Role;
    bool WantsMembers;
    int Rows;
  };
  const Row Rows[] = {{"an entry", peer::ROLE_ENTRY, false, 1},
                      {"an agent that coordinates", peer::ROLE_AGENT, true, 1},
                      {"any other agent", peer::ROLE_AGENT, false, 0}};
  for (bool IsUsed : {false, true}) {
    report("e1", IsUsed ? 1000 : 0);
    for (const Row &Row : Rows) {
      peer::Heartbeat Request = heartbeat("x", Row.Role);
      Request.set_wants_members(Row.WantsMembers);
      LONGS_EQUAL_TEXT(IsUsed ? Row.Rows : 0, replyTo(Request).demand_size(),
                       Row.Name);
    }
  }
}

// The sum of some of the entries would look like an idle pool.
TEST(DemandSumsTest, ANewLeaderTellsNothingUntilAllEntriesHaveReported) {
  report("e1", 1000);
  Sums.reset(Now);
  LONGS_EQUAL(0, told());
  report("e1", 1000);
  LONGS_EQUAL(0, told());
  Now += 1000ms;
  LONGS_EQUAL(1000, told());
}

TEST(DemandSumsTest, IsBoundedInBothDirections) {
  for (const char *Entry : {"e1", "e2", "e3"}) {
    peer::Heartbeat Request = heartbeat(Entry, peer::ROLE_ENTRY);
    Request.set_sequence(1);
    for (int I = 0; I < 40; ++I)
      addRow(Request, fmt::format("{}-{}", Entry, I), 100 + I);
    Sums.onHeartbeat(Request, Now);
  }
  peer::HeartbeatReply Reply = replyTo(heartbeat("e9", peer::ROLE_ENTRY));
  LONGS_EQUAL(16, Reply.demand_size());
  for (const peer::RouteDemand &Row : Reply.demand())
    CHECK(Row.cpu_milli() <= 115 && Row.cpu_milli() >= 110);
}
