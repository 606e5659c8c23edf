//===- Rows of worker replies that cannot be decoded ----------------------===//

#include "agent/worker_session.h"
#include "core/error.h"
#include "platform/worker_codec.h"

#include <fmt/format.h>
#include <map>
#include <optional>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *Incarnation = "life-1";
constexpr std::chrono::milliseconds Step{20};

class RecordingPort final : public WorkerPort {
public:
  void attach(const WorkerProfile &) override {}
  void start(const StartCall &) override {}
  void stop(const StopCall &Call) override { this->Stops.push_back(Call.Run); }
  void hold(const HoldCall &Call) override { this->Holds.push_back(Call); }

  std::vector<RunKey> Stops;
  std::vector<HoldCall> Holds;
};

class RecordingEvents final : public SessionEvents {
public:
  void onRunRefused(const RunKey &, WorkerRefusal, Instant) override {}
  void onRunEnded(const RunKey &Run, RunOutcome Outcome, Instant) override {
    this->Ends[Run.Index] = Outcome;
  }
  void onWorkerAttached(Instant) override {}
  void onWorkerReady(Instant) override {}
  void onWorkerSilent(Instant) override {}

  std::map<std::uint32_t, RunOutcome> Ends;
};

/// Returns a reply as the client passes it on: an unanswered one if it cannot
/// be decoded.
WorkerReply replyOf(const std::string &Running, const std::string &Ended) {
  try {
    return decodeReply(
        200, fmt::format(R"({{"clockMs":6000,"running":[{}],"ended":[{}]}})",
                         Running, Ended));
  } catch (const Error &) {
    return {};
  }
}

} // namespace

TEST_GROUP(ReplyRowsTest) {
  RecordingPort Port;
  RecordingEvents Events;
  SessionOptions Options;
  std::optional<WorkerSession> Session;
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};

  void setup() override { begin(); }
  void begin() {
    Port = RecordingPort();
    Events.Ends.clear();
    Session.emplace(SessionOptions(), Port, Events);
  }
  void pass(std::chrono::milliseconds Time) {
    Now.Steady += Time;
    Now.Wall += Time;
    Session->tick(Now);
  }
  void attach() {
    WorkerProfile Profile;
    Profile.Id = Incarnation;
    Session->onProfile(Profile, Now);
  }
  /// Starts the tasks a.0 to a.(Count-1), as run 1 each.
  void startRuns(std::uint32_t Count) {
    attach();
    hold("", "");
    for (std::uint32_t I = 0; I < Count; ++I) {
      Session->start({"a", I, 1}, "spec", Now);
      Session->onStartReply({Incarnation}, {"a", I, 1}, replyOf("", ""), Now);
    }
  }
  void hold(const std::string &Running, const std::string &Ended) {
    Session->onHoldReply({Incarnation}, replyOf(Running, Ended), Now);
  }
  void confirmStops() {
    std::vector<RunKey> Called;
    std::swap(Called, Port.Stops);
    for (const RunKey &Run : Called)
      Session->onStopReply({Incarnation}, Run, replyOf("", ""), Now);
  }
  /// Gives the same reply to each hold call during this time.
  void holdFor(std::chrono::milliseconds Time, const std::string &Running,
               const std::string &Ended) {
    for (TimePoint End = Now.Steady + Time; Now.Steady < End; pass(Step)) {
      hold(Running, Ended);
      confirmStops();
    }
  }
  bool hasEnded(std::uint32_t Index, RunOutcome Outcome) {
    return Events.Ends.contains(Index) && Events.Ends[Index] == Outcome;
  }
};

