#include "tests/entry/lease_scenario.h"

#include <algorithm>
#include <fmt/format.h>

using namespace std::chrono_literals;

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds TroubleTime{9000};
constexpr std::chrono::milliseconds CalmTime{28000};
constexpr std::uint32_t Jobs = 40;
/// Faults come in clusters: what one of them does not break, two within a
/// lease may.
constexpr std::uint32_t MostClusters = 6;
constexpr std::uint32_t MostInCluster = 5;
constexpr std::chrono::milliseconds ClusterTime{1200};
/// Longer ones are alive for more of the faults.
constexpr std::chrono::milliseconds Lengths[] = {60ms, 200ms, 900ms, 3s, 3s};

std::string agentName(std::size_t Which) {
  return fmt::format("agent-{}", Which);
}
std::string entryName(std::size_t Which) {
  return fmt::format("entry-{}", Which);
}

} // namespace

LeaseStoryOptions LeaseStory::options(std::uint64_t Seed) {
  LeaseStoryOptions Options;
  Options.World.Seed = Seed;
  Options.World.Entries = 2 + Seed % 2;
  Options.World.Agents = 2 + Seed % 3;
  Options.World.EntryHandOver = 2ms;
  Options.Callers.MostTries = 30;
  return Options;
}

LeaseStory::LeaseStory(const LeaseStoryOptions &Options)
    : Random(Options.World.Seed), Options(Options), World(Options.World) {
  this->World.world().setFilter([this](const PeerRef &From, const PeerRef &To,
                                       const peer::Message &) -> Duration {
    auto Held = this->HeldUpUntil.find({From.Node, To.Node});
    if (Held == this->HeldUpUntil.end())
      return Duration(0);
    TimePoint Now = this->World.world().now().Steady;
    return std::max(Held->second - Now, Duration(0));
  });
}

std::chrono::milliseconds LeaseStory::draw(std::chrono::milliseconds Least,
                                           std::chrono::milliseconds Most) {
  auto Span = static_cast<std::uint64_t>((Most - Least).count()) + 1;
  return Least + std::chrono::milliseconds(
                     static_cast<std::int64_t>(this->Random() % Span));
}

void LeaseStory::note(const std::string &What) {
  this->Log += fmt::format(
      "  {} ms: {}\n",
      millisBetween(this->World.begun(), this->World.world().now().Steady),
      What);
}

// ---- Faults ----

std::size_t LeaseStory::pickEntry(const Focus &Near) {
  bool Other = this->Random() % 3 == 0;
  return Other ? this->Random() % this->World.entries() : Near.Entry;
}

std::size_t LeaseStory::pickAgent(const Focus &Near) {
  bool Other = this->Random() % 3 == 0;
  return Other ? this->Random() % this->World.agents() : Near.Agent;
}

void LeaseStory::planCluster() {
  Focus Near{this->Random() % this->World.entries(),
             this->Random() % this->World.agents()};
  std::chrono::milliseconds At = this->draw(0ms, TroubleTime);
  std::uint64_t Faults = 1 + this->Random() % MostInCluster;
  for (std::uint64_t I = 0; I < Faults; ++I)
    this->World.world().after(At + this->draw(0ms, ClusterTime),
                              [this, Near] { this->causeFault(Near); });
}

void LeaseStory::causeFault(const Focus &Near) {
  switch (this->Random() % 8) {
  case 0:
  case 1:
  case 2:
    this->silence(Near);
    return;
  case 3:
  case 4:
    this->freeze(Near);
    return;
  case 5:
    this->kill(Near);
    return;
  case 6:
    this->loseCalls(Near);
    return;
  default:
    this->makeNoise();
  }
}

