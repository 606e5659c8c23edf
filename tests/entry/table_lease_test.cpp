#include "entry/table_lease.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};
/// Marks rows in which no search of control has ended without a leader.
constexpr auto Never = std::chrono::milliseconds::max();

} // namespace

TEST_GROUP(TableLeaseTest) {
  TableLeaseOptions Options{.MaxAge = 1750ms, .MaxInputStall = 500ms};
  TableLease Lease{Options};

  void checkState(TableState Expected, TimePoint At, const char *Name) {
    Lease.tick(At);
    TableStatus Found = Lease.status(At, At);
    STRCMP_EQUAL_TEXT(tableStateName(Expected), tableStateName(Found.State),
                      Name);
  }
};

TEST(TableLeaseTest, ATableIsCurrentOnlyWithinItsMaximumAge) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds ConfirmedAgo;
    std::chrono::milliseconds NoLeaderAgo;
    std::chrono::milliseconds IdleAgo;
    std::chrono::milliseconds TickAgo;
    TableState Expected;
  };
  const Row Rows[] = {
      {"just confirmed", 0ms, Never, 0ms, 0ms, TableState::Current},
      {"at the limit", 1750ms, Never, 0ms, 0ms, TableState::Current},
      {"behind, but confirmed recently", 400ms, Never, 5000ms, 0ms,
       TableState::Current},
      {"too old, no leader at any replica", 1751ms, 1251ms, 0ms, 0ms,
       TableState::Unreachable},
      {"the same, for a long time", 30s, 1000ms, 0ms, 0ms,
       TableState::Unreachable},
      {"too old, not all replicas asked", 1751ms, Never, 0ms, 0ms,
       TableState::Unknown},
      {"the same, for a long time", 30s, Never, 0ms, 0ms, TableState::Unknown},
      {"no leader found, at the limit", 30s, 1750ms, 0ms, 0ms,
       TableState::Unreachable},
      {"a leader may have been elected since", 30s, 1751ms, 0ms, 0ms,
       TableState::Unknown},
      {"behind now", 3000ms, 1000ms, 501ms, 0ms, TableState::Unknown},
      {"briefly late", 3000ms, 1000ms, 500ms, 0ms, TableState::Unreachable},
      {"just resumed, and seemingly idle", 3000ms, 1000ms, 0ms, 501ms,
       TableState::Unknown},
  };
  for (const Row &Row : Rows) {
    TableLease Fresh(Options);
    Fresh.confirm(Now - Row.ConfirmedAgo);
    if (Row.NoLeaderAgo != Never)
      Fresh.setNoLeaderSince(Now - Row.NoLeaderAgo);
    Fresh.tick(Now - Row.TickAgo);
    TableStatus Found = Fresh.status(Now, Now - Row.IdleAgo);
    STRCMP_EQUAL_TEXT(tableStateName(Row.Expected), tableStateName(Found.State),
                      Row.Name);
    LONGS_EQUAL_TEXT(Row.ConfirmedAgo.count(), Found.ageMillis(), Row.Name);
  }
}

TEST(TableLeaseTest, WithoutAnyConfirmationTheStateIsUnknown) {
  checkState(TableState::Unknown, Now, "just started");
  Lease.setNoLeaderSince(Now - 1s);
  checkState(TableState::Unknown, Now, "no leader found");
  LONGS_EQUAL(-1, Lease.status(Now, Now).ageMillis());
}

// Guards against relying on a search's earlier result once it has been
// withdrawn.
TEST(TableLeaseTest, AnUnfinishedSearchProvesNothing) {
  Lease.confirm(Now - 8s);
  Lease.setNoLeaderSince(Now - 1s);
  checkState(TableState::Unreachable, Now, "all replicas asked");
  Lease.setNoLeaderSince(TimePoint::min());
  checkState(TableState::Unknown, Now, "search restarted");
  Lease.confirm(Now - 100ms);
  checkState(TableState::Current, Now, "answered");
}

TEST(TableLeaseTest, AnOutdatedTableIsNotServed) {
  Lease.setHeldRevision(5);
  Lease.confirm(Now - 3s);
  Lease.setNoLeaderSince(Now - 1s);
  Lease.onPeerRevision(5);
  checkState(TableState::Unreachable, Now, "the same revision");
  Lease.onPeerRevision(6);
  Lease.onPeerRevision(4);
  checkState(TableState::Unknown, Now, "a newer revision");
  CHECK(Lease.status(Now, Now).NewerKnown);
  Lease.setHeldRevision(6);
  checkState(TableState::Unreachable, Now, "the newer revision received");
}

TEST(TableLeaseTest, ADelayedAnswerToAnOlderRequestIsIgnored) {
  Lease.confirm(Now - 100ms);
  Lease.confirm(Now - 3s);
  checkState(TableState::Current, Now, "the newer answer counts");
}
