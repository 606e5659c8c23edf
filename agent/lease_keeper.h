//===- agent/lease_keeper.h - Leased tasks at an agent ----------*- C++ -*-===//
///
/// \file
/// Holds the leases of tasks, and the queue and the room of one worker. A task
/// runs only while its lease lasts, which its entry renews by naming the
/// placement. It counts from a stamp of this agent's own clock, so that neither
/// a message held up on its way nor an entry that was frozen extends it.
///
/// Single-threaded, without sockets or clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_LEASE_KEEPER_H
#define YARDWHEEL_AGENT_LEASE_KEEPER_H

#include "agent/offer_queue.h"
#include "agent/worker_session.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct KeeperOptions {
  std::uint64_t Incarnation = 0;
  /// What an entry's silence is given before its runs are stopped. Together
  /// with a stop it must end before a caller's resubmission may begin
  /// elsewhere.
  std::chrono::milliseconds EntryLease{800};
  /// After the end of a run's lease, for its stop to take effect. Then the
  /// worker's lease ends, and with it all runs there.
  std::chrono::milliseconds StopAllowance{250};
  /// What the worker's lease must last at least for a task to be started.
  std::chrono::milliseconds MinWorkerLease{100};
  /// After the worker found no room where we counted some.
  std::chrono::milliseconds NoRoomRetryInterval{20};
  /// How long the number of a task's last run is remembered.
  std::chrono::milliseconds RunRetention{60000};
  /// How long the end of a task waits for those of its job's other tasks here.
  /// They are of like length, and the entry can answer only with the last.
  std::chrono::milliseconds EndBatchDelay{40};
  /// How long the placement of a task that has ended is remembered: longer
  /// than an entry may send a dispatch again.
  std::chrono::milliseconds PlacementRetention{5000};
  /// How long offered room is held for its entry's answer: several round trips
  /// between data centres.
  std::chrono::milliseconds OfferTimeout{20};
  SessionOptions Session;
  /// How long a crash of the worker is told with each load, so that whoever has
  /// tasks there hears of it at once.
  std::chrono::milliseconds RecentCrashWindow{1000};
  /// How long it is told in answers to renewals: several times what
  /// an entry takes to ask again, and longer than jobs live (17 s).
  std::chrono::milliseconds CrashRetention{20000};
  /// Off only in tests that show what the rule is for.
  bool LeasesCountFromStamp = true;
};

struct KeeperCounters {
  std::uint64_t Started = 0;
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
  /// Names this agent and its worker's life together: each life of the worker
  /// has a number of its own, so that entries do not take it for the last.
  std::uint64_t incarnation() const { return this->Options.Incarnation; }
  /// Takes an incarnation above one that others know of an earlier life.
  void raiseIncarnationAbove(std::uint64_t Known);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  void tick(Instant Now);
  /// Tells an entry again what it may not have heard, while its lease lasts.
  void onUndelivered(const Undelivered &Lost, Instant Now);
  /// A life of the worker has said that it has left.
  void onWorkerLeft(const WorkerIncarnation &Worker, Instant Now);
  /// Gives back what waits and takes nothing more; what runs goes on.
  void leave(const std::string &Reason, Instant Now);
  /// The same, for good.
  void shutDown(Instant Now);

  bool isLeaving() const { return this->Leaving; }
  bool isIdle() const { return this->Tasks.empty(); }
  /// This agent's clock, as leases and announcements use it.
  static std::uint64_t stampAt(Instant Now);
  WorkerSession &session() { return this->Session; }
  const KeeperCounters &counters() const { return this->Counters; }
  std::size_t queued() const { return this->Queue.size(); }

