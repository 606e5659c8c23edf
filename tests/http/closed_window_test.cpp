//===- A caller learns of the end although its window is closed -----------=//
//
// A caller that sends more than is read finds its window closed. If its
// connection then ends in order, and what it has sent is read only afterwards,
// nothing opens the window any more and nothing tells the caller.
//
//===----------------------------------------------------------------------===//

#include "http/http_server.h"
#include "tests/support/http_caller.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Quiet{300};

/// Answers at once, but for "/hold": that holds the server's thread until it is
/// released, and is not answered.
class HoldingHandler final : public HttpHandler {
public:
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override {
    if (Request.Resource == "/late")
      this->HandledLate.store(true);
    if (Request.Resource != "/hold") {
      Reply->send({.Body = "{}"});
      return;
    }
    std::unique_lock Lock(this->Mutex);
    this->Holds = true;
    this->Changed.notify_all();
    this->Changed.wait(Lock, [this] { return this->Released; });
  }

  bool waitForHold() {
    std::unique_lock Lock(this->Mutex);
    return this->Changed.wait_for(Lock, CallerReadTimeout,
                                  [this] { return this->Holds; });
  }
  bool hasHandledLate() const { return this->HandledLate.load(); }
  void release() {
    std::lock_guard Lock(this->Mutex);
    this->Released = true;
    this->Changed.notify_all();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Holds = false;
  bool Released = false;
  std::atomic<bool> HandledLate{false};
};

struct Row {
  const char *Name;
  /// Sent first; where it is answered, the answer is read.
  std::string First;
  bool IsAnswered;
  /// Sent next, and read by the server.
  std::size_t Before;
  /// Whether the caller itself sends the request that holds the thread.
  bool HoldsItself;
  /// Until the server reads on.
  milliseconds Hold;
};

constexpr milliseconds Timeout{1000};
constexpr milliseconds PastTimeout{2500};
constexpr milliseconds PastLinger{6500};
/// Within one read of what a refused caller may send.
constexpr std::size_t AlmostDiscarded = (std::size_t{16} << 20) - 2000;

const std::string Kept = "GET /a HTTP/1.1\r\nConnection: keep-alive\r\n\r\n";
const std::string Last = "GET /a HTTP/1.1\r\n\r\n";
const std::string Refused = "POST /a HTTP/1.1\r\nContent-Length: 3000\r\n\r\n";
const std::string Held = "GET /hold HTTP/1.1\r\nConnection: keep-alive\r\n\r\n";

} // namespace

TEST_GROUP(ClosedWindowTest) {
  std::uint16_t Port = freeHttpPort();
  std::shared_ptr<HoldingHandler> Handler;
  std::optional<HttpServer> Server;

  void start() {
    this->Handler = std::make_shared<HoldingHandler>();
    this->Server.emplace(
        HttpServerOptions{.Listen = "127.0.0.1:" + std::to_string(this->Port),
                          .Threads = 1,
                          .MaxBodyBytes = 1000,
                          .HeaderTimeout = Timeout,
                          .IdleTimeout = Timeout},
        this->Handler);
  }
  void play(const Row &Case) {
    this->start();
    Caller Line(this->Port);
    Line.connect();
    Line.send(Case.First);
    if (Case.IsAnswered)
      STRCMP_CONTAINS("\r\n\r\n", Line.readAnswer().c_str());
    Line.send(std::string(Case.Before, 'x'));
    std::this_thread::sleep_for(Quiet);
    Caller Other(this->Port);
    Other.connect();
    (Case.HoldsItself ? Line : Other).send(Held);
    CHECK_TEXT(this->Handler->waitForHold(), Case.Name);
    Line.fill();
    std::this_thread::sleep_for(Case.Hold);
    this->Handler->release();
    CHECK_TEXT(Line.isReset(), Case.Name);
    this->Server.reset();
  }
  void teardown() override {
    // A check that fails leaves the thread held.
    if (this->Handler)
      this->Handler->release();
    this->Server.reset();
  }
};

TEST(ClosedWindowTest, ACallerLearnsThatItsReplyWasDropped) {
  this->play({.Name = "dropped", .HoldsItself = true, .Hold = Quiet});
}

TEST(ClosedWindowTest, ACallerLearnsThatItsFirstRequestCameTooLate) {
  this->play({.Name = "first request", .Hold = PastTimeout});
}

TEST(ClosedWindowTest, ACallerLearnsThatItsNextRequestCameTooLate) {
  this->play({.Name = "next request",
              .First = Kept,
              .IsAnswered = true,
              .Hold = PastTimeout});
}

TEST(ClosedWindowTest, ACallerLearnsThatItStayedTooLongAfterItsLastAnswer) {
  this->play({.Name = "linger",
              .First = Last,
              .IsAnswered = true,
              .Hold = PastLinger});
}

TEST(ClosedWindowTest, ACallerLearnsThatItIsCutOff) {
  this->play({.Name = "cut off",
              .First = Refused,
              .IsAnswered = true,
              .Before = AlmostDiscarded,
              .Hold = Quiet});
}

TEST(ClosedWindowTest, ARequestThatIsReadAfterTheEndIsNotHandled) {
  this->start();
  Caller Line(this->Port);
  Caller Other(this->Port);
  Line.connect();
  Line.send(Kept);
  STRCMP_CONTAINS("200 OK", Line.readAnswer().c_str());
  Other.connect();
  Other.send(Held);
  CHECK(this->Handler->waitForHold());
  Line.ask("/late");
  std::this_thread::sleep_for(PastTimeout);
  this->Handler->release();
  std::this_thread::sleep_for(Quiet);
  CHECK_FALSE(this->Handler->hasHandledLate());
  CHECK(Line.isReset());
}
