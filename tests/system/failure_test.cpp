//===- Killed, frozen and stopped processes -------------------------------===//

#include "core/job_id.h"
#include "http/json.h"
#include "tests/system/system_cluster.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <thread>

using namespace yardwheel;

namespace {

std::string newId() {
  static std::mt19937_64 Random(7);
  return makeUuidV7(SystemClock().now().Wall, Random).Key;
}

std::string jobBody(const std::string &Id, int Tasks, int SleepMs) {
  std::string List;
  for (int I = 0; I < Tasks; ++I)
    List += fmt::format(R"({}{{"payload":"sleep={} {}"}})", I == 0 ? "" : ",",
                        SleepMs, I);
  return fmt::format(R"({{"id":"{}","tasks":[{}]}})", Id, List);
}

api::JobAnswer read(const HttpResult &Result) {
  api::JobAnswer Answer;
  fromJson(Result.Body, Answer);
  return Answer;
}

/// Submits a job on a background thread with its own HTTP client.
class BackgroundJob {
public:
  BackgroundJob(const SystemCluster &Cluster, const std::string &Entry,
                std::string Body)
      : Thread([this, Body = std::move(Body),
                Url = fmt::format("http://{}/v1/workspaces/bids/jobs",
                                  Cluster.httpOf(Entry))] {
          HttpClient Client(std::chrono::milliseconds(60000));
          this->Result = Client.call("POST", Url, Body);
        }) {}
  const HttpResult &wait() {
    if (this->Thread.joinable())
      this->Thread.join();
    return this->Result;
  }
  ~BackgroundJob() { this->wait(); }

private:
  HttpResult Result;
  std::thread Thread;
};

bool hasStarted(const SystemCluster &Cluster, const std::string &Id,
                std::size_t Tasks) {
  std::size_t Seen = 0;
  for (const auto &[Task, Count] : Cluster.starts())
    Seen += Task.find(Id) != std::string::npos ? 1 : 0;
  return Seen >= Tasks;
}

} // namespace

TEST_GROUP(FailureTest){};

TEST(FailureTest, JobOfAKilledEntryIsReportedAsUnknown) {
  SystemCluster Cluster(SystemOptions{});
  Cluster.start();
  std::string Id = newId();
  std::string Body = jobBody(Id, 4, 500);
  BackgroundJob First(Cluster, "e1", Body);
  CHECK_TRUE(waitFor([&] { return hasStarted(Cluster, Id, 4); }));
  Cluster.killNode("e1");
  LONGS_EQUAL(0, First.wait().Status);
  HttpResult Heard = Cluster.submit("e2", Body);
  LONGS_EQUAL_TEXT(502, Heard.Status, Heard.Problem.c_str());
  api::JobAnswer Answer = read(Heard);
  STRCMP_EQUAL("failed", Answer.status().c_str());
  STRCMP_EQUAL("unknown", Answer.failure().ran().c_str());
  Cluster.startNode("e1");
  CHECK_TRUE(waitFor([&] {
    return Cluster.submit("e1", jobBody(newId(), 1, 1)).Status == 200;
  }));
  CHECK_TRUE(Cluster.submit("e1", Body).Status != 200);
  LONGS_EQUAL(0, Cluster.doubleStarts());
}

TEST(FailureTest, KilledAgentFailsOnlyItsOwnJobs) {
  SystemCluster Cluster(SystemOptions{});
  Cluster.start();
  std::string Id = newId();
  BackgroundJob First(Cluster, "e1", jobBody(Id, 6, 2000));
  CHECK_TRUE(waitFor([&] { return hasStarted(Cluster, Id, 6); }));
  Cluster.killNode("a2");
  api::JobAnswer Answer = read(First.wait());
  STRCMP_EQUAL("failed", Answer.status().c_str());
  STRCMP_EQUAL("peer_lost", Answer.failure().kind().c_str());
  CHECK_TRUE(Answer.failure().ran() != "not_run");
  CHECK_TRUE(waitFor([&] {
    return Cluster.submit("e2", jobBody(newId(), 8, 20)).Status == 200;
  }));
  Cluster.startNode("a2");
  LONGS_EQUAL(200, Cluster.submit("e2", jobBody(newId(), 8, 20)).Status);
  LONGS_EQUAL(0, Cluster.doubleStarts());
}

