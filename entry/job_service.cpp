#include "entry/job_service.h"

#include "core/hash.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds EpochRetryDelay{50};
constexpr std::chrono::milliseconds RetryDelay{1000};
constexpr std::chrono::milliseconds ResubmissionAge{500};

FailureSpec unavailable(const std::string &Step, const std::string &Reason,
                        peer::Ran Ran) {
  FailureSpec Failure;
  Failure.Kind = peer::FAILURE_UNAVAILABLE;
  Failure.Ran = Ran;
  Failure.Step = Step;
  Failure.Reason = Reason;
  Failure.RetryAfter = RetryDelay;
  return Failure;
}

/// Selects the job's policy: an experiment's arm by the hash of its key, or
/// else the workspace's default.
std::string policyFor(const peer::Workspace &Config, const std::string &Key) {
  if (Config.experiment_size() == 0)
    return Config.parameters().policy();
  constexpr std::uint64_t WholePercent = 100;
  std::uint64_t Point = combineHash(stableHash(Key), Config.version());
  Point %= WholePercent;
  for (const peer::PolicyShare &Arm : Config.experiment()) {
    if (Point < Arm.share())
      return Arm.policy();
    Point -= Arm.share();
  }
  return Config.parameters().policy();
}

} // namespace

JobService::JobService(ServiceOptions Options, PeerSink &Sink,
                       OutcomeSink &Outcomes, JobObserver &Observer)
    : Options(std::move(Options)), Sink(Sink), Outcomes(Outcomes),
      Observer(Observer), Runner(this->Options.Runner, Sink, *this),
      Registry(this->Options.Self.incarnation(), Sink),
      View(std::make_shared<const CatalogView>()) {
  this->LiveEntries.insert(this->Options.Self.entry());
}

void JobService::setCatalog(std::shared_ptr<const CatalogView> NewView) {
  this->View = std::move(NewView);
  this->Runner.setEvacuated(this->View->Evacuated);
}

void JobService::onMember(const peer::Member &Member, TimePoint Now) {
  this->Peers[Member.name()] = {Member.name(), Member.address()};
  if (Member.role() == peer::ROLE_AGENT) {
    this->Runner.onMember(Member, Now);
    return;
  }
  if (Member.role() != peer::ROLE_ENTRY)
    return;
  bool Self = Member.name() == this->Options.Self.entry();
  if (Self || Member.state() == peer::MEMBER_ALIVE)
    this->LiveEntries.insert(Member.name());
  else
    this->LiveEntries.erase(Member.name());
  this->updateShares();
}

void JobService::updateShares() {
  auto Self = this->LiveEntries.find(this->Options.Self.entry());
  auto Position = std::distance(this->LiveEntries.begin(), Self);
  this->Runner.setShares(static_cast<std::uint32_t>(Position),
                         static_cast<std::uint32_t>(this->LiveEntries.size()));
}

bool JobService::isConfirmed(TimePoint Now) const {
  return this->LastConfirmed != TimePoint::min() &&
         Now - this->LastConfirmed <= this->Options.MaxUnconfirmed;
}

Job *JobService::find(const std::string &Key) {
  auto Found = this->Jobs.find(Key);
  return Found == this->Jobs.end() ? nullptr : Found->second.get();
}

// ---- Validation and claims ----

void JobService::submit(JobRequest Request, Ticket Waiter, Instant Now) {
  Job *Known = this->find(Request.key());
  if (Known != nullptr && !Known->Released) {
    this->joinExisting(*Known, Request, Waiter);
    return;
  }
  std::optional<FailureSpec> Refusal = this->checkEnded(Request);
  if (!Refusal)
    Refusal = this->checkRequest(Request, Now);
  if (!Refusal)
    Refusal = this->checkReadiness(Request, Now);
  if (Refusal) {
    peer::JobOutcome Outcome = failureOutcome(*Refusal);
    this->Outcomes.onOutcome(Waiter, &Outcome);
    return;
  }
  Job &Target = this->addJob(std::move(Request), Waiter, Now);
  // No other entry can hold a generated id, so rejecting the job needs no
  // claim.
  if (Target.Request.HasGeneratedId) {
    FailureSpec Admission = this->Runner.admit(Target);
    if (Admission.Kind != peer::FAILURE_UNSPECIFIED) {
      this->finishReleased(Target, Admission, Now.Steady);
      return;
    }
  }
  if (!this->Options.ClaimsFirst) {
    Target.Phase = JobPhase::Running;
    this->Runner.start(Target, Now.Steady);
    return;
  }
  PendingClaim Claim;
  Claim.JobKey = Target.Request.key();
  Claim.GiveUpAt = Now.Steady + this->Options.Claims.Timeout;
  this->openClaim(std::move(Claim), toUnixMillis(Target.Request.FirstSubmitted),
                  Target.Request.Fingerprint, Now);
}

