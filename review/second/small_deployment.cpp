#include "review/second/small_deployment.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <string_view>
#include <thread>
#include <utility>

namespace yardwheel {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *QueueHost = "nony24.example";
constexpr const char *QueuePrefix = "/lohu930/";
constexpr const char *Pool = "huvo11a";
constexpr std::chrono::milliseconds TimeToServe{20000};
/// Six of the eight tasks that a worker has room for, for each worker.
constexpr int TasksOfProbe = 6;

/// The flags of the deploy file.
std::vector<std::string> flagsOf(std::string_view Serves) {
  const std::vector<std::string> Placing = {
      "--first_contacts", "8", "--learned_speeds", "--route_values",
      "0=10.1,1=4.2,2=7.4"};
  std::vector<std::string> Flags = {"--two_way_links"};
  if (Serves == "front")
    Flags.insert(Flags.end(), {"--delegates", "3"});
  if (Serves == "side")
    Flags.emplace_back("--coordinates");
  if (Serves != "control")
    Flags.insert(Flags.end(), Placing.begin(), Placing.end());
  return Flags;
}

/// The limits of the users' sheets for a class of machines.
json limitsOf(std::string_view Serves) {
  int MemoryMb = 260;
  if (Serves == "side")
    MemoryMb = 128;
  if (Serves == "control")
    MemoryMb = 256;
  return {{"memoryMb", MemoryMb}, {"maxFds", 4096}};
}

} // namespace

SmallDeployment::SmallDeployment(const std::string &Folder)
    : Record(Folder + "/record.txt") {
  const char *Wanted = std::getenv("TROUBLE");
  this->Trouble = Wanted == nullptr || std::string_view(Wanted) != "0";
  // The field is of a deployment that is not in force.
  this->Cluster.AnnouncesBorn = false;
}

std::string SmallDeployment::timeText(Clock::time_point At) const {
  return fmt::format("{:8.3f} s",
                     std::chrono::duration<double>(At - this->Began).count());
}

void SmallDeployment::note(const std::string &Line) {
  std::scoped_lock Lock(this->Mutex);
  this->Record << this->timeText(Clock::now()) << "  " << Line << std::endl;
}

void SmallDeployment::launch(const std::string &Name, int Host,
                             const char *Serves, bool Bootstrap) {
  json Body = this->Cluster.settings(Name, Host, Serves);
  Body["bootstrap"] = Bootstrap;
  Body["limits"] = limitsOf(Serves);
  Body["bounds"] = {{"retransmitMs", this->Bounds.Retransmit.count()},
                    {"maxHoldMs", 1000},
                    {"stopMs", this->Bounds.Stop.count()},
                    {"configApplyMs", 2000},
                    {"graceS", 6},
                    {"remoteFactor", 1.5},
                    {"cancel_ms", this->Bounds.Cancel.count()},
                    {"ackMs", this->Bounds.Ack.count()},
                    {"evacuateMs", this->Bounds.Evacuate.count()}};
  std::filesystem::create_directories(Body["dataDir"].get<std::string>());
  this->Cluster.launch(Name, Body.dump(), flagsOf(Serves));
}

std::string SmallDeployment::config(std::uint64_t Version) const {
  json Route = {
      {"name", "r-wrr6x73"}, {"host", QueueHost},  {"pathPrefix", QueuePrefix},
      {"kind", "unsafe"},    {"timeoutMs", 30000}, {"sloMs", 60},
      {"priority", 0},       {"service", Pool},    {"maxAttempts", 2},
      {"stretch", 1.6}};
  json Service = {{"name", Pool},    {"healthPath", "/health"},
                  {"maxConns", 64},  {"protocol", "h1"},
                  {"tls", false},    {"admissionCheck", true},
                  {"standby", false}};
  return json{{"version", Version},
              {"routes", json::array({Route})},
              {"services", json::array({Service})}}
      .dump();
}

bool SmallDeployment::start(int Sides) {
  for (int I = 1; I <= 3; ++I)
    this->startCore(I, /*Bootstrap=*/true);
  for (int I = 1; I <= 2; ++I)
    this->launch(fmt::format("front{}", I), I, "front", /*Bootstrap=*/true);
  for (int I = 1; I <= Sides; ++I) {
    this->launch(fmt::format("side{}", I), 10 + I, "side", /*Bootstrap=*/true);
    this->Cluster.addWorker(I, Pool);
  }
  auto End = Clock::now() + TimeToServe;
  auto Await = [&](const std::function<bool()> &Done) {
    while (!Done()) {
      if (Clock::now() >= End)
        return false;
      std::this_thread::sleep_for(200ms);
    }
    return true;
  };
  bool Serves = Await([&] {
    return this->order(1, "POST", "/config/replace", this->config(7)).Status ==
           200;
  });
  std::uint64_t Probe = 0xf0000;
  for (int Front = 1; Front <= 2; ++Front)
    Serves =
        Serves && Await([&] {
          int Before1 = this->Cluster.Workers[1]->starts();
          int Before2 = this->Cluster.Workers[2]->starts();
          std::string Id = fmt::format("{:016x}", ++Probe);
          return this->submit(Front, Id, TasksOfProbe * Sides, 20ms, 1500ms)
                         .Status == 200 &&
                 this->Cluster.Workers[1]->starts() > Before1 &&
                 this->Cluster.Workers[2]->starts() > Before2;
        });
  this->note(Serves ? "both entries use both workers"
                    : "the deployment does not serve");
  return Serves;
}

