//===- LeaseCoordinator: agent liveness, leases and timeouts --------------===//

#include "coordination/lease_coordinator.h"

#include <algorithm>
#include <limits>

namespace yardwheel {

namespace {

/// Interval between sweeps of expired crash records and open starts, which are
/// kept many times as long.
constexpr std::chrono::milliseconds SweepInterval{1000};

} // namespace

// ---- Agent liveness ----

void LeaseCoordinator::onRestarted(const std::string &Agent, Instant Now) {
  this->Contacts[Agent].GiveUpOldTasksAt =
      Now.Steady + this->Options.RestartGrace;
}

bool LeaseCoordinator::isCatchingUp(Instant Now) const {
  return this->LastBehind != TimePoint::min() &&
         Now.Steady - this->LastBehind < this->Options.CatchUpPeriod;
}

void LeaseCoordinator::noteBehind(TimePoint NewLastBehind, Instant Now) {
  this->LastBehind = NewLastBehind;
  if (!this->isCatchingUp(Now) || Now.Steady < this->NextCallerCheck)
    return;
  this->NextCallerCheck = Now.Steady + this->Options.CallerCheckInterval;
  std::vector<std::string> Running;
  for (const auto &[Id, Known] : this->Jobs)
    if (Known->Phase == JobPhase::Running)
      Running.push_back(Id);
  for (const std::string &Id : Running)
    if (this->endIfUnwanted(*this->Jobs.at(Id), Now))
      this->forgetIfSettled(Id, Now);
}

void LeaseCoordinator::onUndelivered(const Undelivered &Lost, Instant Now) {
  LeasedWorker *Worker = this->Workers.find(Lost.To.Node);
  if (Worker == nullptr || Worker->Unreachable)
    return;
  // While this process catches up on its input, it neither judges agents nor
  // sends more messages. What an agent has not received is missing from its
  // list of held tasks.
  if (this->isCatchingUp(Now))
    return;
  Contact &AgentContact = this->Contacts[Lost.To.Node];
  // All messages in transit when a connection broke are reported as undelivered
  // together.
  bool SameBreak = Lost.SentAt < AgentContact.LastResendAt;
  bool ReceivedSince = Worker->LastHeard >= AgentContact.LastResendAt;
  if (SameBreak || ReceivedSince) {
    if (!SameBreak)
      AgentContact.LastResendAt = Now.Steady;
    this->resend(*Worker, Lost, Now);
    return;
  }
  this->Workers.setUnreachable(Lost.To.Node);
  this->giveUpAgentTasks(Lost.To.Node, /*OnlyOldIncarnations=*/false,
                         "messages to it did not arrive, twice", Now);
}

void LeaseCoordinator::resend(const LeasedWorker &Worker,
                              const Undelivered &Lost, Instant Now) {
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now.Steady -
                                                                   Lost.SentAt);
  for (const peer::Message &Message : Lost.Envelope->messages()) {
    if (Message.has_leased_dispatch()) {
      this->resendDispatch(Worker, Message.leased_dispatch(), Age, Now);
    } else if (Message.has_leased_stop()) {
      const peer::LeasedStop &Stop = Message.leased_stop();
      const Job *Target = this->find(Stop.job());
      // Stops of stalled tasks are retried by stopStalled.
      bool Over = Target != nullptr && Target->Phase != JobPhase::Running;
      if (Over || Stop.orders_size() > 0)
        this->Sink.send(Worker.Agent, Message);
    }
  }
  this->sendRenewal(Worker, this->Contacts[Worker.Agent.Node], Now);
}

