//===- coordination/crash_record.h - Tasks that crash workers ---*- C++ -*-===//
///
/// \file
/// Counts the workers that were lost while running a task, and decides whether
/// the task may be placed again.
///
/// Load pattern: some tasks crash every worker that starts them. Without a
/// count, such a task takes down one worker after the other, together with the
/// tasks of other jobs on it, until its job's deadline. A lost worker may also
/// just be cut off; that it crashed is known only once its next incarnation has
/// announced itself.
///
/// A task that waits for such a report must not wait for one that never comes:
/// the agent may have found no crash, or its process may have restarted.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_CRASH_RECORD_H
#define YARDWHEEL_COORDINATION_CRASH_RECORD_H

#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace yardwheel {

enum class CrashVerdict {
  /// The task may be placed.
  Allowed,
  /// As many workers were lost while running the task as may crash with it. It
  /// isn't known yet whether all of them crashed, so the task isn't placed.
  OnHold,
  /// Too many workers have crashed while running the task; it is given up.
  GivenUp,
};

struct CrashRecordOptions {
  /// A task is given up after this many crashes of workers on which it was the
  /// last task started: the tasks started before it had not crashed the worker
  /// until then.
  std::size_t MaxCrashesStartedLast = 2;
  /// A task is given up after this many crashes of workers that were running
  /// it, whether or not it was started last. A task that merely ran beside the
  /// cause twice is placed once more.
  std::size_t MaxCrashesAnyTask = 3;
  /// How long a task is remembered: longer than any job's deadline (17 s).
  std::chrono::milliseconds Retention{30000};
  /// Maximum number of remembered tasks; the least recently used are dropped
  /// first. Enough for more than the retention at 10 crashes per second with 10
  /// tasks each.
  std::size_t MaxTasks = 4000;
};

class CrashRecord {
public:
  explicit CrashRecord(CrashRecordOptions Options = {}) : Options(Options) {}

  /// Records that a run of the task ended because its worker became
  /// unreachable. \param Stamp The agent's stamp of the message that told it.
  void onWorkerLost(const std::string &Job, std::uint32_t Index,
                    const std::string &Agent, std::uint64_t Incarnation,
                    TimePoint Now, std::uint64_t Stamp = 0);
  /// Records that an incarnation of a worker has crashed. \returns the jobs
  /// with tasks whose verdict is settled by this.
  std::vector<std::string> onWorkerCrashed(const std::string &Agent,
                                           const peer::WorkerCrash &Crash,
                                           TimePoint Now);

  /// Handles the complete list of the crashes that an agent knows of, after
  /// each of them has been passed to onWorkerCrashed(). Incarnations before \p
  /// Current that are not on it will not be reported as crashed. \returns the
  /// jobs with tasks that this takes off hold.
  std::vector<std::string> onCrashesListed(const std::string &Agent,
                                           std::uint64_t Current);

  /// Handles the message that the worker was ready at \p Stamp of its agent. It
  /// was only cut off at each earlier loss. \returns the jobs with tasks that
  /// this takes off hold.
  std::vector<std::string> onWorkerReady(const std::string &Agent,
                                         std::uint64_t Incarnation,
                                         std::uint64_t Stamp);

  /// Handles the end of an agent: it leaves or is lost, and will report nothing
  /// to this entry. \returns the jobs with tasks that this takes off hold.
  std::vector<std::string> onAgentGone(const std::string &Agent);

  CrashVerdict verdict(const std::string &Job, std::uint32_t Index) const;
  /// Whether a worker was lost while running the task, and may have crashed.
  bool isSuspect(const std::string &Job, std::uint32_t Index) const;
  /// Describes a given-up task of the job and the workers that crashed while
  /// running it, for logs and callers. \returns an empty text if there is none.
  std::string describeGivenUp(const std::string &Job) const;
  std::size_t tasks() const { return this->Tasks.size(); }
  void sweep(TimePoint Now);

private:
  struct TaskKey {
    std::string Job;
    std::uint32_t Index = 0;
    bool operator<(const TaskKey &Other) const {
      return std::tie(this->Job, this->Index) <
             std::tie(Other.Job, Other.Index);
    }
  };
  struct WorkerIncarnation {
    std::string Agent;
    std::uint64_t Incarnation = 0;
    bool operator<(const WorkerIncarnation &Other) const {
      return std::tie(this->Agent, this->Incarnation) <
             std::tie(Other.Agent, Other.Incarnation);
    }
  };
  struct TaskRecord {
    /// Incarnations that were lost while running the task, with the stamp of
    /// the last loss.
    std::map<WorkerIncarnation, std::uint64_t> Lost;
    /// Those of them that have crashed.
    std::set<WorkerIncarnation> Crashed;
    /// Number of crashed incarnations on which the task was started last.
    std::size_t StartedLast = 0;
    TimePoint LastUsed;
  };

  CrashVerdict judge(const TaskRecord &Known) const;
  /// Clears tasks of those losses that have turned out to be no crashes.
  /// \returns the jobs with tasks that this takes off hold.
  template <typename Predicate>
  std::vector<std::string> clearLosses(const Predicate &IsNoCrash);
  TaskRecord &touch(const TaskKey &Task, TimePoint Now);

  CrashRecordOptions Options;
  std::map<TaskKey, TaskRecord> Tasks;
  /// Crashes that have been counted, with the time of their last report.
  std::map<WorkerIncarnation, TimePoint> Crashes;
  /// Incarnations that were lost and may not have been cleared since.
  std::set<WorkerIncarnation> OpenLosses;
  /// By agent, the first incarnation whose crash may still be reported.
  std::map<std::string, std::uint64_t> FirstUnreported;
};

} // namespace yardwheel

#endif
