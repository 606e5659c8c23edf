//===- consensus/raft_node.h - Our own consensus protocol -------*- C++ -*-===//
///
/// \file
/// One replica of the log, after Raft (Ongaro's thesis): elections with a
/// pre-vote, a leader that steps down when it no longer hears a quorum, reads
/// confirmed by a quorum, snapshots, and changes of the replica set one at a
/// time, with learners.
///
/// Single-threaded, without sockets or clocks; its disk is a LogStorage.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_RAFT_NODE_H
#define YARDWHEEL_CONSENSUS_RAFT_NODE_H

#include "consensus/log_storage.h"
#include "consensus/raft_log.h"
#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace yardwheel {

struct RaftOptions {
  std::string Name;
  std::chrono::milliseconds ElectionTimeout{500};
  /// In place of Election before the first campaigns of a replica that has
  /// heard no leader since it started: where all have restarted together,
  /// nothing is gained by waiting for one. Several times a synced write and a
  /// round trip.
  std::chrono::milliseconds FirstElectionTimeout{150};
  /// How many campaigns may be so early. Where disks are slow, an election
  /// needs the longer time to come to an end.
  int MaxEarlyCampaigns = 3;
  std::uint64_t EntriesPerSnapshot = 1000;
  std::uint64_t Seed = 1;
  /// Off only in tests that show what the mechanisms are for.
  bool PreVote = true;
  bool CheckQuorum = true;
  bool SyncBeforeReply = true;
};

/// What the protocol asks of its surroundings.
class RaftEvents {
public:
  virtual ~RaftEvents() = default;
  virtual void send(peer::RaftMessage Message) = 0;
  /// Called once for each committed entry, in order.
  virtual void apply(const peer::LogEntry &Entry) = 0;
  virtual std::string saveState() = 0;
  virtual void restoreState(const peer::Snapshot &Snapshot) = 0;
  /// The leader has been confirmed after the read was asked for.
  virtual void onReadReady(std::uint64_t Read) = 0;
  virtual void onLeadershipChange(bool Leads) = 0;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

class RaftNode {
public:
  /// Loads what the storage holds.
  RaftNode(RaftOptions Options, LogStorage &Storage, RaftEvents &Events,
           TimePoint Now);

  void tick(TimePoint Now);
  void step(const peer::RaftMessage &Message, TimePoint Now);

  /// Appends a command. \returns its index, or nothing if this replica does
  /// not lead. \throws Error if the disk refuses it.
  std::optional<std::uint64_t> propose(const std::string &Command,
                                       TimePoint Now);
  /// Changes the replica set by one replica. \returns nothing if this
  /// replica does not lead or an earlier change is not committed yet.
  std::optional<std::uint64_t> proposeReplicas(const peer::ReplicaSet &Set,
                                               TimePoint Now);
  /// Asks for a read. \returns the number that onReadReady will carry, or
  /// nothing if this replica does not lead.
  std::optional<std::uint64_t> read(TimePoint Now);
  /// Gives leadership up, to stop or to be replaced.
  void stepDown(TimePoint Now);

  RaftRole role() const { return this->Role; }
  bool leads() const { return this->Role == RaftRole::Leader; }
  const std::string &leader() const { return this->Leader; }
  std::uint64_t term() const { return this->Hard.term(); }
  std::uint64_t commitIndex() const { return this->Commit; }
  std::uint64_t appliedIndex() const { return this->Applied; }
  const RaftLog &log() const { return this->Log; }
  bool isVoter() const;
  /// On the leader: whether a replica holds all that is committed.
  bool isCaughtUp(const std::string &Name) const;
  /// On the leader: when a replica was last heard; nothing if it is none.
  std::optional<TimePoint> lastHeard(const std::string &Name) const;
  /// When this replica last heard a leader or led itself.
  TimePoint lastLeaderContact() const { return this->LastLeaderContact; }

private:
  struct Progress {
    std::uint64_t Next = 1;
    std::uint64_t Match = 0;
    std::uint64_t AckedRound = 0;
    TimePoint LastHeard;
  };
  struct PendingRead {
    std::uint64_t Number = 0;
    std::uint64_t Round = 0;
  };

  // Elections.
  void campaign(bool Pre, TimePoint Now);
  void becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                      TimePoint Now);
  void becomeLeader(TimePoint Now);
  void onVoteRequest(const peer::RaftMessage &Message, TimePoint Now);
  void onVoteReply(const peer::RaftMessage &Message, TimePoint Now);
  bool mayVoteFor(const peer::RaftMessage &Message, TimePoint Now) const;
  void resetElectionDeadline(TimePoint Now);
  std::chrono::milliseconds electionTimeout() const;
  bool hasRecentLeader(TimePoint Now) const;
  void checkQuorum(TimePoint Now);
  void persistHardState(std::uint64_t Term, const std::string &VotedFor);

  // Replication.
  void onAppend(const peer::RaftMessage &Message, TimePoint Now);
  void onAppendReply(const peer::RaftMessage &Message, TimePoint Now);
  void onInstallSnapshot(const peer::RaftMessage &Message, TimePoint Now);
  void storeEntries(const peer::AppendRequest &Append);
  void appendLocal(peer::LogEntry Entry, TimePoint Now);
  void broadcast(bool Heartbeat, TimePoint Now);
  void sendTo(const std::string &Name, bool FromMatch);
  void sendSnapshot(const std::string &Name);
  void advanceCommit(TimePoint Now);
  void applyCommitted(TimePoint Now);
  void finishReads();
  void maybeSnapshot();
  void syncProgress(TimePoint Now);
  std::uint64_t quorumValue(std::vector<std::uint64_t> Values) const;

  bool isQuorum(const std::set<std::string> &Names) const;
  std::vector<std::string> voters() const;
  const peer::Replica *findReplica(const std::string &Name) const;
  peer::RaftMessage messageTo(const std::string &Name) const;

  RaftOptions Options;
  LogStorage &Storage;
  RaftEvents &Events;
  RaftLog Log;
  peer::HardState Hard;
  RaftRole Role = RaftRole::Follower;
  std::string Leader;
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  std::mt19937_64 Random;

  TimePoint ElectionDeadline;
  int Campaigns = 0;
  TimePoint LastLeaderContact = TimePoint::min();
  TimePoint NextHeartbeat;
  std::set<std::string> Votes;
  std::map<std::string, Progress> Followers;
  std::uint64_t Round = 0;
  std::uint64_t LastRead = 0;
  std::vector<PendingRead> Reads;
  /// The no-op with which this replica's leadership began.
  std::uint64_t LeadershipIndex = 0;
};

} // namespace yardwheel

#endif
