#include "membership/control_search.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

/// Pending requests that are kept; covers several seconds of a search.
constexpr std::size_t MaxPendingRequests = 64;

} // namespace

ControlSearch::ControlSearch(std::vector<PeerRef> Known, SearchOptions Options)
    : Options(Options) {
  for (PeerRef &Peer : Known)
    this->Replicas.push_back({std::move(Peer)});
}

void ControlSearch::add(const std::vector<PeerRef> &Added) {
  for (const PeerRef &New : Added)
    if (!this->find(New.Address))
      this->Replicas.push_back({New});
}

std::optional<std::size_t>
ControlSearch::find(const std::string &Address) const {
  for (std::size_t I = 0; I < this->Replicas.size(); ++I)
    if (this->Replicas[I].Peer.Address == Address)
      return I;
  return std::nullopt;
}

void ControlSearch::noteInputProgress(TimePoint Now,
                                      const InputProgress &Input) {
  if (!keepsUpWithInput(Now, this->LastProgressCheck, Input.LastIdle,
                        this->Options.MaxInputDelay))
    this->SilenceCountsSince = Now;
  this->LastProgressCheck = Now;
  this->LastIdle = Input.LastIdle;
}

// ---- Selection of a replica ----

const PeerRef &ControlSearch::target() const {
  return this->Replicas[this->Current].Peer;
}

std::size_t ControlSearch::leastRecentlyAsked() const {
  auto Least = std::min_element(this->Replicas.begin(), this->Replicas.end(),
                                [](const Replica &A, const Replica &B) {
                                  return A.LastAsked < B.LastAsked;
                                });
  return static_cast<std::size_t>(Least - this->Replicas.begin());
}

std::size_t ControlSearch::unansweredCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->PendingRequests.begin(), this->PendingRequests.end(),
                    [this](const auto &Item) {
                      return Item.first > this->SelectedAtSequence &&
                             Item.second.Replica == this->Current;
                    }));
}

std::optional<TimePoint> ControlSearch::oldestUnanswered() const {
  for (const auto &[Sequence, Pending] : this->PendingRequests)
    if (Sequence > this->SelectedAtSequence && Pending.Replica == this->Current)
      return Pending.Sent;
  return std::nullopt;
}

void ControlSearch::startSearch(TimePoint Now) {
  this->SearchStart = Now;
  this->Searching = true;
}

void ControlSearch::searchIfLate(std::chrono::milliseconds Timeout,
                                 TimePoint Now) {
  std::optional<TimePoint> Oldest = this->oldestUnanswered();
  // A reply that came after LastIdle may be unread in this process.
  if (Oldest && this->LastIdle >= *Oldest + Timeout)
    this->advanceSearch("late", "", Now);
}

void ControlSearch::searchIfSilent(std::chrono::milliseconds Timeout,
                                   TimePoint Now) {
  // Requests sent ahead of schedule are many within a short time, so their
  // number alone does not indicate a silent replica.
  std::optional<TimePoint> Oldest = this->oldestUnanswered();
  if (Oldest &&
      this->unansweredCount() >= this->Options.MaxUnansweredRequests &&
      Now - *Oldest >= Timeout)
    this->advanceSearch("silent", "", Now);
}

std::vector<PeerRef>
ControlSearch::takeSilentReplicas(std::chrono::milliseconds Timeout,
                                  TimePoint Now) {
  std::vector<PeerRef> Silent;
  for (const auto &[Sequence, Pending] : this->PendingRequests) {
    Replica &Target = this->Replicas[Pending.Replica];
    // A reply that came after LastIdle may be unread in this process.
    bool Late = Pending.Sent >= Target.ConnectedSince &&
                this->LastIdle >= Pending.Sent + Timeout;
    if (!Late)
      continue;
    Target.ConnectedSince = Now;
    Silent.push_back(Target.Peer);
  }
  return Silent;
}

void ControlSearch::advanceSearch(const char *Reason, const std::string &Named,
                                  TimePoint Now) {
  if (!this->Searching) {
    this->SearchStart = Now;
    this->SearchRequests = 0;
    this->Log.decision("control_replica_left",
                       {{"replica", this->target().Address},
                        {"reason", Reason},
                        {"named_leader", Named},
                        {"replicas_known", this->Replicas.size()}});
  }
  this->Searching = true;
  this->Current = this->leastRecentlyAsked();
  this->SelectedAtSequence = this->LatestSequence;
}

// ---- Requests and replies ----

void ControlSearch::onRequestSent(std::uint64_t Sequence, TimePoint Sent) {
  this->LatestSequence = Sequence;
  this->Replicas[this->Current].LastAsked = Sent;
  this->PendingRequests[Sequence] = {this->Current, Sent};
  if (this->PendingRequests.size() > MaxPendingRequests)
    this->PendingRequests.erase(this->PendingRequests.begin());
  // During a search, all replicas are asked in turn.
  if (!this->Searching)
    return;
  ++this->SearchRequests;
  this->Current = this->leastRecentlyAsked();
}

