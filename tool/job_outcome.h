//===- tool/job_outcome.h - What became of jobs -----------------*- C++ -*-===//
///
/// \file
/// Reads from log lines what became of jobs: served in time, or the decision
/// that lost them and what it rested on.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TOOL_JOB_OUTCOME_H
#define YARDWHEEL_TOOL_JOB_OUTCOME_H

#include "tool/log_line.h"

#include <chrono>
#include <vector>

namespace yardwheel {

enum class JobOutcome {
  ServedInTime,
  /// Refused by an entry before it was a job.
  RefusedAtIntake,
  /// Refused as the entry's route table may be old.
  RefusedForTable,
  /// Refused as the entry has just started.
  RefusedAtStartup,
  /// Refused for the room of the upstreams.
  RefusedForRoom,
  /// Taken, but no upstream started it.
  NotPlaced,
  EndedLate,
  /// A task failed too often.
  Failed,
  AgentLost,
  DelegateLost,
  DeadlinePassed,
  CallerGone,
  /// Cancelled, also by an entry that ends.
  Cancelled,
  OutcomeUnknown,
};

/// Returns how tables name an outcome.
const char *outcomeName(JobOutcome Outcome);
/// Whether a job with this outcome was refused by a decision on its arrival.
bool isRefusal(JobOutcome Outcome);

/// An outcome of one job, or of several of a route that are counted together.
struct OutcomeEvent {
  std::string Process;
  WallTime Time;
  JobOutcome Outcome = JobOutcome::ServedInTime;
  /// Empty if the line names no job.
  std::string Job;
  std::string Route;
  std::uint64_t Count = 1;
  /// The rule or the reason of a refusal.
  std::string Rule;
  /// How full the upstreams were taken to be, and the limit; refusals for room.
  std::optional<std::int64_t> TakenPercent;
  std::optional<std::int64_t> LimitPercent;
  /// How long new work was expected to wait; refusals at the intake.
  std::optional<std::chrono::milliseconds> Wait;
  /// Whether a line of counts covers it as well.
  bool IsSample = false;
};

/// Returns the outcomes that a line tells; several for counts by route.
std::vector<OutcomeEvent> readOutcomes(const LogLine &Line);

} // namespace yardwheel

#endif
