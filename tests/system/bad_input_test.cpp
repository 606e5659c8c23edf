//===- Invalid requests to a running entry --------------------------------===//

#include "core/job_id.h"
#include "tests/system/system_cluster.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace yardwheel;

namespace {

/// Connects to \p Address and sends raw bytes.
/// \returns the socket.
int sendRaw(const std::string &Address, const std::string &Bytes) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.find(':') + 1))));
  (void)::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                  sizeof(Target));
  (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  return Socket;
}

/// Reads until the server closes the connection, for at most 20 seconds.
/// \returns the bytes read, or "left open" after a timeout.
std::string readToEnd(int Socket) {
  timeval Limit{20, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  std::string Text;
  char Buffer[1024];
  ssize_t Count = 0;
  while ((Count = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0)
    Text.append(Buffer, static_cast<std::size_t>(Count));
  ::close(Socket);
  // A count of -1 is a timeout: the connection is still open.
  return Count < 0 ? "left open" : Text;
}

std::string manyTasks(int Count) {
  std::string Tasks;
  for (int I = 0; I < Count; ++I)
    Tasks += (I == 0 ? "" : ",") + std::string(R"({"payload":"x"})");
  return R"({"tasks":[)" + Tasks + "]}";
}

std::string idStamped(std::int64_t OffsetMs) {
  std::mt19937_64 Random(99);
  WallTime Time =
      SystemClock().now().Wall + std::chrono::milliseconds(OffsetMs);
  return makeUuidV7(Time, Random).Key;
}

} // namespace

TEST_GROUP(BadInputTest){};

TEST(BadInputTest, InvalidJobsAreRejectedWithAReason) {
  SystemCluster Cluster({.Controls = 1, .Entries = 1});
  Cluster.start();
  std::size_t Before = Cluster.starts().size();
  struct Row {
    const char *Name;
    std::string Body;
    long Status;
    const char *Text;
  };
  const Row Table[] = {
      {"no tasks", R"({"tasks":[]})", 400, "tasks: expected 1 to 1300"},
      {"no field", R"({})", 400, "tasks: expected 1 to 1300"},
      {"too many", manyTasks(1301), 400, "found 1301"},
      {"oversized",
       R"({"tasks":[{"payload":")" + std::string(300000, 'x') + "\"}]}", 413,
       ""},
      {"broken", R"({"tasks":[)", 400, "body"},
      {"wrong type", R"({"tasks":"none"})", 400, "tasks"},
      {"unknown field", R"({"taskz":[]})", 400, "taskz"},
      {"negative", R"({"tasks":[{"payload":"x","cpus":-1}]})", 400, "cpus"},
      {"past deadline",
       R"({"deadline":"2020-01-01T00:00:00Z","tasks":[{"payload":"x"}]})", 400,
       "deadline"},
      {"far deadline",
       R"({"deadline":"2090-01-01T00:00:00Z","tasks":[{"payload":"x"}]})", 400,
       "deadline: expected at most 20000 ms"},
      {"bad deadline", R"({"deadline":"soon","tasks":[{"payload":"x"}]})", 400,
       "deadline"},
      {"future id",
       fmt::format(R"({{"id":"{}","tasks":[{{"payload":"x"}}]}})",
                   idStamped(60000)),
       400, "in the future"},
      {"old id",
       fmt::format(R"({{"id":"{}","tasks":[{{"payload":"x"}}]}})",
                   idStamped(-700000)),
       410, "first submitted"},
      {"bad id", R"({"id":"a b","tasks":[{"payload":"x"}]})", 400, "id:"},
      {"key without its time", R"({"id":"key","tasks":[{"payload":"x"}]})", 400,
       "first_submitted"},
      {"not UTF-8", "{\"tasks\":[{\"payload\":\"\xff\"}]}", 400, "UTF-8"},
      {"never fits", R"({"tasks":[{"payload":"x","cpus":4000}]})", 422,
       "no worker of the pool"},
      {"huge declared time",
       R"({"tasks":[{"payload":"x","declared_ms":4000000}]})", 400,
       "tasks[0].declared_ms"},
  };
  for (const Row &Case : Table) {
    HttpResult Answer = Cluster.submit("e1", Case.Body);
    LONGS_EQUAL_TEXT(Case.Status, Answer.Status, Case.Name);
    CHECK_TRUE_TEXT(Answer.Body.find(Case.Text) != std::string::npos,
                    Answer.Body.c_str());
  }
  std::string Base = "http://" + Cluster.httpOf("e1");
  LONGS_EQUAL(404, Cluster
                       .call("POST", Base + "/v1/workspaces/none/jobs",
                             R"({"tasks":[{"payload":"x"}]})")
                       .Status);
  LONGS_EQUAL(404, Cluster.call("GET", Base + "/v1/nothing").Status);
  LONGS_EQUAL(
      405, Cluster.call("PUT", Base + "/v1/workspaces/bids/jobs", "{}").Status);
  LONGS_EQUAL(
      404,
      Cluster.call("GET", Base + "/v1/workspaces/bids/jobs/" + idStamped(0))
          .Status);
  LONGS_EQUAL(Before, Cluster.starts().size());
  LONGS_EQUAL(200,
              Cluster.submit("e1", R"({"tasks":[{"payload":"x"}]})").Status);
}

