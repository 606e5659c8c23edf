#include "emulator/leased_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace yardwheel {

namespace {

const std::string PoolName = "pool";
/// Upper limit of the time until control has told entries of an agent's
/// restart.
constexpr std::chrono::milliseconds MaxMemberUpdateDelay{1000};
/// Time until control has told entries of another entry's restart. Fixed, as a
/// draw would change the faults of a seed.
constexpr std::chrono::milliseconds EntryUpdateDelay{500};

LeasedEntryOptions entryOptions(const LeasedWorldOptions &Options,
                                std::size_t Which) {
  LeasedEntryOptions Own;
  Own.Coordinator = Options.Coordinator;
  Own.Coordinator.Seed = Options.Seed + Which;
  Own.Delegation = Options.Delegation;
  Own.Tick = Options.Tick;
  Own.MessageCost = Options.EntryMessageCost;
  Own.HandOverDelay = Options.EntryHandOverDelay;
  Own.RefusesWhenBehind = Options.EntriesRefuseWhenBehind;
  return Own;
}

LeasedAgentOptions agentOptions(const LeasedWorldOptions &Options,
                                std::size_t Which) {
  LeasedAgentOptions Own;
  Own.Pool = PoolName;
  Own.Tick = Options.Tick;
  Own.Keeper = Options.Keeper;
  Own.Coordinates = Options.delegates();
  Own.Delegation = Options.Delegate;
  Own.Worker.RestartAfter = Options.RestartAfter;
  Own.Worker.KeepsId = Options.WorkersKeepId;
  Own.Worker.Labels = Options.Labels[Which % Options.Labels.size()];
  Own.AnnounceDelay = Options.AnnounceDelay;
  Own.Worker.CapacityMilliCores =
      Options.CapacitiesMilliCores[Which % Options.CapacitiesMilliCores.size()];
  Own.Worker.RunTimeFactor =
      Options.RunTimeFactors[Which % Options.RunTimeFactors.size()];
  Own.Seed = Options.Seed * Options.Agents + Which;
  return Own;
}

} // namespace

LeasedWorld::LeasedWorld(const LeasedWorldOptions &Options)
    : Options(Options), World(Options.Seed) {
  for (std::size_t I = 0; I < Options.Agents; ++I)
    this->Agents.push_back(std::make_unique<LeasedAgent>(
        this->World, this->Runs, fmt::format("agent-{}", I),
        agentOptions(Options, I)));
  for (std::size_t I = 0; I < Options.Entries; ++I) {
    this->Entries.push_back(std::make_unique<LeasedEntry>(
        this->World, fmt::format("entry-{}", I), entryOptions(Options, I)));
    for (const auto &Agent : this->Agents)
      this->Entries.back()->announceAgent(Agent->member());
  }
  std::set<std::string> Names;
  for (std::size_t I = 0; I < Options.Entries; ++I) {
    this->announceEntriesTo(I);
    Names.insert(this->Entries[I]->name());
  }
  this->World.separateDraws(std::move(Names));
  if (Options.delegates())
    for (const auto &Agent : this->Agents)
      this->announceMembersTo(*Agent);
  if (Options.Coordinator.Shares)
    this->Exchange =
        std::make_unique<DemandExchange>(this->World, this->Entries);
  // Each entry asks each agent once before the load begins.
  this->World.run(Options.WarmUp);
  this->LoadStart = this->World.now().Steady;
}

SubmissionId
LeasedWorld::submitJob(std::size_t Entry, LeasedJobRequest Job,
                       const std::vector<std::chrono::milliseconds> &Lengths,
                       LeasedEntry::Listener OnAnswer) {
  SubmissionId Which = ++this->LastSubmission;
  Job.Pool = PoolName;
  Job.TaskCount = static_cast<std::uint32_t>(Lengths.size());
  Job.Spec = specOf(Which, Lengths);
  this->Runs.require(Job.Id, Job.requirement());
  this->Entries.at(Entry)->submitJob(Which, Job, std::move(OnAnswer));
  return Which;
}