// A worker discards all ended runs up to the acknowledged one. An end that
// could not be decoded would be lost, and its run would keep its capacity
// forever.
TEST(ReplyRowsTest, AnUnreadableEndHidesNoOthersAndIsNotAcknowledged) {
  struct Row {
    const char *Bad;
    std::uint64_t Acknowledged;
  };
  const Row Rows[] = {
      {R"([2,7,1,"done",""])", 1},
      {R"([2,"a.0.0.1","1","done",""])", 1},
      {R"([2,"a.0.0.1",-1,"done",""])", 1},
      {R"([2,"a.0.0.1",1,true,""])", 1},
      {R"([2,"a.0.0.1",1])", 1},
      {R"([2])", 1},
      {R"(["2","a.0.0.1",1,"done",""])", 0},
      {R"([-2,"a.0.0.1",1,"done",""])", 0},
      {R"([2.5,"a.0.0.1",1,"done",""])", 0},
      {R"([])", 0},
      {R"({"task":"a.0.0.1"})", 0},
      {R"(null)", 0},
  };
  for (const Row &Row : Rows) {
    begin();
    startRuns(3);
    hold("", fmt::format(R"([1,"a.0.0.0",1,"done",""],{},
                             [3,"a.0.0.2",1,"failed",""])",
                         Row.Bad));
    CHECK_TEXT(hasEnded(0, RunOutcome::Done), Row.Bad);
    CHECK_TEXT(hasEnded(2, RunOutcome::Failed), Row.Bad);
    LONGS_EQUAL_TEXT(1, Session->runs(), Row.Bad);
    pass(Step);
    LONGS_EQUAL_TEXT(Row.Acknowledged, Port.Holds.back().AcknowledgedEnd,
                     Row.Bad);
    hold("", R"([2,"a.0.0.1",1,"done",""],[3,"a.0.0.2",1,"failed",""])");
    CHECK_TEXT(hasEnded(1, RunOutcome::Done), Row.Bad);
    LONGS_EQUAL_TEXT(3, Port.Holds.back().AcknowledgedEnd, Row.Bad);
  }
}

// The worker returns the unreadable end at once with each reply, so calls would
// follow each other without a pause.
TEST(ReplyRowsTest, HoldCallsPauseAfterAnUnreadableEnd) {
  startRuns(1);
  std::size_t Before = Port.Holds.size();
  hold(R"(["a.0.0.0",1,"",0])", "[2]");
  LONGS_EQUAL(Before, Port.Holds.size());
  pass(Options.HoldRetryInterval);
  LONGS_EQUAL(Before + 1, Port.Holds.size());
  CHECK(Session->isReady());
}

TEST(ReplyRowsTest, ARunWithAnUnreadableEndEndsOnceItIsNotListed) {
  startRuns(2);
  const char *Running = R"(["a.0.0.0",1,"",0])";
  const char *Ended = R"([1,"a.0.0.1",1,7,""],[2,"b.0.0.0",1,"done",""])";
  holdFor(1000ms, Running, Ended);
  // A later reply may have the end in readable form.
  LONGS_EQUAL(2, Session->runs());
  LONGS_EQUAL(0, Port.Holds.back().AcknowledgedEnd);
  holdFor(4000ms, Running, Ended);
  CHECK(hasEnded(1, RunOutcome::Other));
  LONGS_EQUAL(2, Port.Holds.back().AcknowledgedEnd);
  // The other run continues under its lease.
  LONGS_EQUAL(1, Session->runs());
  CHECK(Port.Holds.back().LeaseUntil.has_value());
}

TEST(ReplyRowsTest, TheNumberOfAnUnreadableEndAcknowledgesNothing) {
  startRuns(1);
  const char *Running = R"(["a.0.0.0",1,"",0])";
  holdFor(4000ms, Running, R"([3,"b.0.0.0",1,"done",""],[900000,7])");
  LONGS_EQUAL(3, Port.Holds.back().AcknowledgedEnd);
  hold("", R"([4,"a.0.0.0",1,"done",""])");
  CHECK(hasEnded(0, RunOutcome::Done));
}

// An unreadable run would otherwise continue under the leases that this agent
// grants.
TEST(ReplyRowsTest, UnreadableRunsExpireBeforeAWorkerIsReady) {
  const char *Rows[] = {R"([7,1,"",0])", R"(["b.0.0.0","1","",0])",
                        R"(["b.0.0.0",1.5,"",0])", R"(["b.0.0.0"])", R"("x")"};
  for (const char *Bad : Rows) {
    begin();
    attach();
    hold(fmt::format(R"({},["b.0.0.1",1,"",0])", Bad), "");
    LONGS_EQUAL_TEXT(1, Port.Stops.size(), Bad);
    holdFor(Options.Lease, Bad, "");
    CHECK_FALSE_TEXT(Session->isReady(), Bad);
    CHECK_FALSE_TEXT(Port.Holds.back().LeaseUntil.has_value(), Bad);
    holdFor(Options.LeaseExpiryMargin + 2 * Step, Bad, "");
    CHECK_TEXT(Session->isReady(), Bad);
  }
}
