//===- entry/job.h - A job in flight at its entry ---------------*- C++ -*-===//
///
/// \file
/// The state of one job and of its tasks, and the typed description of a
/// failure.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_JOB_H
#define YARDWHEEL_ENTRY_JOB_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "dispatch/fair_queue.h"
#include "dispatch/upstream_table.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

/// Identifies one pending wait for an outcome; assigned by the waiting side.
using Ticket = std::uint64_t;

struct TaskSpec {
  std::string Payload;
  peer::Resources Needs;
  std::chrono::milliseconds Declared{};
};

/// A job request that has passed all format checks.
struct JobRequest {
  std::string Id;
  std::string Workspace;
  WallTime FirstSubmitted;
  /// The entry generated the id, so no other submission can have used it.
  bool HasGeneratedId = false;
  bool Repeatable = false;
  std::uint64_t Fingerprint = 0;
  /// Time remaining until the caller's deadline.
  std::chrono::milliseconds TimeLeft{};
  std::vector<TaskSpec> Tasks;

  /// The ledger's key for the job: the workspace and the id.
  std::string key() const { return this->Workspace + "/" + this->Id; }

  /// Returns what is known about execution while the job isn't claimed: an id
  /// supplied by the caller may have been submitted through another entry.
  peer::Ran ranBeforeClaim() const {
    return this->HasGeneratedId ? peer::RAN_NOT_RUN : peer::RAN_UNKNOWN;
  }
};

enum class TaskPhase : std::uint8_t { Waiting, Sent, Started, Done };

struct TaskState {
  TaskPhase Phase = TaskPhase::Waiting;
  UpstreamIndex Upstream = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Freshness = 0;
  std::uint32_t Attempt = 0;
  std::uint32_t UnansweredProbes = 0;
  /// The agent was asked to return the task.
  bool WithdrawRequested = false;
};

enum class JobPhase : std::uint8_t { Claiming, Attached, Running, Finished };

/// Another entry that waits for the outcome on behalf of its caller.
struct RemoteWaiter {
  PeerRef Entry;
  Ticket RemoteTicket = 0;
  std::uint64_t RemoteIncarnation = 0;
};

struct Job {
  JobNumber Number = 0;
  JobRank Rank = 0;
  JobRequest Request;
  peer::Parameters Limits;
  std::string PoolName;
  std::string Policy;
  JobPhase Phase = JobPhase::Claiming;

  std::vector<TaskState> States;
  std::vector<std::string> Results;
  std::uint32_t DoneCount = 0;
  /// Number of dispatched tasks that have neither ended nor been reported as
  /// not started.
  std::uint32_t OutstandingCount = 0;
  bool AnythingRan = false;

  TimePoint Submitted;
  TimePoint Deadline;
  std::vector<Ticket> Waiters;
  std::vector<RemoteWaiter> RemoteWaiters;
  std::optional<peer::JobOutcome> Outcome;
  /// The claim was released; the next submission starts from scratch.
  bool Released = false;
  /// The outcome is retained until this time.
  TimePoint KeepUntil;
  /// Size of the retained outcome in bytes.
  std::size_t AnswerBytes = 0;

  std::chrono::microseconds LongestService{};
  std::chrono::microseconds TotalService{};
  std::uint32_t WastedMessages = 0;

  /// Returns whether any task ran, as far as known, for reporting a failure.
  peer::Ran ran() const;
};

/// A failure as typed data; converted by failureOutcome().
struct FailureSpec {
  peer::FailureKind Kind = peer::FAILURE_UNSPECIFIED;
  peer::Ran Ran = peer::RAN_UNSPECIFIED;
  std::string Step;
  std::string Peer;
  std::string Reason;
  std::chrono::milliseconds RetryAfter{};
  int Task = -1;
};

peer::JobOutcome failureOutcome(const FailureSpec &Spec);

/// Failure: the id was submitted before with different content.
FailureSpec idConflict();
/// Failure: the job has ended and its answer is no longer retained.
FailureSpec answerExpired();

} // namespace yardwheel

#endif