TEST(FailureTest, FrozenAgentIsAvoidedAndRecovers) {
  SystemCluster Cluster(SystemOptions{});
  Cluster.start();
  std::string Id = newId();
  BackgroundJob First(Cluster, "e1", jobBody(Id, 6, 300));
  CHECK_TRUE(waitFor([&] { return hasStarted(Cluster, Id, 6); }));
  Cluster.signal("a3", SIGSTOP);
  api::JobAnswer Answer = read(First.wait());
  STRCMP_EQUAL("failed", Answer.status().c_str());
  for (int I = 0; I < 5; ++I)
    LONGS_EQUAL(200, Cluster.submit("e1", jobBody(newId(), 4, 10)).Status);
  Cluster.signal("a3", SIGCONT);
  CHECK_TRUE(waitFor([&] {
    return Cluster.ctl({"minions"}).Output.find("lost") == std::string::npos;
  }));
  LONGS_EQUAL(200, Cluster.submit("e2", jobBody(newId(), 12, 10)).Status);
  LONGS_EQUAL(0, Cluster.doubleStarts());
}

TEST(FailureTest, FullRestartRunsNoTaskTwice) {
  SystemCluster Cluster({.Controls = 1, .Entries = 2});
  Cluster.start();
  std::string Id = newId();
  std::string Body = jobBody(Id, 3, 10);
  LONGS_EQUAL(200, Cluster.submit("e1", Body).Status);
  for (const char *Node : {"e1", "e2", "a1", "a2", "a3", "c1"})
    Cluster.killNode(Node);
  for (const char *Node : {"c1", "a1", "a2", "a3", "e1", "e2"})
    Cluster.startNode(Node);
  CHECK_TRUE(waitFor([&] {
    return Cluster.submit("e2", jobBody(newId(), 1, 1)).Status == 200;
  }));
  api::JobAnswer Answer = read(Cluster.submit("e2", Body));
  STRCMP_EQUAL("unknown", Answer.failure().ran().c_str());
  LONGS_EQUAL(0, Cluster.doubleStarts());
}

TEST(FailureTest, DrainingAnEntryOrAgentLosesNoJob) {
  for (const char *Node : {"e1", "a1"}) {
    SystemCluster Cluster(SystemOptions{});
    Cluster.start();
    std::vector<std::unique_ptr<BackgroundJob>> Jobs;
    std::vector<std::string> Ids;
    for (int I = 0; I < 6; ++I) {
      Ids.push_back(newId());
      Jobs.push_back(std::make_unique<BackgroundJob>(
          Cluster, "e1", jobBody(Ids.back(), 2, 700)));
    }
    CHECK_TRUE(waitFor([&] {
      bool All = true;
      for (const std::string &Id : Ids)
        All = All && hasStarted(Cluster, Id, 1);
      return All;
    }));
    Cluster.signal(Node, SIGTERM);
    // The entry reports itself as not ready while requests are still in flight.
    // It answers new requests with a refusal instead of closing the connection.
    if (Node[0] == 'e') {
      std::string Ready = fmt::format("http://{}/readyz", Cluster.httpOf(Node));
      CHECK_TRUE(
          waitFor([&] { return Cluster.call("GET", Ready).Status == 503; }));
      api::JobAnswer Refused =
          read(Cluster.submit("e1", R"({"tasks":[{"payload":"x"}]})"));
      STRCMP_EQUAL("not_run", Refused.failure().ran().c_str());
    }
    for (const auto &Job : Jobs)
      LONGS_EQUAL_TEXT(200, Job->wait().Status, Job->wait().Body.c_str());
    LONGS_EQUAL(0, Cluster.waitForEnd(Node));
    LONGS_EQUAL(200, Cluster.submit("e2", jobBody(newId(), 4, 10)).Status);
    LONGS_EQUAL(0, Cluster.doubleStarts());
  }
}

