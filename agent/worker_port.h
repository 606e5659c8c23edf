//===- agent/worker_port.h - Calls to a worker ------------------*- C++ -*-===//
///
/// \file
/// The interface between an agent and a worker that runs tasks under leases.
/// Calls are asynchronous: they return at once and their replies are passed to
/// the session later. A call without a reply may have been carried out, or may
/// still be.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_WORKER_PORT_H
#define YARDWHEEL_AGENT_WORKER_PORT_H

#include "protocol/peer.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace yardwheel {

/// A point in time on the worker's own clock, in milliseconds.
using WorkerTime = std::chrono::milliseconds;

/// Identifies one run of a task. A later run of the same task has a higher
/// number.
struct RunKey {
  std::string Job;
  std::uint32_t Index = 0;
  std::uint64_t Run = 0;
  bool operator==(const RunKey &) const = default;
  bool operator<(const RunKey &Other) const {
    return std::tie(this->Job, this->Index, this->Run) <
           std::tie(Other.Job, Other.Index, Other.Run);
  }
};

/// Identifies one incarnation of a worker. A worker may restart under its old
/// id; its numbering of ended runs, its clock and the sequence of its
/// announcements then start over.
struct WorkerIncarnation {
  std::string Id;
  /// Start time of the worker in milliseconds since the Unix epoch; empty if
  /// the worker does not report it.
  std::optional<std::uint64_t> StartUnixMs;
};

/// Whether both values name the same incarnation. If either has no start time,
/// the ids alone decide.
inline bool isSameIncarnation(const WorkerIncarnation &A,
                              const WorkerIncarnation &B) {
  return A.Id == B.Id &&
         (!A.StartUnixMs || !B.StartUnixMs || *A.StartUnixMs == *B.StartUnixMs);
}

/// What a worker announces about itself.
struct WorkerProfile {
  /// Together with StartUnixMs the worker's incarnation; see WorkerIncarnation.
  std::string Id;
  std::optional<std::uint64_t> StartUnixMs;
  std::string Address;
  std::string Pool;
  peer::TaskNeeds Room;
  std::set<std::string> Labels;
  bool Draining = false;
  /// How much longer the worker is slow after its start.
  std::chrono::milliseconds ColdLeft{};
  /// How much longer the worker lasts at least, if it is about to leave and
  /// states it.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// Increases with each announcement of the same incarnation.
  std::uint64_t Sequence = 0;
  WorkerTime Clock{};

  WorkerIncarnation workerIncarnation() const {
    return {this->Id, this->StartUnixMs};
  }
};

struct StartCall {
  RunKey Run;
  std::string Spec;
  /// End of the worker's lease. All runs on the worker end when its clock
  /// passes this time without an extension.
  WorkerTime LeaseUntil{};
  std::uint64_t FencingToken = 0;
};

struct StopCall {
  RunKey Run;
  std::uint64_t FencingToken = 0;
};

struct HoldCall {
  std::uint64_t FencingToken = 0;
  /// The worker need not report ends up to this number again.
  std::uint64_t AcknowledgedEnd = 0;
  /// Empty if the call extends no lease.
  std::optional<WorkerTime> LeaseUntil;
  /// How long the worker may wait for a run to end before it replies.
  std::chrono::milliseconds Wait{};
};

enum class WorkerRefusal {
  None,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// This run or a later one of the same task was stopped or has ended on the
  /// worker.
  StaleRun,
  /// The lease in the call has expired.
  LeaseExpired,
  /// The worker has no room for the task.
  NoRoom,
  /// The worker is unhealthy and has not acted on the call.
  Unhealthy,
  /// Another incarnation of the worker is at this address.
  OtherIncarnation,
  /// The worker could not parse the call.
  Malformed,
};

enum class RunOutcome {
  Done,
  Failed,
  Stopped,
  Lapsed,
  /// The worker did not reply to the starts, and the run was stopped.
  Unanswered,
  /// Another incarnation of the worker may have started the run, and its
  /// outcome cannot be determined.
  Unknown,
  Other,
};

struct EndedRun {
  /// Position among the ended runs of a worker incarnation, counted from 1.
  std::uint64_t Number = 0;
  RunKey Run;
  RunOutcome Outcome = RunOutcome::Other;
};

struct WorkerReply {
  /// False if there was no reply, or one that proves nothing; the call may
  /// still have been carried out.
  bool Answered = false;
  WorkerRefusal Refusal = WorkerRefusal::None;
  /// Start time of the incarnation that replied; incarnations may share the id
  /// named in the call.
  std::optional<std::uint64_t> StartUnixMs;
  std::optional<WorkerTime> Clock;
  std::vector<RunKey> Running;
  std::vector<EndedRun> Ended;
  /// Number of rows that could not be parsed: in both lists together, and in
  /// the list of running tasks alone.
  std::size_t UnreadableRows = 0;
  std::size_t UnreadableRunning = 0;
  /// All ends up to this number were parsed.
  std::uint64_t ReadUpTo = UINT64_MAX;
  /// Description of the error, for logs.
  std::string Problem;
};

/// Sends calls to the worker's current incarnation.
class WorkerPort {
public:
  virtual ~WorkerPort() = default;
  /// Directs all later calls to this incarnation of the worker.
  virtual void attach(const WorkerProfile &Profile) = 0;
  virtual void start(const StartCall &Call) = 0;
  virtual void stop(const StopCall &Call) = 0;
  virtual void hold(const HoldCall &Call) = 0;
};

} // namespace yardwheel

#endif
