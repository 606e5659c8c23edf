#include "membership/control_search.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr auto Tick = 20ms;
constexpr auto AskEvery = 60ms;

/// What a replica does with a question.
enum class Part { Silent, Refuses, Leads };

struct ScriptedReplica {
  Part Plays = Part::Silent;
  /// Whom it names when it refuses; -1 for nobody.
  int Names = -1;
};

std::string addressOf(std::size_t Number) { return fmt::format("c{}", Number); }

} // namespace

TEST_GROUP(ControlSearchTest) {
  std::vector<ScriptedReplica> Replicas;
  std::vector<std::string> Asked;
  TimePoint Now = Start;
  TimePoint LastAsked{};
  std::uint64_t Sequence = 0;

  ControlSearch make(std::vector<ScriptedReplica> Script) {
    Replicas = std::move(Script);
    Asked.clear();
    LastAsked = TimePoint{};
    std::vector<PeerRef> Known;
    for (std::size_t I = 0; I < Replicas.size(); ++I)
      Known.push_back({"", addressOf(I)});
    ControlSearch Search(std::move(Known));
    Search.watch(Now, {Now});
    return Search;
  }
  /// Asks once; the replica answers within the same moment. \returns whether
  /// one that is named should be asked at once.
  bool ask(ControlSearch & Search) {
    std::string To = Search.whom().Address;
    Asked.push_back(To);
    Search.onAsked(++Sequence, Now);
    const ScriptedReplica &Target = Replicas[std::stoul(To.substr(1))];
    if (Target.Plays == Part::Leads)
      Search.onConfirmed(Sequence, Now);
    if (Target.Plays != Part::Refuses)
      return false;
    std::string Named = Target.Names < 0
                            ? ""
                            : addressOf(static_cast<std::size_t>(Target.Names));
    return Search.onRefused(Sequence, Named, Now);
  }
  /// Goes on for \p Time as a node does that reads all of its input.
  void play(ControlSearch & Search, std::chrono::milliseconds Time) {
    TimePoint End = Now + Time;
    for (; Now < End; Now += Tick) {
      Search.watch(Now, {Now});
      Search.askOthersAfter(250ms, Now);
      auto Pause = Search.isSearching() ? AskEvery : 500ms;
      if (Now - LastAsked < Pause)
        continue;
      LastAsked = Now;
      while (ask(Search)) {
      }
    }
  }
};

// Wherever the leader stands among replicas that are silent, refuse or send a
// node back to each other, it is found within a round.
TEST(ControlSearchTest, TheLeaderIsFoundWhateverTheOthersDo) {
  const ScriptedReplica Silent{Part::Silent};
  const ScriptedReplica Refuses{Part::Refuses};
  const ScriptedReplica NamesFirst{Part::Refuses, 0};
  const ScriptedReplica NamesSecond{Part::Refuses, 1};
  const ScriptedReplica NamesSelf{Part::Refuses, 2};
  const ScriptedReplica Leads{Part::Leads};
  struct Row {
    const char *Name;
    std::vector<ScriptedReplica> Script;
    std::chrono::milliseconds Within;
  };
  const Row Rows[] = {
      {"a replica that names one that refuses",
       {Refuses, NamesFirst, Refuses, Refuses, Leads},
       500ms},
      {"two that name each other",
       {NamesSecond, NamesFirst, Silent, Silent, Leads},
       500ms},
      {"all name the same wrong one",
       {NamesSecond, Refuses, NamesSecond, NamesSecond, NamesSecond, Leads},
       600ms},
      {"one that names itself", {Silent, Refuses, NamesSelf, Leads}, 700ms},
      {"one that names a silent one",
       {Silent, NamesFirst, NamesFirst, Leads},
       700ms},
      {"all silent but the last",
       {Silent, Silent, Silent, Silent, Silent, Silent, Silent, Silent, Leads},
       900ms},
      {"the leader is named",
       {Refuses, {Part::Refuses, 4}, Silent, Silent, Leads},
       300ms},
  };
  for (const Row &Row : Rows) {
    ControlSearch Search = make(Row.Script);
    play(Search, Row.Within);
    CHECK_FALSE_TEXT(Search.isSearching(), Row.Name);
    STRCMP_EQUAL_TEXT(addressOf(Row.Script.size() - 1).c_str(),
                      Search.whom().Address.c_str(), Row.Name);
  }
}

