#include "tests/system/platform_cluster.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace yardwheel {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int Port = 18100;
const std::string Daemon =
    std::string(YARDWHEEL_BUILD_FOLDER) + "/main/yardwheeld";

} // namespace

PlatformCluster::PlatformCluster() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "ywplatXXXXXX").string();
  this->Folder = ::mkdtemp(Pattern.data());
  int Process = ::getpid();
  static int Clusters = 0;
  // Clusters of one process and of concurrent processes use different
  // addresses.
  this->Net = fmt::format("127.{}.{}", 100 + Process % 100,
                          10 + (Process / 100 + 37 * ++Clusters) % 200);
}

PlatformCluster::~PlatformCluster() {
  for (const auto &[Name, Process] : this->Running) {
    ::kill(Process, SIGCONT);
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  if (!this->KeepFolder)
    std::filesystem::remove_all(this->Folder);
}

std::string PlatformCluster::ip(int Host) const {
  return fmt::format("{}.{}", this->Net, Host);
}

std::string PlatformCluster::at(int Host, int Offset) const {
  return fmt::format("{}:{}", this->ip(Host), Port + Offset);
}

json PlatformCluster::settings(const std::string &Name, int Host,
                               const char *Serves) {
  json Body = {{"nodeId", Name},
               {"serves", {Serves}},
               {"ip", this->ip(Host)},
               {"zone", Name == "side2" ? "b" : "a"},
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

void PlatformCluster::start(const std::string &Name, int Host,
                            const char *Serves) {
  json Body = this->settings(Name, Host, Serves);
  std::filesystem::create_directories(Body["dataDir"].get<std::string>());
  this->launch(Name, Body.dump(), this->Flags[Name]);
}

void PlatformCluster::rewrite(const std::string &Name,
                              const std::string &Settings) const {
  std::ofstream(fmt::format("{}/{}.json", this->Folder, Name)) << Settings;
}

std::string PlatformCluster::reloads(const std::string &Name) const {
  std::string Text = this->log(Name);
  std::size_t At = Text.find("\"reloaded\"");
  return At == std::string::npos ? "" : Text.substr(At);
}

pid_t PlatformCluster::launch(const std::string &Name,
                              const std::string &Settings,
                              const std::vector<std::string> &Flags) {
  std::vector<std::string> Words = {Daemon, "--platform"};
  Words.insert(Words.end(), Flags.begin(), Flags.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  std::string Path = fmt::format("{}/{}.json", this->Folder, Name);
  this->rewrite(Name, Settings);
  std::string Log = fmt::format("{}/{}.log", this->Folder, Name);
  pid_t Child = ::fork();
  if (Child == 0) {
    int File = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(File, STDOUT_FILENO);
    ::dup2(File, STDERR_FILENO);
    // If the test program is killed, its children are killed too.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // Inherited descriptors would keep connections open after their owner has
    // closed them.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::setenv("YARDWHEEL_SETTINGS", Path.c_str(), 1);
    ::execv(Daemon.c_str(), Pointers.data());
    ::_exit(127);
  }
  this->Running[Name] = Child;
  return Child;
}

void PlatformCluster::startAll() {
  for (int I = 1; I <= 3; ++I)
    this->start(fmt::format("core{}", I), 20 + I, "control");
  for (int I = 1; I <= 2; ++I)
    this->start(fmt::format("front{}", I), I, "front");
  for (int I = 1; I <= 2; ++I)
    this->start(fmt::format("side{}", I), 10 + I, "side");
  for (int I = 1; I <= 2; ++I)
    this->addWorker(I);
  this->Started = true;
  bool Served = waitFor([&] { return this->replace(1) == 200; });
  for (int I = 1; I <= 2; ++I)
    Served = Served && waitFor([&] { return this->usesBothWorkers(I); });
  if (!Served)
    throw std::runtime_error("the nodes do not serve jobs");
}

bool PlatformCluster::usesBothWorkers(int Front) {
  int Before1 = this->Workers[1]->starts();
  int Before2 = this->Workers[2]->starts();
  std::string Id = fmt::format("{:016x}", 0xf0000 + ++this->Probes);
  bool Served = this->submit(Front, Id, TasksForBothWorkers, 5).Status == 200;
  return Served && this->Workers[1]->starts() > Before1 &&
         this->Workers[2]->starts() > Before2;
}

void PlatformCluster::addWorker(int Side, const char *Pool) {
  PlatformWorkerOptions Options;
  Options.Pool = Pool;
  Options.AnnouncesBorn = this->AnnouncesBorn;
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

json PlatformCluster::config(std::uint64_t Version) const {
  json Routes = json::array();
  for (int I = 1; I <= 2; ++I)
    Routes.push_back({{"name", fmt::format("r{}", I)},
                      {"host", this->ip(I)},
                      {"pathPrefix", "/q/"},
                      {"timeoutMs", this->RouteTimeout.count()},
                      {"sloMs", 60},
                      {"priority", 0},
                      {"service", "pool"},
                      {"maxAttempts", 2},
                      {"stretch", 1.6}});
  return {{"version", Version},
          {"routes", Routes},
          {"services", {{{"name", "pool"}}}}};
}

long PlatformCluster::replace(std::uint64_t Version) {
  return this
      ->operatorCall(21, "POST", "/config/replace",
                     this->config(Version).dump())
      .Status;
}

HttpResult PlatformCluster::operatorCall(int Host, const char *Method,
                                         const char *Path,
                                         const std::string &Body) const {
  HttpClient Client(3s);
  return Client.call(Method,
                     fmt::format("http://{}{}", this->at(Host, 3), Path), Body);
}

HttpResult PlatformCluster::submit(int Front, const std::string &Id, int Tasks,
                                   int Millis) const {
  json Body = {
      {"spec", std::to_string(Millis)},
      {"bestEffort", true},
      {"phases", {{{"count", Tasks}, {"cpu", 500}, {"estMs", Millis}}}}};
  return this->post(Front, Id, Body);
}

HttpResult PlatformCluster::readUnknownRoute(int Front) const {
  HttpClient Client(2s);
  return Client.call("GET", fmt::format("http://{}/x/", this->at(Front, 1)));
}

std::string PlatformCluster::tableState(const std::string &Name) const {
  std::string Text = this->log(Name);
  std::size_t At = Text.rfind("\"route_table_state\",\"state\":\"");
  if (At == std::string::npos)
    return "";
  std::size_t From = Text.find("\"state\":\"", At) + 9;
  return Text.substr(From, Text.find('"', From) - From);
}

HttpResult PlatformCluster::post(int Front, const std::string &Id,
                                 const json &Body) const {
  HttpClient Client(8s);
  return Client.call("POST",
                     fmt::format("http://{}/q/{}", this->at(Front, 1), Id),
                     Body.dump());
}

long PlatformCluster::announceOldIncarnation(int Side) const {
  return this->announce(Side, fmt::format("i-dead-{}", Side),
                        this->announcement(Side).dump());
}

json PlatformCluster::announcement(int Side) const {
  return {{"service", "pool"},
          {"address", this->at(10 + Side, 5)},
          {"zone", "a"},
          {"state", "ready"},
          {"capacity", {{"cpu", 4000}, {"memMb", 1000}, {"gpus", 0}}},
          {"labels", {"a", "r1"}},
          {"clockMs", 1000},
          {"sequence", 1}};
}

long PlatformCluster::announce(int Side, const std::string &Id,
                               const std::string &Body) const {
  HttpClient Client(2s);
  return Client
      .call("POST",
            fmt::format("http://{}/instances/{}/heartbeat",
                        this->at(10 + Side, 3), Id),
            Body)
      .Status;
}

void PlatformCluster::kill(const std::string &Name) {
  ::kill(this->Running.at(Name), SIGKILL);
  this->wait(Name);
}

std::size_t PlatformCluster::residentBytes(const std::string &Name) const {
  std::ifstream File(fmt::format("/proc/{}/statm", this->Running.at(Name)));
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  if (!(File >> TotalPages >> ResidentPages))
    return 0;
  return ResidentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void PlatformCluster::signal(const std::string &Name, int Number) {
  ::kill(this->Running.at(Name), Number);
}

int PlatformCluster::wait(const std::string &Name) {
  int Status = 0;
  ::waitpid(this->Running.at(Name), &Status, 0);
  this->Running.erase(Name);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128;
}

std::optional<int> PlatformCluster::tryWait(const std::string &Name) {
  int Status = 0;
  if (::waitpid(this->Running.at(Name), &Status, WNOHANG) == 0)
    return std::nullopt;
  this->Running.erase(Name);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

bool PlatformCluster::handles(const std::string &Name, int Number) const {
  std::ifstream File(fmt::format("/proc/{}/status", this->Running.at(Name)));
  std::uint64_t Handled = 0;
  std::string Line;
  while (std::getline(File, Line))
    if (Line.starts_with("SigBlk:") || Line.starts_with("SigCgt:"))
      Handled |= std::stoull(Line.substr(7), nullptr, 16);
  return (Handled >> (Number - 1) & 1) != 0;
}

std::string PlatformCluster::log(const std::string &Name) const {
  std::ifstream File(fmt::format("{}/{}.log", this->Folder, Name));
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

int PlatformCluster::count(const std::string &Name,
                           const std::string &Decision) const {
  std::string Text = this->log(Name);
  std::string Line = fmt::format("\"decision\":\"{}\"", Decision);
  int Found = 0;
  for (std::size_t At = Text.find(Line); At != std::string::npos;
       At = Text.find(Line, At + 1))
    ++Found;
  return Found;
}

} // namespace yardwheel
