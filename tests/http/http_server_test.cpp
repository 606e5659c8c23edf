//===- Answers and their connections --------------------------------------===//
//
// Answers were queued by the number of their connection's descriptor. If that
// connection was closed and the number reused before the queue was written, the
// answer reached another caller. Under load, a caller read "503, not run" while
// the entry's log had its job as completed after 307 ms; in that second 38
// callers had left before their answers. Of 21,079 answers on loopback, with
// half of the callers leaving early, five reached another caller.
//
//===----------------------------------------------------------------------===//

#include "http/http_server.h"
#include "tests/support/http_caller.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds AnswerTimeout = CallerReadTimeout;

/// Keeps replies for the test to send, and blocks the server's thread on
/// requests whose path starts with /hold until release().
class KeepingHandler final : public HttpHandler {
public:
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override {
    if (Request.Resource == "/throw")
      throw std::runtime_error("on purpose");
    std::unique_lock Lock(this->Mutex);
    this->Replies[Request.Resource] = std::move(Reply);
    this->Changed.notify_all();
    if (Request.Resource.starts_with("/hold"))
      this->Changed.wait_for(Lock, AnswerTimeout, [&] {
        return this->Released.contains(Request.Resource);
      });
  }

  void onDisconnect(std::uint64_t) override {
    std::lock_guard Lock(this->Mutex);
    this->Left = true;
    this->Changed.notify_all();
  }

  void release(const std::string &Path) {
    std::lock_guard Lock(this->Mutex);
    this->Released.insert({Path, true});
    this->Changed.notify_all();
  }

  /// Waits for the request for a path. \returns its reply.
  std::shared_ptr<HttpReply> reply(const std::string &Path) {
    std::unique_lock Lock(this->Mutex);
    this->Changed.wait_for(Lock, AnswerTimeout,
                           [&] { return this->Replies.contains(Path); });
    return this->Replies[Path];
  }

  void answer(const std::string &Path) {
    HttpAnswer Answer;
    Answer.Body = Path;
    this->reply(Path)->send(Answer);
  }

  void drop(const std::string &Path) {
    this->reply(Path);
    std::lock_guard Lock(this->Mutex);
    this->Replies.erase(Path);
  }

  /// Waits until the server detects that a caller has left. \returns false on
  /// timeout.
  bool waitForLeaving() {
    std::unique_lock Lock(this->Mutex);
    return this->Changed.wait_for(Lock, AnswerTimeout,
                                  [&] { return this->Left; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::shared_ptr<HttpReply>> Replies;
  std::map<std::string, bool> Released;
  bool Left = false;
};

/// Opens all free descriptors up to \p Top. While the result exists, the next
/// descriptor that is freed is the next one to be reused.
std::vector<Descriptor> fillDescriptorsTo(int Top) {
  std::vector<Descriptor> Filled;
  while (true) {
    int Number = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    Filled.emplace_back(Number);
    if (Number < 0 || Number > Top)
      return Filled;
  }
}

constexpr int AboveAllInUse = 200;

/// No descriptor can be opened while an object of this class exists.
class NoMoreDescriptors {
public:
  NoMoreDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &this->Before);
    rlimit None{0, this->Before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &None);
  }
  ~NoMoreDescriptors() { ::setrlimit(RLIMIT_NOFILE, &this->Before); }
  NoMoreDescriptors(const NoMoreDescriptors &) = delete;
  NoMoreDescriptors &operator=(const NoMoreDescriptors &) = delete;

private:
  rlimit Before{};
};

} // namespace

TEST_GROUP(HttpServerTest) {
  std::uint16_t Port = freeHttpPort();
  std::shared_ptr<KeepingHandler> Handler = std::make_shared<KeepingHandler>();
  std::optional<HttpServer> Server;

  void serve(HttpServerOptions Options = {}) {
    Options.Listen = "127.0.0.1:" + std::to_string(this->Port);
    Options.Threads = 1;
    this->Server.emplace(Options, this->Handler);
  }

  Caller connected() {
    Caller New(this->Port);
    New.connect();
    return New;
  }

  void teardown() override { this->Server.reset(); }
};