void LeasedWorld::submit(std::size_t Entry, LeasedJobRequest Job,
                         const std::vector<std::chrono::milliseconds> &Lengths,
                         std::chrono::milliseconds LateAfter,
                         std::vector<std::string> Groups) {
  std::string Route = Job.Route;
  ++this->Outcomes[Route].Submitted;
  for (const std::string &Group : Groups)
    ++this->GroupOutcomes[Group].Submitted;
  TimePoint Due = this->World.now().Steady + LateAfter;
  this->submitJob(Entry, std::move(Job), Lengths,
                  [this, Route, Groups = std::move(Groups),
                   Due](const std::optional<LeasedAnswer> &Answer) {
                    bool InTime = this->World.now().Steady <= Due;
                    LeasedEnd End = Answer ? Answer->End : LeasedEnd::Unknown;
                    count(this->Outcomes[Route], InTime, End);
                    for (const std::string &Group : Groups)
                      count(this->GroupOutcomes[Group], InTime, End);
                  });
}

void LeasedWorld::restartEntry(std::size_t Which) {
  this->Entries.at(Which)->restart();
  for (const auto &Agent : this->Agents)
    this->Entries.at(Which)->announceAgent(Agent->member());
  this->announceEntriesTo(Which);
  const LeasedEntry &Restarted = *this->Entries[Which];
  for (const auto &Other : this->Entries)
    if (Other->name() != Restarted.name())
      this->World.after(EntryUpdateDelay,
                        [&Other = *Other, Member = Restarted.member()] {
                          Other.announceEntry(Member);
                        });
  if (this->Options.delegates())
    for (const auto &Agent : this->Agents)
      this->World.after(EntryUpdateDelay,
                        [&Agent = *Agent, Member = Restarted.member()] {
                          Agent.announceMember(Member);
                        });
}

void LeasedWorld::announceMembersTo(LeasedAgent &Target) {
  for (const auto &Other : this->Agents)
    Target.announceMember(Other->member());
  for (const auto &Entry : this->Entries)
    Target.announceMember(Entry->member());
}

void LeasedWorld::announceEntriesTo(std::size_t Which) {
  LeasedEntry &Target = *this->Entries.at(Which);
  for (const auto &Other : this->Entries)
    if (Other->name() != Target.name())
      Target.announceEntry(Other->member());
}

void LeasedWorld::restartAgent(std::size_t Which) {
  LeasedAgent &Agent = *this->Agents.at(Which);
  Agent.restart();
  for (const auto &Entry : this->Entries) {
    auto Delay = std::chrono::milliseconds(static_cast<std::int64_t>(
        this->World.random()() % MaxMemberUpdateDelay.count()));
    this->World.after(Delay, [&Entry = *Entry, Member = Agent.member()] {
      Entry.announceAgent(Member);
    });
  }
  if (!this->Options.delegates())
    return;
  this->announceMembersTo(Agent);
  for (const auto &Other : this->Agents)
    this->World.after(EntryUpdateDelay,
                      [&Other = *Other, Member = Agent.member()] {
                        Other.announceMember(Member);
                      });
}

EntryEffort LeasedWorld::effort() const {
  EntryEffort Effort;
  std::chrono::duration<double> Passed =
      this->World.now().Steady - this->LoadStart;
  for (const auto &Entry : this->Entries) {
    Effort.TasksSent += Entry->counters().TasksSent;
    Effort.TasksRefused += Entry->counters().TasksRefused;
    std::chrono::duration<double> Busy = Entry->busy();
    Effort.MaxBusyShare = std::max(Effort.MaxBusyShare, Busy / Passed);
  }
  return Effort;
}

void LeasedWorld::count(RouteOutcome &Known, bool InTime, LeasedEnd End) {
  if (End == LeasedEnd::NotRun)
    ++Known.Refused;
  else if (End != LeasedEnd::Completed)
    ++Known.Failed;
  else if (InTime)
    ++Known.InTime;
  else
    ++Known.Late;
}

} // namespace yardwheel
