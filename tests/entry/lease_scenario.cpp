#include "tests/entry/lease_scenario.h"

#include <algorithm>
#include <fmt/format.h>

using namespace std::chrono_literals;

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds FaultPeriod{9000};
constexpr std::chrono::milliseconds RecoveryPeriod{28000};
constexpr std::uint32_t Jobs = 40;
/// Faults come in clusters, since several within the time of a lease find
/// violations that a single one does not.
constexpr std::uint32_t MaxClusters = 6;
constexpr std::uint32_t MaxFaultsPerCluster = 5;
constexpr std::chrono::milliseconds ClusterDuration{1200};
/// Longer tasks overlap with more of the faults.
constexpr std::chrono::milliseconds Lengths[] = {60ms, 200ms, 900ms, 3s, 3s};

std::string agentName(std::size_t Which) {
  return fmt::format("agent-{}", Which);
}
std::string entryName(std::size_t Which) {
  return fmt::format("entry-{}", Which);
}

} // namespace

LeaseScenarioOptions LeaseScenario::options(std::uint64_t Seed) {
  LeaseScenarioOptions Options;
  Options.World.Seed = Seed;
  Options.World.Entries = 2 + Seed % 2;
  Options.World.Agents = 2 + Seed % 3;
  Options.World.EntryHandOverDelay = 2ms;
  Options.Callers.MaxTries = 30;
  return Options;
}

LeaseScenarioOptions LeaseScenario::delegatedOptions(std::uint64_t Seed) {
  LeaseScenarioOptions Options = LeaseScenario::options(Seed);
  Options.World.Agents = 3 + Seed % 2;
  // Delegates are in use from the start, whatever the load, and all or half of
  // the jobs are delegated.
  DelegationRuleOptions &Rule = Options.World.Delegation.Rule;
  Rule.MaxDelegates = 1 + Seed % 2;
  Rule.PrepareAt = 0;
  Rule.HighLoad = 0;
  Rule.RaiseStep = Seed % 3 == 0 ? 0.5 : 1;
  Rule.AdjustInterval = Seed % 3 == 0 ? 1h : 100ms;
  Options.World.WarmUp = 800ms;
  return Options;
}

LeaseScenario::LeaseScenario(const LeaseScenarioOptions &Options)
    : Random(Options.World.Seed), Options(Options), World(Options.World) {
  this->World.world().setFilter([this](const PeerRef &From, const PeerRef &To,
                                       const peer::Message &) -> Duration {
    auto Held = this->DelayedUntil.find({From.Node, To.Node});
    if (Held == this->DelayedUntil.end())
      return Duration(0);
    TimePoint Now = this->World.world().now().Steady;
    return std::max(Held->second - Now, Duration(0));
  });
}

std::chrono::milliseconds LeaseScenario::draw(std::chrono::milliseconds Min,
                                              std::chrono::milliseconds Max) {
  auto Span = static_cast<std::uint64_t>((Max - Min).count()) + 1;
  return Min + std::chrono::milliseconds(
                   static_cast<std::int64_t>(this->Random() % Span));
}

void LeaseScenario::logFault(const std::string &What) {
  this->Log += fmt::format(
      "  {} ms: {}\n",
      millisBetween(this->World.loadStart(), this->World.world().now().Steady),
      What);
}

// ---- Faults ----

std::size_t LeaseScenario::pickEntry(const Focus &Target) {
  bool Other = this->Random() % 3 == 0;
  return Other ? this->Random() % this->World.entries() : Target.Entry;
}

std::size_t LeaseScenario::pickAgent(const Focus &Target) {
  bool Other = this->Random() % 3 == 0;
  return Other ? this->Random() % this->World.agents() : Target.Agent;
}

void LeaseScenario::planCluster() {
  Focus Target{this->Random() % this->World.entries(),
               this->Random() % this->World.agents()};
  std::chrono::milliseconds At = this->draw(0ms, FaultPeriod);
  std::uint64_t Faults = 1 + this->Random() % MaxFaultsPerCluster;
  for (std::uint64_t I = 0; I < Faults; ++I)
    this->World.world().after(At + this->draw(0ms, ClusterDuration),
                              [this, Target] { this->causeFault(Target); });
}

