#include "membership/control_search.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

/// Questions that may still be answered; several seconds of a search.
constexpr std::size_t MaxRemembered = 64;

} // namespace

ControlSearch::ControlSearch(std::vector<PeerRef> Known, SearchOptions Options)
    : Options(Options) {
  for (PeerRef &Peer : Known)
    this->Replicas.push_back({std::move(Peer)});
}

void ControlSearch::add(const std::vector<PeerRef> &More) {
  for (const PeerRef &New : More)
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

void ControlSearch::watch(TimePoint Now, const InputProgress &Input) {
  if (!keepsUp(Now, this->Watched, Input.LastIdle, this->Options.LongSpell))
    this->KeptUpSince = Now;
  this->Watched = Now;
  this->LastIdle = Input.LastIdle;
  this->LastBehind = Input.LastBehind;
}

// ---- Whom to ask ----

const PeerRef &ControlSearch::whom() const {
  return this->Replicas[this->Current].Peer;
}

std::size_t ControlSearch::leastRecentlyAsked() const {
  auto Least = std::min_element(
      this->Replicas.begin(), this->Replicas.end(),
      [](const Replica &A, const Replica &B) { return A.Asked < B.Asked; });
  return static_cast<std::size_t>(Least - this->Replicas.begin());
}

std::size_t ControlSearch::unanswered() const {
  return static_cast<std::size_t>(std::count_if(
      this->Open.begin(), this->Open.end(), [this](const auto &Item) {
        return Item.first > this->TurnedAt &&
               Item.second.Replica == this->Current;
      }));
}

std::optional<TimePoint> ControlSearch::oldestUnanswered() const {
  for (const auto &[Sequence, Asked] : this->Open)
    if (Sequence > this->TurnedAt && Asked.Replica == this->Current)
      return Asked.Sent;
  return std::nullopt;
}

void ControlSearch::askOthersAfter(std::chrono::milliseconds Patience,
                                   TimePoint Now) {
  std::optional<TimePoint> Oldest = this->oldestUnanswered();
  // Its answer may lie here unread.
  if (Oldest && Now - std::max(*Oldest, this->LastBehind) >= Patience)
    this->search("late", "", Now);
}

void ControlSearch::leaveSilent(std::chrono::milliseconds Patience,
                                TimePoint Now) {
  // Early questions are many in a short time, and say nothing by their number.
  std::optional<TimePoint> Oldest = this->oldestUnanswered();
  if (Oldest && this->unanswered() >= this->Options.MaxUnanswered &&
      Now - *Oldest >= Patience)
    this->search("silent", "", Now);
}

std::vector<PeerRef>
ControlSearch::takeSilent(std::chrono::milliseconds Patience, TimePoint Now) {
  std::vector<PeerRef> Silent;
  for (const auto &[Sequence, Asked] : this->Open) {
    Replica &Target = this->Replicas[Asked.Replica];
    // Its answer may lie here unread.
    TimePoint Since = std::max(Asked.Sent, this->LastBehind);
    bool Late = Asked.Sent >= Target.Connected && Now - Since >= Patience;
    if (!Late)
      continue;
    Target.Connected = Now;
    Silent.push_back(Target.Peer);
  }
  return Silent;
}

void ControlSearch::search(const char *Reason, const std::string &Named,
                           TimePoint Now) {
  if (!this->Searching) {
    this->SearchBegan = Now;
    this->SearchQuestions = 0;
    this->Log.decision("control_replica_left",
                       {{"replica", this->whom().Address},
                        {"reason", Reason},
                        {"named_leader", Named},
                        {"replicas_known", this->Replicas.size()}});
  }
  this->Searching = true;
  this->Current = this->leastRecentlyAsked();
  this->TurnedAt = this->Latest;
}

// ---- Questions and answers ----

void ControlSearch::onAsked(std::uint64_t Sequence, TimePoint Sent) {
  this->Latest = Sequence;
  this->Replicas[this->Current].Asked = Sent;
  this->Open[Sequence] = {this->Current, Sent};
  if (this->Open.size() > MaxRemembered)
    this->Open.erase(this->Open.begin());
  // While no replica answers, each is asked in its turn.
  if (!this->Searching)
    return;
  ++this->SearchQuestions;
  this->Current = this->leastRecentlyAsked();
}

std::optional<TimePoint> ControlSearch::onConfirmed(std::uint64_t Sequence,
                                                    TimePoint Now) {
  auto Found = this->Open.find(Sequence);
  if (Found == this->Open.end())
    return std::nullopt;
  Question Answered = Found->second;
  this->Open.erase(this->Open.begin(), std::next(Found));
  this->Current = Answered.Replica;
  if (this->Searching)
    this->Log.decision("control_replica_found",
                       {{"replica", this->whom().Address},
                        {"questions", this->SearchQuestions},
                        {"took_ms", millisBetween(this->SearchBegan, Now)}});
  this->Searching = false;
  for (Replica &Known : this->Replicas)
    Known.Refused = TimePoint::min();
  return Answered.Sent;
}

bool ControlSearch::onRefused(std::uint64_t Sequence, const std::string &Leader,
                              TimePoint Now) {
  auto Found = this->Open.find(Sequence);
  if (Found == this->Open.end())
    return false;
  Question Answered = Found->second;
  this->Open.erase(Found);
  Replica &From = this->Replicas[Answered.Replica];
  if (Answered.Sent >= From.Refused) {
    From.Refused = Answered.Sent;
    From.Named = Leader;
  }
  // A late word of a replica that was left long ago.
  if (!this->Searching && Answered.Replica != this->Current)
    return false;
  this->search("refused", Leader, Now);
  std::optional<std::size_t> Named = this->find(Leader);
  // A replica may name a leader of long ago. One that was asked since this
  // question was sent is not asked again for it: else two replicas that name
  // each other kept a node from all others (an old route table, 7 s too long).
  bool Follow = Named && *Named != Answered.Replica &&
                this->Replicas[*Named].Asked < Answered.Sent;
  if (Follow)
    this->Current = *Named;
  return Follow;
}

void ControlSearch::onPushed(TimePoint Now) {
  // Whatever was found before, there is a leader.
  this->KeptUpSince = Now;
  for (Replica &Known : this->Replicas)
    Known.Refused = TimePoint::min();
}

// ---- What is proved ----

TimePoint ControlSearch::inVain(std::size_t Which) const {
  TimePoint Result = this->Replicas[Which].Refused;
  for (const auto &[Sequence, Asked] : this->Open) {
    bool Silent = Asked.Replica == Which && Asked.Sent >= this->KeptUpSince &&
                  this->LastIdle - Asked.Sent >= this->Options.AnswerWithin;
    if (Silent)
      Result = std::max(Result, Asked.Sent);
  }
  return Result;
}

std::string ControlSearch::describeAnswers(TimePoint Now) const {
  std::string Text;
  for (const Replica &Known : this->Replicas) {
    bool Refused = Known.Refused != TimePoint::min() &&
                   Known.Refused >= Known.Asked - this->Options.AnswerWithin;
    Text += fmt::format("{}{} {}", Text.empty() ? "" : ", ", Known.Peer.Address,
                        Refused ? "refused" : "silent");
    if (Refused && !Known.Named.empty())
      Text += fmt::format(" for {}", Known.Named);
    if (Known.Asked != TimePoint::min())
      Text += fmt::format(" {} ms", millisBetween(Known.Asked, Now));
  }
  return Text;
}

bool ControlSearch::hasWitness() const {
  return std::ranges::any_of(this->Replicas, [this](const Replica &Witness) {
    bool IsFresh =
        Witness.Refused != TimePoint::min() &&
        Witness.Asked - Witness.Refused <= this->Options.AnswerWithin;
    if (!IsFresh)
      return false;
    std::optional<std::size_t> Leader = this->find(Witness.Named);
    if (!Leader)
      return !Witness.Named.empty();
    // A replica may name a leader of a moment ago.
    return this->Replicas[*Leader].Refused <
           Witness.Refused - this->Options.AnswerWithin;
  });
}

TimePoint ControlSearch::searchedSince() const {
  if (this->hasWitness())
    return TimePoint::min();
  TimePoint Since = TimePoint::max();
  for (std::size_t I = 0; I < this->Replicas.size(); ++I)
    Since = std::min(Since, this->inVain(I));
  return Since == TimePoint::max() ? TimePoint::min() : Since;
}

} // namespace yardwheel
