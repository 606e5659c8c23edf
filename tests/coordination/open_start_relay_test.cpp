// Tests what an entry tells the others of the starts that may be open at agents
// which it has lost, and what they do with it.

#include "coordination/open_start_relay.h"
#include "tests/coordination/coordinator_fixture.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstNumber = 1000;
const PeerRef OtherEntry{"entry-b", "", 5};

peer::Member entryMember(std::uint64_t Incarnation = OtherEntry.Incarnation,
                         peer::MemberState State = peer::MEMBER_ALIVE) {
  peer::Member Member;
  Member.set_name(OtherEntry.Node);
  Member.set_role(peer::ROLE_ENTRY);
  Member.set_incarnation(Incarnation);
  Member.set_state(State);
  return Member;
}

void addRow(peer::OpenStartRelay &Relay, const char *Agent,
            std::uint32_t Index) {
  peer::RelayedStart *Row = Relay.add_starts();
  Row->set_agent(Agent);
  Row->mutable_start()->set_job("j");
  Row->mutable_start()->set_index(Index);
  Row->mutable_start()->set_left_ms(5000);
  Row->mutable_start()->set_number(Index + 1);
}

} // namespace

TEST_GROUP(OpenStartRelayTest) {
  TimePoint Now{1h};
  /// Returns the indexes of the tasks that are sent now.
  std::string sentBy(OpenStartRelay & Relay) {
    std::string Indexes;
    for (const auto &[To, Message] : Relay.dueMessages(Now))
      for (const peer::RelayedStart &Row : Message.open_start_relay().starts())
        Indexes += std::to_string(Row.start().index());
    return Indexes;
  }
};

// What is sent after the first message, two rows of three, and a reply to it.
TEST(OpenStartRelayTest, RowsAreRepeatedUntilTheirReceiverAcknowledgesThem) {
  struct Row {
    const char *Name;
    std::uint64_t Incarnation;
    std::uint64_t Seen;
    peer::Member Member;
    Duration Passed;
    const char *Expected;
  };
  const Row Rows[] = {
      {"no reply", 5, 0, entryMember(), 200ms, "01"},
      {"one seen", 5, FirstNumber + 1, entryMember(), 0ms, "12"},
      {"two seen", 5, FirstNumber + 2, entryMember(), 0ms, "2"},
      {"all seen", 5, FirstNumber + 3, entryMember(), 200ms, ""},
      {"by an old incarnation", 4, FirstNumber + 3, entryMember(), 200ms, "01"},
      {"not sent yet", 5, FirstNumber + 4, entryMember(), 200ms, "01"},
      {"restarted", 5, FirstNumber + 3, entryMember(6), 0ms, "01"},
      {"lost", 5, 0, entryMember(5, peer::MEMBER_LOST), 200ms, ""},
      {"over", 5, 0, entryMember(), 15s, ""},
  };
  for (const Row &Row : Rows) {
    OpenStartRelay Relay({.MaxPerMessage = 2, .MaxStarts = 3}, FirstNumber);
    Now = TimePoint(1h);
    Relay.onMember(entryMember());
    STRCMP_EQUAL_TEXT("", sentBy(Relay).c_str(), Row.Name);
    for (std::uint32_t I = 0; I < 4; ++I)
      Relay.add("a", "j", I, Now + 15s);
    STRCMP_EQUAL_TEXT("01", sentBy(Relay).c_str(), Row.Name);
    STRCMP_EQUAL_TEXT("", sentBy(Relay).c_str(), Row.Name);
    peer::OpenStartRelayReply Reply;
    Reply.set_receiver_incarnation(Row.Incarnation);
    Reply.set_seen(Row.Seen);
    Relay.onReply(OtherEntry.Node, Reply);
    Relay.onMember(Row.Member);
    Now += Row.Passed;
    STRCMP_EQUAL_TEXT(Row.Expected, sentBy(Relay).c_str(), Row.Name);
  }
}

