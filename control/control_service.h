//===- control/control_service.h - The core of a control replica *- C++ -*-===//
///
/// \file
/// Joins the consensus log with the catalog and the member table: takes
/// changes, answers heartbeats once a quorum stands behind the answer, pushes
/// what has changed, and keeps the ledger's groups whole.
///
/// Single-threaded, without sockets or clocks.
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
#include "membership/member_registry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

struct ControlOptions {
  RaftOptions Raft;
  HolderGroupOptions Groups;
  std::chrono::milliseconds Lease{3000};
  std::chrono::milliseconds ProposalTimeout{5000};
  ReplicaManagerOptions Replicas;
  /// How this replica is reached, for its requests to join.
  peer::Replica Self;
  /// Where other replicas may be found while none is known.
  std::vector<PeerRef> Seeds;
  std::chrono::milliseconds JoinEvery{500};
  /// A replica that has heard no leader for longer may have been removed and
  /// asks to join again. Several elections.
  std::chrono::milliseconds JoinAfterSilence{3000};
};

enum class ProposalState {
  /// Committed and applied; the result says with what effect.
  Applied,
  /// This replica does not lead; nothing was done.
  NotLeader,
  /// Not committed in time. It may still be: send it again with its id.
  Unknown,
  /// The disk refuses it; nothing was done.
  StorageFailed,
};

struct ProposalOutcome {
  ProposalState State = ProposalState::Unknown;
  peer::ChangeResult Result;
  std::string Reason;
};

class ControlService final : public RaftEvents {
public:
  using ChangeHandler = std::function<void(const ProposalOutcome &)>;
  /// Told whether the state read next is the newest.
  using ReadHandler = std::function<void(bool Confirmed)>;

  ControlService(ControlOptions Options, LogStorage &Storage, PeerSink &Sink,
                 Instant Now);

  void propose(const peer::Change &Change, Instant Now,
               const ChangeHandler &Done);
  /// Adds, promotes or removes one replica of the log.
  void proposeReplicas(const peer::ReplicaSet &Set, Instant Now,
                       const ChangeHandler &Done);
  /// Runs \p Done once a quorum has confirmed that this replica leads.
  void read(Instant Now, ReadHandler Done);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  /// The settings name other replicas to ask for admission.
  void setSeeds(const std::vector<PeerRef> &Seeds) {
    this->Options.Seeds = Seeds;
  }
  /// \param NewLastBehind Until when this process did not keep up with its
  /// input.
  void tick(Instant Now, TimePoint NewLastBehind = TimePoint::min());
  /// Gives up leadership before the process ends.
  void drain(Instant Now);

  const Catalog &catalog() const { return this->State; }
  const MemberRegistry &members() const { return this->Members; }
  const RaftNode &raft() const { return *this->Raft; }
  /// The leader as far as it is known; null if it is not.
  const peer::Replica *leader() const;
  std::size_t openProposals() const { return this->Proposals.size(); }

  void send(peer::RaftMessage Message) override;
  void apply(const peer::LogEntry &Entry) override;
  std::string saveState() override;
  void restoreState(const peer::Snapshot &Snapshot) override;
  void onReadReady(std::uint64_t Read) override;
  void onLeadershipChange(bool Leads) override;

private:
  struct Proposal {
    std::uint64_t Term = 0;
    TimePoint GiveUp;
    ChangeHandler Done;
  };
  struct WaitingBeat {
    PeerRef From;
    peer::Heartbeat Beat;
  };
  struct WaitingRead {
    TimePoint GiveUp;
    ReadHandler Done;
  };

  /// Appends to the log. \returns nothing if the log does not take it now.
  using AppendFunction = std::function<std::optional<std::uint64_t>()>;
  void append(const AppendFunction &Append, Instant Now,
              const ChangeHandler &Done);
  void track(std::uint64_t Index, Instant Now, ChangeHandler Done);
  void answerBeats();
  void refuseBeat(const WaitingBeat &Waiting);
  void replyTo(const PeerRef &To, const peer::Heartbeat &Beat,
               std::uint64_t Sequence);
  void push();
  void tickProposals(TimePoint Now);
  void tickGroups(Instant Now);
  void tickReplicas(Instant Now);
  void tickJoin(Instant Now);
  void onJoinRequest(const peer::JoinRequest &Request, Instant Now);
  void failReads();
  /// Takes another connection to a replica that has been unheard for long while
  /// it was sent something: the present one may have gone silent.
  void watchSilence(const PeerRef &Replica);

  ControlOptions Options;
  PeerSink &Sink;
  Catalog State;
  MemberRegistry Members;
  HolderGroupManager Groups;
  ReplicaManager Replicas;
  TimePoint Started;
  TimePoint NextJoin = TimePoint::min();
  bool ReplicaChangeOpen = false;
  Logger Log{"control"};
  std::map<std::string, std::string> Addresses;
  /// Since when a replica has been sent something and has not been heard.
  std::map<std::string, TimePoint> UnheardSince;
  std::map<std::uint64_t, Proposal> Proposals;
  std::vector<WaitingBeat> Beats;
  /// Heartbeats that are answered when a read is confirmed.
  std::map<std::uint64_t, std::vector<WaitingBeat>> BeatsOfRead;
  std::map<std::uint64_t, WaitingRead> Reads;
  std::uint64_t LastReady = 0;
  Instant Latest{};
  TimePoint LastBehind = TimePoint::min();
  bool PushDue = false;
  bool GroupChangeOpen = false;
  std::unique_ptr<RaftNode> Raft;
};

} // namespace yardwheel

#endif
