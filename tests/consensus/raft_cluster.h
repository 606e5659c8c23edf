//===- tests/consensus/raft_cluster.h - Emulated Raft cluster ---*- C++ -*-===//
///
/// \file
/// Raft replicas in an emulated network with faults. Checks on every applied
/// entry that all replicas apply the same entries in the same order, and on
/// every election that no term has two leaders.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_CONSENSUS_RAFT_CLUSTER_H
#define YARDWHEEL_TESTS_CONSENSUS_RAFT_CLUSTER_H

#include "consensus/raft_node.h"
#include "emulator/memory_log_storage.h"
#include "emulator/virtual_world.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

class RaftCluster {
public:
  RaftCluster(std::size_t Replicas, RaftOptions Options, std::uint64_t Seed);

  VirtualWorld World;

  void run(Duration Time) { this->World.run(Time); }
  /// Stops a replica and discards the writes that it has not synced.
  void crash(const std::string &Name);
  void restart(const std::string &Name);
  /// Starts a replica with an empty disk that is not in the replica set yet.
  void join(const std::string &Name);
  /// Ends a replica for good, with its disk.
  void loseDisk(const std::string &Name);

  /// Proposes a command at a replica.
  /// \returns its index, or nothing if the replica is down or not the leader.
  std::optional<std::uint64_t> propose(const std::string &Name,
                                       const std::string &Command);
  RaftNode &node(const std::string &Name) {
    return *this->Nodes.at(Name)->Raft;
  }
  MemoryLogStorage &disk(const std::string &Name) {
    return *this->Disks.at(Name);
  }
  /// Returns the running leader with the highest term, or "" if there is none.
  std::string leader();
  std::vector<std::string> names() const;

  /// Returns the commands that a replica has applied, in order.
  std::vector<std::string> applied(const std::string &Name) const;
  /// Returns the commands whose commit the proposing leader has seen.
  const std::vector<std::string> &acknowledged() const {
    return this->Acknowledged;
  }
  std::size_t readsReady() const { return this->Reads; }
  /// Returns a description of the latest violated invariant, or "".
  const std::string &violation() const { return this->Violation; }

private:
  struct Node final : RaftEvents {
    Node(RaftCluster &Cluster, std::string Name)
        : Cluster(Cluster), Name(std::move(Name)) {}
    void send(peer::RaftMessage Message) override;
    void apply(const peer::LogEntry &Entry) override;
    std::string saveState() override;
    void restoreState(const peer::Snapshot &Snapshot) override;
    void onReadReady(std::uint64_t) override { ++this->Cluster.Reads; }
    void onLeadershipChange(bool Leads) override;

    RaftCluster &Cluster;
    std::string Name;
    std::vector<std::string> Applied;
    std::map<std::uint64_t, std::string> Proposed;
    std::unique_ptr<RaftNode> Raft;
  };

  void start(const std::string &Name);

  RaftOptions Options;
  std::uint64_t Starts = 0;
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::map<std::string, std::unique_ptr<MemoryLogStorage>> Disks;
  std::map<std::uint64_t, std::string> Committed;
  std::map<std::uint64_t, std::string> LeaderOfTerm;
  std::vector<std::string> Acknowledged;
  std::size_t Reads = 0;
  std::string Violation;
};

} // namespace yardwheel

#endif