void LeaseCoordinator::resendDispatch(const LeasedWorker &Worker,
                                      const peer::LeasedDispatch &Lost,
                                      std::chrono::milliseconds Age,
                                      Instant Now) {
  Job *Target = this->find(Lost.job());
  if (Target == nullptr || Target->Phase != JobPhase::Running)
    return;
  peer::Message Message;
  peer::LeasedDispatch *Again = Message.mutable_leased_dispatch();
  *Again = Lost;
  Again->clear_tasks();
  // The renewal that is sent with it names the placements that are active now.
  Again->clear_renewed();
  for (const peer::LeasedTask &Order : Lost.tasks()) {
    Task &JobTask = Target->Tasks[Order.index()];
    if (JobTask.Phase != TaskPhase::Sent || JobTask.Order != Order.order())
      continue;
    JobTask.Resent = true;
    // With the new stamp, the agent accepts the dispatch for the full transit
    // time again.
    JobTask.PlacedAt = Now.Steady;
    *Again->add_tasks() = Order;
  }
  if (Again->tasks_size() == 0)
    return;
  Again->set_stamp(Worker.stampAt(this->vouchedAt(*Target, Now)));
  auto Passed = static_cast<std::int32_t>(Age.count());
  Again->set_start_by_ms(Lost.start_by_ms() - Passed);
  Again->set_give_up_ms(Lost.give_up_ms() - Passed);
  this->Log.decision("dispatch_repeated", {{"job", Lost.job()},
                                           {"agent", Worker.Agent.Node},
                                           {"tasks", Again->tasks_size()},
                                           {"age_ms", Age.count()}});
  this->Sink.send(Worker.Agent, std::move(Message));
}

void LeaseCoordinator::relayOpenStarts(const std::string &Id, Instant Now) {
  for (const OpenStartRecord::TaskAt &Open :
       this->OpenStarts.takeUnrelayed(Id, Now.Steady))
    this->Relay.add(Open.Agent, Id, Open.Index, Open.Until);
}

void LeaseCoordinator::giveUpAgentTasks(const std::string &Agent,
                                        bool OnlyOldIncarnations,
                                        const std::string &Reason,
                                        Instant Now) {
  ++this->Counters.AgentsLost;
  // Probes that are unanswered now must not count against the agent once it is
  // back.
  this->Contacts[Agent].UnansweredSince = TimePoint::max();
  this->Contacts[Agent].FirstDispatchAt = TimePoint::max();
  const LeasedWorker *Worker = this->Workers.find(Agent);
  auto IsLost = [&](const Task &JobTask) {
    bool Earlier =
        Worker == nullptr || JobTask.Incarnation < Worker->Incarnation;
    return JobTask.Phase == TaskPhase::Sent && JobTask.Agent == Agent &&
           (Earlier || !OnlyOldIncarnations);
  };
  std::vector<std::string> Concerned;
  for (const auto &[Id, Known] : this->Jobs)
    if (std::any_of(Known->Tasks.begin(), Known->Tasks.end(), IsLost))
      Concerned.push_back(Id);
  this->Log.decision(
      "agent_lost",
      {{"agent", Agent}, {"reason", Reason}, {"jobs", Concerned.size()}});
  bool KeepsId = this->OpenStarts.keepsId(Agent);
  std::size_t OpenStarts = 0;
  for (const std::string &Id : Concerned) {
    Job &Target = *this->Jobs[Id];
    Target.MayHaveRun = true;
    // The outcome of these runs is unknown. Renewals no longer name them, so
    // that their leases expire; a stop may still reach the agent.
    std::vector<std::uint64_t> Orders;
    for (std::uint32_t I = 0; I < Target.Tasks.size(); ++I) {
      Task &JobTask = Target.Tasks[I];
      if (!IsLost(JobTask))
        continue;
      if (KeepsId && !JobTask.StartAnswered) {
        ++OpenStarts;
        this->OpenStarts.addUnreported(Agent, Id, I, Now.Steady);
      }
      this->Contacts[Agent].GivenUpOrders[JobTask.Order] = {Id,
                                                            JobTask.PlacedAt};
      Orders.push_back(JobTask.Order);
      this->settle(Target, JobTask, TaskPhase::Over);
    }
    this->relayOpenStarts(Id, Now);
    if (Worker != nullptr)
      this->sendStop(Id, *Worker, Orders);
    if (Target.Phase == JobPhase::Running)
      this->giveUp(Target, {LeasedEnd::Unknown, "run", Agent, Reason, {}}, Now);
    else if (Target.Phase == JobPhase::GivingUp)
      this->finishIfProven(Target, Now);
    this->forgetIfSettled(Id, Now);
  }
  if (OpenStarts > 0)
    this->Log.decision("open_starts_assumed",
                       {{"agent", Agent}, {"starts", OpenStarts}});
}

