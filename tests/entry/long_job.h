//===- tests/entry/long_job.h - A job that outlasts its entry ---*- C++ -*-===//
///
/// \file
/// A job whose task runs for longer than a caller waits before it resubmits the
/// job.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_ENTRY_LONG_JOB_H
#define YARDWHEEL_TESTS_ENTRY_LONG_JOB_H

#include "coordination/leased_job.h"

#include <chrono>

namespace yardwheel {

/// Delay after an answer or a broken connection before a caller resubmits its
/// job.
inline constexpr std::chrono::milliseconds ResubmitAfter{1300};
inline constexpr std::chrono::milliseconds LongTaskDuration{5000};

inline LeasedJobRequest longJob() {
  LeasedJobRequest Job;
  Job.Id = "j";
  Job.Route = "long";
  Job.Needs.set_cpu_milli(1000);
  Job.Estimate = LongTaskDuration;
  Job.Objective = 2 * LongTaskDuration;
  Job.Deadline = 3 * LongTaskDuration;
  Job.MaxAttempts = 2;
  return Job;
}

} // namespace yardwheel

#endif
