#include "coordination/admission_check.h"

namespace yardwheel {

void OverloadCheck::onSubmitted(const AdmissionQuery &Query, Instant Now) {
  const LeasedJobRequest &Request = Query.Request;
  constexpr double MillisPerSecond = 1000;
  double CoreMilliseconds =
      static_cast<double>(Request.Needs.cpu_milli()) * Request.TaskCount *
      static_cast<double>(Request.Estimate.count()) / MillisPerSecond;
  this->Shedder.onJobSubmitted(Request.Route, Request.Priority,
                               CoreMilliseconds, Now.Steady);
  this->Shedder.onPressure(Query.Pressure, Now.Steady);
}

std::optional<AdmissionRefusal>
OverloadCheck::check(const AdmissionQuery &Query, Instant Now) {
  double Limit = this->Shedder.limitFor(Query.Request.Route, Now.Steady);
  if (Query.Pressure < Limit)
    return std::nullopt;
  return AdmissionRefusal{"overload", "upstreams are short of room", Limit, {}};
}

} // namespace yardwheel
