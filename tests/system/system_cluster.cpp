#include "tests/system/system_cluster.h"

#include "core/error.h"
#include "http/json.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace yardwheel {

namespace {

constexpr std::chrono::seconds WaitLimit{30};
constexpr std::chrono::milliseconds PollPause{20};
const std::string BuildFolder = YARDWHEEL_BUILD_FOLDER;

std::vector<char *> pointersTo(std::vector<std::string> &Words) {
  std::vector<char *> Pointers;
  Pointers.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  return Pointers;
}

/// Starts a program whose standard output and error go to \p Output.
pid_t spawn(std::vector<std::string> Words, int Output) {
  std::vector<char *> Pointers = pointersTo(Words);
  pid_t Child = ::fork();
  if (Child != 0)
    return Child;
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execv(Pointers[0], Pointers.data());
  ::_exit(127);
}

int exitCode(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

} // namespace

bool waitFor(const std::function<bool()> &Done) {
  auto End = std::chrono::steady_clock::now() + WaitLimit;
  while (std::chrono::steady_clock::now() < End) {
    if (Done())
      return true;
    std::this_thread::sleep_for(PollPause);
  }
  return Done();
}

int freePort() {
  // Ports below the ephemeral range (from 32768 on). With ephemeral ports, two
  // of 40 concurrent runs failed because another process had taken a port.
  constexpr int First = 12000;
  constexpr int Count = 20000;
  constexpr int PerProcess = 61;
  static int Next = ::getpid() * PerProcess % Count;
  while (true) {
    int Port = First + Next;
    Next = (Next + 1) % Count;
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    int Taken =
        ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    ::close(Socket);
    if (Taken == 0)
      return Port;
  }
}

SystemCluster::SystemCluster(SystemOptions Options) : Options(Options) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "ywsysXXXXXX").string();
  this->Folder = ::mkdtemp(Pattern.data());
  this->writeSettings();
}

