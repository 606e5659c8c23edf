//===- The part of LeaseCoordinator that watches agents and time ----------===//

#include "entry/lease_coordinator.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Between two looks for tasks whose crashes may be forgotten; they are kept
/// many times as long.
constexpr std::chrono::milliseconds CrashSweepEvery{1000};

} // namespace

// ---- Agents go ----

void LeaseCoordinator::onRestarted(const std::string &Agent, Instant Now) {
  this->Contacts[Agent].LoseOldAt = Now.Steady + this->Options.RestartGrace;
}

bool LeaseCoordinator::wasBehind(Instant Now) const {
  return this->LastBehind != TimePoint::min() &&
         Now.Steady - this->LastBehind < this->Options.BehindMemory;
}

void LeaseCoordinator::noteBehind(TimePoint NewLastBehind, Instant Now) {
  this->LastBehind = NewLastBehind;
  if (!this->wasBehind(Now) || Now.Steady < this->NextCallerLook)
    return;
  this->NextCallerLook = Now.Steady + this->Options.CallerLookEvery;
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
  // Neither a verdict nor more messages while this process has to catch up;
  // what an agent has not got it will not list.
  if (this->wasBehind(Now))
    return;
  Contact &Line = this->Contacts[Lost.To.Node];
  // Whatever was under way when a connection broke fails together.
  bool SameBreak = Lost.SentAt < Line.RepeatedAt;
  bool HeardSince = Worker->LastHeard >= Line.RepeatedAt;
  if (SameBreak || HeardSince) {
    if (!SameBreak)
      Line.RepeatedAt = Now.Steady;
    this->repeat(*Worker, Lost, Now);
    return;
  }
  this->Workers.setUnreachable(Lost.To.Node);
  this->loseTasks(Lost.To.Node, /*OnlyEarlierLives=*/false,
                  "messages to it did not arrive, twice", Now);
}

void LeaseCoordinator::repeat(const LeasedWorker &Worker,
                              const Undelivered &Lost, Instant Now) {
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now.Steady -
                                                                   Lost.SentAt);
  for (const peer::Message &Message : Lost.Envelope->messages()) {
    if (Message.has_leased_dispatch()) {
      this->repeatDispatch(Worker, Message.leased_dispatch(), Age, Now);
    } else if (Message.has_leased_stop()) {
      const peer::LeasedStop &Stop = Message.leased_stop();
      const Job *Target = this->find(Stop.job());
      // Stops of stalled tasks are sent again in their own time.
      bool Over = Target != nullptr && Target->Phase != JobPhase::Running;
      if (Over || Stop.orders_size() > 0)
        this->Sink.send(Worker.Agent, Message);
    }
  }
  this->renewOne(Worker, this->Contacts[Worker.Agent.Node], Now);
}

void LeaseCoordinator::repeatDispatch(const LeasedWorker &Worker,
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
  // Renewals go out beside it, for what is wanted by now.
  Again->clear_renewed();
  for (const peer::LeasedTask &Order : Lost.tasks()) {
    Task &Which = Target->Tasks[Order.index()];
    if (Which.Phase != TaskPhase::Sent || Which.Order != Order.order())
      continue;
    Which.Repeated = true;
    // Its new stamp lets it be taken for as long again.
    Which.PlacedAt = Now.Steady;
    *Again->add_tasks() = Order;
  }
  if (Again->tasks_size() == 0)
    return;
  Again->set_stamp(Worker.stampAt(Now.Steady));
  auto Passed = static_cast<std::int32_t>(Age.count());
  Again->set_start_by_ms(Lost.start_by_ms() - Passed);
  Again->set_give_up_ms(Lost.give_up_ms() - Passed);
  this->Log.decision("dispatch_repeated", {{"job", Lost.job()},
                                           {"agent", Worker.Agent.Node},
                                           {"tasks", Again->tasks_size()},
                                           {"age_ms", Age.count()}});
  this->Sink.send(Worker.Agent, std::move(Message));
}

