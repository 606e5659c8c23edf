//===- What one caller may hold of a server -------------------------------=//
//
// A caller that was refused is read on for a while, so that no reset takes its
// answer away, and requests may wait on a connection for answers before them.
// Neither may go on without end, or leave anything behind.
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

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t BodyLimit = 1000;
constexpr milliseconds Quiet{150};

/// Keeps all replies until they are answered together.
class PatientHandler final : public HttpHandler {
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
  /// Of all answers; set before there are any.
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
  std::shared_ptr<PatientHandler> Handler = std::make_shared<PatientHandler>();
  std::optional<HttpServer> Server;

  void setup() override {
    this->Server.emplace(
        HttpServerOptions{.Listen = "127.0.0.1:" + std::to_string(this->Port),
                          .Threads = 1,
                          .MaxBodyBytes = BodyLimit},
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

TEST(HttpLimitsTest, RequestsBeyondThoseThatMayWaitAreRefusedBehindThem) {
  constexpr std::size_t MayWait = 64;
  Caller Line = this->connected();
  for (std::size_t I = 0; I < MayWait + 6; ++I)
    Line.ask("/a");
  CHECK(this->waitFor([&] { return this->Handler->waiting() == MayWait; }));
  STRCMP_EQUAL("", Line.read(1, Quiet).c_str());
  LONGS_EQUAL(MayWait, this->Handler->waiting());
  this->Handler->answerAll();
  std::string Text = Line.read(std::string::npos, Quiet);
  LONGS_EQUAL(MayWait, countOf("HTTP/1.1 200 OK", Text));
  LONGS_EQUAL(1, countOf("HTTP/1.1 429 ", Text));
  CHECK(Text.rfind("429 ") > Text.rfind("200 OK"));
  CHECK(Line.seesEnd(Quiet));
}

TEST(HttpLimitsTest, ARefusedCallerThatSendsWithoutEndIsCutOff) {
  constexpr std::size_t Part = 1000000;
  constexpr std::size_t MostParts = 100;
  Caller Line = this->connected();
  Line.send(Refused);
  STRCMP_CONTAINS("413", Line.read(1).c_str());
  std::size_t Parts = 0;
  while (Parts < MostParts && Line.send(std::string(Part, 'x')))
    ++Parts;
  // More than an honest caller may have on its way, and far from all.
  CHECK(Parts >= 8);
  CHECK(Parts < MostParts);
}

TEST(HttpLimitsTest, ARefusedCallerThatStaysIsLetGo) {
  constexpr milliseconds Linger{5000};
  constexpr milliseconds Slack{1500};
  Caller Line = this->connected();
  Line.send(Refused);
  STRCMP_CONTAINS("413", Line.read(1).c_str());
  std::this_thread::sleep_for(Linger / 2);
  CHECK(Line.send("x"));
  std::this_thread::sleep_for(Linger / 2 + Slack);
  // The first byte on a connection that is gone is answered by a reset.
  Line.send("x");
  std::this_thread::sleep_for(Quiet);
  CHECK_FALSE(Line.send("x"));
}

TEST(HttpLimitsTest, ACallerThatReadsNoAnswersIsReset) {
  constexpr std::size_t Part = 1000000;
  // Far more than the buffers of both ends and what may wait between them.
  constexpr std::size_t MostParts = 100;
  this->Handler->Body = std::string(Part, 'x');
  Caller Line = this->connected();
  std::size_t Parts = 0;
  auto IsReset = [&Line] { return Line.isReset(milliseconds(0)); };
  while (Parts < MostParts && !IsReset()) {
    Line.ask("/a");
    CHECK(this->waitFor(
        [&] { return IsReset() || this->Handler->waiting() == 1; }));
    this->Handler->answerAll();
    ++Parts;
  }
  CHECK(Line.isReset());
  CHECK(Parts < MostParts);
  CHECK(this->Server->answers().withoutCaller() > 0);
}

TEST(HttpLimitsTest, ACallerThatReadsAtLeisureGetsAllAnswers) {
  constexpr std::size_t Part = 1000000;
  constexpr std::size_t Parts = 20;
  this->Handler->Body = std::string(Part, 'x');
  Caller Line = this->connected();
  std::string Text;
  for (std::size_t I = 0; I < Parts; ++I) {
    Line.ask("/a");
    CHECK(this->waitFor([&] { return this->Handler->waiting() == 1; }));
    this->Handler->answerAll();
    // One answer behind, so that some of them always wait.
    if (I > 0)
      Text += Line.read(Part);
  }
  Text += Line.read(std::string::npos, Quiet);
  LONGS_EQUAL(Parts, countOf("HTTP/1.1 200 OK", Text));
  CHECK(Text.size() > Parts * Part);
}

TEST(HttpLimitsTest, CallersThatHaveGoneLeaveNoDescriptor) {
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
      for (Caller &Line : Lines)
        Resets ? Line.reset() : Line.leave();
    }
  }
  this->Handler->answerAll();
  CHECK(this->waitFor([&] { return openDescriptors() <= Before; }));
}
