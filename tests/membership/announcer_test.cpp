#include "membership/announcer.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

class RecordingSink final : public PeerSink {
public:
  void send(const PeerRef &To, peer::Message Message) override {
    ++this->Sent;
    this->LastTo = To.Node;
    this->LastHeartbeat = Message.heartbeat();
  }
  void reconnect(const PeerRef &To) override { this->Reconnected = To.Node; }
  std::string Reconnected;
  int Sent = 0;
  std::string LastTo;
  peer::Heartbeat LastHeartbeat;
};

class RecordingEvents final : public AnnouncerEvents {
public:
  void onConfirmed(TimePoint Asked) override { this->Confirmed = Asked; }
  void onCatalog(Instant) override { ++this->Catalogs; }
  void onMember(const peer::Member &Member, Instant) override {
    this->Last = Member;
  }
  void onNewerIncarnation(std::uint64_t Known, Instant) override {
    this->NewerIncarnation = Known;
  }
  void onDemand(const std::vector<peer::RouteDemand> &Sums, TimePoint Measured,
                Instant) override {
    this->Sums = Sums;
    this->Measured = Measured;
  }
  std::vector<peer::RouteDemand> Sums;
  TimePoint Measured = TimePoint::min();
  std::uint64_t NewerIncarnation = 0;
  TimePoint Confirmed = TimePoint::min();
  int Catalogs = 0;
  peer::Member Last;
};

} // namespace

TEST_GROUP(AnnouncerTest) {
  RecordingSink Sink;
  RecordingEvents Events;
  NodeCatalog Catalog;
  AnnouncerOptions Options{{{"c1", "c1"}, {"c2", "c2"}}, 1000ms};
  peer::Member Self;
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};

  void setup() override { Self.set_incarnation(7); }

  peer::HeartbeatReply reply(std::uint64_t Sequence, std::uint64_t Revision) {
    peer::HeartbeatReply Reply;
    Reply.set_accepted(true);
    Reply.set_sequence(Sequence);
    Reply.set_incarnation(7);
    Reply.mutable_catalog()->set_revision(Revision);
    return Reply;
  }
  void advance(std::chrono::milliseconds Time) { Now.Steady += Time; }
};

// The replica may be healthy and only its connection broken.
TEST(AnnouncerTest, ReconnectsAndAbandonsASilentReplica) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  for (int I = 0; I < 12 && Sink.LastTo != "c2"; ++I) {
    STRCMP_EQUAL("", Sink.Reconnected.c_str());
    Announce.tick(Now);
    advance(250ms);
  }
  STRCMP_EQUAL("c2", Sink.LastTo.c_str());
  STRCMP_EQUAL("c1", Sink.Reconnected.c_str());
}

// After a power loss of all hosts any replica may lead, and the first one asked
// may not reply yet.
TEST(AnnouncerTest, ASearchAtTheStartAsksAllReplicasInTurn) {
  for (bool SearchAtStart : {false, true}) {
    Options.SearchAtStart = SearchAtStart;
    Options.SearchInterval = 60ms;
    Announcer Announce(Options, Self, Catalog, Sink, Events);
    Announce.tick(Now);
    STRCMP_EQUAL("c1", Sink.LastTo.c_str());
    advance(60ms);
    Announce.tick(Now);
    STRCMP_EQUAL(SearchAtStart ? "c2" : "c1", Sink.LastTo.c_str());
    // Once the leader has replied, it alone is asked.
    Announce.onReply(reply(SearchAtStart ? 2 : 1, 5), Now);
    std::string Leader = Sink.LastTo;
    for (int I = 0; I < 5; ++I) {
      advance(1000ms);
      Announce.tick(Now);
      Announce.onReply(reply((SearchAtStart ? 3 : 2) + I, 5), Now);
      STRCMP_EQUAL(Leader.c_str(), Sink.LastTo.c_str());
    }
  }
}

TEST(AnnouncerTest, AConfirmationCountsFromTheTimeOfTheRequest) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  TimePoint Asked = Now.Steady;
  advance(700ms);
  Announce.onReply(reply(1, 5), Now);
  CHECK_TRUE(Events.Confirmed == Asked);
}

