#include "entry/table_lease.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1h};
constexpr auto Tick = 20ms;

} // namespace

TEST_GROUP(TableLeaseTest) {
  TableLeaseOptions Options{
      .MaxAge = 1750ms, .AnswerWithin = 1000ms, .LongSpell = 500ms};
  TableLease Lease{Options};

  void checkState(TableState Expected, TimePoint At, const char *Name) {
    TableStanding Found = Lease.standing(At, At);
    STRCMP_EQUAL_TEXT(tableStateName(Expected), tableStateName(Found.State),
                      Name);
  }
  /// Watches a process that reads all its input with each tick.
  static void keepUp(TableLease & Target, TimePoint From, TimePoint To) {
    for (TimePoint At = From; At <= To; At += Tick)
      Target.watch(At, At);
    Target.watch(To, To);
  }
};

TEST(TableLeaseTest, ATableIsCurrentOnlyWithinItsAge) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds ConfirmedAgo;
    std::chrono::milliseconds AskedAgo;
    std::chrono::milliseconds IdleAgo;
    TableState Expected;
  };
  const Row Rows[] = {
      {"confirmed just now", 0ms, 0ms, 0ms, TableState::Current},
      {"at the limit", 1750ms, 1250ms, 0ms, TableState::Current},
      {"behind, but confirmed of late", 400ms, 100ms, 5000ms,
       TableState::Current},
      {"control silent", 1751ms, 1251ms, 0ms, TableState::Unreachable},
      {"silent for long", 30s, 29500ms, 0ms, TableState::Unreachable},
      {"asked only now", 3000ms, 20ms, 0ms, TableState::Unknown},
      {"an answer may be on its way", 3000ms, 999ms, 0ms, TableState::Unknown},
      {"no answer in its time", 3000ms, 1000ms, 0ms, TableState::Unreachable},
      {"behind now", 3000ms, 2500ms, 501ms, TableState::Unknown},
      {"late for a moment", 3000ms, 2500ms, 500ms, TableState::Unreachable},
      {"too early when input was read last", 3000ms, 1200ms, 201ms,
       TableState::Unknown},
  };
  for (const Row &Row : Rows) {
    TableLease Fresh(Options);
    Fresh.confirm(Now - Row.ConfirmedAgo);
    Fresh.watch(Now - Row.AskedAgo, Now - Row.AskedAgo);
    Fresh.ask(Now - Row.AskedAgo);
    keepUp(Fresh, Now - Row.AskedAgo, Now);
    TableStanding Found = Fresh.standing(Now, Now - Row.IdleAgo);
    STRCMP_EQUAL_TEXT(tableStateName(Row.Expected), tableStateName(Found.State),
                      Row.Name);
    LONGS_EQUAL_TEXT(Row.ConfirmedAgo.count(), Found.ageMillis(), Row.Name);
  }
}

TEST(TableLeaseTest, WithoutAnyConfirmationNothingIsKnown) {
  checkState(TableState::Unknown, Now, "just started");
  Lease.ask(Now - 30s);
  keepUp(Lease, Now - 30s, Now);
  checkState(TableState::Unknown, Now, "asked in vain");
  LONGS_EQUAL(-1, Lease.standing(Now, Now).ageMillis());
}

// Questions that go on unanswered must not make control look as if it had
// been asked only now.
TEST(TableLeaseTest, TheOldestOpenQuestionCounts) {
  Lease.confirm(Now - 4s);
  for (auto Ago = 3500ms; Ago >= 0ms; Ago -= 500ms) {
    keepUp(Lease, Now - Ago - 500ms, Now - Ago);
    Lease.ask(Now - Ago);
  }
  checkState(TableState::Unreachable, Now, "asked all along");
}

// What was asked before this process was behind may have been answered. It may
// look idle as it wakes, before it has read anything.
TEST(TableLeaseTest, AfterALongSpellTheNextQuestionCounts) {
  for (bool Frozen : {true, false}) {
    const char *Name = Frozen ? "frozen" : "busy";
    TableLease Fresh(Options);
    auto Check = [&](TableState Expected, TimePoint At) {
      STRCMP_EQUAL_TEXT(tableStateName(Expected),
                        tableStateName(Fresh.standing(At, At).State), Name);
    };
    Fresh.confirm(Now - 8s);
    Fresh.watch(Now - 7s, Now - 7s);
    Fresh.ask(Now - 7s);
    keepUp(Fresh, Now - 7s, Now - 4s);
    Check(TableState::Unreachable, Now - 4s);
    // Busy, it ticks on, but never has read all.
    for (TimePoint At = Now - 4s; At < Now && !Frozen; At += Tick)
      Fresh.watch(At, Now - 4s);
    Check(TableState::Unknown, Now);
    Fresh.watch(Now, Now);
    Check(TableState::Unknown, Now);
    Fresh.ask(Now);
    keepUp(Fresh, Now, Now + 999ms);
    Check(TableState::Unknown, Now + 999ms);
    keepUp(Fresh, Now + 999ms, Now + 1000ms);
    Check(TableState::Unreachable, Now + 1000ms);
    Fresh.confirm(Now);
    Check(TableState::Current, Now + 1000ms);
  }
}

TEST(TableLeaseTest, ATableThatIsKnownToBeOldIsNotServedOn) {
  Lease.hold(5);
  Lease.confirm(Now - 3s);
  Lease.watch(Now - 2500ms, Now - 2500ms);
  Lease.ask(Now - 2500ms);
  keepUp(Lease, Now - 2500ms, Now);
  Lease.hear(5);
  checkState(TableState::Unreachable, Now, "the same revision");
  Lease.hear(6);
  Lease.hear(4);
  checkState(TableState::Unknown, Now, "a newer one");
  CHECK(Lease.standing(Now, Now).NewerKnown);
  Lease.hold(6);
  checkState(TableState::Unreachable, Now, "it has come");
}

TEST(TableLeaseTest, ALateAnswerToAnOlderQuestionTakesNothingBack) {
  Lease.confirm(Now - 100ms);
  Lease.confirm(Now - 3s);
  checkState(TableState::Current, Now, "the newer answer counts");
}

// An entry under load is late for a moment again and again. Were it not to
// notice that control is gone, it would refuse all its callers meanwhile.
TEST(TableLeaseTest, ShortSpellsOfLatenessDoNotHideThatControlIsSilent) {
  Lease.confirm(Now - 4s);
  for (auto Ago = 3500ms; Ago > 0ms; Ago -= 250ms) {
    // Late until a moment ago.
    Lease.watch(Now - Ago, Now - Ago - 240ms);
    Lease.watch(Now - Ago, Now - Ago);
    Lease.ask(Now - Ago);
  }
  checkState(TableState::Unreachable, Now - 10ms, "late for moments");
}
