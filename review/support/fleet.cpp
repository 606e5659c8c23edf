#include "review/support/fleet.h"

#include "review/support/http_call.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace yardwheel::review {

using nlohmann::json;

namespace {

/// Bounds of the settings, as in the example of the platform's pages.
constexpr std::chrono::seconds Grace{6};
constexpr int PortsPerMachine = 26;
constexpr int LowestPort = 18200;
constexpr int HighestPort = 26000;

bool isFree(const std::string &Ip, int Number) {
  int Probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Number));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  bool Free = ::bind(Probe, reinterpret_cast<sockaddr *>(&Address),
                     sizeof Address) == 0;
  ::close(Probe);
  return Free;
}

/// Reads the command of each role from the deploy file, by class of machine.
std::map<std::string, std::vector<std::string>> readCommands() {
  std::map<std::string, std::vector<std::string>> Commands;
  std::ifstream File("deploy/system.toml");
  std::vector<std::string> Words;
  for (std::string Line; std::getline(File, Line);) {
    std::size_t From = Line.find('"');
    std::size_t End = Line.rfind('"');
    if (From == std::string::npos || End == From)
      continue;
    std::string Value = Line.substr(From + 1, End - From - 1);
    if (Line.starts_with("run = ")) {
      Words.clear();
      std::istringstream Text(Value);
      for (std::string Word; Text >> Word;)
        Words.push_back(Word);
    } else if (Line.starts_with("on = ")) {
      Commands[Value] = Words;
    }
  }
  return Commands;
}

const char *serviceOf(const std::string &Class) {
  return Class == "core" ? "control" : Class.c_str();
}

} // namespace

Fleet::Fleet(Record &Seen) : Seen(Seen), Commands(readCommands()) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "reviewXXXXXX").string();
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  this->Folder = Pattern;
  int Process = ::getpid();
  // Concurrent runs use other addresses.
  this->Net = fmt::format("127.{}.{}", 30 + Process % 60, Process / 60 % 250);
  int First = LowestPort;
  auto Taken = [&](int Number) {
    return !isFree(fmt::format("{}.{}", this->Net, 1), Number);
  };
  while (First < HighestPort && (Taken(First + 1) || Taken(First + 10)))
    First += PortsPerMachine;
  this->FirstPort = First;
}

Fleet::~Fleet() {
  for (const auto &[Name, Process] : this->Running) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(this->Folder, Ignored);
}

std::string Fleet::address(int Host, Port Service) const {
  return fmt::format("{}.{}:{}", this->Net, Host,
                     this->FirstPort + static_cast<int>(Service));
}

std::string Fleet::settings(const MachineOptions &Machine) const {
  json Seeds = json::array();
  for (int Seed : Machine.Seeds)
    Seeds.push_back(this->address(Seed, Port::Control));
  bool HasDisk = Machine.Class == "core";
  json Listen;
  if (Machine.Class == "front")
    Listen = {{"front", this->address(Machine.Host, Port::Front)},
              {"ready", this->address(Machine.Host, Port::Ready)}};
  else
    Listen = {{"control", this->address(Machine.Host, Port::Control)}};
  int Links = this->FirstPort + static_cast<int>(Port::Links);
  json Settings = {
      {"nodeId", Machine.Name},
      {"role", Machine.Class},
      {"machineClass", Machine.Class},
      {"serves", {serviceOf(Machine.Class)}},
      {"ip", fmt::format("{}.{}", this->Net, Machine.Host)},
      {"zone", Machine.Zone},
      {"region", "zagreb"},
      {"zones",
       {{"hall-a", "zagreb"}, {"hall-b", "zagreb"}, {"hall-c", "zagreb"}}},
      {"listen", Listen},
      {"portRange", {Links, Links + 15}},
      {"seeds", Seeds},
      {"bootstrap", Machine.Bootstrap},
      {"countsAsLoss", HasDisk},
      {"limits",
       {{"cpuShare", 0.5}, {"cores", 1}, {"memoryMb", 256}, {"maxFds", 4096}}},
      {"dataDir", nullptr},
      {"discovery", "local"},
      {"entry", "vip"},
      {"heartbeatMs", 1500},
      {"contracts", {"base", "drain", "config", "cost", "recover", "sched"}},
      {"faultTolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"seedLagS", 3},
        {"reuseAfterS", 2},
        {"contactMs", 3000},
        {"ackMs", 4000},
        {"catchUpS", 4},
        {"drainMs", 2000},
        {"graceS", Grace.count()},
        {"lossSlackMs", 200},
        {"configApplyMs", 2000},
        {"rollbackSlackMs", 250},
        {"maxSkewMs", 5000},
        {"recoveryS", 12},
        {"maxHoldMs", 1000},
        {"stopMs", 50},
        {"cancel_ms", 3000},
        {"visible_ms", 3000},
        {"status_s", 120},
        {"remoteFactor", 1.5},
        {"retransmitMs", 1300}}},
      {"config_mode", "highest"},
      {"orders", "call"}};
  if (HasDisk)
    Settings["dataDir"] = fmt::format("{}/disk-{}", this->Folder, Machine.Name);
  return Settings.dump(1);
}

