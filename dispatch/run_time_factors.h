//===- dispatch/run_time_factors.h - Learned speeds of a pool ---*- C++ -*-===//
///
/// \file
/// Compares the run times that the workers of one pool tell, each as a ratio to
/// the declared ones. Declared times are off by as much for all workers, so the
/// pool's median takes that out.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_RUN_TIME_FACTORS_H
#define YARDWHEEL_DISPATCH_RUN_TIME_FACTORS_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace yardwheel {

struct RunTimeFactorOptions {
  /// A worker counts as the pool's usual one up to this factor in either
  /// direction. More than three deviations of a ratio over the jobs that a
  /// worker counts, so that equal workers are not told apart by noise.
  double NoiseFactor = 1.5;
  /// Limits of a factor, so that an error neither attracts nor repels all
  /// tasks.
  double MinFactor = 0.25;
  double MaxFactor = 4;
  /// Number of workers with a known ratio below which all count as equal.
  std::size_t MinWorkers = 3;
  /// How long a median is used before it is determined again; short beside the
  /// time after which a worker that turns slow shows.
  std::chrono::milliseconds MedianLifetime{100};
};

class RunTimeFactors {
public:
  explicit RunTimeFactors(RunTimeFactorOptions Options = {})
      : Options(Options) {}

  /// Whether the median is older than its lifetime.
  bool isDue(TimePoint Now) const { return Now >= this->NextUpdate; }
  /// Sets the ratios that the pool's workers tell, in thousandths. Those that
  /// are not known are left out.
  void update(std::vector<std::uint32_t> Permilles, TimePoint Now);
  /// Returns the factor by which a task takes longer on a worker than on the
  /// pool's usual one. \param Permille The ratio that the worker tells; 0 if it
  /// is not known.
  double factorOf(std::uint32_t Permille) const;
  /// Returns the ratio of the pool's usual worker in thousandths; 0 if it is
  /// not known.
  std::uint32_t usualPermille() const { return this->MedianPermille; }
  /// Returns the ratio of the pool's usual worker; 1 if it is not known.
  double usualRatio() const;

private:
  RunTimeFactorOptions Options;
  /// Median of the known ratios; 0 if there are too few.
  std::uint32_t MedianPermille = 0;
  TimePoint NextUpdate = TimePoint::min();
};

} // namespace yardwheel

#endif
