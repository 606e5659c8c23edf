//===- dispatch/late_binding_policy.h - Late binding ------------*- C++ -*-===//
///
/// \file
/// Sends tasks to free slots first, then lets a few wait at agents, and takes
/// them back when another upstream has a free slot.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_LATE_BINDING_POLICY_H
#define YARDWHEEL_DISPATCH_LATE_BINDING_POLICY_H

#include "dispatch/route_policy.h"

namespace yardwheel {

class LateBindingPolicy final : public RoutePolicy {
public:
  std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                      std::mt19937_64 &Random) override;
  bool queuesAtAgent() const override { return true; }
  bool movesWaiting() const override { return true; }
};

} // namespace yardwheel

#endif
