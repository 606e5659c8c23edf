//===- agent/lease_keeper.h - Leased tasks of an agent ----------*- C++ -*-===//
///
/// \file
/// Manages the task leases, the queue and the capacity ("room") of one worker.
/// A task runs only while its lease is valid; its entry renews the lease by
/// naming the placement. A lease is counted from a timestamp of this agent's
/// own clock that the entry echoes, so neither a delayed message nor a
/// suspended entry can extend it.
///
/// Single-threaded; uses no sockets and no clock of its own.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_LEASE_KEEPER_H
#define YARDWHEEL_AGENT_LEASE_KEEPER_H

#include "agent/offer_queue.h"
#include "agent/open_starts.h"
#include "agent/start_order.h"
#include "agent/worker_pace.h"
#include "agent/worker_session.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct KeeperOptions {
  std::uint64_t Incarnation = 0;
  /// How long an entry may be silent before its runs are stopped. Together with
  /// the time that a stop takes, this must be over before a caller may resubmit
  /// the job to another entry.
  std::chrono::milliseconds EntryLease{800};
  /// Time allowed for a run to stop after its lease has ended. Then the
  /// worker's own lease ends, which ends all runs on the worker.
  std::chrono::milliseconds StopAllowance{250};
  /// How long after its task's lease a run may last at most, even if another
  /// incarnation of the worker executes its start or if this agent dies.
  /// Callers resubmit jobs only later.
  std::chrono::milliseconds MaxOverrun{450};
  /// A task is started only if the worker's lease can last at least this long.
  std::chrono::milliseconds MinWorkerLease{100};
  /// Delay before the next start after the worker refused a run for lack of
  /// room although this agent counted enough.
  std::chrono::milliseconds NoRoomRetryInterval{20};
  /// How long the number of a task's last run is remembered.
  std::chrono::milliseconds RunRetention{60000};
  /// How long the end of a task is held back to be sent together with the ends
  /// of its job's other tasks here. The tasks of a job usually end at about the
  /// same time, and the entry can answer only after the last one.
  std::chrono::milliseconds EndBatchDelay{40};
  /// How long the placement of an ended task is remembered. Must be longer than
  /// the time for which an entry may resend a dispatch.
  std::chrono::milliseconds PlacementRetention{5000};
  /// How long offered room is reserved for the entry's reply: several round
  /// trips between data centres.
  std::chrono::milliseconds OfferTimeout{20};
  OpenStartOptions OpenStarts;
  StartOrderOptions StartOrder;
  WorkerPaceOptions Pace;
  SessionOptions Session;
  /// How long a worker crash is included in every load report, so that all
  /// entries that have tasks here learn of it at once.
  std::chrono::milliseconds RecentCrashWindow{1000};
  /// How long a worker crash is included in replies to renewals: several times
  /// the interval at which an entry renews, and longer than the longest job (17
  /// s).
  std::chrono::milliseconds CrashRetention{20000};
  /// Disabled only by tests that show what goes wrong without the rule.
  bool LeasesCountFromStamp = true;
};

struct KeeperCounters {
  std::uint64_t Started = 0;
  /// Tasks started too late to meet their objective.
  std::uint64_t StartedLate = 0;
  std::uint64_t Done = 0;
  std::uint64_t Failed = 0;
  std::uint64_t EndedEarly = 0;
  std::uint64_t Refused = 0;
  std::uint64_t LeasesLapsed = 0;
  std::uint64_t WorkerCrashes = 0;
};

class LeaseKeeper final : public SessionEvents {
public:
  LeaseKeeper(KeeperOptions Options, PeerSink &Sink, WorkerPort &Port);

  void onProfile(const WorkerProfile &Profile, Instant Now);
  /// Identifies this agent together with the current incarnation of its worker.
  /// Each worker incarnation gets its own number, so that entries can tell them
  /// apart.
  std::uint64_t incarnation() const { return this->Options.Incarnation; }
  /// Moves to an incarnation above \p Known if other processes know that number
  /// from an earlier run of this agent.
  void raiseIncarnationAbove(std::uint64_t Known);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  void tick(Instant Now);
  /// Resends the task updates of an envelope that could not be delivered, as
  /// long as the entry's lease lasts.
  void onUndelivered(const Undelivered &Lost, Instant Now);
  /// Called when a worker incarnation has announced its shutdown.
  void onWorkerLeft(const WorkerIncarnation &Worker, Instant Now);
  /// Rejects all queued tasks and accepts no new ones. Running tasks continue.
  void leave(const std::string &Reason, Instant Now);
  /// Does the same as leave(), and stays that way when another worker attaches.
  void shutDown(Instant Now);

