//===- consensus/quorum.h - Which replicas form a quorum --------*- C++ -*-===//
///
/// \file
/// The one rule by which replicas are counted, for elections, commits, reads
/// and the check that a leader still has its followers. See "What counts as a
/// quorum" in docs/design/configuration.md for why any two quorums share a
/// replica.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_QUORUM_H
#define YARDWHEEL_CONSENSUS_QUORUM_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

/// Names of replicas whose disks are lost for good, by the replica that has
/// said so. Only a report that its sender made after the loss may be in it.
using LossReports = std::map<std::string, std::set<std::string>>;

/// \returns the names of the replicas of a set that vote.
std::vector<std::string> votersOf(const peer::ReplicaSet &Set);

class Quorum {
public:
  explicit Quorum(LossReports Reports) : Reports(std::move(Reports)) {}

  /// Requires a quorum of these voters as well. A set without voters has none.
  void require(std::vector<std::string> Voters) {
    this->Sets.push_back(std::move(Voters));
  }
  /// Accepts a report by any one replica for all of them. Only for tests that
  /// show why each member of a quorum has to make it.
  void setReportsShared(bool Shared) { this->AreReportsShared = Shared; }

  bool isReached(const std::set<std::string> &Supporters) const;
  /// \returns the largest value that all replicas of a quorum have reached, or
  /// 0 if there is none. Replicas without a value count as 0.
  std::uint64_t
  reachedValue(const std::map<std::string, std::uint64_t> &Values) const;

private:
  bool isReachedIn(const std::vector<std::string> &Voters,
                   const std::set<std::string> &Supporters) const;
  /// Whether \p Supporter has reported the loss of \p Lost.
  bool hasReported(const std::string &Supporter, const std::string &Lost) const;

  LossReports Reports;
  std::vector<std::vector<std::string>> Sets;
  bool AreReportsShared = false;
};

} // namespace yardwheel

#endif
