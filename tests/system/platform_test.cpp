//===- The real processes with settings in the platform's format ----------===//

#include "tests/support/silent_proxy.h"
#include "tests/system/platform_worker.h"
#include "tests/system/system_cluster.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int Port = 18100;
/// Tasks of a job that is on both workers, of which each has room for eight.
constexpr int BothWorkers = 12;
const std::string Daemon =
    std::string(YARDWHEEL_BUILD_FOLDER) + "/main/yardwheeld";

/// Nodes on loopback addresses of their own, with the same ports, as on the
/// users' machines.
class PlatformCluster {
public:
  PlatformCluster() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "ywplatXXXXXX").string();
    this->Folder = ::mkdtemp(Pattern.data());
    int Process = ::getpid();
    static int Clusters = 0;
    // Tests of one run and runs beside each other use other addresses.
    this->Net = fmt::format("127.{}.{}", 100 + Process % 100,
                            10 + (Process / 100 + 37 * ++Clusters) % 200);
  }
  ~PlatformCluster() {
    for (const auto &[Name, Process] : this->Running) {
      ::kill(Process, SIGCONT);
      ::kill(Process, SIGKILL);
      ::waitpid(Process, nullptr, 0);
    }
    std::filesystem::remove_all(this->Folder);
  }

  std::string ip(int Host) const {
    return fmt::format("{}.{}", this->Net, Host);
  }
  std::string at(int Host, int Offset) const {
    return fmt::format("{}:{}", this->ip(Host), Port + Offset);
  }
  json settings(const std::string &Name, int Host, const char *Serves) {
    json Body = {{"nodeId", Name},
                 {"serves", {Serves}},
                 {"ip", this->ip(Host)},
                 {"zone", "a"},
                 {"listen",
                  {{"front", this->at(Host, 1)},
                   {"ready", this->at(Host, 2)},
                   {"control", this->at(Host, 3)}}},
                 {"portRange", {Port + 10, Port + 20}},
                 {"seeds", {this->at(21, 3), this->at(22, 3), this->at(23, 3)}},
                 {"bootstrap", !this->Started},
                 {"dataDir", fmt::format("{}/data-{}", this->Folder, Name)},
                 {"faultTolerance", {{"machines", 1}}}};
    return Body;
  }
  void start(const std::string &Name, int Host, const char *Serves) {
    json Body = this->settings(Name, Host, Serves);
    std::filesystem::create_directories(Body["dataDir"].get<std::string>());
    this->launch(Name, Body.dump());
  }
  void rewrite(const std::string &Name, const std::string &Settings) const {
    std::ofstream(fmt::format("{}/{}.json", this->Folder, Name)) << Settings;
  }
  /// The log from its first line on settings that were taken over.
  std::string reloads(const std::string &Name) const {
    std::string Text = this->log(Name);
    std::size_t At = Text.find("\"reloaded\"");
    return At == std::string::npos ? "" : Text.substr(At);
  }
  pid_t launch(const std::string &Name, const std::string &Settings) {
    std::string Path = fmt::format("{}/{}.json", this->Folder, Name);
    this->rewrite(Name, Settings);
    std::string Log = fmt::format("{}/{}.log", this->Folder, Name);
    pid_t Child = ::fork();
    if (Child == 0) {
      int File = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(File, STDOUT_FILENO);
      ::dup2(File, STDERR_FILENO);
      ::setenv("YARDWHEEL_SETTINGS", Path.c_str(), 1);
      ::execl(Daemon.c_str(), Daemon.c_str(), "--platform", nullptr);
      ::_exit(127);
    }
    this->Running[Name] = Child;
    return Child;
  }
  void startAll() {
    for (int I = 1; I <= 3; ++I)
      this->start(fmt::format("core{}", I), 20 + I, "control");
    for (int I = 1; I <= 2; ++I)
      this->start(fmt::format("front{}", I), I, "front");
    for (int I = 1; I <= 2; ++I)
      this->start(fmt::format("side{}", I), 10 + I, "side");
    for (int I = 1; I <= 2; ++I)
      this->addWorker(I);
    this->Started = true;
    CHECK(waitFor([&] { return this->replace(1) == 200; }));
    for (int I = 1; I <= 2; ++I)
      CHECK(waitFor([&] { return this->usesBothWorkers(I); }));
  }
  /// Whether an entry has heard of both workers: it gives both some tasks of a
  /// job that does not fit one.
  bool usesBothWorkers(int Front) {
    int Before1 = this->Workers[1]->starts();
    int Before2 = this->Workers[2]->starts();
    std::string Id = fmt::format("{:016x}", 0xf0000 + ++this->Probes);
    bool Served = this->submit(Front, Id, BothWorkers, 5).Status == 200;
    return Served && this->Workers[1]->starts() > Before1 &&
           this->Workers[2]->starts() > Before2;
  }
  void addWorker(int Side, const char *Pool = "pool") {
    PlatformWorkerOptions Options;
    Options.Pool = Pool;
    Options.Id = fmt::format("i-{}", Side);
    Options.Listen = this->at(10 + Side, 5);
    Options.Agent = this->at(10 + Side, 3);
    if (this->ProxyWorkers) {
      Options.Announced = this->at(10 + Side, 6);
      this->Proxies[Side] =
          std::make_unique<SilentProxy>(Options.Announced, Options.Listen);
    }
    this->Workers[Side] =
        std::make_unique<PlatformWorker>(Options, this->Recorder);
  }
  json config(std::uint64_t Version) const {
    json Routes = json::array();
    for (int I = 1; I <= 2; ++I)
      Routes.push_back({{"name", fmt::format("r{}", I)},
                        {"host", this->ip(I)},
                        {"pathPrefix", "/q/"},
                        {"timeoutMs", 3000},
                        {"sloMs", 60},
                        {"priority", 0},
                        {"service", "pool"},
                        {"maxAttempts", 2},
                        {"stretch", 1.6}});
    return {{"version", Version},
            {"routes", Routes},
            {"services", {{{"name", "pool"}}}}};
  }
  long replace(std::uint64_t Version) {
    return this
        ->operatorCall(21, "POST", "/config/replace",
                       this->config(Version).dump())
        .Status;
  }
  HttpResult operatorCall(int Host, const char *Method, const char *Path,
                          const std::string &Body = "") const {
    HttpClient Client(3s);
    return Client.call(
        Method, fmt::format("http://{}{}", this->at(Host, 3), Path), Body);
  }
  HttpResult submit(int Front, const std::string &Id, int Tasks,
                    int Millis) const {
    json Body = {
        {"spec", std::to_string(Millis)},
        {"bestEffort", true},
        {"phases", {{{"count", Tasks}, {"cpu", 500}, {"estMs", Millis}}}}};
    return this->post(Front, Id, Body);
  }
  /// Asks for the count of a route that the usual configuration lacks.
  HttpResult readUnknownRoute(int Front) const {
    HttpClient Client(2s);
    return Client.call("GET", fmt::format("http://{}/x/", this->at(Front, 1)));
  }
  /// The state of its route table that an entry has logged last.
  std::string tableState(const std::string &Name) const {
    std::string Text = this->log(Name);
    std::size_t At = Text.rfind("\"route_table_state\",\"state\":\"");
    if (At == std::string::npos)
      return "";
    std::size_t From = Text.find("\"state\":\"", At) + 9;
    return Text.substr(From, Text.find('"', From) - From);
  }
  HttpResult post(int Front, const std::string &Id, const json &Body) const {
    HttpClient Client(8s);
    return Client.call("POST",
                       fmt::format("http://{}/q/{}", this->at(Front, 1), Id),
                       Body.dump());
  }
  /// Announces an earlier life of a worker to its agent.
  long announceDead(int Side) const {
    return this->announce(Side, fmt::format("i-dead-{}", Side),
                          this->announcement(Side).dump());
  }
  /// What a worker on this side host would say of itself.
  json announcement(int Side) const {
    return {{"service", "pool"},
            {"address", this->at(10 + Side, 5)},
            {"zone", "a"},
            {"state", "ready"},
            {"capacity", {{"cpu", 4000}, {"memMb", 1000}, {"gpus", 0}}},
            {"labels", {"a", "r1"}},
            {"clockMs", 1000},
            {"sequence", 1}};
  }
  long announce(int Side, const std::string &Id,
                const std::string &Body) const {
    HttpClient Client(2s);
    return Client
        .call("POST",
              fmt::format("http://{}/instances/{}/heartbeat",
                          this->at(10 + Side, 3), Id),
              Body)
        .Status;
  }
  void kill(const std::string &Name) {
    ::kill(this->Running.at(Name), SIGKILL);
    this->wait(Name);
  }
  void signal(const std::string &Name, int Number) {
    ::kill(this->Running.at(Name), Number);
  }
  int wait(const std::string &Name) {
    int Status = 0;
    ::waitpid(this->Running.at(Name), &Status, 0);
    this->Running.erase(Name);
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128;
  }
  std::string log(const std::string &Name) const {
    std::ifstream File(fmt::format("{}/{}.log", this->Folder, Name));
    std::ostringstream Text;
    Text << File.rdbuf();
    return Text.str();
  }
  /// How often a node has logged a decision.
  int count(const std::string &Name, const std::string &Decision) const {
    std::string Text = this->log(Name);
    std::string Line = fmt::format("\"decision\":\"{}\"", Decision);
    int Found = 0;
    for (std::size_t At = Text.find(Line); At != std::string::npos;
         At = Text.find(Line, At + 1))
      ++Found;
    return Found;
  }
  const std::string &folder() const { return this->Folder; }

  /// Whether calls to workers pass a proxy; set before they are added.
  bool ProxyWorkers = false;
  RunRecorder Recorder;
  std::map<int, std::unique_ptr<PlatformWorker>> Workers;
  std::map<int, std::unique_ptr<SilentProxy>> Proxies;