  /// Sets whether the data centre is being evacuated: queued tasks are rejected
  /// and no new ones accepted, while running tasks continue.
  void setEvacuated(bool IsEvacuated, Instant Now);

  /// \returns what the worker's current incarnation is; nothing while it has
  /// not announced itself.
  std::optional<peer::WorkerKind> workerKind() const;
  bool isEvacuated() const { return this->Evacuated; }
  bool isLeaving() const { return this->Leaving; }
  bool isIdle() const { return this->Tasks.empty(); }
  /// \returns the milliseconds of this agent's steady clock, as leases and
  /// announcements carry them.
  static std::uint64_t stampAt(Instant Now);
  WorkerSession &session() { return this->Session; }
  const KeeperCounters &counters() const { return this->Counters; }
  std::size_t queued() const { return this->Queue.size(); }
  /// Returns the room taken by runs and by offers.
  const peer::TaskNeeds &usedRoom() const { return this->UsedRoom; }

  void onRunRefused(const RunKey &Run, WorkerRefusal Cause,
                    Instant Now) override;
  void onRunEnded(const RunKey &Run, RunOutcome Outcome, Instant Now) override;
  void onWorkerAttached(Instant Now) override;
  void onWorkerCrashed(const std::vector<RunKey> &Runs, Instant Now) override;
  void onRoomChanged(Instant Now) override;
  void onWorkerReady(Instant Now) override;
  void onWorkerSilent(Instant Now) override;
  void onStartOpen(const RunKey &Run, Instant Now) override;
  void onStartsUnanswered(const RunKey &Run, Instant Now) override;
  TimePoint maxWorkerLeaseEnd(Instant Now) const override;
  TimePoint lastRunEnd(const RunKey &Run) const override;

private:
  struct TaskId {
    std::string Job;
    std::uint32_t Index = 0;
    bool operator<(const TaskId &Other) const {
      return std::tie(this->Job, this->Index) <
             std::tie(Other.Job, Other.Index);
    }
  };
  enum class Phase { Queued, Running, Stopping };
  struct Task {
    Phase State = Phase::Queued;
    PeerRef Owner;
    std::uint32_t Attempt = 0;
    /// Number of the placement, assigned by the entry.
    std::uint64_t Order = 0;
    std::uint64_t Run = 0;
    /// End of the task's lease.
    TimePoint LeaseEnd;
    std::string Spec;
    peer::TaskNeeds Needs;
    peer::WorkerRequirement Requirement;
    /// Declared run time.
    std::chrono::milliseconds Estimate{};
    /// What its place in the queue depends on.
    WaitingTask Waiting;
    /// When the task is rejected if it is still queued.
    TimePoint GiveUpAt;
    TimePoint Arrived;
    TimePoint Started;
    /// Whether its entry has lost a worker under it, which it may have crashed.
    bool Suspect = false;
    /// Set if the entry had the run stopped because it made no progress.
    bool Stalled = false;
    /// Whether it counts as a failure already, as its starts stayed unanswered.
    bool IsFailureCounted = false;
  };
  /// Identifies a placement by the entry's name and the entry's order number.
  struct Placement {
    std::string Entry;
    std::uint64_t Order = 0;
    bool operator<(const Placement &Other) const {
      return std::tie(this->Entry, this->Order) <
             std::tie(Other.Entry, Other.Order);
    }
  };
  struct LastRun {
    std::uint64_t Run = 0;
    /// When the number was last assigned.
    TimePoint LastUsedAt;
    TimePoint Started;
  };

