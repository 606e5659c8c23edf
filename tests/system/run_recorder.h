//===- tests/system/run_recorder.h - Runs of all workers --------*- C++ -*-===//
///
/// \file
/// Records the starts and ends of the runs of all simulated workers with their
/// times, under one lock, so that its results are valid on a slow machine too.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_RUN_RECORDER_H
#define YARDWHEEL_TESTS_SYSTEM_RUN_RECORDER_H

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace yardwheel {

/// One run of a task.
struct RunSpan {
  using TimePoint = std::chrono::steady_clock::time_point;

  std::string Worker;
  TimePoint Begin;
  TimePoint End = TimePoint::max();
  bool Done = false;
};

class RunRecorder {
public:
  void onStart(const std::string &Task, const std::string &Worker);
  /// \param At When the run ended according to its duration and its lease. This
  /// may be before the worker noticed the end.
  void onEnd(const std::string &Task, const std::string &Worker,
             RunSpan::TimePoint At, bool Done);
  /// Returns the number of starts of a task while another run of it was alive,
  /// counting a run as alive until its worker has noticed its end.
  int overlaps() const { return this->Overlaps.load(); }
  int starts() const { return this->Starts.load(); }
  int alive() const;
  /// Records a start on a worker that is not of the kind that was required.
  void onUnsuitableStart(const std::string &Task, const std::string &Worker);
  /// Returns a line for each of these starts.
  std::vector<std::string> unsuitableStarts() const;
  /// Returns the tasks with two runs alive at the same time, according to their
  /// end times. Must be called when no run is alive.
  std::vector<std::string> overlappingTasks() const;
  /// Returns the runs of a job's tasks by task.
  std::map<std::string, std::vector<RunSpan>>
  runsOf(const std::string &Job) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, int> Alive;
  std::map<std::string, std::vector<RunSpan>> Spans;
  std::vector<std::string> Unsuitable;
  std::atomic<int> Overlaps{0};
  std::atomic<int> Starts{0};
};

} // namespace yardwheel

#endif
