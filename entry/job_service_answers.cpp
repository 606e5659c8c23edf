//===- JobService: ends jobs and retains answers --------------------------===//

#include "entry/job_service.h"

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds ExpiryRetryDelay{1000};

} // namespace

// ---- Finishing jobs and retaining answers ----

void JobService::onComplete(Job &Target, TimePoint Now) {
  peer::JobOutcome Outcome;
  Outcome.set_complete(true);
  for (std::string &Result : Target.Results)
    Outcome.add_results(std::move(Result));
  this->finish(Target, std::move(Outcome), Now);
}

void JobService::onFailed(Job &Target, const FailureSpec &Failure,
                          TimePoint Now) {
  if (Target.Phase != JobPhase::Finished)
    this->finish(Target, failureOutcome(Failure), Now);
}

void JobService::finish(Job &Target, peer::JobOutcome Outcome, TimePoint Now) {
  bool WasRunning = Target.Phase == JobPhase::Running;
  Target.Phase = JobPhase::Finished;
  Target.Outcome = std::move(Outcome);
  --this->ActiveJobs;
  if (WasRunning) {
    this->Runner.stop(Target, Now);
    const auto &Pools = this->Runner.pools();
    auto FoundPool = Pools.find(Target.PoolName);
    this->Observer.onJobEnded(
        Target,
        FoundPool == Pools.end() ? 0 : FoundPool->second.Upstreams.aliveSlots(),
        Now);
  }
  for (Ticket Waiter : Target.Waiters)
    this->Outcomes.onOutcome(Waiter, &*Target.Outcome);
  for (const RemoteWaiter &Waiter : Target.RemoteWaiters)
    this->replyAttach(Waiter, peer::ATTACH_ANSWERED, &*Target.Outcome);
  Target.Waiters.clear();
  Target.RemoteWaiters.clear();
  Target.Request.Tasks.clear();
  Target.Request.Tasks.shrink_to_fit();
  this->keepAnswer(Target, Now);
}

void JobService::keepAnswer(Job &Target, TimePoint Now) {
  std::chrono::milliseconds Keep(Target.Limits.answer_retention_ms());
  Target.KeepUntil = Now + Keep;
  Target.AnswerBytes = Target.Outcome->ByteSizeLong();
  this->KeptBytes += Target.AnswerBytes;
  this->KeptAnswers.push_back(Target.Request.key());
  this->Expiries.emplace(Target.KeepUntil, Target.Request.key());
}

void JobService::dropOldestAnswers(TimePoint Now) {
  while (this->KeptBytes > this->Options.MaxAnswerBytes &&
         !this->KeptAnswers.empty()) {
    std::string Key = std::move(this->KeptAnswers.front());
    this->KeptAnswers.pop_front();
    Job *Oldest = this->find(Key);
    if (Oldest == nullptr || Oldest->Phase != JobPhase::Finished)
      continue;
    Oldest->KeepUntil = Now;
    this->expire(Key, Now);
  }
}

void JobService::finishReleased(Job &Target, const FailureSpec &Failure,
                                TimePoint Now) {
  Target.Released = true;
  this->finish(Target, failureOutcome(Failure), Now);
}

void JobService::cancel(Job &Target, Instant Now) {
  FailureSpec Failure;
  Failure.Kind = peer::FAILURE_CANCELLED;
  Failure.Step = "cancel";
  Failure.Reason = "cancelled by the caller";
  Failure.Ran = Target.Phase == JobPhase::Running
                    ? Target.ran()
                    : Target.Request.ranBeforeClaim();
  this->finish(Target, failureOutcome(Failure), Now.Steady);
}

void JobService::tick(Instant Now) {
  this->tickClaims(Now);
  this->Runner.tick(Now.Steady);
  this->tickDeadlines(Now.Steady);
  this->tickExpiries(Now.Steady);
  for (Ticket Silent : this->Registry.tick(Now.Steady)) {
    FailureSpec Failure;
    Failure.Kind = peer::FAILURE_PEER_LOST;
    Failure.Ran = peer::RAN_UNKNOWN;
    Failure.Step = "attach";
    Failure.Peer = this->Registry.ownerOf(Silent).entry();
    Failure.Reason = "the entry that owns the job does not answer";
    peer::JobOutcome Outcome = failureOutcome(Failure);
    this->closeAttach(Silent, &Outcome, Now.Steady);
  }
}

void JobService::tickDeadlines(TimePoint Now) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    Job *Target = this->find(this->Deadlines.begin()->second);
    this->Deadlines.erase(this->Deadlines.begin());
    if (Target == nullptr || Target->Phase == JobPhase::Finished ||
        Now < Target->Deadline)
      continue;
    FailureSpec Failure;
    Failure.Kind = peer::FAILURE_DEADLINE;
    Failure.Step = Target->Phase == JobPhase::Running ? "execute" : "claim";
    Failure.Reason = "the deadline has passed";
    Failure.Ran = Target->Phase == JobPhase::Running
                      ? Target->ran()
                      : Target->Request.ranBeforeClaim();
    this->finish(*Target, failureOutcome(Failure), Now);
  }
}

void JobService::tickExpiries(TimePoint Now) {
  this->Ended.expire(Now);
  while (!this->Expiries.empty() && this->Expiries.begin()->first <= Now) {
    std::string Key = this->Expiries.begin()->second;
    this->Expiries.erase(this->Expiries.begin());
    this->expire(Key, Now);
  }
  this->dropOldestAnswers(Now);
  // Drop the keys of jobs that have already expired.
  while (!this->KeptAnswers.empty() &&
         this->find(this->KeptAnswers.front()) == nullptr)
    this->KeptAnswers.pop_front();
}

void JobService::expire(const std::string &Key, TimePoint Now) {
  Job *Target = this->find(Key);
  if (Target == nullptr || Target->Phase != JobPhase::Finished ||
      Now < Target->KeepUntil)
    return;
  // Updates for outstanding tasks must still find their job.
  if (Target->OutstandingCount > 0) {
    this->Expiries.emplace(Now + ExpiryRetryDelay, Key);
    return;
  }
  TimePoint Forget = Target->Submitted + this->Options.LedgerRetention +
                     2 * this->Options.ClockAllowance;
  // Remember the id as used for as long as the ledger does.
  if (!Target->Released)
    this->Ended.add(Key, Target->Request.Fingerprint, Forget);
  this->Runner.forget(*Target);
  this->KeptBytes -= Target->AnswerBytes;
  this->Jobs.erase(Key);
}

} // namespace yardwheel