// ---- Placements that agents list ----

bool LeaseCoordinator::isMissing(Task &JobTask, bool Held, Instant Now) const {
  bool MayBeOnItsWay =
      Now.Steady - JobTask.PlacedAt <= this->Options.MaxTransitTime;
  if (MayBeOnItsWay || Held) {
    JobTask.MissingSince = TimePoint::max();
    return false;
  }
  JobTask.MissingSince = std::min(JobTask.MissingSince, Now.Steady);
  return Now.Steady - JobTask.MissingSince >= this->Options.MissingTimeout;
}

void LeaseCoordinator::onHeldOrders(const std::string &Agent,
                                    const peer::WorkerLoad &Load, Instant Now) {
  const LeasedWorker *Worker = this->Workers.find(Agent);
  // A late reply, or one of another incarnation, does not tell what the agent
  // holds now.
  bool Newest = Worker != nullptr &&
                Load.incarnation() == Worker->Incarnation &&
                Load.stamp() >= Worker->Stamp;
  if (!Newest)
    return;
  std::set<std::uint64_t> Held(Load.held_orders().begin(),
                               Load.held_orders().end());
  std::set<std::uint64_t> Answered(Load.answered_orders().begin(),
                                   Load.answered_orders().end());
  this->stopGivenUp(*Worker, Held, Now);
  std::vector<peer::LeasedUpdate> Lost;
  for (const auto &[Id, Known] : this->Jobs) {
    for (std::uint32_t I = 0; I < Known->Tasks.size(); ++I) {
      Task &JobTask = Known->Tasks[I];
      bool There = JobTask.Phase == TaskPhase::Sent && JobTask.Agent == Agent;
      if (There && Answered.contains(JobTask.Order))
        JobTask.StartAnswered = true;
      if (!There ||
          !this->isMissing(JobTask, Held.contains(JobTask.Order), Now))
        continue;
      // The task has not stalled: the agent does not hold it.
      JobTask.Stalled = false;
      peer::LeasedUpdate &End = Lost.emplace_back();
      End.set_job(Id);
      End.set_index(I);
      End.set_attempt(JobTask.Attempt);
      End.set_order(JobTask.Order);
      End.set_event(peer::LEASED_ENDED_EARLY);
      End.set_reason("its agent no longer lists it");
    }
  }
  for (const peer::LeasedUpdate &End : Lost)
    this->onUpdate(Agent, End, Now);
}

void LeaseCoordinator::stopGivenUp(const LeasedWorker &Worker,
                                   const std::set<std::uint64_t> &Held,
                                   Instant Now) {
  const std::string &Agent = Worker.Agent.Node;
  std::map<std::string, std::vector<std::uint64_t>> GivenUp;
  // The stop of the job may have been lost.
  for (const auto &[Id, Known] : this->Jobs)
    for (const Task &JobTask : Known->Tasks)
      if (Known->Phase != JobPhase::Running &&
          JobTask.Phase == TaskPhase::Sent && JobTask.Agent == Agent &&
          Held.contains(JobTask.Order))
        GivenUp[Id].push_back(JobTask.Order);
  std::erase_if(this->Contacts[Agent].GivenUpOrders, [&](const auto &Item) {
    const auto &[Order, Lost] = Item;
    if (Held.contains(Order))
      GivenUp[Lost.Job].push_back(Order);
    bool MayArrive = Now.Steady - Lost.PlacedAt <= this->Options.MaxTransitTime;
    return !Held.contains(Order) && !MayArrive;
  });
  for (const auto &[Id, Orders] : GivenUp) {
    this->Log.decision(
        "given_up_stopped",
        {{"job", Id}, {"agent", Agent}, {"placements", Orders.size()}});
    this->sendStop(Id, Worker, Orders);
  }
}

// ---- Timers ----

