//===- coordination/lease_coordinator.h - Runs best-effort jobs -*- C++ -*-===//
///
/// \file
/// Coordinates the best-effort jobs that this entry has accepted: places their
/// tasks, renews the leases at the agents, and answers each caller exactly
/// once. A task is placed again only after proof that its previous run has
/// ended or never started.
///
/// Single-threaded; uses neither sockets nor clocks, the caller passes in the
/// time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_LEASE_COORDINATOR_H
#define YARDWHEEL_COORDINATION_LEASE_COORDINATOR_H

#include "coordination/admission_check.h"
#include "coordination/crash_record.h"
#include "coordination/deadline_check.h"
#include "coordination/first_contacts.h"
#include "coordination/job_intake.h"
#include "coordination/lease_metrics.h"
#include "coordination/leased_job.h"
#include "coordination/open_start_record.h"
#include "coordination/open_start_relay.h"
#include "coordination/recent_ids.h"
#include "coordination/retry_advice.h"
#include "coordination/share_check.h"
#include "coordination/worker_table.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "dispatch/waiting_rule.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardwheel {

struct CoordinatorOptions {
  /// Interval between lease renewals to an agent that holds tasks of this
  /// entry. Less than half of the agents' lease, so that no lease expires when
  /// a single message is lost.
  std::chrono::milliseconds RenewalInterval{200};
  /// Longest interval between load probes to an agent that holds no tasks of
  /// this entry.
  std::chrono::milliseconds IdleProbeInterval{2000};
  /// Shortest interval between idle probes, as a share of IdleProbeInterval;
  /// each interval is drawn at random between the two. Otherwise agents that
  /// were discovered together would all be probed in one tick, which stalls an
  /// entry with a tenth of a core for a quarter of a second.
  double MinIdleProbeShare = 0.75;
  /// Interval between load probes to such an agent while this entry, which has
  /// just started, depends on recent reports.
  std::chrono::milliseconds StartupProbeInterval{400};
  FirstContactOptions FirstContacts;
  /// Interval between probes to an unreachable or suspect agent.
  std::chrono::milliseconds UnreachableProbeInterval{500};
  /// Interval between renewals that ask an agent to list the tasks it holds for
  /// this entry, while one of them has been there for longer than
  /// MaxTransitTime.
  std::chrono::milliseconds HeldListInterval{500};
  /// An agent that has been sent tasks is probed when nothing is received from
  /// it for this long. A little longer than most tasks last.
  std::chrono::milliseconds DispatchProbeDelay{250};
  /// An agent that leaves a probe unanswered for this long is suspect: it gets
  /// no tasks until a message arrives from it. Many round trips between data
  /// centres.
  std::chrono::milliseconds SuspectTimeout{100};
  /// An agent with tasks that leaves a probe unanswered for this long is
  /// connected to anew, as the connection may be dead.
  std::chrono::milliseconds ReconnectTimeout{200};
  /// An agent with tasks that leaves a probe unanswered for this long is
  /// considered lost. Well below the agents' lease.
  std::chrono::milliseconds AgentLossTimeout{600};
  /// A task that runs this many times as long as the longest completed task of
  /// its job has stalled. Run times of tasks of one job differ by some tens of
  /// percent.
  double StallFactor = 2.5;
  /// Like StallFactor, but relative to the declared run time; used while no
  /// task of the job has completed. Larger, since declared times are often off
  /// by half.
  double StallEstimateFactor = 5;
  /// Added to both limits, for the time that is not spent in the task itself.
  std::chrono::milliseconds StallSlack{100};
  /// For this long after the process was behind on its input, undelivered
  /// messages are not held against agents: this entry may not have answered in
  /// time itself.
  std::chrono::milliseconds CatchUpPeriod{1000};
  /// Interval between checks, during CatchUpPeriod, whether callers are still
  /// connected.
  std::chrono::milliseconds CallerCheckInterval{200};
  /// Delay before an agent is asked again to stop a stalled task.
  std::chrono::milliseconds StallRetryInterval{250};
  /// Delay after the restart of an agent before the tasks sent to its previous
  /// incarnation are given up. Some round trips between data centres.
  std::chrono::milliseconds RestartGrace{60};
  /// A placement younger than this may still be in transit. Its agent refuses
  /// it once its stamp is older than the agents' lease.
  std::chrono::milliseconds MaxTransitTime{1000};
  /// A placement that its agent has not listed for this long is considered
  /// ended. Leaves time for the update that reports its end to be sent a second
  /// time.
  std::chrono::milliseconds MissingTimeout{500};
  /// Maximum number of placements of a task without a pause. Then its job is
  /// given up if nothing of it has run; otherwise the task pauses, since giving
  /// up would throw away what has run.
  std::uint32_t MaxPlacements = 12;
  /// How long such a task pauses. Longer than a busy agent takes to report that
  /// it has lost its worker, short against the time until a worker is back.
  std::chrono::milliseconds PlacementPause{200};
  /// Up to this number of placement retries of a job, a busy agent may refuse
  /// its tasks, so that another agent is tried; after that they wait in the
  /// queue of the agent that they are sent to. A refusal costs one round trip,
  /// whereas a queued task waits until another task ends; so several retries
  /// pay off at high load.
  std::uint32_t MaxRefusableRetries = 6;
  /// A task that may have crashed a worker is refused by agents that hold
  /// another such task until busy agents have refused it this often. Half of
  /// MaxPlacements.
  std::uint32_t MaxApartRefusals = 6;
  /// How long a job that is given up waits for proof that none of its tasks has
  /// started. Some round trips between data centres.
  std::chrono::milliseconds ProofTimeout{40};
  /// How long the fact that a job has run is kept: longer than its caller takes
  /// to resubmit it.
  std::chrono::milliseconds RunRetention{5000};
  RetryAdviceOptions Retries;
  /// Retry delay sent to the caller of a job that was refused for another
  /// reason than load, such as that no worker may take it.
  std::chrono::milliseconds RetryAfter{1000};
  /// Retry delay sent to callers while this entry may not know of all open
  /// starts. Agents that run report within some round trips.
  std::chrono::milliseconds StartupRetryAfter{300};
  WorkerTableOptions Workers;
  ShedderOptions Shedder;
  DeadlineCheckOptions Deadlines;
  /// Shares of callers while the pool is full; none are kept if not set.
  std::optional<ShareOptions> Shares;
  WaitingOptions Waiting;
  CrashRecordOptions Crashes;
  /// How long a task waits for the only agent that may take it, while control
  /// counts that agent as alive: two probes of an unreachable agent.
  std::chrono::milliseconds OnlyAgentTimeout{1000};
  /// Delay before a task that its only agent could not run is placed there
  /// again.
  std::chrono::milliseconds OnlyAgentRetryInterval{100};
  OpenStartRecordOptions OpenStarts;
  OpenStartRelayOptions OpenStartRelay;
  /// Leases of a job whose answer sink has not vouched for it within this time
  /// are not renewed. Half of the agents' lease: a renewal that counts from an
  /// older time would hardly extend it.
  std::chrono::milliseconds MaxVouchAge{400};
  /// Whether dispatches carry the job's route, its priority and the data centre
  /// of its callers, so that agents start urgent tasks first.
  bool SendsPriority = false;
  /// Name of this process in the member table. A coordinator at an agent places
  /// no tasks at that agent.
  std::string Name;
  std::uint64_t Seed = 1;
  /// Placements of this incarnation of the entry get numbers above this one,
  /// which is above all numbers of earlier incarnations.
  std::uint64_t FirstOrder = 0;
};