private:
  std::string Folder;
  std::string Net;
  bool Started = false;
  int Probes = 0;
  std::map<std::string, pid_t> Running;
};

} // namespace

TEST_GROUP(PlatformTest){};

TEST(PlatformTest, TheWholePathServesAndRefusesAsItSays) {
  PlatformCluster Cluster;
  Cluster.start("front1", 1, "front");
  // Without a configuration a queue is not unknown, but not known yet.
  CHECK(waitFor([&] {
    return Cluster.submit(1, "00000000000000a1", 1, 5).Status == 503;
  }));
  Cluster.kill("front1");
  Cluster.startAll();
  HttpResult Done = Cluster.submit(1, "00000000000000a2", 6, 30);
  LONGS_EQUAL(200, Done.Status);
  STRCMP_EQUAL("completed",
               json::parse(Done.Body)["state"].get<std::string>().c_str());
  int Before = Cluster.Recorder.starts();
  struct Row {
    const char *Id;
    json Body;
    long Expected;
    const char *Named;
  };
  json Phase = {{"count", 1}, {"cpu", 500}, {"estMs", 5}};
  json Stored = {{"spec", "5"}, {"phases", {Phase}}};
  json Huge = {{"spec", "5"},
               {"bestEffort", true},
               {"phases", {{{"count", 1}, {"cpu", 900000}}}}};
  const Row Rows[] = {
      {"00000000000000b1", Stored, 503, "stored jobs"},
      {"00000000000000b2", json{{"spec", 5}}, 400, "spec"},
      {"00000000000000b3", json::array(), 400, "object"},
      {"00000000000000b4", Huge, 503, "no worker"},
      {"nonsense", Stored, 400, "job id"},
  };
  for (const Row &Row : Rows) {
    HttpResult Result = Cluster.post(1, Row.Id, Row.Body);
    LONGS_EQUAL_TEXT(Row.Expected, Result.Status, Row.Id);
    STRCMP_CONTAINS(Row.Named, Result.Body.c_str());
  }
  LONGS_EQUAL(Before, Cluster.Recorder.starts());
  HttpClient Client(2s);
  LONGS_EQUAL(
      404,
      Client.call("GET", fmt::format("http://{}/x/", Cluster.at(1, 1))).Status);
  LONGS_EQUAL(
      200,
      Client.call("GET", fmt::format("http://{}/readiness", Cluster.at(1, 2)))
          .Status);
  STRCMP_CONTAINS(
      "yardwheel_jobs_completed_total",
      Client.call("GET", fmt::format("http://{}:9464/metrics", Cluster.ip(1)))
          .Body.c_str());
}