TEST(OpenStartRelayTest, AReceiverAcknowledgesTheRowsThatItKnows) {
  struct Row {
    const char *Name;
    std::uint64_t Incarnation;
    std::uint64_t Acknowledged;
    std::uint32_t First;
    std::uint32_t Last;
    std::uint64_t Seen;
    std::uint32_t Known;
  };
  const Row Rows[] = {
      {"first rows", 5, 0, 1, 2, 2, 2},
      {"repeated with another", 5, 0, 1, 3, 3, 3},
      {"late", 5, 0, 1, 1, 3, 3},
      {"next row", 5, 3, 4, 4, 4, 4},
      {"rows are missing before it", 5, 5, 6, 6, 4, 4},
      {"the sender has restarted", 6, 0, 1, 1, 1, 4},
  };
  OpenStartRecord Record;
  for (const Row &Row : Rows) {
    peer::OpenStartRelay Relay;
    Relay.set_acknowledged(Row.Acknowledged);
    for (std::uint32_t Number = Row.First; Number <= Row.Last; ++Number)
      addRow(Relay, "a", Number - 1);
    PeerRef From{OtherEntry.Node, "", Row.Incarnation};
    LONGS_EQUAL_TEXT(Row.Seen, Record.onRelay(From, Relay, Now), Row.Name);
    for (std::uint32_t I = 0; I < 6; ++I)
      CHECK_EQUAL_TEXT(I >= Row.Known, Record.choiceFor("j", I, Now).IsFree,
                       Row.Name);
  }
  STRCMP_EQUAL("a", Record.choiceFor("j", 0, Now).Agent.c_str());
  CHECK(Record.choiceFor("j", 0, Now + 5s).IsFree);
}

// A task whose starts are counted twice may be placed nowhere.
TEST(OpenStartRelayTest, AStartThatItsAgentReportsIsCountedOnce) {
  struct Row {
    const char *Name;
    bool IsRelayed;
    bool IsGivenUp;
  };
  const Row Rows[] = {{"reported only", false, false},
                      {"relayed by another entry", true, false},
                      {"given up with its agent", false, true}};
  for (const Row &Row : Rows) {
    OpenStartRecord Record;
    peer::WorkerLoad Load;
    for (std::uint64_t I = 1; I <= OpenStartRecordOptions().MaxLostStarts;
         ++I) {
      peer::OpenStart *Start = Load.add_open_starts();
      Start->set_job("j");
      Start->set_left_ms(5000);
      Start->set_number(I);
    }
    Record.onLoad("a", Load, Now);
    peer::OpenStartRelay Relay;
    addRow(Relay, "a", 0);
    if (Row.IsRelayed)
      Record.onRelay(OtherEntry, Relay, Now);
    if (Row.IsGivenUp)
      Record.addUnreported("a", "j", 0, Now);
    STRCMP_EQUAL_TEXT("a", Record.choiceFor("j", 0, Now).Agent.c_str(),
                      Row.Name);
  }
}

// Rows that are added one after the other must not each cost a message.
TEST(OpenStartRelayTest, AMessageIsRepeatedNoMoreOftenThanItsInterval) {
  OpenStartRelay Relay({}, FirstNumber);
  Relay.onMember(entryMember());
  std::string Sent;
  for (std::uint32_t I = 0; I < 9; ++I) {
    Relay.add("a", "j", I, Now + 15s);
    Sent += sentBy(Relay) + ",";
    Now += 40ms;
  }
  STRCMP_EQUAL("0,,,,,012345,,,,", Sent.c_str());
}

TEST_GROUP_BASE(LostAgentTest, CoordinatorFixture){};