void LeaseCoordinator::tick(Instant Now, TimePoint NewLastBehind) {
  this->noteBehind(NewLastBehind, Now);
  this->placeScheduled(Now);
  this->renewLeases(Now);
  this->tickJobs(Now);
  this->updateAwaitsAgents(Now);
  for (auto &[Entry, Message] : this->Relay.dueMessages(Now.Steady))
    this->Sink.send(Entry, std::move(Message));
  if (Now.Steady < this->NextSweep)
    return;
  this->NextSweep = Now.Steady + SweepInterval;
  this->Crashes.sweep(Now.Steady);
  this->OpenStarts.sweep(Now.Steady);
}

bool LeaseCoordinator::isUnanswered(const Contact &AgentContact,
                                    std::chrono::milliseconds Limit,
                                    Instant Now) {
  return AgentContact.UnansweredSince != TimePoint::max() &&
         Now.Steady - AgentContact.UnansweredSince > Limit;
}

void LeaseCoordinator::renewLeases(Instant Now) {
  std::vector<std::string> Unresponsive;
  std::vector<std::string> Restarted;
  std::vector<std::string> Lost;
  std::vector<PeerRef> ToReconnect;
  std::vector<FirstContact> Unheard;
  // Both maps are ordered by agent name, so one pass over them suffices.
  // Looking up each agent on every tick was one of the largest single costs of
  // the entry (profiled with 66 agents).
  auto Next = this->Contacts.begin();
  for (const auto &[Agent, Worker] : this->Workers.workers()) {
    // A leaving agent finishes its runs, whose leases must still be renewed.
    if (!Worker.Alive && Worker.OwnTasks == 0)
      continue;
    if (this->Workers.isLost(Worker, Now.Steady)) {
      Lost.push_back(Agent);
      continue;
    }
    while (Next != this->Contacts.end() && Next->first < Agent)
      ++Next;
    if (Next == this->Contacts.end() || Next->first != Agent)
      Next = this->Contacts.try_emplace(Next, Agent);
    Contact &AgentContact = Next->second;
    if (this->awaitsFirstContact(Worker, AgentContact, Unheard))
      continue;
    if (Now.Steady >= AgentContact.GiveUpOldTasksAt) {
      AgentContact.GiveUpOldTasksAt = TimePoint::max();
      Restarted.push_back(Agent);
    }
    // The reply may have arrived without having been read: the probe is
    // repeated.
    if (AgentContact.UnansweredSince <= this->LastBehind) {
      AgentContact.UnansweredSince = TimePoint::max();
      AgentContact.FirstDispatchAt = TimePoint::max();
    }
    if (isUnanswered(AgentContact, this->Options.SuspectTimeout, Now))
      this->Workers.setSuspect(Agent);
    bool Idle = Worker.OwnTasks == 0;
    if (!Idle &&
        isUnanswered(AgentContact, this->Options.AgentLossTimeout, Now))
      Unresponsive.push_back(Agent);
    else if (!Idle &&
             isUnanswered(AgentContact, this->Options.ReconnectTimeout, Now))
      ToReconnect.push_back(Worker.Agent);
    if (this->isRenewalDue(Worker, AgentContact, Now))
      this->sendRenewal(Worker, AgentContact, Now);
  }
  for (const std::string &Agent :
       chooseFirstContacts(Unheard, this->Options.FirstContacts,
                           this->Options.Seed, Now.Steady))
    this->sendRenewal(*this->Workers.find(Agent), this->Contacts[Agent], Now);
  // Messages that may not have arrived are reported as undelivered, and resent.
  for (const PeerRef &Agent : ToReconnect)
    this->Sink.reconnect(Agent);
  for (const std::string &Agent : Restarted)
    this->giveUpAgentTasks(Agent, /*OnlyOldIncarnations=*/true,
                           "it has restarted", Now);
  for (const std::string &Agent : Lost) {
    this->Workers.setLost(Agent);
    this->clearIfGone(Agent);
    this->giveUpAgentTasks(Agent, /*OnlyOldIncarnations=*/false,
                           "control lost it and it is silent here", Now);
  }
  for (const std::string &Agent : Unresponsive) {
    this->Workers.setUnreachable(Agent);
    this->giveUpAgentTasks(Agent, /*OnlyOldIncarnations=*/false,
                           "it left renewals unanswered", Now);
  }
}