WebAnswer SmallDeployment::order(int Core, const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body) {
  WebAnswer Answer =
      requestFollowing({.Address = this->Cluster.at(20 + Core, 3),
                        .Method = Method,
                        .Path = Path,
                        .Body = Body});
  this->note(fmt::format("operator: {} {} to core{}: {}", Method, Path, Core,
                         Answer.Status));
  return Answer;
}

WebRequest SmallDeployment::atFront(int Front, const std::string &Id) const {
  WebRequest Wanted;
  Wanted.Address = this->Cluster.at(Front, 1);
  Wanted.Path = QueuePrefix + Id;
  Wanted.Host = QueueHost;
  return Wanted;
}

WebRequest SmallDeployment::handIn(int Front, const std::string &Id, int Tasks,
                                   std::chrono::milliseconds TaskTime,
                                   std::chrono::milliseconds Deadline) const {
  WebRequest Wanted = this->atFront(Front, Id);
  Wanted.Method = "POST";
  Wanted.Body = json{{"spec", std::to_string(TaskTime.count())},
                     {"bestEffort", true},
                     {"phases",
                      {{{"count", Tasks},
                        {"cpu", 500},
                        {"memMb", 64},
                        {"estMs", TaskTime.count()}}}}}
                    .dump();
  Wanted.Deadline = Deadline;
  Wanted.Timeout = Deadline;
  return Wanted;
}

WebAnswer SmallDeployment::submit(int Front, const std::string &Id, int Tasks,
                                  std::chrono::milliseconds TaskTime,
                                  std::chrono::milliseconds Deadline) {
  this->note(fmt::format("client: POST {} to front{}, {} tasks of {} ms", Id,
                         Front, Tasks, TaskTime.count()));
  WebAnswer Answer =
      request(this->handIn(Front, Id, Tasks, TaskTime, Deadline));
  this->note(fmt::format("client: POST {} to front{} answered {} {}", Id, Front,
                         Answer.Status, Answer.Body));
  return Answer;
}

WebAnswer SmallDeployment::ask(int Front, const std::string &Method,
                               const std::string &Id) {
  WebRequest Wanted = this->atFront(Front, Id);
  Wanted.Method = Method;
  WebAnswer Answer = request(Wanted);
  this->note(fmt::format("client: {} {} to front{} answered {} {}", Method, Id,
                         Front, Answer.Status, Answer.Body));
  return Answer;
}

void SmallDeployment::noteRuns(const std::string &Id) {
  for (const auto &[Task, Runs] : this->Cluster.Recorder.runsOf(Id))
    for (const RunSpan &Run : Runs) {
      bool Open = Run.End == RunSpan::TimePoint::max();
      this->note(fmt::format("run of {} on {}: {} to {}{}", Task, Run.Worker,
                             this->timeText(Run.Begin),
                             Open ? "now" : this->timeText(Run.End),
                             Run.Done ? ", done" : ""));
    }
}

int SmallDeployment::aliveAt(const std::string &Id,
                             Clock::time_point At) const {
  int Count = 0;
  for (const auto &[Task, Runs] : this->Cluster.Recorder.runsOf(Id))
    for (const RunSpan &Run : Runs)
      Count += Run.Begin <= At && At < Run.End ? 1 : 0;
  return Count;
}

int SmallDeployment::startsAfter(const std::string &Id,
                                 Clock::time_point At) const {
  int Count = 0;
  for (const auto &[Task, Runs] : this->Cluster.Recorder.runsOf(Id))
    for (const RunSpan &Run : Runs)
      Count += Run.Begin > At ? 1 : 0;
  return Count;
}

void SmallDeployment::startCore(int Core, bool Bootstrap) {
  this->launch(fmt::format("core{}", Core), 20 + Core, "control", Bootstrap);
  this->note(fmt::format("platform: core{} started", Core));
}

void SmallDeployment::killCore(int Core) {
  this->Cluster.kill(fmt::format("core{}", Core));
  this->note(fmt::format("platform: core{} killed", Core));
}

void SmallDeployment::wipeCore(int Core) {
  std::filesystem::remove_all(
      fmt::format("{}/data-core{}", this->Cluster.folder(), Core));
  this->note(fmt::format("platform: core{} has lost its disk", Core));
}

int SmallDeployment::leader() {
  for (int Core = 1; Core <= 3; ++Core)
    if (request(
            {.Address = this->Cluster.at(20 + Core, 3), .Path = "/config/read"})
            .Status == 200)
      return Core;
  return 0;
}

} // namespace yardwheel
