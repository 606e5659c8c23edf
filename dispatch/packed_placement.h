//===- dispatch/packed_placement.h - Fewest workers per job -----*- C++ -*-===//
///
/// \file
/// Places a job on as few workers as can start all of it immediately. Only
/// tasks that can't start anywhere immediately wait, where they wait least.
///
/// Load pattern: thousands of jobs per second with two to eight tasks each, and
/// workers with capacity for about ten tasks, any of which may hang or be cut
/// off. Each additional worker of a job costs its entry a message in each
/// direction and is another one whose failure fails the job.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_PACKED_PLACEMENT_H
#define YARDWHEEL_DISPATCH_PACKED_PLACEMENT_H

#include "dispatch/placement.h"

namespace yardwheel {

class ShareCounter;

class PackedPlacement final : public Placement {
public:
  std::vector<PlacementShare> divide(const PlacementDemand &Demand,
                                     std::vector<PlacementTarget> Targets,
                                     std::mt19937_64 &Random) const override;

private:
  /// Assigns all remaining tasks to one of these targets that can start them
  /// immediately, the better of two selected at random. \returns whether there
  /// is one.
  static bool assignAll(ShareCounter &Counter,
                        const std::vector<std::size_t> &Among,
                        std::mt19937_64 &Random);
  /// Fills the one of these targets that can start the most tasks immediately.
  /// \returns whether any can start one.
  static bool fillLargest(ShareCounter &Counter,
                          const std::vector<std::size_t> &Among,
                          std::mt19937_64 &Random);
};

} // namespace yardwheel

#endif
