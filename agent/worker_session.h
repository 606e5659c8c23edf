//===- agent/worker_session.h - Runs under a worker's lease -----*- C++ -*-===//
///
/// \file
/// Drives one worker: starts and stops runs, renews the lease that keeps them
/// alive, and learns of their ends. A start without a reply is sent again under
/// the same run number, which the worker carries out at most once. If that
/// fails as well the run is stopped, and counts as ended only once the worker
/// has confirmed the stop: from then on it refuses that run, however late the
/// start arrives.
///
/// Single-threaded, without sockets or clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_WORKER_SESSION_H
#define YARDWHEEL_AGENT_WORKER_SESSION_H

#include "agent/worker_port.h"
#include "core/clock.h"
#include "core/logger.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

struct SessionOptions {
  /// How far each call extends the worker's lease. At most what a worker
  /// grants; what runs on ends this long after its agent has.
  std::chrono::milliseconds Lease{900};
  /// How long a call for ends may wait while tasks run: each renews the
  /// lease, so a fraction of it.
  std::chrono::milliseconds HoldWait{120};
  /// The same while nothing runs.
  std::chrono::milliseconds IdleHoldWait{2000};
  /// The same until the runs of an earlier agent have ended, which takes a
  /// worker some tens of milliseconds.
  std::chrono::milliseconds FirstHoldWait{20};
  /// How often a start is sent before its run is stopped. Where half of the
  /// calls are lost, three leave one in eight without a reply.
  std::uint32_t MaxStartAttempts = 3;
  /// How long a call for ends may wait after a call stayed without a reply: a
  /// lost reply then hides an end for a shorter time.
  std::chrono::milliseconds HoldWaitAfterLoss{40};
  /// For how long after a lost call that holds; calls are lost for seconds.
  std::chrono::milliseconds LossWindow{2000};
  /// Before a stop without a reply is sent again.
  std::chrono::milliseconds StopRetryInterval{50};
  /// A confirmed stop has ended its run within this.
  std::chrono::milliseconds MaxStopDuration{100};
  /// Added to a lease before it is taken to have lapsed at a worker whose
  /// clock may be 2 % slow, that ends its runs a little later, and that may
  /// have been asked for more than the longest lease it grants, 100 ms above
  /// ours.
  std::chrono::milliseconds LeaseExpiryMargin{150};
  /// How long a reading of the worker's clock is carried on by ours: longer
  /// than a call for ends takes. Of the time in between the worker's host may
  /// have been suspended, or ours, and a lease by a clock that ran ahead would
  /// be the longest that the worker grants instead of the one asked for.
  std::chrono::milliseconds MaxClockReadingAge{4000};
  /// Before a confirmed stop, whose end has not been told, is sent again.
  std::chrono::milliseconds ConfirmedStopRetryInterval{1000};
  /// A worker that has answered nothing for this long gets no tasks. Several
  /// calls: single ones may stay without a reply at a worker that is sound.
  std::chrono::milliseconds SilenceTimeout{600};
  /// Before a failed call for ends is made again, or one whose reply had an end
  /// that could not be read.
  std::chrono::milliseconds HoldRetryInterval{20};
  /// How long ends that cannot be read are waited for: longer than the longest
  /// call for ends takes, so that a later reply has told them again.
  std::chrono::milliseconds UnreadableEndsTimeout{3000};
  /// Rows that cannot be read are logged at most this often.
  std::chrono::milliseconds UnreadableRowsLogInterval{1000};
};

/// Hears what becomes of runs. Each run that was started ends in one call.
class SessionEvents {
public:
  virtual ~SessionEvents() = default;
  /// Proof that the run has not begun and will not.
  virtual void onRunRefused(const RunKey &Run, WorkerRefusal Cause,
                            Instant Now) = 0;
  virtual void onRunEnded(const RunKey &Run, RunOutcome Outcome,
                          Instant Now) = 0;
  /// The agent now speaks to another life of the worker; what ran in the last
  /// one is told as ended next.
  virtual void onWorkerAttached(Instant Now) = 0;
  /// A life of the worker has ended without notice, with runs that may be the
  /// cause. Told before the next life is attached.
  virtual void onWorkerCrashed(const std::vector<RunKey> &Runs, Instant Now) {}
  /// The worker's room has shrunk or grown.
  virtual void onRoomChanged(Instant Now) {}
  /// The worker's present life may be given runs.
  virtual void onWorkerReady(Instant Now) = 0;
  /// The worker has left a call for ends without a reply.
  virtual void onWorkerSilent(Instant Now) = 0;
  /// Until when all runs may go on. The worker's lease is never extended beyond
  /// it, so that they end then whatever becomes of the agent and of its stops.
  virtual TimePoint maxWorkerLeaseEnd(Instant Now) const {
    return TimePoint::max();
  }
};

