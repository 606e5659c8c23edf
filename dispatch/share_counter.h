//===- dispatch/share_counter.h - Adds up a placement's shares --*- C++ -*-===//
#ifndef YARDWHEEL_DISPATCH_SHARE_COUNTER_H
#define YARDWHEEL_DISPATCH_SHARE_COUNTER_H

#include "dispatch/placement.h"

namespace yardwheel {

/// Gives tasks to targets and keeps what each target has left up to date.
class ShareCounter {
public:
  ShareCounter(const PlacementDemand &Demand,
               std::vector<PlacementTarget> &Targets, std::mt19937_64 &Random);

  std::uint32_t remaining() const { return this->Remaining; }

  /// Tasks that would start at once at a target, as far as is known.
  std::uint32_t tasksStartingNow(std::size_t Index) const;
  /// The same, leaving out those of which there is some doubt.
  std::uint32_t tasksSureToStart(std::size_t Index) const;
  /// The share of the target's room that is taken once it has one task more,
  /// stretched like its run. Where that is in doubt, one of the shares that it
  /// may be, drawn once: entries that know as little then choose differently.
  double costAt(std::size_t Index) const;

  void assign(std::size_t Index, std::uint32_t Tasks);
  /// Gives one task to the target where it costs least. \returns whether there
  /// is one that may take it.
  bool assignOneToCheapest();

  std::vector<PlacementShare> shares() const;

private:
  std::uint32_t fittingTasks(std::size_t Index,
                             std::uint32_t LoadMilliCores) const;

  const PlacementDemand &Demand;
  std::vector<PlacementTarget> &Targets;
  std::vector<std::uint32_t> Assigned;
  /// By how much more than expected is taken at each target, as drawn.
  std::vector<double> SampledOffsets;
  std::uint32_t Remaining;
  std::mt19937_64 &Random;
};

} // namespace yardwheel

#endif
