//===- agent/worker_session.h - Runs on one worker --------------*- C++ -*-===//
///
/// \file
/// Controls one worker: starts and stops runs, renews the lease that keeps them
/// alive, and collects their ends. A start without a reply is sent again under
/// the same run number, which the worker executes at most once. If the retries
/// fail as well, the run is stopped, and it counts as ended only once the
/// worker has confirmed the stop. From then on the worker refuses that run,
/// however late a start arrives.
///
/// A worker that may restart under its id makes no such promise: its next
/// incarnation knows of no stop. There the run is not stopped, so that its task
/// need not be placed elsewhere while the worker may still begin it; its start
/// is sent again until the worker replies to it or lists the run.
///
/// Single-threaded; uses no sockets and no clock of its own.
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
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct SessionOptions {
  /// How far each call extends the worker's lease; at most what a worker
  /// grants. If the agent dies, its runs end after this time.
  std::chrono::milliseconds Lease{900};
  /// How long a hold call, the long poll for ended runs, may wait while runs
  /// are active. Each such call renews the lease, so this is a fraction of it.
  std::chrono::milliseconds HoldWait{120};
  /// The same while no run is active.
  std::chrono::milliseconds IdleHoldWait{2000};
  /// The same until the runs of an earlier agent have ended, which takes a
  /// worker some tens of milliseconds.
  std::chrono::milliseconds FirstHoldWait{20};
  /// How often a start is sent before its run is stopped or, at a worker that
  /// may restart under its id, awaited. If half of the calls
  /// are lost, one start in eight stays without a reply after three attempts.
  std::uint32_t MaxStartAttempts = 3;
  /// Delay before a further start of an awaited run.
  std::chrono::milliseconds StartRetryInterval{250};
  /// How long a hold call may wait after a call stayed without a reply, so that
  /// the loss of another reply delays the report of an end for a shorter time.
  std::chrono::milliseconds HoldWaitAfterLoss{40};
  /// How long HoldWaitAfterLoss applies after a lost call; losses come in
  /// periods of seconds.
  std::chrono::milliseconds LossWindow{2000};
  /// How long after the token has changed a refusal may concern a call sent
  /// before; longer than a call that is refused takes.
  std::chrono::milliseconds TokenSettleTime{100};
  /// Delay before a stop without a reply is sent again.
  std::chrono::milliseconds StopRetryInterval{50};
  /// Time within which a confirmed stop has ended its run.
  std::chrono::milliseconds MaxStopDuration{100};
  /// Added to a lease before it is taken to have expired on the worker. The
  /// worker's clock may be 2 % slow, it ends its runs a little later, and it
  /// may have been asked for more than the longest lease it grants, 100 ms
  /// above ours.
  std::chrono::milliseconds LeaseExpiryMargin{150};
  /// How much longer than Lease the longest lease is that a worker grants. The
  /// next incarnation under the same id grants it for any deadline on the
  /// previous clock.
  std::chrono::milliseconds LongestLeaseExcess{100};
  /// How slow a worker's clock may be, in thousandths.
  std::uint32_t MaxClockLagPermille = 20;
  /// Time within which a worker ends its runs after its lease has ended.
  std::chrono::milliseconds LapseDuration{10};
  /// How long a reading of the worker's clock may be extrapolated with ours;
  /// longer than a hold call takes. Over a longer time the worker's host or
  /// ours may have been suspended. If the extrapolated time were ahead of the
  /// worker's clock, the worker would grant the longest lease that it can
  /// instead of the one intended.
  std::chrono::milliseconds MaxClockReadingAge{4000};
  /// How far the worker's clock may be off the time expected from an earlier
  /// reading, beyond its lag. A clock that has started over falls back by the
  /// time for which the worker had run.
  std::chrono::milliseconds ClockTolerance{200};
  /// Delay before a confirmed stop whose end has not been reported is sent
  /// again.
  std::chrono::milliseconds ConfirmedStopRetryInterval{1000};
  /// A worker that has not replied for this long gets no tasks. Spans several
  /// calls, because a healthy worker may leave single ones without a reply.
  std::chrono::milliseconds SilenceTimeout{600};
  /// Number of hold calls in a row without a reply after which nothing is
  /// started until one succeeds. A worker that leaves half of the calls without
  /// a reply gets there one time in sixteen.
  std::uint32_t MaxUnansweredHolds = 4;
  /// Delay before the next hold call after one failed or its reply had an end
  /// that could not be parsed.
  std::chrono::milliseconds HoldRetryInterval{20};
  /// How long to wait for a readable copy of ends that could not be parsed:
  /// longer than the longest hold call, so that a later reply has reported them
  /// again.
  std::chrono::milliseconds UnreadableEndsTimeout{3000};
  /// Minimum time between two log messages about rows that could not be parsed.
  std::chrono::milliseconds UnreadableRowsLogInterval{1000};
};

