#include "membership/member_registry.h"

#include "protocol/task_needs.h"

#include <algorithm>

namespace yardwheel {

void MemberRegistry::reset(std::uint64_t NewTerm, TimePoint Now) {
  this->SettledAt = Now + this->Lease;
  this->Term = NewTerm;
  this->Version = 0;
  this->Entries.clear();
}

void MemberRegistry::bumpVersion(Entry &Target) {
  Target.Member.set_version(++this->Version);
}

namespace {

/// Whether the workers of two announcements serve the same pool and have the
/// same labels.
bool isSameKind(const peer::Member &A, const peer::Member &B) {
  return A.pool() == B.pool() && std::ranges::equal(A.labels(), B.labels());
}

} // namespace

bool MemberRegistry::onHeartbeat(const peer::Heartbeat &Request,
                                 TimePoint Now) {
  const peer::Member &Reported = Request.member();
  auto [Found, New] = this->Entries.try_emplace(Reported.name());
  Entry &Target = Found->second;
  std::uint64_t Known = Target.Member.incarnation();
  // A delayed heartbeat of an earlier incarnation is ignored.
  if (!New && Reported.incarnation() < Known)
    return false;
  bool SameIncarnation = !New && Reported.incarnation() == Known;
  // An incarnation that is leaving cannot become alive again.
  bool Rejoins = SameIncarnation &&
                 Target.Member.state() == peer::MEMBER_LEAVING &&
                 Reported.state() != peer::MEMBER_LEAVING;
  Target.LastHeard = Now;
  Target.Revision = SameIncarnation
                        ? std::max(Target.Revision, Request.revision())
                        : Request.revision();
  if (!SameIncarnation)
    Target.SentRevision = 0;
  Target.TableTerm = Request.table_term();
  Target.TableVersion = Request.table_version();
  bool Changed = !SameIncarnation ||
                 Target.Member.state() != Reported.state() ||
                 !isSameNeeds(Target.Member.room(), Reported.room()) ||
                 !isSameKind(Target.Member, Reported);
  if (Rejoins || !Changed)
    return false;
  Target.Member = Reported;
  this->bumpVersion(Target);
  return true;
}

void MemberRegistry::onRevisionSent(const std::string &Name,
                                    std::uint64_t Revision) {
  auto Found = this->Entries.find(Name);
  if (Found != this->Entries.end())
    Found->second.SentRevision = std::max(Found->second.SentRevision, Revision);
}

bool MemberRegistry::tick(TimePoint Now) {
  bool AnyLost = false;
  for (auto &[Name, Target] : this->Entries) {
    bool Silent = Now - Target.LastHeard > this->Lease;
    if (!Silent || Target.Member.state() == peer::MEMBER_LOST)
      continue;
    Target.Member.set_state(peer::MEMBER_LOST);
    this->bumpVersion(Target);
    AnyLost = true;
  }
  return AnyLost;
}

bool MemberRegistry::omitsMembers(const peer::Heartbeat &Request) {
  return Request.member().role() == peer::ROLE_AGENT &&
         !Request.wants_members();
}

peer::MemberUpdate
MemberRegistry::updateFor(const peer::Heartbeat &Request) const {
  peer::MemberUpdate Update;
  Update.set_term(this->Term);
  Update.set_version(this->Version);
  Update.set_full(Request.table_term() != this->Term);
  if (omitsMembers(Request))
    return Update;
  std::uint64_t Since = Update.full() ? 0 : Request.table_version();
  for (const auto &[Name, Target] : this->Entries)
    if (Target.Member.version() > Since)
      *Update.add_members() = Target.Member;
  return Update;
}

peer::MemberUpdate
MemberRegistry::partialFor(const peer::Heartbeat &Request) const {
  peer::MemberUpdate Update;
  Update.set_partial(true);
  if (omitsMembers(Request))
    return Update;
  for (const auto &[Name, Target] : this->Entries)
    *Update.add_members() = Target.Member;
  return Update;
}

std::size_t MemberRegistry::bytes() const {
  std::size_t Sum = 0;
  for (const auto &[Name, Target] : this->Entries)
    Sum += Target.Member.ByteSizeLong();
  return Sum;
}

const MemberRegistry::Entry *
MemberRegistry::find(const std::string &Name) const {
  auto Found = this->Entries.find(Name);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

} // namespace yardwheel
