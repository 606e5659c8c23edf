//===- emulator/run_register.h - All runs of all workers --------*- C++ -*-===//
///
/// \file
/// What an observer of all workers sees: which runs are alive, where two of one
/// task are, which hand-ins have been run, and what tasks that crash their
/// workers have done.
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

/// Names one time that a caller has handed a job in.
using SubmissionId = std::uint64_t;

/// What tasks that crash their workers have done.
struct CrashStats {
  std::uint32_t Crashes = 0;
  /// Workers that have crashed under one task, at most.
  std::uint32_t MaxCrashesOfOneTask = 0;
  /// Starts of a task after three workers had crashed under it, at most.
  std::uint32_t MaxStartsAfterThree = 0;
};

class RunRegister {
public:
  void begin(const std::string &Worker, const RunKey &Run, SubmissionId For,
             TimePoint Now);
  void end(const std::string &Worker, const RunKey &Run, const std::string &How,
           TimePoint Now);
  /// A run was started that crashes its worker.
  void noteCrash(const RunKey &Cause);

  /// Starts of a task while another run of it was under way, at any worker.
  std::uint32_t doubled() const { return this->Doubled; }
  /// Whether a run of this hand-in has ever begun.
  bool hasBegun(SubmissionId Which) const {
    return this->Begun.contains(Which);
  }
  CrashStats crashStats() const;
  /// A line for each run of the tasks that had two at once.
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
    std::uint32_t StartsAfterThree = 0;
  };

  std::map<TaskName, std::vector<Run>> Runs;
  std::set<TaskName> DoubledTasks;
  std::set<SubmissionId> Begun;
  std::map<TaskName, CrashCount> CrashCounts;
  std::uint32_t Doubled = 0;
};

} // namespace yardwheel

#endif