/// Receives the results of runs. For each started run, exactly one of
/// onRunRefused() and onRunEnded() is called.
class SessionEvents {
public:
  virtual ~SessionEvents() = default;
  /// Called with proof that the run has not started and will not.
  virtual void onRunRefused(const RunKey &Run, WorkerRefusal Cause,
                            Instant Now) = 0;
  virtual void onRunEnded(const RunKey &Run, RunOutcome Outcome,
                          Instant Now) = 0;
  /// Called when the agent switches to another incarnation of the worker; the
  /// ends of the previous incarnation's runs are reported next.
  virtual void onWorkerAttached(Instant Now) = 0;
  /// Called when an incarnation of the worker has ended without notice while it
  /// had runs, which may be the cause. Comes before the next incarnation is
  /// attached.
  virtual void onWorkerCrashed(const std::vector<RunKey> &Runs, Instant Now) {}
  /// Called when the worker's room has shrunk or grown, or when it has
  /// announced that it is of another kind.
  virtual void onRoomChanged(Instant Now) {}
  /// Called when runs may be started on the worker's current incarnation.
  virtual void onWorkerReady(Instant Now) = 0;
  /// Called when the worker has not replied for SessionOptions::SilenceTimeout.
  virtual void onWorkerSilent(Instant Now) = 0;
  /// Called when a start stayed without a reply at a worker that may restart
  /// under its id.
  virtual void onStartOpen(const RunKey &Run, Instant Now) {}
  /// Called when SessionOptions::MaxStartAttempts starts of a run stayed
  /// without a reply and the run is not stopped.
  virtual void onStartsUnanswered(const RunKey &Run, Instant Now) {}
  /// \returns until when all runs may continue. The worker's lease is never
  /// extended beyond this time, so that the runs end then even if the agent
  /// dies or its stops are lost.
  virtual TimePoint maxWorkerLeaseEnd(Instant Now) const {
    return TimePoint::max();
  }
  /// \returns when the run must have ended, whichever incarnation of the worker
  /// executes it.
  virtual TimePoint lastRunEnd(const RunKey &Run) const {
    return TimePoint::max();
  }
};

class WorkerSession {
public:
  WorkerSession(SessionOptions Options, WorkerPort &Port,
                SessionEvents &Events);

