//===- Suspended hosts ----------------------------------------------------===//
//
// The clock that measures the age of leases, route tables and answers must
// include time spent suspended. Otherwise a node still uses what it held before
// the suspension, although another node may have been given it. With a clock
// that stops during a suspension, a route table of 10 s of age was "current" in
// these tests, and no event loop detected that it was late.
//
//===----------------------------------------------------------------------===//

#include "agent/lease_keeper.h"
#include "core/clock.h"
#include "core/error.h"
#include "entry/table_lease.h"
#include "tests/support/suspended_host.h"
#include "tests/system/system_cluster.h"
#include "transport/link_node.h"

#include <fmt/format.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Tick{10};

/// Suspensions shorter than a lease, about as long, and many times longer.
const std::chrono::milliseconds Lengths[] = {200ms, 800ms, 8000ms};

class NullPort final : public WorkerPort {
public:
  void attach(const WorkerProfile &) override {}
  void start(const StartCall &Call) override {
    ++this->Starts;
    this->LeaseUntil = Call.LeaseUntil;
  }
  void stop(const StopCall &) override {}
  void hold(const HoldCall &) override {}
  int Starts = 0;
  WorkerTime LeaseUntil{};
};

class NullEvents final : public SessionEvents {
public:
  void onRunRefused(const RunKey &, WorkerRefusal, Instant) override {}
  void onRunEnded(const RunKey &, RunOutcome, Instant) override {}
  void onWorkerAttached(Instant) override {}
  void onWorkerReady(Instant) override {}
  void onWorkerSilent(Instant) override {}
};

class KeptMessages final : public PeerSink {
public:
  void send(const PeerRef &, peer::Message Message) override {
    this->Messages.push_back(std::move(Message));
  }
  std::vector<peer::Message> Messages;
};

} // namespace

TEST_GROUP(SuspensionTest) { SystemClock Source; };

TEST(SuspensionTest, TheClockCountsTheTimeOfASuspension) {
  for (std::chrono::milliseconds Length : Lengths) {
    Instant Before = Source.now();
    suspendHost(Length);
    Instant After = Source.now();
    CHECK(After.Steady - Before.Steady >= Length);
    CHECK(After.Steady - Before.Steady < Length + 100ms);
    CHECK(After.Wall - Before.Wall >= Length);
  }
}

TEST(SuspensionTest, ARouteTableIsOlderByTheSuspension) {
  for (std::chrono::milliseconds Length : Lengths) {
    TableLeaseOptions Options;
    TableLease Table(Options);
    TimePoint Before = Source.now().Steady;
    Table.tick(Before);
    Table.confirm(Before);
    suspendHost(Length);
    TimePoint Now = Source.now().Steady;
    TableState Expected =
        Length < Options.MaxAge ? TableState::Current : TableState::Unknown;
    STRCMP_EQUAL(tableStateName(Expected),
                 tableStateName(Table.status(Now, Now).State));
  }
}

// A dispatch sent before the agent's host was suspended must not start a task
// afterwards, as its jobs may run elsewhere by then.
TEST(SuspensionTest, AnAgentStartsNothingUnderAnExpiredLease) {
  for (std::chrono::milliseconds Length : Lengths) {
    KeeperOptions Options;
    Options.Incarnation = 1;
    KeptMessages Sink;
    NullPort Port;
    LeaseKeeper Keeper(Options, Sink, Port);
    WorkerProfile Profile;
    Profile.Id = "life";
    Profile.Room.set_cpu_milli(1000);
    Profile.Room.set_memory_mb(1000);
    Instant Before = Source.now();
    Keeper.onProfile(Profile, Before);
    WorkerReply Ready;
    Ready.Answered = true;
    Keeper.session().onHoldReply({"life"}, Ready, Before);
    peer::Message Message;
    peer::LeasedDispatch *Dispatch = Message.mutable_leased_dispatch();
    Dispatch->set_job("job");
    Dispatch->set_agent_incarnation(1);
    Dispatch->set_stamp(LeaseKeeper::stampAt(Before));
    Dispatch->set_start_by_ms(20000);
    Dispatch->set_give_up_ms(20000);
    Dispatch->mutable_needs()->set_cpu_milli(100);
    Dispatch->add_tasks()->set_order(1);
    suspendHost(Length);
    Keeper.onMessage({"entry", "entry", 7}, Message, Source.now());
    LONGS_EQUAL_TEXT(Length < Options.EntryLease / 2 ? 1 : 0, Port.Starts,
                     fmt::format("{} ms", Length.count()).c_str());
  }
}

// As after a freeze of the process, received messages may be unread, and the
// delay is the process's own.
TEST(SuspensionTest, ALoopKnowsThatItWasBehind) {
  LinkNode Node({"test", peer::ROLE_ENTRY, "e",
                 fmt::format("127.0.0.1:{}", freePort()), 1},
                {}, Source, Tick);
  Node.start({[](Instant) {}, [](const peer::Envelope &, Instant) {}, nullptr});
  std::this_thread::sleep_for(100ms);
  TimePoint Before = Source.now().Steady;
  suspendHost(3000ms);
  CHECK(waitFor([&] { return Node.loop().lastBehind() > Before; }));
  CHECK(waitFor(
      [&] { return Source.now().Steady - Node.loop().lastIdle() < 100ms; }));
  LONGS_EQUAL(1, Node.loop().suspensions());
  // Input read shortly afterwards may have arrived before the suspension; the
  // host's clock for its age does not include the suspension.
  CHECK(Node.loop().suspendedSince(Before) >= 2900ms);
  CHECK(Node.loop().suspendedSince(Before) <= 3500ms);
  CHECK(Node.loop().suspendedSince(Source.now().Steady) == 0ms);
  // A stall of the process is not taken for a suspension of the host.
  Node.loop().post([](Instant) { std::this_thread::sleep_for(300ms); });
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(1, Node.loop().suspensions());
  Node.stop();
}

TEST(SuspensionTest, AMissingBootClockIsAnError) {
  removeBootClock(true);
  CHECK_THROWS(Error, BootClock::now());
  CHECK_THROWS(Error, Source.now());
  removeBootClock(false);
  Source.now();
}

// During a suspension the worker's clock may stop while ours advances, or the
// other way round.
TEST(SuspensionTest, AnOldReadingOfTheWorkersClockIsNotExtrapolated) {
  struct Row {
    std::chrono::milliseconds Since;
    WorkerTime LeaseUntil;
  };
  const Row Rows[] = {{500ms, WorkerTime(100000 + 500 + 900)},
                      {4000ms, WorkerTime(100000 + 4000 + 900)},
                      {4001ms, WorkerTime(100000 + 900)},
                      {60000ms, WorkerTime(100000 + 900)}};
  for (const Row &Row : Rows) {
    NullPort Port;
    NullEvents Events;
    WorkerSession Session(SessionOptions(), Port, Events);
    Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};
    WorkerProfile Profile;
    Profile.Id = "life";
    Profile.Clock = WorkerTime(100000);
    Session.onProfile(Profile, Now);
    Now.Steady += Row.Since;
    Session.start({"job", 0, 1}, "", Now);
    LONGS_EQUAL(Row.LeaseUntil.count(), Port.LeaseUntil.count());
  }
}