TEST(HttpServerTest, AnAnswerNeverReachesTheNextCallerOnTheSameDescriptor) {
  struct Case {
    /// The last request of the leaving caller.
    const char *Request;
    /// Whether the handler answers it, or the server itself.
    bool Handled;
    /// Text that the next caller must not read.
    const char *Foreign;
  };
  const Case Cases[] = {
      {"GET /first HTTP/1.1\r\n\r\n", true, "/first"},
      {"NONSENSE /first HTTP/1.1\r\n\r\n", false, "400"},
  };
  for (const Case &Row : Cases) {
    this->Handler = std::make_shared<KeepingHandler>();
    this->Port = freeHttpPort();
    this->serve();
    Caller Leaving = this->connected();
    Caller Holding = this->connected();
    Caller Second = this->connected();
    Second.ask("/known");
    this->Handler->reply("/known");
    if (Row.Handled) {
      Leaving.send(Row.Request);
      this->Handler->reply("/first");
    }
    Caller Other(this->Port);
    Caller Next(this->Port);
    std::vector<Descriptor> Filled = fillDescriptorsTo(AboveAllInUse);
    Holding.ask("/hold/1");
    this->Handler->reply("/hold/1");
    // While the server's thread is blocked, the first caller leaves, another
    // sends a request, a third connects, and the first one's answer is ready.
    if (!Row.Handled)
      Leaving.send(Row.Request);
    Leaving.leave();
    Descriptor Plug(::open("/dev/null", O_RDONLY | O_CLOEXEC));
    Second.ask("/hold/2");
    Other.connect();
    std::this_thread::sleep_for(milliseconds(100));
    if (Row.Handled)
      this->Handler->answer("/first");
    this->Handler->release("/hold/1");
    this->Handler->reply("/hold/2");
    // Now the first caller's connection is closed, and the next caller gets its
    // descriptor number before the server writes the pending answer.
    Next.connect();
    std::this_thread::sleep_for(milliseconds(100));
    this->Handler->release("/hold/2");
    Next.ask("/next");
    this->Handler->answer("/next");
    std::string Text = Next.readAnswer();
    STRCMP_CONTAINS("/next", Text.c_str());
    CHECK(Text.find(Row.Foreign) == std::string::npos);
  }
}

TEST(HttpServerTest, TheRequestDeterminesTheFormOfItsAnswer) {
  this->serve();
  struct Case {
    const char *Request;
    const char *Head;
  };
  const Case Cases[] = {
      {"GET /a HTTP/1.1\r\nHost: t\r\nConnection: keep-alive\r\n\r\n",
       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
       "Connection: Keep-Alive\r\nContent-Length: 2\r\n\r\n/a"},
      {"GET /b HTTP/1.1\r\nHost: t\r\n\r\n",
       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
       "Connection: Close\r\nContent-Length: 2\r\n\r\n/b"},
      {"GET /d HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
       "Connection: Close\r\nContent-Length: 2\r\n\r\n/d"},
      {"GET /c HTTP/1.0\r\nHost: t\r\n\r\n",
       "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n"
       "Connection: Close\r\nContent-Length: 2\r\n\r\n/c"},
  };
  for (const Case &Row : Cases) {
    Caller Asking = this->connected();
    Asking.send(Row.Request);
    std::string Path = std::string(Row.Request).substr(4, 2);
    this->Handler->answer(Path);
    STRCMP_EQUAL(Row.Head, Asking.readAnswer().c_str());
  }
}

TEST(HttpServerTest, AnswersOnAConnectionAreSentInRequestOrder) {
  this->serve();
  Caller Asking = this->connected();
  Asking.ask("/one");
  this->Handler->reply("/one");
  Asking.ask("/two");
  this->Handler->answer("/two");
  STRCMP_EQUAL("", Asking.read(1, milliseconds(50)).c_str());
  this->Handler->answer("/one");
  STRCMP_CONTAINS("/one", Asking.readAnswer().c_str());
}

TEST(HttpServerTest, ALargeAnswerReachesASlowReaderWhole) {
  this->serve();
  Caller Slow = this->connected();
  Caller Other = this->connected();
  Slow.ask("/large");
  HttpAnswer Large;
  constexpr std::size_t LargeSize = 20000000;
  Large.Body = std::string(LargeSize, 'x');
  std::shared_ptr<HttpReply> Reply = this->Handler->reply("/large");
  auto Began = std::chrono::steady_clock::now();
  Reply->send(Large);
  CHECK(std::chrono::steady_clock::now() - Began < milliseconds(1000));
  LONGS_EQUAL(1, this->Server->answers().blocked());
  // Other callers do not wait for the slow reader.
  Other.ask("/other");
  this->Handler->answer("/other");
  STRCMP_CONTAINS("/other", Other.readAnswer().c_str());
  std::string Text = Slow.readAnswer();
  LONGS_EQUAL(LargeSize, Text.size() - (Text.find("\r\n\r\n") + 4));
}

