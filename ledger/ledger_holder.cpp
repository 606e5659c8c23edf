#include "ledger/ledger_holder.h"

#include <algorithm>

namespace yardwheel {

namespace {

bool isHolderOf(const peer::HolderGroup &Group, const std::string &Name) {
  return std::find(Group.holders().begin(), Group.holders().end(), Name) !=
         Group.holders().end();
}

bool isSameOwner(const peer::Owner &A, const peer::Owner &B) {
  return A.entry() == B.entry() && A.incarnation() == B.incarnation();
}

} // namespace

LedgerHolder::LedgerHolder(std::string Name, LedgerOptions Options)
    : Name(std::move(Name)), Options(Options) {}

void LedgerHolder::setGroups(const CatalogView &View, WallTime Now) {
  for (const auto &[Number, Group] : View.Groups) {
    if (!isHolderOf(Group, this->Name)) {
      this->GroupStates.erase(Number);
      continue;
    }
    // Ids claimed before this holder joined the group may be stamped up to one
    // clock allowance ahead, by a clock that differs from this one by another
    // allowance.
    auto [State, New] = this->GroupStates.try_emplace(Number);
    if (New)
      State->second.RecordsCompleteSince =
          Now + 2 * this->Options.ClockAllowance;
    State->second.Epoch = Group.epoch();
    State->second.Sealed = Group.sealed();
  }
}

peer::ClaimReply LedgerHolder::onClaim(const peer::ClaimRequest &Request,
                                       WallTime Now) {
  peer::ClaimReply Reply;
  Reply.set_job_key(Request.job_key());
  Reply.set_attempt(Request.attempt());
  Reply.set_holder(this->Name);
  Reply.set_asker_incarnation(Request.owner().incarnation());
  Reply.set_verdict(this->evaluate(Request, Now, Reply));
  return Reply;
}

peer::ClaimVerdict LedgerHolder::evaluate(const peer::ClaimRequest &Request,
                                          WallTime Now,
                                          peer::ClaimReply &Reply) {
  auto State = this->GroupStates.find(Request.group());
  if (State == this->GroupStates.end())
    return peer::CLAIM_WRONG_EPOCH;
  Reply.set_epoch(State->second.Epoch);
  if (State->second.Sealed || State->second.Epoch != Request.epoch())
    return peer::CLAIM_WRONG_EPOCH;

  auto Known = this->Records.find(Request.job_key());
  if (Known != this->Records.end() && !Known->second.Owner.entry().empty() &&
      (Request.read_only() ||
       !isSameOwner(Known->second.Owner, Request.owner()))) {
    *Reply.mutable_owner() = Known->second.Owner;
    Reply.set_fingerprint(Known->second.Fingerprint);
    return peer::CLAIM_HELD;
  }
  if (Known == this->Records.end()) {
    peer::ClaimVerdict Verdict = this->checkStamp(Request, State->second, Now);
    if (Verdict != peer::CLAIM_GRANTED)
      return Verdict;
  }
  if (Request.read_only())
    return peer::CLAIM_ABSENT;
  // A delayed duplicate of a released claim must not claim the id again.
  if (Known != this->Records.end() &&
      Request.attempt() <= Known->second.Attempt &&
      Known->second.Owner.entry().empty() &&
      Request.owner().incarnation() == Known->second.Owner.incarnation())
    return peer::CLAIM_ABSENT;
  this->record(Request);
  return peer::CLAIM_GRANTED;
}

peer::ClaimVerdict LedgerHolder::checkStamp(const peer::ClaimRequest &Request,
                                            const GroupState &State,
                                            WallTime Now) const {
  WallTime Stamp = fromUnixMillis(Request.stamp_ms());
  if (Stamp > Now + this->Options.ClockAllowance)
    return peer::CLAIM_IN_FUTURE;
  if (Stamp < Now - this->Options.Retention)
    return peer::CLAIM_EXPIRED;
  if (this->Options.RefuseUnknownPast && Stamp <= State.RecordsCompleteSince)
    return peer::CLAIM_CANNOT_KNOW;
  return peer::CLAIM_GRANTED;
}

void LedgerHolder::record(const peer::ClaimRequest &Request) {
  auto [Target, New] = this->Records.try_emplace(Request.job_key());
  if (New)
    this->InsertionOrder.push_back(Request.job_key());
  // A delayed duplicate of an earlier attempt must not lower the recorded
  // attempt, or that attempt's release would release the current claim.
  bool IsSameOwner = isSameOwner(Target->second.Owner, Request.owner());
  std::uint64_t Newest = std::max(Target->second.Attempt, Request.attempt());
  Target->second.Attempt = IsSameOwner ? Newest : Request.attempt();
  Target->second.Owner = Request.owner();
  Target->second.Fingerprint = Request.fingerprint();
  Target->second.Stamp = fromUnixMillis(Request.stamp_ms());
}

void LedgerHolder::onRelease(const peer::ClaimRelease &Release) {
  auto Known = this->Records.find(Release.job_key());
  if (Known == this->Records.end())
    return;
  Record &Target = Known->second;
  if (!isSameOwner(Target.Owner, Release.owner()) ||
      Target.Attempt > Release.attempt())
    return;
  // Keep the incarnation and the attempt to recognise delayed duplicates.
  Target.Owner.clear_entry();
  Target.Attempt = Release.attempt();
}

void LedgerHolder::expire(WallTime Now) {
  // Records outlive the retention, so that ids are rejected as expired before
  // their records are removed.
  WallTime Limit =
      Now - this->Options.Retention - 2 * this->Options.ClockAllowance;
  while (!this->InsertionOrder.empty()) {
    auto Oldest = this->Records.find(this->InsertionOrder.front());
    if (Oldest != this->Records.end()) {
      if (Oldest->second.Stamp >= Limit)
        return;
      this->Records.erase(Oldest);
    }
    this->InsertionOrder.pop_front();
  }
}

} // namespace yardwheel