  /// Handles an announcement of the worker. Within the current incarnation, the
  /// room may change and the worker may start to drain, which is final. A new
  /// incarnation ends all runs of the previous one. The previous one is probed
  /// first, because an announcement sent before the worker restarted may arrive
  /// late. While the previous one may be alive and has runs, it stays the
  /// current one.
  void onProfile(const WorkerProfile &New, Instant Now);
  bool hasWorker() const { return this->Profile.has_value(); }
  /// Whether the worker replies, has announced itself, and has no runs left of
  /// an earlier agent or of its previous incarnation.
  bool isReady() const {
    return this->Ready && this->Answering && this->Announced;
  }
  const WorkerProfile &profile() const { return *this->Profile; }
  /// Whether the current incarnation has announced itself. If not, profile()
  /// describes the one before it.
  bool hasAnnounced() const { return this->Profile && this->Announced; }
  /// \returns how much longer the worker is slow after its start.
  std::chrono::milliseconds coldLeft(Instant Now) const;
  /// \returns how much longer the worker lasts at least; nothing while it does
  /// not state an end.
  std::optional<std::chrono::milliseconds> timeLeft(Instant Now) const;

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
  /// \returns when the newest lease ends that the worker may hold. A run that
  /// is started lasts as long, whatever lease its start carries.
  TimePoint leaseEnds() const { return this->LeaseEnds; }
  /// Whether a run that must have ended by \p Limit does so even if the next
  /// incarnation with this id begins it, or has begun it, and executes a call
  /// sent now that carries a lease.
  bool endsInTime(TimePoint Limit, Instant Now) const;
  /// Whether a call sent now may carry a lease: all runs that the next
  /// incarnation may have begun would still end in time.
  bool mayCarryLease(Instant Now) const;
  /// Whether a confirmed stop of the run has taken effect, so that only the
  /// report of its end is missing.
  bool hasStopped(const RunKey &Run, Instant Now) const;
  /// Whether the run was started and no start of it can be executed any more:
  /// the only one sent has been answered.
  bool isStartAnswered(const RunKey &Run) const;
  /// \returns since when the run has been at work as far as is known; nothing
  /// while its worker, which may restart under its id, has neither replied to a
  /// start of it nor listed it.
  std::optional<TimePoint> runningSince(const RunKey &Run) const;
  /// Whether the worker has become ready and its last hold call succeeded;
  /// otherwise the worker may be gone.
  bool isResponsive() const { return this->Ready && !this->LastHoldFailed; }
  /// Whether the worker has proved, since runs lapsed on it, that it was only
  /// cut off and has not restarted.
  bool hasSurvivedSilence() const { return !this->LapseUnexplained; }
  /// Whether a run that has lapsed may have crashed its worker: the report of
  /// the crash has named it, or will name it if the worker never replies again.
  bool isSuspect(const RunKey &Run) const {
    return this->Suspects.contains(Run);
  }
  /// Whether another incarnation, which may be of another kind, may have taken
  /// this one's id: calls do not tell them apart, and the last hold call
  /// failed.
  bool mayHaveRestarted() const {
    return this->canReturnUnderItsId() && this->LastHoldFailed;
  }
  /// Whether so many hold calls in a row had no reply that a start would
  /// probably be lost too.
  bool isUnresponsive() const {
    return this->UnansweredHoldsInRow >= this->Options.MaxUnansweredHolds;
  }

private:
  enum class Phase { Starting, Running, Stopping };
  struct Run {
    Phase State = Phase::Starting;
    /// Kept so that a start without a reply can be sent again.
    std::string Spec;
    /// Number of starts without a reply. If it is not 0, a refusal does not
    /// prove that the run has not started.
    std::uint32_t StartsLost = 0;
    /// Token of the last start.
    std::uint64_t StartToken = 0;
    /// When its start is sent again although MaxStartAttempts stayed without a
    /// reply.
    TimePoint NextStart = TimePoint::max();
    TimePoint NextStop = TimePoint::min();
    /// When a stop was first confirmed.
    TimePoint StopConfirmedAt = TimePoint::max();
    TimePoint StartTime;
    /// When the worker first replied to a start that it has executed, or listed
    /// the run.
    TimePoint KnownSince = TimePoint::max();
    /// Set when the run was missing from the worker's list while some ends
    /// could not be parsed. The run is then stopped; a confirmed stop proves
    /// that it has ended.
    bool EndUnreadable = false;
    /// Whether the worker has replied to a start that it has executed.
    bool StartAnswered = false;
    /// Whether the worker incarnation for which the run was started has listed
    /// it as running.
    bool Listed = false;
    /// Whether no start of the run can reach another incarnation: the only one
    /// sent was executed where the run was meant to be started.
    bool isOnlyThere() const { return this->Listed && this->StartsLost == 0; }
    /// When a confirmed stop has taken effect, for a run whose end the worker
    /// will not report.
    TimePoint StoppedAt = TimePoint::max();
  };

