#include "entry/open_start_record.h"

#include <algorithm>
#include <ranges>

namespace yardwheel {

bool OpenStartRecord::onLoad(const std::string &Agent,
                             const peer::WorkerLoad &Load, TimePoint Now) {
  if (!Load.without_worker())
    this->WorkersKeepId =
        this->WorkersKeepId.value_or(false) || Load.worker_keeps_id();
  bool IsSettled = !Load.without_worker() &&
                   (Load.worker_ready() || !Load.worker_keeps_id());
  if (IsSettled)
    this->Settled.insert(Agent);
  else
    this->HasUnsettled = true;
  if (Load.open_starts_size() == 0)
    return false;
  Reports &Known = this->Agents[Agent];
  if (Known.Incarnation != Load.incarnation())
    Known = {Load.incarnation(), 0};
  for (const peer::OpenStart &Row : Load.open_starts()) {
    Known.LastNumber = std::max(Known.LastNumber, Row.number());
    TimePoint &Until = this->Tasks[{Row.job(), Row.index()}][Agent];
    std::chrono::milliseconds Left(Row.left_ms());
    Until = std::max(Until, Now + std::min(Left, this->Options.MaxCallDelay));
  }
  while (this->Tasks.size() > this->Options.MaxTasks)
    this->Tasks.erase(
        std::ranges::min_element(this->Tasks, {}, [](const auto &Item) {
          return std::ranges::max(Item.second | std::views::values);
        }));
  return true;
}

std::uint64_t OpenStartRecord::acknowledged(const std::string &Agent,
                                            std::uint64_t Incarnation) const {
  auto Found = this->Agents.find(Agent);
  bool Same =
      Found != this->Agents.end() && Found->second.Incarnation == Incarnation;
  return Same ? Found->second.LastNumber : 0;
}

std::set<std::string> OpenStartRecord::agentsOf(const std::string &Job,
                                                std::uint32_t Index,
                                                TimePoint Now) const {
  std::set<std::string> Open;
  auto Found = this->Tasks.find({Job, Index});
  if (Found == this->Tasks.end())
    return Open;
  for (const auto &[Agent, Until] : Found->second)
    if (Now < Until)
      Open.insert(Agent);
  return Open;
}

bool OpenStartRecord::hasOpenStart(const std::string &Job,
                                   TimePoint Now) const {
  auto Task = this->Tasks.lower_bound({Job, 0});
  for (; Task != this->Tasks.end() && Task->first.first == Job; ++Task)
    for (const auto &[Agent, Until] : Task->second)
      if (Now < Until)
        return true;
  return false;
}

bool OpenStartRecord::mayMissOpenStarts(TimePoint Now) {
  if (!this->Started)
    this->Started = Now;
  this->Complete =
      this->Complete || Now - *this->Started >= this->Options.MaxCallDelay;
  return !this->Complete && this->WorkersKeepId.value_or(this->HasUnsettled);
}

void OpenStartRecord::sweep(TimePoint Now) {
  for (auto &[Task, Agents] : this->Tasks)
    std::erase_if(Agents,
                  [Now](const auto &Item) { return Now >= Item.second; });
  std::erase_if(this->Tasks,
                [](const auto &Item) { return Item.second.empty(); });
}

} // namespace yardwheel
