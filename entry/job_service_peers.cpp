//===- JobService: messages from and to other processes -------------------===//

#include "entry/job_service.h"

#include <algorithm>

namespace yardwheel {

void JobService::onMessage(const PeerRef &From, const peer::Message &Message,
                           Instant Now) {
  switch (Message.body_case()) {
  case peer::Message::kClaimReply: {
    const peer::ClaimReply &Reply = Message.claim_reply();
    auto Found = this->Claims.find(Reply.attempt());
    if (Found == this->Claims.end())
      return;
    std::optional<ClaimDecision> Decision =
        Found->second.Claim->onReply(Reply, this->Sink);
    if (Decision)
      this->onDecision(Reply.attempt(), *Decision, Now);
    return;
  }
  case peer::Message::kTaskUpdate:
    this->Runner.onUpdate(From.Node, Message.task_update(), Now.Steady);
    return;
  case peer::Message::kAgentLoad:
    this->Runner.onLoad(From.Node, Message.agent_load(), Now.Steady);
    return;
  case peer::Message::kAttachRequest:
    this->onAttachRequest(From, Message.attach_request(), Now);
    return;
  case peer::Message::kAttachReply:
    this->onAttachReply(Message.attach_reply(), Now);
    return;
  default:
    return;
  }
}

// ---- Queries from callers ----

void JobService::query(const std::string &Key, QueryKind Kind, Ticket Waiter,
                       Instant Now) {
  Job *Known = this->find(Key);
  bool IsKnownHere = Known != nullptr && Known->Phase != JobPhase::Attached &&
                     !Known->Released;
  if (IsKnownHere) {
    if (Kind == QueryKind::Cancel && !Known->Outcome)
      this->cancel(*Known, Now);
    this->Outcomes.onOutcome(Waiter,
                             Known->Outcome ? &*Known->Outcome : nullptr);
    return;
  }
  if (this->Ended.find(Key)) {
    peer::JobOutcome Expired = failureOutcome(answerExpired());
    this->Outcomes.onOutcome(Waiter, &Expired);
    return;
  }
  PendingClaim Claim;
  Claim.PendingQuery = Query{Key, Kind, Waiter};
  Claim.GiveUpAt = Now.Steady + this->Options.Claims.Timeout;
  this->openClaim(std::move(Claim), toUnixMillis(Now.Wall), 0, Now);
}

void JobService::onQueryDecision(const Query &PendingQuery,
                                 const ClaimDecision &Decision, Instant Now) {
  if (Decision.Result == ClaimResult::Held) {
    AttachMode Mode = PendingQuery.Kind == QueryKind::Cancel
                          ? AttachMode::Cancel
                          : AttachMode::Peek;
    Ticket Request =
        this->Registry.open(PendingQuery.Key, Decision.Owner,
                            Decision.Fingerprint, Mode, Now.Steady);
    this->Attaches[Request] = {"", PendingQuery};
    return;
  }
  FailureSpec Failure;
  Failure.Step = "claim";
  Failure.Ran = peer::RAN_UNKNOWN;
  if (Decision.Result == ClaimResult::Absent) {
    Failure.Kind = peer::FAILURE_NOT_FOUND;
    Failure.Reason = "no such job is known";
  } else {
    Failure.Kind = peer::FAILURE_UNAVAILABLE;
    Failure.Reason = "too few ledger holders answered";
    Failure.RetryAfter = std::chrono::seconds(1);
  }
  peer::JobOutcome Outcome = failureOutcome(Failure);
  this->Outcomes.onOutcome(PendingQuery.Waiter, &Outcome);
}

// ---- Requests from other entries ----

void JobService::onAttachRequest(const PeerRef &From,
                                 const peer::AttachRequest &Request,
                                 Instant Now) {
  RemoteWaiter Asker{From, Request.ticket(), Request.asker_incarnation()};
  Job *Known = this->find(Request.job_key());
  bool SameIncarnation =
      Request.owner_incarnation() == this->Options.Self.incarnation();
  bool IsOwnedHere = Known != nullptr && Known->Phase != JobPhase::Attached &&
                     !Known->Released && SameIncarnation;
  std::optional<std::uint64_t> EndedFingerprint =
      this->Ended.find(Request.job_key());
  if (!IsOwnedHere && SameIncarnation && EndedFingerprint) {
    bool Same = *EndedFingerprint == Request.fingerprint();
    peer::JobOutcome Expired =
        failureOutcome(Same ? answerExpired() : idConflict());
    this->replyAttach(Asker, peer::ATTACH_ANSWERED, &Expired);
    return;
  }
  if (!IsOwnedHere) {
    if (SameIncarnation)
      this->releaseStaleGrant(Request.job_key());
    this->replyAttach(Asker, peer::ATTACH_NOT_MINE, nullptr);
    return;
  }
  if (Known->Request.Fingerprint != Request.fingerprint()) {
    this->replyAttach(Asker, peer::ATTACH_CONFLICT, nullptr);
    return;
  }
  if (Request.cancel() && !Known->Outcome)
    this->cancel(*Known, Now);
  if (Known->Outcome) {
    this->replyAttach(Asker, peer::ATTACH_ANSWERED, &*Known->Outcome);
    return;
  }
  auto IsSame = [&](const RemoteWaiter &Waiter) {
    return Waiter.Entry.Node == From.Node &&
           Waiter.RemoteTicket == Asker.RemoteTicket &&
           Waiter.RemoteIncarnation == Asker.RemoteIncarnation;
  };
  bool Listed = std::any_of(Known->RemoteWaiters.begin(),
                            Known->RemoteWaiters.end(), IsSame);
  // A waiting entry is sent the outcome when the job ends. Only an entry that
  // peeks or that repeats its request is told that the job is still pending.
  if (!Request.peek() && !Listed) {
    Known->RemoteWaiters.push_back(Asker);
    return;
  }
  this->replyAttach(Asker, peer::ATTACH_PENDING, nullptr);
}

void JobService::releaseStaleGrant(const std::string &Key) {
  // The release of an earlier claim was lost, so the grant remained. No task
  // was or will be started.
  PendingClaim Claim;
  Claim.JobKey = Key;
  Instant Unused{};
  if (this->prepareClaim(Claim, this->LastAttempt, 0, 0, Unused))
    Claim.Claim->release(this->Sink);
}

void JobService::replyAttach(const RemoteWaiter &To, peer::AttachState State,
                             const peer::JobOutcome *Outcome) {
  peer::Message Message;
  peer::AttachReply *Reply = Message.mutable_attach_reply();
  Reply->set_ticket(To.RemoteTicket);
  Reply->set_asker_incarnation(To.RemoteIncarnation);
  Reply->set_state(State);
  if (Outcome != nullptr)
    *Reply->mutable_outcome() = *Outcome;
  this->Sink.send(To.Entry, std::move(Message));
}

// ---- Replies from owning entries ----

void JobService::onAttachReply(const peer::AttachReply &Reply, Instant Now) {
  auto Found = this->Attaches.find(Reply.ticket());
  if (Found == this->Attaches.end() ||
      !this->Registry.onReply(Reply, Now.Steady))
    return;
  switch (Reply.state()) {
  case peer::ATTACH_PENDING:
    if (Found->second.PendingQuery)
      this->closeAttach(Reply.ticket(), nullptr, Now.Steady);
    return;
  case peer::ATTACH_ANSWERED:
    this->closeAttach(Reply.ticket(), &Reply.outcome(), Now.Steady);
    return;
  default:
    break;
  }
  FailureSpec Failure;
  Failure.Step = "attach";
  Failure.Peer = this->Registry.ownerOf(Reply.ticket()).entry();
  Failure.Ran = peer::RAN_UNKNOWN;
  if (Reply.state() == peer::ATTACH_CONFLICT) {
    Failure.Kind = peer::FAILURE_CONFLICT;
    Failure.Ran = peer::RAN_NOT_RUN;
    Failure.Reason = "the id was submitted before with other content";
  } else {
    Failure.Kind = peer::FAILURE_PEER_LOST;
    Failure.Reason = "the entry that owned the job no longer knows it";
    Failure.RetryAfter = std::chrono::seconds(1);
  }
  peer::JobOutcome Outcome = failureOutcome(Failure);
  this->closeAttach(Reply.ticket(), &Outcome, Now.Steady);
}

void JobService::closeAttach(Ticket Request, const peer::JobOutcome *Outcome,
                             TimePoint Now) {
  OpenAttach Closed = this->Attaches.at(Request);
  this->Attaches.erase(Request);
  this->Registry.close(Request);
  if (Closed.PendingQuery) {
    this->Outcomes.onOutcome(Closed.PendingQuery->Waiter, Outcome);
    return;
  }
  Job *Target = this->find(Closed.JobKey);
  if (Target == nullptr || Target->Phase != JobPhase::Attached ||
      Outcome == nullptr)
    return;
  // The owner retains the answer, so no copy is kept here.
  Target->Released = true;
  this->finish(*Target, *Outcome, Now);
}

} // namespace yardwheel
