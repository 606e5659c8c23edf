//===- membership/member_registry.h - Who is there --------------*- C++ -*-===//
///
/// \file
/// The member table that the leading control replica keeps in memory. Members
/// hold a lease that heartbeats renew; one that is silent for longer is lost.
/// A new leader starts with an empty table, which heartbeats fill, and its
/// term tells the tables apart.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_MEMBERSHIP_MEMBER_REGISTRY_H
#define YARDWHEEL_MEMBERSHIP_MEMBER_REGISTRY_H

#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <map>
#include <string>
#include <vector>

namespace yardwheel {

class MemberRegistry {
public:
  explicit MemberRegistry(std::chrono::milliseconds Lease) : Lease(Lease) {}

  /// Begins the table of a new term of leadership. Until every live node has
  /// had the time to announce itself, the table is not given out.
  void reset(std::uint64_t NewTerm, TimePoint Now);
  bool isSettled(TimePoint Now) const { return Now >= this->SettledAt; }

  /// Takes a heartbeat. \returns whether anything about members changed.
  bool onHeartbeat(const peer::Heartbeat &Beat, TimePoint Now);
  /// Declares silent members lost. \returns whether any was.
  bool tick(TimePoint Now);

  /// What a node that holds the given table must be told. Agents are told
  /// nothing: they answer whoever asks them. Call it on a settled table only.
  peer::MemberUpdate updateFor(const peer::Heartbeat &Beat) const;
  /// What a node may be told of a table that is not settled yet.
  peer::MemberUpdate partialFor(const peer::Heartbeat &Beat) const;

  struct Entry {
    peer::Member Member;
    TimePoint LastHeard;
    /// The configuration revision that it last reported.
    std::uint64_t Revision = 0;
    std::uint64_t TableTerm = 0;
    std::uint64_t TableVersion = 0;
  };
  const std::map<std::string, Entry> &entries() const { return this->Entries; }
  const Entry *find(const std::string &Name) const;
  std::uint64_t version() const { return this->Version; }

private:
  void bumpVersion(Entry &Target);

  std::chrono::milliseconds Lease;
  TimePoint SettledAt = TimePoint::min();
  std::uint64_t Term = 0;
  std::uint64_t Version = 0;
  std::map<std::string, Entry> Entries;
};

} // namespace yardwheel

#endif
