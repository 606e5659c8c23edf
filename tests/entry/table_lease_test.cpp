#include "entry/table_lease.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};
/// Longer ago than anything counts.
constexpr auto Long = 60s;

} // namespace

TEST_GROUP(TableLeaseTest) {
  TableLease Lease{TableLeaseOptions{.MaxAge = 1750ms, .AnswerWithin = 1000ms}};

  void checkState(TableState Expected, TimePoint LastBehind, const char *Name) {
    TableStanding Found = Lease.standing(Now, LastBehind);
    STRCMP_EQUAL_TEXT(tableStateName(Expected), tableStateName(Found.State),
                      Name);
  }
};

TEST(TableLeaseTest, ATableIsCurrentOnlyWithinItsAge) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds ConfirmedAgo;
    std::chrono::milliseconds AskedAgo;
    std::chrono::milliseconds BehindAgo;
    TableState Expected;
  };
  const Row Rows[] = {
      {"confirmed just now", 0ms, 0ms, Long, TableState::Current},
      {"at the limit", 1750ms, 1250ms, Long, TableState::Current},
      {"behind, but confirmed of late", 400ms, 100ms, 0ms, TableState::Current},
      {"control silent", 1751ms, 1251ms, Long, TableState::Unreachable},
      {"silent for long", 30s, 29500ms, Long, TableState::Unreachable},
      {"asked only now", 3000ms, 20ms, Long, TableState::Unknown},
      {"an answer may be on its way", 3000ms, 999ms, Long, TableState::Unknown},
      {"no answer in its time", 3000ms, 1000ms, Long, TableState::Unreachable},
      {"behind now", 3000ms, 2500ms, 0ms, TableState::Unknown},
      {"behind since the question", 3000ms, 2500ms, 2400ms,
       TableState::Unknown},
      {"behind before the question", 3000ms, 2500ms, 2600ms,
       TableState::Unreachable},
  };
  for (const Row &Row : Rows) {
    TableLease Fresh(TableLeaseOptions{1750ms, 1000ms});
    Fresh.confirm(Now - Row.ConfirmedAgo);
    Fresh.ask(Now - Row.AskedAgo, Now - Long);
    TableStanding Found = Fresh.standing(Now, Now - Row.BehindAgo);
    STRCMP_EQUAL_TEXT(tableStateName(Row.Expected), tableStateName(Found.State),
                      Row.Name);
    LONGS_EQUAL_TEXT(Row.ConfirmedAgo.count(), Found.ageMillis(), Row.Name);
  }
}

TEST(TableLeaseTest, WithoutAnyConfirmationNothingIsKnown) {
  checkState(TableState::Unknown, TimePoint::min(), "just started");
  Lease.ask(Now - 30s, TimePoint::min());
  checkState(TableState::Unknown, TimePoint::min(), "asked in vain");
  LONGS_EQUAL(-1, Lease.standing(Now, TimePoint::min()).ageMillis());
}

// Questions that go on unanswered must not make control look as if it had
// been asked only now.
TEST(TableLeaseTest, TheOldestOpenQuestionCounts) {
  Lease.confirm(Now - 4s);
  for (auto Ago = 3500ms; Ago >= 0ms; Ago -= 500ms)
    Lease.ask(Now - Ago, TimePoint::min());
  checkState(TableState::Unreachable, TimePoint::min(), "asked all along");
}

// What was asked before this process was behind may have been answered.
TEST(TableLeaseTest, AfterHavingBeenBehindTheNextQuestionCounts) {
  Lease.confirm(Now - 4s);
  Lease.ask(Now - 3500ms, TimePoint::min());
  TimePoint LastBehind = Now - 500ms;
  Lease.ask(Now - 400ms, LastBehind);
  checkState(TableState::Unknown, LastBehind, "an answer is awaited");
  Lease.confirm(Now - 400ms);
  checkState(TableState::Current, LastBehind, "answered");
}

TEST(TableLeaseTest, ATableThatIsKnownToBeOldIsNotServedOn) {
  Lease.hold(5);
  Lease.confirm(Now - 3s);
  Lease.ask(Now - 2500ms, TimePoint::min());
  Lease.hear(5);
  checkState(TableState::Unreachable, TimePoint::min(), "the same revision");
  Lease.hear(6);
  Lease.hear(4);
  checkState(TableState::Unknown, TimePoint::min(), "a newer one");
  CHECK(Lease.standing(Now, TimePoint::min()).NewerKnown);
  Lease.hold(6);
  checkState(TableState::Unreachable, TimePoint::min(), "it has come");
}

TEST(TableLeaseTest, ALateAnswerToAnOlderQuestionTakesNothingBack) {
  Lease.confirm(Now - 100ms);
  Lease.confirm(Now - 3s);
  checkState(TableState::Current, TimePoint::min(), "the newer answer counts");
}

// An entry under load is late for a moment again and again. Were it not to
// notice that control is gone, it would refuse all its callers meanwhile.
TEST(TableLeaseTest, ShortSpellsOfLatenessDoNotHideThatControlIsSilent) {
  Lease.confirm(Now - 4s);
  for (auto Ago = 3500ms; Ago > 0ms; Ago -= 250ms)
    Lease.ask(Now - Ago, Now - Ago - 10ms);
  checkState(TableState::Unreachable, Now - 10ms, "late for moments");
}