// The host's clock may have been set back before this process started.
TEST(AnnouncerTest, ReportsAHigherIncarnationOfThisNode) {
  struct Row {
    std::uint64_t Known;
    std::uint64_t Expected;
  };
  const Row Rows[] = {{0, 0}, {6, 0}, {7, 0}, {8, 8}};
  for (const Row &Row : Rows) {
    Events.NewerIncarnation = 0;
    Announcer Announce(Options, Self, Catalog, Sink, Events);
    Announce.tick(Now);
    peer::HeartbeatReply Reply = reply(1, 5);
    Reply.set_known_incarnation(Row.Known);
    Announce.onReply(Reply, Now);
    LONGS_EQUAL(Row.Expected, Events.NewerIncarnation);
  }
}

TEST(AnnouncerTest, AcceptsAFirstConfigurationOnlyFromAReplyToItsOwnRequest) {
  struct Row {
    const char *Name;
    std::uint64_t Sequence;
    std::uint64_t Incarnation;
    std::uint64_t Expected;
  };
  const Row Rows[] = {{"an unsolicited message", 0, 7, 0},
                      {"a reply to an earlier incarnation", 1, 6, 0},
                      {"a reply to a request not sent yet", 9, 7, 0},
                      {"a reply to its own request", 1, 7, 5}};
  for (const Row &Case : Rows) {
    NodeCatalog Fresh;
    Announcer Announce(Options, Self, Fresh, Sink, Events);
    Announce.tick(Now);
    peer::HeartbeatReply Reply = reply(Case.Sequence, 5);
    Reply.set_incarnation(Case.Incarnation);
    Announce.onReply(Reply, Now);
    LONGS_EQUAL_TEXT(Case.Expected, Fresh.revision(), Case.Name);
  }
}

TEST(AnnouncerTest, RequestsANewerRevisionOfAPeerAtOnceButOnlyOnce) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  Announce.onReply(reply(1, 5), Now);
  advance(300ms);
  Announce.noteRevision(5, Now);
  LONGS_EQUAL(1, Sink.Sent);
  Announce.noteRevision(6, Now);
  Announce.noteRevision(6, Now);
  LONGS_EQUAL(2, Sink.Sent);
}

// If a process has not kept up with its input, replies of control may be unread
// or outdated. It sends a new request at once, but not on each tick while it
// stays behind.
TEST(AnnouncerTest, SendsARequestAtOnceAfterFallingBehind) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds SinceQuestion;
    std::chrono::milliseconds BehindAgo;
    int Questions;
  };
  const Row Rows[] = {{"behind until now", 300ms, 0ms, 1},
                      {"behind after the request", 300ms, 20ms, 1},
                      {"behind before the request", 300ms, 320ms, 0},
                      {"request sent a moment ago", 100ms, 0ms, 0}};
  for (const Row &Row : Rows) {
    NodeCatalog Fresh;
    Announcer Announce(Options, Self, Fresh, Sink, Events);
    Announce.tick(Now);
    Announce.onReply(reply(1, 5), Now);
    // Sends the heartbeat that was scheduled before the first reply.
    advance(1000ms);
    Announce.tick(Now);
    Announce.onReply(reply(2, 5), Now);
    int Before = Sink.Sent;
    advance(Row.SinceQuestion);
    Announce.tick(Now, {Now.Steady, Now.Steady - Row.BehindAgo});
    LONGS_EQUAL_TEXT(Row.Questions, Sink.Sent - Before, Row.Name);
  }
}

// Requests sent ahead of schedule must not make a healthy replica count as
// silent.
TEST(AnnouncerTest, EarlyRequestsDoNotSpeedUpTheSearch) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  Announce.onReply(reply(1, 5), Now);
  advance(1000ms);
  for (int I = 0; I < 7; ++I) {
    Announce.tick(Now, {Now.Steady, Now.Steady});
    advance(260ms);
  }
  STRCMP_EQUAL("c1", Sink.LastTo.c_str());
  STRCMP_EQUAL("", Sink.Reconnected.c_str());
  CHECK(Sink.Sent >= 7);
  advance(1000ms);
  Announce.tick(Now, {Now.Steady, Now.Steady});
  STRCMP_EQUAL("c2", Sink.LastTo.c_str());
}

