#include "coordination/deadline_check.h"

#include "coordination/worker_table.h"

#include <algorithm>

namespace yardwheel {

std::optional<AdmissionRefusal>
DeadlineCheck::check(const AdmissionQuery &Query, Instant Now) {
  const LeasedJobRequest &Request = Query.Request;
  if (!this->Options.Enabled || Query.Pressure <= FullPressure)
    return std::nullopt;
  // The job's own tasks, without those that wait at this process.
  std::uint64_t OwnMilliCores =
      std::uint64_t{Request.Needs.cpu_milli()} * Request.TaskCount;
  double Pressure =
      std::max(Query.Pressure,
               Query.Workers.pressure(Request, OwnMilliCores, Now.Steady));
  std::optional<std::chrono::milliseconds> Wait =
      this->Drain.timeToDrain(Request.Pool, Pressure, FullPressure);
  if (!Wait)
    return std::nullopt;
  std::chrono::duration<double, std::milli> EarliestEnd =
      this->Options.EarliestEndShare * (*Wait + Request.Estimate);
  if (EarliestEnd <= Request.Deadline)
    return std::nullopt;
  return AdmissionRefusal{
      "deadline", "it would end after its deadline", FullPressure, {}};
}

} // namespace yardwheel
