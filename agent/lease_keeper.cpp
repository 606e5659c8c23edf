#include "agent/lease_keeper.h"

#include "agent/refusals.h"
#include "protocol/task_needs.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Whether only entries send this kind of message.
bool isFromEntry(const peer::Message &Message) {
  return Message.has_leased_dispatch() || Message.has_leased_stop() ||
         Message.has_leased_interest() || Message.has_offer_reply() ||
         Message.has_lease_renewal();
}

} // namespace

LeaseKeeper::LeaseKeeper(KeeperOptions Options, PeerSink &Sink,
                         WorkerPort &Port)
    : Options(Options), Sink(Sink), Session(Options.Session, Port, *this),
      Offers(Options.OfferTimeout), Open(Options.OpenStarts),
      Pace(Options.Pace), Order(Options.StartOrder) {}

std::uint64_t LeaseKeeper::stampAt(Instant Now) {
  auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.Steady.time_since_epoch());
  return static_cast<std::uint64_t>(Since.count());
}

void LeaseKeeper::onProfile(const WorkerProfile &Profile, Instant Now) {
  this->Session.onProfile(Profile, Now);
  this->leaveIfDraining(Now);
}

void LeaseKeeper::raiseIncarnationAbove(std::uint64_t Known) {
  if (Known < this->Options.Incarnation)
    return;
  this->Log.decision("incarnation_raised",
                     {{"was", this->Options.Incarnation}, {"known", Known}});
  this->Options.Incarnation = Known + 1;
}

void LeaseKeeper::leaveIfDraining(Instant Now) {
  if (this->Session.profile().Draining && !this->Leaving)
    this->leave("the worker drains", Now);
}

void LeaseKeeper::onWorkerAttached(Instant Now) {
  if (this->HadWorker)
    ++this->Options.Incarnation;
  this->HadWorker = true;
  this->WasLeavingAtAttach = this->Leaving;
  this->FailuresInRow = 0;
  this->Pace.reset();
  this->Leaving = this->ShuttingDown;
  this->Offers.clearInterests();
  this->KindSentTo.clear();
  this->leaveIfDraining(Now);
}

void LeaseKeeper::onMessage(const PeerRef &From, const peer::Message &Message,
                            Instant Now) {
  this->dropExpired(Now);
  // Another role may have the same name on a node and incarnations of its own.
  if (isFromEntry(Message))
    this->trackIncarnation(From, Now);
  if (Message.has_leased_dispatch()) {
    this->onDispatch(From, Message.leased_dispatch(), Now);
  } else if (Message.has_leased_stop()) {
    this->onStop(From, Message.leased_stop(), Now);
  } else if (Message.has_leased_interest()) {
    this->onInterest(From, Message.leased_interest(), Now);
  } else if (Message.has_offer_reply()) {
    this->releaseRoom(
        this->Offers.release(From.Node, Message.offer_reply().offer(), 0));
    this->startFitting(Now);
  } else if (Message.has_lease_renewal()) {
    const peer::LeaseRenewal &Renewal = Message.lease_renewal();
    bool IsCurrent = Renewal.agent_incarnation() == this->Options.Incarnation;
    if (IsCurrent)
      this->Open.acknowledge(From.Node, Renewal.open_starts_seen());
    if (IsCurrent)
      this->renew(From, {Renewal.orders().begin(), Renewal.orders().end()},
                  this->leaseFrom(Renewal.stamp(), Now), Now);
    this->flushUpdates(From);
    peer::Message Reply;
    peer::WorkerLoad *Load = Reply.mutable_worker_load();
    *Load = this->loadFor(From.Node, Now, /*WithAllCrashes=*/true);
    Load->set_lists_held(true);
    if (Renewal.asks_kind())
      this->addKind(*Load);
    for (const auto &[Id, Known] : this->Tasks) {
      if (Known.Owner.Node != From.Node)
        continue;
      Load->add_held_orders(Known.Order);
      bool IsAnswered =
          Known.State != Phase::Queued &&
          this->Session.isStartAnswered({Id.Job, Id.Index, Known.Run});
      if (Load->worker_keeps_id() && IsAnswered)
        Load->add_answered_orders(Known.Order);
    }
    this->Sink.send(From, std::move(Reply));
  }
}

// ---- Incoming tasks ----