void JobService::joinExisting(Job &Known, const JobRequest &Request,
                              Ticket Waiter) {
  if (Known.Request.Fingerprint != Request.Fingerprint) {
    peer::JobOutcome Outcome = failureOutcome(idConflict());
    this->Outcomes.onOutcome(Waiter, &Outcome);
  } else if (Known.Outcome) {
    this->Outcomes.onOutcome(Waiter, &*Known.Outcome);
  } else {
    Known.Waiters.push_back(Waiter);
  }
}

std::optional<FailureSpec>
JobService::checkEnded(const JobRequest &Request) const {
  std::optional<std::uint64_t> Ended = this->Ended.find(Request.key());
  if (!Ended)
    return std::nullopt;
  return *Ended == Request.Fingerprint ? answerExpired() : idConflict();
}

std::optional<FailureSpec> JobService::checkRequest(const JobRequest &Request,
                                                    Instant Now) const {
  FailureSpec Failure;
  Failure.Step = "validate";
  if (this->View->findWorkspace(Request.Workspace) == nullptr) {
    Failure.Kind = peer::FAILURE_NOT_FOUND;
    Failure.Ran = peer::RAN_NOT_RUN;
    Failure.Reason =
        fmt::format("workspace '{}': not found", Request.Workspace);
    return Failure;
  }
  if (Request.FirstSubmitted > Now.Wall + this->Options.ClockAllowance) {
    Failure.Kind = peer::FAILURE_IN_FUTURE;
    Failure.Ran = peer::RAN_NOT_RUN;
    Failure.Reason =
        fmt::format("id: its first submission is more than {} ms in the future",
                    this->Options.ClockAllowance.count());
    return Failure;
  }
  if (Request.FirstSubmitted < Now.Wall - this->Options.LedgerRetention) {
    Failure.Kind = peer::FAILURE_EXPIRED;
    Failure.Ran = peer::RAN_UNKNOWN;
    Failure.Reason = fmt::format("id: first submitted more than {} ms ago",
                                 this->Options.LedgerRetention.count());
    return Failure;
  }
  return std::nullopt;
}

std::optional<FailureSpec> JobService::checkReadiness(const JobRequest &Request,
                                                      Instant Now) const {
  peer::Ran Ran = Request.ranBeforeClaim();
  if (this->Draining)
    return unavailable("admit", "the entry is stopping; use another", Ran);
  if (!this->isConfirmed(Now.Steady))
    return unavailable("admit", "control has not confirmed the configuration",
                       Ran);
  if (this->ActiveJobs >= this->Options.MaxJobs)
    return unavailable(
        "admit", fmt::format("{} jobs are in flight here", this->ActiveJobs),
        Ran);
  return std::nullopt;
}

Job &JobService::addJob(JobRequest Request, Ticket Waiter, Instant Now) {
  const peer::Workspace &Config = *this->View->findWorkspace(Request.Workspace);
  std::string Key = Request.key();
  auto New = std::make_unique<Job>();
  New->Number = ++this->LastNumber;
  New->Limits = Config.parameters();
  New->PoolName = Config.parameters().pool().empty()
                      ? Config.name()
                      : Config.parameters().pool();
  New->Policy = policyFor(Config, Key);
  New->Submitted = Now.Steady;
  New->Deadline = Now.Steady + Request.TimeLeft;
  New->Waiters.push_back(Waiter);
  New->Request = std::move(Request);
  this->Deadlines.emplace(New->Deadline, Key);
  ++this->ActiveJobs;
  std::unique_ptr<Job> &Slot = this->Jobs[Key];
  // A released job is replaced by the new submission.
  if (Slot)
    this->KeptBytes -= Slot->AnswerBytes;
  Slot = std::move(New);
  return *Slot;
}

void JobService::openClaim(PendingClaim Claim, std::int64_t StampMs,
                           std::uint64_t Fingerprint, Instant Now) {
  std::uint64_t Attempt = ++this->LastAttempt;
  bool Planned = this->prepareClaim(Claim, Attempt, StampMs, Fingerprint, Now);
  this->Claims[Attempt] = std::move(Claim);
  if (Planned)
    this->Claims[Attempt].Claim->sendRequests(this->Sink);
  else
    this->onDecision(Attempt, ClaimDecision(), Now);
}

bool JobService::prepareClaim(PendingClaim &Claim, std::uint64_t Attempt,
                              std::int64_t StampMs, std::uint64_t Fingerprint,
                              Instant Now) {
  if (this->View->Groups.empty())
    return false;
  std::uint32_t Count = this->View->Groups.begin()->second.group_count();
  const std::string &Key =
      Claim.PendingQuery ? Claim.PendingQuery->Key : Claim.JobKey;
  auto Group = this->View->Groups.find(groupOf(Key, Count));
  if (Group == this->View->Groups.end())
    return false;
  std::vector<PeerRef> Holders;
  for (const std::string &Name : Group->second.holders()) {
    auto Known = this->Peers.find(Name);
    if (Known != this->Peers.end())
      Holders.push_back(Known->second);
  }
  peer::ClaimRequest Request;
  Request.set_job_key(Key);
  Request.set_stamp_ms(StampMs);
  Request.set_fingerprint(Fingerprint);
  *Request.mutable_owner() = this->Options.Self;
  Request.set_attempt(Attempt);
  Request.set_group(Group->first);
  Request.set_epoch(Group->second.epoch());
  Request.set_read_only(Claim.PendingQuery.has_value());
  ClaimTimes Times = this->Options.Claims;
  Times.Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      Claim.GiveUpAt - Now.Steady);
  // An id that is older than a submission takes to arrive was probably
  // submitted before.
  WallTime Stamp = fromUnixMillis(StampMs);
  bool LikelyHeld = Claim.PendingQuery || Now.Wall - Stamp > ResubmissionAge;
  Claim.Claim.emplace(std::move(Request), std::move(Holders), Times, Now.Steady,
                      LikelyHeld);
  return true;
}

