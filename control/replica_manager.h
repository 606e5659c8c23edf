//===- control/replica_manager.h - Changes of the replica set ---*- C++ -*-===//
///
/// \file
/// Decides, on the leader, how the replica set changes without an operator.
/// Hosts that ask to join become learners. The set tends to as many voters as
/// have caught up, at least the target number. Beyond that it is of an odd
/// size, unless there are more hosts than at the first start: one of them is a
/// successor, which votes as long as any other host may vanish. A voter is
/// removed if it has lost its disk, has been silent for too long or is shutting
/// down. Each step changes one replica, and no voter is removed before its
/// successor votes, unless its disk is lost.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONTROL_REPLICA_MANAGER_H
#define YARDWHEEL_CONTROL_REPLICA_MANAGER_H

#include "consensus/raft_node.h"
#include "core/clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

struct ReplicaManagerOptions {
  /// Target number of voters: twice the number of hosts that may be lost at
  /// once, plus one. 0 leaves the replica set to the operators.
  std::uint32_t Voters = 0;
  /// A voter that is silent for longer is replaced by a learner. With an
  /// election before it, short enough that a host which is gone for good is out
  /// of the set when its successor no longer counts as lost.
  std::chrono::milliseconds ReplaceAfter{2000};
  /// A replica that is silent for longer while another one of its address
  /// replies has lost its disk for good. Must exceed the time for which a late
  /// reply of it may be under way.
  std::chrono::milliseconds SupersededAfter{1000};
  /// A request to join or to leave that has not been repeated for longer is
  /// dropped.
  std::chrono::milliseconds RequestTtl{3000};
  /// A learner that is silent for longer is removed.
  std::chrono::milliseconds LearnerTimeout{15000};
};

/// One step from the present replica set to the next one.
struct ReplicaChange {
  peer::ReplicaSet Set;
  /// Name of the replica that is added, promoted, demoted, marked or removed.
  std::string Replica;
  /// For logs.
  std::string Reason;
};

class ReplicaManager {
public:
  explicit ReplicaManager(ReplicaManagerOptions Options) : Options(Options) {}

  /// Records the request of a host to become a replica, or to stay one after it
  /// has asked to leave.
  void onJoinRequest(const peer::JoinRequest &Joining, TimePoint Now);
  /// Records that the process of a replica is shutting down.
  void onLeaveRequest(const peer::Replica &Leaving, TimePoint Now);

  /// \returns the next replica set if it should change. To be called on the
  /// leader. \param Heard Up to when all messages that have arrived have been
  /// read; silence after that proves nothing.
  std::optional<ReplicaChange> next(const RaftNode &Raft,
                                    const std::string &Self, TimePoint Now,
                                    TimePoint Heard);
  /// Whether a replica whose process is shutting down is out of the committed
  /// replica set, or is known to leave while no learner can take its place.
  bool mayStop(const RaftNode &Raft, const std::string &Name) const;

private:
  /// The state that the decisions on one step rest on.
  struct View {
    const RaftNode &Raft;
    const std::string &Self;
    TimePoint Heard;
    const peer::ReplicaSet &Present;
    std::uint32_t Voters = 0;
  };

  std::optional<ReplicaChange> markLeaving(const View &Seen) const;
  std::optional<ReplicaChange> addJoiner(const View &Seen) const;
  /// \returns a step towards as many voters as are caught up. Without a
  /// successor, beyond Options.Voters only in pairs: no half of a set of even
  /// size can go on alone when it is cut into halves.
  std::optional<ReplicaChange> changeSize(const View &Seen) const;
  /// \returns a superseded replica without which the set is no worse off.
  const peer::Replica *findRemovableLoss(const View &Seen) const;
  /// Whether the host of a replica has come back under another name. Such a
  /// replica can never vote or store anything again.
  bool isSuperseded(const peer::Replica &Old, const View &Seen) const;
  bool mayVote(const peer::Replica &Learner, const View &Seen) const;
  /// \returns the learners that have caught up and may vote.
  std::vector<const peer::Replica *> findSuccessors(const View &Seen) const;
  /// \returns a voter that is silent or leaving, to be removed once there is
  /// one more voter than needed.
  const peer::Replica *findOutgoing(const View &Seen) const;
  /// \returns the voter heard from least recently, if the set is to become
  /// smaller by one.
  const peer::Replica *findSurplus(const View &Seen) const;
  const peer::Replica *findSilentLearner(const View &Seen) const;
  /// Whether the set has more hosts than there were at the first start.
  static bool hasSuccessor(const peer::ReplicaSet &Set);
  static bool isSilent(const View &Seen, const std::string &Name,
                       std::chrono::milliseconds Limit);

  struct PendingRequest {
    peer::Replica Replica;
    TimePoint ReceivedAt;
    bool IsFirstStart = false;
  };
  /// By the name of the replica.
  using PendingRequests = std::map<std::string, PendingRequest>;
  void dropExpired(PendingRequests &Requests, TimePoint Now) const;

  ReplicaManagerOptions Options;
  PendingRequests Joins;
  PendingRequests Leaves;
};

} // namespace yardwheel

#endif
