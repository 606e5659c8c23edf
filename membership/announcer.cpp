#include "membership/announcer.h"

#include <algorithm>
#include <set>

namespace yardwheel {

namespace {

/// Intervals without an answer after which a replica is left and its
/// connection replaced.
constexpr int SilentIntervals = 2;
/// Heartbeats in one interval while a node has no configuration: it can do
/// nothing before, and one message more is cheap.
constexpr int BeatsBeforeBegun = 4;
/// Questions before their time are at least this part of an interval apart:
/// messages of many peers, or many late rounds, must not make one each.
constexpr int EarlyPart = 4;

} // namespace

Announcer::Announcer(AnnouncerOptions Options, peer::Member Self,
                     NodeCatalog &Catalog, PeerSink &Sink,
                     AnnouncerEvents &Events)
    : Options(std::move(Options)), Self(std::move(Self)), Catalog(Catalog),
      Sink(Sink), Events(Events), Search(this->Options.Controls) {}

void Announcer::tick(Instant Now, const InputProgress &Input) {
  this->Search.watch(Now.Steady, Input);
  // What was asked before may be answered here unread; a new question ends
  // the doubt within a round trip.
  bool WasBehind =
      Input.LastBehind > this->LastBeat && this->mayAskEarly(Now.Steady);
  this->watchSilence(Now.Steady);
  if (Now.Steady >= this->NextBeat || WasBehind)
    this->beat(Now);
  this->Events.onSearched(this->Search.searchedSince());
}

void Announcer::watchSilence(TimePoint Now) {
  auto Patience = SilentIntervals * this->period();
  if (!this->Search.isSearching())
    this->Search.leaveSilent(Patience, Now);
  bool Begun = this->Catalog.revision() > 0;
  if (!this->Search.isSearching() && Begun)
    this->Search.askOthersAfter(this->Options.AskOthersAfter, Now);
  if (!this->Search.isSearching())
    return;
  this->NextBeat = std::min(this->NextBeat, this->LastBeat + this->pause());
  for (const PeerRef &Silent : this->Search.takeSilent(Patience, Now))
    this->Sink.reconnect(Silent);
}

std::chrono::milliseconds Announcer::period() const {
  bool Begun = this->Catalog.revision() > 0;
  return Begun ? this->Options.Interval
               : this->Options.Interval / BeatsBeforeBegun;
}

std::chrono::milliseconds Announcer::pause() const {
  return this->Search.isSearching()
             ? std::min(this->Options.SearchEvery, this->period())
             : this->period();
}

bool Announcer::mayAskEarly(TimePoint Now) const {
  return this->LastBeat == TimePoint::min() ||
         Now - this->LastBeat >= this->Options.Interval / EarlyPart;
}

void Announcer::update(const std::function<void(peer::Member &)> &Change,
                       Instant Now) {
  Change(this->Self);
  this->beat(Now);
}

void Announcer::noteRevision(std::uint64_t Revision, Instant Now) {
  bool Behind = Revision > this->Catalog.revision();
  if (Behind)
    this->Events.onNewerRevision(Revision);
  if (Behind && this->mayAskEarly(Now.Steady))
    this->beat(Now);
}

void Announcer::beat(Instant Now) {
  this->LastBeat = Now.Steady;
  this->NextBeat = Now.Steady + this->pause();
  peer::Message Message;
  peer::Heartbeat *Beat = Message.mutable_heartbeat();
  *Beat->mutable_member() = this->Self;
  Beat->set_revision(this->Catalog.revision());
  Beat->set_table_term(this->TableTerm);
  Beat->set_table_version(this->TableVersion);
  Beat->set_sequence(++this->Sequence);
  this->Sink.send(this->Search.whom(), std::move(Message));
  this->Search.onAsked(this->Sequence, Now.Steady);
}

void Announcer::addControls(const std::vector<PeerRef> &Added) {
  this->Search.add(Added);
}

void Announcer::onRefused(const peer::HeartbeatReply &Reply, Instant Now) {
  bool Follow = this->Search.onRefused(Reply.sequence(), Reply.leader_address(),
                                       Now.Steady);
  if (Follow)
    this->NextBeat = TimePoint::min();
  else
    this->NextBeat = std::min(this->NextBeat, this->LastBeat + this->pause());
  this->Events.onSearched(this->Search.searchedSince());
}

void Announcer::onReply(const peer::HeartbeatReply &Reply, Instant Now) {
  // Meant for an earlier life of this node.
  if (Reply.incarnation() != this->Self.incarnation())
    return;
  if (Reply.known_incarnation() > this->Self.incarnation())
    this->Events.onOutranked(Reply.known_incarnation(), Now);
  // A replica's name changes when its host loses its disk; its address says
  // enough.
  std::vector<PeerRef> Told;
  for (const peer::Replica &Replica : Reply.replicas())
    Told.push_back({"", Replica.address()});
  this->addControls(Told);
  if (!Reply.accepted()) {
    this->onRefused(Reply, Now);
    return;
  }
  bool Asked = this->Search.isOpen(Reply.sequence());
  // A life begins with a whole state that a quorum has confirmed for it.
  bool Begun = this->Catalog.revision() > 0;
  if (!Asked && !Begun)
    return;
  if (Reply.has_catalog() && this->Catalog.merge(Reply.catalog()))
    this->Events.onCatalog(Now);
  if (Reply.has_members())
    this->takeMembers(Reply.members(), Now);
  if (!Asked) {
    this->Search.onPushed(Now.Steady);
    return;
  }
  // Counted from the question: the answer may have been long under way. Also
  // when another replica has been asked since: a quorum stood behind it.
  std::optional<TimePoint> Sent =
      this->Search.onConfirmed(Reply.sequence(), Now.Steady);
  // An update that does not fit what is held here has not been taken over.
  bool Holds = Reply.catalog().revision() <= this->Catalog.revision();
  if (Sent && Holds)
    this->Events.onConfirmed(*Sent);
}

void Announcer::takeMembers(const peer::MemberUpdate &Update, Instant Now) {
  if (!Update.partial() && !this->takeTable(Update, Now))
    return;
  for (const peer::Member &Member : Update.members()) {
    peer::Member &Known = this->Table[Member.name()];
    // Late words of an older life change nothing.
    if (Member.incarnation() < Known.incarnation())
      continue;
    bool Gone = Known.incarnation() == Member.incarnation() &&
                Known.state() == peer::MEMBER_LEAVING &&
                Member.state() == peer::MEMBER_ALIVE;
    if (Gone)
      continue;
    Known = Member;
    this->Events.onMember(Member, Now);
  }
}

bool Announcer::takeTable(const peer::MemberUpdate &Update, Instant Now) {
  bool SameTable = Update.term() == this->TableTerm;
  bool Older = Update.term() < this->TableTerm ||
               (SameTable && Update.version() < this->TableVersion);
  if (Older || (!SameTable && !Update.full()))
    return false;
  this->TableTerm = Update.term();
  this->TableVersion = Update.version();
  if (Update.full())
    this->dropMissing(Update, Now);
  return true;
}

void Announcer::dropMissing(const peer::MemberUpdate &Update, Instant Now) {
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
