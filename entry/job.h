//===- entry/job.h - A job in flight at its entry ---------------*- C++ -*-===//
///
/// \file
/// The state of one job and of its tasks, and the words for how it failed.
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

/// Names one wait for an outcome, given by whoever waits.
using Ticket = std::uint64_t;

struct TaskSpec {
  std::string Payload;
  peer::Resources Needs;
  std::chrono::milliseconds Declared{};
};

/// A job as it was asked for, after all checks of its form.
struct JobRequest {
  std::string Id;
  std::string Workspace;
  WallTime FirstSubmitted;
  /// The id was made here, so nobody else can have submitted it.
  bool HasGeneratedId = false;
  bool Repeatable = false;
  std::uint64_t Fingerprint = 0;
  /// Time the caller gives the job from now on.
  std::chrono::milliseconds TimeLeft{};
  std::vector<TaskSpec> Tasks;

  /// The id within its workspace, as the ledger knows it.
  std::string key() const { return this->Workspace + "/" + this->Id; }

  /// What may be said of a request that has got no further than its claim: an
  /// id that came from outside may have been submitted elsewhere.
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
  /// Its agent was asked to give it back.
  bool WithdrawRequested = false;
};

enum class JobPhase : std::uint8_t { Claiming, Attached, Running, Finished };

/// An entry that waits for the outcome on behalf of its own caller.
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
  /// Tasks sent whose end or non-start is not yet known.
  std::uint32_t OutstandingCount = 0;
  bool AnythingRan = false;

  TimePoint Submitted;
  TimePoint Deadline;
  std::vector<Ticket> Waiters;
  std::vector<RemoteWaiter> RemoteWaiters;
  std::optional<peer::JobOutcome> Outcome;
  /// The claim was given back: the next submission starts afresh.
  bool Released = false;
  /// The outcome is kept until then.
  TimePoint KeepUntil;
  /// Size of the kept outcome.
  std::size_t AnswerBytes = 0;

  std::chrono::microseconds LongestService{};
  std::chrono::microseconds TotalService{};
  std::uint32_t WastedMessages = 0;

  /// What is known of whether any task ran, for a failure reported now.
  peer::Ran ran() const;
};

/// A failure as typed data.
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

/// The id was submitted before with other content.
FailureSpec idConflict();
/// The job has ended and its answer is no longer kept.
FailureSpec answerExpired();

} // namespace yardwheel

#endif
