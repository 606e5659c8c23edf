//===- consensus/raft_node.h - Raft consensus protocol ----------*- C++ -*-===//
///
/// \file
/// One replica of the Raft protocol as described in Ongaro's thesis: elections
/// with pre-vote, a leader that steps down when it loses contact with a quorum
/// (check quorum), reads confirmed by a quorum, snapshots, and replica set
/// changes by one replica at a time, with learners. Beyond the thesis, half of
/// an even number of voters is a quorum if another one is known to have lost
/// its disk; therefore the former set is counted as well until a change of it
/// is committed (consensus/quorum.h).
///
/// Single-threaded. Uses no sockets and no clock: the caller passes messages
/// and the current time. Persists its state through LogStorage.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_RAFT_NODE_H
#define YARDWHEEL_CONSENSUS_RAFT_NODE_H

#include "consensus/log_storage.h"
#include "consensus/quorum.h"
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
  /// Replaces ElectionTimeout for the first campaigns of a replica that has not
  /// heard from a leader since it started. If all replicas have restarted
  /// together, there is no leader to wait for. Several times the duration of a
  /// synced write and a round trip.
  std::chrono::milliseconds FirstElectionTimeout{60};
  /// Campaigns that use FirstElectionTimeout. With slow disks, an election
  /// needs the longer timeout to complete.
  int MaxEarlyCampaigns = 3;
  /// Applied entries after which a new snapshot is taken.
  std::uint64_t EntriesPerSnapshot = 1000;
  /// Size in bytes of the applied entries after which a new snapshot is taken,
  /// and of the entries that are not committed above which this replica, as
  /// leader, accepts no further ones. A single entry may exceed it.
  std::size_t MaxLogBytes = 4194304;
  /// The newest format of log entries that this replica can apply. Sent to the
  /// other replicas, of which some may run an older build.
  std::uint32_t LogFormat = 0;
  /// Seed of the random part of the election timeout.
  std::uint64_t Seed = 1;
  /// These are disabled only by tests that show why they are needed.
  bool PreVote = true;
  bool CheckQuorum = true;
  bool SyncBeforeReply = true;
  /// Whether a change of the voters needs a quorum of the former ones.
  bool CountFormerVoters = true;
  /// Whether each member of a half has to report the lost disk itself.
  bool RequireOwnReports = true;
};

/// How a replica has decided on the request of a candidate, for logs.
struct VoteDecision {
  std::string Candidate;
  std::uint64_t Term = 0;
  bool IsPreVote = false;
  /// Why the vote is withheld; empty if it is granted.
  std::string Refusal;
};

/// The votes that a candidate has so far, for logs.
struct CampaignState {
  std::uint64_t Term = 0;
  bool IsPreVote = false;
  /// Including its own.
  std::set<std::string> Votes;
  bool IsWon = false;
};

/// The callbacks of RaftNode to its owner.
class RaftEvents {
public:
  virtual ~RaftEvents() = default;
  virtual void send(peer::RaftMessage Message) = 0;
  /// Applies a committed entry to the state. Called once per entry, in order.
  virtual void apply(const peer::LogEntry &Entry) = 0;
  /// Returns the applied state in serialized form, for a snapshot.
  virtual std::string saveState() = 0;
  /// Replaces the state by that of a snapshot.
  virtual void restoreState(const peer::Snapshot &Snapshot) = 0;
  /// A quorum has confirmed this replica as leader after the read was
  /// requested.
  virtual void onReadReady(std::uint64_t Read) = 0;
  /// This replica has become leader or has ceased to be leader.
  virtual void onLeadershipChange(bool Leads) = 0;
  virtual void onVoteDecision(const VoteDecision &) {}
  /// A campaign has begun or has got a vote.
  virtual void onCampaign(const CampaignState &) {}
  /// A replica is reported for the first time to have lost its disk.
  /// \param Reporter The replica that says so, possibly this one.
  virtual void onLossReported(const std::string & /*Reporter*/,
                              const std::string & /*Lost*/) {}
};

/// What a leader knows of the replication to one follower.
struct FollowerStatus {
  std::string Name;
  /// Index of the next entry to send.
  std::uint64_t Next = 0;
  /// Index of the last entry known to be stored by the follower.
  std::uint64_t Match = 0;
  TimePoint LastHeard;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

class RaftNode {
public:
  /// Loads the stored state.
  RaftNode(RaftOptions Options, LogStorage &Storage, RaftEvents &Events,
           TimePoint Now);

  void tick(TimePoint Now);
  void step(const peer::RaftMessage &Message, TimePoint Now);

  /// Appends a command to the log.
  /// \returns its index, or nothing if this replica is not the leader or has no
  /// room.
  /// \throws Error if it cannot be stored.
  std::optional<std::uint64_t> propose(const std::string &Command,
                                       TimePoint Now);
  /// Whether another command may be proposed: the size of what is not committed
  /// is limited.
  bool hasRoom() const;
  /// Appends a replica set that differs from the current one in one replica.
  /// \returns its index, or nothing if this replica is not the leader or an
  /// earlier change is not committed yet.
  /// \throws Error if it cannot be stored.
  std::optional<std::uint64_t> proposeReplicas(const peer::ReplicaSet &Set,
                                               TimePoint Now);
  /// Records that the disk of a replica is lost for good: it can never vote or
  /// store anything again.
  /// \returns whether this was not known before.
  bool noteLostDisk(const std::string &Name);
  bool hasLostDisk(const std::string &Name) const;
  /// What this replica and the others have reported.
  const LossReports &lossReports() const { return this->Reports; }
  /// Requests a linearizable read.
  /// \returns the number that onReadReady() will receive, or nothing if this
  /// replica is not the leader.
  std::optional<std::uint64_t> read(TimePoint Now);
  /// Gives up leadership, before a shutdown or a replacement.
  void stepDown(TimePoint Now);

