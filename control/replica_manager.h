//===- control/replica_manager.h - Replicas that come and go ----*- C++ -*-===//
///
/// \file
/// Decides, on the leading replica, how the set of replicas changes without an
/// operator: hosts that ask to join become learners, and a learner that has
/// caught up takes the place of a voter that has lost its disk, has been
/// silent for long, or is wanting. Each step adds, promotes or removes one
/// replica, and no voter is removed before its successor holds the log.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONTROL_REPLICA_MANAGER_H
#define YARDWHEEL_CONTROL_REPLICA_MANAGER_H

#include "consensus/raft_node.h"
#include "core/clock.h"

#include <map>
#include <optional>
#include <string>

namespace yardwheel {

struct ReplicaManagerOptions {
  /// Voters wanted: two for each host that may be lost at once, and one more.
  /// 0 leaves the set of replicas to the operators.
  std::uint32_t Voters = 0;
  /// A voter that is silent for longer gives way to a learner. Longer than a
  /// restart or a short cut, as removing a voter costs it its log.
  std::chrono::milliseconds ReplaceAfter{4000};
  /// A host that has not asked for longer no longer wants to join.
  std::chrono::milliseconds JoinMemory{3000};
  /// A learner that is silent for longer is dropped.
  std::chrono::milliseconds DropLearnerAfter{15000};
};

class ReplicaManager {
public:
  explicit ReplicaManager(ReplicaManagerOptions Options) : Options(Options) {}

  /// A host asks to be a replica.
  void onJoin(const peer::Replica &Asking, TimePoint Now);

  /// The next set of replicas, if it should change. Call it on the leader.
  std::optional<peer::ReplicaSet> next(const RaftNode &Raft,
                                       const std::string &Self, TimePoint Now);

private:
  std::optional<peer::ReplicaSet> addJoiner(const peer::ReplicaSet &Present,
                                            TimePoint Now);
  const peer::Replica *findSuccessor(const peer::ReplicaSet &Present,
                                     const RaftNode &Raft, TimePoint Now) const;
  const peer::Replica *findOutgoing(const peer::ReplicaSet &Present,
                                    const RaftNode &Raft,
                                    const std::string &Self,
                                    TimePoint Now) const;
  const peer::Replica *findDeadLearner(const peer::ReplicaSet &Present,
                                       const RaftNode &Raft,
                                       TimePoint Now) const;
  static bool isSilent(const RaftNode &Raft, const std::string &Name,
                       std::chrono::milliseconds Limit, TimePoint Now);

  struct Joiner {
    peer::Replica Replica;
    TimePoint Asked;
  };

  ReplicaManagerOptions Options;
  std::map<std::string, Joiner> Joiners;
};

} // namespace yardwheel

#endif
