//===- membership/announcer.h - Heartbeats to control -----------*- C++ -*-===//
///
/// \file
/// Announces an entry or an agent to control, renews its lease by heartbeats,
/// and applies the configuration and the member table of the replies.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_MEMBERSHIP_ANNOUNCER_H
#define YARDWHEEL_MEMBERSHIP_ANNOUNCER_H

#include "catalog/node_catalog.h"
#include "core/clock.h"
#include "core/peer_sink.h"
#include "membership/control_search.h"
#include "protocol/peer.pb.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

/// Receives the information that control has sent to this node.
class AnnouncerEvents {
public:
  virtual ~AnnouncerEvents() = default;
  /// A quorum of control has confirmed the configuration held here as the
  /// newest, at some time after \p RequestSent.
  virtual void onConfirmed(TimePoint RequestSent) = 0;
  /// Every known control replica has been asked since \p Since whether that
  /// configuration is the newest, and none has replied as leader.
  /// \param Since TimePoint::min() if this is not known.
  virtual void onNoLeaderSince(TimePoint Since) {}
  /// A peer uses a newer configuration revision than the one held here.
  virtual void onNewerRevision(std::uint64_t Revision) {}
  virtual void onCatalog(Instant Now) = 0;
  virtual void onMember(const peer::Member &Member, Instant Now) = 0;
  /// Control knows a higher incarnation of this node: the host's clock was set
  /// back before this process started. Peers treat its messages as those of an
  /// ended incarnation until it announces itself with a higher one.
  /// \param Known The highest incarnation that control knows.
  virtual void onNewerIncarnation(std::uint64_t Known, Instant Now) {}
  /// Control has told what the callers of all entries ask for.
  /// \param Measured Time before which no part of the sums was measured.
  virtual void onDemand(const std::vector<peer::RouteDemand> &Sums,
                        TimePoint Measured, Instant Now) {}
};

struct AnnouncerOptions {
  std::vector<PeerRef> Controls;
  std::chrono::milliseconds Interval{1000};
  /// Whether a node without a configuration asks all replicas in turn, every
  /// SearchInterval, in place of waiting for the first one. After a power loss
  /// of the whole cluster the first one may lead or not.
  bool SearchAtStart = false;
  /// Time without a reply after which other replicas are asked as well. Long by
  /// default, like SearchInterval: hundreds of nodes search when a leader is
  /// lost.
  std::chrono::milliseconds SearchDelay{2000};
  /// Interval between requests while no replica replies as leader.
  std::chrono::milliseconds SearchInterval{500};
};

class Announcer {
public:
  Announcer(AnnouncerOptions Options, peer::Member Self, NodeCatalog &Catalog,
            PeerSink &Sink, AnnouncerEvents &Events);

  void tick(Instant Now, const InputProgress &Input);
  /// For a process that does not track its input progress.
  void tick(Instant Now) { this->tick(Now, {Now.Steady}); }
  /// A peer uses configuration \p Revision. Asks control at once if it is newer
  /// than the one held here, but not for every message of every peer.
  void noteRevision(std::uint64_t Revision, Instant Now);
  void onReply(const peer::HeartbeatReply &Reply, Instant Now);
  /// Describes the latest reply of each control replica, for logs.
  std::string describeControl(TimePoint Now) const {
    return this->Search.describeReplies(Now);
  }
  /// Adds control replicas that may be asked.
  void addControls(const std::vector<PeerRef> &Added);
  /// Sets whether an agent is to be told the member table; entries are always.
  /// The table is asked for as a whole at once.
  void setWantsMembers(bool Wants);
  /// Sets what the callers of this entry ask for, for the next heartbeats.
  void setDemand(std::vector<peer::RouteDemand> NewDemand) {
    this->Demand = std::move(NewDemand);
  }
  /// Applies \p Change to the state of this node and announces it at once.
  void update(const std::function<void(peer::Member &)> &Change, Instant Now);

private:
  void sendHeartbeat(Instant Now);
  /// Returns the regular interval between two heartbeats.
  std::chrono::milliseconds heartbeatInterval() const;
  /// Returns the delay from one heartbeat to the next, which is shorter during
  /// a search.
  std::chrono::milliseconds nextDelay() const;
  /// Whether a heartbeat may be sent ahead of schedule: the last one was not
  /// sent just now.
  bool canSendEarly(TimePoint Now) const;
  /// Starts a search if the current replica does not reply, and replaces the
  /// connections of silent replicas. Called before the next heartbeat is sent.
  void checkSilence(TimePoint Now);
  void onRefused(const peer::HeartbeatReply &Reply, Instant Now);
  /// Marks members that a full table does not list as lost.
  void markMissingLost(const peer::MemberUpdate &Update, Instant Now);
  /// Adopts the version of the update's table.
  /// \returns false if the update is older than the table held here, or is an
  /// increment of a table that is not held here.
  bool acceptTable(const peer::MemberUpdate &Update, Instant Now);
  void applyMembers(const peer::MemberUpdate &Update, Instant Now);

  AnnouncerOptions Options;
  peer::Member Self;
  NodeCatalog &Catalog;
  PeerSink &Sink;
  AnnouncerEvents &Events;
  std::map<std::string, peer::Member> Table;
  std::uint64_t TableTerm = 0;
  std::uint64_t TableVersion = 0;
  std::uint64_t Sequence = 0;
  bool WantsMembers = false;
  /// Replies to heartbeats up to this one leave the members out.
  std::uint64_t MembersOmittedUpTo = 0;
  std::vector<peer::RouteDemand> Demand;
  ControlSearch Search;
  TimePoint NextHeartbeat = TimePoint::min();
  TimePoint LastHeartbeat = TimePoint::min();
};

} // namespace yardwheel

#endif