  RaftRole role() const { return this->Role; }
  bool leads() const { return this->Role == RaftRole::Leader; }
  const std::string &leader() const { return this->Leader; }
  std::uint64_t term() const { return this->Hard.term(); }
  std::uint64_t commitIndex() const { return this->Commit; }
  std::uint64_t appliedIndex() const { return this->Applied; }
  const RaftLog &log() const { return this->Log; }
  bool isVoter() const;
  /// On the leader: whether a replica holds all committed entries.
  bool isCaughtUp(const std::string &Name) const;
  /// On the leader: when a replica last replied, or when it became a follower
  /// of this leader if it has not replied since; nothing if \p Name is not a
  /// replica.
  std::optional<TimePoint> lastHeard(const std::string &Name) const;
  /// On the leader: when a replica last replied, or nothing if it has not
  /// replied to this leader or is not a replica. Unlike lastHeard(), does not
  /// count the time at which it became one.
  std::optional<TimePoint> lastReply(const std::string &Name) const;
  /// On the leader: the replication to each follower; empty elsewhere.
  std::vector<FollowerStatus> followers() const;
  /// On the leader: the name of a replica that has replied to this leader and
  /// cannot apply log entries of this format; empty if there is none.
  std::string findOlderThan(std::uint32_t LogFormat) const;
  /// Refuses votes to candidates that cannot apply log entries of this format,
  /// of which the state is made up: their snapshots would lack a part of it.
  void requireFormat(std::uint32_t LogFormat) {
    this->RequiredFormat = LogFormat;
  }
  /// Returns when a leader last contacted this replica, or TimePoint::min() if
  /// none has since it started.
  TimePoint lastLeaderContact() const { return this->LastLeaderContact; }

private:
  /// The replication state of one follower, kept by the leader.
  struct Progress {
    /// Index of the next entry to send.
    std::uint64_t Next = 1;
    /// Index of the last entry known to be stored by the follower.
    std::uint64_t Match = 0;
    /// The latest round that the follower has replied to.
    std::uint64_t AckedRound = 0;
    /// The round, the time and the first index of the last message that carried
    /// entries or a snapshot.
    std::uint64_t SentRound = 0;
    TimePoint SentAt = TimePoint::min();
    std::uint64_t SentFrom = 0;
    TimePoint LastHeard;
    /// Nothing before its first reply to this leader.
    std::optional<std::uint32_t> LogFormat;
  };
  struct PendingRead {
    std::uint64_t Number = 0;
    /// The broadcast round that a quorum must acknowledge.
    /// Number of the latest messages. A follower gets one message of a round.
    std::uint64_t Round = 0;
  };

  // Elections.
  void campaign(bool Pre, TimePoint Now);
  void becomeFollower(std::uint64_t Term, const std::string &NewLeader,
                      TimePoint Now);
  void becomeLeader(TimePoint Now);
  void onVoteRequest(const peer::RaftMessage &Message, TimePoint Now);
  void onVoteReply(const peer::RaftMessage &Message, TimePoint Now);
  /// \returns why this replica does not vote for a candidate; empty if it does.
  std::string refusalOf(const peer::RaftMessage &Message, TimePoint Now) const;
  void reportCampaign(bool Pre, std::uint64_t Term, bool IsWon);
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
  void broadcast(TimePoint Now);
  /// Sends what the follower lacks, if that may be sent now, else a heartbeat.
  void sendTo(const std::string &Name, TimePoint Now);
  /// Whether entries may be sent to a follower. At most one message with
  /// entries is under way to it, and it is sent again only once a reply to a
  /// later message shows that it was lost.
  bool maySendEntries(const Progress &Follower, TimePoint Now) const;
  void sendEntries(const std::string &Name, Progress &Follower, TimePoint Now);
  void sendHeartbeat(const std::string &Name, const Progress &Follower);
  void sendSnapshot(const std::string &Name);
  std::chrono::milliseconds heartbeatInterval() const;
  void advanceCommit(TimePoint Now);
  void applyCommitted(TimePoint Now);
  void finishReads();
  void maybeSnapshot();
  /// Whether enough has been applied since the last snapshot for a new one.
  bool isSnapshotDue() const;
  void syncProgress(TimePoint Now);
  /// On the leader: appends the committed set once more if its voters are new,
  /// so that the log shows that the former ones need not be counted any more.
  void confirmReplicas(TimePoint Now);

  Quorum quorum() const;
  void recordLosses(const peer::RaftMessage &Message);
  /// Forgets reports by and on replicas that do not count any more.
  void dropOldReports();
  /// Returns the voters, including former ones that still have to be counted.
  std::set<std::string> countedVoters() const;
  bool countsFormerVoters() const;
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
  /// This replica's own reports are what it sends to the others.
  LossReports Reports;
  std::map<std::string, Progress> Followers;
  std::uint64_t Round = 0;
  std::uint64_t LastRead = 0;
  std::vector<PendingRead> Reads;
  /// Index of the no-op entry that started this replica's leadership.
  std::uint64_t LeadershipIndex = 0;
  std::uint32_t RequiredFormat = 0;
};

} // namespace yardwheel

#endif