  void attach(const WorkerProfile &New, Instant Now);
  /// Switches to another incarnation with the same id, which has replied in
  /// place of the current one.
  void replaceIncarnation(const WorkerReply &Reply, Instant Now);
  /// Whether the reply comes from another incarnation with the same id.
  bool isFromOtherIncarnation(const WorkerReply &Reply) const;
  /// Takes over the announcement of an incarnation that was only known from its
  /// replies.
  void completeProfile(const WorkerProfile &New, Instant Now);
  /// Reports the ends of runs started for the previous incarnation with this
  /// id, once the current one has none of them.
  void settleInheritedRuns(Instant Now);
  /// Records until when an announcement says that the worker is slow or lasts.
  void recordTimesLeft(const WorkerProfile &New, Instant Now);
  void addCandidate(const WorkerProfile &New);
  /// Handles a later announcement of the current incarnation.
  void updateProfile(const WorkerProfile &New, Instant Now);
  /// Decides about incarnations that were announced while another one might
  /// still be alive.
  void resolveCandidates(const WorkerReply &Reply, Instant Now);
  void sendStart(const RunKey &Key, Run &Known, Instant Now);
  void onStartLost(const RunKey &Key, Run &Known, const WorkerReply &Reply,
                   Instant Now);
  /// Whether the run is not stopped although MaxStartAttempts starts of it
  /// stayed without a reply.
  bool isAwaited(const Run &Known) const;
  /// Records that the worker has begun the run.
  static void setBegun(Run &Known, Instant Now);
  void recordClock(const WorkerReply &Reply, Instant Now);
  /// Checks whether a reply comes from the incarnation on which runs lapsed.
  void explainLapse(const WorkerReply &Reply, Instant Now);
  /// \returns until when a call made now may extend the worker's lease.
  TimePoint nextLeaseEnd(Instant Now) const;
  /// Whether a start may be sent now. The next incarnation of a worker, whose
  /// clock starts over, accepts a lease even if it has expired on the previous
  /// clock.
  bool canSendStart(Instant Now) const;
  /// Records the lease extension of a call that is about to be sent.
  /// \returns the end of the lease on the worker's clock.
  WorkerTime extendLease(Instant Now);
  bool isCurrent(const WorkerIncarnation &Worker) const;
  /// Whether a later incarnation of the worker may have the same id and thus
  /// execute calls that are meant for the current one.
  bool canReturnUnderItsId() const {
    return this->Profile->StartUnixMs.has_value();
  }
  void raiseToken(Instant Now);
  /// Takes a higher token before a call that may reach another incarnation of
  /// the worker, so that this one refuses starts sent before. The current one
  /// accepts the token as well.
  void advanceToken(Instant Now);
  /// Whether a refusal that arrives now concerns the current token, not the
  /// one before.
  bool hasTokenSettled(Instant Now) const;
  void sendHold(std::chrono::milliseconds Wait, Instant Now);
  std::chrono::milliseconds holdWait(Instant Now) const;
  /// Renews the lease while a pending hold call that carries no renewal is
  /// waiting at the worker.
  void renewIfDue(Instant Now);
  void sendStop(const RunKey &Key, Run &Known, Instant Now);
  void onHoldFailed(const WorkerReply &Reply, Instant Now);
  /// Sends the starts again that stayed without a reply and whose runs are not
  /// stopped.
  void repeatStarts(Instant Now);
  void tickRuns(Instant Now);
  void lapseAllRuns(Instant Now);
  /// Reports the runs that were active when the current incarnation ended, if
  /// it crashed.
  void reportCrash(Instant Now);
  /// Whether a run that was started at this time may have reached the worker
  /// before it fell silent.
  bool isBeforeSilence(TimePoint StartTime) const {
    return !this->SilentSince || StartTime <= *this->SilentSince;
  }
  void recordLostCall(Instant Now);
  void markListedRuns(const WorkerReply &Reply, Instant Now);
  void processEnds(const WorkerReply &Reply, Instant Now);
  /// Settles the runs whose ends stay unreadable from what else is known about
  /// them.
  void resolveUnreadableEnds(const WorkerReply &Reply, Instant Now);
  /// Stops the runs that the worker does not list and that the unreadable ends
  /// may belong to.
  /// \returns whether there are any.
  bool stopUnlisted(const WorkerReply &Reply, Instant Now);
  void logUnreadableRows(const WorkerReply &Reply, Instant Now);
  void stopOrphanedRuns(const WorkerReply &Reply, Instant Now);
  /// Stops the runs that the worker lists and the session does not know; a
  /// late start may have begun them. A stop of a run that has ended since the
  /// reply was sent changes nothing.
  /// \returns whether there are any.
  bool stopUnknownRuns(const WorkerReply &Reply);
  /// Whether runs from unreadable rows may still be active on the worker.
  bool mayHaveUnreadableRuns(const WorkerReply &Reply, Instant Now);
  void end(const RunKey &Key, RunOutcome Outcome, Instant Now);
  void refuse(const RunKey &Key, WorkerRefusal Cause, Instant Now);

