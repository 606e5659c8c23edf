#include "coordination/admission_check.h"

namespace yardwheel {

void OverloadCheck::onSubmitted(const AdmissionQuery &Query, Instant Now) {
  const LeasedJobRequest &Request = Query.Request;
  this->Shedder.onJobSubmitted(Request.Route, Request.Priority,
                               Request.coreMilliseconds(), Now.Steady);
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
