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

  /// Whether a task is placed on the target only if no other can start it now:
  /// the target is a last choice, or the task would end late there.
  bool isAvoided(std::size_t Index) const {
    return this->Targets[Index].LastChoice || this->endsLate(Index);
  }
  /// Whether a task that is placed on the target is expected to end late. Ends
  /// are predicted only among targets with different run-time factors;
  /// otherwise the least loaded one is also the one where a task ends first.
  bool endsLate(std::size_t Index) const;
  /// Whether the target is a slow one where a task ends late if its run time is
  /// declared somewhat too short, as often happens.
  bool isRisky(std::size_t Index) const;
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
  /// Like assignOneToCheapest(), among the targets where the task ends in time
  /// after its wait. Does nothing where it ends in time everywhere, or nowhere.
  bool queueInTime();

  /// Whether tasks that end late wherever they start now are better left
  /// unplaced, since they may wait for room where they end in time.
  bool paysToWait() const;

  std::vector<PlacementShare> shares() const;

private:
  bool assignOneToCheapest(bool OnlyInTime);
  /// Returns the expected run time of a task on a target.
  std::chrono::duration<double> runTimeAt(std::size_t Index) const;
  /// Returns how long a task is expected to wait for its start on a target.
  std::chrono::duration<double> waitAt(std::size_t Index) const;
  std::uint32_t fittingTasks(std::size_t Index,
                             std::uint32_t LoadMilliCores) const;

  const PlacementDemand &Demand;
  std::vector<PlacementTarget> &Targets;
  std::vector<std::uint32_t> Assigned;
  /// Sampled difference between the actual and the expected load of each
  /// target, in thousandths of a core.
  std::vector<double> SampledOffsets;
  std::uint32_t Remaining;
  bool PredictsEnds = false;
  std::mt19937_64 &Random;
};

} // namespace yardwheel

#endif
