//===- entry/lease_coordinator.h - Runs best-effort jobs --------*- C++ -*-===//
///
/// \file
/// Coordinates the best-effort jobs that this entry has taken: places their
/// tasks, renews its leases at the agents, places a task again only on proof
/// that its last run has ended or never began, and answers each caller once.
///
/// Single-threaded, without sockets or clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_LEASE_COORDINATOR_H
#define YARDWHEEL_ENTRY_LEASE_COORDINATOR_H

#include "core/logger.h"
#include "core/peer_sink.h"
#include "dispatch/waiting_rule.h"
#include "entry/crash_record.h"
#include "entry/lease_metrics.h"
#include "entry/leased_job.h"
#include "entry/load_shedder.h"
#include "entry/recent_ids.h"
#include "entry/worker_table.h"

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
  /// Between two renewals of the lease at an agent that holds our tasks. Less
  /// than half of the agents' lease, so that one lost message ends none.
  std::chrono::milliseconds RenewEvery{200};
  /// Between two questions to an agent that holds none, for its load.
  std::chrono::milliseconds RefreshEvery{2000};
  /// The shortest such time, as a share of it. Each time is drawn between the
  /// two: agents that were met together are else all asked in one tick, and an
  /// entry of a tenth of a core then stands still for a quarter of a second.
  double RefreshSpread = 0.75;
  /// Between two questions whether an agent that fell silent is back.
  std::chrono::milliseconds SilentEvery{500};
  /// Between two questions to an agent for what it holds of ours, while a task
  /// has been there for longer than most last.
  std::chrono::milliseconds ListEvery{500};
  /// An agent that has been sent tasks and is not heard for this long is asked
  /// whether it is there: a little longer than most tasks last.
  std::chrono::milliseconds AskAfter{250};
  /// An agent that leaves a question unanswered for this long gets no tasks
  /// until it is heard: many round trips between data centres.
  std::chrono::milliseconds DoubtAfter{100};
  /// The same for another connection, as this one may have gone silent.
  std::chrono::milliseconds ReconnectAfter{200};
  /// The same for taking it for lost. Well below the agents' lease.
  std::chrono::milliseconds SilenceLimit{600};
  /// A task that runs this many times as long as the longest of its job that
  /// is done has stalled. Tasks of one job differ by some tens of percent.
  double StallFactor = 2.5;
  /// The same against its declared time, while none of its job is done;
  /// declared times are often off by half.
  double StallEstimateFactor = 5;
  /// Added to both, for what is not the task's own time.
  std::chrono::milliseconds StallSlack{100};
  /// After this process was behind, for how long streams that end say nothing
  /// about their peers: it may not have answered in time itself.
  std::chrono::milliseconds BehindMemory{1000};
  /// Between two looks, in such a time, whether callers are still there.
  std::chrono::milliseconds CallerLookEvery{200};
  /// Before an agent is asked again to stop a stalled task.
  std::chrono::milliseconds StallRetry{250};
  /// After an agent has restarted, before what its last life had is lost: some
  /// round trips between data centres.
  std::chrono::milliseconds RestartGrace{60};
  /// A placement younger than this may still be on its way to its agent, which
  /// refuses it once its stamp is older than the agents' lease.
  std::chrono::milliseconds InTransit{1000};
  /// How long an agent must not have listed a placement before it is taken for
  /// ended: the update that tells its end may be sent a second time.
  std::chrono::milliseconds MissingLimit{500};
  /// Times that a task is placed before its job is given up.
  std::uint32_t MaxPlacements = 12;
  /// Times that tasks of a job are sent to an agent that may refuse them for
  /// another to be asked; then they wait where they are sent. A refusal costs a
  /// round trip, a queue what is left of somebody's task: at nine tenths of the
  /// room, 51 entries and 240 workers had 0.93 of the credit with eight, 0.913
  /// with two (virtual time, two seeds).
  std::uint32_t MaxBounces = 6;
  /// A job that is given up waits this long for proof that none of its tasks
  /// has started; some round trips between data centres.
  std::chrono::milliseconds ProofWait{40};
  /// How long it is remembered that a job has run: longer than its caller takes
  /// to hand it in again.
  std::chrono::milliseconds RunMemory{5000};
  /// What a caller is told when a job was refused for want of room: about the
  /// time in which a full worker has emptied.
  std::chrono::milliseconds RetryAfter{1000};
  WorkerTableOptions Workers;
  ShedderOptions Shedder;
  WaitingOptions Waiting;
  CrashRecordOptions Crashes;
  std::uint64_t Seed = 1;
  /// The placements of this life of the entry have numbers above this one,
  /// and above those of its earlier lives.
  std::uint64_t FirstOrder = 0;
};

