#include "coordination/lease_coordinator.h"

#include <algorithm>

namespace yardwheel {

LeaseCoordinator::LeaseCoordinator(const CoordinatorOptions &Options,
                                   PeerSink &Sink, LeasedAnswerSink &Answers)
    : Options(Options), Sink(Sink), Answers(Answers),
      Workers(Options.Workers, Options.Seed), Waits(Options.Waiting),
      Random(Options.Seed), Retries(Options.Retries, Options.Seed),
      RecentlyRan(Options.RunRetention), LastOrder(Options.FirstOrder) {
  auto Overload = std::make_unique<OverloadCheck>(Options.Shedder);
  if (Options.Shares) {
    auto Check =
        std::make_unique<ShareCheck>(*Options.Shares, std::move(Overload));
    this->Shares = Check.get();
    this->Checks.push_back(std::move(Check));
  } else {
    this->Checks.push_back(std::move(Overload));
  }
  this->Checks.push_back(
      std::make_unique<DeadlineCheck>(Options.Deadlines, this->Drain));
}

LeaseCoordinator::Job *LeaseCoordinator::find(const std::string &Id) {
  auto Found = this->Jobs.find(Id);
  return Found == this->Jobs.end() ? nullptr : Found->second.get();
}

std::uint32_t LeaseCoordinator::pending(const std::string &Route) const {
  std::uint32_t Count = 0;
  for (const auto &[Id, Known] : this->Jobs)
    if (Known->Request.Route == Route && !Known->MayHaveRun &&
        Known->Phase == JobPhase::Running)
      ++Count;
  return Count;
}

// ---- Messages from agents and control ----

void LeaseCoordinator::onMember(const peer::Member &Member, Instant Now) {
  if (Member.role() == peer::ROLE_ENTRY && Member.name() != this->Options.Name)
    this->Relay.onMember(Member);
  if (Member.role() != peer::ROLE_AGENT || Member.name() == this->Options.Name)
    return;
  bool Lost = Member.state() == peer::MEMBER_LOST;
  const LeasedWorker *Known = this->Workers.find(Member.name());
  bool Same = Known != nullptr && Known->Incarnation == Member.incarnation() &&
              Known->State == Member.state();
  bool Replaced = this->Workers.update(Member, Now.Steady);
  if (Same)
    return;
  this->Log.decision("member",
                     {{"agent", Member.name()},
                      {"incarnation", Member.incarnation()},
                      {"state", peer::MemberState_Name(Member.state())},
                      {"used", this->Workers.find(Member.name())->Alive},
                      {"table_version", Member.version()}});
  this->clearIfGone(Member.name());
  bool IsLost = Lost && !this->Workers.find(Member.name())->Alive;
  if (IsLost)
    this->giveUpAgentTasks(Member.name(), /*OnlyOldIncarnations=*/false,
                           "control lost it", Now);
  else if (Replaced)
    this->onRestarted(Member.name(), Now);
}

void LeaseCoordinator::setEvacuated(const std::set<std::string> &DataCentres) {
  this->Workers.setEvacuated(DataCentres);
  this->IsDiversionLogged = false;
}

void LeaseCoordinator::onMessage(const PeerRef &From,
                                 const peer::Message &Message, Instant Now) {
  if (Message.has_worker_load()) {
    this->onLoad(From.Node, Message.worker_load(), Now);
    if (Message.worker_load().lists_held())
      this->onHeldOrders(From.Node, Message.worker_load(), Now);
  } else if (Message.has_leased_update()) {
    this->onLoad(From.Node, Message.leased_update().load(), Now);
    this->onUpdate(From.Node, Message.leased_update(), Now);
  } else if (Message.has_leased_offer()) {
    this->onLoad(From.Node, Message.leased_offer().load(), Now);
    this->onOffer(From, Message.leased_offer(), Now);
  } else if (Message.has_open_start_relay()) {
    this->onOpenStartRelay(From, Message.open_start_relay(), Now);
  } else if (Message.has_open_start_relay_reply()) {
    this->Relay.onReply(From.Node, Message.open_start_relay_reply());
  }
}

void LeaseCoordinator::onLoad(const std::string &Agent,
                              const peer::WorkerLoad &Load, Instant Now) {
  Contact &AgentContact = this->Contacts[Agent];
  AgentContact.UnansweredSince = TimePoint::max();
  AgentContact.FirstDispatchAt = TimePoint::max();
  bool HasRestarted = this->Workers.onLoadReport(Agent, Load, Now.Steady);
  if (HasRestarted)
    this->onRestarted(Agent, Now);
  LeasedWorker *Worker = this->Workers.find(Agent);
  bool IsReportOpen = this->OpenStarts.onLoad(Agent, Load, Now.Steady);
  bool IsKindUnknown = HasRestarted && Worker->Pool.empty();
  // The renewal acknowledges the report, and asks for the worker's kind.
  if (Worker != nullptr && (IsReportOpen || IsKindUnknown))
    this->sendRenewal(*Worker, AgentContact, Now);
  for (const peer::OpenStart &Open : Load.open_starts()) {
    const Job *Target = this->find(Open.job());
    if (Target != nullptr && Target->Phase == JobPhase::Answered)
      this->relayOpenStarts(Open.job(), Now);
  }
  this->onCrashes(Agent, Load, Now);
  if (Load.leaving())
    this->clearIfGone(Agent);
  // Only a reply to a renewal names all crashes that the agent knows of.
  if (Load.lists_held())
    this->placeCleared(
        this->Crashes.onCrashesListed(Agent, Load.incarnation()));
  if (Load.worker_ready())
    this->placeCleared(
        this->Crashes.onWorkerReady(Agent, Load.incarnation(), Load.stamp()));
}

void LeaseCoordinator::clearIfGone(const std::string &Agent) {
  // Only agents that are alive are probed, so that they report their crashes.
  const LeasedWorker *Worker = this->Workers.find(Agent);
  if (Worker == nullptr || !Worker->Alive)
    this->placeCleared(this->Crashes.onAgentGone(Agent));
}

void LeaseCoordinator::placeCleared(const std::vector<std::string> &Cleared) {
  for (const std::string &Id : Cleared) {
    Job *Target = this->find(Id);
    if (Target != nullptr && Target->Phase == JobPhase::Running)
      this->schedulePlacement(*Target);
  }
}

void LeaseCoordinator::onOpenStartRelay(const PeerRef &From,
                                        const peer::OpenStartRelay &Relay,
                                        Instant Now) {
  peer::Message Message;
  peer::OpenStartRelayReply *Reply = Message.mutable_open_start_relay_reply();
  Reply->set_receiver_incarnation(Relay.receiver_incarnation());
  Reply->set_seen(this->OpenStarts.onRelay(From, Relay, Now.Steady));
  this->Sink.send(From, std::move(Message));
}

void LeaseCoordinator::onCrashes(const std::string &Agent,
                                 const peer::WorkerLoad &Load, Instant Now) {
  for (const peer::WorkerCrash &Crash : Load.crashes())
    for (const std::string &Id :
         this->Crashes.onWorkerCrashed(Agent, Crash, Now.Steady)) {
      Job *Target = this->find(Id);
      if (Target == nullptr || Target->Phase != JobPhase::Running)
        continue;
      std::string Why = this->Crashes.describeGivenUp(Id);
      if (Why.empty()) {
        this->schedulePlacement(*Target);
        continue;
      }
      ++this->Counters.JobsCrashing;
      Target->MayHaveRun = true;
      this->giveUp(*Target, {LeasedEnd::Failed, "run", Agent, Why, {}}, Now);
      this->forgetIfSettled(Id, Now);
    }
}

void LeaseCoordinator::onUpdate(const std::string &Agent,
                                const peer::LeasedUpdate &Update, Instant Now) {
  Job *Target = this->find(Update.job());
  if (Target == nullptr || Update.index() >= Target->Tasks.size())
    return;
  Task &JobTask = Target->Tasks[Update.index()];
  bool Current = JobTask.Phase == TaskPhase::Sent && JobTask.Agent == Agent &&
                 JobTask.Order == Update.order();
  if (!Current)
    return;
  switch (Update.event()) {
  case peer::LEASED_DONE:
    this->onTaskDone(*Target, Agent, Update, Now);
    this->settle(*Target, JobTask, TaskPhase::Done);
    break;
  case peer::LEASED_NOT_STARTED:
    // The task is given up with the incarnation that it was sent to.
    if (!provesNotStarted(JobTask, Update))
      return;
    this->onNotStarted(*Target, JobTask, Agent, Update, Now);
    break;
  case peer::LEASED_FAILED:
    Target->MayHaveRun = true;
    this->onTaskFailed(*Target, JobTask, Agent, Update, Now);
    break;
  case peer::LEASED_ENDED_EARLY:
    this->onEndedEarly(*Target, JobTask, Agent, Update, Now);
    break;
  default:
    return;
  }
  bool Complete = Target->DoneCount == Target->Tasks.size();
  if (Target->Phase == JobPhase::Running && Complete)
    this->finish(*Target, {LeasedEnd::Completed, "answer", "", "", {}}, Now);
  else if (Target->Phase == JobPhase::GivingUp)
    this->finishIfProven(*Target, Now);
  this->forgetIfSettled(Update.job(), Now);
}

void LeaseCoordinator::onTaskDone(Job &Target, const std::string &Agent,
                                  const peer::LeasedUpdate &Update,
                                  Instant Now) {
  auto Ran = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::microseconds(Update.service_us()));
  Target.MayHaveRun = true;
  Target.LongestDone = std::max(Target.LongestDone, Ran);
  ++Target.DoneCount;
  this->Workers.onSuccess(Agent, Ran);
  this->Drain.onTaskEnded(Target.Request.Pool, Target.Request.Needs.cpu_milli(),
                          Ran);
  double Work = static_cast<double>(Target.Request.Needs.cpu_milli()) *
                static_cast<double>(Ran.count());
  this->Retries.onServed(Target.Request.Pool, Work, Now.Steady);
}