void LeaseCoordinator::loseTasks(const std::string &Agent,
                                 bool OnlyEarlierLives,
                                 const std::string &Reason, Instant Now) {
  ++this->Counters.AgentsLost;
  // What was asked of it until now is not held against it once it is back.
  this->Contacts[Agent].AskedAt = TimePoint::max();
  this->Contacts[Agent].SentAt = TimePoint::max();
  const LeasedWorker *Worker = this->Workers.find(Agent);
  auto IsLost = [&](const Task &Which) {
    bool Earlier = Worker == nullptr || Which.Incarnation < Worker->Incarnation;
    return Which.Phase == TaskPhase::Sent && Which.Agent == Agent &&
           (Earlier || !OnlyEarlierLives);
  };
  std::vector<std::string> Concerned;
  for (const auto &[Id, Known] : this->Jobs)
    if (std::any_of(Known->Tasks.begin(), Known->Tasks.end(), IsLost))
      Concerned.push_back(Id);
  this->Log.decision(
      "agent_lost",
      {{"agent", Agent}, {"reason", Reason}, {"jobs", Concerned.size()}});
  for (const std::string &Id : Concerned) {
    Job &Target = *this->Jobs[Id];
    Target.MayHaveRun = true;
    // What became of its runs is not known. They are no longer named in
    // renewals, and lapse; the agent may still hear that they are to stop.
    std::vector<std::uint64_t> Orders;
    for (Task &Which : Target.Tasks) {
      if (!IsLost(Which))
        continue;
      this->Contacts[Agent].Lost[Which.Order] = {Id, Which.PlacedAt};
      Orders.push_back(Which.Order);
      this->settle(Target, Which, TaskPhase::Over);
    }
    if (Worker != nullptr)
      this->sendStop(Id, *Worker, Orders);
    if (Target.Phase == JobPhase::Running)
      this->giveUp(Target, {LeasedEnd::Unknown, "run", Agent, Reason, {}}, Now);
    else if (Target.Phase == JobPhase::GivingUp)
      this->finishIfProven(Target, Now);
    this->forgetIfSettled(Id, Now);
  }
}

// ---- Agents tell what they hold ----

bool LeaseCoordinator::isMissing(Task &Which, bool Held, Instant Now) const {
  bool MayBeOnItsWay = Now.Steady - Which.PlacedAt <= this->Options.InTransit;
  if (MayBeOnItsWay || Held) {
    Which.MissingSince = TimePoint::max();
    return false;
  }
  Which.MissingSince = std::min(Which.MissingSince, Now.Steady);
  return Now.Steady - Which.MissingSince >= this->Options.MissingLimit;
}

