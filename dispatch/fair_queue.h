//===- dispatch/fair_queue.h - Whose task goes next -------------*- C++ -*-===//
///
/// \file
/// Tasks that wait at an entry for an upstream of one pool. Between workspaces,
/// start-time fair queueing by weight; within a workspace, jobs by a rank that
/// their owner gives them, so that a job's tasks stay together.
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

/// A job's number within one entry's life; grows with its arrival.
using JobNumber = std::uint64_t;

/// Where a job stands within its workspace: the lower goes first.
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
  // The order of the ready lines points into this object.
  FairQueue(const FairQueue &) = delete;
  FairQueue &operator=(const FairQueue &) = delete;

  /// Sets a workspace's weight and how many of its tasks may be out at once.
  void configure(const std::string &Workspace, std::uint32_t Weight,
                 std::uint32_t Capacity);

  /// A job's tasks must all be pushed with one rank.
  void push(const std::string &Workspace, JobRank Rank, JobNumber Job,
            std::uint32_t Index);
  /// Drops everything that waits of a job.
  void removeJob(const std::string &Workspace, JobRank Rank, JobNumber Job);

  /// The task that goes next; it stays queued until pop(). Nothing if no
  /// workspace both waits and is under its capacity.
  std::optional<WaitingTask> front() const;
  /// Takes the front and counts it as out.
  void pop();
  /// A task that was out has ended or has come back.
  void onSettled(const std::string &Workspace);

  std::size_t waiting(const std::string &Workspace) const;
  std::size_t waiting() const { return this->Total; }
  /// Tasks that are out, over all workspaces.
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

  /// Changes a line; its place among the ready ones follows.
  template <typename Edit>
  void modify(const std::string &Workspace, Edit Change);
  static bool isReady(const WorkspaceQueue &Target);

  WorkspaceQueues Queues;
  /// Lines that wait and are under their capacity, the next one first, so
  /// that the choice does not look at every workspace.
  std::set<const WorkspaceQueues::value_type *, ReadyOrder> ReadyQueues;
  double VirtualTime = 0;
  std::size_t Total = 0;
  std::size_t TotalInFlight = 0;
};

} // namespace yardwheel

#endif