TEST(PlatformTest, ConfigurationIsReplacedAtAnyReplicaAndReadBack) {
  PlatformCluster Cluster;
  Cluster.startAll();
  for (int Host : {21, 22, 23}) {
    std::uint64_t Version = 10 + static_cast<std::uint64_t>(Host);
    std::string Body = Cluster.config(Version).dump();
    LONGS_EQUAL(
        200,
        Cluster.operatorCall(Host, "POST", "/config/replace", Body).Status);
    // Again after a lost answer, then an older one, then another of the same.
    LONGS_EQUAL(
        200,
        Cluster.operatorCall(Host, "POST", "/config/replace", Body).Status);
    json Other = Cluster.config(Version);
    Other["routes"][0]["sloMs"] = 99;
    LONGS_EQUAL(
        409, Cluster.operatorCall(Host, "POST", "/config/replace", Other.dump())
                 .Status);
    json Invalid = Cluster.config(Version + 50);
    Invalid["routes"][0]["timeoutMs"] = 0;
    LONGS_EQUAL(
        400,
        Cluster.operatorCall(Host, "POST", "/config/replace", Invalid.dump())
            .Status);
    HttpResult Read = Cluster.operatorCall(Host, "GET", "/config/read");
    LONGS_EQUAL(200, Read.Status);
    CHECK(json::parse(Read.Body) == Cluster.config(Version));
  }
}