// Only where each replica was asked, and refused or had time to answer, is it
// known that none leads.
TEST(ControlSearchTest, ThatNobodyLeadsIsKnownOnceAllWereAsked) {
  const ScriptedReplica Silent{Part::Silent};
  const ScriptedReplica Refuses{Part::Refuses};
  struct Row {
    const char *Name;
    std::vector<ScriptedReplica> Script;
    std::chrono::milliseconds Time;
    bool Known;
  };
  const Row Rows[] = {
      {"one silent, the others not asked yet",
       {Silent, Silent, Silent},
       240ms,
       false},
      {"all asked, their answers may come",
       {Silent, Silent, Silent},
       700ms,
       false},
      {"all silent", {Silent, Silent, Silent}, 1100ms, true},
      {"five silent", {Silent, Silent, Silent, Silent, Silent}, 1300ms, true},
      {"all refuse", {Refuses, Refuses, Refuses}, 200ms, true},
      {"one refuses, others silent, asked just now",
       {Refuses, Silent, Silent},
       500ms,
       false},
      {"one refuses, others silent", {Refuses, Silent, Silent}, 900ms, true},
      {"one names a silent one", {Silent, {Part::Refuses, 0}}, 3000ms, false},
      {"one names one that is not known",
       {Silent, {Part::Refuses, 7}},
       3000ms,
       false},
      {"one names one that refuses",
       {Refuses, {Part::Refuses, 0}},
       200ms,
       true},
      {"two name each other",
       {{Part::Refuses, 1}, {Part::Refuses, 0}},
       200ms,
       true},
  };
  for (const Row &Row : Rows) {
    ControlSearch Search = make(Row.Script);
    play(Search, Row.Time);
    CHECK_EQUAL_TEXT(Row.Known, Search.searchedSince() != TimePoint::min(),
                     Row.Name);
    bool Fresh = Now - Search.searchedSince() < 1300ms;
    CHECK_EQUAL_TEXT(Row.Known, Row.Known && Fresh, Row.Name);
  }
}

// What it said of a leader before is no longer known to be so.
TEST(ControlSearchTest, AReplicaThatFallsSilentSpeaksForNoLeader) {
  ControlSearch Search = make({{Part::Silent}, {Part::Refuses, 0}});
  play(Search, 1500ms);
  CHECK(Search.searchedSince() == TimePoint::min());
  Replicas[1].Plays = Part::Silent;
  play(Search, 2000ms);
  CHECK(Search.searchedSince() != TimePoint::min());
}

TEST(ControlSearchTest, WhatWasFoundGoesWithTheNextSignOfALeader) {
  ControlSearch Search = make({{Part::Refuses}, {Part::Refuses}});
  play(Search, 300ms);
  CHECK(Search.searchedSince() != TimePoint::min());
  Search.onPushed(Now);
  CHECK(Search.searchedSince() == TimePoint::min());
  CHECK(Search.isSearching());
}

// The answers to what was asked before may lie unread.
TEST(ControlSearchTest, AfterALongSpellSilenceCountsFromTheNextQuestion) {
  for (bool Frozen : {true, false}) {
    ControlSearch Search = make({{Part::Silent}, {Part::Silent}});
    play(Search, 1500ms);
    CHECK(Search.searchedSince() != TimePoint::min());
    TimePoint LastIdle = Now;
    // Busy, it is watched on, but never has read all.
    for (int I = 0; I < 50 && !Frozen; ++I) {
      Now += Tick;
      Search.watch(Now, {LastIdle, Now});
    }
    if (Frozen)
      Now += 1s;
    Search.watch(Now, {Now});
    CHECK(Search.searchedSince() == TimePoint::min());
    play(Search, 600ms);
    CHECK(Search.searchedSince() == TimePoint::min());
    play(Search, 300ms);
    CHECK(Search.searchedSince() != TimePoint::min());
  }
}

// An entry under load is late for a moment again and again. Were it not to
// notice that control is gone, it would refuse all its callers meanwhile.
TEST(ControlSearchTest, ShortSpellsOfLatenessDoNotHideThatNobodyLeads) {
  ControlSearch Search = make({{Part::Silent}, {Part::Silent}});
  for (int I = 0; I < 12; ++I) {
    Now += 240ms;
    Search.watch(Now, {Now - 240ms, Now});
    Search.watch(Now, {Now, Now});
    Search.leaveSilent(1000ms, Now);
    ask(Search);
  }
  CHECK(Search.searchedSince() != TimePoint::min());
}

TEST(ControlSearchTest, ALateAnswerOfALeaderEndsTheSearch) {
  ControlSearch Search = make({{Part::Silent}, {Part::Silent}, {Part::Silent}});
  TimePoint First = Now;
  std::uint64_t FirstQuestion = Sequence + 1;
  play(Search, 800ms);
  CHECK(Search.isSearching());
  std::optional<TimePoint> Sent = Search.onConfirmed(FirstQuestion, Now);
  CHECK(Sent && *Sent == First);
  CHECK_FALSE(Search.isSearching());
  STRCMP_EQUAL("c0", Search.whom().Address.c_str());
}

TEST(ControlSearchTest, ASilentReplicaIsNamedOnceForEachSpanOfSilence) {
  ControlSearch Search = make({{Part::Silent}, {Part::Refuses}});
  std::size_t Named = 0;
  for (int I = 0; I < 30; ++I) {
    play(Search, 100ms);
    for (const PeerRef &Silent : Search.takeSilent(1000ms, Now)) {
      STRCMP_EQUAL("c0", Silent.Address.c_str());
      ++Named;
    }
  }
  CHECK(Named >= 2 && Named <= 3);
}
