#include "membership/control_search.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr auto Tick = 20ms;
constexpr auto SearchInterval = 60ms;

/// How a replica reacts to a request.
enum class ReplicaAction { Silent, Refuses, Leads };

struct ScriptedReplica {
  ReplicaAction Action = ReplicaAction::Silent;
  /// The replica that it names as leader when it refuses; -1 for none.
  int NamedReplica = -1;
};

std::string addressOf(std::size_t Number) { return fmt::format("c{}", Number); }

} // namespace

TEST_GROUP(ControlSearchTest) {
  std::vector<ScriptedReplica> Replicas;
  std::vector<std::string> RequestTargets;
  TimePoint Now = Start;
  TimePoint LastAsked{};
  std::uint64_t Sequence = 0;

  ControlSearch makeSearch(std::vector<ScriptedReplica> Script) {
    Replicas = std::move(Script);
    RequestTargets.clear();
    LastAsked = TimePoint{};
    std::vector<PeerRef> Known;
    for (std::size_t I = 0; I < Replicas.size(); ++I)
      Known.push_back({"", addressOf(I)});
    ControlSearch Search(std::move(Known));
    Search.noteInputProgress(Now, {Now});
    return Search;
  }
  /// Sends one request, which the replica answers without delay.
  /// \returns whether the named replica should be asked at once.
  bool sendRequest(ControlSearch & Search) {
    std::string To = Search.target().Address;
    RequestTargets.push_back(To);
    Search.onRequestSent(++Sequence, Now);
    const ScriptedReplica &Target = Replicas[std::stoul(To.substr(1))];
    if (Target.Action == ReplicaAction::Leads)
      Search.onConfirmed(Sequence, Now);
    if (Target.Action != ReplicaAction::Refuses)
      return false;
    std::string Named =
        Target.NamedReplica < 0
            ? ""
            : addressOf(static_cast<std::size_t>(Target.NamedReplica));
    return Search.onRefused(Sequence, Named, Now);
  }
  /// Runs for \p Time as a node that reads all of its input.
  void runFor(ControlSearch & Search, std::chrono::milliseconds Time) {
    TimePoint End = Now + Time;
    for (; Now < End; Now += Tick) {
      Search.noteInputProgress(Now, {Now});
      Search.searchIfLate(250ms, Now);
      auto Pause = Search.isSearching() ? SearchInterval : 500ms;
      if (Now - LastAsked < Pause)
        continue;
      LastAsked = Now;
      while (sendRequest(Search)) {
      }
    }
  }
};

// The leader must be found within one round among replicas that are silent,
// refuse, or name each other as leader.
TEST(ControlSearchTest, FindsTheLeaderWhateverOtherReplicasDo) {
  const ScriptedReplica Silent{ReplicaAction::Silent};
  const ScriptedReplica Refuses{ReplicaAction::Refuses};
  const ScriptedReplica NamesFirst{ReplicaAction::Refuses, 0};
  const ScriptedReplica NamesSecond{ReplicaAction::Refuses, 1};
  const ScriptedReplica NamesSelf{ReplicaAction::Refuses, 2};
  const ScriptedReplica Leads{ReplicaAction::Leads};
  struct Row {
    const char *Name;
    std::vector<ScriptedReplica> Script;
    std::chrono::milliseconds Within;
  };
  const Row Rows[] = {
      {"a replica names one that refuses",
       {Refuses, NamesFirst, Refuses, Refuses, Leads},
       500ms},
      {"two replicas name each other",
       {NamesSecond, NamesFirst, Silent, Silent, Leads},
       500ms},
      {"all name the same wrong leader",
       {NamesSecond, Refuses, NamesSecond, NamesSecond, NamesSecond, Leads},
       600ms},
      {"a replica names itself", {Silent, Refuses, NamesSelf, Leads}, 700ms},
      {"a replica names a silent one",
       {Silent, NamesFirst, NamesFirst, Leads},
       700ms},
      {"all silent but the last",
       {Silent, Silent, Silent, Silent, Silent, Silent, Silent, Silent, Leads},
       900ms},
      {"the leader is named",
       {Refuses, {ReplicaAction::Refuses, 4}, Silent, Silent, Leads},
       300ms},
  };
  for (const Row &Row : Rows) {
    ControlSearch Search = makeSearch(Row.Script);
    runFor(Search, Row.Within);
    CHECK_FALSE_TEXT(Search.isSearching(), Row.Name);
    STRCMP_EQUAL_TEXT(addressOf(Row.Script.size() - 1).c_str(),
                      Search.target().Address.c_str(), Row.Name);
  }
}

