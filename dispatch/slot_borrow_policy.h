//===- dispatch/slot_borrow_policy.h - Borrowing of free slots --*- C++ -*-===//
///
/// \file
/// Prefers free slots of this entry's own share, then borrows slots of other
/// entries that are believed free. A borrowed slot may turn out to be in use;
/// the task then waits at the agent for one of its slots.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_SLOT_BORROW_POLICY_H
#define YARDWHEEL_DISPATCH_SLOT_BORROW_POLICY_H

#include "dispatch/route_policy.h"

namespace yardwheel {

class SlotBorrowPolicy final : public RoutePolicy {
public:
  std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                      std::mt19937_64 &Random) override;
  bool queuesAtAgent() const override { return true; }
};

} // namespace yardwheel

#endif