/// Receives the results of jobs.
class LeasedAnswerSink {
public:
  virtual ~LeasedAnswerSink() = default;
  virtual void onLeasedAnswer(LeaseTicket Ticket,
                              const LeasedAnswer &Answer) = 0;
  /// Whether the caller's connection is still open according to the operating
  /// system. A process that was stalled may not have read the close yet.
  virtual bool hasCaller(LeaseTicket Ticket) const { return true; }
  /// When the caller was last known to wait for its job. A process that serves
  /// its callers itself knows it at any time; one that coordinates for another
  /// process knows it from that one's last message. All leases of the job's
  /// runs count from then.
  virtual TimePoint vouchedAt(LeaseTicket Ticket, TimePoint Now) const {
    return Now;
  }
};

struct CoordinatorCounters {
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t TasksSent = 0;
  std::uint64_t TasksRefused = 0;
  std::uint64_t AgentsLost = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t JobsShed = 0;
  /// Jobs that failed because one of their tasks has crashed too many workers.
  std::uint64_t JobsCrashing = 0;
  /// Placements of jobs for which upstreams were left out because of an
  /// evacuation.
  std::uint64_t PlacementsDiverted = 0;
  /// Completed jobs that missed their objective, and those among them during
  /// which this entry was behind.
  std::uint64_t CompletedLate = 0;
  std::uint64_t LateWhileBehind = 0;
};

