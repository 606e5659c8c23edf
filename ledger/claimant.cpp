#include "ledger/claimant.h"

#include "core/hash.h"

#include <algorithm>

namespace yardwheel {

namespace {

ClaimDecision makeDecision(ClaimResult Result) {
  ClaimDecision Decision;
  Decision.Result = Result;
  return Decision;
}

ClaimDecision makeHeldDecision(const peer::ClaimReply &Reply) {
  ClaimDecision Decision;
  Decision.Result = ClaimResult::Held;
  Decision.Owner = Reply.owner();
  Decision.Fingerprint = Reply.fingerprint();
  return Decision;
}

} // namespace

std::uint32_t groupOf(const std::string &JobKey, std::uint32_t GroupCount) {
  return static_cast<std::uint32_t>(stableHash(JobKey) % GroupCount);
}

Claimant::Claimant(peer::ClaimRequest Request, std::vector<PeerRef> Holders,
                   ClaimTimes Times, TimePoint Now, bool LikelyHeld)
    : Request(std::move(Request)), Holders(std::move(Holders)),
      Replies(this->Holders.size()), OnlyFirstAsked(LikelyHeld), Times(Times),
      Deadline(Now + Times.Timeout), NextSend(Now + Times.ResendInterval) {}

void Claimant::sendRequests(PeerSink &Sink) {
  for (std::size_t I = 0; I < this->Holders.size(); ++I) {
    const std::optional<peer::ClaimReply> &Known = this->Replies[I];
    if (Known && Known->verdict() == peer::CLAIM_GRANTED)
      continue;
    if (this->OnlyFirstAsked && I > 0)
      return;
    peer::Message Message;
    *Message.mutable_claim_request() = this->Request;
    Sink.send(this->Holders[I], std::move(Message));
  }
}

void Claimant::release(PeerSink &Sink) const {
  for (std::size_t I = 0; I < this->Holders.size(); ++I) {
    const std::optional<peer::ClaimReply> &Known = this->Replies[I];
    bool NothingToRelease =
        (Known && Known->verdict() != peer::CLAIM_GRANTED) ||
        (this->OnlyFirstAsked && I > 0) || this->Request.read_only();
    if (NothingToRelease)
      continue;
    const PeerRef &Holder = this->Holders[I];
    peer::Message Message;
    peer::ClaimRelease *Release = Message.mutable_claim_release();
    Release->set_job_key(this->Request.job_key());
    *Release->mutable_owner() = this->Request.owner();
    Release->set_attempt(this->Request.attempt());
    Release->set_group(this->Request.group());
    Sink.send(Holder, std::move(Message));
  }
}

std::optional<ClaimDecision> Claimant::onReply(const peer::ClaimReply &Reply,
                                               PeerSink &Sink) {
  // Attempt numbers restart with each incarnation of an entry.
  bool IsForThisClaim =
      Reply.attempt() == this->Request.attempt() &&
      Reply.job_key() == this->Request.job_key() &&
      Reply.asker_incarnation() == this->Request.owner().incarnation();
  if (!IsForThisClaim)
    return std::nullopt;
  for (std::size_t I = 0; I < this->Holders.size(); ++I) {
    if (this->Holders[I].Node != Reply.holder())
      continue;
    std::optional<peer::ClaimReply> &Known = this->Replies[I];
    // A grant remains valid until this claim releases it.
    if (!Known || Known->verdict() != peer::CLAIM_GRANTED)
      Known = Reply;
  }
  if (this->OnlyFirstAsked && Reply.verdict() != peer::CLAIM_HELD) {
    this->OnlyFirstAsked = false;
    this->sendRequests(Sink);
  }
  return this->decide();
}

std::optional<ClaimDecision> Claimant::onTick(TimePoint Now, PeerSink &Sink) {
  if (Now >= this->Deadline)
    return this->decideOnTimeout();
  if (Now >= this->NextSend) {
    this->NextSend = Now + this->Times.ResendInterval;
    this->OnlyFirstAsked = false;
    this->sendRequests(Sink);
  }
  return std::nullopt;
}

std::size_t Claimant::count(peer::ClaimVerdict Verdict) const {
  return static_cast<std::size_t>(std::count_if(
      this->Replies.begin(), this->Replies.end(),
      [&](const auto &Reply) { return Reply && Reply->verdict() == Verdict; }));
}

const peer::ClaimReply *Claimant::heldReply() const {
  for (const std::optional<peer::ClaimReply> &Reply : this->Replies)
    if (Reply && Reply->verdict() == peer::CLAIM_HELD)
      return &*Reply;
  return nullptr;
}

std::size_t Claimant::countHeldBy(const peer::Owner &Owner) const {
  return static_cast<std::size_t>(std::count_if(
      this->Replies.begin(), this->Replies.end(), [&](const auto &Reply) {
        return Reply && Reply->verdict() == peer::CLAIM_HELD &&
               Reply->owner().entry() == Owner.entry() &&
               Reply->owner().incarnation() == Owner.incarnation();
      }));
}

std::optional<ClaimDecision> Claimant::decideHeld() const {
  for (const std::optional<peer::ClaimReply> &Reply : this->Replies) {
    if (!Reply || Reply->verdict() != peer::CLAIM_HELD)
      continue;
    bool Decided = this->countHeldBy(Reply->owner()) >= HolderMajority;
    bool Yields = this->Request.owner().entry() > Reply->owner().entry();
    if (Decided || Yields || this->OnlyFirstAsked || this->Request.read_only())
      return makeHeldDecision(*Reply);
  }
  return std::nullopt;
}

std::optional<ClaimDecision> Claimant::decide() const {
  if (this->count(peer::CLAIM_GRANTED) >= HolderMajority)
    return makeDecision(ClaimResult::Won);
  std::optional<ClaimDecision> Held = this->decideHeld();
  if (Held)
    return Held;
  struct Row {
    peer::ClaimVerdict Verdict;
    ClaimResult Result;
  };
  static constexpr Row Rows[] = {
      {peer::CLAIM_CANNOT_KNOW, ClaimResult::Unknown},
      {peer::CLAIM_EXPIRED, ClaimResult::Expired},
      {peer::CLAIM_IN_FUTURE, ClaimResult::InFuture},
      {peer::CLAIM_ABSENT, ClaimResult::Absent},
      {peer::CLAIM_WRONG_EPOCH, ClaimResult::WrongEpoch},
  };
  for (const Row &Candidate : Rows)
    if (this->count(Candidate.Verdict) >= HolderMajority)
      return makeDecision(Candidate.Result);
  return std::nullopt;
}

ClaimDecision Claimant::decideOnTimeout() const {
  if (const peer::ClaimReply *Held = this->heldReply())
    return makeHeldDecision(*Held);
  if (this->count(peer::CLAIM_CANNOT_KNOW) > 0)
    return makeDecision(ClaimResult::Unknown);
  return makeDecision(ClaimResult::Unavailable);
}

} // namespace yardwheel
