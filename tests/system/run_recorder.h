//===- tests/system/run_recorder.h - Runs of all workers --------*- C++ -*-===//
///
/// \file
/// Sees the starts and ends of the runs of all stand-in workers under one lock,
/// with their times, so that what it tells holds on a slow machine too.
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
  /// \param At When it ended by its length and its lease, which may be before
  /// its worker came to see to that.
  void onEnd(const std::string &Task, const std::string &Worker,
             RunSpan::TimePoint At, bool Done);
  /// Starts of a task while another run of it was alive, as far as workers had
  /// seen to their ends by then.
  int overlaps() const { return this->Overlaps.load(); }
  int starts() const { return this->Starts.load(); }
  int alive() const;
  /// Tasks of which two runs were alive at one time, by the times of their
  /// ends. To be called when none is alive.
  std::vector<std::string> overlappingTasks() const;
  /// The runs of a job's tasks, by task.
  std::map<std::string, std::vector<RunSpan>>
  runsOf(const std::string &Job) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, int> Alive;
  std::map<std::string, std::vector<RunSpan>> Spans;
  std::atomic<int> Overlaps{0};
  std::atomic<int> Starts{0};
};

} // namespace yardwheel

#endif
