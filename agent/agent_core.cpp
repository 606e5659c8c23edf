#include "agent/agent_core.h"

#include "agent/refusals.h"

#include <algorithm>

namespace yardwheel {

AgentCore::AgentCore(AgentOptions Options, PeerSink &Sink, TaskRunner &Runner)
    : Options(std::move(Options)), Sink(Sink), Runner(Runner),
      Ledger(this->Options.Name, this->Options.Ledger) {}

std::uint64_t AgentCore::stamp(Instant Now) const {
  auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.Steady.time_since_epoch());
  return static_cast<std::uint64_t>(Since.count()) + 1;
}

std::chrono::milliseconds AgentCore::recordRetention() const {
  // Longer than a dispatch, its probe and their replies can take together.
  return 3 * this->Options.Freshness;
}

void AgentCore::detectFreeze(Instant Now) {
  bool Frozen = this->LastSeen != TimePoint::min() &&
                Now.Steady - this->LastSeen > this->Options.FreezeGap;
  this->LastSeen = Now.Steady;
  if (!Frozen || !this->Options.FencesOldDispatches)
    return;
  // Entries have given up on tasks that were sent in the meantime.
  this->OldestStamp = this->stamp(Now);
  this->rejectQueued(WasFrozen, Now);
}

peer::AgentLoad AgentCore::load(Instant Now) const {
  peer::AgentLoad Load;
  Load.set_incarnation(this->Options.Incarnation);
  Load.set_freshness(this->stamp(Now));
  Load.set_slots(this->Options.Slots);
  Load.set_running(this->Running);
  Load.set_queued(static_cast<std::uint32_t>(this->Queue.size()));
  Load.set_leaving(this->Draining);
  return Load;
}

void AgentCore::onMessage(const PeerRef &From, const peer::Message &Message,
                          Instant Now) {
  this->detectFreeze(Now);
  switch (Message.body_case()) {
  case peer::Message::kDispatch:
    this->onDispatch(From, Message.dispatch(), Now);
    return;
  case peer::Message::kWithdraw:
    this->onWithdraw(From, Message.withdraw(), Now);
    return;
  case peer::Message::kClaimRequest: {
    peer::Message Reply;
    *Reply.mutable_claim_reply() =
        this->Ledger.onClaim(Message.claim_request(), Now.Wall);
    this->Sink.send(From, std::move(Reply));
    return;
  }
  case peer::Message::kClaimRelease:
    this->Ledger.onRelease(Message.claim_release());
    return;
  default:
    return;
  }
}

void AgentCore::setCatalog(const CatalogView &View, Instant Now) {
  this->Ledger.setGroups(View, Now.Wall);
  this->Evacuated = View.Evacuated.contains(this->Options.DataCentre);
  if (this->Evacuated)
    this->rejectQueued(DataCentreEvacuated, Now);
}

// ---- Incoming tasks ----

void AgentCore::onDispatch(const PeerRef &From, const peer::Dispatch &Dispatch,
                           Instant Now) {
  for (const peer::TaskOrder &Order : Dispatch.tasks())
    this->onOrder(From, Dispatch, Order, Now);
}

void AgentCore::onOrder(const PeerRef &From, const peer::Dispatch &Dispatch,
                        const peer::TaskOrder &Order, Instant Now) {
  TaskKey Key{Dispatch.job_key(), Order.index()};
  // Meant for an earlier incarnation, which may have started the task; nothing
  // is proved either way.
  if (Dispatch.agent_incarnation() != this->Options.Incarnation) {
    this->sendEvent(Key, From, Order.attempt(), peer::TASK_CANNOT_KNOW,
                    "the agent has restarted", Now);
    return;
  }
  auto Known = this->Records.find(Key);
  bool Remembered =
      this->Options.RemembersTasks && Known != this->Records.end();
  bool Refused = Remembered && Known->second.Phase == State::NeverStarts;
  if (Remembered && (!Refused || Order.attempt() <= Known->second.Attempt)) {
    if (Known->second.Phase != State::Queued &&
        Known->second.Phase != State::Running)
      this->repeatState(Key, From, Known->second, Order.attempt(), Now);
    return;
  }
  const char *Reason = this->refusal(Dispatch, Now);
  if (Reason != nullptr) {
    this->refuse(Key, From, Order.attempt(), Reason, Now);
    return;
  }
  Record &Task = this->Records[Key];
  Task.Phase = State::Queued;
  Task.Owner = From;
  Task.Attempt = Order.attempt();
  Task.Workspace = Dispatch.workspace();
  Task.Payload = Order.payload();
  Task.Changed = Now.Steady;
  if (this->Running < this->Options.Slots)
    this->start(Key, Task, Now);
  else
    this->Queue.push_back(Key);
}

