//===- membership/control_search.h - Whom of control to ask -----*- C++ -*-===//
///
/// \file
/// Decides which control replica a node asks next, and tells what the answers
/// and the missing answers prove about a leader.
///
/// Load pattern: control is split, or its leader is gone. Replicas that do not
/// lead refuse, and some name a leader that is none any more; others are
/// silent. Each replica is asked in turn then, so that one that leads is found
/// within one round, and where none is found this is known and not guessed.
///
/// Single-threaded, without sockets or clocks.
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
  /// A replica that leaves a question unanswered for so long cannot be reached
  /// or does not lead. Many round trips and rounds of a quorum (some 20 ms), so
  /// that a busy leader is not missed.
  std::chrono::milliseconds ReplyTimeout{600};
  /// After so long without reading all of its input, answers may lie unread in
  /// this process, and silence proves nothing. Below ReplyTimeout, so that
  /// shorter spells leave time to read an answer; a busy entry has many.
  std::chrono::milliseconds MaxInputDelay{500};
  /// Questions to one replica that may be open before it is left.
  std::size_t MaxUnansweredRequests = 2;
};

class ControlSearch {
public:
  ControlSearch(std::vector<PeerRef> Known, SearchOptions Options = {});

  /// Adds replicas to those that are asked.
  void add(const std::vector<PeerRef> &Added);
  /// To be called often, and before whom() at the same time.
  void noteInputProgress(TimePoint Now, const InputProgress &Input);

  /// The replica to be asked next.
  const PeerRef &target() const;
  /// Whether no replica is known that answers.
  bool isSearching() const { return this->Searching; }
  /// Asks the other replicas too if the present one has left a question
  /// unanswered for \p Patience. It is asked on in its turn.
  void searchIfLate(std::chrono::milliseconds Timeout, TimePoint Now);
  /// Leaves the present replica if it has left several questions unanswered
  /// for \p Patience.
  void searchIfSilent(std::chrono::milliseconds Timeout, TimePoint Now);
  /// Replicas that have left questions unanswered for \p Patience since they
  /// were last returned: their connections may have gone silent.
  std::vector<PeerRef> takeSilentReplicas(std::chrono::milliseconds Timeout,
                                          TimePoint Now);

  void onRequestSent(std::uint64_t Sequence, TimePoint Sent);
  /// Whether a question is still open.
  bool isPending(std::uint64_t Sequence) const {
    return this->PendingRequests.contains(Sequence);
  }
  /// A replica has answered as leader. \returns when the question was sent.
  std::optional<TimePoint> onConfirmed(std::uint64_t Sequence, TimePoint Now);
  /// A replica does not lead, and names one that may; the name may be empty.
  /// \returns whether that one should be asked at once.
  bool onRefused(std::uint64_t Sequence, const std::string &Leader,
                 TimePoint Now);
  /// A leader was heard, but not in answer to a question.
  void onUnsolicitedReply(TimePoint Now);

  /// How each replica answered its latest question, for logs.
  std::string describeReplies(TimePoint Now) const;
  /// Each replica known has been asked since this time, and has refused or left
  /// the question unanswered; the least time if that cannot be said, or one of
  /// them hears a leader.
  TimePoint noLeaderSince() const;

private:
  struct Replica {
    PeerRef Peer;
    TimePoint LastAsked = TimePoint::min();
    /// When the latest question that it refused was sent.
    TimePoint LastRefused = TimePoint::min();
    /// The address of the leader that it named then; empty if none.
    std::string NamedLeader;
    /// Since when silence speaks against its connection.
    TimePoint ConnectedSince = TimePoint::min();
  };
  struct PendingRequest {
    std::size_t Replica = 0;
    TimePoint Sent;
  };

  std::optional<std::size_t> find(const std::string &Address) const;
  /// Whether a replica that refused named a leader that has not refused itself
  /// about then: that one is there, though its answers do not arrive.
  bool hasReportedLeader() const;
  std::size_t leastRecentlyAsked() const;
  /// Questions to the present replica without an answer since it was turned to.
  std::size_t unansweredCount() const;
  std::optional<TimePoint> oldestUnanswered() const;
  void advanceSearch(const char *Reason, const std::string &Named,
                     TimePoint Now);
  TimePoint lastFailedRequest(std::size_t Which) const;

  Logger Log{"control_search"};
  SearchOptions Options;
  std::vector<Replica> Replicas;
  std::size_t Current = 0;
  bool Searching = false;
  /// When the search began, and how many questions it has taken.
  TimePoint SearchStart = TimePoint::min();
  std::uint32_t SearchRequests = 0;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  std::uint64_t LatestSequence = 0;
  /// Later questions count as unanswered by the present replica.
  std::uint64_t SelectedAtSequence = 0;
  TimePoint LastProgressCheck = TimePoint::min();
  TimePoint LastIdle = TimePoint::min();
  TimePoint LastBehind = TimePoint::min();
  /// Since when the lack of an answer proves something.
  TimePoint SilenceCountsSince = TimePoint::min();
};

} // namespace yardwheel

#endif
