//===- dispatch/spread_placement.h - Least loaded worker --------*- C++ -*-===//
///
/// \file
/// Assigns each task to the worker with the lowest load. A job of several tasks
/// then depends on as many workers, each of which costs messages and may fail.
/// Serves as the baseline for packed placement.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_SPREAD_PLACEMENT_H
#define YARDWHEEL_DISPATCH_SPREAD_PLACEMENT_H

#include "dispatch/placement.h"

namespace yardwheel {

class SpreadPlacement final : public Placement {
public:
  std::vector<PlacementShare> divide(const PlacementDemand &Demand,
                                     std::vector<PlacementTarget> Targets,
                                     std::mt19937_64 &Random) const override;
};

} // namespace yardwheel

#endif
