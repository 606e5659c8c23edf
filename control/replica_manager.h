//===- control/replica_manager.h - Changes of the replica set ---*- C++ -*-===//
///
/// \file
/// Decides, on the leader, how the replica set changes without an operator.
/// Hosts that ask to join become learners. A learner that has caught up is
/// promoted if there are too few voters, or replaces a voter that has lost its
/// disk or has been silent for too long. Each step adds, promotes or removes
/// one replica, and no voter is removed before its successor holds the log.
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
  /// Target number of voters: twice the number of hosts that may be lost at
  /// once, plus one. 0 leaves the replica set to the operators.
  std::uint32_t Voters = 0;
  /// A voter that is silent for longer is replaced by a learner. Must exceed
  /// the duration of a restart or a short network failure, since a removed
  /// voter loses its log.
  std::chrono::milliseconds ReplaceAfter{4000};
  /// A replica that is silent for longer while another one of its address
  /// replies has lost its disk for good. Must exceed the time for which a late
  /// reply of it may be under way.
  std::chrono::milliseconds SupersededAfter{1000};
  /// A join request that has not been repeated for longer is dropped.
  std::chrono::milliseconds JoinRequestTtl{3000};
  /// A learner that is silent for longer is removed.
  std::chrono::milliseconds LearnerTimeout{15000};
};

class ReplicaManager {
public:
  explicit ReplicaManager(ReplicaManagerOptions Options) : Options(Options) {}

  /// Records the request of a host to become a replica.
  void onJoinRequest(const peer::Replica &Joining, TimePoint Now);

  /// \returns the next replica set if it should change. To be called on the
  /// leader.
  std::optional<peer::ReplicaSet> next(const RaftNode &Raft,
                                       const std::string &Self, TimePoint Now);

private:
  std::optional<peer::ReplicaSet> addJoiner(const peer::ReplicaSet &Present,
                                            TimePoint Now);
  /// \returns a superseded replica without which the set is no worse off.
  const peer::Replica *findRemovableLoss(const peer::ReplicaSet &Present,
                                         const RaftNode &Raft,
                                         const std::string &Self,
                                         TimePoint Now) const;
  /// Whether the host of a replica has come back under another name. Such a
  /// replica can never vote or store anything again.
  bool isSuperseded(const peer::Replica &Old, const peer::ReplicaSet &Present,
                    const RaftNode &Raft, const std::string &Self,
                    TimePoint Now) const;
  const peer::Replica *findSuccessor(const peer::ReplicaSet &Present,
                                     const RaftNode &Raft,
                                     const std::string &Self,
                                     TimePoint Now) const;
  const peer::Replica *findOutgoing(const peer::ReplicaSet &Present,
                                    const RaftNode &Raft,
                                    const std::string &Self,
                                    TimePoint Now) const;
  const peer::Replica *findSilentLearner(const peer::ReplicaSet &Present,
                                         const RaftNode &Raft,
                                         TimePoint Now) const;
  static bool isSilent(const RaftNode &Raft, const std::string &Name,
                       std::chrono::milliseconds Limit, TimePoint Now);

  struct PendingJoin {
    peer::Replica Replica;
    TimePoint ReceivedAt;
  };

  ReplicaManagerOptions Options;
  std::map<std::string, PendingJoin> PendingJoins;
};

} // namespace yardwheel

#endif