bool LeaseCoordinator::provesNotStarted(const Task &JobTask,
                                        const peer::LeasedUpdate &Update) {
  bool SameIncarnation = Update.load().incarnation() == JobTask.Incarnation;
  return SameIncarnation || !JobTask.Resent;
}

void LeaseCoordinator::onNotStarted(Job &Target, Task &JobTask,
                                    const std::string &Agent,
                                    const peer::LeasedUpdate &Update,
                                    Instant Now) {
  ++this->Counters.TasksRefused;
  bool RunsThere = Update.refusal() == peer::REFUSAL_OTHER_OWNER;
  Target.MayHaveRun = Target.MayHaveRun || RunsThere;
  this->settle(Target, JobTask, TaskPhase::Unplaced);
  this->Log.decision("task_not_started",
                     {{"job", Target.Request.Id},
                      {"task", Update.index()},
                      {"agent", Agent},
                      {"attempt", Update.attempt()},
                      {"order", Update.order()},
                      {"sent_to_life", JobTask.Incarnation},
                      {"refused_by_life", Update.load().incarnation()},
                      {"repeated", JobTask.Resent},
                      {"refusal", peer::LeasedRefusal_Name(Update.refusal())},
                      {"reason", Update.reason()}});
  if (Target.Phase != JobPhase::Running)
    return;
  if (RunsThere) {
    this->giveUp(Target,
                 {LeasedEnd::Unknown,
                  "start",
                  Agent,
                  "a run of an earlier hand-in has not ended",
                  {}},
                 Now);
    return;
  }
  if (Update.refusal() == peer::REFUSAL_TOO_LATE) {
    this->giveUp(Target,
                 {LeasedEnd::NotRun, "start", Agent, Update.reason(),
                  this->adviseRetry(Target.Request, Now)},
                 Now);
    return;
  }
  bool WorkerAtFault = Update.refusal() == peer::REFUSAL_WORKER ||
                       Update.refusal() == peer::REFUSAL_NO_WORKER;
  if (WorkerAtFault && this->Workers.onFailure(Agent, Now.Steady))
    ++this->Counters.Ejections;
  // Neither refusal is a reason to avoid the agent, which has just sent a new
  // stamp and its current load.
  // A suspect task may have been refused because of another one there.
  bool IsSuspect = this->Crashes.isSuspect(Target.Request.Id, Update.index());
  bool IsBusy = Update.refusal() == peer::REFUSAL_BUSY;
  JobTask.ApartRefusals += IsSuspect && IsBusy ? 1 : 0;
  bool MayComeBack =
      Update.refusal() == peer::REFUSAL_STALE || (IsBusy && !IsSuspect);
  if (!MayComeBack) {
    JobTask.Avoid.insert(Agent);
    JobTask.NextPlacement = Now.Steady + this->Options.OnlyAgentRetryInterval;
  }
  this->schedulePlacement(Target);
}

