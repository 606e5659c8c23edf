//===- dispatch/fair_queue.h - Fair queue of waiting tasks ------*- C++ -*-===//
///
/// \file
/// Queue of the tasks that wait at an entry for an upstream of one pool. Uses
/// start-time fair queueing by weight between workspaces; within a workspace,
/// jobs are ordered by a rank that their owner assigns, so that the tasks of a
/// job stay together.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_FAIR_QUEUE_H
#define YARDWHEEL_DISPATCH_FAIR_QUEUE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace yardwheel {

/// Sequence number of a job within one incarnation of an entry, in order of
/// arrival.
using JobNumber = std::uint64_t;

/// Position of a job within its workspace: lower ranks go first.
using JobRank = std::int64_t;

struct WaitingTask {
  std::string Workspace;
  JobRank Rank = 0;
  JobNumber Job = 0;
  std::uint32_t Index = 0;
};

class FairQueue {
public:
  FairQueue() = default;
  // ReadyQueues points into this object.
  FairQueue(const FairQueue &) = delete;
  FairQueue &operator=(const FairQueue &) = delete;

  /// Sets a workspace's weight and the maximum number of its tasks in flight.
  void configure(const std::string &Workspace, std::uint32_t Weight,
                 std::uint32_t Capacity);

  /// Adds a task. All tasks of a job must be pushed with the same rank.
  void push(const std::string &Workspace, JobRank Rank, JobNumber Job,
            std::uint32_t Index);
  /// Removes all waiting tasks of a job.
  void removeJob(const std::string &Workspace, JobRank Rank, JobNumber Job);

  /// Returns the next task, which stays queued until pop(). Returns none unless
  /// a workspace has waiting tasks and is below its capacity.
  std::optional<WaitingTask> front() const;
  /// Removes the front task and counts it as in flight.
  void pop();
  /// Records that a task in flight has ended or has been given back.
  void onSettled(const std::string &Workspace);

  std::size_t waiting(const std::string &Workspace) const;
  std::size_t waiting() const { return this->Total; }
  /// Returns the number of tasks in flight over all workspaces.
  std::size_t inFlight() const { return this->TotalInFlight; }

private:
  struct WorkspaceQueue {
    std::uint32_t Weight = 1;
    std::uint32_t Capacity = UINT32_MAX;
    std::uint32_t InFlight = 0;
    std::size_t Waiting = 0;
    double VirtualStart = 0;
    std::map<std::pair<JobRank, JobNumber>, std::deque<std::uint32_t>> Jobs;
  };

  using WorkspaceQueues = std::map<std::string, WorkspaceQueue>;
  struct ReadyOrder {
    bool operator()(const WorkspaceQueues::value_type *A,
                    const WorkspaceQueues::value_type *B) const {
      return std::tie(A->second.VirtualStart, A->first) <
             std::tie(B->second.VirtualStart, B->first);
    }
  };

  /// Applies \p Change to a workspace's queue and updates ReadyQueues.
  template <typename Edit>
  void modify(const std::string &Workspace, Edit Change);
  static bool isReady(const WorkspaceQueue &Target);

  WorkspaceQueues Queues;
  /// Queues that have waiting tasks and are below their capacity, the next one
  /// first, so that selecting it doesn't visit every workspace.
  std::set<const WorkspaceQueues::value_type *, ReadyOrder> ReadyQueues;
  double VirtualTime = 0;
  std::size_t Total = 0;
  std::size_t TotalInFlight = 0;
};

} // namespace yardwheel

#endif
