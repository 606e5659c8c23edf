//===- dispatch/slot_share_policy.h - Own slots only ------------*- C++ -*-===//
///
/// \file
/// Sends only to slots of this entry's own share, so that no task is sent to a
/// slot in use; all other tasks wait at the entry.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_SLOT_SHARE_POLICY_H
#define YARDWHEEL_DISPATCH_SLOT_SHARE_POLICY_H

#include "dispatch/route_policy.h"

namespace yardwheel {

class SlotSharePolicy final : public RoutePolicy {
public:
  std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                      std::mt19937_64 &Random) override;
  bool queuesAtAgent() const override { return false; }
};

} // namespace yardwheel

#endif