void LeaseKeeper::onDispatch(const PeerRef &From,
                             const peer::LeasedDispatch &Dispatch,
                             Instant Now) {
  // Meant for an earlier incarnation: this one has not started it and will not.
  bool IsCurrent = Dispatch.agent_incarnation() == this->Options.Incarnation;
  // Enough of the lease must be left for a renewal, whose reply brings a newer
  // stamp.
  std::chrono::milliseconds Left{0};
  if (IsCurrent)
    Left = this->leaseFrom(Dispatch.stamp(), Now);
  this->renew(From, {Dispatch.renewed().begin(), Dispatch.renewed().end()},
              Left, Now);
  bool Fresh = Left >= this->Options.EntryLease / 2;
  if (!Fresh && Dispatch.tasks_size() > 0)
    this->Log.decision(
        "dispatch_stale",
        {{"job", Dispatch.job()},
         {"entry", From.Node},
         {"first_order", Dispatch.tasks(0).order()},
         {"tasks", Dispatch.tasks_size()},
         {"for_incarnation", Dispatch.agent_incarnation()},
         {"incarnation", this->Options.Incarnation},
         {"stamp_age_ms", static_cast<std::int64_t>(stampAt(Now)) -
                              static_cast<std::int64_t>(Dispatch.stamp())}});
  for (const peer::LeasedTask &Order : Dispatch.tasks())
    this->onOrder(From, Dispatch, Order, Left, Now);
  if (Dispatch.offer() > 0)
    this->startInOfferedRoom(From, Dispatch, Now);
  this->startFitting(Now);
  if (Dispatch.start_or_refuse())
    this->refuseQueued(From, Dispatch, Now);
}

void LeaseKeeper::startInOfferedRoom(const PeerRef &From,
                                     const peer::LeasedDispatch &Dispatch,
                                     Instant Now) {
  auto Sent = static_cast<std::uint32_t>(Dispatch.tasks_size());
  this->releaseRoom(this->Offers.release(From.Node, Dispatch.offer(), Sent));
  if (!this->canStartRuns(Now))
    return;
  for (const peer::LeasedTask &Order : Dispatch.tasks()) {
    TaskId Id{Dispatch.job(), Order.index()};
    auto Known = this->Tasks.find(Id);
    bool Starts = Known != this->Tasks.end() &&
                  Known->second.State == Phase::Queued &&
                  Known->second.Order == Order.order() &&
                  this->suits(Known->second.Requirement) &&
                  this->fits(Known->second.Needs) &&
                  this->hasLeaseToStart(Known->second, Now);
    if (!Starts)
      continue;
    this->dequeue(Id);
    this->startTask(Id, Known->second, Now);
  }
}

void LeaseKeeper::dequeue(const TaskId &Id) {
  std::erase_if(this->Queue, [&](const TaskId &Waiting) {
    return Waiting.Job == Id.Job && Waiting.Index == Id.Index;
  });
}

void LeaseKeeper::refuseQueued(const PeerRef &From,
                               const peer::LeasedDispatch &Dispatch,
                               Instant Now) {
  for (const peer::LeasedTask &Order : Dispatch.tasks()) {
    TaskId Id{Dispatch.job(), Order.index()};
    auto Known = this->Tasks.find(Id);
    bool Waits = Known != this->Tasks.end() &&
                 Known->second.State == Phase::Queued &&
                 Known->second.Owner.Node == From.Node &&
                 Known->second.Order == Order.order();
    if (Waits)
      this->dropTask(Id, peer::REFUSAL_BUSY, "it would have to wait", Now);
  }
}

peer::LeasedRefusal
LeaseKeeper::refusalFor(const TaskId &Id,
                        const peer::WorkerRequirement &Requirement,
                        bool Fresh) const {
  if (!Fresh)
    return peer::REFUSAL_STALE;
  if (this->Leaving)
    return peer::REFUSAL_LEAVING;
  if (this->Evacuated)
    return peer::REFUSAL_EVACUATED;
  if (!this->Session.isReady())
    return peer::REFUSAL_NO_WORKER;
  if (this->Tasks.contains(Id))
    return peer::REFUSAL_OTHER_OWNER;
  if (!this->suits(Requirement) || this->hasAllTasks(Id.Job, Requirement))
    return peer::REFUSAL_UNSUITABLE;
  return peer::REFUSAL_NONE;
}

bool LeaseKeeper::suits(const peer::WorkerRequirement &Requirement) const {
  if (Requirement.pool().empty())
    return true;
  const WorkerProfile &Profile = this->Session.profile();
  bool HasLabel = Requirement.label().empty() ||
                  Profile.Labels.contains(Requirement.label());
  return this->Session.hasAnnounced() && HasLabel &&
         Profile.Pool == Requirement.pool();
}

