//===- membership/announcer.h - A node's heartbeats to control --*- C++ -*-===//
///
/// \file
/// Announces an entry or an agent to control, renews its lease, and takes the
/// configuration and the member table from the replies.
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

/// Hears what control has told this node.
class AnnouncerEvents {
public:
  virtual ~AnnouncerEvents() = default;
  /// A quorum of control stood behind the configuration held here at some
  /// time after \p RequestSent.
  virtual void onConfirmed(TimePoint RequestSent) = 0;
  /// Each control replica known has been asked since \p Since whether that
  /// configuration is the newest, and none has answered as leader; the least
  /// time if that cannot be said.
  virtual void onNoLeaderSince(TimePoint Since) {}
  /// A peer has a newer revision in force than is held here.
  virtual void onNewerRevision(std::uint64_t Revision) {}
  virtual void onCatalog(Instant Now) = 0;
  virtual void onMember(const peer::Member &Member, Instant Now) = 0;
  /// Control knows a higher incarnation of this node: the host's clock was set
  /// back before this life began. Peers take its words for those of an ended
  /// life until it announces itself with a higher one.
  virtual void onNewerIncarnation(std::uint64_t Known, Instant Now) {}
};

struct AnnouncerOptions {
  std::vector<PeerRef> Controls;
  std::chrono::milliseconds Interval{1000};
  /// A question that stays unanswered for so long is put to others as well, and
  /// while none answers as leader the next goes out by the second of these.
  /// Slow by default: hundreds of nodes ask when a leader has gone.
  std::chrono::milliseconds SearchDelay{2000};
  std::chrono::milliseconds SearchInterval{500};
};

class Announcer {
public:
  Announcer(AnnouncerOptions Options, peer::Member Self, NodeCatalog &Catalog,
            PeerSink &Sink, AnnouncerEvents &Events);

  void tick(Instant Now, const InputProgress &Input);
  /// For a process whose input is not watched.
  void tick(Instant Now) { this->tick(Now, {Now.Steady}); }
  /// A peer has a newer revision in force: asks control at once, but not for
  /// every message of every peer.
  void noteRevision(std::uint64_t Revision, Instant Now);
  void onReply(const peer::HeartbeatReply &Reply, Instant Now);
  /// How control has answered of late, for logs.
  std::string describeControl(TimePoint Now) const {
    return this->Search.describeReplies(Now);
  }
  /// Adds control replicas to those that are tried.
  void addControls(const std::vector<PeerRef> &Added);
  /// Announces the state that \p Change has made at once.
  void update(const std::function<void(peer::Member &)> &Change, Instant Now);

private:
  void sendHeartbeat(Instant Now);
  /// Between two questions sent in the ordinary course.
  std::chrono::milliseconds heartbeatInterval() const;
  /// Until the next question.
  std::chrono::milliseconds nextDelay() const;
  /// Whether this process may ask before its time, as it asked not just now.
  bool canSendEarly(TimePoint Now) const;
  /// Looks for replicas that are silent before the next question goes out.
  void checkSilence(TimePoint Now);
  void onRefused(const peer::HeartbeatReply &Reply, Instant Now);
  void markMissingLost(const peer::MemberUpdate &Update, Instant Now);
  /// \returns whether the update belongs to a table at least as new.
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
  ControlSearch Search;
  TimePoint NextHeartbeat = TimePoint::min();
  TimePoint LastHeartbeat = TimePoint::min();
};

} // namespace yardwheel

#endif