void JobService::tickClaims(Instant Now) {
  std::vector<std::pair<std::uint64_t, ClaimDecision>> Decided;
  for (auto &[Attempt, Pending] : this->Claims) {
    std::optional<ClaimDecision> Decision =
        Pending.Claim->onTick(Now.Steady, this->Sink);
    if (Decision)
      Decided.emplace_back(Attempt, *Decision);
  }
  for (const auto &[Attempt, Decision] : Decided)
    this->onDecision(Attempt, Decision, Now);
}

void JobService::onDecision(std::uint64_t Attempt,
                            const ClaimDecision &Decision, Instant Now) {
  auto Found = this->Claims.find(Attempt);
  if (Found == this->Claims.end())
    return;
  PendingClaim Claim = std::move(Found->second);
  this->Claims.erase(Found);
  // The holders are in another epoch: retry the claim, by then with their
  // epoch.
  bool MayRetry = Now.Steady + EpochRetryDelay < Claim.GiveUpAt;
  if (Decision.Result == ClaimResult::WrongEpoch && MayRetry) {
    std::int64_t Stamp = Claim.Claim->request().stamp_ms();
    std::uint64_t Fingerprint = Claim.Claim->request().fingerprint();
    Claim.Claim->release(this->Sink);
    Claim.RetryAt = Now.Steady + EpochRetryDelay;
    this->openClaim(std::move(Claim), Stamp, Fingerprint, Now);
    return;
  }
  if (Claim.PendingQuery) {
    this->onQueryDecision(*Claim.PendingQuery, Decision, Now);
    return;
  }
  Job *Target = this->find(Claim.JobKey);
  bool Open = Target != nullptr && Target->Phase == JobPhase::Claiming;
  if (Open)
    this->onJobDecision(*Target, Claim, Decision, Now);
  else if (Claim.Claim)
    Claim.Claim->release(this->Sink);
}

void JobService::onJobDecision(Job &Target, PendingClaim &Claim,
                               const ClaimDecision &Decision, Instant Now) {
  if (Decision.Result == ClaimResult::Won) {
    this->onWon(Target, Claim, Now);
    return;
  }
  // Release the granted claims first.
  if (Claim.Claim)
    Claim.Claim->release(this->Sink);
  if (Decision.Result == ClaimResult::Held) {
    this->onHeld(Target, Claim, Decision, Now);
    return;
  }
  FailureSpec Failure = unavailable("claim", "too few ledger holders answered",
                                    Target.Request.ranBeforeClaim());
  if (Decision.Result == ClaimResult::Unknown) {
    Failure.Reason = "the ledger's holders have restarted since the id's "
                     "first submission and cannot know whether it ran";
  } else if (Decision.Result == ClaimResult::Expired) {
    Failure.Kind = peer::FAILURE_EXPIRED;
    Failure.Reason = "id: first submitted too long ago";
  } else if (Decision.Result == ClaimResult::InFuture) {
    Failure.Kind = peer::FAILURE_IN_FUTURE;
    Failure.Reason = "id: its first submission is in the future";
  } else if (Decision.Result == ClaimResult::WrongEpoch) {
    Failure.Reason = "the ledger's holders are being replaced";
  }
  this->finishReleased(Target, Failure, Now.Steady);
}

void JobService::onWon(Job &Target, PendingClaim &Claim, Instant Now) {
  FailureSpec Admission = this->Runner.admit(Target);
  if (Admission.Kind != peer::FAILURE_UNSPECIFIED) {
    // This entry is the only owner, so reporting "not run" is correct.
    Claim.Claim->release(this->Sink);
    this->finishReleased(Target, Admission, Now.Steady);
    return;
  }
  Target.Phase = JobPhase::Running;
  this->Runner.start(Target, Now.Steady);
}

void JobService::onHeld(Job &Target, PendingClaim &,
                        const ClaimDecision &Decision, Instant Now) {
  if (Decision.Fingerprint != Target.Request.Fingerprint) {
    this->finishReleased(Target, idConflict(), Now.Steady);
    return;
  }
  Target.Phase = JobPhase::Attached;
  Ticket Request =
      this->Registry.open(Target.Request.key(), Decision.Owner,
                          Decision.Fingerprint, AttachMode::Wait, Now.Steady);
  this->Attaches[Request] = {Target.Request.key(), std::nullopt};
}

} // namespace yardwheel
