//===- membership/member_registry.h - Member table --------------*- C++ -*-===//
///
/// \file
/// The member table that the leader of control keeps in memory. Each member
/// holds a lease that its heartbeats renew; a member whose lease expires is
/// lost. A new leader starts with an empty table, which heartbeats fill. The
/// leader's term identifies the table.
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

  /// Starts an empty table for a new term. The table is not settled, and must
  /// not be sent in full, until every live node has had time for a heartbeat.
  void reset(std::uint64_t NewTerm, TimePoint Now);
  bool isSettled(TimePoint Now) const { return Now >= this->SettledAt; }

  /// Applies a heartbeat.
  /// \returns whether the member table changed.
  bool onHeartbeat(const peer::Heartbeat &Request, TimePoint Now);
  /// Records the configuration revision that was sent to a member.
  void onRevisionSent(const std::string &Name, std::uint64_t Revision);
  /// Marks members with an expired lease as lost.
  /// \returns whether there was any.
  bool tick(TimePoint Now);

  /// Returns the members that have changed since the table version that the
  /// heartbeat reports, or all members if it reports a table of another term.
  /// Agents receive no members unless they ask for them, since they reply to
  /// any peer. Must only be called on a settled table.
  peer::MemberUpdate updateFor(const peer::Heartbeat &Request) const;
  /// Returns the members known so far, for a table that is not settled yet.
  peer::MemberUpdate partialFor(const peer::Heartbeat &Request) const;

  struct Entry {
    peer::Member Member;
    TimePoint LastHeard;
    /// The configuration revision that the member last reported.
    std::uint64_t Revision = 0;
    /// The latest revision that was sent to this incarnation of the member.
    std::uint64_t SentRevision = 0;
    std::uint64_t TableTerm = 0;
    std::uint64_t TableVersion = 0;
  };
  const std::map<std::string, Entry> &entries() const { return this->Entries; }
  const Entry *find(const std::string &Name) const;
  std::uint64_t version() const { return this->Version; }
  /// Returns the size of the members in bytes, encoded.
  std::size_t bytes() const;

private:
  /// Whether the sender of a heartbeat is told of no members.
  static bool omitsMembers(const peer::Heartbeat &Request);
  /// Gives a changed member the next table version.
  void bumpVersion(Entry &Target);

  std::chrono::milliseconds Lease;
  TimePoint SettledAt = TimePoint::min();
  std::uint64_t Term = 0;
  std::uint64_t Version = 0;
  std::map<std::string, Entry> Entries;
};

} // namespace yardwheel

#endif
