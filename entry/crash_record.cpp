#include "entry/crash_record.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

CrashRecord::Suspicion &CrashRecord::touch(const TaskName &Task,
                                           TimePoint Now) {
  if (this->Tasks.size() >= this->Options.MostTasks &&
      !this->Tasks.contains(Task)) {
    auto Oldest = std::min_element(this->Tasks.begin(), this->Tasks.end(),
                                   [](const auto &A, const auto &B) {
                                     return A.second.Used < B.second.Used;
                                   });
    this->Tasks.erase(Oldest);
  }
  Suspicion &Known = this->Tasks[Task];
  Known.Used = Now;
  return Known;
}

void CrashRecord::noteLost(const std::string &Job, std::uint32_t Index,
                           const std::string &Agent, std::uint64_t Incarnation,
                           TimePoint Now) {
  // Its crash has named the tasks that may be the cause, and not this one.
  WorkerLife Life{Agent, Incarnation};
  if (!this->Crashes.contains(Life))
    this->touch({Job, Index}, Now).Lost.insert(std::move(Life));
}

std::vector<std::string> CrashRecord::noteCrash(const std::string &Agent,
                                                const peer::WorkerCrash &Crash,
                                                TimePoint Now) {
  WorkerLife Life{Agent, Crash.incarnation()};
  // An agent tells each crash many times.
  bool Told = this->Crashes.contains(Life);
  this->Crashes[Life] = Now;
  if (Told)
    return {};
  std::set<TaskName> Named;
  std::set<std::string> Settled;
  for (const peer::CrashedTask &Task : Crash.tasks()) {
    TaskName Name{Task.job(), Task.index()};
    Named.insert(Name);
    Suspicion &Known = this->touch(Name, Now);
    Known.Lost.insert(Life);
    Known.Crashed.insert(Life);
    Known.StartedLast += Task.started_last() ? 1 : 0;
    Settled.insert(Name.Job);
  }
  // The cause is among those named; whatever else ran there is cleared.
  for (auto &[Name, Known] : this->Tasks)
    if (!Named.contains(Name) && Known.Lost.erase(Life) > 0)
      Settled.insert(Name.Job);
  return {Settled.begin(), Settled.end()};
}

CrashVerdict CrashRecord::judge(const Suspicion &Known) const {
  if (Known.StartedLast >= this->Options.MostCrashes ||
      Known.Crashed.size() >= this->Options.MostCrashesBeside)
    return CrashVerdict::GivenUp;
  bool AllKnown = Known.Lost.size() == Known.Crashed.size();
  bool Held = Known.Lost.size() >= this->Options.MostCrashes && !AllKnown;
  return Held ? CrashVerdict::Held : CrashVerdict::Clear;
}

CrashVerdict CrashRecord::verdict(const std::string &Job,
                                  std::uint32_t Index) const {
  auto Found = this->Tasks.find({Job, Index});
  return Found == this->Tasks.end() ? CrashVerdict::Clear
                                    : this->judge(Found->second);
}

std::string CrashRecord::describeGivenUp(const std::string &Job) const {
  for (auto It = this->Tasks.lower_bound({Job, 0});
       It != this->Tasks.end() && It->first.Job == Job; ++It) {
    if (this->judge(It->second) != CrashVerdict::GivenUp)
      continue;
    std::string Agents;
    for (const WorkerLife &Life : It->second.Crashed)
      Agents += (Agents.empty() ? "" : ", ") + Life.Agent;
    return fmt::format("task {} has crashed the upstreams of {}",
                       It->first.Index, Agents);
  }
  return {};
}

void CrashRecord::sweep(TimePoint Now) {
  std::erase_if(this->Tasks, [&](const auto &Item) {
    return Now - Item.second.Used > this->Options.Memory;
  });
  std::erase_if(this->Crashes, [&](const auto &Item) {
    return Now - Item.second > this->Options.Memory;
  });
}

} // namespace yardwheel