void LeaseCoordinator::schedulePlacement(Job &Target) {
  this->JobsToPlace.insert(Target.Request.Id);
}

void LeaseCoordinator::placeScheduled(Instant Now) {
  std::set<std::string> Due;
  std::swap(Due, this->JobsToPlace);
  for (const std::string &Id : Due) {
    Job *Target = this->find(Id);
    if (Target == nullptr)
      continue;
    if (Target->Phase == JobPhase::Running) {
      ++Target->PlacementRetries;
      this->place(*Target, Now);
    }
    this->forgetIfSettled(Id, Now);
  }
}

void LeaseCoordinator::onEndedEarly(Job &Target, Task &JobTask,
                                    const std::string &Agent,
                                    const peer::LeasedUpdate &Update,
                                    Instant Now) {
  Target.MayHaveRun = true;
  if (Update.worker_lost())
    this->Crashes.onWorkerLost(Target.Request.Id, Update.index(), Agent,
                               JobTask.Incarnation, Now.Steady,
                               Update.load().stamp());
  this->settle(Target, JobTask, TaskPhase::Unplaced);
  // This worker looks the least loaded, so without this the task would be sent
  // there again.
  bool WorkerAtFault =
      JobTask.Stalled || Update.refusal() == peer::REFUSAL_WORKER;
  if (JobTask.Stalled)
    JobTask.StalledAt.insert(Agent);
  if (WorkerAtFault) {
    JobTask.Avoid.insert(Agent);
    JobTask.NextPlacement = Now.Steady + this->Options.OnlyAgentRetryInterval;
    if (this->Workers.onFailure(Agent, Now.Steady))
      ++this->Counters.Ejections;
  }
  this->Log.decision("task_ended_early", {{"job", Target.Request.Id},
                                          {"task", Update.index()},
                                          {"agent", Agent},
                                          {"attempt", Update.attempt()},
                                          {"reason", Update.reason()},
                                          {"worker_lost", Update.worker_lost()},
                                          {"worker_at_fault", WorkerAtFault}});
  if (Target.Phase == JobPhase::Running)
    this->schedulePlacement(Target);
}