// While control is silent nothing newer can be told of: known routes are served
// on, and a route that is not known may have been added.
TEST(PlatformTest, AnEntryWithoutControlServesWhatItKnowsAndDeniesNothing) {
  PlatformCluster Cluster;
  Cluster.startAll();
  const std::vector<std::string> Controls = {"core1", "core2", "core3"};
  LONGS_EQUAL(404, Cluster.readUnknownRoute(1).Status);
  for (const std::string &Name : Controls)
    Cluster.signal(Name, SIGSTOP);
  CHECK(waitFor([&] { return Cluster.tableState("front1") == "unreachable"; }));
  LONGS_EQUAL(200, Cluster.submit(1, "0000000000000701", 1, 5).Status);
  HttpResult Refused = Cluster.readUnknownRoute(1);
  LONGS_EQUAL(503, Refused.Status);
  STRCMP_CONTAINS("may be new", Refused.Body.c_str());
  for (const std::string &Name : Controls)
    Cluster.signal(Name, SIGCONT);
  CHECK(waitFor([&] { return Cluster.tableState("front1") == "current"; }));
  CHECK(waitFor([&] { return Cluster.readUnknownRoute(1).Status == 404; }));
}

// A frozen entry wakes with its old table and reads requests before news of the
// change: it may refuse them, but not handle them as the old table says.
TEST(PlatformTest, AnEntryThatWakesHandlesNothingByItsOldTable) {
  PlatformCluster Cluster;
  Cluster.startAll();
  json Config = Cluster.config(2);
  json Added = Config["routes"][0];
  Added["name"] = "added";
  Added["pathPrefix"] = "/x/";
  // In place of the dropped route.
  Config["routes"][0] = Added;
  Cluster.signal("front1", SIGSTOP);
  LONGS_EQUAL(200,
              Cluster.operatorCall(21, "POST", "/config/replace", Config.dump())
                  .Status);
  std::this_thread::sleep_for(2500ms);
  Cluster.signal("front1", SIGCONT);
  bool Served = false;
  for (int I = 0; I < 200 && !Served; ++I) {
    long Dropped =
        Cluster.submit(1, fmt::format("{:016x}", 0x800 + I), 1, 5).Status;
    CHECK_TEXT(Dropped == 503 || Dropped == 404,
               std::to_string(Dropped).c_str());
    long New = Cluster.readUnknownRoute(1).Status;
    CHECK_TEXT(New == 503 || New == 200, std::to_string(New).c_str());
    Served = New == 200;
  }
  CHECK(Served);
}

