//===- LeaseCoordinator: places and dispatches tasks ----------------------===//

#include "coordination/lease_coordinator.h"

#include <algorithm>

namespace yardwheel {

bool LeaseCoordinator::endIfUnwanted(Job &Target, Instant Now) {
  if (Now.Steady >= Target.GiveUpAt) {
    this->giveUp(Target,
                 {LeasedEnd::Unknown,
                  "deadline",
                  "",
                  "the caller's deadline has passed",
                  {}},
                 Now);
    return true;
  }
  auto IsThere = [this](const Caller &Known) {
    return this->Answers.hasCaller(Known.Ticket);
  };
  if (!this->isCatchingUp(Now) || std::ranges::any_of(Target.Callers, IsThere))
    return false;
  this->giveUp(Target,
               {LeasedEnd::Unknown, "cancel", "", "the caller has gone", {}},
               Now);
  return true;
}

std::set<std::string> LeaseCoordinator::excludedAgents(const Job &Target,
                                                       std::uint32_t Index,
                                                       Instant Now) const {
  OpenStartRecord::Choice Choice =
      this->OpenStarts.choiceFor(Target.Request.Id, Index, Now.Steady);
  if (Choice.IsFree)
    return Target.Tasks[Index].Avoid;
  // The only agent left may take it although it has refused it before.
  std::set<std::string> Excluded = Target.Tasks[Index].StalledAt;
  for (const auto &[Agent, Worker] : this->Workers.workers())
    if (Agent != Choice.Agent)
      Excluded.insert(Agent);
  return Excluded;
}

std::set<std::string>
LeaseCoordinator::withFailingAgents(const Job &Target, std::uint32_t Index,
                                    std::set<std::string> Excluded,
                                    Instant Now) const {
  // A further failure fails the whole job.
  bool IsLastAttempt =
      Target.Tasks[Index].Failures + 1 >= Target.Request.MaxAttempts;
  if (!IsLastAttempt)
    return Excluded;
  std::set<std::string> WithFailing = this->Workers.agentsWithFailures();
  if (WithFailing.empty())
    return Excluded;
  WithFailing.insert(Excluded.begin(), Excluded.end());
  return this->Workers.hasEligibleWorker(Target.Request, WithFailing,
                                         Now.Steady)
             ? WithFailing
             : Excluded;
}

bool LeaseCoordinator::mustAwaitAgent(const Job &Target, std::uint32_t Index,
                                      Instant Now) const {
  const Task &JobTask = Target.Tasks[Index];
  OpenStartRecord::Choice Choice =
      this->OpenStarts.choiceFor(Target.Request.Id, Index, Now.Steady);
  if (Choice.IsFree)
    return false;
  const LeasedWorker *Only = this->Workers.find(Choice.Agent);
  if (Only == nullptr || !Only->Alive || Only->Evacuated ||
      JobTask.StalledAt.contains(Choice.Agent))
    return false;
  if (Now.Steady < JobTask.NextPlacement)
    return true;
  bool HasWaited =
      JobTask.AwaitsAgentSince != TimePoint::max() &&
      Now.Steady - JobTask.AwaitsAgentSince >= this->Options.OnlyAgentTimeout;
  return !HasWaited &&
         !this->Workers.hasEligibleWorker(
             Target.Request, this->excludedAgents(Target, Index, Now),
             Now.Steady);
}

bool LeaseCoordinator::holdAtStartup(Job &Target, Instant Now) {
  bool HasUnplaced = std::ranges::any_of(Target.Tasks, [](const Task &Known) {
    return Known.Phase == TaskPhase::Unplaced;
  });
  if (!this->AwaitsAgents || !HasUnplaced) {
    Target.AwaitsAllSince = TimePoint::max();
    return false;
  }
  Target.AwaitsAllSince = std::min(Target.AwaitsAllSince, Now.Steady);
  if (Now.Steady - Target.AwaitsAllSince >= this->Options.OnlyAgentTimeout)
    this->giveUp(Target,
                 {LeasedEnd::NotRun, "place", "",
                  "upstreams have not reported yet after a start",
                  this->Options.RetryAfter},
                 Now);
  return true;
}

void LeaseCoordinator::placeAwaitingAgent(Job &Target, Instant Now) {
  bool AwaitsAll = Target.AwaitsAllSince != TimePoint::max();
  if (AwaitsAll && (!this->AwaitsAgents || Now.Steady - Target.AwaitsAllSince >=
                                               this->Options.OnlyAgentTimeout))
    this->schedulePlacement(Target);
  if (!Target.AwaitsAgent)
    return;
  for (std::uint32_t I = 0; I < Target.Tasks.size(); ++I) {
    const Task &JobTask = Target.Tasks[I];
    bool Awaited = JobTask.Phase == TaskPhase::Unplaced &&
                   JobTask.AwaitsAgentSince != TimePoint::max();
    if (Awaited && !this->mustAwaitAgent(Target, I, Now)) {
      this->schedulePlacement(Target);
      return;
    }
  }
}

void LeaseCoordinator::placePaused(Job &Target, Instant Now) {
  if (!Target.HasPaused)
    return;
  bool IsDue = std::ranges::any_of(Target.Tasks, [&](const Task &Known) {
    return Known.Phase == TaskPhase::Unplaced &&
           Known.PausedUntil != TimePoint::min() &&
           Now.Steady >= Known.PausedUntil;
  });
  if (IsDue)
    this->schedulePlacement(Target);
}

bool LeaseCoordinator::pausePlacement(Job &Target, Task &JobTask, Instant Now) {
  if (JobTask.PausedUntil != TimePoint::min()) {
    Target.HasPaused = Now.Steady < JobTask.PausedUntil || Target.HasPaused;
    if (Now.Steady < JobTask.PausedUntil)
      return true;
    // Workers that have refused it may be back.
    JobTask.Avoid.clear();
    JobTask.PausedUntil = TimePoint::min();
    return false;
  }
  bool HasRun = Target.MayHaveRun || Target.OutstandingCount > 0;
  if (JobTask.Attempt < JobTask.AttemptLimit || !HasRun)
    return false;
  JobTask.AttemptLimit = JobTask.Attempt + this->Options.MaxPlacements;
  JobTask.PausedUntil = Now.Steady + this->Options.PlacementPause;
  Target.HasPaused = true;
  this->Log.decision("placement_paused", {{"job", Target.Request.Id},
                                          {"placements", JobTask.Attempt}});
  return true;
}

void LeaseCoordinator::noteDiverted(const Job &Target) {
  std::size_t LeftOut = this->Workers.countEvacuated(Target.Request.Pool);
  if (LeftOut == 0)
    return;
  ++this->Counters.PlacementsDiverted;
  if (this->IsDiversionLogged)
    return;
  this->IsDiversionLogged = true;
  this->Log.decision("placement_diverted", {{"job", Target.Request.Id},
                                            {"pool", Target.Request.Pool},
                                            {"upstreams_left_out", LeftOut}});
}

std::string LeaseCoordinator::whyUnplaceable(const Job &Target) const {
  return this->Workers.countEvacuated(Target.Request.Pool) > 0
             ? "no worker outside the evacuated data centres may take the task"
             : "no worker may take the task now";
}

void LeaseCoordinator::place(Job &Target, Instant Now) {
  if (this->endIfUnwanted(Target, Now))
    return;
  Target.MayHaveRun = Target.MayHaveRun || this->OpenStarts.hasOpenStart(
                                               Target.Request.Id, Now.Steady);
  if (this->holdAtStartup(Target, Now))
    return;
  this->noteDiverted(Target);
  // Tasks that must avoid the same agents are placed together.
  std::map<std::set<std::string>, std::vector<std::uint32_t>> Groups;
  bool Allowed = true;
  Target.AwaitsAgent = false;
  Target.HasPaused = false;
  for (std::uint32_t I = 0; I < Target.Tasks.size(); ++I) {
    Task &JobTask = Target.Tasks[I];
    if (JobTask.Phase != TaskPhase::Unplaced)
      continue;
    TimePoint AwaitsAgentSince = std::min(JobTask.AwaitsAgentSince, Now.Steady);
    bool MustAwait = this->mustAwaitAgent(Target, I, Now);
    JobTask.AwaitsAgentSince = MustAwait ? AwaitsAgentSince : TimePoint::max();
    // The task waits here until it is known whether the workers lost under it
    // have crashed.
    if (this->Crashes.verdict(Target.Request.Id, I) == CrashVerdict::OnHold)
      continue;
    if (MustAwait) {
      Target.AwaitsAgent = true;
      continue;
    }
    if (this->pausePlacement(Target, JobTask, Now))
      continue;
    Groups[this->withFailingAgents(Target, I,
                                   this->excludedAgents(Target, I, Now), Now)]
        .push_back(I);
    Allowed = Allowed && JobTask.Attempt < JobTask.AttemptLimit;
  }
  Target.AwaitingOffers = 0;
  std::map<std::string, peer::LeasedDispatch> Batch;
  for (const auto &[Avoid, Indexes] : Groups)
    Allowed = Allowed && this->placeGroup(Target, Avoid, Indexes, Now, Batch);
  if (Allowed) {
    this->dispatch(Target, Batch, Now);
    return;
  }
  // The tasks in the batch were never sent.
  for (const auto &[Agent, Unsent] : Batch)
    for (const peer::LeasedTask &Order : Unsent.tasks())
      this->settle(Target, Target.Tasks[Order.index()], TaskPhase::Over);
  this->giveUp(Target,
               {LeasedEnd::NotRun, PlaceStep, "", this->whyUnplaceable(Target),
                this->adviseRetry(Target.Request, Now)},
               Now);
}

bool LeaseCoordinator::placeGroup(
    Job &Target, const std::set<std::string> &Avoid,
    const std::vector<std::uint32_t> &Indexes, Instant Now,
    std::map<std::string, peer::LeasedDispatch> &Batch) {
  std::map<std::string, std::uint32_t> Placed;
  if (Target.Request.MaxPerWorker > 0)
    for (const Task &Other : Target.Tasks)
      if (Other.Phase == TaskPhase::Sent)
        ++Placed[Other.Agent];
  bool Awaits = !Target.OffersTimedOut && Target.Request.MaxPerWorker == 0 &&
                this->Waits.waitsForOffers(slackOf(Target, Now),
                                           this->Workers.workers().size());
  // The known loads of the workers have been wrong for this job several times.
  bool StaleLoads =
      Awaits && Target.PlacementRetries >= this->Options.MaxRefusableRetries;
  auto Wanted = StaleLoads ? 0U : static_cast<std::uint32_t>(Indexes.size());
  std::size_t Next = 0;
  for (const WorkerShare &Share : this->Workers.divide(
           Target.Request, Wanted, Avoid, Placed, Awaits, Now.Steady,
           slackOf(Target, Now) + Target.Request.Estimate)) {
    bool MayAskElsewhere =
        Share.StartsNow &&
        Target.PlacementRetries < this->Options.MaxRefusableRetries;
    Batch[Share.Worker->Agent.Node].set_start_or_refuse(MayAskElsewhere);
    for (std::uint32_t I = 0; I < Share.Tasks; ++I)
      this->assign(Target, Indexes[Next++], *Share.Worker, Now, Batch);
  }
  if (Next == Indexes.size())
    return true;
  if (!Awaits ||
      !this->Workers.hasEligibleWorker(Target.Request, Avoid, Now.Steady))
    return false;
  this->awaitOffers(Target, Avoid,
                    static_cast<std::uint32_t>(Indexes.size() - Next), Now);
  return true;
}

void LeaseCoordinator::assign(
    Job &Target, std::uint32_t Index, const LeasedWorker &Chosen, Instant Now,
    std::map<std::string, peer::LeasedDispatch> &Batch) {
  Task &JobTask = Target.Tasks[Index];
  JobTask.Phase = TaskPhase::Sent;
  JobTask.Agent = Chosen.Agent.Node;
  JobTask.Incarnation = Chosen.Incarnation;
  JobTask.Stalled = false;
  JobTask.StallCheckAt = Now.Steady + this->stallLimit(Target);
  ++JobTask.Attempt;
  JobTask.Order = ++this->LastOrder;
  JobTask.Resent = false;
  JobTask.StartAnswered = false;
  JobTask.PlacedAt = Now.Steady;
  JobTask.MissingSince = TimePoint::max();
  JobTask.AwaitsAgentSince = TimePoint::max();
  ++Target.OutstandingCount;
  this->Contacts[JobTask.Agent].ActiveOrders[JobTask.Order] = &Target;
  this->Workers.onSent(JobTask.Agent, Target.Request.Needs);
  peer::LeasedTask *Order = Batch[JobTask.Agent].add_tasks();
  Order->set_index(Index);
  Order->set_attempt(JobTask.Attempt);
  Order->set_order(JobTask.Order);
}

bool LeaseCoordinator::isKeptApart(const Job &Target,
                                   const peer::LeasedDispatch &Dispatch) const {
  bool HasSuspect = false;
  for (const peer::LeasedTask &Order : Dispatch.tasks()) {
    // In a storm of crashes many workers hold such tasks; one that finds no
    // other worker is placed beside them.
    if (Target.Tasks[Order.index()].ApartRefusals >=
        this->Options.MaxApartRefusals)
      return false;
    HasSuspect =
        HasSuspect || this->Crashes.isSuspect(Target.Request.Id, Order.index());
  }
  return HasSuspect;
}

void LeaseCoordinator::dispatch(
    Job &Target, std::map<std::string, peer::LeasedDispatch> &Batch,
    Instant Now) {
  const LeasedJobRequest &Request = Target.Request;
  auto StartBy = slackOf(Target, Now);
  std::chrono::milliseconds GiveUp(millisBetween(Now.Steady, Target.GiveUpAt));
  TimePoint Vouched = this->vouchedAt(Target, Now);
  for (auto &[Agent, Order] : Batch) {
    LeasedWorker *Worker = this->Workers.find(Agent);
    Order.set_job(Request.Id);
    Order.set_agent_incarnation(Worker->Incarnation);
    Order.set_spec(Request.Spec);
    *Order.mutable_needs() = Request.Needs;
    *Order.mutable_requirement() = Request.requirement();
    Order.set_start_by_ms(static_cast<std::int32_t>(StartBy.count()));
    Order.set_give_up_ms(static_cast<std::int32_t>(GiveUp.count()));
    Order.set_estimate_ms(static_cast<std::uint32_t>(Request.Estimate.count()));
    Order.set_suspect(this->isKeptApart(Target, Order));
    if (this->Options.SendsPriority) {
      Order.set_route(Request.Route);
      Order.set_priority(Request.Priority);
      Order.set_data_centre(Request.DataCentre);
    }
    // The tasks of this dispatch have the highest order numbers so far; only
    // the earlier ones are renewed.
    Contact &AgentContact = this->Contacts[Agent];
    NamedOrders Renewed =
        this->namedOrders(AgentContact, Order.tasks(0).order(), Vouched, Now);
    Order.mutable_renewed()->Add(Renewed.Orders.begin(), Renewed.Orders.end());
    Order.set_stamp(Worker->stampAt(Vouched));
    // All leases at the agent but those of jobs that were vouched for earlier.
    bool RenewsAll =
        Renewed.Orders.size() + static_cast<std::size_t>(Order.tasks_size()) ==
        AgentContact.ActiveOrders.size();
    this->Counters.TasksSent += Order.tasks_size();
    this->Log.decision(
        "dispatched",
        {{"job", Request.Id},
         {"agent", Agent},
         {"first_task", Order.tasks(0).index()},
         {"attempt", Order.tasks(0).attempt()},
         {"first_order", Order.tasks(0).order()},
         {"tasks", Order.tasks_size()},
         {"heard_ms_ago", millisBetween(Worker->LastHeard, Now.Steady)}});
    peer::Message Message;
    *Message.mutable_leased_dispatch() = std::move(Order);
    this->Sink.send(Worker->Agent, std::move(Message));
    if (RenewsAll)
      AgentContact.NextRenewal = Now.Steady + this->Options.RenewalInterval;
    AgentContact.FirstDispatchAt =
        std::min(AgentContact.FirstDispatchAt, Now.Steady);
  }
}

} // namespace yardwheel