class WorkerSession {
public:
  WorkerSession(SessionOptions Options, WorkerPort &Port,
                SessionEvents &Events);

  /// Takes what the worker has announced of itself. Of the present life its
  /// room may change and it may drain, which is final. A new life ends all runs
  /// of the last one, which is asked first whether it is there: an announcement
  /// may have been held up on its way since before the worker restarted. While
  /// the last one may be there and has runs, it stays the present one.
  void onProfile(const WorkerProfile &New, Instant Now);
  bool hasWorker() const { return this->Profile.has_value(); }
  /// Whether the worker replies, has said what it is, and has no runs left of
  /// an earlier agent or for its last life.
  bool isReady() const {
    return this->Ready && this->Answering && this->Announced;
  }
  const WorkerProfile &profile() const { return *this->Profile; }

  void start(const RunKey &Run, const std::string &Spec, Instant Now);
  void stop(const RunKey &Run, Instant Now);

  void onStartReply(const WorkerIncarnation &Worker, const RunKey &Run,
                    const WorkerReply &Reply, Instant Now);
  void onStopReply(const WorkerIncarnation &Worker, const RunKey &Run,
                   const WorkerReply &Reply, Instant Now);
  void onHoldReply(const WorkerIncarnation &Worker, const WorkerReply &Reply,
                   Instant Now);
  void tick(Instant Now);

  std::size_t runs() const { return this->Runs.size(); }
  /// When the newest lease ends that the worker may have been given. A run that
  /// is started lasts as long, whatever lease its start brings.
  TimePoint leaseEnds() const { return this->LeaseEnds; }
  /// Whether a confirmed stop of the run has taken effect, so that only its end
  /// has not been told yet.
  bool hasStopped(const RunKey &Run, Instant Now) const;
  /// Whether the worker's last reply came in time; else it may be gone.
  bool isResponsive() const { return this->Ready && !this->LastHoldFailed; }

private:
  enum class Phase { Starting, Running, Stopping };
  struct Run {
    Phase State = Phase::Starting;
    /// Sent again with a start that stayed without a reply.
    std::string Spec;
    /// Starts that stayed without a reply. If there are any, no refusal proves
    /// that the run has not begun.
    std::uint32_t StartsLost = 0;
    TimePoint NextStop = TimePoint::min();
    /// When a stop was first confirmed.
    TimePoint StopConfirmedAt = TimePoint::max();
    TimePoint StartTime;
    /// It was not listed beside ends that could not be read, and is stopped: a
    /// confirmed stop proves that it has ended.
    bool EndUnreadable = false;
    /// The worker's life that it was begun for has listed it as running.
    bool Listed = false;
    /// When a confirmed stop of such a run has taken effect.
    TimePoint StoppedAt = TimePoint::max();
  };