const char *AgentCore::refusal(const peer::Dispatch &Dispatch,
                               Instant Now) const {
  std::uint64_t Bound =
      static_cast<std::uint64_t>(this->Options.Freshness.count());
  bool Old = Dispatch.freshness() + Bound < this->stamp(Now) ||
             Dispatch.freshness() < this->OldestStamp;
  if (Old && this->Options.FencesOldDispatches)
    return StaleLoad;
  if (this->Draining)
    return Leaving;
  if (this->Evacuated)
    return DataCentreEvacuated;
  bool Full = this->Running >= this->Options.Slots &&
              this->Queue.size() >= Dispatch.queue_limit();
  return Full ? SlotsFull : nullptr;
}

void AgentCore::refuse(const TaskKey &Key, const PeerRef &To,
                       std::uint32_t Attempt, const char *Reason, Instant Now) {
  Record &Task = this->Records[Key];
  Task.Phase = State::NeverStarts;
  Task.Attempt = Attempt;
  Task.Changed = Now.Steady;
  Task.Payload.clear();
  this->Settled.push_back(Key);
  this->sendEvent(Key, To, Attempt, peer::TASK_NOT_STARTED, Reason, Now);
}

void AgentCore::start(const TaskKey &Key, Record &Task, Instant Now) {
  Task.Phase = State::Running;
  Task.Changed = Now.Steady;
  ++this->Running;
  this->Runner.start(Key, Task.Workspace, Task.Payload);
  Task.Payload.clear();
}

void AgentCore::startQueued(Instant Now) {
  while (this->Running < this->Options.Slots && !this->Queue.empty()) {
    TaskKey Key = this->Queue.front();
    this->Queue.pop_front();
    this->start(Key, this->Records[Key], Now);
  }
}

// ---- Ended tasks ----

void AgentCore::onTaskEnded(const TaskKey &Task, const TaskEnd &End,
                            Instant Now) {
  this->detectFreeze(Now);
  auto Found = this->Records.find(Task);
  if (Found == this->Records.end() || Found->second.Phase != State::Running)
    return;
  Record &Known = Found->second;
  --this->Running;
  this->startQueued(Now);
  PeerRef Owner = Known.Owner;
  if (End.Kind == TaskEndKind::NeverStarted) {
    this->refuse(Task, Owner, Known.Attempt, UpstreamUnreachable, Now);
  } else {
    Known.Phase = State::Ended;
    Known.Changed = Now.Steady;
    bool Good = End.Kind == TaskEndKind::Succeeded;
    peer::TaskUpdate &Last = Known.Last;
    Last.set_job_key(Task.Job);
    Last.set_index(Task.Index);
    Last.set_event(Good ? peer::TASK_SUCCEEDED : peer::TASK_FAILED);
    Last.set_result(End.Result);
    Last.set_reason(End.Reason);
    Last.set_service_us(End.Service.count());
    Last.set_attempt(Known.Attempt);
    this->Settled.push_back(Task);
    this->sendUpdate(Owner, Last, Now);
  }
}

// ---- Probes and withdrawals ----

void AgentCore::onWithdraw(const PeerRef &From, const peer::Withdraw &Withdraw,
                           Instant Now) {
  if (Withdraw.tasks().empty()) {
    peer::Message Message;
    *Message.mutable_agent_load() = this->load(Now);
    this->Sink.send(From, std::move(Message));
    return;
  }
  for (const peer::TaskAttempt &Asked : Withdraw.tasks())
    this->withdrawOne(From, Withdraw, Asked, Now);
}

void AgentCore::withdrawOne(const PeerRef &From, const peer::Withdraw &Withdraw,
                            const peer::TaskAttempt &Asked, Instant Now) {
  TaskKey Key{Withdraw.job_key(), Asked.index()};
  if (Withdraw.agent_incarnation() != this->Options.Incarnation) {
    this->sendEvent(Key, From, Asked.attempt(), peer::TASK_CANNOT_KNOW,
                    "the agent has restarted", Now);
    return;
  }
  auto Known = this->Records.find(Key);
  bool Earlier = Known != this->Records.end() &&
                 Known->second.Phase == State::NeverStarts &&
                 Known->second.Attempt < Asked.attempt();
  if (Known == this->Records.end() || Earlier) {
    this->withdrawUnknown(From, Key, Asked, Now);
    return;
  }
  Record &Task = Known->second;
  if (Task.Phase == State::Queued && !Withdraw.probe()) {
    this->Queue.erase(std::remove(this->Queue.begin(), this->Queue.end(), Key),
                      this->Queue.end());
    this->refuse(Key, From, Task.Attempt, Withdrawn, Now);
    return;
  }
  if (Task.Phase == State::Running && Withdraw.stop_running()) {
    this->Runner.stop(Key);
    return;
  }
  this->repeatState(Key, From, Task, Asked.attempt(), Now);
}

