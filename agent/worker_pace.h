//===- agent/worker_pace.h - Run times on one worker ------------*- C++ -*-===//
///
/// \file
/// Measures how long tasks take on a worker compared with their declared run
/// times. Declared times are off by a factor that the tasks of a job share, so
/// each job counts once; the mean of the middle half of the last jobs ignores
/// stragglers, and varies less than their median.
///
/// Load pattern: workers of one pool that take unequal time for the same task,
/// always or for some seconds.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_WORKER_PACE_H
#define YARDWHEEL_AGENT_WORKER_PACE_H

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace yardwheel {

struct WorkerPaceOptions {
  /// Number of jobs below which nothing is told. With declared times off by 40
  /// %, the mean of the middle half of so many is off by 11 %.
  std::size_t MinJobs = 18;
  /// Time after which a job no longer counts, so that a worker that gets no
  /// tasks because it was slow is tried again.
  std::chrono::milliseconds MaxAge{10000};
};

class WorkerPace {
public:
  explicit WorkerPace(WorkerPaceOptions Options = {}) : Options(Options) {}

  /// Forgets everything, as another incarnation of the worker has begun.
  void reset() { this->Count = 0; }
  /// Records a task that is done. Tasks without a declared run time are
  /// ignored.
  void onDone(const std::string &Job, Duration RunTime,
              std::chrono::milliseconds Declared, TimePoint Now);
  /// \returns the ratio of observed to declared run times in thousandths; 0 if
  /// too few jobs have been seen.
  std::uint32_t permille(TimePoint Now) const;

private:
  /// Number of jobs that count. A worker that turns slow shows after half as
  /// many.
  static constexpr std::size_t MaxJobs = 18;

  struct Sample {
    std::size_t Job = 0;
    TimePoint At;
    Duration RunTime{};
    Duration Declared{};
    double ratio() const {
      return std::chrono::duration<double>(this->RunTime) /
             std::chrono::duration<double>(this->Declared);
    }
  };

  WorkerPaceOptions Options;
  /// The last jobs; the oldest is replaced.
  std::array<Sample, MaxJobs> Samples;
  std::size_t Count = 0;
  std::size_t Next = 0;
};

} // namespace yardwheel

#endif