void Fleet::start(const MachineOptions &Machine) {
  const std::vector<std::string> &Words = this->Commands.at(Machine.Class);
  if (Machine.Class == "core")
    std::filesystem::create_directories(
        fmt::format("{}/disk-{}", this->Folder, Machine.Name));
  std::string Path = fmt::format("{}/{}.json", this->Folder, Machine.Name);
  std::ofstream(Path) << this->settings(Machine);
  std::string Log = fmt::format("{}/{}.log", this->Folder, Machine.Name);
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (const std::string &Word : Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  std::string Variable = fmt::format("YARDWHEEL_SETTINGS={}", Path);
  std::vector<char *> Variables = {Variable.data(), nullptr};
  pid_t Child = ::fork();
  if (Child == 0) {
    int File = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(File, STDOUT_FILENO);
    ::dup2(File, STDERR_FILENO);
    // Ended with this process.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(Arguments[0], Arguments.data(), Variables.data());
    ::_exit(127);
  }
  this->Running[Machine.Name] = Child;
  this->Seen.add(fmt::format("machine {} started, bootstrap {}", Machine.Name,
                             Machine.Bootstrap));
}

void Fleet::kill(const std::string &Name) {
  pid_t Process = this->Running.at(Name);
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  this->Running.erase(Name);
  this->Seen.add(fmt::format("machine {} killed", Name));
}

void Fleet::terminate(const std::string &Name) {
  pid_t Process = this->Running.at(Name);
  this->Seen.add(fmt::format("machine {} gets SIGTERM", Name));
  ::kill(Process, SIGTERM);
  auto Until = SteadyClock::now() + Grace;
  while (::waitpid(Process, nullptr, WNOHANG) == 0) {
    if (SteadyClock::now() >= Until) {
      this->kill(Name);
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  this->Running.erase(Name);
  this->Seen.add(fmt::format("machine {} has ended", Name));
}

void Fleet::wipeDisk(const std::string &Name) {
  std::filesystem::remove_all(fmt::format("{}/disk-{}", this->Folder, Name));
  this->Seen.add(fmt::format("machine {} has lost its disk", Name));
}

std::string describeConfig(int Version) {
  json Route = {{"name", "r-73hh2b9"},
                {"host", RouteHost},
                {"pathPrefix", RoutePrefix},
                {"kind", "unsafe"},
                {"timeoutMs", 1500},
                {"sloMs", 60},
                {"priority", 1},
                {"service", ServiceName},
                {"maxAttempts", 3},
                {"stretch", 1.6}};
  json Service = {{"name", ServiceName}, {"healthPath", "/health"},
                  {"maxConns", 64},      {"protocol", "h1"},
                  {"tls", false},        {"admissionCheck", true},
                  {"standby", false}};
  json Limits = {{"maxHeaderBytes", 16384},
                 {"maxBodyBytes", 262144},
                 {"headerTimeoutMs", 3000},
                 {"idleTimeoutMs", 15000}};
  return json{{"version", Version},
              {"routes", {Route}},
              {"services", {Service}},
              {"limits", Limits}}
      .dump();
}

int replaceConfig(const Fleet &Machines, const std::vector<int> &Hosts,
                  int Version, std::chrono::milliseconds Timeout,
                  Record &Seen) {
  auto Until = SteadyClock::now() + Timeout;
  while (SteadyClock::now() < Until) {
    for (int Host : Hosts) {
      Response Answer = callHttp(Machines.address(Host, Port::Control), "POST",
                                 "/config/replace", describeConfig(Version),
                                 std::chrono::seconds(1));
      Seen.add(fmt::format("configuration {} sent to core{}: {}", Version, Host,
                           Answer.Status));
      if (Answer.Status == 200)
        return Host;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
  }
  return 0;
}

bool awaitService(const Fleet &Machines, int Front, Record &Seen) {
  constexpr int MaxJobs = 40;
  for (int I = 0; I < MaxJobs; ++I) {
    std::string Id = fmt::format("{:08x}{:08x}", Front, I);
    Response Answer =
        callHttp(Machines.address(Front, Port::Front), "POST", RoutePrefix + Id,
                 describeJob(1, std::chrono::milliseconds(60), 1600),
                 std::chrono::seconds(2),
                 {{"Host", RouteHost}, {"X-Yardwheel-Deadline-Ms", "1500"}});
    Seen.add(
        fmt::format("first job {} at front{}: {}", Id, Front, Answer.Status));
    if (Answer.Status == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  return false;
}

std::string describeJob(int Tasks, std::chrono::milliseconds Duration,
                        int CpuMilli, const std::string &RequiredLabel) {
  json Phase = {{"count", Tasks},
                {"cpu", CpuMilli},
                {"memMb", 64},
                {"estMs", Duration.count()}};
  if (!RequiredLabel.empty())
    Phase["requiredLabel"] = RequiredLabel;
  return json{{"spec", fmt::format("{} {}", Duration.count(), CpuMilli)},
              {"bestEffort", true},
              {"phases", {Phase}}}
      .dump();
}

} // namespace yardwheel::review
