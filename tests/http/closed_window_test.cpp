//===- End of a connection with a closed TCP window -----------------------=//
//
// A caller that sends more than the server reads gets a closed TCP window. If
// the connection is then closed normally, and the input is read only
// afterwards, the window is never reopened and the caller is not notified.
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

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Quiet{300};

/// Answers at once, except for "/hold", which blocks the server's thread until
/// release() and is not answered.
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
  /// Sent first; if IsAnswered, the answer is read.
  std::string First;
  bool IsAnswered;
  /// The number of bytes sent next, which the server still reads.
  std::size_t Before;
  /// Whether the caller itself sends the request that blocks the thread.
  bool HoldsItself;
  /// How long the thread is blocked.
  milliseconds Hold;
};

constexpr milliseconds Timeout{1000};
constexpr milliseconds PastTimeout{2500};
constexpr milliseconds PastLinger{6500};
/// Less than one read below the limit of a refused caller's input.
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
    Caller Client(this->Port);
    Client.connect();
    Client.send(Case.First);
    if (Case.IsAnswered)
      STRCMP_CONTAINS("\r\n\r\n", Client.readAnswer().c_str());
    Client.send(std::string(Case.Before, 'x'));
    std::this_thread::sleep_for(Quiet);
    Caller Other(this->Port);
    Other.connect();
    (Case.HoldsItself ? Client : Other).send(Held);
    CHECK_TEXT(this->Handler->waitForHold(), Case.Name);
    Client.fill();
    std::this_thread::sleep_for(Case.Hold);
    this->Handler->release();
    CHECK_TEXT(Client.isReset(), Case.Name);
    this->Server.reset();
  }
  void teardown() override {
    // A failed check leaves the thread blocked.
    if (this->Handler)
      this->Handler->release();
    this->Server.reset();
  }
};

TEST(ClosedWindowTest, ResetsAfterADroppedReply) {
  this->play({.Name = "dropped", .HoldsItself = true, .Hold = Quiet});
}

TEST(ClosedWindowTest, ResetsAfterATimeoutOfTheFirstRequest) {
  this->play({.Name = "first request", .Hold = PastTimeout});
}

TEST(ClosedWindowTest, ResetsAfterATimeoutOfTheNextRequest) {
  this->play({.Name = "next request",
              .First = Kept,
              .IsAnswered = true,
              .Hold = PastTimeout});
}

TEST(ClosedWindowTest, ResetsACallerThatStaysAfterItsLastAnswer) {
  this->play({.Name = "linger",
              .First = Last,
              .IsAnswered = true,
              .Hold = PastLinger});
}

TEST(ClosedWindowTest, ResetsACallerThatExceedsTheDiscardLimit) {
  this->play({.Name = "cut off",
              .First = Refused,
              .IsAnswered = true,
              .Before = AlmostDiscarded,
              .Hold = Quiet});
}

TEST(ClosedWindowTest, ARequestReadAfterTheEndIsNotHandled) {
  this->start();
  Caller Client(this->Port);
  Caller Other(this->Port);
  Client.connect();
  Client.send(Kept);
  STRCMP_CONTAINS("200 OK", Client.readAnswer().c_str());
  Other.connect();
  Other.send(Held);
  CHECK(this->Handler->waitForHold());
  Client.ask("/late");
  std::this_thread::sleep_for(PastTimeout);
  this->Handler->release();
  std::this_thread::sleep_for(Quiet);
  CHECK_FALSE(this->Handler->hasHandledLate());
  CHECK(Client.isReset());
}