void LeaseCoordinator::onHeldOrders(const std::string &Agent,
                                    const peer::WorkerLoad &Load, Instant Now) {
  const LeasedWorker *Worker = this->Workers.find(Agent);
  // A late answer, or one of another life, says nothing of what is held now.
  bool Newest = Worker != nullptr &&
                Load.incarnation() == Worker->Incarnation &&
                Load.stamp() >= Worker->Stamp;
  if (!Newest)
    return;
  std::set<std::uint64_t> Held(Load.held_orders().begin(),
                               Load.held_orders().end());
  this->stopGivenUp(*Worker, Held, Now);
  std::vector<peer::LeasedUpdate> Lost;
  for (const auto &[Id, Known] : this->Jobs) {
    for (std::uint32_t I = 0; I < Known->Tasks.size(); ++I) {
      Task &Which = Known->Tasks[I];
      bool There = Which.Phase == TaskPhase::Sent && Which.Agent == Agent;
      if (!There || !this->isMissing(Which, Held.contains(Which.Order), Now))
        continue;
      // It has not stood still there: there is nothing of it.
      Which.Stalled = false;
      peer::LeasedUpdate &End = Lost.emplace_back();
      End.set_job(Id);
      End.set_index(I);
      End.set_attempt(Which.Attempt);
      End.set_order(Which.Order);
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
  // Its stop may have been lost.
  for (const auto &[Id, Known] : this->Jobs)
    for (const Task &Which : Known->Tasks)
      if (Known->Phase != JobPhase::Running && Which.Phase == TaskPhase::Sent &&
          Which.Agent == Agent && Held.contains(Which.Order))
        GivenUp[Id].push_back(Which.Order);
  std::erase_if(this->Contacts[Agent].Lost, [&](const auto &Item) {
    const auto &[Order, Lost] = Item;
    if (Held.contains(Order))
      GivenUp[Lost.Job].push_back(Order);
    bool MayArrive = Now.Steady - Lost.PlacedAt <= this->Options.InTransit;
    return !Held.contains(Order) && !MayArrive;
  });
  for (const auto &[Id, Orders] : GivenUp) {
    this->Log.decision(
        "given_up_stopped",
        {{"job", Id}, {"agent", Agent}, {"placements", Orders.size()}});
    this->sendStop(Id, Worker, Orders);
  }
}

// ---- Time ----

void LeaseCoordinator::tick(Instant Now, TimePoint NewLastBehind) {
  this->noteBehind(NewLastBehind, Now);
  this->placeDue(Now);
  this->renew(Now);
  this->tickJobs(Now);
  if (Now.Steady < this->NextCrashSweep)
    return;
  this->NextCrashSweep = Now.Steady + CrashSweepEvery;
  this->Crashes.sweep(Now.Steady);
}

bool LeaseCoordinator::isUnanswered(const Contact &Line,
                                    std::chrono::milliseconds Limit,
                                    Instant Now) {
  return Line.AskedAt != TimePoint::max() && Now.Steady - Line.AskedAt > Limit;
}

void LeaseCoordinator::renew(Instant Now) {
  std::vector<std::string> Silent;
  std::vector<std::string> Restarted;
  std::vector<std::string> Lost;
  std::vector<PeerRef> ToReconnect;
  // Both are ordered by name. A look-up of each agent with each tick was one of
  // the entry's largest single costs (perf, 66 agents).
  auto Next = this->Contacts.begin();
  for (const auto &[Agent, Worker] : this->Workers.workers()) {
    // One that leaves lets its runs end, under leases that are renewed.
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
    Contact &Line = Next->second;
    if (Now.Steady >= Line.LoseOldAt) {
      Line.LoseOldAt = TimePoint::max();
      Restarted.push_back(Agent);
    }
    // The answer may lie here unread: the question is asked again.
    if (Line.AskedAt <= this->LastBehind) {
      Line.AskedAt = TimePoint::max();
      Line.SentAt = TimePoint::max();
    }
    if (isUnanswered(Line, this->Options.DoubtAfter, Now))
      this->Workers.setSuspect(Agent);
    bool Idle = Worker.OwnTasks == 0;
    if (!Idle && isUnanswered(Line, this->Options.SilenceLimit, Now))
      Silent.push_back(Agent);
    else if (!Idle && isUnanswered(Line, this->Options.ReconnectAfter, Now))
      ToReconnect.push_back(Worker.Agent);
    if (this->isRenewalDue(Worker, Line, Now))
      this->renewOne(Worker, Line, Now);
  }
  // What may not have arrived is reported, and sent again.
  for (const PeerRef &Agent : ToReconnect)
    this->Sink.reconnect(Agent);
  for (const std::string &Agent : Restarted)
    this->loseTasks(Agent, /*OnlyEarlierLives=*/true, "it has restarted", Now);
  for (const std::string &Agent : Lost) {
    this->Workers.setLost(Agent);
    this->loseTasks(Agent, /*OnlyEarlierLives=*/false,
                    "control lost it and it is silent here", Now);
  }
  for (const std::string &Agent : Silent) {
    this->Workers.setUnreachable(Agent);
    this->loseTasks(Agent, /*OnlyEarlierLives=*/false,
                    "it left renewals unanswered", Now);
  }
}

bool LeaseCoordinator::isRenewalDue(const LeasedWorker &Worker,
                                    const Contact &Line, Instant Now) const {
  if (Worker.OwnTasks > 0) {
    bool Unheard = Line.AskedAt == TimePoint::max() &&
                   Line.SentAt != TimePoint::max() &&
                   Now.Steady - Line.SentAt >= this->Options.AskAfter;
    return Unheard || Now.Steady >= Line.NextRenewal;
  }
  // An idle agent is asked only if nothing has been heard of it otherwise.
  std::chrono::milliseconds Pause = Worker.Unreachable || Worker.Suspect
                                        ? this->Options.SilentEvery
                                        : Line.RefreshAfter;
  return Now.Steady - std::max(Line.AskedToList, Worker.LastHeard) >= Pause;
}

std::chrono::milliseconds LeaseCoordinator::drawRefresh() {
  std::uniform_real_distribution<double> Share(this->Options.RefreshSpread, 1);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Options.RefreshEvery * Share(this->Random));
}

void LeaseCoordinator::renewOne(const LeasedWorker &Worker, Contact &Line,
                                Instant Now) {
  Line.RefreshAfter = this->drawRefresh();
  bool Idle = Worker.OwnTasks == 0;
  Line.NextRenewal = Now.Steady + this->Options.RenewEvery;
  Line.AskedToList = Now.Steady;
  // Only an agent that holds our tasks can lose any by its silence.
  if (Idle)
    Line.AskedAt = TimePoint::max();
  else
    Line.AskedAt = std::min(Line.AskedAt, Now.Steady);
  peer::Message Message;
  peer::LeaseRenewal *Renewal = Message.mutable_lease_renewal();
  Renewal->set_agent_incarnation(Worker.Incarnation);
  Renewal->set_stamp(Worker.stampAt(Now.Steady));
  Renewal->mutable_orders()->Add(Line.Wanted.begin(), Line.Wanted.end());
  this->Sink.send(Worker.Agent, std::move(Message));
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
    Task &Which = Target.Tasks[I];
    if (Which.Phase != TaskPhase::Sent)
      continue;
    this->askToList(Which, Now);
    // A sibling that is done tells more than what was declared.
    if (OneDone && !Which.Stalled)
      Which.AskStalledAt = std::min(Which.AskStalledAt, Now.Steady + Limit);
    if (Now.Steady < Which.AskStalledAt)
      continue;
    LeasedWorker *Worker = this->Workers.find(Which.Agent);
    if (Worker == nullptr)
      continue;
    Which.Stalled = true;
    Which.AskStalledAt = Now.Steady + this->Options.StallRetry;
    peer::Message Message;
    peer::LeasedStop *Stop = Message.mutable_leased_stop();
    Stop->set_job(Target.Request.Id);
    Stop->set_agent_incarnation(Worker->Incarnation);
    Stop->set_index(I);
    Stop->set_longer_than_ms(static_cast<std::uint32_t>(Limit.count()));
    this->Sink.send(Worker->Agent, std::move(Message));
  }
}

