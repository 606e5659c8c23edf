//===- entry/pool.h - Upstreams and queue of one pool -----------*- C++ -*-===//
///
/// \file
/// The state that an entry keeps for one pool of upstreams: the upstream table,
/// the queued tasks, the policies in use, and which of this entry's tasks is at
/// which upstream.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_POOL_H
#define YARDWHEEL_ENTRY_POOL_H

#include "dispatch/fair_queue.h"
#include "dispatch/retry_budget.h"
#include "dispatch/route_policy.h"
#include "dispatch/upstream_table.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

/// Refers to one task of a running job.
struct TaskRef {
  JobNumber Job = 0;
  std::uint32_t Index = 0;
  bool operator==(const TaskRef &) const = default;
};

class Pool {
public:
  UpstreamTable Upstreams;
  FairQueue Queue;

  /// Returns the policy \p Name, created on first use.
  RoutePolicy &policy(const std::string &Name);
  /// Returns whether any policy in use withdraws tasks that wait at agents.
  bool movesWaiting() const;
  RetryBudget &budget(const std::string &Workspace);

  /// Returns this entry's tasks at an upstream, in dispatch order.
  const std::vector<TaskRef> &tasksAt(UpstreamIndex Upstream);
  void addTask(UpstreamIndex Upstream, TaskRef Task);
  void removeTask(UpstreamIndex Upstream, TaskRef Task);

  /// Returns the moving average of the service times of ended tasks.
  std::chrono::microseconds typicalService() const {
    return this->TypicalService;
  }
  void addServiceSample(std::chrono::microseconds Seen);

private:
  std::map<std::string, std::unique_ptr<RoutePolicy>> Policies;
  std::map<std::string, RetryBudget> Budgets;
  std::vector<std::vector<TaskRef>> Tasks;
  std::chrono::microseconds TypicalService{300000};
};

} // namespace yardwheel

#endif