bool LeaseKeeper::hasAllTasks(
    const std::string &Job, const peer::WorkerRequirement &Requirement) const {
  if (Requirement.max_tasks() == 0)
    return false;
  std::uint32_t Count = 0;
  for (auto Known = this->Tasks.lower_bound({Job, 0});
       Known != this->Tasks.end() && Known->first.Job == Job; ++Known)
    ++Count;
  return Count >= Requirement.max_tasks();
}

std::optional<peer::WorkerKind> LeaseKeeper::workerKind() const {
  if (!this->Session.hasAnnounced())
    return std::nullopt;
  const WorkerProfile &Profile = this->Session.profile();
  peer::WorkerKind Kind;
  Kind.set_pool(Profile.Pool);
  for (const std::string &Label : Profile.Labels)
    Kind.add_labels(Label);
  return Kind;
}

void LeaseKeeper::onOrder(const PeerRef &From,
                          const peer::LeasedDispatch &Dispatch,
                          const peer::LeasedTask &Order,
                          std::chrono::milliseconds Left, Instant Now) {
  TaskId Id{Dispatch.job(), Order.index()};
  Task New;
  New.Owner = From;
  New.Attempt = Order.attempt();
  New.Order = Order.order();
  New.LeaseEnd = Now.Steady + Left;
  New.Spec = Dispatch.spec();
  New.Suspect = Dispatch.suspect();
  New.Needs = Dispatch.needs();
  New.Requirement = Dispatch.requirement();
  New.Estimate = std::chrono::milliseconds(Dispatch.estimate_ms());
  New.Arrived = Now.Steady;
  New.Waiting = {.Priority = Dispatch.priority(),
                 .StartBy = Now.Steady +
                            std::chrono::milliseconds(Dispatch.start_by_ms())};
  New.GiveUpAt = Now.Steady + std::chrono::milliseconds(Dispatch.give_up_ms());
  auto Known = this->Tasks.find(Id);
  // Entries resend a dispatch when its receipt is lost.
  bool Held = Known != this->Tasks.end() &&
              Known->second.Owner.Node == From.Node &&
              Known->second.Order == Order.order();
  if (Held || this->EndedPlacements.contains({From.Node, Order.order()}))
    return;
  bool Fresh = Left >= this->Options.EntryLease / 2;
  peer::LeasedRefusal Refusal = this->refusalFor(Id, New.Requirement, Fresh);
  // A task larger than the worker would block the head of the queue forever.
  if (Refusal == peer::REFUSAL_NONE &&
      !holdsNeeds(this->Session.profile().Room, New.Needs))
    Refusal = peer::REFUSAL_BUSY;
  // If two of them met on one worker after the other, both would be blamed for
  // crashes of which one is the cause.
  if (Refusal == peer::REFUSAL_NONE && New.Suspect &&
      this->holdsSuspectOfOther(Id.Job))
    Refusal = peer::REFUSAL_BUSY;
  if (Refusal != peer::REFUSAL_NONE) {
    ++this->Counters.Refused;
    bool IsUnsuitable = Refusal == peer::REFUSAL_UNSUITABLE;
    this->sendUpdate(Id, New, peer::LEASED_NOT_STARTED, Refusal,
                     IsUnsuitable ? UnsuitableWorker : "", Now);
    return;
  }
  this->Tasks[Id] = std::move(New);
  this->Queue.push_back(Id);
}

bool LeaseKeeper::holdsSuspectOfOther(const std::string &Job) const {
  return std::any_of(this->Tasks.begin(), this->Tasks.end(),
                     [&](const auto &Item) {
                       return Item.second.Suspect && Item.first.Job != Job;
                     });
}

void LeaseKeeper::onInterest(const PeerRef &From,
                             const peer::LeasedInterest &Request, Instant Now) {
  bool IsCurrent = Request.agent_incarnation() == this->Options.Incarnation;
  if (!IsCurrent || !this->takesTasks())
    return;
  if (this->Session.hasWorker() && !this->suits(Request.requirement()))
    return;
  if (Request.tasks() == 0) {
    this->Offers.drop(From.Node, Request.job());
    return;
  }
  this->Offers.add(
      {From, Request.job(), Request.needs(), Request.tasks(),
       Now.Steady + std::chrono::milliseconds(Request.start_by_ms())});
  this->startFitting(Now);
}

