//===- coordination/leased_job.h - Best-effort jobs at an entry -*- C++ -*-===//
///
/// \file
/// A best-effort job is one step of identical tasks. It is never persisted: the
/// entry that accepted it coordinates it, and its tasks run only while that
/// entry renews its leases at their agents.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_LEASED_JOB_H
#define YARDWHEEL_COORDINATION_LEASED_JOB_H

#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

/// Identifies a caller that waits for the answer; assigned by the waiting side.
using LeaseTicket = std::uint64_t;

/// A best-effort job whose request has been validated.
struct LeasedJobRequest {
  std::string Id;
  std::string Route;
  /// Priority of the route's queue; 0 comes first.
  std::uint32_t Priority = 0;
  /// The pool of upstreams that may run it.
  std::string Pool;
  std::string Spec;
  std::uint32_t TaskCount = 0;
  peer::TaskNeeds Needs;
  /// Declared run time of a task; a hint that may be far off.
  std::chrono::milliseconds Estimate{};
  /// Label that a worker must have; empty if none is required.
  std::string RequiredLabel;
  /// Rack on which the tasks run faster; empty if there is no preference.
  std::string PreferredRack;
  /// Maximum number of tasks on one worker; 0 means no limit.
  std::uint32_t MaxPerWorker = 0;
  /// Number of failed runs of one task after which the job fails.
  std::uint32_t MaxAttempts = 1;
  /// Time from the submission after which the answer counts as late.
  std::chrono::milliseconds Objective{};
  /// Time from the submission after which the caller no longer waits.
  std::chrono::milliseconds Deadline{};
  /// Where the caller is; empty if it is not known.
  std::string DataCentre;

  /// Returns what agents check before they start a task.
  peer::WorkerRequirement requirement() const;
  /// Returns the declared work of all tasks, as processor time.
  double coreMilliseconds() const;
};

enum class LeasedEnd {
  /// All tasks have completed.
  Completed,
  /// A task has failed MaxAttempts times.
  Failed,
  /// Given up; no task of the job has started or will start.
  NotRun,
  /// Given up; a task may have started.
  Unknown,
};

/// Step of the answer to a job that no worker may take.
inline constexpr const char *PlaceStep = "place";

/// Returns the name of an end as used in logs and metrics.
const char *endName(LeasedEnd End);

struct LeasedAnswer {
  LeasedEnd End = LeasedEnd::Unknown;
  /// Processing step at which the job ended, for logs and error bodies.
  std::string Step;
  /// The agent involved; may be empty.
  std::string Peer;
  std::string Reason;
  /// How long the caller should wait before it resubmits the job; 0 gives no
  /// advice.
  std::chrono::milliseconds RetryAfter{};
};

} // namespace yardwheel

#endif