// The absence of a leader is known only after every replica has been asked and
// has refused or had time to reply.
TEST(ControlSearchTest, KnowsThereIsNoLeaderOnlyAfterAskingAll) {
  const ScriptedReplica Silent{ReplicaAction::Silent};
  const ScriptedReplica Refuses{ReplicaAction::Refuses};
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
      {"all asked, replies may still arrive",
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
      {"one names a silent one",
       {Silent, {ReplicaAction::Refuses, 0}},
       3000ms,
       false},
      {"one names one that is not known",
       {Silent, {ReplicaAction::Refuses, 7}},
       3000ms,
       false},
      {"one names one that refuses",
       {Refuses, {ReplicaAction::Refuses, 0}},
       200ms,
       true},
      {"two name each other",
       {{ReplicaAction::Refuses, 1}, {ReplicaAction::Refuses, 0}},
       200ms,
       true},
  };
  for (const Row &Row : Rows) {
    ControlSearch Search = makeSearch(Row.Script);
    runFor(Search, Row.Time);
    CHECK_EQUAL_TEXT(Row.Known, Search.noLeaderSince() != TimePoint::min(),
                     Row.Name);
    bool Fresh = Now - Search.noLeaderSince() < 1300ms;
    CHECK_EQUAL_TEXT(Row.Known, Row.Known && Fresh, Row.Name);
  }
}

// The leader that it named earlier may have been lost since.
TEST(ControlSearchTest, ASilentReplicaIsNoEvidenceOfALeader) {
  ControlSearch Search =
      makeSearch({{ReplicaAction::Silent}, {ReplicaAction::Refuses, 0}});
  runFor(Search, 1500ms);
  CHECK(Search.noLeaderSince() == TimePoint::min());
  Replicas[1].Action = ReplicaAction::Silent;
  runFor(Search, 2000ms);
  CHECK(Search.noLeaderSince() != TimePoint::min());
}

TEST(ControlSearchTest, AMessageOfALeaderDiscardsEvidenceAgainstOne) {
  ControlSearch Search =
      makeSearch({{ReplicaAction::Refuses}, {ReplicaAction::Refuses}});
  runFor(Search, 300ms);
  CHECK(Search.noLeaderSince() != TimePoint::min());
  Search.onUnsolicitedReply(Now);
  CHECK(Search.noLeaderSince() == TimePoint::min());
  CHECK(Search.isSearching());
}

// Replies to earlier requests may be unread.
TEST(ControlSearchTest, SilenceCountsFromTheNextRequestAfterALongInputDelay) {
  for (bool Frozen : {true, false}) {
    ControlSearch Search =
        makeSearch({{ReplicaAction::Silent}, {ReplicaAction::Silent}});
    runFor(Search, 1500ms);
    CHECK(Search.noLeaderSince() != TimePoint::min());
    TimePoint LastIdle = Now;
    // A busy process records its progress, but never reads all of its input.
    for (int I = 0; I < 50 && !Frozen; ++I) {
      Now += Tick;
      Search.noteInputProgress(Now, {LastIdle, Now});
    }
    if (Frozen)
      Now += 1s;
    Search.noteInputProgress(Now, {Now});
    CHECK(Search.noLeaderSince() == TimePoint::min());
    runFor(Search, 600ms);
    CHECK(Search.noLeaderSince() == TimePoint::min());
    runFor(Search, 300ms);
    CHECK(Search.noLeaderSince() != TimePoint::min());
  }
}

// An entry under load is often briefly behind with its input. If that hid the
// loss of control, the entry would refuse all its callers in the meantime.
TEST(ControlSearchTest, ShortInputDelaysDoNotHideThatThereIsNoLeader) {
  ControlSearch Search =
      makeSearch({{ReplicaAction::Silent}, {ReplicaAction::Silent}});
  for (int I = 0; I < 12; ++I) {
    Now += 240ms;
    Search.noteInputProgress(Now, {Now - 240ms, Now});
    Search.noteInputProgress(Now, {Now, Now});
    Search.searchIfSilent(1000ms, Now);
    sendRequest(Search);
  }
  CHECK(Search.noLeaderSince() != TimePoint::min());
}

TEST(ControlSearchTest, ADelayedReplyOfALeaderEndsTheSearch) {
  ControlSearch Search = makeSearch({{ReplicaAction::Silent},
                                     {ReplicaAction::Silent},
                                     {ReplicaAction::Silent}});
  TimePoint First = Now;
  std::uint64_t FirstQuestion = Sequence + 1;
  runFor(Search, 800ms);
  CHECK(Search.isSearching());
  std::optional<TimePoint> Sent = Search.onConfirmed(FirstQuestion, Now);
  CHECK(Sent && *Sent == First);
  CHECK_FALSE(Search.isSearching());
  STRCMP_EQUAL("c0", Search.target().Address.c_str());
}

TEST(ControlSearchTest, ASilentReplicaIsReturnedOncePerTimeout) {
  ControlSearch Search =
      makeSearch({{ReplicaAction::Silent}, {ReplicaAction::Refuses}});
  std::size_t Named = 0;
  for (int I = 0; I < 30; ++I) {
    runFor(Search, 100ms);
    for (const PeerRef &Silent : Search.takeSilentReplicas(1000ms, Now)) {
      STRCMP_EQUAL("c0", Silent.Address.c_str());
      ++Named;
    }
  }
  CHECK(Named >= 2 && Named <= 3);
}