/// Hears how jobs end.
class LeasedAnswerSink {
public:
  virtual ~LeasedAnswerSink() = default;
  virtual void onLeasedAnswer(LeaseTicket Ticket,
                              const LeasedAnswer &Answer) = 0;
  /// Whether the caller has not closed its connection, as far as the host
  /// knows. That it has may still lie unread in a process that stood still.
  virtual bool hasCaller(LeaseTicket Ticket) const { return true; }
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
  /// Ended since a task of theirs has crashed too many workers.
  std::uint64_t JobsCrashing = 0;
};

class LeaseCoordinator {
public:
  LeaseCoordinator(const CoordinatorOptions &Options, PeerSink &Sink,
                   LeasedAnswerSink &Answers);

  void submit(LeasedJobRequest Request, LeaseTicket Waiter, Instant Now);
  /// A caller has gone. The job ends when nobody else waits for it.
  void withdraw(const std::string &Id, LeaseTicket Waiter,
                const std::string &Reason, Instant Now);
  /// The job is wanted no longer, whoever waits for it.
  void cancel(const std::string &Id, const std::string &Reason, Instant Now);
  /// Gives up all jobs, as this process ends.
  void cancelAll(const std::string &Reason, Instant Now);
  void onMember(const peer::Member &Member, Instant Now);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  /// Sends again what may not have arrived, once; an agent that is not heard
  /// in between is taken for lost when that fails too.
  void onUndelivered(const Undelivered &Lost, Instant Now);
  /// Places again what messages since the last call have made necessary, all
  /// of a job at once. To be called after each batch of messages.
  void placeDue(Instant Now);
  /// \param LastBehind Until when this process did not keep up with its own
  /// input. What others left unanswered until then may lie here unread.
  void tick(Instant Now, TimePoint LastBehind);
  void tick(Instant Now) { this->tick(Now, TimePoint::min()); }
  /// Tells until when this process was behind, before anything is done that
  /// may have waited here. Then jobs whose callers have gone meanwhile end,
  /// before a message renews what they have at agents.
  void noteBehind(TimePoint NewLastBehind, Instant Now);

  /// Whether a job with this id is under way here.
  bool isRunning(const std::string &Id) const {
    return this->Jobs.contains(Id);
  }
  /// Whether a resubmission of this job would only wait for the runs under way,
  /// and start nothing.
  bool mayJoin(const std::string &Id) const;
  /// Jobs of a route that have not begun, as far as is known here.
  std::uint32_t pending(const std::string &Route) const;
  /// Jobs whose callers wait.
  std::size_t inFlight() const { return this->Waiting; }
  /// Whether any worker can be reached; without one every job is refused.
  bool hasWorkers() const { return this->Workers.hasReachable(); }
  const WorkerTable &workerTable() const { return this->Workers; }
  const CoordinatorCounters &counters() const { return this->Counters; }
  const LeaseMetrics &metrics() const { return this->Metrics; }

private:
  enum class TaskPhase { Unplaced, Sent, Done, Over };
  struct Task {
    TaskPhase Phase = TaskPhase::Unplaced;
    std::string Agent;
    /// The agent's life that it was sent to.
    std::uint64_t Incarnation = 0;
    /// When its agent is next asked whether it has stalled.
    TimePoint AskStalledAt = TimePoint::max();
    /// Its agent has been asked to stop it as stalled.
    bool Stalled = false;
    std::uint32_t Attempt = 0;
    /// Names the present placement.
    std::uint64_t Order = 0;
    /// It was sent more than once, perhaps to several lives of its agent.
    bool Repeated = false;
    /// When its dispatch was last sent.
    TimePoint PlacedAt;
    /// Since when its agent does not list it, if it does not.
    TimePoint MissingSince = TimePoint::max();
    std::uint32_t Failures = 0;
    std::set<std::string> Avoid;
  };
  enum class JobPhase { Running, GivingUp, Answered };
  /// One hand-in of a job, and until when it waits for the answer.
  struct Caller {
    LeaseTicket Ticket = 0;
    TimePoint Until;
  };
  struct Job {
    LeasedJobRequest Request;
    std::vector<Caller> Callers;
    std::vector<Task> Tasks;
    JobPhase Phase = JobPhase::Running;
    TimePoint Taken;
    TimePoint GiveUpAt;
    /// Whether any task may have run, of this hand-in or of one before.
    bool MayHaveRun = false;
    std::uint32_t DoneCount = 0;
    /// The longest time that a task of it has taken.
    std::chrono::milliseconds LongestDone{};
    std::uint32_t OutCount = 0;
    /// Times that tasks of it have been placed again.
    std::uint32_t Bounces = 0;
    /// Tasks that wait for offers, and until when they do.
    std::uint32_t AwaitingOffers = 0;
    /// Of these, those that agents have been asked to offer room for.
    std::uint32_t AskedFor = 0;
    /// Agents that have been asked and may still offer room.
    std::set<std::string> Asked;
    TimePoint OffersUntil = TimePoint::max();
    /// Offers were awaited for long enough: tasks go into workers' queues.
    bool OffersOver = false;
    LeasedAnswer Pending;
    /// The same job handed in again while runs of this submission are being
    /// stopped. It begins once they have ended.
    struct Resubmission {
      LeasedJobRequest Request;
      std::vector<Caller> Callers;
    };
    std::optional<Resubmission> Next;
  };
  struct Contact {
    TimePoint NextRenewal = TimePoint::min();
    /// When the last renewal was sent, whose answer lists what is held.
    TimePoint AskedToList = TimePoint::min();
    /// How long it may be idle and unheard before it is asked for its load.
    std::chrono::milliseconds RefreshAfter{};
    /// When the first tasks were sent since it was last heard.
    TimePoint SentAt = TimePoint::max();
    /// When the oldest renewal without an answer was sent.
    TimePoint AskedAt = TimePoint::max();
    /// When tasks sent to an earlier life of the agent are taken for lost; it
    /// may still be saying that it refuses some of them.
    TimePoint LoseOldAt = TimePoint::max();
    /// When messages to it were last sent again.
    TimePoint RepeatedAt = TimePoint::min();
    /// Placements there whose jobs still run here, by their numbers: all that
    /// renewals name. What is answered for must lapse, also at an agent that
    /// cannot be heard.
    std::set<std::uint64_t> Wanted;
    /// Placements that were given up when it was lost, by their numbers. It
    /// may hold them all the same.
    struct GivenUp {
      std::string Job;
      TimePoint PlacedAt;
    };
    std::map<std::uint64_t, GivenUp> Lost;
  };

