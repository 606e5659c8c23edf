#include "coordination/crash_record.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

CrashRecord::TaskRecord &CrashRecord::touch(const TaskKey &Task,
                                            TimePoint Now) {
  if (this->Tasks.size() >= this->Options.MaxTasks &&
      !this->Tasks.contains(Task)) {
    auto Oldest =
        std::min_element(this->Tasks.begin(), this->Tasks.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.LastUsed < B.second.LastUsed;
                         });
    this->Tasks.erase(Oldest);
  }
  TaskRecord &Known = this->Tasks[Task];
  Known.LastUsed = Now;
  return Known;
}

void CrashRecord::onWorkerLost(const std::string &Job, std::uint32_t Index,
                               const std::string &Agent,
                               std::uint64_t Incarnation, TimePoint Now,
                               std::uint64_t Stamp) {
  // If the crash of this incarnation is already known, its report has named the
  // tasks that may be the cause, and this task is not among them.
  WorkerIncarnation Worker{Agent, Incarnation};
  auto First = this->FirstUnreported.find(Agent);
  bool MayBeReported =
      First == this->FirstUnreported.end() || Incarnation >= First->second;
  if (!MayBeReported || this->Crashes.contains(Worker))
    return;
  std::uint64_t &Last = this->touch({Job, Index}, Now).Lost[Worker];
  Last = std::max(Last, Stamp);
  this->OpenLosses.insert(std::move(Worker));
}

std::vector<std::string>
CrashRecord::onWorkerCrashed(const std::string &Agent,
                             const peer::WorkerCrash &Crash, TimePoint Now) {
  WorkerIncarnation Worker{Agent, Crash.incarnation()};
  // An agent reports each crash many times.
  bool AlreadyReported = this->Crashes.contains(Worker);
  this->Crashes[Worker] = Now;
  this->OpenLosses.erase(Worker);
  if (AlreadyReported)
    return {};
  std::set<TaskKey> Named;
  std::set<std::string> Settled;
  for (const peer::CrashedTask &Task : Crash.tasks()) {
    TaskKey Name{Task.job(), Task.index()};
    Named.insert(Name);
    TaskRecord &Known = this->touch(Name, Now);
    Known.Lost.try_emplace(Worker, 0);
    Known.Crashed.insert(Worker);
    Known.StartedLast += Task.started_last() ? 1 : 0;
    Settled.insert(Name.Job);
  }
  // The cause is among the named tasks; all others that ran there are cleared.
  for (auto &[Name, Known] : this->Tasks)
    if (!Named.contains(Name) && Known.Lost.erase(Worker) > 0)
      Settled.insert(Name.Job);
  return {Settled.begin(), Settled.end()};
}

template <typename Predicate>
std::vector<std::string> CrashRecord::clearLosses(const Predicate &IsNoCrash) {
  std::set<std::string> Cleared;
  for (auto &[Name, Known] : this->Tasks) {
    bool WasOnHold = this->judge(Known) == CrashVerdict::OnHold;
    std::erase_if(Known.Lost, [&, &Known = Known](const auto &Loss) {
      return !Known.Crashed.contains(Loss.first) &&
             IsNoCrash(Loss.first, Loss.second);
    });
    if (WasOnHold && this->judge(Known) != CrashVerdict::OnHold)
      Cleared.insert(Name.Job);
  }
  return {Cleared.begin(), Cleared.end()};
}

std::vector<std::string> CrashRecord::onCrashesListed(const std::string &Agent,
                                                      std::uint64_t Current) {
  std::uint64_t &First = this->FirstUnreported[Agent];
  if (Current <= First)
    return {};
  First = Current;
  auto IsOver = [&](const WorkerIncarnation &Worker) {
    return Worker.Agent == Agent && Worker.Incarnation < Current;
  };
  if (std::erase_if(this->OpenLosses, IsOver) == 0)
    return {};
  return this->clearLosses([&](const WorkerIncarnation &Worker, std::uint64_t) {
    return IsOver(Worker);
  });
}

std::vector<std::string> CrashRecord::onAgentGone(const std::string &Agent) {
  auto IsThere = [&](const WorkerIncarnation &Worker) {
    return Worker.Agent == Agent;
  };
  if (std::erase_if(this->OpenLosses, IsThere) == 0)
    return {};
  return this->clearLosses([&](const WorkerIncarnation &Worker, std::uint64_t) {
    return IsThere(Worker);
  });
}

std::vector<std::string> CrashRecord::onWorkerReady(const std::string &Agent,
                                                    std::uint64_t Incarnation,
                                                    std::uint64_t Stamp) {
  WorkerIncarnation Ready{Agent, Incarnation};
  // Nearly all messages report a worker that is ready.
  if (this->OpenLosses.erase(Ready) == 0)
    return {};
  bool HasLater = false;
  std::vector<std::string> Cleared = this->clearLosses(
      [&](const WorkerIncarnation &Worker, std::uint64_t LostAt) {
        bool IsSame = !(Worker < Ready) && !(Ready < Worker);
        HasLater = HasLater || (IsSame && LostAt >= Stamp);
        return IsSame && LostAt < Stamp;
      });
  if (HasLater)
    this->OpenLosses.insert(std::move(Ready));
  return Cleared;
}

CrashVerdict CrashRecord::judge(const TaskRecord &Known) const {
  if (Known.StartedLast >= this->Options.MaxCrashesStartedLast ||
      Known.Crashed.size() >= this->Options.MaxCrashesAnyTask)
    return CrashVerdict::GivenUp;
  bool AllKnown = Known.Lost.size() == Known.Crashed.size();
  bool OnHold =
      Known.Lost.size() >= this->Options.MaxCrashesStartedLast && !AllKnown;
  return OnHold ? CrashVerdict::OnHold : CrashVerdict::Allowed;
}

CrashVerdict CrashRecord::verdict(const std::string &Job,
                                  std::uint32_t Index) const {
  auto Found = this->Tasks.find({Job, Index});
  return Found == this->Tasks.end() ? CrashVerdict::Allowed
                                    : this->judge(Found->second);
}

bool CrashRecord::isSuspect(const std::string &Job, std::uint32_t Index) const {
  auto Found = this->Tasks.find({Job, Index});
  return Found != this->Tasks.end() && !Found->second.Lost.empty();
}

std::string CrashRecord::describeGivenUp(const std::string &Job) const {
  for (auto It = this->Tasks.lower_bound({Job, 0});
       It != this->Tasks.end() && It->first.Job == Job; ++It) {
    if (this->judge(It->second) != CrashVerdict::GivenUp)
      continue;
    std::string Agents;
    for (const WorkerIncarnation &Worker : It->second.Crashed)
      Agents += (Agents.empty() ? "" : ", ") + Worker.Agent;
    return fmt::format("task {} has crashed the upstreams of {}",
                       It->first.Index, Agents);
  }
  return {};
}

void CrashRecord::sweep(TimePoint Now) {
  std::erase_if(this->Tasks, [&](const auto &Item) {
    return Now - Item.second.LastUsed > this->Options.Retention;
  });
  if (this->Tasks.empty())
    this->OpenLosses.clear();
  std::erase_if(this->Crashes, [&](const auto &Item) {
    return Now - Item.second > this->Options.Retention;
  });
}

} // namespace yardwheel