class LeaseCoordinator final : public JobIntake {
public:
  LeaseCoordinator(const CoordinatorOptions &Options, PeerSink &Sink,
                   LeasedAnswerSink &Answers);

  void submit(LeasedJobRequest Request, LeaseTicket Waiter,
              Instant Now) override;
  void withdraw(const std::string &Id, LeaseTicket Waiter,
                const std::string &Reason, Instant Now) override;
  /// Lets a caller wait for its job until \p Until if that is later.
  void extendDeadline(const std::string &Id, LeaseTicket Waiter,
                      TimePoint Until);
  void cancel(const std::string &Id, const std::string &Reason,
              Instant Now) override;
  void cancelAll(const std::string &Reason, Instant Now) override;
  /// Handles a change in the member table of control.
  void onMember(const peer::Member &Member, Instant Now);
  /// Sets the data centres that are being evacuated: nothing new is placed
  /// there.
  void setEvacuated(const std::set<std::string> &DataCentres);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  /// Resends undelivered messages once. An agent from which nothing is received
  /// in between is considered lost when the second attempt fails too.
  void onUndelivered(const Undelivered &Lost, Instant Now);
  /// Places the tasks that became unplaced since the last call, all tasks of a
  /// job together. Must be called after each batch of messages.
  void placeScheduled(Instant Now);
  /// \param LastBehind When this process was last behind on its input. Answers
  /// to earlier messages may have arrived without having been read.
  void tick(Instant Now, TimePoint LastBehind);
  void tick(Instant Now) { this->tick(Now, TimePoint::min()); }
  /// Ends jobs whose callers have disconnected while this process was behind,
  /// before a message renews their leases at agents.
  void noteBehind(TimePoint NewLastBehind, Instant Now) override;