// The caller hands a job in again at another entry 1,300 ms after its entry
// was killed: by then no run of the first may be alive.
TEST(PlatformTest, RunsOfAKilledEntryEndBeforeTheJobMayBeginAgain) {
  PlatformCluster Cluster;
  Cluster.startAll();
  auto First = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "00000000000000c1", BothWorkers, 2500).Status;
  });
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == BothWorkers; }));
  Cluster.kill("front1");
  LONGS_EQUAL(0, First.get());
  std::this_thread::sleep_for(1300ms);
  LONGS_EQUAL(0, Cluster.Recorder.alive());
  LONGS_EQUAL(200,
              Cluster.submit(2, "00000000000000c1", BothWorkers, 50).Status);
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

TEST(PlatformTest, RunsOfAKilledAgentLapseAndItsSuccessorFencesThem) {
  PlatformCluster Cluster;
  Cluster.startAll();
  auto First = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "00000000000000d1", BothWorkers, 2500).Status;
  });
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == BothWorkers; }));
  std::uint64_t Token = Cluster.Workers[1]->highestToken();
  Cluster.kill("side1");
  // The entry can no longer answer for its runs there and says so at once.
  LONGS_EQUAL(504, First.get());
  std::this_thread::sleep_for(1300ms);
  LONGS_EQUAL(0, Cluster.Recorder.alive());
  Cluster.start("side1", 11, "side");
  CHECK(waitFor([&] { return Cluster.Workers[1]->highestToken() > Token; }));
  LONGS_EQUAL(200,
              Cluster.submit(1, "00000000000000d1", BothWorkers, 50).Status);
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

TEST(PlatformTest, StartsThatAreCarriedOutLateStartNothingTwice) {
  PlatformCluster Cluster;
  Cluster.startAll();
  Cluster.Workers[1]->delayStarts(600ms);
  int Served = 0;
  for (int I = 0; I < 4; ++I) {
    std::string Id = fmt::format("{:016x}", 0xe00 + I);
    if (Cluster.submit(1, Id, BothWorkers, 300).Status == 200)
      ++Served;
  }
  std::this_thread::sleep_for(1s);
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
  LONGS_EQUAL(4, Served);
}

// Connections may go silent without a reset while new ones work.
TEST(PlatformTest, SilentConnectionsToWorkersAreReplaced) {
  PlatformCluster Cluster;
  Cluster.ProxyWorkers = true;
  Cluster.startAll();
  for (int Round = 0; Round < 3; ++Round) {
    LONGS_EQUAL(200, Cluster
                         .submit(1, fmt::format("{:016x}", 0x500 + Round),
                                 BothWorkers, 50)
                         .Status);
    for (auto &[Side, Proxy] : Cluster.Proxies)
      Proxy->silence();
  }
  // Also runs under way live on, by a lease on another connection.
  auto Long = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "0000000000000600", BothWorkers, 1500).Status;
  });
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == BothWorkers; }));
  for (auto &[Side, Proxy] : Cluster.Proxies)
    Proxy->silence();
  LONGS_EQUAL(200, Long.get());
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

// An announcement may be held up until after its sender has restarted.
TEST(PlatformTest, ALateAnnouncementOfADeadWorkerChangesNothing) {
  PlatformCluster Cluster;
  Cluster.startAll();
  auto Running = std::async(std::launch::async, [&] {
    return Cluster.submit(1, "0000000000000700", BothWorkers, 1000).Status;
  });
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == BothWorkers; }));
  int Starts = Cluster.Recorder.starts();
  for (int Side : {1, 2})
    LONGS_EQUAL(200, Cluster.announceDead(Side));
  LONGS_EQUAL(200, Running.get());
  LONGS_EQUAL(Starts, Cluster.Recorder.starts());
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

