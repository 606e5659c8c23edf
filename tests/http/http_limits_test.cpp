//===- Limits on the resources of a caller --------------------------------=//
//
// The input of a refused caller is read for a while, so that it does not lose
// its answer to a reset, and requests on a connection may wait for earlier
// answers. Both must be limited and must not leak resources.
//
//===----------------------------------------------------------------------===//

#include "http/http_server.h"
#include "tests/support/http_caller.h"

#include <filesystem>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t BodyLimit = 1000;
constexpr std::size_t InputLimit = 5 * BodyLimit;
constexpr milliseconds Quiet{150};

/// Keeps all replies until answerAll().
class DeferringHandler final : public HttpHandler {
public:
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override {
    std::lock_guard Lock(this->Mutex);
    this->Replies.push_back(std::move(Reply));
  }
  std::size_t waiting() {
    std::lock_guard Lock(this->Mutex);
    return this->Replies.size();
  }
  void answerAll() {
    std::lock_guard Lock(this->Mutex);
    for (const std::shared_ptr<HttpReply> &Reply : this->Replies)
      Reply->send({.Body = this->Body});
    this->Replies.clear();
  }
  /// The body of all answers; set before the first one.
  std::string Body = "{}";

private:
  std::mutex Mutex;
  std::vector<std::shared_ptr<HttpReply>> Replies;
};

std::size_t countOf(const std::string &Part, const std::string &Text) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

std::size_t openDescriptors() {
  auto Open = std::filesystem::directory_iterator("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(Open), end(Open)));
}

const std::string Refused = "POST /a HTTP/1.1\r\nContent-Length: 3000\r\n\r\n";

} // namespace

TEST_GROUP(HttpLimitsTest) {
  std::uint16_t Port = freeHttpPort();
  std::shared_ptr<DeferringHandler> Handler =
      std::make_shared<DeferringHandler>();
  std::optional<HttpServer> Server;

  void setup() override {
    this->Server.emplace(
        HttpServerOptions{.Listen = "127.0.0.1:" + std::to_string(this->Port),
                          .Threads = 1,
                          .MaxBodyBytes = BodyLimit,
                          .MaxInputBytes = InputLimit},
        this->Handler);
  }
  Caller connected() {
    Caller New(this->Port);
    New.connect();
    return New;
  }
  bool waitFor(const std::function<bool()> &Holds) {
    for (milliseconds Waited{0}; Waited < CallerReadTimeout; Waited += Quiet) {
      if (Holds())
        return true;
      std::this_thread::sleep_for(Quiet);
    }
    return Holds();
  }
  void teardown() override { this->Server.reset(); }
};

TEST(HttpLimitsTest, RequestsBeyondTheLimitAreRefusedInOrder) {
  constexpr std::size_t MaxPending = 64;
  Caller Client = this->connected();
  for (std::size_t I = 0; I < MaxPending + 6; ++I)
    Client.ask("/a");
  CHECK(this->waitFor([&] { return this->Handler->waiting() == MaxPending; }));
  STRCMP_EQUAL("", Client.read(1, Quiet).c_str());
  LONGS_EQUAL(MaxPending, this->Handler->waiting());
  this->Handler->answerAll();
  std::string Text = Client.read(std::string::npos, Quiet);
  LONGS_EQUAL(MaxPending, countOf("HTTP/1.1 200 OK", Text));
  LONGS_EQUAL(1, countOf("HTTP/1.1 429 ", Text));
  CHECK(Text.rfind("429 ") > Text.rfind("200 OK"));
  CHECK(Client.seesEnd(Quiet));
}

// Regression test: nothing limited the bodies that all connections held.
TEST(HttpLimitsTest, WhatAllConnectionsHoldIsLimited) {
  constexpr std::size_t BodyBytes = 900;
  const std::string Request =
      "POST /a HTTP/1.1\r\nContent-Length: 900\r\n\r\n" +
      std::string(BodyBytes, 'x');
  std::vector<Caller> Held;
  for (std::size_t I = 1; I <= InputLimit / BodyLimit; ++I) {
    Held.push_back(this->connected());
    Held.back().send(Request);
    CHECK(this->waitFor([&] { return this->Handler->waiting() == I; }));
    LONGS_EQUAL(I * BodyBytes, this->Server->inputBytes());
    LONGS_EQUAL(I, this->Server->connections());
  }
  Caller Refused = this->connected();
  Refused.send(Request);
  std::string Text = Refused.read(std::string::npos, Quiet);
  STRCMP_CONTAINS("HTTP/1.1 503 ", Text.c_str());
  STRCMP_CONTAINS("Retry-After: 1", Text.c_str());
  this->Handler->answerAll();
  CHECK(this->waitFor([&] { return this->Server->inputBytes() == 0; }));
  Caller Next = this->connected();
  Next.send(Request);
  CHECK(this->waitFor([&] { return this->Handler->waiting() == 1; }));
}

