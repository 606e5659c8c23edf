#include "membership/announcer.h"

#include <algorithm>
#include <set>

namespace yardwheel {

namespace {

/// Heartbeats without a reply after which another replica is tried.
constexpr std::uint64_t MaxUnanswered = 2;
constexpr std::size_t MaxRemembered = 64;
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
      Sink(Sink), Events(Events) {}

void Announcer::tick(Instant Now, TimePoint LastBehind) {
  // What was asked before may be answered here unread; a new question ends
  // the doubt within a round trip.
  bool WasBehind = LastBehind > this->LastBeat && this->mayAskEarly(Now.Steady);
  if (Now.Steady < this->NextBeat && !WasBehind)
    return;
  if (this->isControlSilent(Now.Steady)) {
    this->Sink.reconnect(this->Options.Controls[this->Current]);
    this->Answered = this->Sequence;
    this->turnTo(this->Current + 1, "silent", "");
  }
  this->beat(Now);
}

std::chrono::milliseconds Announcer::period() const {
  bool Begun = this->Catalog.revision() > 0;
  return Begun ? this->Options.Interval
               : this->Options.Interval / BeatsBeforeBegun;
}

bool Announcer::mayAskEarly(TimePoint Now) const {
  return this->LastBeat == TimePoint::min() ||
         Now - this->LastBeat >= this->Options.Interval / EarlyPart;
}

bool Announcer::isControlSilent(TimePoint Now) const {
  if (this->Sequence - this->Answered < MaxUnanswered)
    return false;
  // Early questions are many in a short time, and say nothing by their number.
  auto Oldest = this->SentAt.upper_bound(this->Answered);
  return Oldest == this->SentAt.end() ||
         Now - Oldest->second >= MaxUnanswered * this->period();
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
  this->NextBeat = Now.Steady + this->period();
  peer::Message Message;
  peer::Heartbeat *Beat = Message.mutable_heartbeat();
  *Beat->mutable_member() = this->Self;
  Beat->set_revision(this->Catalog.revision());
  Beat->set_table_term(this->TableTerm);
  Beat->set_table_version(this->TableVersion);
  Beat->set_sequence(++this->Sequence);
  this->SentAt[this->Sequence] = Now.Steady;
  if (this->SentAt.size() > MaxRemembered)
    this->SentAt.erase(this->SentAt.begin());
  this->Sink.send(this->Options.Controls[this->Current], std::move(Message));
  this->Events.onAsked(Now.Steady);
}

void Announcer::turnTo(std::size_t Control, const char *Reason,
                       const std::string &NamedLeader) {
  std::size_t Next = Control % this->Options.Controls.size();
  if (Next != this->Current)
    this->Log.decision(
        "control_replica_left",
        {{"replica", this->Options.Controls[this->Current].Address},
         {"reason", Reason},
         {"named_leader", NamedLeader},
         {"asked_next", this->Options.Controls[Next].Address},
         {"replicas_known", this->Options.Controls.size()}});
  this->Current = Next;
}

void Announcer::addControls(const std::vector<PeerRef> &Added) {
  std::vector<PeerRef> &Known = this->Options.Controls;
  for (const PeerRef &New : Added) {
    bool Present =
        std::any_of(Known.begin(), Known.end(), [&](const PeerRef &Control) {
          return Control.Address == New.Address;
        });
    if (!Present)
      Known.push_back(New);
  }
}

void Announcer::follow(const std::string &LeaderAddress) {
  for (std::size_t I = 0; I < this->Options.Controls.size(); ++I) {
    if (this->Options.Controls[I].Address != LeaderAddress)
      continue;
    // Beat again at once, but never in a circle between two replicas.
    if (this->Current != I)
      this->NextBeat = TimePoint::min();
    this->turnTo(I, "refused", LeaderAddress);
    return;
  }
  this->Answered = this->Sequence;
  this->turnTo(this->Current + 1, "refused", LeaderAddress);
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
  bool Asked =
      Reply.sequence() > this->Answered && Reply.sequence() <= this->Sequence;
  if (!Reply.accepted()) {
    if (Asked) {
      this->Answered = Reply.sequence();
      this->follow(Reply.leader_address());
    }
    return;
  }
  // A life begins with a whole state that a quorum has confirmed for it.
  bool Begun = this->Catalog.revision() > 0;
  if (!Asked && !Begun)
    return;
  if (Reply.has_catalog() && this->Catalog.merge(Reply.catalog()))
    this->Events.onCatalog(Now);
  if (Reply.has_members())
    this->takeMembers(Reply.members(), Now);
  if (Asked)
    this->Answered = Reply.sequence();
  // Also when another replica has been asked since: a quorum stood behind it.
  this->confirm(Reply.sequence());
}

void Announcer::confirm(std::uint64_t Confirmed) {
  // Counted from the question: the answer may have been long under way.
  auto Sent = this->SentAt.find(Confirmed);
  if (Sent == this->SentAt.end())
    return;
  this->Events.onConfirmed(Sent->second);
  this->SentAt.erase(this->SentAt.begin(), std::next(Sent));
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