  void begin(LeasedJobRequest Request, std::vector<Caller> Callers,
             Instant Now);
  /// Until when any of them waits.
  static TimePoint lastDeadline(const std::vector<Caller> &Callers);
  /// Lets a job that was handed in again wait for the end of its earlier runs.
  void awaitEnd(Job &Known, LeasedJobRequest Request, LeaseTicket Waiter,
                Instant Now);
  /// Answers those who wait for an earlier submission to end.
  void dropResubmission(Job &Known, const std::string &Reason);
  /// Answers one of several callers, who has gone. \returns false, and does
  /// nothing, if he is the only one.
  bool leaveOthers(std::vector<Caller> &Callers, LeaseTicket Waiter,
                   const std::string &Reason);
  /// Whether the job was refused because too much is waiting already.
  bool shed(const LeasedJobRequest &Request, LeaseTicket Waiter, Instant Now);
  void place(Job &Target, Instant Now);
  /// Gives up a job whose deadline has passed or whose callers have gone.
  /// \returns whether it has.
  bool endIfUnwanted(Job &Target, Instant Now);
  /// Whether this process was behind until a moment ago.
  bool wasBehind(Instant Now) const;
  void placeSoon(Job &Target);
  /// Places tasks that must avoid the same agents. \returns whether all could
  /// be.
  bool placeGroup(Job &Target, const std::set<std::string> &Avoid,
                  const std::vector<std::uint32_t> &Indexes, Instant Now,
                  std::map<std::string, peer::LeasedDispatch> &Batch);
  /// Ends jobs whose tasks are given up by what an agent tells of crashes.
  void onCrashes(const std::string &Agent, const peer::WorkerLoad &Load,
                 Instant Now);
  /// Answers a job at once whose tasks have been given up before. \returns
  /// whether they have.
  bool refuseGivenUp(const LeasedJobRequest &Request,
                     const std::vector<Caller> &Callers);
  /// Keeps tasks here, and asks agents to offer room for them.
  void awaitOffers(Job &Target, const std::set<std::string> &Avoid,
                   std::uint32_t Tasks, Instant Now);
  /// Tells the agents that were asked that no more tasks wait: a slot that is
  /// held for nothing is idle for a round trip.
  void withdrawInterest(Job &Target);
  /// Of all tasks that wait for offers, in thousandths of a core.
  std::uint64_t awaitingCpu() const;
  void onOffer(const PeerRef &From, const peer::LeasedOffer &Offer,
               Instant Now);
  /// Until a task of the job must have started, by its declared length.
  static std::chrono::milliseconds slackOf(const Job &Target, Instant Now);
  void assign(Job &Target, std::uint32_t Index, const LeasedWorker &Chosen,
              Instant Now, std::map<std::string, peer::LeasedDispatch> &Batch);
  void dispatch(Job &Target, std::map<std::string, peer::LeasedDispatch> &Batch,
                Instant Now);
  void onLoad(const std::string &Agent, const peer::WorkerLoad &Load,
              Instant Now);
  /// Whether an agent has not listed a placement for so long that it has ended.
  bool isMissing(Task &Which, bool Held, Instant Now) const;
  /// Ends the tasks of which an agent knows nothing: their updates were lost,
  /// as while this entry stood still and its lease there lapsed.
  void onHeldOrders(const std::string &Agent, const peer::WorkerLoad &Load,
                    Instant Now);
  /// Stops what an agent holds of jobs that were given up, here or when it
  /// was lost.
  void stopGivenUp(const LeasedWorker &Worker,
                   const std::set<std::uint64_t> &Held, Instant Now);
  /// \param Orders The placements to stop; all of the job there if empty.
  void sendStop(const std::string &Id, const LeasedWorker &Worker,
                const std::vector<std::uint64_t> &Orders);
  void onUpdate(const std::string &Agent, const peer::LeasedUpdate &Update,
                Instant Now);
  /// Whether an agent's word that a task has not started holds for all copies
  /// of its dispatch.
  static bool isProof(const Task &Which, const peer::LeasedUpdate &Update);
  void onRunDone(Job &Target, const std::string &Agent,
                 const peer::LeasedUpdate &Update);
  void onNotStarted(Job &Target, Task &Which, const std::string &Agent,
                    const peer::LeasedUpdate &Update, Instant Now);
  void onEndedEarly(Job &Target, Task &Which, const std::string &Agent,
                    const peer::LeasedUpdate &Update, Instant Now);
  void onRunFailed(Job &Target, Task &Which, const std::string &Agent,
                   const peer::LeasedUpdate &Update, Instant Now);
  void settle(Job &Target, Task &Which, TaskPhase Next);
  /// Gives up on the tasks sent to an agent, or only to earlier lives of it.
  void loseTasks(const std::string &Agent, bool OnlyEarlierLives,
                 const std::string &Reason, Instant Now);
  void onRestarted(const std::string &Agent, Instant Now);
  void repeat(const LeasedWorker &Worker, const Undelivered &Lost, Instant Now);
  void repeatDispatch(const LeasedWorker &Worker,
                      const peer::LeasedDispatch &Lost,
                      std::chrono::milliseconds Age, Instant Now);
  void giveUp(Job &Target, LeasedAnswer Answer, Instant Now);
  void stopTasks(Job &Target);
  void finish(Job &Target, LeasedAnswer Answer, Instant Now);
  void finishIfProven(Job &Target, Instant Now);
  void forgetIfSettled(const std::string &Id, Instant Now);
  void renew(Instant Now);
  /// Whether a question to an agent has been unanswered for longer than this.
  static bool isUnanswered(const Contact &Line, std::chrono::milliseconds Limit,
                           Instant Now);
  bool isRenewalDue(const LeasedWorker &Worker, const Contact &Line,
                    Instant Now) const;
  void renewOne(const LeasedWorker &Worker, Contact &Line, Instant Now);
  std::chrono::milliseconds drawRefresh();
  void tickJobs(Instant Now);
  std::chrono::milliseconds stallLimit(const Job &Target) const;
  void stopStalled(Job &Target, Instant Now);
  /// Has the agent of a task that has been out for long list what it holds.
  void askToList(const Task &Which, Instant Now);
  Job *find(const std::string &Id);

  CoordinatorOptions Options;
  Logger Log{"coordinator"};
  PeerSink &Sink;
  LeasedAnswerSink &Answers;
  WorkerTable Workers;
  LoadShedder Shedder;
  WaitingRule Waits;
  std::mt19937_64 Random;
  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs;
  /// Jobs that may have run and are no longer under way.
  RecentIds Ran;
  CrashRecord Crashes{this->Options.Crashes};
  TimePoint NextCrashSweep = TimePoint::min();
  /// Jobs with tasks to be placed again.
  std::set<std::string> ToPlace;
  std::map<std::string, Contact> Contacts;
  CoordinatorCounters Counters;
  LeaseMetrics Metrics;
  TimePoint LastBehind = TimePoint::min();
  TimePoint NextCallerLook = TimePoint::min();
  std::size_t Waiting = 0;
  std::uint64_t LastOrder;
};

} // namespace yardwheel

#endif
