//===- Age of requests when the server reads them -------------------------===//

#include "http/http_server.h"
#include "tests/support/http_caller.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using std::chrono::milliseconds;

namespace {

/// More than the resolution of the host's clock and the delay of a busy host.
constexpr milliseconds Tolerance{20};

/// Records the age of each request. Blocks the server's thread on /hold, and
/// records the age of that request again as /held after the release.
class AgeRecorder final : public HttpHandler {
public:
  void handle(const HttpRequest &Request,
              std::shared_ptr<HttpReply> Reply) override {
    std::unique_lock Lock(this->Mutex);
    this->Ages[Request.Resource] = Reply->age();
    this->Changed.notify_all();
    if (Request.Resource == "/hold") {
      this->Changed.wait_for(Lock, CallerReadTimeout,
                             [this] { return this->Released; });
      this->Ages["/held"] = Reply->age();
      this->Changed.notify_all();
    }
    Reply->send({.Body = "{}"});
  }
  void release() {
    std::lock_guard Lock(this->Mutex);
    this->Released = true;
    this->Changed.notify_all();
  }
  /// Returns the recorded age, after waiting for the request to be read.
  std::optional<RequestAge> age(const std::string &Path) {
    std::unique_lock Lock(this->Mutex);
    this->Changed.wait_for(Lock, CallerReadTimeout,
                           [&] { return this->Ages.contains(Path); });
    return this->Ages[Path];
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::optional<RequestAge>> Ages;
  bool Released = false;
};

std::string requestFor(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

} // namespace

TEST_GROUP(RequestAgeTest) {
  std::uint16_t Port = freeHttpPort();
  std::shared_ptr<AgeRecorder> Handler = std::make_shared<AgeRecorder>();
  HttpServer Server{
      {.Listen = "127.0.0.1:" + std::to_string(Port), .Threads = 1}, Handler};

  void teardown() override { Handler->release(); }
};

// The server's only thread is blocked for a while.
TEST(RequestAgeTest, TheAgeIncludesTheTimeBeforeReading) {
  struct Row {
    const char *Name;
    const char *Path;
    /// Sent directly after the request.
    std::string Behind;
    /// Sent on the same connection after half of the time.
    std::string Later;
    /// How long the last input stays unread.
    milliseconds Unread;
    bool HasUpperBound;
  };
  constexpr milliseconds Half{200};
  const Row Rows[] = {
      {"alone", "/alone", "", "", 2 * Half, true},
      {"another behind it", "/first", requestFor("/second"), "", 2 * Half,
       false},
      {"a part of another", "/whole", "GET /par", "", 2 * Half, false},
      {"another later", "/early", "", requestFor("/late"), Half, false},
  };
  Caller Holding(this->Port);
  Holding.connect();
  Holding.ask("/hold");
  CHECK(Handler->age("/hold").has_value());
  std::vector<Caller> Callers;
  for (const Row &Row : Rows) {
    Caller &Asking = Callers.emplace_back(this->Port);
    Asking.connect();
    CHECK_TEXT(Asking.send(requestFor(Row.Path) + Row.Behind), Row.Name);
  }
  std::this_thread::sleep_for(Half);
  for (std::size_t I = 0; I < Callers.size(); ++I)
    CHECK_TEXT(Callers[I].send(Rows[I].Later), Rows[I].Name);
  std::this_thread::sleep_for(Half);
  TimePoint Before = std::chrono::time_point_cast<Duration>(BootClock::now());
  Handler->release();
  for (const Row &Row : Rows) {
    std::optional<RequestAge> Age = Handler->age(Row.Path);
    // The maximum additional delay until it was read.
    Duration Passed =
        std::chrono::time_point_cast<Duration>(BootClock::now()) - Before;
    CHECK_TEXT(Age.has_value(), Row.Name);
    CHECK_TEXT(Age->AtLeast >= Row.Unread - Tolerance, Row.Name);
    CHECK_TEXT(Age->AtLeast <= 2 * Half + Passed + Tolerance, Row.Name);
    CHECK_TEXT(Age->AtMost.has_value() == Row.HasUpperBound, Row.Name);
    if (Age->AtMost)
      CHECK_TEXT(*Age->AtMost >= Row.Unread, Row.Name);
  }
}

TEST(RequestAgeTest, LaterInputHidesTheMaximumAge) {
  Caller Holding(this->Port);
  Holding.connect();
  Holding.ask("/hold");
  std::optional<RequestAge> Age = Handler->age("/hold");
  CHECK(Age.has_value());
  CHECK(Age->AtMost.has_value());
  CHECK(Holding.send(requestFor("/next")));
  std::this_thread::sleep_for(milliseconds(100));
  Handler->release();
  Age = Handler->age("/held");
  CHECK(Age.has_value());
  CHECK_FALSE(Age->AtMost.has_value());
}

TEST(RequestAgeTest, ARequestThatIsReadAtOnceIsNew) {
  Caller Asking(this->Port);
  Asking.connect();
  // Makes the connection older than its input.
  std::this_thread::sleep_for(milliseconds(200));
  TimePoint Before = std::chrono::time_point_cast<Duration>(BootClock::now());
  Asking.ask("/new");
  std::optional<RequestAge> Age = Handler->age("/new");
  // An upper bound of the age, however late the request was read.
  Duration Passed =
      std::chrono::time_point_cast<Duration>(BootClock::now()) - Before;
  CHECK(Age.has_value());
  CHECK(Age->AtMost.has_value());
  CHECK(*Age->AtMost <= Passed + Tolerance);
}

TEST(RequestAgeTest, NoAgeIfTheHostDoesNotProvideIt) {
  int Pair[2];
  LONGS_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, Pair));
  Descriptor One(Pair[0]);
  Descriptor Other(Pair[1]);
  CHECK_FALSE(findInputAge(One.number()).has_value());
  CHECK_FALSE(findInputAge(-1).has_value());
}
