//===- entry/leased_job.h - Best-effort jobs at an entry --------*- C++ -*-===//
///
/// \file
/// A best-effort job is one step of equal tasks. Nothing of it is stored: the
/// entry that took it coordinates it, and its tasks run only while that entry
/// renews its leases at their agents.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_LEASED_JOB_H
#define YARDWHEEL_ENTRY_LEASED_JOB_H

#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

/// Names one caller's wait for an answer, given by whoever waits.
using LeaseTicket = std::uint64_t;

/// A best-effort job after all checks of its form.
struct LeasedJobRequest {
  std::string Id;
  std::string Route;
  /// The pool of upstreams that may run it.
  std::string Pool;
  std::string Spec;
  std::uint32_t TaskCount = 0;
  peer::TaskNeeds Needs;
  /// A task's declared run time; a hint that may be far off.
  std::chrono::milliseconds Estimate{};
  /// A label that a worker must have; empty asks for none.
  std::string RequiredLabel;
  /// A rack on which the tasks run faster; empty if none does.
  std::string PreferredRack;
  /// Most tasks on one worker; 0 sets no bound.
  std::uint32_t MaxPerWorker = 0;
  /// Failed runs of a task after which the job has failed.
  std::uint32_t MaxAttempts = 1;
  /// From the hand-in until the answer is late.
  std::chrono::milliseconds Objective{};
  /// From the hand-in until the caller no longer waits.
  std::chrono::milliseconds Deadline{};
};

enum class LeasedEnd {
  /// Every task is done.
  Completed,
  /// A task has failed as often as it may.
  Failed,
  /// Given up; no task of the job has started or will.
  NotRun,
  /// Given up; a task may have started.
  Unknown,
};

/// An end's name in logs and metrics.
const char *endName(LeasedEnd End);

struct LeasedAnswer {
  LeasedEnd End = LeasedEnd::Unknown;
  /// The step at which the job ended, for logs and error bodies.
  std::string Step;
  /// The agent concerned; may be empty.
  std::string Peer;
  std::string Reason;
  /// When to hand the job in again; 0 says nothing.
  std::chrono::milliseconds RetryAfter{};
};

} // namespace yardwheel

#endif