  /// Drops the tasks of an entry's earlier incarnation when a message from a
  /// new one arrives.
  void trackIncarnation(const PeerRef &From, Instant Now);
  /// \returns the remaining time of a lease that counts from \p Stamp, 0 if the
  /// stamp is too old.
  std::chrono::milliseconds leaseFrom(std::uint64_t Stamp, Instant Now) const;
  /// Extends the leases of the placements that the entry names.
  void renew(const PeerRef &From, const std::set<std::uint64_t> &Orders,
             std::chrono::milliseconds Left, Instant Now);
  void onDispatch(const PeerRef &From, const peer::LeasedDispatch &Dispatch,
                  Instant Now);
  /// \param Left Remaining time of the task's lease.
  void onOrder(const PeerRef &From, const peer::LeasedDispatch &Dispatch,
               const peer::LeasedTask &Order, std::chrono::milliseconds Left,
               Instant Now);
  /// Starts the tasks of a dispatch in the room that was offered for them.
  void startInOfferedRoom(const PeerRef &From,
                          const peer::LeasedDispatch &Dispatch, Instant Now);
  void dequeue(const TaskId &Id);
  /// Rejects those tasks of a dispatch that could not start at once.
  void refuseQueued(const PeerRef &From, const peer::LeasedDispatch &Dispatch,
                    Instant Now);
  /// Whether a task of another job is here that may have crashed a worker.
  bool holdsSuspectOfOther(const std::string &Job) const;
  /// \param Fresh Whether at least half of EntryLease remains.
  peer::LeasedRefusal refusalFor(const TaskId &Id,
                                 const peer::WorkerRequirement &Requirement,
                                 bool Fresh) const;
  /// Whether the worker is what a task requires. Coordinators that do not send
  /// requirements are trusted.
  bool suits(const peer::WorkerRequirement &Requirement) const;
  /// Whether as many tasks of the job are here as one worker may have.
  bool hasAllTasks(const std::string &Job,
                   const peer::WorkerRequirement &Requirement) const;
  void onStop(const PeerRef &From, const peer::LeasedStop &Stop, Instant Now);
  void onInterest(const PeerRef &From, const peer::LeasedInterest &Request,
                  Instant Now);
  /// Offers an entry the room available for its tasks.
  /// \returns whether there was enough for all of them.
  bool offerRoom(Interest &Target, Instant Now);
  void stopStalled(const PeerRef &From, const peer::LeasedStop &Stop,
                   Instant Now);
  void leaveIfDraining(Instant Now);
  /// Whether new tasks may be accepted.
  bool takesTasks() const { return !this->Leaving && !this->Evacuated; }
  void rejectQueued(peer::LeasedRefusal Cause, const std::string &Reason,
                    Instant Now);
  /// Rejects queued tasks that would not even fit into an idle worker.
  void rejectOversized(Instant Now);
  /// Rejects queued tasks that require another worker than the current one.
  void rejectUnsuitable(Instant Now);
  /// Rejects the task if it is queued; stops its run if it is running.
  void dropTask(const TaskId &Id, peer::LeasedRefusal Cause,
                const std::string &Reason, Instant Now);

  /// Starts queued tasks that fit, in the order of StartOrder.
  void startFitting(Instant Now);
  std::vector<TaskId> sortedQueue(Instant Now) const;
  /// Records that a task was started ahead of the others in the queue.
  void notePassedOver(const Task &Started, Instant Now);
  void startTask(const TaskId &Id, Task &TheTask, Instant Now);
  /// Whether runs may be started: the worker is ready, and the lease that it
  /// can get now lasts at least MinWorkerLease and endangers no run.
  bool canStartRuns(Instant Now) const;
  /// Whether the task's lease is long enough for a start. Otherwise the task
  /// waits for a renewal.
  bool hasLeaseToStart(const Task &TheTask, Instant Now) const;
  /// Whether the task's lease, with StopAllowance added, ends no earlier than
  /// the worker's current lease, which would also cover a run started now.
  bool outlastsWorkerLease(const Task &TheTask) const;
  bool fits(const peer::TaskNeeds &Needs) const;
  /// Whether more room is in use than the worker has, as after it shrank.
  bool isOverfull() const;
  void reserveRoom(const peer::TaskNeeds &Needs);
  std::uint64_t nextRun(const TaskId &Id, std::uint32_t Attempt, Instant Now);
  void countEnd(const Task &TheTask, RunOutcome Outcome);
  /// Records the run time of a task that is done.
  void measurePace(const TaskId &Id, const Task &TheTask, Instant Now);
  void releaseRoom(const peer::TaskNeeds &Needs);