TEST(HttpLimitsTest, ARefusedCallerThatKeepsSendingIsReset) {
  constexpr std::size_t Part = 1000000;
  constexpr std::size_t MaxParts = 100;
  Caller Client = this->connected();
  Client.send(Refused);
  STRCMP_CONTAINS("413", Client.read(1).c_str());
  std::size_t Parts = 0;
  while (Parts < MaxParts && Client.send(std::string(Part, 'x')))
    ++Parts;
  // More than a regular caller may have in transit, and far less than all.
  CHECK(Parts >= 8);
  CHECK(Parts < MaxParts);
}

TEST(HttpLimitsTest, ARefusedCallerThatStaysIsDisconnected) {
  constexpr milliseconds Linger{5000};
  constexpr milliseconds Slack{1500};
  Caller Client = this->connected();
  Client.send(Refused);
  STRCMP_CONTAINS("413", Client.read(1).c_str());
  std::this_thread::sleep_for(Linger / 2);
  CHECK(Client.send("x"));
  std::this_thread::sleep_for(Linger / 2 + Slack);
  // The first byte on a closed connection is answered by a reset.
  Client.send("x");
  std::this_thread::sleep_for(Quiet);
  CHECK_FALSE(Client.send("x"));
}

TEST(HttpLimitsTest, ACallerThatReadsNoAnswersIsReset) {
  constexpr std::size_t Part = 1000000;
  // Far more than the buffers of both ends and the limit of unsent data.
  constexpr std::size_t MaxParts = 100;
  this->Handler->Body = std::string(Part, 'x');
  Caller Client = this->connected();
  std::size_t Parts = 0;
  auto IsReset = [&Client] { return Client.isReset(milliseconds(0)); };
  while (Parts < MaxParts && !IsReset()) {
    Client.ask("/a");
    CHECK(this->waitFor(
        [&] { return IsReset() || this->Handler->waiting() == 1; }));
    this->Handler->answerAll();
    ++Parts;
  }
  CHECK(Client.isReset());
  CHECK(Parts < MaxParts);
  CHECK(this->Server->answers().withoutCaller() > 0);
}

TEST(HttpLimitsTest, ASlowReaderGetsAllAnswers) {
  constexpr std::size_t Part = 1000000;
  constexpr std::size_t Parts = 20;
  this->Handler->Body = std::string(Part, 'x');
  Caller Client = this->connected();
  std::string Text;
  for (std::size_t I = 0; I < Parts; ++I) {
    Client.ask("/a");
    CHECK(this->waitFor([&] { return this->Handler->waiting() == 1; }));
    this->Handler->answerAll();
    // Reads one answer late, so that there is always unread data.
    if (I > 0)
      Text += Client.read(Part);
  }
  Text += Client.read(std::string::npos, Quiet);
  LONGS_EQUAL(Parts, countOf("HTTP/1.1 200 OK", Text));
  CHECK(Text.size() > Parts * Part);
}

TEST(HttpLimitsTest, DisconnectedCallersLeaveNoDescriptor) {
  constexpr int Callers = 50;
  {
    Caller First = this->connected();
    First.ask("/a");
    CHECK(this->waitFor([&] { return this->Handler->waiting() == 1; }));
    this->Handler->answerAll();
  }
  std::size_t Before = openDescriptors();
  const std::string Cut = "GET /a HT";
  const std::string Asked = "GET /a HTTP/1.1\r\nConnection: keep-alive\r\n\r\n";
  for (const std::string &Sent : {std::string(), Refused, Cut, Asked}) {
    for (bool Resets : {false, true}) {
      std::vector<Caller> Lines;
      for (int I = 0; I < Callers; ++I) {
        Lines.push_back(this->connected());
        Lines.back().send(Sent);
      }
      std::this_thread::sleep_for(Quiet);
      for (Caller &Client : Lines)
        Resets ? Client.reset() : Client.leave();
    }
  }
  this->Handler->answerAll();
  CHECK(this->waitFor([&] { return openDescriptors() <= Before; }));
}
