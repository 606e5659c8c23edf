//===- agent/worker_port.h - The calls that a worker takes ------*- C++ -*-===//
///
/// \file
/// The interface between an agent and a worker that runs tasks under leases.
/// Calls go out without waiting and their replies are reported to the session
/// later; a call without a reply may have been carried out, or may still be.
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

/// A point on a worker's own clock, in milliseconds.
using WorkerTime = std::chrono::milliseconds;

/// One run of a task. A later run of the same task has a higher number.
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

/// One life of a worker. A worker may start again under the id that it had;
/// then its numbers of ends, its clock and its announcements begin anew.
struct WorkerIncarnation {
  std::string Id;
  /// The Unix millisecond of its start; nothing where the worker does not say.
  std::optional<std::uint64_t> StartUnixMs;
};

/// Whether both names mean one life: without a time of birth on both sides the
/// id alone is the life.
inline bool isSameIncarnation(const WorkerIncarnation &A,
                              const WorkerIncarnation &B) {
  return A.Id == B.Id &&
         (!A.StartUnixMs || !B.StartUnixMs || *A.StartUnixMs == *B.StartUnixMs);
}

/// What a worker says of itself.
struct WorkerProfile {
  /// Its life; see WorkerIncarnation.
  std::string Id;
  std::optional<std::uint64_t> StartUnixMs;
  std::string Address;
  std::string Pool;
  peer::TaskNeeds Room;
  std::set<std::string> Labels;
  bool Draining = false;
  /// Increases with each announcement of the same life.
  std::uint64_t Sequence = 0;
  WorkerTime Clock{};

  WorkerIncarnation workerIncarnation() const {
    return {this->Id, this->StartUnixMs};
  }
};

struct StartCall {
  RunKey Run;
  std::string Spec;
  /// All runs of the worker end when its clock passes this unextended.
  WorkerTime LeaseUntil{};
  std::uint64_t FencingToken = 0;
};

struct StopCall {
  RunKey Run;
  std::uint64_t FencingToken = 0;
};

struct HoldCall {
  std::uint64_t FencingToken = 0;
  /// Ends up to this number need not be told again.
  std::uint64_t AcknowledgedEnd = 0;
  /// Nothing extends no lease.
  std::optional<WorkerTime> LeaseUntil;
  /// How long the worker may wait for an end before it replies.
  std::chrono::milliseconds Wait{};
};

enum class WorkerRefusal {
  None,
  /// A higher fencing token has been seen.
  Fenced,
  /// This run or a later one has been stopped or has ended there.
  StaleRun,
  /// The lease in the call has run out.
  LeaseExpired,
  /// Its room does not hold the task.
  NoRoom,
  /// The worker is unwell and has done nothing.
  Unhealthy,
  /// Another life of the worker is at this address.
  OtherIncarnation,
  /// The call could not be read.
  Malformed,
};

enum class RunOutcome {
  Done,
  Failed,
  Stopped,
  Lapsed,
  /// The worker left its starts without a reply, and it was stopped.
  Unanswered,
  /// Another life of the worker may have begun it, and nobody can tell what
  /// became of it.
  Unknown,
  Other,
};

struct EndedRun {
  /// Counts a worker life's ends from 1.
  std::uint64_t Number = 0;
  RunKey Run;
  RunOutcome Outcome = RunOutcome::Other;
};

struct WorkerReply {
  /// False where no reply came, or one that proves nothing: the call may have
  /// been carried out.
  bool Answered = false;
  WorkerRefusal Refusal = WorkerRefusal::None;
  /// Which of the lives that share the id of the call has answered.
  std::optional<std::uint64_t> StartUnixMs;
  std::optional<WorkerTime> Clock;
  std::vector<RunKey> Running;
  std::vector<EndedRun> Ended;
  /// Rows of both lists, and of the first alone, that could not be read.
  std::size_t UnreadableRows = 0;
  std::size_t UnreadableRunning = 0;
  /// Ends up to this number have all been read.
  std::uint64_t ReadUpTo = UINT64_MAX;
  /// What went wrong, for logs.
  std::string Problem;
};

/// Sends calls to the worker's present life.
class WorkerPort {
public:
  virtual ~WorkerPort() = default;
  /// All later calls go to this life of the worker.
  virtual void attach(const WorkerProfile &Profile) = 0;
  virtual void start(const StartCall &Call) = 0;
  virtual void stop(const StopCall &Call) = 0;
  virtual void hold(const HoldCall &Call) = 0;
};

} // namespace yardwheel

#endif
