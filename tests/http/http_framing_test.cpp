//===- Request boundaries on a connection ---------------------------------===//
//
// The HTTP library clears its buffer after each request, with all that it still
// contains. Of two requests in one segment the second was dropped, and its
// caller waited in vain. If the body of the second arrived in a later segment,
// that body was handled as a request. The library also ignored a length that is
// not a number, used the first of two lengths, counted the head towards the
// body limit, and had timeouts only for a connection's first request. The
// server now uses a parser that returns how much it has consumed, and keeps the
// rest.
//
//===----------------------------------------------------------------------===//

#include "http/http_server.h"
#include "tests/support/http_caller.h"

#include <condition_variable>
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
constexpr milliseconds Quiet{150};

/// Answers each request with its path, and records the requests.
class EchoHandler final : public HttpHandler {
public:
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override {
    {
      std::lock_guard Lock(this->Mutex);
      this->Asked.push_back(Request.Resource + "=" +
                            std::to_string(Request.Body.size()));
    }
    this->Changed.notify_all();
    Reply->send({.Body = Request.Resource});
  }

  /// Returns the paths of all requests, each with the size of its body.
  std::string asked() {
    std::lock_guard Lock(this->Mutex);
    std::string Text;
    for (const std::string &Path : this->Asked)
      Text += Path + " ";
    return Text;
  }

  /// Waits until there have been \p Count requests, or for a bounded time.
  void awaitRequests(std::size_t Count) {
    std::unique_lock Lock(this->Mutex);
    this->Changed.wait_for(Lock, CallerReadTimeout, [this, Count] {
      return this->Asked.size() >= Count;
    });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Asked;
};

/// Returns the statuses of the answers in \p Text, in order.
std::string statusesIn(const std::string &Text) {
  constexpr std::size_t StatusAt = 9;
  constexpr std::size_t StatusSize = 3;
  std::string Statuses;
  for (std::size_t At = Text.find("HTTP/1."); At != std::string::npos;
       At = Text.find("HTTP/1.", At + 1)) {
    std::string Status = Text.substr(At + StatusAt, StatusSize);
    if (Status.find_first_not_of("0123456789") == std::string::npos)
      Statuses += Status + " ";
  }
  return Statuses;
}

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nConnection: keep-alive\r\n\r\n";
}

/// A request without a Connection header.
std::string plainGet(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: t\r\n\r\n";
}

/// The head of a POST with an additional header field.
std::string post(const std::string &Field) {
  return "POST /a HTTP/1.1\r\nConnection: keep-alive\r\n" + Field + "\r\n\r\n";
}

std::string post(const std::string &Field, std::size_t BodySize) {
  return post(Field) + std::string(BodySize, 'x');
}

/// The requests and answers of a connection.
struct Row {
  const char *Name;
  /// Sent by the caller, with a pause after each.
  std::vector<std::string> Segments;
  const char *Statuses;
  /// The requests that the handler gets.
  const char *Asked;
  /// Whether each segment is one request, which the handler has got before the
  /// next segment is sent.
  bool OneAfterOther = false;
};

} // namespace

