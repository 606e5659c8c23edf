//===- dispatch/route_policy.h - How a task finds its upstream ----*- C++
//-*-===//
///
/// \file
/// The interface of dispatch policies and their registry. A new policy is
/// one class, one line in the registry's table, its name in
/// catalog/policy_names.h and one row in the tests' table.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_ROUTE_POLICY_H
#define YARDWHEEL_DISPATCH_ROUTE_POLICY_H

#include "dispatch/upstream_table.h"

#include <memory>
#include <optional>
#include <random>
#include <string_view>

namespace yardwheel {

class RoutePolicy {
public:
  virtual ~RoutePolicy() = default;

  /// Picks an upstream for the next task, or none if it should wait here.
  virtual std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                              std::mt19937_64 &Random) = 0;

  /// Whether a task may wait at the agent when its slots are full; else the
  /// agent refuses it.
  virtual bool queuesAtAgent() const = 0;

  /// Whether tasks that wait at an agent are taken back and moved when
  /// another upstream has a free slot.
  virtual bool movesWaiting() const { return false; }
};

/// \throws Error if the registry has no such policy.
std::unique_ptr<RoutePolicy> makePolicy(std::string_view Name);

} // namespace yardwheel

#endif
