//===- emulator/run_register.h - Record of all runs -------------*- C++ -*-===//
///
/// \file
/// Records the runs of all workers, as an outside observer sees them: which
/// runs are alive, which tasks had two runs at once, which submissions have
/// been run, and how many crashes the tasks that crash their workers have
/// caused.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_RUN_REGISTER_H
#define YARDWHEEL_EMULATOR_RUN_REGISTER_H

#include "agent/worker_port.h"
#include "core/clock.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yardwheel {

/// Identifies one submission of a job by a caller; resubmissions get new ids.
using SubmissionId = std::uint64_t;

/// Statistics of the tasks that crash their workers.
struct CrashStats {
  std::uint32_t Crashes = 0;
  /// The largest number of workers that crashed while starting one task.
  std::uint32_t MaxCrashesOfOneTask = 0;
  /// The largest number of starts of one task after it had crashed three
  /// workers.
  std::uint32_t MaxStartsAfterThree = 0;
};

class RunRegister {
public:
  void begin(const std::string &Worker, const RunKey &Run, SubmissionId For,
             TimePoint Now);
  void end(const std::string &Worker, const RunKey &Run, const std::string &How,
           TimePoint Now);
  /// Sets what the workers of a job's tasks must be.
  void require(const std::string &Job, const peer::WorkerRequirement &Needed) {
    this->Requirements[Job] = Needed;
  }
  /// Checks a start against what was required. \param RunsOfJob Runs of the job
  /// on this worker, with this one.
  void checkKind(const RunKey &Run, const WorkerProfile &Worker,
                 std::size_t RunsOfJob);
  /// Records the start of a run that crashes its worker.
  void noteCrash(const RunKey &Cause);

  /// Counts the starts of a task while another run of it was alive, at any
  /// worker.
  std::uint32_t overlappingStarts() const { return this->OverlappingStarts; }
  /// Counts the starts on workers that are not what the job requires.
  std::uint32_t unsuitableStarts() const { return this->UnsuitableStarts; }
  /// Returns whether a run of this submission has ever begun.
  bool hasBegun(SubmissionId Which) const {
    return this->BegunSubmissions.contains(Which);
  }
  CrashStats crashStats() const;
  /// Returns a line for each run of the tasks that had two runs at once, with
  /// times in milliseconds after \p Since.
  std::string describeOverlapping(TimePoint Since) const;

private:
  using TaskName = std::pair<std::string, std::uint32_t>;
  struct Run {
    std::string Worker;
    std::uint64_t Number = 0;
    SubmissionId For = 0;
    TimePoint Began;
    TimePoint Ended = TimePoint::max();
    std::string How = "alive";
  };
  struct CrashCount {
    std::uint32_t Crashes = 0;
    std::uint32_t StartsAfterThreeCrashes = 0;
  };

  std::map<TaskName, std::vector<Run>> Runs;
  std::set<TaskName> OverlappingTasks;
  std::set<SubmissionId> BegunSubmissions;
  std::map<TaskName, CrashCount> CrashCounts;
  std::uint32_t OverlappingStarts = 0;
  /// By job.
  std::map<std::string, peer::WorkerRequirement> Requirements;
  std::uint32_t UnsuitableStarts = 0;
};

} // namespace yardwheel

#endif