  void sendUpdate(const TaskId &Id, const Task &TheTask,
                  peer::LeasedEvent Event, peer::LeasedRefusal Refusal,
                  const std::string &Reason, Instant Now,
                  bool WorkerLost = false);
  /// Whether the end of a task may be held back to be sent with the ends of
  /// others.
  bool canBatch(const TaskId &Id, const Task &TheTask) const;
  /// Sends the updates held back for an entry.
  void flushUpdates(const PeerRef &Entry);
  void flushDueUpdates(Instant Now);
  /// \param WithAllCrashes Whether to include crashes older than
  /// RecentCrashWindow. True only in replies to renewals; each entry renews at
  /// least every two seconds. Other messages omit older crashes, because every
  /// task update carries a load and a crash may list many tasks.
  peer::WorkerLoad loadFor(const std::string &Entry, Instant Now,
                           bool WithAllCrashes = false);
  /// Returns how long a task that arrives now is expected to wait for its
  /// start: the work of the queue, divided by the room.
  std::chrono::milliseconds startDelay() const;
  /// Adds how much longer the worker is cold, and lasts, to a load report.
  void addTimesLeft(peer::WorkerLoad &Load, Instant Now) const;
  void addKind(peer::WorkerLoad &Load) const;
  /// Sends a load report to each entry that is to learn of open starts now.
  void reportOpenStarts(Instant Now);
  void sendLoad(const PeerRef &Entry, Instant Now);
  Task *findTask(const RunKey &Run);
  /// Drops tasks whose lease has lapsed or that have waited too long. Must run
  /// before anything that renews a lease or starts a task, because this process
  /// may have been suspended since the last tick.
  void dropExpired(Instant Now);
  void dropLapsed(Instant Now);
  void dropOverdue(Instant Now);
  /// Forgets crashes, ended placements and run numbers whose retention is over.
  void sweep(Instant Now);

  KeeperOptions Options;
  Logger Log{"keeper"};
  PeerSink &Sink;
  WorkerSession Session;
  /// Until when each entry counts as connected, by its last renewal.
  std::map<std::string, TimePoint> EntryLeaseEnds;
  /// The last known incarnation of each entry.
  std::map<std::string, std::uint64_t> EntryIncarnations;
  std::map<TaskId, Task> Tasks;
  std::vector<TaskId> Queue;
  std::map<TaskId, LastRun> LastRuns;
  /// Updates about finished tasks that are held back to be sent together, by
  /// entry.
  struct UpdateBatch {
    PeerRef Entry;
    TimePoint DueAt;
    std::vector<peer::Message> Updates;
  };
  std::map<std::string, UpdateBatch> PendingUpdates;
  /// Placements that have ended here, with the time of their end.
  std::map<Placement, TimePoint> EndedPlacements;
  /// Crashes of the worker; reported to all entries with the load.
  struct Crash {
    peer::WorkerCrash Report;
    TimePoint At;
  };
  std::deque<Crash> Crashes;
  OfferQueue Offers;
  OpenStarts Open;
  WorkerPace Pace;
  StartOrder Order;
  /// Room taken by runs and by offers.
  peer::TaskNeeds UsedRoom;
  TimePoint NoRoomUntil = TimePoint::min();
  TimePoint NextRunSweep = TimePoint::min();
  TimePoint NextPlacementSweep = TimePoint::min();
  /// Entries that were sent the present kind of the worker. One that did not
  /// receive it asks.
  std::set<std::string> KindSentTo;
  bool Leaving = false;
  bool ShuttingDown = false;
  bool Evacuated = false;
  /// Whether this agent was leaving when the current worker incarnation
  /// attached.
  bool WasLeavingAtAttach = false;
  /// Whether a worker incarnation was attached before.
  bool HadWorker = false;
  /// Consecutive runs that failed, stalled or went unanswered; reset by a
  /// successful run and when a worker incarnation attaches.
  std::uint32_t FailuresInRow = 0;
  KeeperCounters Counters;
};

} // namespace yardwheel

#endif