void LeaseScenario::causeFault(const Focus &Target) {
  if (this->Options.World.delegates() && this->Random() % 5 == 0) {
    this->blockAgents(Target);
    return;
  }
  switch (this->Random() % 8) {
  case 0:
  case 1:
  case 2:
    this->blockLinks(Target);
    return;
  case 3:
  case 4:
    this->freeze(Target);
    return;
  case 5:
    this->kill(Target);
    return;
  case 6:
    this->injectCallFaults(Target);
    return;
  default:
    this->injectNetworkFaults();
  }
}

void LeaseScenario::blockLinks(const Focus &Target) {
  bool ToAgents = this->Random() % 3 != 0;
  bool FromAgents = !ToAgents || this->Random() % 2 == 0;
  bool IsDelayed = this->Random() % 3 == 0;
  // One link, or all links of an entry or of an agent.
  std::uint64_t Scope = this->Random() % 3;
  std::size_t Entry = this->pickEntry(Target);
  std::size_t Agent = this->pickAgent(Target);
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  for (std::size_t E = 0; E < this->World.entries(); ++E)
    for (std::size_t A = 0; A < this->World.agents(); ++A) {
      bool IsAffected =
          (Scope == 1 || E == Entry) && (Scope == 2 || A == Agent);
      if (IsAffected && ToAgents)
        this->blockLink({entryName(E), agentName(A)}, IsDelayed, Length);
      if (IsAffected && FromAgents)
        this->blockLink({agentName(A), entryName(E)}, IsDelayed, Length);
    }
}

void LeaseScenario::blockAgents(const Focus &Target) {
  std::size_t Agent = this->pickAgent(Target);
  std::size_t Only = this->Random() % this->World.agents();
  bool IsOnlyOne = this->Random() % 2 == 0;
  bool ToOthers = this->Random() % 3 != 0;
  bool FromOthers = !ToOthers || this->Random() % 2 == 0;
  bool IsDelayed = this->Random() % 3 == 0;
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  for (std::size_t Other = 0; Other < this->World.agents(); ++Other) {
    if (Other == Agent || (IsOnlyOne && Other != Only))
      continue;
    if (ToOthers)
      this->blockLink({agentName(Agent), agentName(Other)}, IsDelayed, Length);
    if (FromOthers)
      this->blockLink({agentName(Other), agentName(Agent)}, IsDelayed, Length);
  }
}

void LeaseScenario::blockLink(const Link &Direction, bool IsDelayed,
                              std::chrono::milliseconds Length) {
  this->logFault(fmt::format("{} to {} blocked for {} ms{}", Direction.first,
                             Direction.second, Length.count(),
                             IsDelayed ? ", then delivered" : ""));
  if (IsDelayed) {
    TimePoint &Until = this->DelayedUntil[Direction];
    Until = std::max(Until, this->World.world().now().Steady + Length);
    return;
  }
  if (this->CutCounts[Direction]++ == 0)
    this->World.world().cutOneWay(Direction.first, Direction.second);
  this->World.world().after(Length, [this, Direction] {
    if (--this->CutCounts[Direction] == 0)
      this->World.world().restoreOneWay(Direction.first, Direction.second);
  });
}

void LeaseScenario::freeze(const Focus &Target) {
  bool IsEntry = this->Random() % 2 == 0;
  std::string Node = IsEntry ? entryName(this->pickEntry(Target))
                             : agentName(this->pickAgent(Target));
  std::chrono::milliseconds Length = this->draw(100ms, 3s);
  ThawOrder Order =
      this->Random() % 2 == 0 ? ThawOrder::AsHeld : ThawOrder::TimersLast;
  if (!this->World.world().isUp(Node))
    return;
  this->logFault(
      fmt::format("{} frozen for {} ms{}", Node, Length.count(),
                  Order == ThawOrder::TimersLast ? ", timers run last" : ""));
  this->World.world().freeze(Node);
  this->World.world().after(
      Length, [this, Node, Order] { this->World.world().thaw(Node, Order); });
}