TEST(HttpServerTest, ALargeAnswerEndsWithItsReader) {
  this->serve();
  Caller Slow = this->connected();
  Slow.ask("/large");
  HttpAnswer Large;
  constexpr std::size_t LargeSize = 20000000;
  Large.Body = std::string(LargeSize, 'x');
  this->Handler->reply("/large")->send(Large);
  Slow.leave();
  CHECK(this->Handler->waitForLeaving());
  Caller Next = this->connected();
  Next.ask("/next");
  this->Handler->answer("/next");
  STRCMP_CONTAINS("/next", Next.readAnswer().c_str());
}

TEST(HttpServerTest, APendingOrIdleCallerIsNotTakenForASlowSender) {
  constexpr milliseconds Limit{300};
  // The server checks for slow senders twice per second.
  constexpr milliseconds Longer{1500};
  this->serve({.HeaderTimeout = Limit});
  Caller Pending = this->connected();
  Caller Idle = this->connected();
  Pending.ask("/pending");
  Idle.ask("/idle");
  this->Handler->answer("/idle");
  STRCMP_CONTAINS("200 OK", Idle.readAnswer().c_str());
  std::this_thread::sleep_for(Longer);
  this->Handler->answer("/pending");
  STRCMP_CONTAINS("200 OK", Pending.readAnswer().c_str());
  Idle.ask("/again");
  this->Handler->answer("/again");
  STRCMP_CONTAINS("200 OK", Idle.readAnswer().c_str());
}

TEST(HttpServerTest, ASlowSenderIsAnsweredAndItsConnectionEnds) {
  this->serve({.HeaderTimeout = milliseconds(300)});
  Caller Slow = this->connected();
  Slow.send("GET /slow HT");
  STRCMP_CONTAINS("408", Slow.read(1).c_str());
  CHECK(Slow.seesEnd());
}

TEST(HttpServerTest, CountsAnswersByStatusAndThoseWithoutACaller) {
  this->serve();
  Caller Stays = this->connected();
  Caller Leaves = this->connected();
  Stays.ask("/stays");
  Leaves.ask("/leaves");
  this->Handler->reply("/leaves");
  Leaves.leave();
  CHECK(this->Handler->waitForLeaving());
  CHECK_FALSE(this->Handler->reply("/leaves")->hasClient());
  this->Handler->answer("/leaves");
  HttpAnswer Refusal;
  Refusal.Status = HttpStatus::Unavailable;
  this->Handler->reply("/stays")->send(Refusal);
  STRCMP_CONTAINS("503", Stays.readAnswer().c_str());
  LONGS_EQUAL(1, this->Server->answers().answered(503));
  LONGS_EQUAL(0, this->Server->answers().answered(200));
  LONGS_EQUAL(1, this->Server->answers().withoutCaller());
  STRCMP_CONTAINS("yardwheel_answers_total{status=\"503\"} 1\n",
                  this->Server->answers().describe().c_str());
}

// A caller must not wait for the rest of an answer that cannot be completed. If
// no descriptor was left for the flusher thread, the server closed only its own
// descriptor of the connection, and the caller kept waiting.
TEST(HttpServerTest, AnAnswerThatCannotBeCompletedEndsItsConnection) {
  this->serve();
  Caller Slow = this->connected();
  Slow.ask("/large");
  HttpAnswer Large;
  constexpr std::size_t LargeSize = 20000000;
  Large.Body = std::string(LargeSize, 'x');
  std::shared_ptr<HttpReply> Reply = this->Handler->reply("/large");
  // The sanitizers need descriptors when they first check a type, so the types
  // of an answer and of the error are used before.
  CHECK(std::system_error(std::error_code()).code() == std::error_code());
  Caller Other = this->connected();
  Other.ask("/other");
  this->Handler->answer("/other");
  Other.readAnswer();
  {
    NoMoreDescriptors Limited;
    Reply->send(Large);
  }
  std::string Text = Slow.read(LargeSize, milliseconds(500));
  CHECK(Text.size() < LargeSize);
  CHECK(Slow.seesEnd());
}

