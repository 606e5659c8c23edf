//===- coordination/drain_forecast.h - How fast room frees ------*- C++ -*-===//
///
/// \file
/// Estimates how long the work that waits beyond a pool's room takes to drain.
/// Full workers free their whole room once in the mean run time of the tasks,
/// so the wait is that time for each multiple of the room that waits.
///
/// Uses no clock.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_DRAIN_FORECAST_H
#define YARDWHEEL_COORDINATION_DRAIN_FORECAST_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace yardwheel {

struct DrainForecastOptions {
  /// Factor applied to the weights of all earlier tasks at each new one, so
  /// that about the last hundred tasks count.
  double WeightKeptPerTask = 0.99;
};

class DrainForecast {
public:
  explicit DrainForecast(DrainForecastOptions Options = {})
      : Options(Options) {}

  /// Records the run time of a task. \param CpuMilli The room that it took.
  void onTaskEnded(const std::string &Pool, std::uint32_t CpuMilli,
                   std::chrono::milliseconds RunTime);
  /// Returns how long a pool takes until its pressure, the ratio of used to
  /// total room including what waits, has fallen to \p Limit; nothing while no
  /// task has ended there.
  std::optional<std::chrono::milliseconds>
  timeToDrain(const std::string &Pool, double Pressure, double Limit) const;

private:
  struct RunTimes {
    /// Weighted sums of the room of the tasks, and of room times run time.
    double CpuMilli = 0;
    double CpuMilliTimesMillis = 0;
  };

  DrainForecastOptions Options;
  std::map<std::string, RunTimes> Pools;
};

} // namespace yardwheel

#endif