TEST(BadInputTest, TheSameIdWithOtherContentIsAConflict) {
  SystemCluster Cluster({.Controls = 1, .Entries = 2});
  Cluster.start();
  std::string Id = idStamped(0);
  auto Body = [&](const char *Payload) {
    return fmt::format(R"({{"id":"{}","tasks":[{{"payload":"{}"}}]}})", Id,
                       Payload);
  };
  LONGS_EQUAL(200, Cluster.submit("e1", Body("one")).Status);
  for (const char *Entry : {"e1", "e2"}) {
    LONGS_EQUAL(200, Cluster.submit(Entry, Body("one")).Status);
    LONGS_EQUAL(409, Cluster.submit(Entry, Body("two")).Status);
  }
  LONGS_EQUAL(0, Cluster.doubleStarts());
}

TEST(BadInputTest, IncompleteRequestsAreClosedAndDisconnectsHarmNoJob) {
  SystemCluster Cluster({.Controls = 1, .Entries = 1});
  Cluster.start();
  std::string Address = Cluster.httpOf("e1");
  const std::string Head = "POST /v1/workspaces/bids/jobs HTTP/1.1\r\n"
                           "Host: x\r\nContent-Length: 500\r\n\r\n";
  std::vector<int> Sockets;
  for (const std::string &Bytes :
       {std::string(), std::string("POST /v1/wor"), Head + R"({"tasks":[)"})
    Sockets.push_back(sendRaw(Address, Bytes));
  for (int Socket : Sockets)
    CHECK_TRUE(readToEnd(Socket) != "left open");
  // Clients that disconnect while their jobs are running.
  const std::string Body = R"({"tasks":[{"payload":"sleep=300 x"}]})";
  for (int I = 0; I < 10; ++I) {
    int Socket = sendRaw(
        Address, fmt::format("POST /v1/workspaces/bids/jobs HTTP/1.1\r\n"
                             "Host: x\r\nContent-Length: {}\r\n\r\n{}",
                             Body.size(), Body));
    ::close(Socket);
  }
  LONGS_EQUAL(200, Cluster.submit("e1", Body).Status);
  LONGS_EQUAL(0, Cluster.doubleStarts());
}

TEST(BadInputTest, JobLongerThanTheWaitTimeoutIsPendingThenAnswered) {
  // Guards against a response 408 that the HTTP library sends by itself if a
  // response takes longer than the header timeout. It was found with real
  // processes.
  SystemCluster Cluster({.Controls = 1, .Entries = 2});
  Cluster.start();
  std::string Id = idStamped(0);
  HttpResult First = Cluster.submit(
      "e1",
      fmt::format(R"({{"id":"{}","tasks":[{{"payload":"sleep=6000 late"}}]}})",
                  Id));
  LONGS_EQUAL(202, First.Status);
  for (const char *Entry : {"e1", "e2"}) {
    HttpResult Later;
    std::string Url = fmt::format("http://{}/v1/workspaces/bids/jobs/{}",
                                  Cluster.httpOf(Entry), Id);
    CHECK_TRUE(waitFor([&] {
      Later = Cluster.call("GET", Url);
      return Later.Status == 200;
    }));
    CHECK_TRUE(Later.Body.find("late") != std::string::npos);
  }
  LONGS_EQUAL(0, Cluster.doubleStarts());
}