bool LeaseKeeper::offerRoom(Interest &Target, Instant Now) {
  std::uint32_t Tasks = 0;
  while (Tasks < Target.Tasks &&
         this->fits(multiplyNeeds(Target.Needs, Tasks + 1)))
    ++Tasks;
  if (Tasks == 0)
    return false;
  this->reserveRoom(multiplyNeeds(Target.Needs, Tasks));
  peer::Message Message;
  peer::LeasedOffer *Offer = Message.mutable_leased_offer();
  Offer->set_job(Target.Job);
  Offer->set_offer(this->Offers.reserve(Target, Tasks, Now.Steady));
  Offer->set_tasks(Tasks);
  *Offer->mutable_load() = this->loadFor(Target.Entry.Node, Now);
  this->Sink.send(Target.Entry, std::move(Message));
  return Target.Tasks == 0;
}

void LeaseKeeper::onStop(const PeerRef &From, const peer::LeasedStop &Stop,
                         Instant Now) {
  if (Stop.longer_than_ms() > 0) {
    this->stopStalled(From, Stop, Now);
    return;
  }
  std::set<std::uint64_t> Orders(Stop.orders().begin(), Stop.orders().end());
  std::vector<TaskId> Matches;
  for (const auto &[Id, Known] : this->Tasks)
    if (Id.Job == Stop.job() && Known.Owner.Node == From.Node &&
        (Orders.empty() || Orders.contains(Known.Order)))
      Matches.push_back(Id);
  for (const TaskId &Id : Matches)
    this->dropTask(Id, peer::REFUSAL_STOPPED, "stopped by its entry", Now);
}

void LeaseKeeper::stopStalled(const PeerRef &From, const peer::LeasedStop &Stop,
                              Instant Now) {
  TaskId Id{Stop.job(), Stop.index()};
  auto Found = this->Tasks.find(Id);
  bool Matches = Found != this->Tasks.end() &&
                 Found->second.Owner.Node == From.Node &&
                 Found->second.State == Phase::Running;
  if (!Matches)
    return;
  std::optional<TimePoint> Since =
      this->Session.runningSince({Id.Job, Id.Index, Found->second.Run});
  if (Since && millisBetween(*Since, Now.Steady) >
                   static_cast<std::int64_t>(Stop.longer_than_ms())) {
    Found->second.Stalled = true;
    this->dropTask(Id, peer::REFUSAL_STOPPED, "stalled", Now);
  }
}

void LeaseKeeper::dropTask(const TaskId &Id, peer::LeasedRefusal Cause,
                           const std::string &Reason, Instant Now) {
  auto Found = this->Tasks.find(Id);
  if (Found == this->Tasks.end())
    return;
  Task &TheTask = Found->second;
  if (TheTask.State == Phase::Queued) {
    this->dequeue(Id);
    ++this->Counters.Refused;
    this->sendUpdate(Id, TheTask, peer::LEASED_NOT_STARTED, Cause, Reason, Now);
    this->Tasks.erase(Found);
    return;
  }
  if (TheTask.State == Phase::Stopping)
    return;
  TheTask.State = Phase::Stopping;
  this->Log.decision("run_stopped", {{"job", Id.Job},
                                     {"task", Id.Index},
                                     {"run", TheTask.Run},
                                     {"entry", TheTask.Owner.Node},
                                     {"order", TheTask.Order},
                                     {"reason", Reason}});
  this->Session.stop({Id.Job, Id.Index, TheTask.Run}, Now);
}

// ---- Starting tasks ----

bool LeaseKeeper::fits(const peer::TaskNeeds &Needs) const {
  const peer::TaskNeeds &Room = this->Session.profile().Room;
  return this->UsedRoom.cpu_milli() + Needs.cpu_milli() <= Room.cpu_milli() &&
         this->UsedRoom.memory_mb() + Needs.memory_mb() <= Room.memory_mb() &&
         this->UsedRoom.accelerators() + Needs.accelerators() <=
             Room.accelerators();
}

bool LeaseKeeper::isOverfull() const { return !this->fits({}); }

std::vector<LeaseKeeper::TaskId> LeaseKeeper::sortedQueue(Instant Now) const {
  std::vector<TaskId> Sorted = this->Queue;
  auto Before = [&](const TaskId &Left, const TaskId &Right) {
    return this->Order.precedes(this->Tasks.at(Left).Waiting,
                                this->Tasks.at(Right).Waiting, Now.Steady);
  };
  std::stable_sort(Sorted.begin(), Sorted.end(), Before);
  return Sorted;
}

void LeaseKeeper::notePassedOver(const Task &Started, Instant Now) {
  for (const TaskId &Id : this->Queue)
    this->Order.noteStarted(Started.Waiting, this->Tasks.at(Id).Waiting,
                            Now.Steady);
}

