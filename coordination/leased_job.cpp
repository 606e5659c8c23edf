#include "coordination/leased_job.h"

namespace yardwheel {

peer::WorkerRequirement LeasedJobRequest::requirement() const {
  peer::WorkerRequirement Requirement;
  Requirement.set_pool(this->Pool);
  Requirement.set_label(this->RequiredLabel);
  Requirement.set_max_tasks(this->MaxPerWorker);
  return Requirement;
}

double LeasedJobRequest::coreMilliseconds() const {
  constexpr double MillisPerSecond = 1000;
  return static_cast<double>(this->Needs.cpu_milli()) * this->TaskCount *
         static_cast<double>(this->Estimate.count()) / MillisPerSecond;
}

const char *endName(LeasedEnd End) {
  switch (End) {
  case LeasedEnd::Completed:
    return "completed";
  case LeasedEnd::Failed:
    return "failed";
  case LeasedEnd::NotRun:
    return "not_run";
  case LeasedEnd::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace yardwheel
