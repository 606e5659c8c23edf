//===- dispatch/round_robin_policy.h - Upstreams in turn --------*- C++ -*-===//
///
/// \file
/// Naive baseline: selects the eligible upstreams in turn, however busy.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_ROUND_ROBIN_POLICY_H
#define YARDWHEEL_DISPATCH_ROUND_ROBIN_POLICY_H

#include "dispatch/route_policy.h"

namespace yardwheel {

class RoundRobinPolicy final : public RoutePolicy {
public:
  std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                      std::mt19937_64 &Random) override;
  bool queuesAtAgent() const override { return true; }

private:
  std::size_t Next = 0;
};

} // namespace yardwheel

#endif