// Of the present worker, of one that was never there, and before there is any.
TEST(PlatformTest, AnnouncementsThatCannotBeReadNameNoWorker) {
  PlatformCluster Cluster;
  Cluster.startAll();
  json Warming = Cluster.announcement(1);
  Warming["state"] = "warming";
  json NoAddress = Cluster.announcement(1);
  NoAddress["address"] = "nowhere";
  json NoRoom = Cluster.announcement(1);
  NoRoom.erase("capacity");
  std::string Whole = Cluster.announcement(1).dump();
  const std::pair<const char *, std::string> Rows[] = {
      {"no JSON", "ready"},
      {"truncated", Whole.substr(0, Whole.size() / 2)},
      {"not UTF-8", "{\"service\":\"\xff\xfe\"}"},
      {"an array", "[" + Whole + "]"},
      {"deeply nested", std::string(200000, '[')},
      {"an unknown state", Warming.dump()},
      {"a name for an address", NoAddress.dump()},
      {"no capacity", NoRoom.dump()},
  };
  Cluster.start("side3", 13, "side");
  CHECK(waitFor([&] {
    return Cluster.log("side3").find("\"started\"") != std::string::npos;
  }));
  unsigned Job = 0x800;
  for (const auto &[Name, Body] : Rows) {
    for (int Side : {1, 2, 3})
      for (const std::string &Id :
           {fmt::format("i-{}", Side), std::string("i-other")})
        LONGS_EQUAL_TEXT(400, Cluster.announce(Side, Id, Body), Name);
    LONGS_EQUAL_TEXT(
        200,
        Cluster.submit(1, fmt::format("{:016x}", ++Job), BothWorkers, 20)
            .Status,
        Name);
  }
  LONGS_EQUAL(0, Cluster.count("side3", "worker_attached"));
  for (const char *Side : {"side1", "side2"})
    LONGS_EQUAL(1, Cluster.count(Side, "worker_attached"));
  LONGS_EQUAL(0, Cluster.Recorder.overlaps());
}

TEST(PlatformTest, AWorkerOfAPoolThatNoRouteNamesIsLeftAlone) {
  PlatformCluster Cluster;
  Cluster.startAll();
  Cluster.start("side3", 13, "side");
  Cluster.addWorker(3, "elsewhere");
  CHECK(waitFor([&] { return Cluster.count("side3", "worker_ready") == 1; }));
  for (int Front : {1, 2})
    CHECK(waitFor([&] {
      return Cluster.log(fmt::format("front{}", Front)).find("side3") !=
             std::string::npos;
    }));
  unsigned Job = 0x900;
  for (int Front : {1, 2}) {
    LONGS_EQUAL(
        200,
        Cluster.submit(Front, fmt::format("{:016x}", ++Job), BothWorkers, 20)
            .Status);
  }
  LONGS_EQUAL(0, Cluster.Workers[3]->starts());
  LONGS_EQUAL(200, Cluster.replace(2));
}

TEST(PlatformTest, AnEntryThatIsToldToEndAnswersWhatItHasTaken) {
  PlatformCluster Cluster;
  Cluster.startAll();
  constexpr int CallCount = 6;
  std::vector<std::future<long>> Calls;
  Calls.reserve(CallCount);
  for (int I = 0; I < CallCount; ++I)
    Calls.push_back(std::async(std::launch::async, [&Cluster, I] {
      return Cluster.submit(1, fmt::format("{:016x}", 0xab0 + I), 1, 1200)
          .Status;
    }));
  CHECK(waitFor([&] { return Cluster.Recorder.alive() == CallCount; }));
  Cluster.signal("front1", SIGTERM);
  // Callers use the entry on while the balancer still sends them there.
  LONGS_EQUAL(200, Cluster.submit(1, "00000000000000ac", 1, 20).Status);
  for (std::future<long> &Call : Calls)
    LONGS_EQUAL(200, Call.get());
  LONGS_EQUAL(0, Cluster.wait("front1"));
  STRCMP_CONTAINS("\"decision\":\"stopped\"", Cluster.log("front1").c_str());
}

// Callers use the entry to its last moment; whoever reached it is answered.
TEST(PlatformTest, AnEntryThatEndsCutsNoRequestThatItHasRead) {
  PlatformCluster Cluster;
  Cluster.startAll();
  std::atomic<int> Cut{0};
  std::atomic<int> Answered{0};
  std::atomic<bool> Over{false};
  constexpr int CallerCount = 4;
  std::vector<std::future<void>> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.push_back(std::async(std::launch::async, [&, Caller] {
      for (int I = 0; !Over.load(); ++I) {
        std::string Id = fmt::format("{:016x}", 0x10000 * (Caller + 1) + I);
        auto Sent = std::chrono::steady_clock::now();
        HttpResult Result = Cluster.submit(1, Id, 1, 150);
        // One that is cut sooner has not been read.
        bool Taken = std::chrono::steady_clock::now() - Sent > 100ms;
        if (Result.Status != 0)
          ++Answered;
        else if (Taken)
          ++Cut;
      }
    }));
  Cluster.signal("front1", SIGTERM);
  LONGS_EQUAL(0, Cluster.wait("front1"));
  Over.store(true);
  for (std::future<void> &Caller : Callers)
    Caller.get();
  CHECK(Answered.load() > 50);
  LONGS_EQUAL(0, Cut.load());
}

