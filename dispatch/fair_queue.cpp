#include "dispatch/fair_queue.h"

#include <algorithm>

namespace yardwheel {

bool FairQueue::isReady(const WorkspaceQueue &Target) {
  return Target.Waiting > 0 && Target.InFlight < Target.Capacity;
}

template <typename Edit>
void FairQueue::modify(const std::string &Workspace, Edit Change) {
  auto Found = this->Queues.try_emplace(Workspace).first;
  WorkspaceQueue &Target = Found->second;
  // The sort key must not change while the queue is in the set.
  if (isReady(Target))
    this->ReadyQueues.erase(&*Found);
  Change(Target);
  if (isReady(Target))
    this->ReadyQueues.insert(&*Found);
}

void FairQueue::configure(const std::string &Workspace, std::uint32_t Weight,
                          std::uint32_t Capacity) {
  this->modify(Workspace, [&](WorkspaceQueue &Target) {
    Target.Weight = std::max(Weight, 1U);
    Target.Capacity = std::max(Capacity, 1U);
  });
}

void FairQueue::push(const std::string &Workspace, JobRank Rank, JobNumber Job,
                     std::uint32_t Index) {
  this->modify(Workspace, [&](WorkspaceQueue &Target) {
    // An idle workspace must not accumulate credit.
    if (Target.Waiting == 0)
      Target.VirtualStart = std::max(Target.VirtualStart, this->VirtualTime);
    Target.Jobs[{Rank, Job}].push_back(Index);
    ++Target.Waiting;
  });
  ++this->Total;
}

void FairQueue::removeJob(const std::string &Workspace, JobRank Rank,
                          JobNumber Job) {
  this->modify(Workspace, [&](WorkspaceQueue &Target) {
    auto Found = Target.Jobs.find({Rank, Job});
    if (Found == Target.Jobs.end())
      return;
    Target.Waiting -= Found->second.size();
    this->Total -= Found->second.size();
    Target.Jobs.erase(Found);
  });
}

std::optional<WaitingTask> FairQueue::front() const {
  if (this->ReadyQueues.empty())
    return std::nullopt;
  const auto &[Workspace, Target] = **this->ReadyQueues.begin();
  const auto &[Job, Tasks] = *Target.Jobs.begin();
  return WaitingTask{Workspace, Job.first, Job.second, Tasks.front()};
}

void FairQueue::pop() {
  if (this->ReadyQueues.empty())
    return;
  const std::string &Workspace = (*this->ReadyQueues.begin())->first;
  this->modify(Workspace, [&](WorkspaceQueue &Target) {
    auto First = Target.Jobs.begin();
    First->second.pop_front();
    if (First->second.empty())
      Target.Jobs.erase(First);
    --Target.Waiting;
    ++Target.InFlight;
    this->VirtualTime = std::max(this->VirtualTime, Target.VirtualStart);
    Target.VirtualStart += 1.0 / Target.Weight;
  });
  --this->Total;
  ++this->TotalInFlight;
}

void FairQueue::onSettled(const std::string &Workspace) {
  this->modify(Workspace, [&](WorkspaceQueue &Target) {
    if (Target.InFlight == 0)
      return;
    --Target.InFlight;
    --this->TotalInFlight;
  });
}

std::size_t FairQueue::waiting(const std::string &Workspace) const {
  auto Found = this->Queues.find(Workspace);
  return Found == this->Queues.end() ? 0 : Found->second.Waiting;
}

} // namespace yardwheel
