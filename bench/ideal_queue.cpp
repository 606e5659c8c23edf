#include "bench/ideal_queue.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace yardwheel {

namespace {

/// Times at which slots become free, earliest first.
using FreeTimes =
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>>;

/// Removes the slots of one upstream: the ones that become free first.
void removeUpstream(FreeTimes &Slots, std::uint32_t Count) {
  for (std::uint32_t I = 0; I < Count; ++I)
    Slots.pop();
}

/// Runs one job.
/// \returns the time at which its last task ends.
Duration runJob(const JobPlan &Job, FreeTimes &Slots) {
  Duration End = Job.At;
  for (const TaskPlan &Task : Job.Tasks) {
    Duration Start = std::max(Job.At, Slots.top());
    if (Job.CancelAt && Start >= *Job.CancelAt)
      continue;
    Duration Finish = Start + Task.Service;
    if (Job.CancelAt)
      Finish = std::min(Finish, *Job.CancelAt);
    Slots.pop();
    Slots.push(Finish);
    End = std::max(End, Finish);
  }
  return End;
}

} // namespace

std::vector<std::optional<Duration>>
idealResponses(const std::vector<JobPlan> &Jobs, const Deployment &Site,
               const LoadSpec &Load, Duration Length) {
  FreeTimes Slots;
  for (std::uint32_t I = 0; I < Site.totalSlots(); ++I)
    Slots.push(Duration(0));
  if (Load.FailingUpstream)
    removeUpstream(Slots, Site.Slots);
  bool LossPending = Load.LostUpstream;
  std::vector<std::optional<Duration>> Responses;
  Responses.reserve(Jobs.size());
  for (const JobPlan &Job : Jobs) {
    if (LossPending && Job.At >= Length / 2) {
      removeUpstream(Slots, Site.Slots);
      LossPending = false;
    }
    Duration End = runJob(Job, Slots);
    if (Job.CancelAt)
      Responses.emplace_back();
    else
      Responses.emplace_back(End - Job.At);
  }
  return Responses;
}

} // namespace yardwheel
