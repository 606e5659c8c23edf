//===- coordination/admission_check.h - Refusal of jobs ---------*- C++ -*-===//
///
/// \file
/// Interface of the rules that a coordinator asks, in order, whether to take a
/// job. The first one that refuses it decides. A rule uses no sockets and no
/// clock, and names the load that it answers.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_ADMISSION_CHECK_H
#define YARDWHEEL_COORDINATION_ADMISSION_CHECK_H

#include "coordination/leased_job.h"
#include "coordination/load_shedder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

class WorkerTable;

/// A submitted job, and the pool that it is for.
struct AdmissionQuery {
  const LeasedJobRequest &Request;
  const WorkerTable &Workers;
  /// Ratio of used to total processor time of the eligible workers, including
  /// tasks that wait at this process.
  double Pressure = 0;
};

/// Why a job is refused.
struct AdmissionRefusal {
  /// The rule that decided, for logs and metrics.
  const char *Rule = "";
  /// For the caller.
  std::string Reason;
  /// The pressure from which on the rule refuses the job; 0 if it does not go
  /// by that.
  double Limit = 0;
  /// How long the caller should wait before it resubmits the job; 0 leaves it
  /// to the coordinator.
  std::chrono::milliseconds RetryAfter{};
};

class AdmissionCheck {
public:
  virtual ~AdmissionCheck() = default;
  /// Records a submitted job, whether or not it is refused.
  virtual void onSubmitted(const AdmissionQuery &Query, Instant Now) {}
  /// Records a job that was handed to another process, which decides on it.
  virtual void onDelegated(const LeasedJobRequest &Request, Instant Now) {}
  /// Returns why the job is refused, or nothing if this rule takes it.
  virtual std::optional<AdmissionRefusal> check(const AdmissionQuery &Query,
                                                Instant Now) = 0;
};

/// Refuses jobs while the pool is overloaded; see LoadShedder.
class OverloadCheck final : public AdmissionCheck {
public:
  explicit OverloadCheck(ShedderOptions Options)
      : Shedder(std::move(Options)) {}

  void onSubmitted(const AdmissionQuery &Query, Instant Now) override;
  std::optional<AdmissionRefusal> check(const AdmissionQuery &Query,
                                        Instant Now) override;

private:
  LoadShedder Shedder;
};

using AdmissionChecks = std::vector<std::unique_ptr<AdmissionCheck>>;

} // namespace yardwheel

#endif