  void onRunRefused(const RunKey &Run, WorkerRefusal Cause,
                    Instant Now) override;
  void onRunEnded(const RunKey &Run, RunOutcome Outcome, Instant Now) override;
  void onWorkerAttached(Instant Now) override;
  void onWorkerCrashed(const std::vector<RunKey> &Runs, Instant Now) override;
  void onRoomChanged(Instant Now) override;
  void onWorkerReady(Instant Now) override;
  void onWorkerSilent(Instant Now) override;
  TimePoint maxWorkerLeaseEnd(Instant Now) const override;

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
    std::uint64_t Order = 0;
    std::uint64_t Run = 0;
    /// The end of its lease.
    TimePoint Until;
    std::string Spec;
    peer::TaskNeeds Needs;
    TimePoint StartBy;
    TimePoint GiveUp;
    TimePoint Arrived;
    TimePoint Started;
    /// Its entry had it stopped because it stood still.
    bool Stalled = false;
  };
  /// A placement, by its entry and its number there.
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
    TimePoint Used;
    TimePoint Started;
  };

  /// Ends what an entry had here if the message comes from another life of it.
  void noteIncarnation(const PeerRef &From, Instant Now);
  /// How much is left of a lease that counts from a stamp; 0 for a stamp that
  /// is too old.
  std::chrono::milliseconds leaseFrom(std::uint64_t Stamp, Instant Now) const;
  /// Extends the leases of the placements that an entry names.
  void renew(const PeerRef &From, const std::set<std::uint64_t> &Orders,
             std::chrono::milliseconds Left, Instant Now);
  void onDispatch(const PeerRef &From, const peer::LeasedDispatch &Dispatch,
                  Instant Now);
  /// \param Left Of the task's lease.
  void onOrder(const PeerRef &From, const peer::LeasedDispatch &Dispatch,
               const peer::LeasedTask &Order, std::chrono::milliseconds Left,
               Instant Now);
  /// Starts the tasks of a dispatch in the room that was offered for them.
  void startInOfferedRoom(const PeerRef &From,
                          const peer::LeasedDispatch &Dispatch, Instant Now);
  void dequeue(const TaskId &Id);
  /// Gives back what of a dispatch does not start at once.
  void refuseWaiting(const PeerRef &From, const peer::LeasedDispatch &Dispatch,
                     Instant Now);
  peer::LeasedRefusal refusalFor(const TaskId &Id, bool Fresh) const;
  void onStop(const PeerRef &From, const peer::LeasedStop &Stop, Instant Now);
  void onInterest(const PeerRef &From, const peer::LeasedInterest &Request,
                  Instant Now);
  /// Offers an entry the room that there is for its tasks. \returns whether
  /// there was enough for all.
  bool offerRoom(Interest &Target, Instant Now);
  void stopStalled(const PeerRef &From, const peer::LeasedStop &Stop,
                   Instant Now);
  void leaveIfDraining(Instant Now);
  void rejectQueued(peer::LeasedRefusal Cause, const std::string &Reason,
                    Instant Now);
  /// Gives back what waits and could not start in an empty worker.
  void rejectOversized(Instant Now);
  void dropTask(const TaskId &Id, peer::LeasedRefusal Cause,
                const std::string &Reason, Instant Now);

  /// Starts what fits, in order: first those that can still meet their
  /// objective, the most urgent first; then the others.
  void startFitting(Instant Now);
  std::vector<TaskId> sortedQueue(Instant Now) const;
  void startTask(const TaskId &Id, Task &TheTask, Instant Now);
  /// Whether the worker takes starts, each of which has to bring it a lease.
  bool canStartRuns(Instant Now) const;
  /// Whether a task's lease lasts until the worker's does, which a run that is
  /// started now would have.
  bool outlastsWorkerLease(const Task &TheTask) const;
  bool fits(const peer::TaskNeeds &Needs) const;
  /// Whether what is taken is more than there is, as after the room shrank.
  bool isOverfull() const;
  void reserveRoom(const peer::TaskNeeds &Needs);
  std::uint64_t nextRun(const TaskId &Id, std::uint32_t Attempt, Instant Now);
  void countEnd(const Task &TheTask, RunOutcome Outcome);
  void releaseRoom(const peer::TaskNeeds &Needs);

  void sendUpdate(const TaskId &Id, const Task &TheTask,
                  peer::LeasedEvent Event, peer::LeasedRefusal Refusal,
                  const std::string &Reason, Instant Now,
                  bool WorkerLost = false);
  /// Whether the end of a task may wait for others to be told with it.
  bool canBatch(const TaskId &Id, const Task &TheTask) const;
  /// Tells an entry the ends that waited.
  void flushUpdates(const PeerRef &Entry);
  void flushDueUpdates(Instant Now);
  /// \param WithAllCrashes Those that are no news any more, too: in answers to
  /// renewals, which each entry asks for within two seconds. Every end of a run
  /// carries a load, and the tasks of crashes are many.
  peer::WorkerLoad loadFor(const std::string &Entry, Instant Now,
                           bool WithAllCrashes = false) const;
  Task *findTask(const RunKey &Run);
  /// Drops what has outlived its lease or waited for too long. It precedes
  /// whatever may renew a lease or start a task, as this process may have stood
  /// still since the last tick.
  void dropExpired(Instant Now);
  void dropLapsed(Instant Now);
  void dropLate(Instant Now);
  void sweep(Instant Now);

  KeeperOptions Options;
  Logger Log{"keeper"};
  PeerSink &Sink;
  WorkerSession Session;
  /// Until when entries count as being there, by what they last sent.
  std::map<std::string, TimePoint> EntryLeaseEnds;
  /// The lives that entries were last heard of in.
  std::map<std::string, std::uint64_t> EntryIncarnations;
  std::map<TaskId, Task> Tasks;
  std::vector<TaskId> Queue;
  std::map<TaskId, LastRun> LastRuns;
  /// Ends that wait to be told together, by entry.
  struct UpdateBatch {
    PeerRef Entry;
    TimePoint Until;
    std::vector<peer::Message> Updates;
  };
  std::map<std::string, UpdateBatch> PendingUpdates;
  /// Placements that have ended here, and when.
  std::map<Placement, TimePoint> Ended;
  /// Crashes of the worker, told to all entries with its load.
  struct Crash {
    peer::WorkerCrash Report;
    TimePoint At;
  };
  std::deque<Crash> Crashes;
  OfferQueue Offers;
  /// By runs and by offers.
  peer::TaskNeeds Used;
  TimePoint NoRoomUntil = TimePoint::min();
  TimePoint NextSweep = TimePoint::min();
  TimePoint NextOrderSweep = TimePoint::min();
  bool Leaving = false;
  bool ShuttingDown = false;
  /// The worker's last life had said that it would leave.
  bool LastIncarnationLeft = false;
  /// Whether the worker has been attached in an earlier life.
  bool HadWorker = false;
  /// Runs that the worker has failed since it last got one done.
  std::uint32_t FailuresInRow = 0;
  KeeperCounters Counters;
};

} // namespace yardwheel

#endif