TEST(HttpServerTest, ACallerThatHasResetItsConnectionIsGone) {
  this->serve();
  Caller Holding = this->connected();
  Caller Leaving = this->connected();
  Leaving.ask("/leaving");
  std::shared_ptr<HttpReply> Reply = this->Handler->reply("/leaving");
  CHECK(Reply->hasClient());
  Holding.ask("/hold");
  this->Handler->reply("/hold");
  Leaving.reset();
  std::this_thread::sleep_for(milliseconds(100));
  CHECK_FALSE(Reply->hasClient());
  this->Handler->release("/hold");
  // hasClient() must not hide the end of the connection from the HTTP library.
  CHECK(this->Handler->waitForLeaving());
}

TEST(HttpServerTest, ACallerThatClosesItsSendingSideCountsAsGone) {
  this->serve();
  Caller Half = this->connected();
  Half.ask("/half");
  std::shared_ptr<HttpReply> Reply = this->Handler->reply("/half");
  CHECK(Reply->hasClient());
  Half.finishSending();
  CHECK(this->Handler->waitForLeaving());
  CHECK_FALSE(Reply->hasClient());
  CHECK(Half.seesEnd());
}

// Answers are sent in the order of their requests, so a missing one would block
// all later ones on its connection.
TEST(HttpServerTest, ADroppedReplyEndsItsConnection) {
  this->serve();
  Caller Asking = this->connected();
  Asking.ask("/dropped");
  this->Handler->drop("/dropped");
  CHECK(Asking.seesEnd());
}

TEST(HttpServerTest, AHandlerThatThrowsEndsItsConnectionToo) {
  this->serve();
  Caller Asking = this->connected();
  Asking.ask("/throw");
  Asking.read(1, milliseconds(300));
  CHECK(Asking.seesEnd());
}

// A slow sender that left just after the library had queued its 408 was removed
// twice, which terminated the process.
TEST(HttpServerTest, ASlowSenderThatLeavesIsClosedOnce) {
  constexpr int Senders = 20;
  constexpr int Opened = 400;
  // The server checks for slow senders twice per second.
  constexpr milliseconds CheckPeriod{700};
  this->serve({.HeaderTimeout = milliseconds(100)});
  for (bool LeavesBefore : {true, false}) {
    std::string Hold = LeavesBefore ? "/hold/before" : "/hold/after";
    Caller Holding = this->connected();
    std::vector<Caller> Slow;
    for (int I = 0; I < Senders; ++I) {
      Slow.push_back(this->connected());
      Slow.back().send("GET /slow HT");
    }
    std::this_thread::sleep_for(milliseconds(50));
    Holding.ask(Hold);
    this->Handler->reply(Hold);
    if (!LeavesBefore)
      std::this_thread::sleep_for(CheckPeriod);
    Slow.clear();
    if (LeavesBefore)
      std::this_thread::sleep_for(CheckPeriod);
    this->Handler->release(Hold);
    // If the server closed a descriptor twice, one of these would be closed.
    std::vector<Descriptor> Others;
    for (int I = 0; I < Opened; ++I) {
      Others.emplace_back(::open("/dev/null", O_RDONLY | O_CLOEXEC));
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    for (const Descriptor &Other : Others)
      CHECK(::fcntl(Other.number(), F_GETFD) >= 0);
    Caller Next = this->connected();
    std::string Path = "/next" + Hold;
    Next.ask(Path);
    this->Handler->answer(Path);
    STRCMP_CONTAINS(Path.c_str(), Next.readAnswer().c_str());
  }
}

// An entry that was shutting down took "no job in flight for 200 ms" as proof
// that all requests were answered. A request that waits for a loop which is
// blocked for longer has no job yet, and its connection was cut.
TEST(HttpServerTest, CountsRequestsThatStillNeedAnAnswer) {
  this->serve();
  Caller First = this->connected();
  Caller Second = this->connected();
  LONGS_EQUAL(0, this->Server->answers().unanswered());
  First.ask("/first");
  Second.ask("/second");
  this->Handler->reply("/first");
  this->Handler->reply("/second");
  LONGS_EQUAL(2, this->Server->answers().unanswered());
  this->Handler->answer("/first");
  LONGS_EQUAL(1, this->Server->answers().unanswered());
  // An answer whose caller has left counts as settled once it is made.
  Second.leave();
  CHECK(this->Handler->waitForLeaving());
  this->Handler->answer("/second");
  LONGS_EQUAL(0, this->Server->answers().unanswered());
}
