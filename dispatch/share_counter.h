//===- dispatch/share_counter.h - Shares of a placement ---------*- C++ -*-===//
#ifndef YARDWHEEL_DISPATCH_SHARE_COUNTER_H
#define YARDWHEEL_DISPATCH_SHARE_COUNTER_H

#include "dispatch/placement.h"

namespace yardwheel {

/// Assigns tasks to targets and updates the remaining capacity of each target.
class ShareCounter {
public:
  ShareCounter(const PlacementDemand &Demand,
               std::vector<PlacementTarget> &Targets, std::mt19937_64 &Random);

  std::uint32_t remaining() const { return this->Remaining; }

  /// Whether a task is placed on the target only if no other can start it now.
  bool isAvoided(std::size_t Index) const {
    return this->Targets[Index].LastChoice;
  }
  /// Returns the number of tasks that are expected to start immediately on a
  /// target.
  std::uint32_t tasksStartingNow(std::size_t Index) const;
  /// Like tasksStartingNow(), counting only tasks that start even if the load
  /// exceeds its estimate by a safety margin.
  std::uint32_t tasksSureToStart(std::size_t Index) const;
  /// Returns the share of the target's capacity that is in use with one more
  /// task, multiplied by its run-time factor. If the load is uncertain, a value
  /// sampled once from its distribution is used, so that entries with the same
  /// knowledge choose differently.
  double costAt(std::size_t Index) const;

  void assign(std::size_t Index, std::uint32_t Tasks);
  /// Assigns one task to the target with the lowest cost. \returns whether any
  /// target may take it.
  bool assignOneToCheapest();

  std::vector<PlacementShare> shares() const;

private:
  std::uint32_t fittingTasks(std::size_t Index,
                             std::uint32_t LoadMilliCores) const;

  const PlacementDemand &Demand;
  std::vector<PlacementTarget> &Targets;
  std::vector<std::uint32_t> Assigned;
  /// Sampled difference between the actual and the expected load of each
  /// target, in thousandths of a core.
  std::vector<double> SampledOffsets;
  std::uint32_t Remaining;
  std::mt19937_64 &Random;
};

} // namespace yardwheel

#endif