void LeaseKeeper::startFitting(Instant Now) {
  this->Offers.dropStale(Now.Steady);
  bool Idle = this->Queue.empty() && this->Offers.interests().empty();
  bool Blocked =
      Idle || !this->canStartRuns(Now) || Now.Steady < this->NoRoomUntil;
  if (Blocked)
    return;
  this->dropExpired(Now);
  this->rejectUnsuitable(Now);
  std::vector<TaskId> Rest;
  bool Full = false;
  auto Interested = this->Offers.interests().begin();
  auto OfferUntil = [&](TimePoint StartBy) {
    auto End = this->Offers.interests().end();
    for (; !Full && Interested != End && Interested->StartBy <= StartBy;
         ++Interested)
      Full = !this->offerRoom(*Interested, Now);
  };
  for (const TaskId &Id : this->sortedQueue(Now)) {
    Task &TheTask = this->Tasks.at(Id);
    bool Late = TheTask.Waiting.isLate(Now.Steady);
    OfferUntil(Late ? TimePoint::max() : TheTask.Waiting.StartBy);
    // The first task that does not fit blocks those behind it, so that it is
    // not starved.
    Full = Full || !this->fits(TheTask.Needs);
    if (Full || !this->hasLeaseToStart(TheTask, Now))
      Rest.push_back(Id);
    else
      this->startTask(Id, TheTask, Now);
  }
  OfferUntil(TimePoint::max());
  this->Queue = std::move(Rest);
}

bool LeaseKeeper::canStartRuns(Instant Now) const {
  return this->Session.isReady() && !this->Session.isUnresponsive() &&
         !this->Session.mayHaveRestarted() &&
         this->maxWorkerLeaseEnd(Now) - Now.Steady >=
             this->Options.MinWorkerLease &&
         this->Session.mayCarryLease(Now);
}

bool LeaseKeeper::hasLeaseToStart(const Task &TheTask, Instant Now) const {
  return this->outlastsWorkerLease(TheTask) &&
         this->Session.endsInTime(TheTask.LeaseEnd + this->Options.MaxOverrun,
                                  Now);
}

bool LeaseKeeper::outlastsWorkerLease(const Task &TheTask) const {
  return TheTask.LeaseEnd + this->Options.StopAllowance >=
         this->Session.leaseEnds();
}

void LeaseKeeper::startTask(const TaskId &Id, Task &TheTask, Instant Now) {
  TheTask.State = Phase::Running;
  TheTask.Started = Now.Steady;
  TheTask.Run = this->nextRun(Id, TheTask.Attempt, Now);
  this->LastRuns[Id].Started = Now.Steady;
  this->notePassedOver(TheTask, Now);
  this->reserveRoom(TheTask.Needs);
  ++this->Counters.Started;
  if (TheTask.Waiting.isLate(Now.Steady))
    ++this->Counters.StartedLate;
  this->Session.start({Id.Job, Id.Index, TheTask.Run}, TheTask.Spec, Now);
}

std::uint64_t LeaseKeeper::nextRun(const TaskId &Id, std::uint32_t Attempt,
                                   Instant Now) {
  LastRun &Last = this->LastRuns[Id];
  Last.Run = std::max<std::uint64_t>(Last.Run + 1, Attempt);
  Last.LastUsedAt = Now.Steady;
  return Last.Run;
}

void LeaseKeeper::reserveRoom(const peer::TaskNeeds &Needs) {
  this->UsedRoom.set_cpu_milli(this->UsedRoom.cpu_milli() + Needs.cpu_milli());
  this->UsedRoom.set_memory_mb(this->UsedRoom.memory_mb() + Needs.memory_mb());
  this->UsedRoom.set_accelerators(this->UsedRoom.accelerators() +
                                  Needs.accelerators());
}

void LeaseKeeper::releaseRoom(const peer::TaskNeeds &Needs) {
  auto Less = [](std::uint32_t Held, std::uint32_t Given) {
    return Held - std::min(Held, Given);
  };
  this->UsedRoom.set_cpu_milli(
      Less(this->UsedRoom.cpu_milli(), Needs.cpu_milli()));
  this->UsedRoom.set_memory_mb(
      Less(this->UsedRoom.memory_mb(), Needs.memory_mb()));
  this->UsedRoom.set_accelerators(
      Less(this->UsedRoom.accelerators(), Needs.accelerators()));
}

} // namespace yardwheel
