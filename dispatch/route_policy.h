//===- dispatch/route_policy.h - Dispatch policies --------------*- C++ -*-===//
///
/// \file
/// Interface of dispatch policies, and their registry. A new policy needs a
/// class, a line in the registry's table, its name in catalog/policy_names.h
/// and a row in the tests' table.
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

  /// Selects an upstream for the next task; none if the task should wait at the
  /// entry.
  virtual std::optional<UpstreamIndex> choose(const UpstreamTable &Table,
                                              std::mt19937_64 &Random) = 0;

  /// Whether a task may wait at the agent when all slots are in use; otherwise
  /// the agent refuses it.
  virtual bool queuesAtAgent() const = 0;

  /// Whether tasks that wait at an agent are taken back and moved when another
  /// upstream has a free slot.
  virtual bool movesWaiting() const { return false; }
};

/// Creates the policy with the given name. \throws Error if the registry has no
/// such policy.
std::unique_ptr<RoutePolicy> makePolicy(std::string_view Name);

} // namespace yardwheel

#endif