  bool isRunning(const std::string &Id) const override {
    return this->Jobs.contains(Id);
  }
  bool mayJoin(const std::string &Id) const override;
  std::uint32_t pending(const std::string &Route) const override;
  std::size_t inFlight() const override { return this->WaitingCallers; }
  /// Whether an earlier submission may have run, or may still begin to.
  bool mayHaveRun(const std::string &Id, Instant Now) const;
  /// Records that a job may have run which was coordinated elsewhere.
  void noteRun(const std::string &Id, Instant Now) {
    this->RecentlyRan.add(Id, Now.Steady);
  }
  /// Records that a submitted job is coordinated elsewhere.
  void noteDelegated(const LeasedJobRequest &Request, Instant Now);
  /// Returns the check of the shares; null if none are kept.
  ShareCheck *shares() { return this->Shares; }
  /// Counts the end of a job that was coordinated here or for this
  /// process elsewhere.
  void countEnd(const LeasedJobRequest &Request, const LeasedAnswer &Answer,
                TimePoint AcceptedAt, Instant Now);
  /// Whether a worker may restart under its id, as far as known.
  bool mayWorkersKeepIds() const { return this->OpenStarts.keepsAnyId(); }
  /// Whether jobs can be placed: a worker is reachable, and this entry knows
  /// which tasks may have open starts. Otherwise every job is refused.
  bool hasWorkers() const {
    return this->Workers.hasReachable() && !this->AwaitsAgents;
  }
  const WorkerTable &workerTable() const { return this->Workers; }
  const CoordinatorCounters &counters() const { return this->Counters; }
  const LeaseMetrics &metrics() const { return this->Metrics; }

private:
  enum class TaskPhase { Unplaced, Sent, Done, Over };
  struct Task {
    TaskPhase Phase = TaskPhase::Unplaced;
    std::string Agent;
    /// Incarnation of the agent that the task was sent to.
    std::uint64_t Incarnation = 0;
    /// When its agent is next asked to stop it if it has stalled.
    TimePoint StallCheckAt = TimePoint::max();
    /// Whether its agent has been asked to stop it as stalled.
    bool Stalled = false;
    std::uint32_t Attempt = 0;
    /// Number of the current placement.
    std::uint64_t Order = 0;
    /// Whether its dispatch was sent more than once, possibly to several
    /// incarnations of the agent.
    bool Resent = false;
    /// Whether the agent has listed the current placement as one whose only
    /// start the worker has answered.
    bool StartAnswered = false;
    /// When the dispatch was last sent.
    TimePoint PlacedAt;
    /// Since when its agent has not listed it; TimePoint::max() while it does.
    TimePoint MissingSince = TimePoint::max();
    std::uint32_t Failures = 0;
    /// How often busy agents have refused it since it may have crashed a
    /// worker.
    std::uint32_t ApartRefusals = 0;
    std::set<std::string> Avoid;
    /// Agents at which it has stalled.
    std::set<std::string> StalledAt;
    /// Since when the only agent that may take it has not been able to;
    /// TimePoint::max() if it does not wait for one.
    TimePoint AwaitsAgentSince = TimePoint::max();
    /// When it may be placed at its only agent again.
    TimePoint NextPlacement = TimePoint::min();
    /// Number of placements after which it pauses, or its job is given up.
    std::uint32_t AttemptLimit = 0;
    /// Until when it pauses; TimePoint::min() if it does not.
    TimePoint PausedUntil = TimePoint::min();
  };
  enum class JobPhase { Running, GivingUp, Answered };
  /// One submission of a job and its deadline.
  struct Caller {
    LeaseTicket Ticket = 0;
    TimePoint Deadline;
  };
  struct Job {
    LeasedJobRequest Request;
    std::vector<Caller> Callers;
    std::vector<Task> Tasks;
    JobPhase Phase = JobPhase::Running;
    TimePoint AcceptedAt;
    TimePoint GiveUpAt;
    /// Whether any task may have run, in this submission or in an earlier one.
    bool MayHaveRun = false;
    std::uint32_t DoneCount = 0;
    /// Longest run time of its completed tasks; zero if there are none.
    std::chrono::milliseconds LongestDone{};
    std::uint32_t OutstandingCount = 0;
    /// Number of times that tasks of this job have been placed again.
    std::uint32_t PlacementRetries = 0;
    /// Number of tasks that wait for offers.
    std::uint32_t AwaitingOffers = 0;
    /// Whether a task waits for the only agent that may take it.
    bool AwaitsAgent = false;
    /// Whether a task pauses after many placements.
    bool HasPaused = false;
    /// Since when its tasks wait until this entry, which has just started,
    /// knows of all open starts; TimePoint::max() if they do not.
    TimePoint AwaitsAllSince = TimePoint::max();
    /// Number of waiting tasks for which agents have already been asked to
    /// offer capacity.
    std::uint32_t OffersRequested = 0;
    /// Agents that have been asked and may still send an offer.
    std::set<std::string> AskedAgents;
    TimePoint OffersDeadline = TimePoint::max();
    /// Whether the wait for offers is over, so that tasks go into workers'
    /// queues.
    bool OffersTimedOut = false;
    LeasedAnswer PendingAnswer;
    /// A resubmission of the job that arrived while runs of this submission are
    /// being stopped. It starts once they have ended.
    struct Resubmission {
      LeasedJobRequest Request;
      std::vector<Caller> Callers;
    };
    std::optional<Resubmission> NextSubmission;
  };
  struct Contact {
    TimePoint NextRenewal = TimePoint::min();
    /// When the last renewal was sent. Its reply lists the placements that the
    /// agent holds.
    TimePoint LastRenewalAt = TimePoint::min();
    /// How long an idle agent may send nothing before its load is probed.
    std::chrono::milliseconds IdleProbeDelay{};
    /// When the first tasks were sent since the last message from the agent.
    TimePoint FirstDispatchAt = TimePoint::max();
    /// When the oldest unanswered renewal was sent; TimePoint::max() if there
    /// is none.
    TimePoint UnansweredSince = TimePoint::max();
    /// When the tasks sent to an earlier incarnation of the agent are given up.
    /// Until then, refusals of some of them may still arrive.
    TimePoint GiveUpOldTasksAt = TimePoint::max();
    /// When messages to the agent were last resent.
    TimePoint LastResendAt = TimePoint::min();
    /// Numbers of the placements whose jobs are still running, with these jobs;
    /// only these are named in renewals. The leases of answered jobs must
    /// expire, also at an agent whose messages do not arrive.
    std::map<std::uint64_t, const Job *> ActiveOrders;
    /// Placements that were given up when the agent was lost, by number. The
    /// agent may still hold them.
    struct GivenUpOrder {
      std::string Job;
      TimePoint PlacedAt;
    };
    std::map<std::uint64_t, GivenUpOrder> GivenUpOrders;
  };

