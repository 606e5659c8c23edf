#include "dispatch/fair_queue.h"

#include <algorithm>

namespace yardwheel {

void FairQueue::configure(const std::string &Workspace, std::uint32_t Weight,
                          std::uint32_t Capacity) {
  Line &Target = this->Lines[Workspace];
  Target.Weight = std::max(Weight, 1U);
  Target.Capacity = std::max(Capacity, 1U);
}

void FairQueue::push(const std::string &Workspace, JobRank Rank, JobNumber Job,
                     std::uint32_t Index) {
  Line &Target = this->Lines[Workspace];
  // A workspace that was idle has saved nothing up.
  if (Target.Waiting == 0)
    Target.VirtualStart = std::max(Target.VirtualStart, this->VirtualTime);
  Target.Jobs[{Rank, Job}].push_back(Index);
  ++Target.Waiting;
  ++this->Total;
}

void FairQueue::removeJob(const std::string &Workspace, JobRank Rank,
                          JobNumber Job) {
  Line &Target = this->Lines[Workspace];
  auto Found = Target.Jobs.find({Rank, Job});
  if (Found == Target.Jobs.end())
    return;
  Target.Waiting -= Found->second.size();
  this->Total -= Found->second.size();
  Target.Jobs.erase(Found);
}

const std::pair<const std::string, FairQueue::Line> *FairQueue::next() const {
  const std::pair<const std::string, Line> *Best = nullptr;
  for (const auto &Candidate : this->Lines) {
    const Line &Target = Candidate.second;
    if (Target.Waiting == 0 || Target.Out >= Target.Capacity)
      continue;
    if (Best == nullptr || Target.VirtualStart < Best->second.VirtualStart)
      Best = &Candidate;
  }
  return Best;
}

std::optional<WaitingTask> FairQueue::front() const {
  const auto *Next = this->next();
  if (Next == nullptr)
    return std::nullopt;
  const auto &[Job, Tasks] = *Next->second.Jobs.begin();
  return WaitingTask{Next->first, Job.first, Job.second, Tasks.front()};
}

void FairQueue::pop() {
  const auto *Next = this->next();
  if (Next == nullptr)
    return;
  Line &Target = this->Lines[Next->first];
  auto First = Target.Jobs.begin();
  First->second.pop_front();
  if (First->second.empty())
    Target.Jobs.erase(First);
  --Target.Waiting;
  --this->Total;
  ++Target.Out;
  ++this->TotalOut;
  this->VirtualTime = std::max(this->VirtualTime, Target.VirtualStart);
  Target.VirtualStart += 1.0 / Target.Weight;
}

void FairQueue::onSettled(const std::string &Workspace) {
  Line &Target = this->Lines[Workspace];
  if (Target.Out == 0)
    return;
  --Target.Out;
  --this->TotalOut;
}

std::size_t FairQueue::waiting(const std::string &Workspace) const {
  auto Found = this->Lines.find(Workspace);
  return Found == this->Lines.end() ? 0 : Found->second.Waiting;
}

} // namespace yardwheel
