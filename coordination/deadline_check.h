//===- coordination/deadline_check.h - Refuses hopeless jobs ----*- C++ -*-===//
///
/// \file
/// Refuses a job at once if its last task is predicted to end after its
/// caller's deadline.
///
/// Load pattern: more work waits beyond the pool's room than can be done before
/// the deadline of a job that arrives. Taken, the job would wait until its
/// deadline, and run in part for nobody, before its caller is told. Refused at
/// once, the caller has that time to try again.
///
/// Only the deadline counts: callers still use an answer that misses its
/// objective. No job is refused while there is room for all its tasks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_DEADLINE_CHECK_H
#define YARDWHEEL_COORDINATION_DEADLINE_CHECK_H

#include "coordination/admission_check.h"
#include "coordination/drain_forecast.h"

namespace yardwheel {

struct DeadlineCheckOptions {
  bool Enabled = false;
  /// Share of the predicted time after which a job may already end. Declared
  /// run times are off by 40 %, and a job that could have been served must not
  /// be refused.
  double EarliestEndShare = 0.6;
};

class DeadlineCheck final : public AdmissionCheck {
public:
  /// \param Drain Must outlive the check.
  DeadlineCheck(DeadlineCheckOptions Options, const DrainForecast &Drain)
      : Options(Options), Drain(Drain) {}

  std::optional<AdmissionRefusal> check(const AdmissionQuery &Query,
                                        Instant Now) override;

private:
  DeadlineCheckOptions Options;
  const DrainForecast &Drain;
};

} // namespace yardwheel

#endif