TEST(FailureTest, DrainingAControlReplicaLosesNoChange) {
  SystemCluster Cluster(SystemOptions{});
  Cluster.start();
  std::string Leader = Cluster.leader();
  std::atomic<bool> Stop{false};
  std::atomic<int> Done{0};
  std::atomic<int> Failed{0};
  std::thread Operator([&] {
    while (!Stop.load()) {
      ProgramResult End = Cluster.ctl({"workspace", "set", "bids", "--set",
                                       fmt::format("weight={}", 100 + Done)});
      (End.Code == 0 ? Done : Failed) += 1;
    }
  });
  CHECK_TRUE(waitFor([&] { return Done.load() >= 3; }));
  Cluster.signal(Leader, SIGTERM);
  int Before = Done.load();
  CHECK_TRUE(waitFor([&] { return Done.load() >= Before + 5; }));
  Stop.store(true);
  Operator.join();
  LONGS_EQUAL(0, Failed.load());
  LONGS_EQUAL(0, Cluster.waitForEnd(Leader));
}

TEST(FailureTest, AKilledLeaderLosesNoAcceptedChange) {
  SystemCluster Cluster(SystemOptions{});
  Cluster.start();
  for (int Round = 0; Round < 2; ++Round) {
    std::string Leader = Cluster.leader();
    CHECK_FALSE(Leader.empty());
    ProgramResult Set = Cluster.ctl({"workspace", "set", "bids", "--set",
                                     fmt::format("weight={}", 500 + Round)});
    LONGS_EQUAL_TEXT(0, Set.Code, Set.Output.c_str());
    Cluster.killNode(Leader);
    ProgramResult Show = Cluster.ctl({"workspace", "show", "bids"});
    LONGS_EQUAL_TEXT(0, Show.Code, Show.Output.c_str());
    CHECK_TRUE_TEXT(Show.Output.find(fmt::to_string(500 + Round)) !=
                        std::string::npos,
                    Show.Output.c_str());
    Cluster.startNode(Leader);
    CHECK_TRUE(waitFor([&] { return !Cluster.leader().empty(); }));
  }
}

TEST(FailureTest, DataFolderIsExclusiveAndDamageIsReported) {
  SystemCluster Cluster({.Controls = 1, .Entries = 1});
  Cluster.start();
  std::string Daemon = std::string(YARDWHEEL_BUILD_FOLDER) + "/main/yardwheeld";
  ProgramResult Second =
      Cluster.runProgram({Daemon, "--settings", Cluster.settingsOf("c1")});
  LONGS_EQUAL(1, Second.Code);
  CHECK_TRUE_TEXT(Second.Output.find("another process") != std::string::npos,
                  Second.Output.c_str());
  Cluster.killNode("c1");
  std::string Log = Cluster.folder() + "/c1/log";
  {
    std::FILE *File = std::fopen(Log.c_str(), "r+b");
    std::fseek(File, 20, SEEK_SET);
    std::fputc(0x7f, File);
    std::fclose(File);
  }
  ProgramResult Damaged =
      Cluster.runProgram({Daemon, "--settings", Cluster.settingsOf("c1")});
  LONGS_EQUAL(1, Damaged.Code);
  CHECK_TRUE_TEXT(Damaged.Output.find("offset") != std::string::npos,
                  Damaged.Output.c_str());
  std::filesystem::remove_all(Cluster.folder() + "/c1");
  ProgramResult Empty =
      Cluster.runProgram({Daemon, "--settings", Cluster.settingsOf("c1")});
  LONGS_EQUAL(1, Empty.Code);
  CHECK_TRUE_TEXT(Empty.Output.find("--join") != std::string::npos,
                  Empty.Output.c_str());
}
