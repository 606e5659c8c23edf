//===- dispatch/packed_placement.h - As few workers as can start it -*- C++
//-*-===//
///
/// \file
/// Puts a job on as few workers as can start all of it at once; only what
/// starts nowhere at once waits, where it waits least.
///
/// Load pattern: thousands of jobs a second of two to eight tasks each, and
/// workers with room for some ten tasks, of which any may hang or be cut off.
/// Each further worker of a job costs its entry a message each way, and is one
/// more whose failure fails the job.
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
  /// Gives all that is left to one target that starts it at once, the better
  /// of two picked at random. \returns whether there is one.
  static bool assignAll(ShareCounter &Counter, std::size_t Targets,
                        std::mt19937_64 &Random);
  /// Fills the target that starts most tasks at once. \returns whether any
  /// starts one.
  static bool fillLargest(ShareCounter &Counter, std::size_t Targets,
                          std::mt19937_64 &Random);
};

} // namespace yardwheel

#endif