SystemCluster::~SystemCluster() {
  for (const auto &[Name, Process] : this->Running) {
    ::kill(Process, SIGCONT);
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  std::filesystem::remove_all(this->Folder);
}

std::string SystemCluster::commonSettings(const std::string &Name,
                                          const std::string &Role) const {
  std::string Text = fmt::format(
      "cluster: test\nnode: {0}\nrole: {1}\nlisten: {2}\ndata_centre: z{0}\n"
      "heartbeat: 200\nclock_allowance: 200\ncontrols:\n",
      Name, Role, this->Link.at(Name));
  for (int I = 1; I <= this->Options.Controls; ++I) {
    std::string Replica = fmt::format("c{}", I);
    Text +=
        fmt::format("  - {{name: {}, address: {}, http_address: {}}}\n",
                    Replica, this->Link.at(Replica), this->Http.at(Replica));
  }
  return Text;
}

void SystemCluster::writeSettings() {
  std::vector<std::pair<std::string, std::string>> Nodes;
  for (int I = 1; I <= this->Options.Controls; ++I)
    Nodes.emplace_back(fmt::format("c{}", I), "control");
  for (int I = 1; I <= this->Options.Agents; ++I)
    Nodes.emplace_back(fmt::format("a{}", I), "agent");
  for (int I = 1; I <= this->Options.Entries; ++I)
    Nodes.emplace_back(fmt::format("e{}", I), "entry");
  for (const auto &[Name, Role] : Nodes) {
    this->Link[Name] = fmt::format("127.0.0.1:{}", freePort());
    this->Http[Name] = fmt::format("127.0.0.1:{}", freePort());
  }
  for (const auto &[Name, Role] : Nodes) {
    std::ofstream File(this->settingsOf(Name));
    File << this->commonSettings(Name, Role);
    if (Role == "control")
      File << fmt::format("control:\n  data_dir: {}/{}\n  http_listen: {}\n"
                          "  lease: 1000\n  proposal_timeout: 3000\n",
                          this->Folder, Name, this->Http.at(Name));
    else if (Role == "agent")
      File << fmt::format("agent:\n  minion_url: http://{}/run\n  pool: bids\n"
                          "  slots: {}\n",
                          this->Http.at(Name), this->Options.Slots);
    else
      File << fmt::format("entry:\n  http_listen: {}\n"
                          "  header_timeout: 4000\n  wait_timeout: 3000\n  "
                          "max_body_bytes: 200000\n",
                          this->Http.at(Name));
  }
}

pid_t SystemCluster::launch(const std::string &Name,
                            const std::vector<std::string> &Words) {
  std::string LogPath = fmt::format("{}/{}.log", this->Folder, Name);
  int Log =
      ::open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t Process = spawn(Words, Log);
  ::close(Log);
  this->Running[Name] = Process;
  return Process;
}

void SystemCluster::startNode(const std::string &Name) {
  this->launch(Name, {BuildFolder + "/main/yardwheeld", "--settings",
                      this->settingsOf(Name)});
}

void SystemCluster::start() {
  for (int I = 1; I <= this->Options.Controls; ++I) {
    std::string Name = fmt::format("c{}", I);
    this->runProgram({BuildFolder + "/main/yardwheeld", "--settings",
                      this->settingsOf(Name), "--init"});
    this->startNode(Name);
  }
  for (int I = 1; I <= this->Options.Agents; ++I) {
    std::string Name = fmt::format("a{}", I);
    this->launch(fmt::format("m{}", I),
                 {BuildFolder + "/emulator/yardwheel-fake-upstream", "--name",
                  Name, "--listen", this->Http.at(Name), "--start_log",
                  this->Folder + "/starts.log"});
    this->startNode(Name);
  }
  for (int I = 1; I <= this->Options.Entries; ++I)
    this->startNode(fmt::format("e{}", I));
  std::string Template = this->Folder + "/template.yaml";
  std::ofstream(Template) << "name: t\nparameters:\n  max_deadline: 20000\n";
  if (this->ctl({"template", "apply", Template}).Code != 0 ||
      this->ctl({"workspace", "create", "bids", "--template", "t"}).Code != 0)
    throw Error("system test", this->Folder, "cannot create the workspace");
  for (int I = 1; I <= this->Options.Entries; ++I) {
    std::string Entry = fmt::format("e{}", I);
    bool Serves = waitFor([&] {
      return this->submit(Entry, R"({"tasks":[{"payload":"sleep=1 x"}]})")
                 .Status == 200;
    });
    if (!Serves)
      throw Error("system test", Entry, "does not serve");
  }
}

void SystemCluster::signal(const std::string &Name, int Signal) {
  ::kill(this->Running.at(Name), Signal);
}

void SystemCluster::killNode(const std::string &Name) {
  this->signal(Name, SIGKILL);
  this->waitForEnd(Name);
}

int SystemCluster::waitForEnd(const std::string &Name) {
  pid_t Process = this->Running.at(Name);
  int Status = 0;
  bool Ended =
      waitFor([&] { return ::waitpid(Process, &Status, WNOHANG) == Process; });
  if (!Ended)
    return -1;
  this->Running.erase(Name);
  return exitCode(Status);
}

HttpResult SystemCluster::call(const std::string &Method,
                               const std::string &Url,
                               const std::string &Body) {
  // Each call uses a new connection, so that the state of one connection cannot
  // affect the response to the next call.
  HttpClient Client(std::chrono::milliseconds(30000));
  return Client.call(Method, Url, Body);
}

HttpResult SystemCluster::submit(const std::string &Entry,
                                 const std::string &Body) {
  return this->call(
      "POST",
      fmt::format("http://{}/v1/workspaces/bids/jobs", this->Http.at(Entry)),
      Body);
}

ProgramResult SystemCluster::runProgram(const std::vector<std::string> &Words) {
  int Pipe[2];
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    throw Error("system test", Words[0], "cannot make a pipe");
  pid_t Process = spawn(Words, Pipe[1]);
  ::close(Pipe[1]);
  ProgramResult End;
  char Buffer[4096];
  ssize_t Count = 0;
  while ((Count = ::read(Pipe[0], Buffer, sizeof(Buffer))) > 0)
    End.Output.append(Buffer, static_cast<std::size_t>(Count));
  ::close(Pipe[0]);
  int Status = 0;
  ::waitpid(Process, &Status, 0);
  End.Code = exitCode(Status);
  return End;
}

ProgramResult SystemCluster::ctl(const std::vector<std::string> &Words) {
  std::string Controls;
  std::string Entries;
  for (const auto &[Name, Address] : this->Http) {
    if (Name[0] == 'c')
      Controls += (Controls.empty() ? "" : ",") + Address;
    if (Name[0] == 'e')
      Entries += (Entries.empty() ? "" : ",") + Address;
  }
  std::vector<std::string> All = {BuildFolder + "/tool/yardwheelctl",
                                  "--control", Controls, "--entry", Entries};
  All.insert(All.end(), Words.begin(), Words.end());
  return this->runProgram(All);
}

std::string SystemCluster::leader() {
  for (int I = 1; I <= this->Options.Controls; ++I) {
    std::string Name = fmt::format("c{}", I);
    if (!this->Running.contains(Name))
      continue;
    api::StatusDocument Status;
    HttpResult Answer = this->call(
        "GET", fmt::format("http://{}/v1/status", this->Http.at(Name)));
    if (Answer.Status == 200 && fromJson(Answer.Body, Status).empty() &&
        Status.role() == "leader")
      return Name;
  }
  return "";
}

std::map<std::string, int> SystemCluster::starts() const {
  std::map<std::string, int> Result;
  std::ifstream File(this->Folder + "/starts.log");
  std::string Job;
  std::string Task;
  std::string Upstream;
  while (File >> Job >> Task >> Upstream)
    ++Result[fmt::format("{} {}", Job, Task)];
  return Result;
}

int SystemCluster::doubleStarts() const {
  int Total = 0;
  for (const auto &[Task, Count] : this->starts())
    Total += Count > 1 ? 1 : 0;
  return Total;
}

} // namespace yardwheel