  void attach(const WorkerProfile &New, Instant Now);
  /// Turns to another life of the same id, which has answered in place of the
  /// present one.
  void replaceIncarnation(const WorkerReply &Reply, Instant Now);
  /// Whether another life of the same id has answered.
  bool isFromOtherIncarnation(const WorkerReply &Reply) const;
  /// Takes what a life that was known by its answers only says of itself.
  void completeProfile(const WorkerProfile &New, Instant Now);
  /// Ends what had been begun for the last life of this id, once the present
  /// one has none of it.
  void settleInheritedRuns(Instant Now);
  void addCandidate(const WorkerProfile &New);
  /// Takes a later word of the present life.
  void updateProfile(const WorkerProfile &New, Instant Now);
  /// Decides on lives that were announced beside one that may be alive.
  void resolveCandidates(const WorkerReply &Reply, Instant Now);
  void sendStart(const RunKey &Key, const Run &Known, Instant Now);
  void onStartLost(const RunKey &Key, Run &Known, const WorkerReply &Reply,
                   Instant Now);
  void recordClock(const WorkerReply &Reply, Instant Now);
  /// Until when a call that is made now may extend the worker's lease.
  TimePoint nextLeaseEnd(Instant Now) const;
  /// The same, on the worker's clock, for a call that goes out.
  WorkerTime extendLease(Instant Now);
  bool isCurrent(const WorkerIncarnation &Worker) const;
  void raiseToken(Instant Now);
  void sendHold(std::chrono::milliseconds Wait, Instant Now);
  std::chrono::milliseconds holdWait(Instant Now) const;
  /// Renews the lease while a call for ends that cannot waits at the worker.
  void renewIfDue(Instant Now);
  void sendStop(const RunKey &Key, Run &Known, Instant Now);
  void onHoldFailed(const WorkerReply &Reply, Instant Now);
  void tickRuns(Instant Now);
  void lapseAllRuns(Instant Now);
  /// Tells of what ran when the present life ended, if that was a crash.
  void reportCrash(Instant Now);
  void recordLostCall(Instant Now);
  void markListedRuns(const WorkerReply &Reply);
  void processEnds(const WorkerReply &Reply, Instant Now);
  /// Replaces ends that stay unreadable by what else is known of their runs.
  void resolveUnreadableEnds(const WorkerReply &Reply, Instant Now);
  /// Stops the runs that the worker does not list and that the bad ends may
  /// mean. \returns whether there are any.
  bool stopUnlisted(const WorkerReply &Reply, Instant Now);
  void logUnreadableRows(const WorkerReply &Reply, Instant Now);
  void stopOrphanedRuns(const WorkerReply &Reply, Instant Now);
  /// Whether runs that could not be read may still be alive.
  bool mayHaveUnknownRuns(const WorkerReply &Reply, Instant Now);
  void end(const RunKey &Key, RunOutcome Outcome, Instant Now);
  void refuse(const RunKey &Key, WorkerRefusal Cause, Instant Now);

  SessionOptions Options;
  Logger Log{"worker"};
  WorkerPort &Port;
  SessionEvents &Events;
  std::optional<WorkerProfile> Profile;
  /// Lives that were announced while the present one seemed alive. With only
  /// the last of them kept, a late announcement would displace the new life,
  /// which is then without its agent until it announces itself again.
  std::deque<WorkerProfile> Candidates;
  std::uint64_t Token = 0;
  /// A reading of the worker's clock, and ours when it came.
  WorkerTime ClockReading{};
  TimePoint ClockReadingTime;
  std::uint64_t Acknowledged = 0;
  /// Since when ends have not been readable, and the last readable one then.
  std::optional<TimePoint> UnreadableEndsSince;
  std::uint64_t LastReadableEnd = 0;
  /// Since when running rows have not been readable.
  std::optional<TimePoint> UnreadableRunningSince;
  TimePoint NextUnreadableRowsLog = TimePoint::min();
  bool Ready = false;
  /// The present life has said what it is.
  bool Announced = false;
  bool Answering = true;
  /// The last call for ends failed: whether the worker hears us is not known.
  bool LastHoldFailed = false;
  TimePoint LastAnswer;
  TimePoint LastLoss = TimePoint::min();
  /// When the newest lease that the worker may have been given ends.
  TimePoint LeaseEnds = TimePoint::min();
  /// Calls for ends that have not come back.
  int PendingHolds = 0;
  TimePoint NextHold = TimePoint::min();
  std::map<RunKey, Run> Runs;
  /// When the first call since the worker was last heard stayed without a
  /// reply.
  std::optional<TimePoint> SilentSince;
  /// Runs that have lapsed since the worker was last heard, and when they were
  /// started. If it is heard no more, they were there when it ended.
  std::map<RunKey, TimePoint> LapsedWhileSilent;
  /// Runs of an earlier agent, or of the last life of this id, that have to end
  /// first.
  std::map<RunKey, Run> OrphanedRuns;
  /// Runs that were begun for the last life of this id. Calls name a life by
  /// its id, so that the present one may have them.
  std::map<RunKey, Run> InheritedRuns;
};

/// A refusal's and an end's name in logs.
const char *refusalName(WorkerRefusal Refusal);
const char *runOutcomeName(RunOutcome End);

} // namespace yardwheel

#endif
