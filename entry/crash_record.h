//===- entry/crash_record.h - Tasks under which workers crash ---*- C++ -*-===//
///
/// \file
/// Counts the workers that were lost while a task ran there, and tells whether
/// the task may be placed again.
///
/// Load pattern: some tasks crash each worker that starts them. Without a count
/// each of them takes out one worker after the other, with the tasks of others
/// on it, until its job's time is over. A worker that was lost may also only be
/// cut off; that it crashed is known once its next life has announced itself.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_CRASH_RECORD_H
#define YARDWHEEL_ENTRY_CRASH_RECORD_H

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
  /// It may be placed.
  Clear,
  /// As many workers were lost under it as may crash under a task. Whether all
  /// have is not known yet, so it is not placed.
  Held,
  /// That many have crashed. It is given up.
  GivenUp,
};

struct CrashRecordOptions {
  /// Workers that may crash under a task that was started last on each of them:
  /// what ran there before had not crashed it until then.
  std::size_t MostCrashes = 2;
  /// Workers that may crash under any task. Who only ran beside the cause,
  /// twice, is placed once more.
  std::size_t MostCrashesBeside = 3;
  /// How long a task is remembered: longer than any job's deadline (17 s).
  std::chrono::milliseconds Memory{30000};
  /// Tasks remembered at most, the longest unused go first. At 10 crashes a
  /// second of 10 tasks each, those of more than the memory's time.
  std::size_t MostTasks = 4000;
};

class CrashRecord {
public:
  explicit CrashRecord(CrashRecordOptions Options = {}) : Options(Options) {}

  /// A task's run has ended because its worker could not be reached any more.
  void noteLost(const std::string &Job, std::uint32_t Index,
                const std::string &Agent, std::uint64_t Incarnation,
                TimePoint Now);
  /// A life of a worker has crashed. \returns jobs of which that has settled a
  /// task's verdict.
  std::vector<std::string> noteCrash(const std::string &Agent,
                                     const peer::WorkerCrash &Crash,
                                     TimePoint Now);

  CrashVerdict verdict(const std::string &Job, std::uint32_t Index) const;
  /// A task of the job that is given up, and the workers that have crashed
  /// under it, for logs and callers; empty if there is none.
  std::string describeGivenUp(const std::string &Job) const;
  std::size_t tasks() const { return this->Tasks.size(); }
  void sweep(TimePoint Now);

private:
  struct TaskName {
    std::string Job;
    std::uint32_t Index = 0;
    bool operator<(const TaskName &Other) const {
      return std::tie(this->Job, this->Index) <
             std::tie(Other.Job, Other.Index);
    }
  };
  struct WorkerLife {
    std::string Agent;
    std::uint64_t Incarnation = 0;
    bool operator<(const WorkerLife &Other) const {
      return std::tie(this->Agent, this->Incarnation) <
             std::tie(Other.Agent, Other.Incarnation);
    }
  };
  struct Suspicion {
    /// Lives that were lost under it, and of these, those that have crashed.
    std::set<WorkerLife> Lost;
    std::set<WorkerLife> Crashed;
    /// Of these, the number on which it was started last.
    std::size_t StartedLast = 0;
    TimePoint Used;
  };

  CrashVerdict judge(const Suspicion &Known) const;
  Suspicion &touch(const TaskName &Task, TimePoint Now);

  CrashRecordOptions Options;
  std::map<TaskName, Suspicion> Tasks;
  /// Crashes that have been accounted for, and when they were last told.
  std::map<WorkerLife, TimePoint> Crashes;
};

} // namespace yardwheel

#endif
