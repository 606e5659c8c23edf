//===- control/control_service.h - The core of a control replica *- C++ -*-===//
///
/// \file
/// Connects the consensus log with the catalog and the member registry. Accepts
/// changes, answers heartbeats once a quorum has confirmed the leader, pushes
/// changes to the nodes, and replaces lost holders of the ledger groups.
///
/// Single-threaded; uses no sockets or clocks of its own.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONTROL_CONTROL_SERVICE_H
#define YARDWHEEL_CONTROL_CONTROL_SERVICE_H

#include "catalog/catalog.h"
#include "consensus/raft_node.h"
#include "control/holder_group_manager.h"
#include "control/replica_manager.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "membership/demand_sums.h"
#include "membership/member_registry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct ControlOptions {
  RaftOptions Raft{.LogFormat = CatalogLogFormat};
  HolderGroupOptions Groups;
  std::chrono::milliseconds Lease{3000};
  std::chrono::milliseconds ProposalTimeout{5000};
  ReplicaManagerOptions Replicas;
  /// This replica's name and addresses, sent in its requests to join.
  peer::Replica Self;
  /// Whether this host takes part in the first start of the whole deployment.
  bool IsFirstStart = false;
  /// Addresses to ask for admission in addition to the known replicas.
  std::vector<PeerRef> Seeds;
  /// The size in bytes of the tables that are sent in one round. The next round
  /// begins once this process has read all of its input, or after MaxRoundTime.
  std::size_t MaxTableBytesPerRound = 2097152;
  std::chrono::milliseconds MaxRoundTime{500};
  /// Reads that may wait for a quorum at once; later heartbeats wait for one of
  /// these to end.
  std::size_t MaxPendingReads = 4;
  std::chrono::milliseconds JoinInterval{500};
  std::chrono::milliseconds LeaveInterval{100};
  std::chrono::milliseconds DiskQueryInterval{500};
  /// A replica that has not heard from a leader for longer may have been
  /// removed and asks to join again. Must span several election timeouts.
  std::chrono::milliseconds RejoinTimeout{2000};
};

enum class ProposalState {
  /// Committed and applied; the result holds the verdict.
  Applied,
  /// This replica is not the leader; nothing was done.
  NotLeader,
  /// Not committed in time, but it may still be committed. Retry with the same
  /// change id.
  Unknown,
  /// The log could not be written to disk; nothing was done.
  StorageFailed,
  /// Too much is not committed yet; nothing was done.
  Overloaded,
  /// A replica of an older build would lose the change; nothing was done.
  Unsupported,
};

struct ProposalOutcome {
  ProposalState State = ProposalState::Unknown;
  peer::ChangeResult Result;
  std::string Reason;
};

class ControlService final : public RaftEvents {
public:
  using ChangeHandler = std::function<void(const ProposalOutcome &)>;
  /// Receives whether the state is confirmed to be the newest.
  using ReadHandler = std::function<void(bool Confirmed)>;

  ControlService(ControlOptions Options, LogStorage &Storage, PeerSink &Sink,
                 Instant Now);

  /// Proposes a change. \p Done is called once, possibly before this returns.
  void propose(const peer::Change &Change, Instant Now,
               const ChangeHandler &Done);
  /// Proposes to start or to finish the evacuation of a data centre. Refused
  /// while a replica of a build without evacuations replies to this leader.
  /// \param ChangeId Empty if a change sent again need not be recognised.
  void proposeEvacuation(const std::string &DataCentre, bool Active,
                         const std::string &ChangeId, Instant Now,
                         const ChangeHandler &Done);
  /// Proposes a new replica set, which may differ from the present one by one
  /// added, promoted or removed replica.
  void proposeReplicas(const peer::ReplicaSet &Set, Instant Now,
                       const ChangeHandler &Done);
  /// Calls \p Done once a quorum has confirmed that this replica leads, or with
  /// false if it does not lead or the confirmation takes too long.
  void read(Instant Now, ReadHandler Done);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  /// Replaces the addresses to ask for admission after a change of the
  /// settings.
  void setSeeds(const std::vector<PeerRef> &Seeds) {
    this->Options.Seeds = Seeds;
  }
  /// \param NewLastIdle When this process had last read all of its input;
  /// nothing if it always has.
  void tick(Instant Now, std::optional<TimePoint> NewLastIdle = std::nullopt);
  /// Hands this replica's vote over to a learner before shutdown.
  void leave() { this->IsLeaving = true; }
  /// Whether leave() was called and the replica set no longer relies on this
  /// replica, or cannot replace it.
  bool mayStop() const;
  /// Steps down from leadership before shutdown.
  void drain(Instant Now);