void LeaseScenario::kill(const Focus &Target) {
  bool IsEntry = this->Random() % 2 == 0;
  std::size_t Which =
      IsEntry ? this->pickEntry(Target) : this->pickAgent(Target);
  std::chrono::milliseconds Length = this->draw(100ms, 3s);
  std::string Node = IsEntry ? entryName(Which) : agentName(Which);
  if (!this->World.world().isUp(Node))
    return;
  this->logFault(fmt::format("{} killed for {} ms", Node, Length.count()));
  if (IsEntry)
    this->World.entry(Which).kill();
  else
    this->World.world().kill(Node);
  this->World.world().after(Length, [this, IsEntry, Which] {
    if (IsEntry)
      this->World.restartEntry(Which);
    else
      this->World.restartAgent(Which);
  });
}

void LeaseScenario::injectCallFaults(const Focus &Target) {
  std::size_t Which = this->pickAgent(Target);
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  WorkerCallFaults Faults;
  Faults.LostPermille = static_cast<std::uint32_t>(this->Random() % 400);
  Faults.UnansweredPermille = static_cast<std::uint32_t>(this->Random() % 400);
  Faults.LatePermille = static_cast<std::uint32_t>(this->Random() % 200);
  this->logFault(fmt::format(
      "calls of agent-{} lost {}, unanswered {}, late {} of 1000 for {} ms",
      Which, Faults.LostPermille, Faults.UnansweredPermille,
      Faults.LatePermille, Length.count()));
  this->World.agent(Which).setCallFaults(Faults);
  this->World.world().after(
      Length, [this, Which] { this->World.agent(Which).setCallFaults({}); });
}

void LeaseScenario::injectNetworkFaults() {
  NetworkFaults Faults;
  Faults.LossPermille = static_cast<std::uint32_t>(this->Random() % 200);
  Faults.DuplicatePermille = static_cast<std::uint32_t>(this->Random() % 300);
  Faults.Jitter = this->draw(1ms, 300ms);
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  this->logFault(
      fmt::format("{} lost and {} duplicated of 1000, {} ms of jitter for "
                  "{} ms",
                  Faults.LossPermille, Faults.DuplicatePermille,
                  Faults.Jitter.count() / 1000, Length.count()));
  this->World.world().setFaults(Faults);
  this->World.world().after(Length,
                            [this] { this->World.world().setFaults({}); });
}

void LeaseScenario::planWorkerCrashes() {
  if (this->Options.MaxWorkerCrashes == 0)
    return;
  std::uint64_t Crashes = 1 + this->Random() % this->Options.MaxWorkerCrashes;
  for (std::uint64_t I = 0; I < Crashes; ++I) {
    std::size_t Which = this->Random() % this->World.agents();
    // Some workers are back before their crash is noticed.
    auto After = this->Random() % 2 == 0 ? this->draw(5ms, 300ms)
                                         : this->draw(300ms, 3s);
    auto Late = this->draw(0ms, 4s);
    this->World.world().after(this->draw(0ms, FaultPeriod), [=, this] {
      this->logFault(
          fmt::format("worker of agent-{} crashes for {} ms, its last "
                      "announcement is repeated after {} ms",
                      Which, After.count(), Late.count()));
      this->World.agent(Which).crashWorker(After, Late);
    });
  }
}

void LeaseScenario::planPowerLoss() {
  if (!this->Options.PowerLoss)
    return;
  this->World.world().after(this->draw(2s, FaultPeriod), [this] {
    this->logFault("all hosts lose power");
    for (std::size_t E = 0; E < this->World.entries(); ++E) {
      if (!this->World.world().isUp(entryName(E)))
        continue;
      this->World.entry(E).kill();
      this->World.world().after(this->draw(200ms, 1200ms),
                                [this, E] { this->World.restartEntry(E); });
    }
    for (std::size_t A = 0; A < this->World.agents(); ++A) {
      this->World.agent(A).crashWorker(this->draw(200ms, 1200ms),
                                       this->draw(300ms, 3s));
      if (!this->World.world().isUp(agentName(A)))
        continue;
      this->World.world().kill(agentName(A));
      this->World.world().after(this->draw(200ms, 1200ms),
                                [this, A] { this->World.restartAgent(A); });
    }
  });
}