TEST(PlatformTest, AReplicaThatLostItsDiskIsReplacedWithoutACommand) {
  PlatformCluster Cluster;
  Cluster.startAll();
  std::uint64_t Version = 100;
  for (int Replica : {1, 2, 3}) {
    std::string Name = fmt::format("core{}", Replica);
    CHECK(waitFor([&] { return Cluster.replace(++Version) == 200; }));
    Cluster.kill(Name);
    std::filesystem::remove_all(
        fmt::format("{}/data-{}", Cluster.folder(), Name));
    Cluster.start(Name, 20 + Replica, "control");
    // It holds the configuration once it has become a voter.
    CHECK(waitFor([&] {
      HttpClient Client(2s);
      std::string Text = Client
                             .call("GET", fmt::format("http://{}:9464/metrics",
                                                      Cluster.ip(20 + Replica)))
                             .Body;
      return Text.find(fmt::format("yardwheel_route_table_version {}",
                                   Version)) != std::string::npos &&
             Text.find("yardwheel_control_replicas 3") != std::string::npos;
    }));
  }
  HttpResult Read;
  CHECK(waitFor([&] {
    Read = Cluster.operatorCall(22, "GET", "/config/read");
    return Read.Status == 200;
  }));
  LONGS_EQUAL(Version, json::parse(Read.Body)["version"].get<std::uint64_t>());
}

// The file may change with and without a signal.
TEST(PlatformTest, ChangedSettingsAreTakenOverByEveryRole) {
  struct Row {
    const char *Name;
    int Host;
    const char *Serves;
  };
  const Row Rows[] = {
      {"core1", 21, "control"}, {"front1", 1, "front"}, {"side1", 11, "side"}};
  PlatformCluster Cluster;
  for (const Row &Row : Rows) {
    Cluster.start(Row.Name, Row.Host, Row.Serves);
    CHECK(waitFor([&] {
      return Cluster.log(Row.Name).find("\"started\"") != std::string::npos;
    }));
    STRCMP_EQUAL("", Cluster.reloads(Row.Name).c_str());
    json Body = Cluster.settings(Row.Name, Row.Host, Row.Serves);
    Body["seeds"] = {Cluster.at(24, 3)};
    Cluster.rewrite(Row.Name, Body.dump());
    CHECK(waitFor([&] { return !Cluster.reloads(Row.Name).empty(); }));
    // One that cannot be read leaves all as it is.
    Cluster.rewrite(Row.Name, "{");
    CHECK(waitFor([&] {
      return Cluster.log(Row.Name).find("not taken over") != std::string::npos;
    }));
    Cluster.signal(Row.Name, SIGTERM);
    LONGS_EQUAL(0, Cluster.wait(Row.Name));
  }
}

TEST(PlatformTest, AWrongSettingsFileIsNamedInOneLine) {
  PlatformCluster Cluster;
  json Good = Cluster.settings("x", 30, "front");
  struct Row {
    const char *Field;
    json Value;
  };
  const Row Rows[] = {{"nodeId", 7},
                      {"serves", json::array()},
                      {"seeds", "x"},
                      {"portRange", {1}}};
  for (const Row &Row : Rows) {
    json Bad = Good;
    Bad[Row.Field] = Row.Value;
    std::string Name = std::string("bad-") + Row.Field;
    Cluster.launch(Name, Bad.dump());
    LONGS_EQUAL(2, Cluster.wait(Name));
    std::string Output = Cluster.log(Name);
    STRCMP_CONTAINS(Row.Field, Output.c_str());
    STRCMP_CONTAINS("expected", Output.c_str());
    LONGS_EQUAL(1, std::count(Output.begin(), Output.end(), '\n'));
  }
}
