//===- Submissions to an entry whose server reads them late ---------------===//

#include "http/http_server.h"
#include "platform/caller_handler.h"
#include "platform/job_codec.h"
#include "tests/support/http_caller.h"
#include "tests/support/plain_waiter.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Incarnation = 9;
constexpr std::chrono::milliseconds Pause{600};

class DispatchSink final : public PeerSink {
public:
  void send(const PeerRef &, peer::Message Message) override {
    if (Message.has_leased_dispatch())
      this->Dispatches.push_back(Message.leased_dispatch());
  }
  std::vector<peer::LeasedDispatch> Dispatches;
};

/// Blocks the server's thread on /hold, and passes on all other requests.
class HoldingHandler final : public HttpHandler {
public:
  explicit HoldingHandler(HttpHandler &Target) : Target(Target) {}
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override {
    if (Request.Resource != "/hold") {
      this->Target.handle(Request, std::move(Reply));
      return;
    }
    this->Held.set_value();
    this->Released.get_future().wait_for(CallerReadTimeout);
    Reply->send({.Body = "{}"});
  }
  void onDisconnect(std::uint64_t Connection) override {
    this->Target.onDisconnect(Connection);
  }
  std::promise<void> Held;
  std::promise<void> Released;

private:
  HttpHandler &Target;
};

std::string submission(const std::string &Job,
                       std::chrono::milliseconds Deadline) {
  std::string Body = R"({"spec":"5","bestEffort":true,
    "phases":[{"count":1,"cpu":500,"estMs":5}]})";
  return "POST /p/" + Job + " HTTP/1.1\r\nHost: h\r\n" + DeadlineHeader + ": " +
         std::to_string(Deadline.count()) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

TEST_GROUP(LateRequestTest) {
  SystemClock Source;
  PlainWaiter Waiter;
  EventLoop Loop{Source, Waiter, 20ms, [](Instant) {}, [] {}};
  SelfLoad Load{SelfLoadOptions()};
  NodeCatalog Catalog;
  TableLease Table{TableLeaseOptions()};
  CallerHandler Gate{Catalog, Source, Load, Table};
  DispatchSink Sink;
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
    Route->set_timeout_ms(3000);
    Route->set_aim_ms(3000);
    Route->set_max_attempts(1);
    CHECK(Catalog.merge(Update));
    Table.setHeldRevision(1);
    Gate.connect(Loop, Coordinator);
    Loop.start();
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
};

// All threads of the process are blocked while requests arrive.
TEST(LateRequestTest, TimeUnreadCountsAgainstTheDeadline) {
  std::uint16_t Port = freeHttpPort();
  auto Holding = std::make_shared<HoldingHandler>(Gate);
  HttpServer Server({.Listen = "127.0.0.1:" + std::to_string(Port),
                     .Threads = 1,
                     .Headers = CallerHandler::headers()},
                    Holding);
  Caller First(Port);
  First.connect();
  First.ask("/hold");
  Holding->Held.get_future().wait();
  Caller Impatient(Port);
  Caller Patient(Port);
  Impatient.connect();
  Patient.connect();
  CHECK(Impatient.send(submission("00000000000000a1", Pause / 2)));
  CHECK(Patient.send(submission("00000000000000a2", 10 * Pause)));
  onLoop([](Instant) { std::this_thread::sleep_for(Pause); });
  onLoop([this](Instant Now) { this->addAgent(Now); });
  while (Source.now().Steady - Loop.lastIdle() > 50ms)
    std::this_thread::sleep_for(1ms);
  Table.confirm(Source.now().Steady);
  Holding->Released.set_value();
  std::string Refusal = Impatient.readAnswer();
  STRCMP_CONTAINS("503", Refusal.c_str());
  STRCMP_CONTAINS("after its deadline", Refusal.c_str());
  bool Placed = false;
  for (int I = 0; I < 2000 && !Placed; ++I) {
    onLoop([&](Instant) { Placed = !Sink.Dispatches.empty(); });
    std::this_thread::sleep_for(1ms);
  }
  Server.stop();
  LONGS_EQUAL(1, Sink.Dispatches.size());
  STRCMP_EQUAL("00000000000000a2", Sink.Dispatches[0].job().c_str());
  CHECK(Sink.Dispatches[0].give_up_ms() <= (10 * Pause - Pause).count());
  CHECK(Sink.Dispatches[0].give_up_ms() > (10 * Pause - 3 * Pause).count());
}
