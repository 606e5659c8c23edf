//===- dispatch/placement.h - Which workers get a job's tasks ---*- C++ -*-===//
///
/// \file
/// The interface of placement: a job's tasks are divided among the workers
/// that may take them. Placement sees room and load as numbers and knows
/// neither messages nor clocks; what it is told of others' load may be old.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_PLACEMENT_H
#define YARDWHEEL_DISPATCH_PLACEMENT_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace yardwheel {

/// A worker that may take tasks of the job.
struct PlacementTarget {
  /// Names the worker to whoever asks.
  std::size_t Worker = 0;
  /// Processor time in thousandths of a core: all that the worker has, and
  /// what is expected to run or wait there.
  std::uint32_t CapacityMilliCores = 0;
  std::uint32_t LoadMilliCores = 0;
  /// Most tasks of this job that it may get now.
  std::uint32_t MaxTasks = UINT32_MAX;
  /// Times as long that a task takes here, such as away from its data.
  double RunTimeFactor = 1;
  /// The standard deviation of what is really taken around what is expected.
  std::uint32_t DeviationMilliCores = 0;
};

struct PlacementDemand {
  std::uint32_t Tasks = 0;
  /// Of each task, in thousandths of a core.
  std::uint32_t CpuMilliCores = 0;
  /// Places only what would start at once, as far as is known.
  bool OnlyStartingNow = false;
};

/// Tasks for one worker.
struct PlacementShare {
  std::size_t Worker = 0;
  std::uint32_t Tasks = 0;
  /// All of them would start at once, as far as is known.
  bool StartsNow = false;
};

class Placement {
public:
  virtual ~Placement() = default;

  /// Divides all tasks among the targets. \returns shares that add up to the
  /// demand, or to less where the targets may not take all.
  virtual std::vector<PlacementShare>
  divide(const PlacementDemand &Demand, std::vector<PlacementTarget> Targets,
         std::mt19937_64 &Random) const = 0;
};

/// "packed" or "spread". \throws Error for any other name.
std::unique_ptr<Placement> makePlacement(std::string_view Name);

} // namespace yardwheel

#endif