void LeaseCoordinator::onTaskFailed(Job &Target, Task &JobTask,
                                    const std::string &Agent,
                                    const peer::LeasedUpdate &Update,
                                    Instant Now) {
  ++JobTask.Failures;
  bool Ejected = this->Workers.onFailure(Agent, Now.Steady);
  if (Ejected)
    ++this->Counters.Ejections;
  this->settle(Target, JobTask, TaskPhase::Unplaced);
  this->Log.decision("task_failed", {{"job", Target.Request.Id},
                                     {"task", Update.index()},
                                     {"agent", Agent},
                                     {"failures", JobTask.Failures},
                                     {"allowed", Target.Request.MaxAttempts},
                                     {"agent_ejected", Ejected}});
  if (Target.Phase != JobPhase::Running)
    return;
  if (JobTask.Failures >= Target.Request.MaxAttempts) {
    this->giveUp(Target, {LeasedEnd::Failed, "run", Agent, Update.reason(), {}},
                 Now);
    return;
  }
  // Retries on another worker if there is one.
  JobTask.Avoid = {Agent};
  if (!this->Workers.hasEligibleWorker(Target.Request, JobTask.Avoid,
                                       Now.Steady))
    JobTask.Avoid.clear();
  this->schedulePlacement(Target);
}

void LeaseCoordinator::settle(Job &Target, Task &JobTask, TaskPhase Next) {
  this->Workers.onSettled(JobTask.Agent, Target.Request.Needs);
  this->Contacts[JobTask.Agent].ActiveOrders.erase(JobTask.Order);
  --Target.OutstandingCount;
  JobTask.Phase = Next;
}

// ---- End of jobs ----

void LeaseCoordinator::giveUp(Job &Target, LeasedAnswer Answer, Instant Now) {
  Target.Phase = JobPhase::GivingUp;
  Target.PendingAnswer = std::move(Answer);
  Target.GiveUpAt = Now.Steady + this->Options.ProofTimeout;
  this->stopTasks(Target);
  // A failed job, or one that may have run, needs no proof that nothing has
  // run.
  if (Target.PendingAnswer.End == LeasedEnd::Failed || Target.MayHaveRun)
    Target.GiveUpAt = Now.Steady;
  this->finishIfProven(Target, Now);
}

void LeaseCoordinator::stopTasks(Job &Target) {
  std::set<std::string> Agents;
  for (const Task &JobTask : Target.Tasks) {
    if (JobTask.Phase != TaskPhase::Sent)
      continue;
    Agents.insert(JobTask.Agent);
    this->Contacts[JobTask.Agent].ActiveOrders.erase(JobTask.Order);
  }
  for (const std::string &Agent : Agents)
    this->sendStop(Target.Request.Id, *this->Workers.find(Agent), {});
}