  const Catalog &catalog() const { return this->State; }
  const MemberRegistry &members() const { return this->Members; }
  /// \returns the number of known upstreams in a data centre.
  std::size_t upstreamsIn(const std::string &DataCentre) const;
  const RaftNode &raft() const { return *this->Raft; }
  /// \returns when a message of the consensus protocol last came from a replica
  /// of this name, or nothing if none has.
  std::optional<TimePoint> lastHeard(const std::string &Replica) const;
  /// \returns for how long no leader has been known here; 0 while one is.
  Duration leaderlessTime(Instant Now) const;
  /// \returns the known leader, or null if there is none.
  const peer::Replica *leader() const;
  /// Returns the size of the heartbeats that are not answered yet, encoded.
  std::size_t heldHeartbeatBytes() const;
  std::size_t pendingProposals() const { return this->Proposals.size(); }

  void send(peer::RaftMessage Message) override;
  void apply(const peer::LogEntry &Entry) override;
  std::string saveState() override;
  void restoreState(const peer::Snapshot &Snapshot) override;
  void onReadReady(std::uint64_t Read) override;
  void onLeadershipChange(bool Leads) override;
  void onVoteDecision(const VoteDecision &Vote) override;
  void onCampaign(const CampaignState &State) override;
  void onLossReported(const std::string &Reporter,
                      const std::string &Lost) override;

private:
  struct Proposal {
    std::uint64_t Term = 0;
    TimePoint Deadline;
    ChangeHandler Done;
  };
  struct PendingHeartbeat {
    PeerRef From;
    peer::Heartbeat Heartbeat;
  };
  struct PendingRead {
    TimePoint Deadline;
    ReadHandler Done;
  };