void LeaseStory::silence(const Focus &Near) {
  bool ToAgents = this->Random() % 3 != 0;
  bool FromAgents = !ToAgents || this->Random() % 2 == 0;
  bool HeldUp = this->Random() % 3 == 0;
  // One link, or all of an entry's or of an agent's.
  std::uint64_t Scope = this->Random() % 3;
  std::size_t Entry = this->pickEntry(Near);
  std::size_t Agent = this->pickAgent(Near);
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  for (std::size_t E = 0; E < this->World.entries(); ++E)
    for (std::size_t A = 0; A < this->World.agents(); ++A) {
      bool Meant = (Scope == 1 || E == Entry) && (Scope == 2 || A == Agent);
      if (Meant && ToAgents)
        this->silenceLink({entryName(E), agentName(A)}, HeldUp, Length);
      if (Meant && FromAgents)
        this->silenceLink({agentName(A), entryName(E)}, HeldUp, Length);
    }
}

void LeaseStory::silenceLink(const Link &Way, bool HeldUp,
                             std::chrono::milliseconds Length) {
  this->note(fmt::format("{} to {} silent for {} ms{}", Way.first, Way.second,
                         Length.count(), HeldUp ? ", then delivered" : ""));
  if (HeldUp) {
    TimePoint &Until = this->HeldUpUntil[Way];
    Until = std::max(Until, this->World.world().now().Steady + Length);
    return;
  }
  if (this->Cuts[Way]++ == 0)
    this->World.world().cutOneWay(Way.first, Way.second);
  this->World.world().after(Length, [this, Way] {
    if (--this->Cuts[Way] == 0)
      this->World.world().mendOneWay(Way.first, Way.second);
  });
}

void LeaseStory::freeze(const Focus &Near) {
  bool IsEntry = this->Random() % 2 == 0;
  std::string Node = IsEntry ? entryName(this->pickEntry(Near))
                             : agentName(this->pickAgent(Near));
  std::chrono::milliseconds Length = this->draw(100ms, 3s);
  ThawOrder Order =
      this->Random() % 2 == 0 ? ThawOrder::AsHeld : ThawOrder::TimersLast;
  if (!this->World.world().isUp(Node))
    return;
  this->note(
      fmt::format("{} frozen for {} ms{}", Node, Length.count(),
                  Order == ThawOrder::TimersLast ? ", timers last" : ""));
  this->World.world().freeze(Node);
  this->World.world().after(
      Length, [this, Node, Order] { this->World.world().thaw(Node, Order); });
}