void LeaseCoordinator::askToList(const Task &Which, Instant Now) {
  if (Now.Steady - Which.PlacedAt <= this->Options.InTransit)
    return;
  Contact &Line = this->Contacts[Which.Agent];
  Line.NextRenewal =
      std::min(Line.NextRenewal, Line.AskedToList + this->Options.ListEvery);
}

void LeaseCoordinator::tickJobs(Instant Now) {
  std::vector<std::string> Due;
  for (const auto &[Id, Known] : this->Jobs) {
    if (Known->Phase != JobPhase::Running)
      continue;
    this->stopStalled(*Known, Now);
    if (Known->AwaitingOffers > 0 && Now.Steady >= Known->OffersUntil) {
      Known->OffersOver = true;
      this->Log.decision("offers_over",
                         {{"job", Id}, {"tasks", Known->AwaitingOffers}});
      Known->AwaitingOffers = 0;
      this->withdrawInterest(*Known);
      this->placeSoon(*Known);
    }
  }
  for (const auto &[Id, Known] : this->Jobs) {
    if (Now.Steady >= Known->GiveUpAt && Known->Phase != JobPhase::Answered)
      Due.push_back(Id);
    if (Known->Next && Now.Steady >= lastDeadline(Known->Next->Callers))
      this->dropResubmission(*Known, "an earlier hand-in has not ended yet");
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
