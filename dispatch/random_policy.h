//===- dispatch/random_policy.h - Random upstream ---------------*- C++ -*-===//
///
/// \file
/// Naive baseline: selects any eligible upstream at random, however busy.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_RANDOM_POLICY_H
#define YARDWHEEL_DISPATCH_RANDOM_POLICY_H

#include "dispatch/route_policy.h"

namespace yardwheel {

class RandomPolicy final : public RoutePolicy {
public:
  std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                      std::mt19937_64 &Random) override;
  bool queuesAtAgent() const override { return true; }
};

} // namespace yardwheel

#endif