  SessionOptions Options;
  Logger Log{"worker"};
  WorkerPort &Port;
  SessionEvents &Events;
  std::optional<WorkerProfile> Profile;
  /// Until when the current incarnation is slow after its start, and until when
  /// it lasts at least.
  TimePoint ColdUntil = TimePoint::min();
  TimePoint LastsUntil = TimePoint::max();
  /// Incarnations that were announced while the current one seemed alive. All
  /// are kept: if a late announcement replaced that of the new incarnation, the
  /// new one would have no agent until it announces itself again.
  std::deque<WorkerProfile> Candidates;
  std::uint64_t Token = 0;
  /// Tasks of which a start with this token stayed without a reply.
  std::set<std::pair<std::string, std::uint32_t>> OpenAtToken;
  /// When the token was last advanced.
  TimePoint TokenAdvancedAt = TimePoint::min();
  /// The last reading of the worker's clock, and our time when it arrived.
  WorkerTime ClockReading{};
  TimePoint ClockReadingTime;
  std::uint64_t Acknowledged = 0;
  /// Since when ends could not be parsed, and the last end that could be parsed
  /// at that time.
  std::optional<TimePoint> UnreadableEndsSince;
  std::uint64_t LastReadableEnd = 0;
  /// Since when rows of running tasks could not be parsed.
  std::optional<TimePoint> UnreadableRunningSince;
  TimePoint NextUnreadableRowsLog = TimePoint::min();
  bool Ready = false;
  /// Whether the current incarnation has announced itself.
  bool Announced = false;
  bool Answering = true;
  /// Whether the last hold call failed, so that the worker may not receive our
  /// calls.
  bool LastHoldFailed = false;
  std::uint32_t UnansweredHoldsInRow = 0;
  TimePoint LastAnswer;
  TimePoint LastLoss = TimePoint::min();
  /// When the newest lease ends that the worker may hold.
  TimePoint LeaseEnds = TimePoint::min();
  /// When the longest lease ends that a later incarnation with this id may have
  /// granted for one of our calls: it finds our deadlines far ahead of its own
  /// clock, which starts over.
  TimePoint NextIncarnationLeaseEnds = TimePoint::min();
  /// Number of hold calls without a reply so far.
  int PendingHolds = 0;
  TimePoint NextHold = TimePoint::min();
  std::map<RunKey, Run> Runs;
  /// When the first call was lost since the worker's last reply.
  std::optional<TimePoint> SilentSince;
  /// Runs that have lapsed since the worker's last reply, with their start
  /// times. If the worker never replies again, they were active when it ended.
  std::map<RunKey, TimePoint> LapsedWhileSilent;
  /// Whether it is unknown if the worker has restarted since runs lapsed.
  bool LapseUnexplained = false;
  /// Whether its clock has started over since. Without a start time, nothing
  /// else tells that it has restarted under its id.
  bool ClockStartedOver = false;
  /// Of the runs that lapsed last, those that may have crashed the worker.
  std::set<RunKey> Suspects;
  /// Runs of an earlier agent, or of the previous incarnation with this id,
  /// that must end before the worker is ready.
  std::map<RunKey, Run> OrphanedRuns;
  /// Runs started for the previous incarnation with this id. Calls name an
  /// incarnation only by its id, so the current one may have received them.
  std::map<RunKey, Run> InheritedRuns;
};

/// Names of refusals and outcomes in logs.
const char *refusalName(WorkerRefusal Refusal);
const char *runOutcomeName(RunOutcome End);

} // namespace yardwheel

#endif