void LeaseCoordinator::sendStop(const std::string &Id,
                                const LeasedWorker &Worker,
                                const std::vector<std::uint64_t> &Orders) {
  peer::Message Message;
  peer::LeasedStop *Stop = Message.mutable_leased_stop();
  Stop->set_job(Id);
  Stop->set_agent_incarnation(Worker.Incarnation);
  Stop->mutable_orders()->Add(Orders.begin(), Orders.end());
  this->Sink.send(Worker.Agent, std::move(Message));
}

void LeaseCoordinator::finishIfProven(Job &Target, Instant Now) {
  if (Target.Phase != JobPhase::GivingUp)
    return;
  bool Over = Target.OutstandingCount == 0 || Now.Steady >= Target.GiveUpAt;
  if (!Over)
    return;
  LeasedAnswer Answer = Target.PendingAnswer;
  bool NothingRan = Target.OutstandingCount == 0 && !Target.MayHaveRun &&
                    !this->mayHaveRun(Target.Request.Id, Now);
  if (Answer.End != LeasedEnd::Failed)
    Answer.End = NothingRan ? LeasedEnd::NotRun : LeasedEnd::Unknown;
  if (Answer.End == LeasedEnd::NotRun && Answer.RetryAfter.count() == 0)
    Answer.RetryAfter = this->adviseRetry(Target.Request, Now);
  this->finish(Target, std::move(Answer), Now);
}

void LeaseCoordinator::finish(Job &Target, LeasedAnswer Answer, Instant Now) {
  Target.Phase = JobPhase::Answered;
  if (Answer.End != LeasedEnd::Completed)
    this->relayOpenStarts(Target.Request.Id, Now);
  this->Log.decision("job_ended",
                     {{"job", Target.Request.Id},
                      {"route", Target.Request.Route},
                      {"end", endName(Answer.End)},
                      {"step", Answer.Step},
                      {"peer", Answer.Peer},
                      {"reason", Answer.Reason},
                      {"took_ms", millisBetween(Target.AcceptedAt, Now.Steady)},
                      {"objective_ms", Target.Request.Objective.count()},
                      {"estimate_ms", Target.Request.Estimate.count()},
                      {"may_have_run", Target.MayHaveRun},
                      {"placements_out", Target.OutstandingCount},
                      {"tasks", Target.Tasks.size()},
                      {"done", Target.DoneCount}});
  this->countEnd(Target.Request, Answer, Target.AcceptedAt, Now);
  std::vector<Caller> Callers = std::move(Target.Callers);
  this->WaitingCallers -= Callers.size();
  for (const Caller &Answered : Callers)
    this->Answers.onLeasedAnswer(Answered.Ticket, Answer);
}

void LeaseCoordinator::countEnd(const LeasedJobRequest &Request,
                                const LeasedAnswer &Answer,
                                TimePoint AcceptedAt, Instant Now) {
  switch (Answer.End) {
  case LeasedEnd::Completed:
    ++this->Counters.Completed;
    if (Now.Steady - AcceptedAt > Request.Objective) {
      ++this->Counters.CompletedLate;
      if (this->LastBehind >= AcceptedAt)
        ++this->Counters.LateWhileBehind;
    }
    break;
  case LeasedEnd::Failed:
    ++this->Counters.Failed;
    break;
  case LeasedEnd::NotRun:
    ++this->Counters.NotRun;
    break;
  case LeasedEnd::Unknown:
    ++this->Counters.Unknown;
    break;
  }
  this->Metrics.onEnded(Request.Route, Answer.End, Now.Steady - AcceptedAt,
                        Request.Objective);
}

void LeaseCoordinator::forgetIfSettled(const std::string &Id, Instant Now) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  const Job &Known = *Found->second;
  if (Known.Phase != JobPhase::Answered || Known.OutstandingCount > 0)
    return;
  if (Known.MayHaveRun)
    this->RecentlyRan.add(Id, Now.Steady);
  std::optional<Job::Resubmission> Next =
      std::move(Found->second->NextSubmission);
  this->Jobs.erase(Found);
  if (Next)
    this->startJob(std::move(Next->Request), std::move(Next->Callers), Now);
}

} // namespace yardwheel
