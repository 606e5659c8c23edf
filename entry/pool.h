//===- entry/pool.h - The upstreams and the queue of one pool -----*- C++
//-*-===//
///
/// \file
/// Everything an entry holds for one pool of upstreams: its view of them, the
/// tasks that wait, the policies in use, and which of our tasks is where.
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

/// A task of a job in flight.
struct TaskRef {
  JobNumber Job = 0;
  std::uint32_t Index = 0;
  bool operator==(const TaskRef &) const = default;
};

class Pool {
public:
  UpstreamTable Upstreams;
  FairQueue Queue;

  /// The policy of that name, made when first asked for.
  RoutePolicy &policy(const std::string &Name);
  /// Whether any policy in use moves tasks that wait at agents.
  bool movesWaiting() const;
  RetryBudget &budget(const std::string &Workspace);

  /// Tasks of this entry at an upstream, in the order they were sent.
  const std::vector<TaskRef> &tasksAt(UpstreamIndex Upstream);
  void addTask(UpstreamIndex Upstream, TaskRef Task);
  void removeTask(UpstreamIndex Upstream, TaskRef Task);

  /// Typical service time of a task here, learned from what ended.
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
