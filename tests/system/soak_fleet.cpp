#include "tests/system/soak_fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/wait.h>
#include <thread>

namespace yardwheel {

using nlohmann::json;

namespace {

using std::chrono::milliseconds;

/// From SIGTERM until a process is killed, as the platform does.
constexpr milliseconds Grace{6000};
/// In the last sixth of the grace a process may cut requests that were sent
/// soon after SIGTERM and are still at work.
constexpr milliseconds CutAfter = Grace * 5 / 6;
constexpr milliseconds TakenWithin{3000};
constexpr milliseconds StepEvery{5};
/// How long a process that runs slowly runs and stands still, by turns.
constexpr milliseconds SlowRuns{20};
constexpr milliseconds SlowStands{200};
constexpr milliseconds MeasureEvery{100};
/// Ports by what they serve, after the cluster's first.
constexpr int CallerOffset = 1;
constexpr int OperatorOffset = 3;
constexpr int WorkerOffset = 5;
constexpr int LinkOffset = 10;

int portOf(const std::string &Address) {
  return std::stoi(Address.substr(Address.rfind(':') + 1));
}

} // namespace

SoakFleet::SoakFleet(const SoakOptions &Options)
    : Options(Options), Findings(Options.Seed, this->Cluster.folder()),
      Random(Options.Seed) {
  this->addNodes("core", "control", SoakFirstControl,
                 Options.Controls + Options.SpareControls);
  for (int I = 0; I < Options.SpareControls; ++I)
    this->Nodes.at(SoakFirstControl + Options.Controls + I).Present = false;
  this->addNodes("front", "front", SoakFirstEntry, Options.Entries);
  this->addNodes("side", "side", SoakFirstAgent, Options.Agents);
}

void SoakFleet::addNodes(const char *Prefix, const char *Serves, int First,
                         int Count) {
  for (int I = 0; I < Count; ++I) {
    int Host = First + I;
    Node New;
    New.Name = fmt::format("{}{}", Prefix, I + 1);
    New.Serves = Serves;
    this->Nodes[Host] = New;
    std::string Ip = this->Cluster.ip(Host);
    this->Links[Host] =
        std::make_unique<SoakLink>(Ip.substr(0, Ip.rfind('.')), Host,
                                   portOf(this->Cluster.at(Host, LinkOffset)));
  }
}

std::vector<int> SoakFleet::controlHosts() const {
  std::vector<int> Hosts;
  for (const auto &[Host, Known] : this->Nodes)
    if (Host >= SoakFirstControl && Known.Present && !Known.Retires)
      Hosts.push_back(Host);
  return Hosts;
}

std::vector<std::size_t> SoakFleet::presentControls() const {
  std::vector<std::size_t> Numbers;
  for (int Host : this->controlHosts())
    Numbers.push_back(static_cast<std::size_t>(Host - SoakFirstControl));
  return Numbers;
}

std::string SoakFleet::settings(int Host) {
  const Node &Target = this->Nodes.at(Host);
  json Body = this->Cluster.settings(Target.Name, Host, Target.Serves);
  bool Control = Host >= SoakFirstControl;
  std::vector<std::string> Seeds;
  std::vector<int> Known = this->controlHosts();
  Known.resize(
      std::min(Known.size(), static_cast<std::size_t>(this->Options.Controls)));
  // Replicas are known by the addresses of the seeds, so control's own are not
  // those of proxies.
  Seeds.reserve(Known.size());
  for (int Replica : Known)
    Seeds.push_back(this->Cluster.at(Replica + (Control ? 0 : SoakProxyOffset),
                                     OperatorOffset));
  if (this->Bootstrapped)
    std::shuffle(Seeds.begin(), Seeds.end(), this->Random);
  Body["seeds"] = Seeds;
  Body["bootstrap"] = !this->Bootstrapped;
  if (this->Options.ControlStorm)
    Body["faultTolerance"]["machines"] = SoakWipedAtOnce;
  std::filesystem::create_directories(Body["dataDir"].get<std::string>());
  return Body.dump();
}

std::vector<std::string> SoakFleet::flags(int Host) const {
  bool IsEntry = Host < SoakFirstAgent;
  bool IsControl = Host >= SoakFirstControl;
  int First = IsControl ? SoakFirstControl : SoakFirstAgent;
  int Index = Host - (IsEntry ? SoakFirstEntry : First);
  // The others have these parts switched off, like an older build.
  if (!this->Options.Delegation || !isDelegating(Index))
    return {};
  if (IsControl)
    return {"--two_way_links"};
  if (IsEntry)
    return {"--two_way_links",
            "--first_contacts",
            "2",
            "--delegates",
            "2",
            "--delegate_at",
            "0"};
  return {"--two_way_links", "--first_contacts", "2", "--coordinates"};
}

int SoakFleet::countAtEntries(const std::string &Decision) const {
  int Count = 0;
  for (int I = 0; I < this->Options.Entries; ++I)
    Count +=
        this->Cluster.count(this->Nodes.at(SoakFirstEntry + I).Name, Decision);
  return Count;
}

void SoakFleet::start(int Host) {
  Node &Known = this->Nodes.at(Host);
  this->Cluster.launch(Known.Name, this->settings(Host), this->flags(Host));
  Known.Up = true;
  Known.Terminating = false;
  this->Findings.note("started " + Known.Name);
}

void SoakFleet::startWorker(int Host) {
  // Its successor listens at the same address.
  this->Cluster.Workers.erase(Host);
  PlatformWorkerOptions Worker;
  Worker.Id = fmt::format("i-{}-{}", Host, ++this->Lives);
  Worker.Listen = this->Cluster.at(Host, WorkerOffset);
  Worker.Agent = this->Cluster.at(Host, OperatorOffset);
  Worker.AnnouncesBorn = !this->Options.Delegation;
  // Drawn only where it counts, so that plans of old seeds stay as they are.
  if (this->Options.Replacements)
    Worker.Kind =
        std::uniform_int_distribution<int>(0, 1)(this->Random) == 0 ? "a" : "b";
  this->Cluster.Workers[Host] =
      std::make_unique<PlatformWorker>(Worker, this->Cluster.Recorder);
}

void SoakFleet::startAll() {
  for (const auto &[Host, Known] : this->Nodes)
    if (Known.Present)
      this->start(Host);
  for (int I = 0; I < this->Options.Agents; ++I)
    this->startWorker(SoakFirstAgent + I);
  this->Bootstrapped = true;
}

void SoakFleet::kill(int Host) {
  Node &Known = this->Nodes.at(Host);
  {
    std::lock_guard Lock(this->Mutex);
    this->Kills[Host].push_back(Clock::now());
  }
  this->Cluster.kill(Known.Name);
  Known.Up = false;
  Known.Frozen = false;
  Known.StartAt = Clock::now() + Known.Pause;
  this->Findings.note("killed " + Known.Name);
}

void SoakFleet::terminate(int Host) {
  Node &Known = this->Nodes.at(Host);
  Known.Terminating = true;
  Known.KillAt = Clock::now() + Grace;
  {
    std::lock_guard Lock(this->Mutex);
    this->Terminations[Host].push_back(Clock::now());
  }
  this->Cluster.signal(Known.Name, SIGTERM);
}

void SoakFleet::losePower(milliseconds For) {
  for (int Host : this->controlHosts()) {
    Node &Known = this->Nodes.at(Host);
    Known.Pause = For;
    if (Known.Up)
      this->kill(Host);
  }
}

void SoakFleet::freeze(int Host, milliseconds For) {
  Node &Known = this->Nodes.at(Host);
  Known.Frozen = true;
  Known.WakeAt = Clock::now() + For;
  this->Cluster.signal(Known.Name, SIGSTOP);
}

void SoakFleet::wipe(int Host) {
  Node &Known = this->Nodes.at(Host);
  if (Known.Up)
    this->kill(Host);
  json Body = json::parse(this->settings(Host));
  std::filesystem::remove_all(Body["dataDir"].get<std::string>());
}

void SoakFleet::stepSlow(int Host, Clock::time_point Now) {
  Node &Known = this->Nodes.at(Host);
  if (!Known.Up || Known.Frozen || Now < Known.NextTurn ||
      Now >= Known.SlowUntil)
    return;
  this->freeze(Host, SlowStands);
  Known.NextTurn = Known.WakeAt + SlowRuns;
}

void SoakFleet::measureMemory(Clock::time_point Now) {
  if (!this->Options.ControlStorm || Now < this->NextMeasurement)
    return;
  this->NextMeasurement = Now + MeasureEvery;
  for (int I = 0; I < this->Options.Controls; ++I) {
    const Node &Known = this->Nodes.at(SoakFirstControl + I);
    if (Known.Up)
      this->PeakControlMemory = std::max(
          this->PeakControlMemory, this->Cluster.residentBytes(Known.Name));
  }
}

void SoakFleet::wake(int Host) {
  Node &Known = this->Nodes.at(Host);
  Known.Frozen = false;
  this->Cluster.signal(Known.Name, SIGCONT);
  this->Findings.note("woke " + Known.Name);
}

void SoakFleet::replaceSettings(int Host, const std::string &Text) {
  // At once: a process that starts meanwhile must not find half of a file.
  const std::string &Name = this->Nodes.at(Host).Name;
  this->Cluster.rewrite(Name + "-next", Text);
  std::string Path = fmt::format("{}/{}", this->Cluster.folder(), Name);
  std::filesystem::rename(Path + "-next.json", Path + ".json");
}

void SoakFleet::changeSettings(int Host, bool Good) {
  Node &Known = this->Nodes.at(Host);
  // Before a process has read its settings, bad ones rightly end it, as the
  // signal does.
  if (!this->Cluster.handles(Known.Name, SIGHUP))
    return;
  this->replaceSettings(Host, Good ? this->settings(Host) : "{");
  bool Told = std::uniform_int_distribution<int>(0, 1)(this->Random) == 0;
  if (Told)
    this->Cluster.signal(Known.Name, SIGHUP);
}

void SoakFleet::applyToLink(const SoakFault &Fault) {
  LinkFault Given;
  Given.From = Fault.From;
  Given.Back = Fault.Back;
  Given.Delay = Fault.Delay;
  Given.Until = Clock::now() + Fault.For;
  switch (Fault.Kind) {
  case SoakFaultKind::LinkDelay:
    Given.Kind = LinkFaultKind::Delay;
    break;
  case SoakFaultKind::LinkHold:
    Given.Kind = LinkFaultKind::Hold;
    break;
  case SoakFaultKind::LinkSilence:
    Given.Kind = LinkFaultKind::Silence;
    break;
  default:
    Given.Kind = LinkFaultKind::Reset;
  }
  this->Links.at(Fault.Host)->apply(Given);
}

void SoakFleet::applyToWorker(const SoakFault &Fault) {
  if (Fault.Kind == SoakFaultKind::WorkerCrash) {
    this->startWorker(Fault.Host);
    return;
  }
  if (Fault.Kind == SoakFaultKind::WorkerChange) {
    this->Cluster.Workers.erase(Fault.Host);
    this->LateStartsUntil.erase(Fault.Host);
    this->WorkerStarts[Fault.Host] = Clock::now() + Fault.For;
    return;
  }
  if (!this->Cluster.Workers.contains(Fault.Host))
    return;
  if (Fault.Kind == SoakFaultKind::WorkerRestart) {
    this->Cluster.Workers.at(Fault.Host)->restart(Fault.For);
    return;
  }
  this->Cluster.Workers.at(Fault.Host)->delayStarts(Fault.Delay);
  this->LateStartsUntil[Fault.Host] = Clock::now() + Fault.For;
}

void SoakFleet::apply(const SoakFault &Fault) {
  this->Findings.note("fault at " + describe(Fault));
  Node &Known = this->Nodes.at(Fault.Host);
  switch (Fault.Kind) {
  case SoakFaultKind::Kill:
    Known.Pause = Fault.For;
    if (Known.Up)
      this->kill(Fault.Host);
    break;
  case SoakFaultKind::Freeze:
    if (Known.Up)
      this->freeze(Fault.Host, Fault.For);
    break;
  case SoakFaultKind::Wipe:
    Known.Pause = Fault.For;
    this->wipe(Fault.Host);
    break;
  case SoakFaultKind::Slow:
    Known.SlowUntil = Clock::now() + Fault.For;
    break;
  case SoakFaultKind::Terminate:
    Known.Pause = Fault.For;
    if (Known.Up && !Known.Terminating)
      this->terminate(Fault.Host);
    break;
  case SoakFaultKind::Join:
    Known.Present = true;
    Known.StartAt = Clock::now();
    break;
  case SoakFaultKind::Retire:
  case SoakFaultKind::Vanish:
    // One that is lost at the time is not replaced.
    if (!Known.Up || Known.Frozen || Known.Terminating)
      break;
    Known.Retires = true;
    if (Fault.Kind == SoakFaultKind::Retire)
      this->terminate(Fault.Host);
    else
      this->kill(Fault.Host);
    break;
  case SoakFaultKind::PowerLoss:
    this->losePower(Fault.For);
    break;
  case SoakFaultKind::Settings:
  case SoakFaultKind::BadSettings:
    if (Known.Up)
      this->changeSettings(Fault.Host, Fault.Kind == SoakFaultKind::Settings);
    break;
  case SoakFaultKind::WorkerCrash:
  case SoakFaultKind::WorkerChange:
  case SoakFaultKind::WorkerRestart:
  case SoakFaultKind::LateStarts:
    this->applyToWorker(Fault);
    break;
  default:
    this->applyToLink(Fault);
  }
}

void SoakFleet::onEnded(int Host, int Status, Clock::time_point Now) {
  Node &Known = this->Nodes.at(Host);
  Known.Up = false;
  Known.Frozen = false;
  Known.StartAt = Now + Known.Pause;
  this->Findings.note(fmt::format("{} ended with {}", Known.Name, Status));
  // A process that was told to end before it could answer has no say yet.
  if (!Known.Terminating || (Status != 0 && Status != 128 + SIGTERM))
    this->Findings.add(
        fmt::format("{} ended by itself with {}", Known.Name, Status));
}

void SoakFleet::stepNode(int Host, Clock::time_point Now) {
  Node &Known = this->Nodes.at(Host);
  if (Known.Frozen && Now >= Known.WakeAt)
    this->wake(Host);
  if (!Known.Up) {
    Known.Present = Known.Present && !Known.Retires;
    if (Known.Present && Now >= Known.StartAt)
      this->start(Host);
    return;
  }
  if (std::optional<int> Status = this->Cluster.tryWait(Known.Name))
    this->onEnded(Host, *Status, Now);
  else if (Known.Terminating && Now >= Known.KillAt)
    this->kill(Host);
}

void SoakFleet::stepWorkers(Clock::time_point Now) {
  std::erase_if(this->WorkerStarts, [&](const auto &Start) {
    if (Now < Start.second)
      return false;
    this->startWorker(Start.first);
    return true;
  });
}

void SoakFleet::step() {
  auto Now = Clock::now();
  for (const auto &[Host, Known] : this->Nodes) {
    this->stepNode(Host, Now);
    this->stepSlow(Host, Now);
  }
  this->measureMemory(Now);
  this->stepWorkers(Now);
  std::erase_if(this->LateStartsUntil, [&](const auto &Late) {
    if (Now < Late.second)
      return false;
    this->Cluster.Workers.at(Late.first)->delayStarts(milliseconds(0));
    return true;
  });
  std::this_thread::sleep_for(StepEvery);
}

void SoakFleet::heal() {
  this->Findings.note("the faults end");
  auto Now = Clock::now();
  for (const auto &[Host, Link] : this->Links)
    Link->heal();
  for (auto &[Host, Late] : this->LateStartsUntil)
    Late = Now;
  for (auto &[Host, Known] : this->Nodes) {
    Known.WakeAt = Now;
    Known.SlowUntil = Now;
    Known.Pause = milliseconds(0);
    Known.StartAt = Now;
  }
  for (auto &[Host, StartAt] : this->WorkerStarts)
    StartAt = Now;
  auto Settled = [](const auto &Item) {
    const Node &Known = Item.second;
    return Known.Present ? Known.Up && !Known.Terminating : !Known.Up;
  };
  do
    this->step();
  while (!std::all_of(this->Nodes.begin(), this->Nodes.end(), Settled));
  for (const auto &[Host, Known] : this->Nodes)
    if (Known.Present)
      this->replaceSettings(Host, this->settings(Host));
}

void SoakFleet::keepLogs(const std::vector<SoakFault> &Plan) {
  this->Cluster.KeepFolder = true;
  std::ofstream File(this->Cluster.folder() + "/plan.txt");
  for (const SoakFault &Fault : Plan)
    File << describe(Fault) << "\n";
}

bool SoakFleet::mayCut(int Host, Clock::time_point SentAt,
                       Clock::time_point CutAt) const {
  std::lock_guard Lock(this->Mutex);
  auto Killed = [&](auto At) { return At >= SentAt && At <= CutAt; };
  auto Last = [&](auto At) {
    return SentAt <= At + TakenWithin && CutAt >= At + CutAfter;
  };
  auto Kill = this->Kills.find(Host);
  auto End = this->Terminations.find(Host);
  return (Kill != this->Kills.end() &&
          std::any_of(Kill->second.begin(), Kill->second.end(), Killed)) ||
         (End != this->Terminations.end() &&
          std::any_of(End->second.begin(), End->second.end(), Last));
}

std::vector<std::string> SoakFleet::callerAddresses() const {
  std::vector<std::string> Addresses;
  Addresses.reserve(static_cast<std::size_t>(this->Options.Entries));
  for (int I = 0; I < this->Options.Entries; ++I)
    Addresses.push_back(this->Cluster.at(SoakFirstEntry + I, CallerOffset));
  return Addresses;
}

std::vector<std::string> SoakFleet::operatorAddresses() const {
  std::vector<std::string> Addresses;
  int Count = this->Options.Controls + this->Options.SpareControls;
  Addresses.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Addresses.push_back(this->Cluster.at(SoakFirstControl + I, OperatorOffset));
  return Addresses;
}

int SoakFleet::proxied() const {
  int Count = 0;
  for (const auto &[Host, Link] : this->Links)
    Count += Link->recognized();
  return Count;
}

} // namespace yardwheel
