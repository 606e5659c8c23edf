//===- dispatch/two_choices_policy.h - Better of two upstreams --*- C++ -*-===//
///
/// \file
/// Selects the less loaded of two random upstreams. Needs little knowledge, but
/// entries with the same view may select the same one.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_TWO_CHOICES_POLICY_H
#define YARDWHEEL_DISPATCH_TWO_CHOICES_POLICY_H

#include "dispatch/route_policy.h"

namespace yardwheel {

class TwoChoicesPolicy final : public RoutePolicy {
public:
  std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                      std::mt19937_64 &Random) override;
  bool queuesAtAgent() const override { return true; }
};

} // namespace yardwheel

#endif