TEST_GROUP(HttpFramingTest) {
  std::uint16_t Port = freeHttpPort();
  std::shared_ptr<EchoHandler> Handler = std::make_shared<EchoHandler>();
  std::optional<HttpServer> Server;

  void serve(HttpServerOptions Options = {}) {
    this->Server.reset();
    this->Port = freeHttpPort();
    this->Handler = std::make_shared<EchoHandler>();
    Options.Listen = "127.0.0.1:" + std::to_string(this->Port);
    Options.Threads = 1;
    Options.MaxBodyBytes = BodyLimit;
    this->Server.emplace(Options, this->Handler);
  }

  Caller connected() {
    Caller New(this->Port);
    New.connect();
    return New;
  }

  /// \param OneAfterOther See Row.
  void sendAll(Caller & Client, const std::vector<std::string> &Segments,
               bool OneAfterOther = false) {
    for (std::size_t I = 0; I < Segments.size(); ++I) {
      if (OneAfterOther)
        this->Handler->awaitRequests(I);
      Client.send(Segments[I]);
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  /// Runs rows. \param Ends Whether the server closes the connections.
  void play(const std::vector<Row> &Rows, bool Ends) {
    for (const Row &Row : Rows) {
      this->serve();
      Caller Client = this->connected();
      this->sendAll(Client, Row.Segments, Row.OneAfterOther);
      std::string Text = Client.read(std::string::npos, Quiet);
      STRCMP_EQUAL_TEXT(Row.Statuses, statusesIn(Text).c_str(), Row.Name);
      STRCMP_EQUAL_TEXT(Row.Asked, this->Handler->asked().c_str(), Row.Name);
      CHECK_EQUAL_TEXT(Ends, Client.seesEnd(Quiet), Row.Name);
    }
  }

  void teardown() override { this->Server.reset(); }
};

TEST(HttpFramingTest, NothingAfterARefusedRequestIsParsed) {
  const std::string Inside = get("/inside");
  const std::string Chunked = "Transfer-Encoding: chunked";
  this->play(
      {{"a body over the limit",
        {post("Content-Length: 3000", 2 * BodyLimit), Inside},
        "413 ",
        ""},
       {"a length over the limit, no body yet",
        {post("Content-Length: 3000"), Inside},
        "413 ",
        ""},
       {"chunks over the limit",
        {post(Chunked) + "4b0\r\n" + std::string(1200, 'x') + "\r\n", Inside},
        "413 ",
        ""},
       {"two lengths",
        {post("Content-Length: 2\r\nContent-Length: 40", 2), Inside},
        "400 ",
        ""},
       {"a length and chunks",
        {post("Content-Length: 5\r\n" + Chunked), Inside},
        "400 ",
        ""},
       {"chunks and a length",
        {post(Chunked + "\r\nContent-Length: 5"), Inside},
        "400 ",
        ""},
       {"a negative length", {post("Content-Length: -5"), Inside}, "400 ", ""},
       {"a length that is no number",
        {post("Content-Length: abc"), Inside},
        "400 ",
        ""},
       {"a length beyond all numbers",
        {post("Content-Length: 99999999999999999999999"), Inside},
        "400 ",
        ""},
       {"a chunk's size that cannot be read",
        {post(Chunked) + "zz\r\n", Inside},
        "400 ",
        ""},
       {"an encoding that is not known",
        {post("Transfer-Encoding: gzip"), Inside},
        "501 ",
        ""},
       {"an encoding below the chunks",
        {post("Transfer-Encoding: gzip, chunked"), Inside},
        "501 ",
        ""},
       {"chunks in HTTP/1.0",
        {"POST /a HTTP/1.0\r\n" + Chunked + "\r\n\r\n0\r\n\r\n", Inside},
        "400 ",
        ""},
       {"no request", {"GARBAGE\r\n\r\n", Inside}, "400 ", ""},
       {"no request, and no end of its line", {"GARBAGE"}, "400 ", ""},
       {"an unknown method", {"BREW / HTTP/1.1\r\n\r\n", Inside}, "400 ", ""},
       {"an unknown version", {"GET / HTTP/9.9\r\n\r\n", Inside}, "400 ", ""},
       {"a header without a colon",
        {"GET /a HTTP/1.1\r\nHost t\r\n\r\n", Inside},
        "400 ",
        ""},
       {"a head that does not end",
        {"GET /a HTTP/1.1\r\nHost: " + std::string(100000, 't'), Inside},
        "431 ",
        ""},
       {"the second of two",
        {get("/a") + "BREW / HTTP/1.1\r\n\r\n", Inside},
        "200 400 ",
        "/a=0 "}},
      true);
}

TEST(HttpFramingTest, EachRequestIsAnsweredForAnySegmentation) {
  const std::string Two = get("/a") + get("/b");
  const std::string Inside = get("/inside");
  const std::string Body = post("Content-Length: 5") + "12345";
  std::vector<std::string> Bytewise;
  for (char Byte : Body + get("/b"))
    Bytewise.emplace_back(1, Byte);
  this->play(
      {{"one behind the other",
        {get("/a"), get("/b")},
        "200 200 ",
        "/a=0 /b=0 "},
       {"two in one segment", {Two}, "200 200 ", "/a=0 /b=0 "},
       {"three in one segment, one with a body",
        {Body + Two},
        "200 200 200 ",
        "/a=5 /a=0 /b=0 "},
       {"the second cut in its head",
        {Two.substr(0, Two.size() - 10), Two.substr(Two.size() - 10)},
        "200 200 ",
        "/a=0 /b=0 "},
       {"the second's body in a later segment",
        {get("/b") + post("Content-Length: " + std::to_string(Inside.size())),
         Inside},
        "200 200 ",
        "/b=0 /a=48 "},
       {"byte by byte", Bytewise, "200 200 ", "/a=5 /b=0 "},
       {"chunks, and one more",
        {post("Transfer-Encoding: chunked") +
         "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" + get("/b")},
        "200 200 ",
        "/a=5 /b=0 "},
       {"the end of chunks in pieces",
        {post("Transfer-Encoding: chunked") + "0\r\n", "\r", "\n" + get("/b")},
        "200 200 ",
        "/a=0 /b=0 "},
       {"an empty line before",
        {"\r\n" + get("/a") + "\r\n\r\n" + get("/b")},
        "200 200 ",
        "/a=0 /b=0 "}},
      false);
}

TEST(HttpFramingTest, RequestsWithinTheLimitsAreServed) {
  this->play({{"a body just below the limit",
               {post("Content-Length: 990", 990), get("/b")},
               "200 200 ",
               "/a=990 /b=0 "},
              {"a body at the limit",
               {post("Content-Length: 1000", 1000), get("/b")},
               "200 200 ",
               "/a=1000 /b=0 "},
              {"a long head",
               {"GET /a HTTP/1.1\r\nConnection: keep-alive\r\nX: " +
                    std::string(3000, 'x') + "\r\n\r\n",
                get("/b")},
               "200 200 ",
               "/a=0 /b=0 "},
              {"a type that cannot be read",
               {post("Content-Type: ;;/\r\nContent-Length: 2", 2), get("/b")},
               "200 200 ",
               "/a=2 /b=0 "},
              {"the same length twice",
               {post("Content-Length: 2\r\nContent-Length: 2", 2), get("/b")},
               "200 200 ",
               "/a=2 /b=0 "}},
             false);
}

TEST(HttpFramingTest, AConnectionEndsAfterAnAnswerWithClose) {
  const std::string Close = "GET /a HTTP/1.1\r\nHost: t\r\nConnection: close"
                            "\r\n\r\n";
  this->play(
      {{"as its request asks", {Close, get("/b")}, "200 ", "/a=0 "},
       {"as its request does not ask to keep it",
        {plainGet("/a"), plainGet("/b")},
        "200 ",
        "/a=0 ",
        /*OneAfterOther=*/true},
       {"two in one segment that do not ask to keep it",
        {plainGet("/a") + plainGet("/b")},
        "200 200 ",
        "/a=0 /b=0 "},
       {"with one more behind it", {Close + get("/b")}, "200 ", "/a=0 "},
       {"HTTP/1.0", {"GET /a HTTP/1.0\r\n\r\n"}, "200 ", "/a=0 "},
       {"the last of two", {get("/b") + Close}, "200 200 ", "/b=0 /a=0 "}},
      true);
  this->play({{"HTTP/1.0 that asks to keep it",
               {"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
                "GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"},
               "200 200 ",
               "/a=0 /b=0 "}},
             false);
}

// An answer to HEAD must have no body: a body was read as the start of the next
// answer.
TEST(HttpFramingTest, AnAnswerToHeadHasNoBody) {
  this->serve();
  Caller Client = this->connected();
  Client.send("HEAD /head HTTP/1.1\r\nHost: t\r\n\r\n" + get("/b"));
  std::string Text = Client.read(std::string::npos, Quiet);
  STRCMP_EQUAL("200 200 ", statusesIn(Text).c_str());
  CHECK(Text.find("/head") == std::string::npos);
  STRCMP_CONTAINS("Content-Length: 5\r\n", Text.c_str());
}

TEST(HttpFramingTest, ACallerThatExpectsContinueGetsIt) {
  const std::string Expect = "Expect: 100-continue\r\n";
  this->play({{"a body within the limit",
               {post(Expect + "Content-Length: 2"), "ab", get("/b")},
               "100 200 200 ",
               "/a=2 /b=0 "},
              {"a body that came with its head",
               {post(Expect + "Content-Length: 2", 2), get("/b")},
               "200 200 ",
               "/a=2 /b=0 "}},
             false);
  this->play({{"a body over the limit",
               {post(Expect + "Content-Length: 3000")},
               "413 ",
               ""}},
             true);
}

TEST(HttpFramingTest, ASlowCallerGetsATimeoutInAnyRequest) {
  constexpr milliseconds Limit{300};
  constexpr milliseconds Longer{1500};
  const std::string Half = post("Content-Length: 5", 2);
  struct SlowRow {
    const char *Name;
    std::vector<std::string> Segments;
    const char *Statuses;
  };
  const SlowRow Rows[] = {
      {"in its first head", {"GET /a HT"}, "408 "},
      {"in its first body", {Half}, "408 "},
      {"in its second head", {get("/a"), "GET /b HT"}, "200 408 "},
      {"in its second body", {get("/a"), Half}, "200 408 "},
      {"in the second of one segment", {get("/a") + Half}, "200 408 "},
  };
  for (const SlowRow &Row : Rows) {
    this->serve({.HeaderTimeout = Limit});
    Caller Client = this->connected();
    this->sendAll(Client, Row.Segments);
    std::string Text = Client.read(std::string::npos, Longer);
    STRCMP_EQUAL_TEXT(Row.Statuses, statusesIn(Text).c_str(), Row.Name);
    CHECK_TEXT(Client.seesEnd(Quiet), Row.Name);
  }
}

// Closing a connection with unread input resets it, and the caller then loses
// an answer that it has not yet read.
TEST(HttpFramingTest, ARefusalReachesACallerThatKeepsSending) {
  constexpr std::size_t Rest = 2000000;
  this->serve();
  Caller Client = this->connected();
  Client.send(post("Content-Length: 2000000", Rest));
  std::this_thread::sleep_for(Quiet);
  Client.send(std::string(Rest, 'x'));
  std::this_thread::sleep_for(Quiet);
  std::string Text = Client.read(std::string::npos, Quiet);
  STRCMP_EQUAL("413 ", statusesIn(Text).c_str());
}
