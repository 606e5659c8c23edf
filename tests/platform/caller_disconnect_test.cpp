#include "platform/caller_handler.h"
#include "tests/support/plain_waiter.h"

#include <condition_variable>
#include <future>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Incarnation = 9;
constexpr const char *JobA = "0123456789abcdef";
constexpr const char *JobB = "fedcba9876543210";

/// Time does not advance, so that no timeout can end a job.
class FrozenClock final : public Clock {
public:
  Instant now() const override {
    return {TimePoint(1h), fromUnixMillis(1800000000000)};
  }
};

class CollectingSink final : public PeerSink {
public:
  void send(const PeerRef &, peer::Message Message) override {
    if (Message.has_leased_dispatch())
      this->Dispatches.push_back(Message.leased_dispatch());
    else if (Message.has_leased_stop())
      this->Stopped.push_back(Message.leased_stop().job());
  }
  std::vector<peer::LeasedDispatch> Dispatches;
  std::vector<std::string> Stopped;
};

class CollectingReply final : public HttpReply {
public:
  void send(const HttpAnswer &Answer) override {
    this->Answers.push_back(Answer);
  }
  std::vector<HttpAnswer> Answers;
};

} // namespace

TEST_GROUP(CallerDisconnectTest) {
  FrozenClock Source;
  PlainWaiter Waiter;
  EventLoop Loop{Source, Waiter, 20ms, [](Instant) {}, [] {}};
  SelfLoad Load{SelfLoadOptions()};
  NodeCatalog Catalog;
  TableLease Table{TableLeaseOptions()};
  CallerHandler Gate{Catalog, Source, Load, Table};
  CollectingSink Sink;
  LeaseCoordinator Coordinator{CoordinatorOptions(), Sink, Gate};

  void setup() override {
    peer::CatalogUpdate Update;
    Update.set_revision(1);
    Update.mutable_routes()->set_version(1);
    peer::Route *Route = Update.mutable_routes()->add_routes();
    Route->set_name("r");
    Route->set_host("h");
    Route->set_path_prefix("/p/");
    Route->set_pool("pool");
    Route->set_timeout_ms(60000);
    Route->set_aim_ms(60000);
    Route->set_max_attempts(1);
    CHECK(Catalog.merge(Update));
    Table.setHeldRevision(1);
    Table.confirm(Source.now().Steady);
    Gate.connect(Loop, Coordinator);
    Loop.start();
    this->onLoop([this](Instant Now) { this->addAgent(Now); });
  }
  void teardown() override { Loop.stop(); }

  /// Runs the work on the loop, after all work posted before, and waits for it.
  void onLoop(const EventLoop::Work &Item) {
    std::promise<void> Done;
    Loop.post([&](Instant Now) {
      Item(Now);
      Done.set_value();
    });
    Done.get_future().wait();
  }
  void addAgent(Instant Now) {
    peer::Member Member;
    Member.set_name("a");
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(peer::MEMBER_ALIVE);
    Member.set_incarnation(Incarnation);
    Member.set_address("10.0.0.1:1");
    Member.set_pool("pool");
    Member.mutable_room()->set_cpu_milli(4000);
    Member.mutable_room()->set_memory_mb(4000);
    Coordinator.onMember(Member, Now);
    peer::Message Report;
    Report.mutable_worker_load()->set_incarnation(Incarnation);
    Report.mutable_worker_load()->set_stamp(1);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Report, Now);
  }
  std::shared_ptr<CollectingReply> submit(const char *Job,
                                          std::uint64_t Connection) {
    HttpRequest Request;
    Request.Method = HttpMethod::Post;
    Request.Resource = std::string("/p/") + Job;
    Request.Headers["Host"] = "h";
    Request.Connection = Connection;
    Request.Body = R"({"spec":"text","bestEffort":true,
      "phases":[{"count":1,"cpu":500,"memMb":256,"estMs":900}]})";
    auto Reply = std::make_shared<CollectingReply>();
    Gate.handle(Request, Reply);
    this->onLoop([](Instant) {});
    return Reply;
  }
  void leave(std::uint64_t Connection) {
    Gate.onDisconnect(Connection);
    this->onLoop([](Instant) {});
  }
  /// Reports the task of a dispatch as done.
  void finish(std::size_t Dispatch) {
    this->onLoop([&](Instant Now) {
      const peer::LeasedDispatch &Sent = Sink.Dispatches.at(Dispatch);
      peer::Message Message;
      peer::LeasedUpdate *Update = Message.mutable_leased_update();
      Update->set_job(Sent.job());
      Update->set_order(Sent.tasks(0).order());
      Update->set_event(peer::LEASED_DONE);
      Update->mutable_load()->set_incarnation(Incarnation);
      Update->mutable_load()->set_stamp(2);
      Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
    });
  }
};

TEST(CallerDisconnectTest, AJobIsStoppedWhenItsOnlyCallerDisconnects) {
  submit(JobA, 1);
  leave(2);
  LONGS_EQUAL(0, Sink.Stopped.size());
  leave(1);
  LONGS_EQUAL(1, Sink.Stopped.size());
}

// A caller submits its job again on another connection when the first one has
// failed. The entry may detect the end of the first connection only after
// that.
TEST(CallerDisconnectTest, AJobContinuesWhileAnotherCallerWaits) {
  auto First = submit(JobA, 1);
  auto Second = submit(JobA, 2);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  leave(1);
  LONGS_EQUAL(0, Sink.Stopped.size());
  finish(0);
  LONGS_EQUAL(1, Second->Answers.size());
  CHECK(Second->Answers[0].Status == HttpStatus::Ok);
  LONGS_EQUAL(0, Coordinator.inFlight());
}

TEST(CallerDisconnectTest, AJobEndsWithItsLastCaller) {
  submit(JobA, 1);
  submit(JobA, 2);
  leave(2);
  LONGS_EQUAL(0, Sink.Stopped.size());
  leave(1);
  LONGS_EQUAL(1, Sink.Stopped.size());
}

TEST(CallerDisconnectTest, AllJobsOfAConnectionThatEndsAreStopped) {
  submit(JobA, 1);
  submit(JobB, 1);
  leave(1);
  LONGS_EQUAL(2, Sink.Stopped.size());
}
