//===- LeaseCoordinator: accepts and withdraws jobs -----------------------===//

#include "coordination/lease_coordinator.h"

#include <algorithm>

namespace yardwheel {

// ---- Submissions ----

bool LeaseCoordinator::mayJoin(const std::string &Id) const {
  auto Found = this->Jobs.find(Id);
  return Found != this->Jobs.end() && Found->second->Phase == JobPhase::Running;
}

void LeaseCoordinator::submit(LeasedJobRequest Request, LeaseTicket Waiter,
                              Instant Now) {
  if (Job *Known = this->find(Request.Id)) {
    if (Known->Phase != JobPhase::Running) {
      this->queueResubmission(*Known, std::move(Request), Waiter, Now);
      return;
    }
    Known->Callers.push_back({Waiter, Now.Steady + Request.Deadline});
    ++this->WaitingCallers;
    Known->GiveUpAt = lastDeadline(Known->Callers);
    return;
  }
  if (this->refuseAtStartup(Request, Waiter, Now) ||
      this->refuseIfUnservable(Request, Waiter, Now))
    return;
  ++this->WaitingCallers;
  TimePoint Until = Now.Steady + Request.Deadline;
  this->startJob(std::move(Request), {{Waiter, Until}}, Now);
}

TimePoint LeaseCoordinator::lastDeadline(const std::vector<Caller> &Callers) {
  TimePoint Last = TimePoint::min();
  for (const Caller &Known : Callers)
    Last = std::max(Last, Known.Deadline);
  return Last;
}

void LeaseCoordinator::startJob(LeasedJobRequest Request,
                                std::vector<Caller> Callers, Instant Now) {
  if (this->rejectCrashingJob(Request, Callers))
    return;
  auto New = std::make_unique<Job>();
  New->Tasks.resize(Request.TaskCount);
  for (Task &Known : New->Tasks)
    Known.AttemptLimit = this->Options.MaxPlacements;
  New->AcceptedAt = Now.Steady;
  New->GiveUpAt = lastDeadline(Callers);
  // Runs of an earlier submission count as runs of the job.
  New->MayHaveRun = this->mayHaveRun(Request.Id, Now);
  New->Request = std::move(Request);
  New->Callers = std::move(Callers);
  Job &Target = *New;
  this->Jobs[Target.Request.Id] = std::move(New);
  std::string Id = Target.Request.Id;
  this->place(Target, Now);
  this->forgetIfSettled(Id, Now);
}

bool LeaseCoordinator::rejectCrashingJob(const LeasedJobRequest &Request,
                                         const std::vector<Caller> &Callers) {
  std::string Why = this->Crashes.describeGivenUp(Request.Id);
  if (Why.empty())
    return false;
  this->Log.decision(
      "job_refused_as_failed",
      {{"job", Request.Id}, {"route", Request.Route}, {"reason", Why}});
  ++this->Counters.JobsCrashing;
  ++this->Counters.Failed;
  this->WaitingCallers -= Callers.size();
  for (const Caller &Answered : Callers)
    this->Answers.onLeasedAnswer(Answered.Ticket,
                                 {LeasedEnd::Failed, "submit", "", Why, {}});
  return true;
}

void LeaseCoordinator::queueResubmission(Job &Known, LeasedJobRequest Request,
                                         LeaseTicket Waiter, Instant Now) {
  TimePoint Until = Now.Steady + Request.Deadline;
  if (!Known.NextSubmission)
    Known.NextSubmission = {std::move(Request), {}};
  this->Log.decision("resubmission_waits", {{"job", Known.Request.Id},
                                            {"out", Known.OutstandingCount}});
  Known.NextSubmission->Callers.push_back({Waiter, Until});
  ++this->WaitingCallers;
}

void LeaseCoordinator::dropResubmission(Job &Known, const std::string &Reason,
                                        Instant Now) {
  // Runs of the earlier submission count as runs of the job.
  bool MayHaveRun = Known.MayHaveRun || this->mayHaveRun(Known.Request.Id, Now);
  LeasedEnd End = MayHaveRun || Known.OutstandingCount > 0 ? LeasedEnd::Unknown
                                                           : LeasedEnd::NotRun;
  std::vector<Caller> Callers = std::move(Known.NextSubmission->Callers);
  Known.NextSubmission.reset();
  this->WaitingCallers -= Callers.size();
  for (const Caller &Answered : Callers)
    this->Answers.onLeasedAnswer(
        Answered.Ticket, {End, "submit", "", Reason, this->Options.RetryAfter});
}

bool LeaseCoordinator::mayHaveRun(const std::string &Id, Instant Now) const {
  return this->RecentlyRan.contains(Id) ||
         this->OpenStarts.hasOpenStart(Id, Now.Steady);
}

void LeaseCoordinator::updateAwaitsAgents(Instant Now) {
  this->MayMissOpenStarts = this->OpenStarts.mayMissOpenStarts(Now.Steady);
  auto HasSettled = [&](const auto &Item) {
    const auto &[Agent, Worker] = Item;
    return !Worker.Alive || this->OpenStarts.hasSettled(Agent, Now.Steady);
  };
  bool Awaits = this->MayMissOpenStarts &&
                !std::ranges::all_of(this->Workers.workers(), HasSettled);
  this->HasKnownOpenStarts =
      this->HasKnownOpenStarts || (this->MayMissOpenStarts && !Awaits);
  if (Awaits == this->AwaitsAgents)
    return;
  this->Log.decision(
      "open_starts_known",
      {{"known", !Awaits}, {"agents", this->Workers.workers().size()}});
  this->AwaitsAgents = Awaits;
}

bool LeaseCoordinator::refuseAtStartup(const LeasedJobRequest &Request,
                                       LeaseTicket Waiter, Instant Now) {
  this->updateAwaitsAgents(Now);
  // An agent that falls silent later mostly comes back soon, so that the job
  // waits for it.
  if (!this->AwaitsAgents || this->HasKnownOpenStarts)
    return false;
  bool MayHaveRun = this->mayHaveRun(Request.Id, Now);
  ++(MayHaveRun ? this->Counters.Unknown : this->Counters.NotRun);
  this->Log.decision("job_refused_at_startup",
                     {{"job", Request.Id}, {"route", Request.Route}});
  LeasedEnd End = MayHaveRun ? LeasedEnd::Unknown : LeasedEnd::NotRun;
  this->Answers.onLeasedAnswer(Waiter,
                               {End, "admit", "",
                                "upstreams have not reported yet after a start",
                                this->Options.StartupRetryAfter});
  return true;
}

std::chrono::milliseconds
LeaseCoordinator::adviseRetry(const LeasedJobRequest &Request, double Pressure,
                              double Limit, Instant Now) {
  // No worker may take the job, however little load there is.
  if (Pressure <= 0)
    return this->Options.RetryAfter;
  std::chrono::milliseconds Wait =
      this->Drain.timeToDrain(Request.Pool, Pressure, Limit)
          .value_or(std::chrono::milliseconds(0));
  double Work = static_cast<double>(Request.Needs.cpu_milli()) *
                Request.TaskCount *
                static_cast<double>(Request.Estimate.count());
  return this->Retries.advise(Request.Pool, Wait, Work, Now.Steady);
}

std::chrono::milliseconds
LeaseCoordinator::adviseRetry(const LeasedJobRequest &Request, Instant Now) {
  double Pressure =
      this->Workers.pressure(Request, this->awaitingCpu(), Now.Steady);
  return this->adviseRetry(Request, Pressure, FullPressure, Now);
}

bool LeaseCoordinator::refuseIfUnservable(const LeasedJobRequest &Request,
                                          LeaseTicket Waiter, Instant Now) {
  AdmissionQuery Query{
      Request, this->Workers,
      this->Workers.pressure(Request, this->awaitingCpu(), Now.Steady)};
  for (const auto &Check : this->Checks)
    Check->onSubmitted(Query, Now);
  std::optional<AdmissionRefusal> Refusal;
  for (const auto &Check : this->Checks)
    if (Refusal = Check->check(Query, Now); Refusal)
      break;
  if (!Refusal)
    return false;
  bool MayHaveRun = this->mayHaveRun(Request.Id, Now);
  ++this->Counters.JobsShed;
  ++(MayHaveRun ? this->Counters.Unknown : this->Counters.NotRun);
  constexpr int Percent = 100;
  this->Log.decision(
      "job_shed",
      {{"job", Request.Id},
       {"route", Request.Route},
       {"rule", Refusal->Rule},
       {"taken_percent", static_cast<int>(Query.Pressure * Percent)},
       {"limit_percent", static_cast<int>(Refusal->Limit * Percent)},
       {"tasks", Request.TaskCount}});
  LeasedEnd End = MayHaveRun ? LeasedEnd::Unknown : LeasedEnd::NotRun;
  double Limit = Refusal->Limit > 0 ? Refusal->Limit : FullPressure;
  std::chrono::milliseconds RetryAfter =
      Refusal->RetryAfter.count() > 0
          ? Refusal->RetryAfter
          : this->adviseRetry(Request, Query.Pressure, Limit, Now);
  this->Answers.onLeasedAnswer(Waiter,
                               {End, "admit", "", Refusal->Reason, RetryAfter});
  return true;
}

void LeaseCoordinator::extendDeadline(const std::string &Id, LeaseTicket Waiter,
                                      TimePoint Until) {
  Job *Known = this->find(Id);
  if (Known == nullptr)
    return;
  auto Extend = [&](std::vector<Caller> &Callers) {
    for (Caller &Waiting : Callers)
      if (Waiting.Ticket == Waiter)
        Waiting.Deadline = std::max(Waiting.Deadline, Until);
  };
  if (Known->NextSubmission)
    Extend(Known->NextSubmission->Callers);
  Extend(Known->Callers);
  if (Known->Phase == JobPhase::Running)
    Known->GiveUpAt = lastDeadline(Known->Callers);
}

void LeaseCoordinator::noteDelegated(const LeasedJobRequest &Request,
                                     Instant Now) {
  for (const auto &Check : this->Checks)
    Check->onDelegated(Request, Now);
}

void LeaseCoordinator::cancel(const std::string &Id, const std::string &Reason,
                              Instant Now) {
  Job *Known = this->find(Id);
  if (Known != nullptr && Known->NextSubmission)
    this->dropResubmission(*Known, Reason, Now);
  if (Known != nullptr && Known->Phase == JobPhase::Running)
    this->giveUp(*Known, {LeasedEnd::Unknown, "cancel", "", Reason, {}}, Now);
  this->forgetIfSettled(Id, Now);
}

void LeaseCoordinator::cancelAll(const std::string &Reason, Instant Now) {
  std::vector<std::string> Ids;
  for (const auto &[Id, Known] : this->Jobs)
    Ids.push_back(Id);
  for (const std::string &Id : Ids)
    this->cancel(Id, Reason, Now);
}

bool LeaseCoordinator::removeCaller(std::vector<Caller> &Callers,
                                    LeaseTicket Waiter,
                                    const std::string &Reason) {
  if (Callers.size() == 1)
    return false;
  std::erase_if(Callers, [Waiter](const Caller &Known) {
    return Known.Ticket == Waiter;
  });
  --this->WaitingCallers;
  this->Answers.onLeasedAnswer(Waiter,
                               {LeasedEnd::Unknown, "cancel", "", Reason, {}});
  return true;
}

void LeaseCoordinator::withdraw(const std::string &Id, LeaseTicket Waiter,
                                const std::string &Reason, Instant Now) {
  Job *Known = this->find(Id);
  if (Known == nullptr)
    return;
  auto IsAmong = [&](const std::vector<Caller> &Callers) {
    return std::ranges::find(Callers, Waiter, &Caller::Ticket) != Callers.end();
  };
  if (Known->NextSubmission && IsAmong(Known->NextSubmission->Callers)) {
    if (!this->removeCaller(Known->NextSubmission->Callers, Waiter, Reason))
      this->dropResubmission(*Known, Reason, Now);
    return;
  }
  // A job that is being given up is already being stopped.
  bool MayStop = Known->Phase == JobPhase::Running && IsAmong(Known->Callers);
  if (MayStop && !this->removeCaller(Known->Callers, Waiter, Reason))
    this->cancel(Id, Reason, Now);
  else if (MayStop)
    Known->GiveUpAt = lastDeadline(Known->Callers);
}

} // namespace yardwheel