  void startJob(LeasedJobRequest Request, std::vector<Caller> Callers,
                Instant Now);
  /// Returns the latest deadline of the callers.
  static TimePoint lastDeadline(const std::vector<Caller> &Callers);
  /// Holds a resubmission until the earlier runs of the job have ended.
  void queueResubmission(Job &Known, LeasedJobRequest Request,
                         LeaseTicket Waiter, Instant Now);
  /// Answers the callers of a held resubmission and discards it.
  void dropResubmission(Job &Known, const std::string &Reason, Instant Now);
  /// Answers and removes a caller that has disconnected, if others remain.
  /// \returns false, and does nothing, if it is the only caller.
  bool removeCaller(std::vector<Caller> &Callers, LeaseTicket Waiter,
                    const std::string &Reason);
  /// Refuses the job if an admission check does. \returns whether it was
  /// refused.
  bool refuseIfUnservable(const LeasedJobRequest &Request, LeaseTicket Waiter,
                          Instant Now);
  /// Refuses the job if its tasks may have open starts that this entry, which
  /// has just started, does not know of. \returns whether it was refused.
  bool refuseAtStartup(const LeasedJobRequest &Request, LeaseTicket Waiter,
                       Instant Now);
  void updateAwaitsAgents(Instant Now);
  /// \returns the agents that a task must not be placed at: those that it
  /// avoids or, if it has an open start at an agent, all others.
  std::set<std::string> excludedAgents(const Job &Target, std::uint32_t Index,
                                       Instant Now) const;
  /// Returns \p Excluded and, if the task has one attempt left, the agents
  /// whose workers have failed of late, unless no other worker is eligible.
  std::set<std::string> withFailingAgents(const Job &Target,
                                          std::uint32_t Index,
                                          std::set<std::string> Excluded,
                                          Instant Now) const;
  /// Whether a task waits for the only agent that may take it: one that control
  /// counts as alive and that is expected back within OnlyAgentTimeout.
  bool mustAwaitAgent(const Job &Target, std::uint32_t Index,
                      Instant Now) const;
  /// Keeps the tasks of a job here while this entry, which has just started,
  /// may not know of all open starts, and gives the job up after
  /// OnlyAgentTimeout. \returns whether nothing may be placed now.
  bool holdAtStartup(Job &Target, Instant Now);
  /// Places the tasks of a job that waited for agents, if one of them need not
  /// wait any more.
  void placeAwaitingAgent(Job &Target, Instant Now);
  /// Lets a task pause that has been placed many times, if its job has run in
  /// part. \returns whether it pauses.
  bool pausePlacement(Job &Target, Task &JobTask, Instant Now);
  /// Places the tasks of a job again whose pause is over.
  void placePaused(Job &Target, Instant Now);
  /// Counts a placement for which an evacuation left out upstreams, and logs
  /// the first one.
  void noteDiverted(const Job &Target);
  /// Returns why no worker may take tasks of the job.
  std::string whyUnplaceable(const Job &Target) const;
  /// Places all unplaced tasks of a job, or gives it up if that is impossible.
  void place(Job &Target, Instant Now);
  /// Gives up a job whose deadline has passed or whose callers have
  /// disconnected. \returns whether the job was given up.
  bool endIfUnwanted(Job &Target, Instant Now);
  /// Whether this process was behind on its input within CatchUpPeriod.
  bool isCatchingUp(Instant Now) const;
  /// Leaves a job to the next call of placeScheduled.
  void schedulePlacement(Job &Target);
  /// Places tasks that must avoid the same agents, or lets them wait for
  /// offers. \returns false if some can do neither.
  bool placeGroup(Job &Target, const std::set<std::string> &Avoid,
                  const std::vector<std::uint32_t> &Indexes, Instant Now,
                  std::map<std::string, peer::LeasedDispatch> &Batch);
  /// Records the crashes that an agent reports, and fails jobs whose tasks have
  /// crashed too many workers.
  void onCrashes(const std::string &Agent, const peer::WorkerLoad &Load,
                 Instant Now);
  /// Stops waiting for crash reports of an agent that is leaving or lost.
  void clearIfGone(const std::string &Agent);
  /// Places the tasks of jobs on hold that have been cleared.
  void placeCleared(const std::vector<std::string> &Cleared);
  /// Fails a job at once if one of its tasks was given up before for crashing
  /// workers. \returns whether it was.
  bool rejectCrashingJob(const LeasedJobRequest &Request,
                         const std::vector<Caller> &Callers);
  /// Returns the retry delay for a job that is refused or given up before it
  /// has run. \param Limit The pressure below which it is taken.
  std::chrono::milliseconds adviseRetry(const LeasedJobRequest &Request,
                                        double Pressure, double Limit,
                                        Instant Now);
  /// Like the above, for a job that is taken while there is room.
  std::chrono::milliseconds adviseRetry(const LeasedJobRequest &Request,
                                        Instant Now);
  /// Keeps tasks at this entry and asks agents to offer capacity for them.
  void awaitOffers(Job &Target, const std::set<std::string> &Avoid,
                   std::uint32_t Tasks, Instant Now);
  /// Tells the agents that were asked for offers that no more tasks wait.
  /// Otherwise they would reserve a slot in vain, which stays idle for a round
  /// trip.
  void withdrawInterest(Job &Target);
  /// Returns the demand of all tasks that wait for offers, in thousandths of a
  /// core.
  std::uint64_t awaitingCpu() const;
  void onOffer(const PeerRef &From, const peer::LeasedOffer &Offer,
               Instant Now);
  /// Time left for tasks of the job to start and still meet its objective, by
  /// their declared run time. May be negative.
  static std::chrono::milliseconds slackOf(const Job &Target, Instant Now);
  void assign(Job &Target, std::uint32_t Index, const LeasedWorker &Chosen,
              Instant Now, std::map<std::string, peer::LeasedDispatch> &Batch);
  /// Whether the tasks of a dispatch must not be held by an agent together with
  /// other tasks that may have crashed a worker.
  bool isKeptApart(const Job &Target,
                   const peer::LeasedDispatch &Dispatch) const;
  void dispatch(Job &Target, std::map<std::string, peer::LeasedDispatch> &Batch,
                Instant Now);
  void onLoad(const std::string &Agent, const peer::WorkerLoad &Load,
              Instant Now);
  /// Whether an agent has not listed a placement for MissingTimeout, so that it
  /// is considered ended.
  bool isMissing(Task &JobTask, bool Held, Instant Now) const;
  /// Ends the tasks that the agent no longer holds. Their final updates were
  /// lost, for example because this entry was stalled and its lease at the
  /// agent expired.
  void onHeldOrders(const std::string &Agent, const peer::WorkerLoad &Load,
                    Instant Now);
  /// Stops the placements that an agent still holds of jobs that have ended or
  /// that were given up when the agent was lost.
  void stopGivenUp(const LeasedWorker &Worker,
                   const std::set<std::uint64_t> &Held, Instant Now);
  /// \param Orders Placements to stop; if empty, all placements of the job at
  /// this agent.
  void sendStop(const std::string &Id, const LeasedWorker &Worker,
                const std::vector<std::uint64_t> &Orders);
  void onUpdate(const std::string &Agent, const peer::LeasedUpdate &Update,
                Instant Now);
  /// Whether an agent's report that a task has not started holds for all copies
  /// of its dispatch.
  static bool provesNotStarted(const Task &JobTask,
                               const peer::LeasedUpdate &Update);
  void onTaskDone(Job &Target, const std::string &Agent,
                  const peer::LeasedUpdate &Update, Instant Now);
  void onNotStarted(Job &Target, Task &JobTask, const std::string &Agent,
                    const peer::LeasedUpdate &Update, Instant Now);
  void onEndedEarly(Job &Target, Task &JobTask, const std::string &Agent,
                    const peer::LeasedUpdate &Update, Instant Now);
  void onTaskFailed(Job &Target, Task &JobTask, const std::string &Agent,
                    const peer::LeasedUpdate &Update, Instant Now);
  /// Ends the current placement of a task.
  void settle(Job &Target, Task &JobTask, TaskPhase Next);
  /// Gives up the tasks sent to an agent, or only those sent to earlier
  /// incarnations of it.
  void giveUpAgentTasks(const std::string &Agent, bool OnlyOldIncarnations,
                        const std::string &Reason, Instant Now);
  /// Tells the other entries of the open starts of a job that may be submitted
  /// to them. They may not have heard of them from the agents.
  void relayOpenStarts(const std::string &Id, Instant Now);
  void onOpenStartRelay(const PeerRef &From, const peer::OpenStartRelay &Relay,
                        Instant Now);
  void onRestarted(const std::string &Agent, Instant Now);
  void resend(const LeasedWorker &Worker, const Undelivered &Lost, Instant Now);
  void resendDispatch(const LeasedWorker &Worker,
                      const peer::LeasedDispatch &Lost,
                      std::chrono::milliseconds Age, Instant Now);
  /// Stops the tasks of a job. Its callers are answered once it is proven
  /// whether any task has run, or after ProofTimeout.
  void giveUp(Job &Target, LeasedAnswer Answer, Instant Now);
  void stopTasks(Job &Target);
  void finish(Job &Target, LeasedAnswer Answer, Instant Now);
  void finishIfProven(Job &Target, Instant Now);
  /// Removes a job that is answered and whose placements have all ended, and
  /// starts its held resubmission.
  void forgetIfSettled(const std::string &Id, Instant Now);
  void renewLeases(Instant Now);
  /// Whether an agent awaits its turn to be contacted for the first time. If it
  /// has not been heard from, it is added to \p Unheard.
  bool awaitsFirstContact(const LeasedWorker &Worker,
                          const Contact &AgentContact,
                          std::vector<FirstContact> &Unheard) const;
  /// Whether a renewal to the agent has been unanswered for longer than \p
  /// Limit.
  static bool isUnanswered(const Contact &AgentContact,
                           std::chrono::milliseconds Limit, Instant Now);
  bool isRenewalDue(const LeasedWorker &Worker, const Contact &AgentContact,
                    Instant Now) const;
  void sendRenewal(const LeasedWorker &Worker, Contact &AgentContact,
                   Instant Now);
  /// Returns when one of the callers of a job was last known to wait for it.
  TimePoint vouchedAt(const Job &Target, Instant Now) const;
  /// Placements to name in a message, and the time from which their leases
  /// count.
  struct NamedOrders {
    std::vector<std::uint64_t> Orders;
    TimePoint Since;
  };
  /// Returns the active placements at an agent with numbers below \p Below
  /// that were vouched for at \p Since or later.
  NamedOrders namedOrders(const Contact &AgentContact, std::uint64_t Below,
                          TimePoint Since, Instant Now) const;
  std::chrono::milliseconds drawIdleProbeDelay();
  void tickJobs(Instant Now);
  std::chrono::milliseconds stallLimit(const Job &Target) const;
  void stopStalled(Job &Target, Instant Now);
  /// Renews the lease at the agent of a long-running task early, so that its
  /// reply lists the placements it holds.
  void requestHeldOrders(const Task &JobTask, Instant Now);
  Job *find(const std::string &Id);