void AgentCore::withdrawUnknown(const PeerRef &From, const TaskKey &Key,
                                const peer::TaskAttempt &Asked, Instant Now) {
  // If the task had been accepted since that stamp, it would still be
  // remembered.
  std::uint64_t Retention =
      static_cast<std::uint64_t>(this->recordRetention().count());
  if (Asked.freshness() + Retention >= this->stamp(Now))
    this->refuse(Key, From, Asked.attempt(), Withdrawn, Now);
  else
    this->sendEvent(Key, From, Asked.attempt(), peer::TASK_CANNOT_KNOW,
                    "the task was sent too long ago to know", Now);
}

void AgentCore::repeatState(const TaskKey &Key, const PeerRef &To,
                            const Record &Known, std::uint32_t Attempt,
                            Instant Now) {
  switch (Known.Phase) {
  case State::Queued:
    this->sendEvent(Key, To, Attempt, peer::TASK_QUEUED, "", Now);
    return;
  case State::Running:
    this->sendEvent(Key, To, Attempt, peer::TASK_STARTED, "", Now);
    return;
  case State::NeverStarts:
    this->sendEvent(Key, To, Attempt, peer::TASK_NOT_STARTED, Withdrawn, Now);
    return;
  case State::Ended:
    this->sendUpdate(To, Known.Last, Now);
    return;
  }
}

void AgentCore::sendEvent(const TaskKey &Key, const PeerRef &To,
                          std::uint32_t Attempt, peer::TaskEvent Event,
                          const std::string &Reason, Instant Now) {
  peer::TaskUpdate Update;
  Update.set_job_key(Key.Job);
  Update.set_index(Key.Index);
  Update.set_attempt(Attempt);
  Update.set_event(Event);
  Update.set_reason(Reason);
  this->sendUpdate(To, std::move(Update), Now);
}

void AgentCore::sendUpdate(const PeerRef &To, peer::TaskUpdate Update,
                           Instant Now) {
  peer::Message Message;
  *Message.mutable_task_update() = std::move(Update);
  *Message.mutable_task_update()->mutable_load() = this->load(Now);
  this->Sink.send(To, std::move(Message));
}

void AgentCore::onSendFailed(const std::string &Entry, Instant Now) {
  this->detectFreeze(Now);
  // Settled holds the keys in the order in which tasks ended or were refused.
  for (auto Key = this->Settled.rbegin(); Key != this->Settled.rend(); ++Key) {
    auto Known = this->Records.find(*Key);
    if (Known == this->Records.end())
      continue;
    const Record &Task = Known->second;
    if (Now.Steady - Task.Changed > this->Options.RepeatWindow)
      return;
    if (Task.Phase == State::Ended && Task.Owner.Node == Entry)
      this->sendUpdate(Task.Owner, Task.Last, Now);
  }
}

// ---- Draining and expiry ----

void AgentCore::drain(Instant Now) {
  this->Draining = true;
  this->rejectQueued(Leaving, Now);
}

void AgentCore::rejectQueued(const char *Reason, Instant Now) {
  std::deque<TaskKey> Waiting;
  std::swap(Waiting, this->Queue);
  for (const TaskKey &Key : Waiting) {
    const Record &Task = this->Records[Key];
    this->refuse(Key, PeerRef(Task.Owner), Task.Attempt, Reason, Now);
  }
}

void AgentCore::tick(Instant Now) {
  this->detectFreeze(Now);
  this->expire(Now);
  this->Ledger.expire(Now.Wall);
}

void AgentCore::expire(Instant Now) {
  while (!this->Settled.empty()) {
    auto Oldest = this->Records.find(this->Settled.front());
    if (Oldest != this->Records.end()) {
      const Record &Task = Oldest->second;
      bool Open = Task.Phase == State::Queued || Task.Phase == State::Running;
      bool Young = Now.Steady - Task.Changed < this->recordRetention();
      if (!Open && Young)
        return;
      if (!Open)
        this->Records.erase(Oldest);
    }
    this->Settled.pop_front();
  }
}

} // namespace yardwheel
