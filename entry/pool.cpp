#include "entry/pool.h"

#include <algorithm>

namespace yardwheel {

RoutePolicy &Pool::policy(const std::string &Name) {
  std::unique_ptr<RoutePolicy> &Known = this->Policies[Name];
  if (!Known)
    Known = makePolicy(Name);
  return *Known;
}

bool Pool::movesWaiting() const {
  return std::any_of(
      this->Policies.begin(), this->Policies.end(),
      [](const auto &Item) { return Item.second->movesWaiting(); });
}

RetryBudget &Pool::budget(const std::string &Workspace) {
  return this->Budgets[Workspace];
}

const std::vector<TaskRef> &Pool::tasksAt(UpstreamIndex Upstream) {
  if (Upstream >= this->Tasks.size())
    this->Tasks.resize(Upstream + 1);
  return this->Tasks[Upstream];
}

void Pool::addTask(UpstreamIndex Upstream, TaskRef Task) {
  this->tasksAt(Upstream);
  this->Tasks[Upstream].push_back(Task);
}

void Pool::removeTask(UpstreamIndex Upstream, TaskRef Task) {
  this->tasksAt(Upstream);
  std::vector<TaskRef> &List = this->Tasks[Upstream];
  auto Found = std::find(List.begin(), List.end(), Task);
  if (Found != List.end())
    List.erase(Found);
}

void Pool::addServiceSample(std::chrono::microseconds Seen) {
  constexpr int SmoothingSamples = 16;
  this->TypicalService += (Seen - this->TypicalService) / SmoothingSamples;
}

} // namespace yardwheel