bool LeaseCoordinator::awaitsFirstContact(
    const LeasedWorker &Worker, const Contact &AgentContact,
    std::vector<FirstContact> &Unheard) const {
  bool IsHeard = Worker.LastHeard != TimePoint();
  if (this->Options.FirstContacts.MaxUnanswered == 0 || IsHeard)
    return false;
  Unheard.push_back(
      {Worker.Agent.Node, Worker.DataCentre, AgentContact.LastRenewalAt});
  return AgentContact.LastRenewalAt == TimePoint::min();
}

bool LeaseCoordinator::isRenewalDue(const LeasedWorker &Worker,
                                    const Contact &AgentContact,
                                    Instant Now) const {
  if (Worker.OwnTasks > 0) {
    bool NothingReceived = AgentContact.UnansweredSince == TimePoint::max() &&
                           AgentContact.FirstDispatchAt != TimePoint::max() &&
                           Now.Steady - AgentContact.FirstDispatchAt >=
                               this->Options.DispatchProbeDelay;
    return NothingReceived || Now.Steady >= AgentContact.NextRenewal;
  }
  // An idle agent is probed only if nothing else has been received from it.
  std::chrono::milliseconds Pause = Worker.Unreachable || Worker.Suspect
                                        ? this->Options.UnreachableProbeInterval
                                        : AgentContact.IdleProbeDelay;
  if (this->MayMissOpenStarts)
    Pause = std::min(Pause, this->Options.StartupProbeInterval);
  return Now.Steady - std::max(AgentContact.LastRenewalAt, Worker.LastHeard) >=
         Pause;
}

std::chrono::milliseconds LeaseCoordinator::drawIdleProbeDelay() {
  std::uniform_real_distribution<double> Share(this->Options.MinIdleProbeShare,
                                               1);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Options.IdleProbeInterval * Share(this->Random));
}

void LeaseCoordinator::sendRenewal(const LeasedWorker &Worker,
                                   Contact &AgentContact, Instant Now) {
  AgentContact.IdleProbeDelay = this->drawIdleProbeDelay();
  bool Idle = Worker.OwnTasks == 0;
  AgentContact.NextRenewal = Now.Steady + this->Options.RenewalInterval;
  AgentContact.LastRenewalAt = Now.Steady;
  // Only an agent that holds tasks of this entry is timed out.
  if (Idle)
    AgentContact.UnansweredSince = TimePoint::max();
  else
    AgentContact.UnansweredSince =
        std::min(AgentContact.UnansweredSince, Now.Steady);
  peer::Message Message;
  peer::LeaseRenewal *Renewal = Message.mutable_lease_renewal();
  Renewal->set_agent_incarnation(Worker.Incarnation);
  NamedOrders Renewed =
      this->namedOrders(AgentContact, std::numeric_limits<std::uint64_t>::max(),
                        Now.Steady - this->Options.MaxVouchAge, Now);
  Renewal->set_stamp(Worker.stampAt(Renewed.Since));
  Renewal->mutable_orders()->Add(Renewed.Orders.begin(), Renewed.Orders.end());
  Renewal->set_asks_kind(Worker.Pool.empty());
  Renewal->set_open_starts_seen(
      this->OpenStarts.acknowledged(Worker.Agent.Node, Worker.Incarnation));
  this->Sink.send(Worker.Agent, std::move(Message));
}

TimePoint LeaseCoordinator::vouchedAt(const Job &Target, Instant Now) const {
  TimePoint Newest = TimePoint::min();
  for (const Caller &Known : Target.Callers)
    Newest =
        std::max(Newest, this->Answers.vouchedAt(Known.Ticket, Now.Steady));
  return Newest;
}

LeaseCoordinator::NamedOrders
LeaseCoordinator::namedOrders(const Contact &AgentContact, std::uint64_t Below,
                              TimePoint Since, Instant Now) const {
  NamedOrders Named{{}, Now.Steady};
  for (const auto &[Order, Target] : AgentContact.ActiveOrders) {
    if (Order >= Below)
      break;
    TimePoint Vouched = this->vouchedAt(*Target, Now);
    if (Vouched < Since)
      continue;
    Named.Orders.push_back(Order);
    Named.Since = std::min(Named.Since, Vouched);
  }
  return Named;
}

