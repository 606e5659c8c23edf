#include "coordination/leased_job.h"

namespace yardwheel {

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