  /// Appends to the log. \returns the index, or nothing if the log does not
  /// accept the entry now.
  using AppendFunction = std::function<std::optional<std::uint64_t>()>;
  void append(const AppendFunction &Append, Instant Now,
              const ChangeHandler &Done);
  void track(std::uint64_t Index, Instant Now, ChangeHandler Done);
  /// Keeps a heartbeat until answerHeartbeats(), in place of an earlier one of
  /// the same node.
  void hold(PendingHeartbeat Pending);
  void answerHeartbeats();
  void refuseHeartbeat(const PendingHeartbeat &Pending);
  void replyTo(const PeerRef &To, const peer::Heartbeat &Heartbeat,
               std::uint64_t Sequence);
  void push();
  /// Pushes what a node lacks. \returns whether it lacks something and has to
  /// wait for it.
  bool pushTo(const std::string &Name);
  /// Whether the tables may be sent to a node now. Otherwise a later message
  /// has the newest ones.
  bool maySendTables(const PeerRef &To) const;
  /// Adds what the sender of a heartbeat lacks to the reply.
  void addTables(peer::HeartbeatReply &Reply, const peer::Heartbeat &Heartbeat);
  /// Begins the next round of tables if it is due.
  void beginRound(TimePoint Now);
  void tickProposals(TimePoint Now);
  void tickGroups(Instant Now);
  void tickReplicas(Instant Now);
  void tickJoin(Instant Now);
  void tickLeave(Instant Now);
  void onJoinRequest(const peer::JoinRequest &Request, Instant Now);
  void onDiskQuery(const PeerRef &From, const peer::DiskQuery &Query);
  /// Notes which replicas of the sender's address have lost their disks, and
  /// asks about those that the request does not name.
  void checkPredecessors(const peer::JoinRequest &Request);
  /// Whether this replica has not heard from a leader for RejoinTimeout.
  bool isLeaderSilent(Instant Now) const;
  /// Asks hosts that may have lost their disks, and may know no address of the
  /// other replicas. Not right after the start: after a common restart the
  /// first messages to hosts that do not listen yet would delay their
  /// connections, and so the election.
  void tickDiskQueries(Instant Now);
  /// Whether the host of a replica is to be asked for its disk: a leader asks
  /// those that it has not heard for RejoinTimeout, other voters ask all
  /// voters.
  bool mayHaveLostDisk(const peer::Replica &Known) const;
  void sendDiskQuery(const PeerRef &Host,
                     const std::vector<std::string> &Replicas);
  peer::Message joinRequest() const;
  void onLeaveRequest(const peer::LeaveRequest &Request, Instant Now);
  /// \returns null if the present set has no replica of this name.
  const peer::Replica *findReplica(const std::string &Name) const;
  /// Passes a message on to the leader, if another replica is known as such.
  void forwardToLeader(const peer::Message &Message);
  void failReads();
  /// Opens a new connection to a replica that has not answered for an election
  /// timeout: the present connection may be broken without notice.
  void reconnectIfSilent(const PeerRef &Replica);

  ControlOptions Options;
  PeerSink &Sink;
  Catalog State;
  MemberRegistry Members;
  DemandSums Demand;
  HolderGroupManager Groups;
  ReplicaManager Replicas;
  TimePoint Started;
  TimePoint NextJoin = TimePoint::min();
  TimePoint NextLeave = TimePoint::min();
  TimePoint NextDiskQuery = TimePoint::min();
  bool IsLeaving = false;
  /// The leader has replied that this replica may stop.
  bool IsReleased = false;
  bool IsReplicaChangePending = false;
  /// Names that the replicas at this address had before this one.
  std::set<std::string> Predecessors;
  /// By address: replicas that have asked for the disks of this host. All seeds
  /// may have lost theirs and know nobody else.
  std::map<std::string, PeerRef> Askers;
  Logger Log{"control"};
  /// What is known of the sender of consensus messages.
  struct RaftPeer {
    std::string Address;
    TimePoint HeardAt;
  };
  /// By name.
  std::map<std::string, RaftPeer> RaftPeers;
  /// When a leader was last known.
  TimePoint LastLeaderAt;
  /// By address: the time of the first message to a replica there since one
  /// there has answered, or of the last reconnect. Two replicas of one address
  /// share a connection, and the one that has lost its disk never answers.
  std::map<std::string, TimePoint> UnansweredSince;
  std::map<std::uint64_t, Proposal> Proposals;
  /// By node.
  std::map<std::string, PendingHeartbeat> PendingHeartbeats;
  /// Heartbeats to be answered when the read with this number is confirmed.
  std::map<std::uint64_t, std::vector<PendingHeartbeat>> HeartbeatsByRead;
  std::map<std::uint64_t, PendingRead> Reads;
  std::uint64_t LastConfirmedRead = 0;
  Instant CurrentTime{};
  TimePoint LastIdle = TimePoint::min();
  bool IsPushPending = false;
  /// Nodes that lack something that could not be sent to them yet, and the last
  /// node that was served: the next round begins after it.
  std::set<std::string> Deferred;
  std::string LastServed;
  TimePoint RoundStart;
  std::size_t TableBytesLeft;
  bool IsGroupChangePending = false;
  std::unique_ptr<RaftNode> Raft;
};

} // namespace yardwheel

#endif
