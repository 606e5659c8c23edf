//===- dispatch/placement.h - Placement of tasks on workers -----*- C++ -*-===//
///
/// \file
/// Interface of placement, which divides the tasks of a job among eligible
/// workers. Placement handles capacity and load as numbers and knows neither
/// messages nor clocks; what it is told about other entries' load may be
/// outdated.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_PLACEMENT_H
#define YARDWHEEL_DISPATCH_PLACEMENT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace yardwheel {

/// A worker that is eligible for tasks of the job.
struct PlacementTarget {
  /// Identifies the worker to the caller.
  std::size_t Worker = 0;
  /// Processor time in thousandths of a core: the worker's total, and what is
  /// expected to run or wait there.
  std::uint32_t CapacityMilliCores = 0;
  std::uint32_t LoadMilliCores = 0;
  /// Maximum number of tasks of this job that it may get now.
  std::uint32_t MaxTasks = UINT32_MAX;
  /// Factor by which a task takes longer here, for example away from its data.
  double RunTimeFactor = 1;
  /// Standard deviation of the actual load around LoadMilliCores.
  std::uint32_t DeviationMilliCores = 0;
  /// Whether a task starts here only if no other target can start it now, for
  /// example because the worker is slow by an unknown factor after its start.
  bool LastChoice = false;
  /// How long a task that arrives while the worker is full waits for its start.
  std::chrono::milliseconds StartDelay{};
};

struct PlacementDemand {
  std::uint32_t Tasks = 0;
  /// Processor time of each task, in thousandths of a core.
  std::uint32_t CpuMilliCores = 0;
  /// Whether to place only tasks that are expected to start immediately.
  bool OnlyStartingNow = false;
  /// Expected run time of a task where the run-time factor is 1, and the time
  /// in which it has to end. Without a run time, ends are not predicted.
  std::chrono::milliseconds RunTime{};
  std::chrono::milliseconds TimeLeft{};
};

/// The tasks that are placed on one worker.
struct PlacementShare {
  std::size_t Worker = 0;
  std::uint32_t Tasks = 0;
  /// Whether all of them are expected to start immediately.
  bool StartsNow = false;
};

class Placement {
public:
  virtual ~Placement() = default;

  /// Divides the tasks among the targets. \returns shares that add up to the
  /// demand, or to less if the targets can't take all tasks.
  virtual std::vector<PlacementShare>
  divide(const PlacementDemand &Demand, std::vector<PlacementTarget> Targets,
         std::mt19937_64 &Random) const = 0;
};

/// Creates the placement with the given name, "packed" or "spread". \throws
/// Error for any other name.
std::unique_ptr<Placement> makePlacement(std::string_view Name);

} // namespace yardwheel

#endif