// A delayed reply may arrive when the next replica has already been asked. What
// it confirms must still count.
TEST(AnnouncerTest, ADelayedReplyConfirmsFromTheTimeOfItsRequest) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  Announce.onReply(reply(1, 5), Now);
  advance(1000ms);
  TimePoint Asked = Now.Steady;
  for (int I = 0; I < 3; ++I) {
    Announce.tick(Now);
    advance(1000ms);
  }
  STRCMP_EQUAL("c2", Sink.LastTo.c_str());
  Announce.onReply(reply(2, 6), Now);
  CHECK(Events.Confirmed == Asked);
  LONGS_EQUAL(6, Catalog.revision());
}

TEST(AnnouncerTest, AsksTheNextReplicaAfterSilence) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  for (const char *Expected : {"c1", "c1", "c2"}) {
    Announce.tick(Now);
    STRCMP_EQUAL(Expected, Sink.LastTo.c_str());
    advance(1000ms);
  }
}

// After a restart of the whole deployment, each saved heartbeat would prolong
// the outage.
TEST(AnnouncerTest, ANodeWithoutConfigurationSendsMoreHeartbeats) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  advance(250ms);
  Announce.tick(Now);
  LONGS_EQUAL(2, Sink.Sent);
  Announce.onReply(reply(2, 5), Now);
  // The heartbeat that is already scheduled is still sent; then the full
  // interval applies.
  for (int I = 0; I < 4; ++I) {
    advance(250ms);
    Announce.tick(Now);
  }
  LONGS_EQUAL(3, Sink.Sent);
  advance(250ms);
  Announce.tick(Now);
  LONGS_EQUAL(4, Sink.Sent);
}

TEST(AnnouncerTest, AFullTableMarksMissingMembersLost) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  peer::HeartbeatReply Reply = reply(1, 5);
  Reply.mutable_members()->set_term(1);
  Reply.mutable_members()->set_full(true);
  Reply.mutable_members()->add_members()->set_name("a1");
  Announce.onReply(Reply, Now);
  advance(1000ms);
  Announce.tick(Now);
  Reply = reply(2, 6);
  Reply.mutable_members()->set_term(2);
  Reply.mutable_members()->set_full(true);
  Announce.onReply(Reply, Now);
  STRCMP_EQUAL("a1", Events.Last.name().c_str());
  LONGS_EQUAL(peer::MEMBER_LOST, Events.Last.state());
}

TEST(AnnouncerTest, AnUnsettledTableAddsMembersButMarksNoneLost) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  peer::HeartbeatReply Whole = reply(1, 5);
  Whole.mutable_members()->set_term(1);
  Whole.mutable_members()->set_version(4);
  Whole.mutable_members()->set_full(true);
  Whole.mutable_members()->add_members()->set_name("kept");
  Announce.onReply(Whole, Now);
  advance(1000ms);
  Announce.tick(Now);
  peer::HeartbeatReply Partial = reply(2, 5);
  Partial.mutable_members()->set_partial(true);
  peer::Member *Heard = Partial.mutable_members()->add_members();
  Heard->set_name("heard");
  Heard->set_state(peer::MEMBER_ALIVE);
  Announce.onReply(Partial, Now);
  STRCMP_EQUAL("heard", Events.Last.name().c_str());
  CHECK(Events.Last.state() == peer::MEMBER_ALIVE);
}

TEST(AnnouncerTest, ReportsDemandAndPassesOnTheSumsWithTheirAge) {
  Announcer Announce(Options, Self, Catalog, Sink, Events);
  Announce.tick(Now);
  CHECK(Sink.LastHeartbeat.demand().empty());
  Announce.onReply(reply(1, 5), Now);
  CHECK(Events.Sums.empty());
  peer::RouteDemand Row;
  Row.set_route("r");
  Row.set_cpu_milli(700);
  Announce.setDemand({Row});
  advance(1000ms);
  Announce.tick(Now);
  LONGS_EQUAL(1, Sink.LastHeartbeat.demand_size());
  LONGS_EQUAL(700, Sink.LastHeartbeat.demand(0).cpu_milli());
  TimePoint Asked = Now.Steady;
  advance(200ms);
  peer::HeartbeatReply Reply = reply(2, 5);
  *Reply.add_demand() = Row;
  Reply.set_demand_age_ms(300);
  Announce.onReply(Reply, Now);
  LONGS_EQUAL(1, Events.Sums.size());
  // The reply may have been sent at any time since the request.
  CHECK(Events.Measured == Asked - 300ms);
  // A duplicate is no news.
  Events.Sums.clear();
  Announce.onReply(Reply, Now);
  CHECK(Events.Sums.empty());
}
