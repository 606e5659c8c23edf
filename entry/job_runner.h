//===- entry/job_runner.h - Dispatches tasks to upstreams -------*- C++ -*-===//
///
/// \file
/// The stages of a request between its claim and its answer: admit, order,
/// route, dispatch, collect. A task is dispatched again only if its agent has
/// confirmed that it did not start; missing replies are never taken as such a
/// confirmation.
///
/// Single-threaded; uses neither sockets nor clocks. The daemon's event loop,
/// the tests and the benchmarks all drive this same object.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_JOB_RUNNER_H
#define YARDWHEEL_ENTRY_JOB_RUNNER_H

#include "entry/job.h"
#include "entry/pool.h"

#include <map>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>

namespace yardwheel {

struct RunnerOptions {
  /// A task's agent is probed after it has sent nothing about the task for this
  /// long. The links report undelivered messages, so this is a last resort.
  std::chrono::milliseconds ProbeTimeout{10000};
  /// Interval between probes while they remain unanswered.
  std::chrono::milliseconds ProbeInterval{500};
  /// An agent that leaves this many probes unanswered receives no more tasks.
  std::uint32_t MaxUnansweredProbes = 3;
  /// An upstream that was silent for this long is asked for its load, so that
  /// dispatches don't rely on load data that its agent would reject as stale.
  std::chrono::milliseconds LoadRefreshTimeout{20000};
  EjectionRules Ejection;
  std::uint64_t Seed = 1;
  /// Disabled only in tests that show why the rule is needed.
  bool ResendOnlyOnProof = true;
};

/// Receives the results of running jobs.
class JobEvents {
public:
  virtual ~JobEvents() = default;
  /// Called when every task has its result.
  virtual void onComplete(Job &Target, TimePoint Now) = 0;
  /// Called when the job can no longer complete.
  virtual void onFailed(Job &Target, const FailureSpec &Failure,
                        TimePoint Now) = 0;
};

class JobRunner {
public:
  JobRunner(RunnerOptions Options, PeerSink &Sink, JobEvents &Events);

  /// Checks whether the job can be accepted now. \returns a failure whose kind
  /// is unspecified if it can.
  FailureSpec admit(const Job &Target);

  /// Queues all tasks of a job.
  void start(Job &Target, TimePoint Now);
  /// Withdraws all tasks of a job that have not ended.
  void stop(Job &Target, TimePoint Now);
  /// Removes a job that has no outstanding tasks.
  void forget(const Job &Target);

  void onMember(const peer::Member &Member, TimePoint Now);
  /// Sets the data centres that are being evacuated: nothing new is placed
  /// there.
  void setEvacuated(const std::set<std::string> &DataCentres);
  void setShares(std::uint32_t Position, std::uint32_t Entries);
  void onUpdate(const std::string &Agent, const peer::TaskUpdate &Update,
                TimePoint Now);
  void onLoad(const std::string &Agent, const peer::AgentLoad &Load,
              TimePoint Now);
  /// Handles a message to \p Agent that may not have been delivered: probes the
  /// agent's tasks.
  void onSendFailed(const std::string &Agent, TimePoint Now);
  void tick(TimePoint Now);

  const std::map<std::string, Pool> &pools() const { return this->Pools; }

private:
  struct DispatchKey {
    JobNumber Job;
    UpstreamIndex Upstream;
    bool operator<(const DispatchKey &Other) const {
      return std::tie(this->Job, this->Upstream) <
             std::tie(Other.Job, Other.Upstream);
    }
  };

  void schedule(Pool &Target, TimePoint Now);
  bool sendNext(Pool &Target, TimePoint Now,
                std::map<DispatchKey, peer::Dispatch> &Batch);
  std::optional<UpstreamIndex> route(Pool &Target, const Job &Owner,
                                     std::uint32_t Index);
  void addToBatch(Pool &Target, Job &Owner, std::uint32_t Index,
                  UpstreamIndex Upstream,
                  std::map<DispatchKey, peer::Dispatch> &Batch);
  void flush(Pool &Target, std::map<DispatchKey, peer::Dispatch> &Batch);
  void rebalance(Pool &Target);
  void withdrawLast(Pool &Target, UpstreamIndex Upstream);

  void apply(Job &Owner, const peer::TaskUpdate &Update, TimePoint Now);
  void onNotStarted(Job &Owner, std::uint32_t Index,
                    const peer::TaskUpdate &Update, TimePoint Now);
  void onEnded(Job &Owner, std::uint32_t Index, const peer::TaskUpdate &Update,
               TimePoint Now);
  void settle(Job &Owner, std::uint32_t Index);
  void resend(Job &Owner, std::uint32_t Index, const std::string &Reason,
              TimePoint Now);
  void handleLostTasks(Pool &Target, UpstreamIndex Upstream,
                       const std::string &Reason, TimePoint Now);
  void pollForFreeSlots(Pool &Target, TimePoint Now);
  void requestLoad(const Upstream &Asked);
  void refreshSilentAgents(Pool &Target, TimePoint Now);
  void sendDueProbes(TimePoint Now);
  void probe(Job &Owner, std::uint32_t Index, TimePoint Now);
  void sendWithdraw(Job &Owner, UpstreamIndex Upstream,
                    const std::vector<std::uint32_t> &Tasks, bool Probe);
  void fail(Job &Owner, FailureSpec Failure, TimePoint Now);
  Job *find(JobNumber Number);
  Job *findByKey(const std::string &Key);
  Pool *poolOf(const std::string &Agent);

  struct DueProbe {
    TaskRef Task;
    std::uint32_t Attempt = 0;
    /// Repeats an earlier probe; not needed once that one has been answered.
    bool IsRepeat = false;
  };

  RunnerOptions Options;
  PeerSink &Sink;
  JobEvents &Events;
  std::mt19937_64 Random;
  std::map<std::string, Pool> Pools;
  std::set<std::string> EvacuatedDataCentres;
  std::unordered_map<std::string, std::string> PoolOfAgent;
  std::unordered_map<JobNumber, Job *> Jobs;
  std::unordered_map<std::string, JobNumber> NumberOfKey;
  std::multimap<TimePoint, DueProbe> Probes;
  TimePoint NextRefresh = TimePoint::min();
  TimePoint NextFreeSlotPoll = TimePoint::min();
  std::uint32_t Position = 0;
  std::uint32_t Entries = 1;
};

} // namespace yardwheel

#endif