// ---- Scenario ----

void LeaseScenario::planJob(std::chrono::milliseconds At) {
  std::chrono::milliseconds Length =
      Lengths[this->Random() % std::size(Lengths)];
  LeasedJobRequest Job;
  Job.Id = fmt::format("job-{}", this->Callers.size());
  Job.Route = "hunt";
  Job.Needs.set_cpu_milli(1000);
  Job.Estimate = Length;
  Job.Objective = Length * 16 / 10 + 60ms;
  Job.Deadline = this->draw(Length + 500ms, Length * 3 + 2000ms);
  Job.MaxAttempts = 3;
  std::vector<std::chrono::milliseconds> Tasks(1 + this->Random() % 3, Length);
  PersistentCallerOptions Caller = this->Options.Callers;
  if (this->Random() % 3 == 0)
    Caller.Patience = this->draw(Length + 100ms, Length + 1500ms);
  this->Callers.push_back(
      std::make_unique<PersistentCaller>(this->World, Job, Tasks, Caller));
  this->World.world().after(
      At, [Caller = this->Callers.back().get()] { Caller->begin(); });
}

std::string LeaseScenario::run() {
  for (std::uint32_t I = 0; I < Jobs; ++I)
    this->planJob(this->draw(0ms, FaultPeriod));
  std::uint64_t Clusters = 1 + this->Random() % MaxClusters;
  for (std::uint64_t I = 0; I < Clusters; ++I)
    this->planCluster();
  this->planWorkerCrashes();
  this->planPowerLoss();
  this->World.world().run(FaultPeriod + RecoveryPeriod);
  return this->findings();
}

std::uint64_t LeaseScenario::delegated() const {
  std::uint64_t Jobs = 0;
  for (std::size_t E = 0; E < this->World.entries(); ++E)
    Jobs += this->World.entry(E).delegation().Delegated;
  return Jobs;
}

std::uint32_t LeaseScenario::completed() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->Callers, [](const auto &Caller) {
        return Caller->end() == LeasedEnd::Completed;
      }));
}

std::uint32_t LeaseScenario::givenUpAsCrashing() const {
  if (this->Options.MaxWorkerCrashes == 0)
    return 0;
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->Callers, [](const auto &Caller) {
        return Caller->end() == LeasedEnd::Failed;
      }));
}

std::string LeaseScenario::findings() const {
  std::string Found;
  if (this->World.overlappingRuns() > 0)
    Found += "overlapping runs of a task: " +
             this->World.runs().describeOverlapping(this->World.loadStart());
  for (std::size_t E = 0; E < this->World.entries(); ++E) {
    const LeasedEntry &Entry = this->World.entry(E);
    if (Entry.unanswered() > 0)
      Found += fmt::format("{} left {} submissions without an answer\n",
                           Entry.name(), Entry.unanswered());
    if (Entry.answeredTwice() > 0)
      Found += fmt::format("{} answered {} submissions twice\n", Entry.name(),
                           Entry.answeredTwice());
    for (SubmissionId Which : Entry.notRun())
      if (this->World.runs().hasBegun(Which))
        Found += fmt::format("{} answered that {} has not run, but it has\n",
                             Entry.name(), Which);
  }
  // A job that is given up as crashing has ended as well.
  std::uint32_t Ended = this->completed() + this->givenUpAsCrashing();
  if (Ended * 10 < this->jobs() * 9)
    Found +=
        fmt::format("{} of {} jobs completed, {} given up\n", this->completed(),
                    this->jobs(), this->givenUpAsCrashing());
  return Found;
}

std::string LeaseScenario::describe() const {
  std::string Text = "faults:\n" + this->Log + "callers:\n";
  for (const auto &Caller : this->Callers)
    Text += Caller->log();
  return Text;
}

} // namespace yardwheel
