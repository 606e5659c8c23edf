//===- entry/job_runner.h - Tasks from an entry to its upstreams --*- C++
//-*-===//
///
/// \file
/// The filters of the request's path between the claim and the answer: admit,
/// order, route, dispatch, collect. A task is sent again only on proof that
/// it did not start: silence is never taken for one.
///
/// Single-threaded, without sockets or clocks: the daemon's loop, the tests
/// and the bench all drive the same object.
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
  /// An agent that has said nothing of a task for this long is asked. The
  /// links tell of messages that did not arrive, so this is a last resort.
  std::chrono::milliseconds ProbeTimeout{10000};
  /// Between two questions that stay without an answer.
  std::chrono::milliseconds ProbeInterval{500};
  /// An agent that leaves this many probes unanswered gets nothing more.
  std::uint32_t MaxUnansweredProbes = 3;
  /// An upstream that was silent for this long is asked for its load, so that
  /// dispatches do not rest on news that its agent would refuse as old.
  std::chrono::milliseconds LoadRefreshTimeout{20000};
  EjectionRules Ejection;
  std::uint64_t Seed = 1;
  /// Off only in tests that show what the rule is for.
  bool ResendOnlyOnProof = true;
};

/// Told of what becomes of jobs.
class JobEvents {
public:
  virtual ~JobEvents() = default;
  /// Every task has its result.
  virtual void onComplete(Job &Target, TimePoint Now) = 0;
  /// The job can no longer get a complete answer.
  virtual void onFailed(Job &Target, const FailureSpec &Failure,
                        TimePoint Now) = 0;
};

class JobRunner {
public:
  JobRunner(RunnerOptions Options, PeerSink &Sink, JobEvents &Events);

  /// Whether a job would be taken now. \returns a failure with an
  /// unspecified kind if it would.
  FailureSpec admit(const Job &Target);

  /// Puts a job's tasks in the queue.
  void start(Job &Target, TimePoint Now);
  /// Takes back whatever of a job has not ended.
  void stop(Job &Target, TimePoint Now);
  /// Forgets a job whose last task has been accounted for.
  void forget(const Job &Target);

  void onMember(const peer::Member &Member, TimePoint Now);
  void setShares(std::uint32_t Position, std::uint32_t Entries);
  void onUpdate(const std::string &Agent, const peer::TaskUpdate &Update,
                TimePoint Now);
  void onLoad(const std::string &Agent, const peer::AgentLoad &Load,
              TimePoint Now);
  /// A message to an agent may not have arrived: asks for its tasks.
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
    /// Follows on a question, so that an answer makes it needless.
    bool IsRepeat = false;
  };

  RunnerOptions Options;
  PeerSink &Sink;
  JobEvents &Events;
  std::mt19937_64 Random;
  std::map<std::string, Pool> Pools;
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