std::chrono::milliseconds
LeaseCoordinator::stallLimit(const Job &Target) const {
  bool Known = Target.LongestDone.count() > 0;
  auto Base = static_cast<double>(
      (Known ? Target.LongestDone : Target.Request.Estimate).count());
  double Factor =
      Known ? this->Options.StallFactor : this->Options.StallEstimateFactor;
  return std::chrono::milliseconds(static_cast<std::int64_t>(Base * Factor)) +
         this->Options.StallSlack;
}

void LeaseCoordinator::stopStalled(Job &Target, Instant Now) {
  std::chrono::milliseconds Limit = this->stallLimit(Target);
  bool OneDone = Target.LongestDone.count() > 0;
  for (std::uint32_t I = 0; I < Target.Tasks.size(); ++I) {
    Task &JobTask = Target.Tasks[I];
    if (JobTask.Phase != TaskPhase::Sent)
      continue;
    this->requestHeldOrders(JobTask, Now);
    // The run time of a completed task of the job is a better estimate than the
    // declared one.
    if (OneDone && !JobTask.Stalled)
      JobTask.StallCheckAt = std::min(JobTask.StallCheckAt, Now.Steady + Limit);
    if (Now.Steady < JobTask.StallCheckAt)
      continue;
    LeasedWorker *Worker = this->Workers.find(JobTask.Agent);
    if (Worker == nullptr)
      continue;
    JobTask.Stalled = true;
    JobTask.StallCheckAt = Now.Steady + this->Options.StallRetryInterval;
    peer::Message Message;
    peer::LeasedStop *Stop = Message.mutable_leased_stop();
    Stop->set_job(Target.Request.Id);
    Stop->set_agent_incarnation(Worker->Incarnation);
    Stop->set_index(I);
    Stop->set_longer_than_ms(static_cast<std::uint32_t>(Limit.count()));
    this->Sink.send(Worker->Agent, std::move(Message));
  }
}

void LeaseCoordinator::requestHeldOrders(const Task &JobTask, Instant Now) {
  if (Now.Steady - JobTask.PlacedAt <= this->Options.MaxTransitTime)
    return;
  Contact &AgentContact = this->Contacts[JobTask.Agent];
  AgentContact.NextRenewal =
      std::min(AgentContact.NextRenewal,
               AgentContact.LastRenewalAt + this->Options.HeldListInterval);
}

void LeaseCoordinator::tickJobs(Instant Now) {
  std::vector<std::string> Due;
  for (const auto &[Id, Known] : this->Jobs) {
    if (Known->Phase != JobPhase::Running)
      continue;
    this->stopStalled(*Known, Now);
    this->placeAwaitingAgent(*Known, Now);
    this->placePaused(*Known, Now);
    if (Known->AwaitingOffers > 0 && Now.Steady >= Known->OffersDeadline) {
      Known->OffersTimedOut = true;
      this->Log.decision("offers_over",
                         {{"job", Id}, {"tasks", Known->AwaitingOffers}});
      Known->AwaitingOffers = 0;
      this->withdrawInterest(*Known);
      this->schedulePlacement(*Known);
    }
  }
  for (const auto &[Id, Known] : this->Jobs) {
    if (Now.Steady >= Known->GiveUpAt && Known->Phase != JobPhase::Answered)
      Due.push_back(Id);
    if (Known->NextSubmission &&
        Now.Steady >= lastDeadline(Known->NextSubmission->Callers))
      this->dropResubmission(*Known, "an earlier hand-in has not ended yet",
                             Now);
  }
  for (const std::string &Id : Due) {
    Job &Target = *this->Jobs[Id];
    if (Target.Phase == JobPhase::Running)
      this->endIfUnwanted(Target, Now);
    else
      this->finishIfProven(Target, Now);
    this->forgetIfSettled(Id, Now);
  }
}

} // namespace yardwheel
