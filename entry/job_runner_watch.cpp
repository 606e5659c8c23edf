//===- JobRunner: probes, and tasks lost with their agent -----------------===//

#include "entry/job_runner.h"

namespace yardwheel {

namespace {

/// Interval of load requests while tasks wait and none are outstanding.
constexpr std::chrono::milliseconds FreeSlotPollInterval{50};

} // namespace

void JobRunner::handleLostTasks(Pool &Target, UpstreamIndex Upstream,
                                const std::string &Reason, TimePoint Now) {
  std::vector<TaskRef> Lost = Target.tasksAt(Upstream);
  for (const TaskRef &Ref : Lost) {
    Job *Owner = this->find(Ref.Job);
    if (Owner == nullptr) {
      Target.removeTask(Upstream, Ref);
      continue;
    }
    this->settle(*Owner, Ref.Index);
    Owner->States[Ref.Index].Phase = TaskPhase::Done;
    if (Owner->Phase == JobPhase::Finished)
      continue;
    if (!this->Options.ResendOnlyOnProof) {
      Owner->States[Ref.Index].Phase = TaskPhase::Waiting;
      this->resend(*Owner, Ref.Index, Reason, Now);
      continue;
    }
    FailureSpec Failure;
    Failure.Kind = peer::FAILURE_PEER_LOST;
    Failure.Ran = peer::RAN_UNKNOWN;
    Failure.Step = "execute";
    Failure.Peer = Target.Upstreams.at(Upstream).Name;
    Failure.Reason = Reason;
    Failure.Task = static_cast<int>(Ref.Index);
    this->fail(*Owner, Failure, Now);
  }
}

void JobRunner::forget(const Job &Target) {
  this->Jobs.erase(Target.Number);
  auto Named = this->NumberOfKey.find(Target.Request.key());
  if (Named != this->NumberOfKey.end() && Named->second == Target.Number)
    this->NumberOfKey.erase(Named);
}

void JobRunner::refreshSilentAgents(Pool &Target, TimePoint Now) {
  for (UpstreamIndex Index : Target.Upstreams.eligible()) {
    const Upstream &Idle = Target.Upstreams.at(Index);
    if (Now - Idle.LastHeard >= this->Options.LoadRefreshTimeout)
      this->requestLoad(Idle);
  }
}

void JobRunner::pollForFreeSlots(Pool &Target, TimePoint Now) {
  // Without outstanding tasks, no result will report free slots.
  const std::vector<UpstreamIndex> &Eligible = Target.Upstreams.eligible();
  if (Target.Queue.waiting() == 0 || Target.Queue.inFlight() > 0 ||
      Eligible.empty() || Now < this->NextFreeSlotPoll)
    return;
  this->NextFreeSlotPoll = Now + FreeSlotPollInterval;
  UpstreamIndex Any = Eligible[this->Random() % Eligible.size()];
  this->requestLoad(Target.Upstreams.at(Any));
}

void JobRunner::requestLoad(const Upstream &Asked) {
  peer::Message Message;
  Message.mutable_withdraw()->set_probe(true);
  this->Sink.send(Asked.Agent, std::move(Message));
}

void JobRunner::tick(TimePoint Now) {
  this->sendDueProbes(Now);
  if (Now >= this->NextRefresh) {
    this->NextRefresh = Now + this->Options.LoadRefreshTimeout / 4;
    for (auto &[Name, Target] : this->Pools)
      this->refreshSilentAgents(Target, Now);
  }
  for (auto &[Name, Target] : this->Pools) {
    Target.Upstreams.tick(Now);
    this->schedule(Target, Now);
    this->pollForFreeSlots(Target, Now);
  }
}

void JobRunner::sendDueProbes(TimePoint Now) {
  while (!this->Probes.empty() && this->Probes.begin()->first <= Now) {
    DueProbe Due = this->Probes.begin()->second;
    this->Probes.erase(this->Probes.begin());
    Job *Owner = this->find(Due.Task.Job);
    if (Owner == nullptr)
      continue;
    const TaskState &Task = Owner->States[Due.Task.Index];
    bool Outstanding =
        Task.Phase == TaskPhase::Sent || Task.Phase == TaskPhase::Started;
    if (!Outstanding || Task.Attempt != Due.Attempt)
      continue;
    if (Due.IsRepeat && Task.UnansweredProbes == 0)
      this->Probes.emplace(Now + this->Options.ProbeTimeout,
                           DueProbe{Due.Task, Due.Attempt});
    else
      this->probe(*Owner, Due.Task.Index, Now);
  }
}

void JobRunner::onSendFailed(const std::string &Agent, TimePoint Now) {
  Pool *TargetPool = this->poolOf(Agent);
  std::optional<UpstreamIndex> Upstream;
  if (TargetPool != nullptr)
    Upstream = TargetPool->Upstreams.find(Agent);
  if (!Upstream)
    return;
  std::vector<TaskRef> Unconfirmed = TargetPool->tasksAt(*Upstream);
  for (const TaskRef &Ref : Unconfirmed) {
    Job *Owner = this->find(Ref.Job);
    // A task with an unanswered probe already has its next probe scheduled.
    if (Owner != nullptr && Owner->States[Ref.Index].UnansweredProbes == 0)
      this->probe(*Owner, Ref.Index, Now);
  }
}

void JobRunner::probe(Job &Owner, std::uint32_t Index, TimePoint Now) {
  TaskState &Task = Owner.States[Index];
  Pool &TargetPool = this->Pools[Owner.PoolName];
  if (Task.UnansweredProbes >= this->Options.MaxUnansweredProbes) {
    TargetPool.Upstreams.setUnreachable(Task.Upstream, true);
    this->handleLostTasks(TargetPool, Task.Upstream,
                          "the agent does not answer", Now);
    return;
  }
  ++Task.UnansweredProbes;
  bool Finished = Owner.Phase == JobPhase::Finished;
  this->sendWithdraw(Owner, Task.Upstream, {Index}, /*Probe=*/!Finished);
  DueProbe Next{{Owner.Number, Index}, Task.Attempt, /*IsRepeat=*/true};
  this->Probes.emplace(Now + this->Options.ProbeInterval, Next);
}

void JobRunner::sendWithdraw(Job &Owner, UpstreamIndex Upstream,
                             const std::vector<std::uint32_t> &Tasks,
                             bool Probe) {
  Pool &TargetPool = this->Pools[Owner.PoolName];
  peer::Message Message;
  peer::Withdraw *Withdraw = Message.mutable_withdraw();
  Withdraw->set_job_key(Owner.Request.key());
  Withdraw->set_agent_incarnation(
      TargetPool.Upstreams.at(Upstream).Incarnation);
  Withdraw->set_probe(Probe);
  Withdraw->set_stop_running(Owner.Phase == JobPhase::Finished);
  for (std::uint32_t Index : Tasks) {
    peer::TaskAttempt *Task = Withdraw->add_tasks();
    Task->set_index(Index);
    Task->set_attempt(Owner.States[Index].Attempt);
    Task->set_freshness(Owner.States[Index].Freshness);
  }
  // Counts the request and its reply.
  Owner.WastedMessages += 2;
  this->Sink.send(TargetPool.Upstreams.at(Upstream).Agent, std::move(Message));
}

} // namespace yardwheel