TEST(LostAgentTest, OtherEntriesLearnOfTheStartsThatMayBeOpen) {
  struct Row {
    const char *Name;
    bool KeepsId;
    /// Whether the agent has listed its two placements, and how many of these
    /// as answered.
    bool Listed;
    std::uint64_t Answered;
    int Relayed;
  };
  const Row Rows[] = {
      {"nothing is listed", true, false, 0, 2},
      {"an agent that does not tell", true, true, 0, 2},
      {"one is answered", true, true, 1, 1},
      {"both are answered", true, true, 2, 0},
      {"the worker changes its id", false, false, 0, 0},
  };
  Coordinator.onMember(entryMember(), Now);
  std::uint64_t LastOrder = 0;
  for (const Row &Row : Rows) {
    Sink.Relays.clear();
    announceAgent(Row.Name);
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(AgentIncarnation);
    Load->set_stamp(++Stamp);
    Load->set_worker_keeps_id(Row.KeepsId);
    Load->set_worker_ready(true);
    Coordinator.onMessage({Row.Name, "10.0.0.1:1"}, Message, Now);
    Coordinator.submit(patientRequest(2, Row.Name), 1, Now);
    Load->set_lists_held(Row.Listed);
    for (std::uint64_t I = 0; I < 2; ++I)
      Load->add_held_orders(++LastOrder);
    for (std::uint64_t I = 0; I < Row.Answered; ++I)
      Load->add_answered_orders(LastOrder - I);
    Coordinator.onMessage({Row.Name, "10.0.0.1:1"}, Message, Now);
    Coordinator.tick(Now);
    CHECK_TEXT(Sink.Relays.empty(), Row.Name);
    markLostByControl(Row.Name);
    Coordinator.tick(Now);
    int Relayed = 0;
    for (const auto &[To, Relay] : Sink.Relays)
      for (const peer::RelayedStart &Start : Relay.starts())
        Relayed += Start.agent() == Row.Name ? 1 : 0;
    LONGS_EQUAL_TEXT(Row.Relayed, Relayed, Row.Name);
    peer::Message Reply;
    Reply.mutable_open_start_relay_reply()->set_receiver_incarnation(5);
    for (const auto &[To, Relay] : Sink.Relays)
      Reply.mutable_open_start_relay_reply()->set_seen(
          Relay.starts().rbegin()->start().number());
    if (Row.Relayed > 0)
      Coordinator.onMessage(OtherEntry, Reply, Now);
  }
}

TEST(LostAgentTest, ARelayedStartKeepsATaskFromOtherAgents) {
  addAgent("a");
  peer::Message Message;
  addRow(*Message.mutable_open_start_relay(), "b", 0);
  Coordinator.onMessage(OtherEntry, Message, Now);
  LONGS_EQUAL(1, Sink.RelayReplies.at(OtherEntry.Node).seen());
  Coordinator.submit(patientRequest(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  CHECK(Sink.Dispatches.empty());
}

// The job may be submitted at an entry that the agent's report does not reach.
TEST(LostAgentTest, OtherEntriesLearnOfReportedStartsOfAJobThatIsNotCompleted) {
  Coordinator.onMember(entryMember(), Now);
  for (bool Completed : {true, false}) {
    const char *Id = Completed ? "completed" : "cancelled";
    addAgent("a");
    Coordinator.submit(patientRequest(1, Id), 1, Now);
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(AgentIncarnation);
    Load->set_stamp(++Stamp);
    Load->set_worker_keeps_id(true);
    Load->add_open_starts()->set_job(Id);
    Load->mutable_open_starts(0)->set_left_ms(5000);
    Load->mutable_open_starts(0)->set_number(Completed ? 1 : 2);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
    if (Completed)
      answer(0, peer::LEASED_DONE);
    else
      Coordinator.cancel(Id, "the caller has gone", Now);
    advance(100ms);
    LONGS_EQUAL_TEXT(Completed ? 0 : 1, Sink.Relays.size(), Id);
  }
  STRCMP_EQUAL("cancelled",
               Sink.Relays.at(0).second.starts(0).start().job().c_str());
}
