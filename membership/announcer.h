//===- membership/announcer.h - A node's heartbeats to control --*- C++ -*-===//
///
/// \file
/// Announces an entry or an agent to control, renews its lease, and takes the
/// configuration and the member table from the replies. Holds to the leader
/// and tries the next replica when it falls silent.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_MEMBERSHIP_ANNOUNCER_H
#define YARDWHEEL_MEMBERSHIP_ANNOUNCER_H

#include "catalog/node_catalog.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
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
  /// time after \p Asked.
  virtual void onConfirmed(TimePoint Asked) = 0;
  /// A question to control whether that configuration is the newest goes out.
  virtual void onAsked(TimePoint Sent) {}
  /// A peer has a newer revision in force than is held here.
  virtual void onNewerRevision(std::uint64_t Revision) {}
  virtual void onCatalog(Instant Now) = 0;
  virtual void onMember(const peer::Member &Member, Instant Now) = 0;
  /// Control knows a higher incarnation of this node: the host's clock was set
  /// back before this life began. Peers take its words for those of an ended
  /// life until it announces itself with a higher one.
  virtual void onOutranked(std::uint64_t Known, Instant Now) {}
};

struct AnnouncerOptions {
  std::vector<PeerRef> Controls;
  std::chrono::milliseconds Interval{1000};
};

class Announcer {
public:
  Announcer(AnnouncerOptions Options, peer::Member Self, NodeCatalog &Catalog,
            PeerSink &Sink, AnnouncerEvents &Events);

  /// \param LastBehind Until when this process did not keep up with its input.
  void tick(Instant Now, TimePoint LastBehind);
  void tick(Instant Now) { this->tick(Now, TimePoint::min()); }
  /// A peer has a newer revision in force: asks control at once, but not for
  /// every message of every peer.
  void noteRevision(std::uint64_t Revision, Instant Now);
  void onReply(const peer::HeartbeatReply &Reply, Instant Now);
  /// Adds control replicas to those that are tried.
  void addControls(const std::vector<PeerRef> &Added);
  /// Announces the state that \p Change has made at once.
  void update(const std::function<void(peer::Member &)> &Change, Instant Now);

private:
  void beat(Instant Now);
  /// Between two questions sent in the ordinary course.
  std::chrono::milliseconds period() const;
  /// Whether this process may ask before its time, as it asked not just now.
  bool mayAskEarly(TimePoint Now) const;
  bool isControlSilent(TimePoint Now) const;
  /// Asks another replica from now on, and says why.
  void turnTo(std::size_t Control, const char *Reason,
              const std::string &NamedLeader);
  void follow(const std::string &LeaderAddress);
  void confirm(std::uint64_t Sequence);
  void dropMissing(const peer::MemberUpdate &Update, Instant Now);
  /// \returns whether the update belongs to a table at least as new.
  bool takeTable(const peer::MemberUpdate &Update, Instant Now);
  void takeMembers(const peer::MemberUpdate &Update, Instant Now);

  Logger Log{"announcer"};
  AnnouncerOptions Options;
  peer::Member Self;
  NodeCatalog &Catalog;
  PeerSink &Sink;
  AnnouncerEvents &Events;
  std::map<std::string, peer::Member> Table;
  std::uint64_t TableTerm = 0;
  std::uint64_t TableVersion = 0;
  std::size_t Current = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Answered = 0;
  /// When the heartbeats that may still be answered were sent.
  std::map<std::uint64_t, TimePoint> SentAt;
  TimePoint NextBeat = TimePoint::min();
  TimePoint LastBeat = TimePoint::min();
};

} // namespace yardwheel

#endif
