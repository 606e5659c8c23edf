//===- membership/control_search.h - Search for the leader ------*- C++ -*-===//
///
/// \file
/// Selects the control replica that a node sends its next request to, and
/// derives from replies and missing replies whether control has a leader.
///
/// Load pattern: control is partitioned or has lost its leader. Replicas that
/// are not the leader refuse requests, and some of them name a former leader;
/// other replicas do not reply. The node then asks each replica in turn, so it
/// finds the leader within one round, or has evidence that there is none.
///
/// Single-threaded. Uses no sockets and no clock: the caller sends the requests
/// and passes the current time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_MEMBERSHIP_CONTROL_SEARCH_H
#define YARDWHEEL_MEMBERSHIP_CONTROL_SEARCH_H

#include "core/clock.h"
#include "core/input_progress.h"
#include "core/logger.h"
#include "core/peer_sink.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

struct SearchOptions {
  /// A replica that has not replied within this time counts as unreachable or
  /// not the leader. Much longer than a round trip with a quorum round (about
  /// 20 ms), so that a busy leader is not missed.
  std::chrono::milliseconds ReplyTimeout{600};
  /// If this process has not read all of its input for longer than this,
  /// replies may be unread, and a missing reply is no evidence. Below
  /// ReplyTimeout, so that shorter delays, which a busy entry often has, leave
  /// time to read a reply.
  std::chrono::milliseconds MaxInputDelay{500};
  /// Unanswered requests after which the current replica may be abandoned.
  std::size_t MaxUnansweredRequests = 2;
};

class ControlSearch {
public:
  ControlSearch(std::vector<PeerRef> Known, SearchOptions Options = {});

  /// Adds replicas to the search. Ignores known addresses.
  void add(const std::vector<PeerRef> &Added);
  /// Records how far this process has read its input. Must be called often, and
  /// at each time before target().
  void noteInputProgress(TimePoint Now, const InputProgress &Input);

  /// Returns the replica that the next request goes to.
  const PeerRef &target() const;
  /// Whether no replica is known that replies as leader.
  bool isSearching() const { return this->Searching; }
  /// Starts to ask all replicas in turn, at the start of a node.
  void startSearch(TimePoint Now);
  /// Starts to ask all replicas in turn if a request to the current one has
  /// been unanswered for \p Timeout. The current one remains among them.
  void searchIfLate(std::chrono::milliseconds Timeout, TimePoint Now);
  /// Abandons the current replica if MaxUnansweredRequests requests to it are
  /// unanswered, the oldest for \p Timeout.
  void searchIfSilent(std::chrono::milliseconds Timeout, TimePoint Now);
  /// Returns the replicas that have not replied for \p Timeout to a request
  /// sent since they were last returned. Their connections may be broken.
  std::vector<PeerRef> takeSilentReplicas(std::chrono::milliseconds Timeout,
                                          TimePoint Now);

  /// Records a request sent to target().
  void onRequestSent(std::uint64_t Sequence, TimePoint Sent);
  /// Whether a request has not been answered yet.
  bool isPending(std::uint64_t Sequence) const {
    return this->PendingRequests.contains(Sequence);
  }
  /// A replica has replied as leader.
  /// \returns when the request was sent, or nothing if it is not pending.
  std::optional<TimePoint> onConfirmed(std::uint64_t Sequence, TimePoint Now);
  /// A replica has replied that it is not the leader.
  /// \param Leader The address of the leader that it names; may be empty.
  /// \returns whether the named replica should be asked at once.
  bool onRefused(std::uint64_t Sequence, const std::string &Leader,
                 TimePoint Now);
  /// A leader has sent a message that is not a reply to a pending request.
  void onUnsolicitedReply(TimePoint Now);

  /// Describes the latest reply of each replica, for logs.
  std::string describeReplies(TimePoint Now) const;
  /// Returns the time since which every known replica has been asked and has
  /// refused or not replied. Returns TimePoint::min() if this is not known or
  /// if a replica still has contact with a leader.
  TimePoint noLeaderSince() const;

private:
  struct Replica {
    PeerRef Peer;
    TimePoint LastAsked = TimePoint::min();
    /// When the latest request that it refused was sent.
    TimePoint LastRefused = TimePoint::min();
    /// Address of the leader that it named in that refusal; may be empty.
    std::string NamedLeader;
    /// Only requests sent since then indicate a broken connection.
    TimePoint ConnectedSince = TimePoint::min();
  };
  struct PendingRequest {
    std::size_t Replica = 0;
    TimePoint Sent;
  };

  std::optional<std::size_t> find(const std::string &Address) const;
  /// Whether a recent refusal named a leader that has not itself refused at
  /// about the same time. That leader exists, although its replies do not
  /// arrive here.
  bool hasReportedLeader() const;
  std::size_t leastRecentlyAsked() const;
  /// Returns the number of unanswered requests to the current replica since it
  /// was selected.
  std::size_t unansweredCount() const;
  std::optional<TimePoint> oldestUnanswered() const;
  /// Starts a search, if there is none, and selects the next replica.
  void advanceSearch(const char *Reason, const std::string &Named,
                     TimePoint Now);
  /// Returns when the latest request was sent that the replica refused or did
  /// not answer in time, or TimePoint::min() if there is none.
  TimePoint lastFailedRequest(std::size_t Which) const;

  Logger Log{"control_search"};
  SearchOptions Options;
  std::vector<Replica> Replicas;
  std::size_t Current = 0;
  bool Searching = false;
  /// When the current search started, and the number of its requests.
  TimePoint SearchStart = TimePoint::min();
  std::uint32_t SearchRequests = 0;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  std::uint64_t LatestSequence = 0;
  /// The latest request when the current replica was selected. Only later
  /// requests count as unanswered by it.
  std::uint64_t SelectedAtSequence = 0;
  TimePoint LastProgressCheck = TimePoint::min();
  TimePoint LastIdle = TimePoint::min();
  /// Only requests sent since then count as evidence if they are unanswered.
  TimePoint SilenceCountsSince = TimePoint::min();
};

} // namespace yardwheel

#endif
