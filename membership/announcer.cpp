#include "membership/announcer.h"

#include <algorithm>
#include <set>

namespace yardwheel {

namespace {

/// Intervals without a reply after which a replica is abandoned and its
/// connection replaced.
constexpr int MaxSilentIntervals = 2;
/// Heartbeats in one interval while a node has no configuration: it cannot work
/// without one, and the additional messages are cheap.
constexpr int StartupHeartbeatsPerInterval = 4;
/// Heartbeats ahead of schedule are limited to this number in one interval:
/// messages of many peers, or many delays of this process, must not trigger one
/// heartbeat each.
constexpr int MaxEarlyHeartbeatsPerInterval = 4;

} // namespace

Announcer::Announcer(AnnouncerOptions Options, peer::Member Self,
                     NodeCatalog &Catalog, PeerSink &Sink,
                     AnnouncerEvents &Events)
    : Options(std::move(Options)), Self(std::move(Self)), Catalog(Catalog),
      Sink(Sink), Events(Events), Search(this->Options.Controls) {}

void Announcer::tick(Instant Now, const InputProgress &Input) {
  this->Search.noteInputProgress(Now.Steady, Input);
  // Replies to earlier requests may be unread in this process. A new request
  // confirms the state within a round trip.
  bool WasBehind =
      Input.LastBehind > this->LastHeartbeat && this->canSendEarly(Now.Steady);
  this->checkSilence(Now.Steady);
  if (Now.Steady >= this->NextHeartbeat || WasBehind)
    this->sendHeartbeat(Now);
  this->Events.onNoLeaderSince(this->Search.noLeaderSince());
}

void Announcer::checkSilence(TimePoint Now) {
  auto Timeout = MaxSilentIntervals * this->heartbeatInterval();
  if (!this->Search.isSearching())
    this->Search.searchIfSilent(Timeout, Now);
  bool HasConfiguration = this->Catalog.revision() > 0;
  if (!this->Search.isSearching() && HasConfiguration)
    this->Search.searchIfLate(this->Options.SearchDelay, Now);
  if (!this->Search.isSearching())
    return;
  this->NextHeartbeat =
      std::min(this->NextHeartbeat, this->LastHeartbeat + this->nextDelay());
  for (const PeerRef &Silent : this->Search.takeSilentReplicas(Timeout, Now))
    this->Sink.reconnect(Silent);
}

std::chrono::milliseconds Announcer::heartbeatInterval() const {
  bool HasConfiguration = this->Catalog.revision() > 0;
  return HasConfiguration
             ? this->Options.Interval
             : this->Options.Interval / StartupHeartbeatsPerInterval;
}

std::chrono::milliseconds Announcer::nextDelay() const {
  return this->Search.isSearching()
             ? std::min(this->Options.SearchInterval, this->heartbeatInterval())
             : this->heartbeatInterval();
}

bool Announcer::canSendEarly(TimePoint Now) const {
  return this->LastHeartbeat == TimePoint::min() ||
         Now - this->LastHeartbeat >=
             this->Options.Interval / MaxEarlyHeartbeatsPerInterval;
}

void Announcer::setWantsMembers(bool Wants) {
  if (Wants == this->WantsMembers)
    return;
  this->WantsMembers = Wants;
  if (!Wants)
    return;
  this->TableTerm = 0;
  this->TableVersion = 0;
  this->MembersOmittedUpTo = this->Sequence;
  this->NextHeartbeat = TimePoint::min();
}

void Announcer::update(const std::function<void(peer::Member &)> &Change,
                       Instant Now) {
  Change(this->Self);
  this->sendHeartbeat(Now);
}

void Announcer::noteRevision(std::uint64_t Revision, Instant Now) {
  bool Behind = Revision > this->Catalog.revision();
  if (Behind)
    this->Events.onNewerRevision(Revision);
  if (Behind && this->canSendEarly(Now.Steady))
    this->sendHeartbeat(Now);
}

void Announcer::sendHeartbeat(Instant Now) {
  if (this->Options.SearchAtStart && this->Sequence == 0)
    this->Search.startSearch(Now.Steady);
  this->LastHeartbeat = Now.Steady;
  this->NextHeartbeat = Now.Steady + this->nextDelay();
  peer::Message Message;
  peer::Heartbeat *Request = Message.mutable_heartbeat();
  *Request->mutable_member() = this->Self;
  Request->set_revision(this->Catalog.revision());
  Request->set_table_term(this->TableTerm);
  Request->set_table_version(this->TableVersion);
  Request->set_sequence(++this->Sequence);
  Request->set_wants_members(this->WantsMembers);
  Request->mutable_demand()->Assign(this->Demand.begin(), this->Demand.end());
  this->Sink.send(this->Search.target(), std::move(Message));
  this->Search.onRequestSent(this->Sequence, Now.Steady);
}

void Announcer::addControls(const std::vector<PeerRef> &Added) {
  this->Search.add(Added);
}

void Announcer::onRefused(const peer::HeartbeatReply &Reply, Instant Now) {
  bool Follow = this->Search.onRefused(Reply.sequence(), Reply.leader_address(),
                                       Now.Steady);
  if (Follow)
    this->NextHeartbeat = TimePoint::min();
  else
    this->NextHeartbeat =
        std::min(this->NextHeartbeat, this->LastHeartbeat + this->nextDelay());
  this->Events.onNoLeaderSince(this->Search.noLeaderSince());
}

void Announcer::onReply(const peer::HeartbeatReply &Reply, Instant Now) {
  // The reply is for an earlier incarnation of this node.
  if (Reply.incarnation() != this->Self.incarnation())
    return;
  if (Reply.known_incarnation() > this->Self.incarnation())
    this->Events.onNewerIncarnation(Reply.known_incarnation(), Now);
  // A replica's name changes when its host loses its disk, so replicas are
  // identified by address only.
  std::vector<PeerRef> Reported;
  for (const peer::Replica &Replica : Reply.replicas())
    Reported.push_back({"", Replica.address()});
  this->addControls(Reported);
  if (!Reply.accepted()) {
    this->onRefused(Reply, Now);
    return;
  }
  bool IsReply = this->Search.isPending(Reply.sequence());
  // A new incarnation accepts its first configuration only from a reply to its
  // own request, since only that is confirmed by a quorum.
  bool HasConfiguration = this->Catalog.revision() > 0;
  if (!IsReply && !HasConfiguration)
    return;
  if (Reply.has_catalog() && this->Catalog.merge(Reply.catalog()))
    this->Events.onCatalog(Now);
  bool HasMembers =
      Reply.has_members() && (this->MembersOmittedUpTo == 0 ||
                              Reply.sequence() > this->MembersOmittedUpTo);
  if (HasMembers)
    this->applyMembers(Reply.members(), Now);
  if (!IsReply) {
    this->Search.onUnsolicitedReply(Now.Steady);
    return;
  }
  // The confirmation counts from the time of the request, since the reply may
  // have been delayed. It also counts if another replica has been asked since,
  // because a quorum confirmed it.
  std::optional<TimePoint> Sent =
      this->Search.onConfirmed(Reply.sequence(), Now.Steady);
  if (Sent && !Reply.demand().empty())
    this->Events.onDemand(
        {Reply.demand().begin(), Reply.demand().end()},
        *Sent - std::chrono::milliseconds(Reply.demand_age_ms()), Now);
  // A catalog update that does not apply to the one held here was not merged.
  bool IsUpToDate = Reply.catalog().revision() <= this->Catalog.revision();
  if (Sent && IsUpToDate)
    this->Events.onConfirmed(*Sent);
}

void Announcer::applyMembers(const peer::MemberUpdate &Update, Instant Now) {
  if (!Update.partial() && !this->acceptTable(Update, Now))
    return;
  for (const peer::Member &Member : Update.members()) {
    peer::Member &Known = this->Table[Member.name()];
    // Delayed information about an earlier incarnation is ignored.
    if (Member.incarnation() < Known.incarnation())
      continue;
    bool HasLeft = Known.incarnation() == Member.incarnation() &&
                   Known.state() == peer::MEMBER_LEAVING &&
                   Member.state() == peer::MEMBER_ALIVE;
    if (HasLeft)
      continue;
    Known = Member;
    this->Events.onMember(Member, Now);
  }
}

bool Announcer::acceptTable(const peer::MemberUpdate &Update, Instant Now) {
  bool SameTable = Update.term() == this->TableTerm;
  bool Older = Update.term() < this->TableTerm ||
               (SameTable && Update.version() < this->TableVersion);
  if (Older || (!SameTable && !Update.full()))
    return false;
  this->TableTerm = Update.term();
  this->TableVersion = Update.version();
  if (Update.full())
    this->markMissingLost(Update, Now);
  return true;
}

void Announcer::markMissingLost(const peer::MemberUpdate &Update, Instant Now) {
  std::set<std::string> Present;
  for (const peer::Member &Member : Update.members())
    Present.insert(Member.name());
  for (auto &[Name, Known] : this->Table) {
    if (Present.contains(Name) || Known.state() == peer::MEMBER_LOST)
      continue;
    Known.set_state(peer::MEMBER_LOST);
    this->Events.onMember(Known, Now);
  }
}

} // namespace yardwheel