  CoordinatorOptions Options;
  Logger Log{"coordinator"};
  PeerSink &Sink;
  LeasedAnswerSink &Answers;
  WorkerTable Workers;
  DrainForecast Drain;
  AdmissionChecks Checks;
  /// One of the checks, or null.
  ShareCheck *Shares = nullptr;
  WaitingRule Waits;
  std::mt19937_64 Random;
  RetryAdvice Retries;
  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs;
  /// Jobs that may have run and are no longer in progress.
  RecentIds RecentlyRan;
  CrashRecord Crashes{this->Options.Crashes};
  OpenStartRecord OpenStarts{this->Options.OpenStarts};
  OpenStartRelay Relay{this->Options.OpenStartRelay, this->Options.FirstOrder};
  /// Whether agents have yet to report whether starts are open there.
  bool AwaitsAgents = false;
  /// Whether this entry, which has just started, depends on such reports.
  bool MayMissOpenStarts = false;
  /// Whether it has had such reports of all agents at once.
  bool HasKnownOpenStarts = false;
  /// Whether a placement that the present evacuations divert has been logged.
  bool IsDiversionLogged = false;
  TimePoint NextSweep = TimePoint::min();
  /// Jobs with tasks that are to be placed again.
  std::set<std::string> JobsToPlace;
  std::map<std::string, Contact> Contacts;
  CoordinatorCounters Counters;
  LeaseMetrics Metrics;
  TimePoint LastBehind = TimePoint::min();
  TimePoint NextCallerCheck = TimePoint::min();
  std::size_t WaitingCallers = 0;
  std::uint64_t LastOrder;
};

} // namespace yardwheel

#endif