void LeaseStory::kill(const Focus &Near) {
  bool IsEntry = this->Random() % 2 == 0;
  std::size_t Which = IsEntry ? this->pickEntry(Near) : this->pickAgent(Near);
  std::chrono::milliseconds Length = this->draw(100ms, 3s);
  std::string Node = IsEntry ? entryName(Which) : agentName(Which);
  if (!this->World.world().isUp(Node))
    return;
  this->note(fmt::format("{} killed for {} ms", Node, Length.count()));
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

void LeaseStory::loseCalls(const Focus &Near) {
  std::size_t Which = this->pickAgent(Near);
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  WorkerCallFaults Faults;
  Faults.LostPermille = static_cast<std::uint32_t>(this->Random() % 400);
  Faults.UnansweredPermille = static_cast<std::uint32_t>(this->Random() % 400);
  Faults.LatePermille = static_cast<std::uint32_t>(this->Random() % 200);
  this->note(fmt::format(
      "calls of agent-{} lost {}, unanswered {}, late {} of 1000 for {} ms",
      Which, Faults.LostPermille, Faults.UnansweredPermille,
      Faults.LatePermille, Length.count()));
  this->World.agent(Which).setCallFaults(Faults);
  this->World.world().after(
      Length, [this, Which] { this->World.agent(Which).setCallFaults({}); });
}

void LeaseStory::makeNoise() {
  NetworkFaults Faults;
  Faults.LossPermille = static_cast<std::uint32_t>(this->Random() % 200);
  Faults.DoublePermille = static_cast<std::uint32_t>(this->Random() % 300);
  Faults.Jitter = this->draw(1ms, 300ms);
  std::chrono::milliseconds Length = this->draw(200ms, 4s);
  this->note(fmt::format("{} lost and {} doubled of 1000, {} ms of jitter for "
                         "{} ms",
                         Faults.LossPermille, Faults.DoublePermille,
                         Faults.Jitter.count() / 1000, Length.count()));
  this->World.world().setFaults(Faults);
  this->World.world().after(Length,
                            [this] { this->World.world().setFaults({}); });
}

void LeaseStory::planWorkerCrashes() {
  if (this->Options.MostWorkerCrashes == 0)
    return;
  std::uint64_t Crashes = 1 + this->Random() % this->Options.MostWorkerCrashes;
  for (std::uint64_t I = 0; I < Crashes; ++I) {
    std::size_t Which = this->Random() % this->World.agents();
    // Some are back before anybody has missed them.
    auto After = this->Random() % 2 == 0 ? this->draw(5ms, 300ms)
                                         : this->draw(300ms, 3s);
    auto Late = this->draw(0ms, 4s);
    this->World.world().after(this->draw(0ms, TroubleTime), [=, this] {
      this->note(fmt::format("worker of agent-{} crashes for {} ms, its last "
                             "announcement comes again after {} ms",
                             Which, After.count(), Late.count()));
      this->World.agent(Which).crashWorker(After, Late);
    });
  }
}

void LeaseStory::planPowerLoss() {
  if (!this->Options.PowerLoss)
    return;
  this->World.world().after(this->draw(2s, TroubleTime), [this] {
    this->note("all hosts lose power");
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

// ---- The story ----

void LeaseStory::planJob(std::chrono::milliseconds At) {
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

std::string LeaseStory::play() {
  for (std::uint32_t I = 0; I < Jobs; ++I)
    this->planJob(this->draw(0ms, TroubleTime));
  std::uint64_t Clusters = 1 + this->Random() % MostClusters;
  for (std::uint64_t I = 0; I < Clusters; ++I)
    this->planCluster();
  this->planWorkerCrashes();
  this->planPowerLoss();
  this->World.world().run(TroubleTime + CalmTime);
  return this->findings();
}

std::uint32_t LeaseStory::completed() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->Callers, [](const auto &Caller) {
        return Caller->end() == LeasedEnd::Completed;
      }));
}

std::uint32_t LeaseStory::givenUp() const {
  if (this->Options.MostWorkerCrashes == 0)
    return 0;
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->Callers, [](const auto &Caller) {
        return Caller->end() == LeasedEnd::Failed;
      }));
}

std::string LeaseStory::findings() const {
  std::string Found;
  if (this->World.doubledRuns() > 0)
    Found += "two runs at once: " +
             this->World.runs().describeDoubled(this->World.begun());
  for (std::size_t E = 0; E < this->World.entries(); ++E) {
    const LeasedEntry &Entry = this->World.entry(E);
    if (Entry.unanswered() > 0)
      Found += fmt::format("{} left {} hand-ins without an answer\n",
                           Entry.name(), Entry.unanswered());
    if (Entry.answeredTwice() > 0)
      Found += fmt::format("{} answered {} hand-ins twice\n", Entry.name(),
                           Entry.answeredTwice());
    for (HandIn Which : Entry.notRun())
      if (this->World.runs().hasBegun(Which))
        Found += fmt::format("{} answered that {} has not run, and it has\n",
                             Entry.name(), Which);
  }
  // A job that is taken for one that crashes workers has an end, too.
  std::uint32_t Ended = this->completed() + this->givenUp();
  if (Ended * 10 < this->jobs() * 9)
    Found += fmt::format("{} of {} jobs completed, {} given up\n",
                         this->completed(), this->jobs(), this->givenUp());
  return Found;
}

std::string LeaseStory::describe() const {
  std::string Text = "faults:\n" + this->Log + "callers:\n";
  for (const auto &Caller : this->Callers)
    Text += Caller->log();
  return Text;
}

} // namespace yardwheel
