#include "coordination/leased_job.h"

namespace yardwheel {

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
