//===- coordination/job_intake.h - Takes best-effort jobs -------*- C++ -*-===//
///
/// \file
/// Interface of what takes callers' best-effort jobs: the coordinator itself,
/// or a filter in front of it.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_JOB_INTAKE_H
#define YARDWHEEL_COORDINATION_JOB_INTAKE_H

#include "coordination/leased_job.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace yardwheel {

class JobIntake {
public:
  virtual ~JobIntake() = default;

  /// Accepts or refuses a job, or joins one that is in progress. The answer
  /// goes to the answer sink, possibly during this call.
  virtual void submit(LeasedJobRequest Request, LeaseTicket Waiter,
                      Instant Now) = 0;
  /// Removes a caller that has disconnected. The job is cancelled if no other
  /// caller waits for it.
  virtual void withdraw(const std::string &Id, LeaseTicket Waiter,
                        const std::string &Reason, Instant Now) = 0;
  /// Cancels the job for all of its callers.
  virtual void cancel(const std::string &Id, const std::string &Reason,
                      Instant Now) = 0;
  /// Cancels all jobs, at shutdown.
  virtual void cancelAll(const std::string &Reason, Instant Now) = 0;
  /// Records when this process was last behind on its input. Must be called
  /// before any input that may have waited is handled.
  virtual void noteBehind(TimePoint LastBehind, Instant Now) = 0;

  /// Whether a job with this id is in progress.
  virtual bool isRunning(const std::string &Id) const = 0;
  /// Whether a resubmission of this job would join the runs in progress and
  /// start no new ones.
  virtual bool mayJoin(const std::string &Id) const = 0;
  /// Number of jobs of a route that have not started as far as is known here.
  virtual std::uint32_t pending(const std::string &Route) const = 0;
  /// Number of submissions that wait for an answer.
  virtual std::size_t inFlight() const = 0;
};

} // namespace yardwheel

#endif