std::optional<TimePoint> ControlSearch::onConfirmed(std::uint64_t Sequence,
                                                    TimePoint Now) {
  auto Found = this->PendingRequests.find(Sequence);
  if (Found == this->PendingRequests.end())
    return std::nullopt;
  PendingRequest Answered = Found->second;
  this->PendingRequests.erase(this->PendingRequests.begin(), std::next(Found));
  this->Current = Answered.Replica;
  if (this->Searching)
    this->Log.decision("control_replica_found",
                       {{"replica", this->target().Address},
                        {"questions", this->SearchRequests},
                        {"took_ms", millisBetween(this->SearchStart, Now)}});
  this->Searching = false;
  for (Replica &Known : this->Replicas)
    Known.LastRefused = TimePoint::min();
  return Answered.Sent;
}

bool ControlSearch::onRefused(std::uint64_t Sequence, const std::string &Leader,
                              TimePoint Now) {
  auto Found = this->PendingRequests.find(Sequence);
  if (Found == this->PendingRequests.end())
    return false;
  PendingRequest Answered = Found->second;
  this->PendingRequests.erase(Found);
  Replica &From = this->Replicas[Answered.Replica];
  if (Answered.Sent >= From.LastRefused) {
    From.LastRefused = Answered.Sent;
    From.NamedLeader = Leader;
  }
  // A late refusal of a replica that is no longer the current one.
  if (!this->Searching && Answered.Replica != this->Current)
    return false;
  this->advanceSearch("refused", Leader, Now);
  std::optional<std::size_t> Named = this->find(Leader);
  // The named leader may be a former one, so it is asked at once only if it has
  // not been asked since this request was sent. Otherwise two replicas that
  // name each other keep a node from asking any other replica, which kept an
  // outdated route table in use for 7 s too long.
  bool Follow = Named && *Named != Answered.Replica &&
                this->Replicas[*Named].LastAsked < Answered.Sent;
  if (Follow)
    this->Current = *Named;
  return Follow;
}

void ControlSearch::onUnsolicitedReply(TimePoint Now) {
  // There is a leader, so earlier refusals and missing replies no longer count.
  this->SilenceCountsSince = Now;
  for (Replica &Known : this->Replicas)
    Known.LastRefused = TimePoint::min();
}

// ---- Evidence that there is no leader ----

TimePoint ControlSearch::lastFailedRequest(std::size_t Which) const {
  TimePoint Result = this->Replicas[Which].LastRefused;
  for (const auto &[Sequence, Pending] : this->PendingRequests) {
    bool Silent = Pending.Replica == Which &&
                  Pending.Sent >= this->SilenceCountsSince &&
                  this->LastIdle - Pending.Sent >= this->Options.ReplyTimeout;
    if (Silent)
      Result = std::max(Result, Pending.Sent);
  }
  return Result;
}

std::string ControlSearch::describeReplies(TimePoint Now) const {
  std::string Text;
  for (const Replica &Known : this->Replicas) {
    bool Refused =
        Known.LastRefused != TimePoint::min() &&
        Known.LastRefused >= Known.LastAsked - this->Options.ReplyTimeout;
    Text += fmt::format("{}{} {}", Text.empty() ? "" : "; ", Known.Peer.Address,
                        Refused ? "refused" : "silent");
    if (Refused && !Known.NamedLeader.empty())
      Text += fmt::format(" (named leader {})", Known.NamedLeader);
    if (Known.LastAsked != TimePoint::min())
      Text +=
          fmt::format(", asked {} ms ago", millisBetween(Known.LastAsked, Now));
  }
  return Text;
}

bool ControlSearch::hasReportedLeader() const {
  return std::ranges::any_of(this->Replicas, [this](const Replica &Reporter) {
    bool IsFresh =
        Reporter.LastRefused != TimePoint::min() &&
        Reporter.LastAsked - Reporter.LastRefused <= this->Options.ReplyTimeout;
    if (!IsFresh)
      return false;
    std::optional<std::size_t> Leader = this->find(Reporter.NamedLeader);
    if (!Leader)
      return !Reporter.NamedLeader.empty();
    // The named leader may have stepped down only a moment ago.
    return this->Replicas[*Leader].LastRefused <
           Reporter.LastRefused - this->Options.ReplyTimeout;
  });
}

TimePoint ControlSearch::noLeaderSince() const {
  if (this->hasReportedLeader())
    return TimePoint::min();
  TimePoint Since = TimePoint::max();
  for (std::size_t I = 0; I < this->Replicas.size(); ++I)
    Since = std::min(Since, this->lastFailedRequest(I));
  return Since == TimePoint::max() ? TimePoint::min() : Since;
}

} // namespace yardwheel
