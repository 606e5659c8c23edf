#include "entry/job_runner.h"

#include "agent/refusals.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds MinRetryDelay{50};
/// Each job may be overtaken by jobs that arrive within this many times the
/// minimum duration of its own work, spread over the pool. Lower values make
/// small jobs wait behind large ones. Higher values change little and would let
/// a large job wait longer under overload.
constexpr std::int64_t RankDelayFactor = 64;

/// Ranks jobs by arrival time plus a delay that grows with their size.
JobRank rankOf(const Job &Target, const Pool &TargetPool, TimePoint Now) {
  auto Tasks = static_cast<std::int64_t>(Target.Request.Tasks.size());
  std::int64_t Slots = std::max(TargetPool.Upstreams.aliveSlots(), 1U);
  std::int64_t Spread = TargetPool.typicalService().count() * Tasks / Slots;
  return Now.time_since_epoch().count() + RankDelayFactor * Spread;
}

bool hasResourceNeeds(const peer::Resources &Needs) {
  return Needs.cpus() != 0 || Needs.memory_mb() != 0 ||
         Needs.accelerators() != 0;
}

/// Estimates how long the pool needs to start all tasks that are waiting now.
std::chrono::milliseconds estimateWait(const Pool &Target) {
  std::uint32_t Slots = std::max(Target.Upstreams.aliveSlots(), 1U);
  auto Wait = Target.typicalService() *
              static_cast<std::int64_t>(Target.Queue.waiting()) / Slots;
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(Wait),
                  MinRetryDelay);
}

} // namespace

JobRunner::JobRunner(RunnerOptions Options, PeerSink &Sink, JobEvents &Events)
    : Options(Options), Sink(Sink), Events(Events), Random(Options.Seed) {}

FailureSpec JobRunner::admit(const Job &Target) {
  FailureSpec Refusal;
  Refusal.Ran = peer::RAN_NOT_RUN;
  Refusal.Step = "admit";
  Refusal.Peer = Target.PoolName;
  auto Found = this->Pools.find(Target.PoolName);
  std::size_t Count = Target.Request.Tasks.size();
  if (Count > Target.Limits.queue_limit()) {
    Refusal.Kind = peer::FAILURE_NEVER_FITS;
    Refusal.Reason = fmt::format("{} tasks, but queue_limit is {}", Count,
                                 Target.Limits.queue_limit());
    return Refusal;
  }
  if (Found == this->Pools.end() || Found->second.Upstreams.size() == 0) {
    Refusal.Kind = peer::FAILURE_UNAVAILABLE;
    Refusal.Reason = "no upstream has joined the pool";
    Refusal.RetryAfter = std::chrono::seconds(1);
    return Refusal;
  }
  Pool &TargetPool = Found->second;
  if (TargetPool.Upstreams.isEvacuated()) {
    Refusal.Kind = peer::FAILURE_UNAVAILABLE;
    Refusal.Reason = "all data centres of the pool are being evacuated";
    Refusal.RetryAfter = std::chrono::seconds(1);
    return Refusal;
  }
  for (std::size_t I = 0; I < Count; ++I) {
    if (TargetPool.Upstreams.fitsSomewhere(Target.Request.Tasks[I].Needs))
      continue;
    Refusal.Kind = peer::FAILURE_NEVER_FITS;
    Refusal.Reason = "no worker of the pool is large enough, even when empty";
    Refusal.Task = static_cast<int>(I);
    return Refusal;
  }
  std::size_t Waiting = TargetPool.Queue.waiting(Target.Request.Workspace);
  if (Waiting + Count > Target.Limits.queue_limit()) {
    Refusal.Kind = peer::FAILURE_LIMIT;
    Refusal.Reason = fmt::format("{} tasks wait already, queue_limit is {}",
                                 Waiting, Target.Limits.queue_limit());
    Refusal.RetryAfter = estimateWait(TargetPool);
  }
  return Refusal;
}

void JobRunner::start(Job &Target, TimePoint Now) {
  this->Jobs[Target.Number] = &Target;
  this->NumberOfKey[Target.Request.key()] = Target.Number;
  Target.States.assign(Target.Request.Tasks.size(), {});
  Target.Results.assign(Target.Request.Tasks.size(), {});
  Pool &TargetPool = this->Pools[Target.PoolName];
  Target.Rank = rankOf(Target, TargetPool, Now);
  const std::string &Workspace = Target.Request.Workspace;
  TargetPool.Queue.configure(Workspace, Target.Limits.weight(),
                             Target.Limits.capacity());
  for (std::uint32_t I = 0; I < Target.States.size(); ++I)
    TargetPool.Queue.push(Workspace, Target.Rank, Target.Number, I);
  this->schedule(TargetPool, Now);
}

void JobRunner::stop(Job &Target, TimePoint Now) {
  Pool &TargetPool = this->Pools[Target.PoolName];
  TargetPool.Queue.removeJob(Target.Request.Workspace, Target.Rank,
                             Target.Number);
  std::map<UpstreamIndex, std::vector<std::uint32_t>> Outstanding;
  for (std::uint32_t I = 0; I < Target.States.size(); ++I) {
    const TaskState &Task = Target.States[I];
    if (Task.Phase == TaskPhase::Sent || Task.Phase == TaskPhase::Started)
      Outstanding[Task.Upstream].push_back(I);
  }
  for (const auto &[Upstream, Tasks] : Outstanding)
    this->sendWithdraw(Target, Upstream, Tasks, /*Probe=*/false);
}

void JobRunner::onMember(const peer::Member &Member, TimePoint Now) {
  Pool &Target = this->Pools[Member.pool()];
  this->PoolOfAgent[Member.name()] = Member.pool();
  bool Replaced = false;
  bool New = !Target.Upstreams.find(Member.name());
  if (New)
    Target.Upstreams.setEvacuated(this->EvacuatedDataCentres);
  UpstreamIndex Index = Target.Upstreams.update(Member, Replaced);
  if (New)
    Target.Upstreams.setShares(this->Position, this->Entries);
  if (Replaced)
    this->handleLostTasks(Target, Index, "the agent was lost", Now);
  this->schedule(Target, Now);
}

void JobRunner::setEvacuated(const std::set<std::string> &DataCentres) {
  if (DataCentres == this->EvacuatedDataCentres)
    return;
  this->EvacuatedDataCentres = DataCentres;
  for (auto &[Name, Target] : this->Pools)
    Target.Upstreams.setEvacuated(DataCentres);
}

void JobRunner::setShares(std::uint32_t NewPosition, std::uint32_t NewEntries) {
  this->Position = NewPosition;
  this->Entries = NewEntries;
  for (auto &[Name, Target] : this->Pools)
    Target.Upstreams.setShares(NewPosition, NewEntries);
}

Pool *JobRunner::poolOf(const std::string &Agent) {
  auto Found = this->PoolOfAgent.find(Agent);
  return Found == this->PoolOfAgent.end() ? nullptr
                                          : &this->Pools[Found->second];
}

Job *JobRunner::find(JobNumber Number) {
  auto Found = this->Jobs.find(Number);
  return Found == this->Jobs.end() ? nullptr : Found->second;
}

Job *JobRunner::findByKey(const std::string &Key) {
  auto Found = this->NumberOfKey.find(Key);
  if (Found == this->NumberOfKey.end())
    return nullptr;
  Job *Known = this->find(Found->second);
  if (Known == nullptr)
    this->NumberOfKey.erase(Found);
  return Known;
}

// ---- Ordering, routing and dispatch ----

void JobRunner::schedule(Pool &Target, TimePoint Now) {
  std::map<DispatchKey, peer::Dispatch> Batch;
  while (this->sendNext(Target, Now, Batch)) {
  }
  this->flush(Target, Batch);
  if (Target.Queue.waiting() == 0 && Target.movesWaiting())
    this->rebalance(Target);
}

bool JobRunner::sendNext(Pool &Target, TimePoint Now,
                         std::map<DispatchKey, peer::Dispatch> &Batch) {
  std::optional<WaitingTask> Next = Target.Queue.front();
  if (!Next)
    return false;
  Job *Owner = this->find(Next->Job);
  if (Owner == nullptr) {
    Target.Queue.removeJob(Next->Workspace, Next->Rank, Next->Job);
    return true;
  }
  std::optional<UpstreamIndex> Upstream =
      this->route(Target, *Owner, Next->Index);
  if (!Upstream)
    return false;
  Target.Queue.pop();
  this->addToBatch(Target, *Owner, Next->Index, *Upstream, Batch);
  std::uint32_t Attempt = Owner->States[Next->Index].Attempt;
  this->Probes.emplace(Now + this->Options.ProbeTimeout,
                       DueProbe{{Owner->Number, Next->Index}, Attempt});
  return true;
}

std::optional<UpstreamIndex> JobRunner::route(Pool &Target, const Job &Owner,
                                              std::uint32_t Index) {
  RoutePolicy &Policy = Target.policy(Owner.Policy);
  std::optional<UpstreamIndex> Chosen =
      Policy.choose(Target.Upstreams, this->Random);
  const peer::Resources &Needs = Owner.Request.Tasks[Index].Needs;
  if (!Chosen || !hasResourceNeeds(Needs) ||
      fits(Target.Upstreams.at(*Chosen).Resources, Needs))
    return Chosen;
  // The policy chose an upstream that is too small for the task: use the least
  // loaded one that is large enough.
  std::optional<UpstreamIndex> Best;
  for (UpstreamIndex I : Target.Upstreams.eligible()) {
    const Upstream &Candidate = Target.Upstreams.at(I);
    bool Free = Candidate.load() < Candidate.Slots;
    if (!Free || !fits(Candidate.Resources, Needs))
      continue;
    if (!Best || Candidate.load() < Target.Upstreams.at(*Best).load())
      Best = I;
  }
  return Best;
}

void JobRunner::addToBatch(Pool &Target, Job &Owner, std::uint32_t Index,
                           UpstreamIndex Upstream,
                           std::map<DispatchKey, peer::Dispatch> &Batch) {
  const yardwheel::Upstream &Chosen = Target.Upstreams.at(Upstream);
  TaskState &Task = Owner.States[Index];
  if (Task.Attempt == 0)
    Target.budget(Owner.Request.Workspace)
        .onFirstSend(Owner.Limits.retry_budget_percent());
  Task.Phase = TaskPhase::Sent;
  Task.Upstream = Upstream;
  Task.Incarnation = Chosen.Incarnation;
  Task.Freshness = Chosen.Freshness;
  Task.UnansweredProbes = 0;
  Task.WithdrawRequested = false;
  ++Task.Attempt;
  ++Owner.OutstandingCount;
  Target.Upstreams.onSent(Upstream);
  Target.addTask(Upstream, {Owner.Number, Index});

  peer::Dispatch &Message = Batch[{Owner.Number, Upstream}];
  if (Message.tasks_size() == 0) {
    Message.set_job_key(Owner.Request.key());
    Message.set_workspace(Owner.Request.Workspace);
    Message.set_agent_incarnation(Chosen.Incarnation);
    Message.set_freshness(Chosen.Freshness);
    bool Queues = Target.policy(Owner.Policy).queuesAtAgent();
    Message.set_queue_limit(Queues ? Owner.Limits.agent_queue() : 0);
  }
  peer::TaskOrder *Order = Message.add_tasks();
  Order->set_index(Index);
  Order->set_payload(Owner.Request.Tasks[Index].Payload);
  Order->set_attempt(Task.Attempt);
}

void JobRunner::flush(Pool &Target,
                      std::map<DispatchKey, peer::Dispatch> &Batch) {
  for (auto &[Key, Dispatch] : Batch) {
    peer::Message Message;
    *Message.mutable_dispatch() = std::move(Dispatch);
    this->Sink.send(Target.Upstreams.at(Key.Upstream).Agent,
                    std::move(Message));
  }
}

void JobRunner::rebalance(Pool &Target) {
  std::optional<UpstreamIndex> Free =
      Target.Upstreams.byTotalFree().pickBest(this->Random);
  if (!Free || Target.Upstreams.eligible().empty())
    return;
  // Sampling keeps the cost independent of the number of upstreams.
  constexpr int SampleSize = 8;
  const std::vector<UpstreamIndex> &Eligible = Target.Upstreams.eligible();
  std::optional<UpstreamIndex> Longest;
  for (int I = 0; I < SampleSize; ++I) {
    UpstreamIndex Index = Eligible[this->Random() % Eligible.size()];
    const Upstream &Candidate = Target.Upstreams.at(Index);
    if (Candidate.OwnTasks == 0 || Candidate.load() <= Candidate.Slots)
      continue;
    if (!Longest || Candidate.load() > Target.Upstreams.at(*Longest).load())
      Longest = Index;
  }
  if (Longest)
    this->withdrawLast(Target, *Longest);
}

void JobRunner::withdrawLast(Pool &Target, UpstreamIndex Upstream) {
  const std::vector<TaskRef> &Tasks = Target.tasksAt(Upstream);
  if (Tasks.empty())
    return;
  TaskRef Last = Tasks.back();
  Job *Owner = this->find(Last.Job);
  if (Owner == nullptr || Owner->Phase == JobPhase::Finished)
    return;
  if (!Target.policy(Owner->Policy).movesWaiting())
    return;
  // Request the withdrawal of each task only once.
  TaskState &Task = Owner->States[Last.Index];
  if (Task.Phase != TaskPhase::Sent || Task.WithdrawRequested)
    return;
  Task.WithdrawRequested = true;
  this->sendWithdraw(*Owner, Upstream, {Last.Index}, /*Probe=*/false);
}

// ---- Task updates ----

void JobRunner::onLoad(const std::string &Agent, const peer::AgentLoad &Load,
                       TimePoint Now) {
  Pool *Target = this->poolOf(Agent);
  if (Target == nullptr)
    return;
  std::optional<UpstreamIndex> Index = Target->Upstreams.find(Agent);
  if (!Index)
    return;
  Target->Upstreams.onLoadReport(*Index, Load, Now);
  this->schedule(*Target, Now);
}

void JobRunner::onUpdate(const std::string &Agent,
                         const peer::TaskUpdate &Update, TimePoint Now) {
  Pool *TargetPool = this->poolOf(Agent);
  std::optional<UpstreamIndex> Upstream;
  if (TargetPool != nullptr)
    Upstream = TargetPool->Upstreams.find(Agent);
  if (!Upstream)
    return;
  Job *Owner = this->findByKey(Update.job_key());
  if (Owner != nullptr && Update.index() < Owner->States.size()) {
    TaskState &Task = Owner->States[Update.index()];
    bool Outstanding =
        Task.Phase == TaskPhase::Sent || Task.Phase == TaskPhase::Started;
    // Ignore updates from an earlier attempt, another incarnation or another
    // agent.
    bool SameAttempt = Outstanding && Task.Upstream == *Upstream &&
                       Task.Attempt == Update.attempt();
    std::uint64_t AgentIncarnation = Update.load().incarnation();
    // A later incarnation can only report that it doesn't know the task.
    bool IsLaterIncarnation = AgentIncarnation > Task.Incarnation &&
                              Update.event() == peer::TASK_CANNOT_KNOW;
    if (SameAttempt &&
        (AgentIncarnation == Task.Incarnation || IsLaterIncarnation))
      this->apply(*Owner, Update, Now);
  }
  TargetPool->Upstreams.onLoadReport(*Upstream, Update.load(), Now);
  this->schedule(*TargetPool, Now);
}

void JobRunner::apply(Job &Owner, const peer::TaskUpdate &Update,
                      TimePoint Now) {
  TaskState &Task = Owner.States[Update.index()];
  switch (Update.event()) {
  case peer::TASK_NOT_STARTED:
    this->onNotStarted(Owner, Update.index(), Update, Now);
    return;
  case peer::TASK_STARTED:
    Task.Phase = TaskPhase::Started;
    Task.UnansweredProbes = 0;
    Owner.AnythingRan = true;
    return;
  case peer::TASK_QUEUED:
    Task.UnansweredProbes = 0;
    return;
  case peer::TASK_SUCCEEDED:
  case peer::TASK_FAILED:
  case peer::TASK_CANNOT_KNOW:
    this->onEnded(Owner, Update.index(), Update, Now);
    return;
  default:
    return;
  }
}

void JobRunner::settle(Job &Owner, std::uint32_t Index) {
  Pool &TargetPool = this->Pools[Owner.PoolName];
  TaskState &Task = Owner.States[Index];
  TargetPool.Upstreams.onSettled(Task.Upstream);
  TargetPool.removeTask(Task.Upstream, {Owner.Number, Index});
  TargetPool.Queue.onSettled(Owner.Request.Workspace);
  --Owner.OutstandingCount;
}

void JobRunner::onNotStarted(Job &Owner, std::uint32_t Index,
                             const peer::TaskUpdate &Update, TimePoint Now) {
  TaskState &Task = Owner.States[Index];
  Pool &TargetPool = this->Pools[Owner.PoolName];
  if (Update.reason() == UpstreamUnreachable)
    TargetPool.Upstreams.onFailure(Task.Upstream, Owner.Limits.eject_failures(),
                                   Now);
  this->settle(Owner, Index);
  Task.Phase = TaskPhase::Waiting;
  // The dispatch and its rejection were both wasted.
  Owner.WastedMessages += 2;
  if (Owner.Phase == JobPhase::Finished)
    return;
  // A rejection for stale load data costs no retry, since the reply carried
  // newer data.
  if (Update.reason() == StaleLoad)
    TargetPool.Queue.push(Owner.Request.Workspace, Owner.Rank, Owner.Number,
                          Index);
  else
    this->resend(Owner, Index, Update.reason(), Now);
}

void JobRunner::resend(Job &Owner, std::uint32_t Index,
                       const std::string &Reason, TimePoint Now) {
  Pool &TargetPool = this->Pools[Owner.PoolName];
  if (!TargetPool.budget(Owner.Request.Workspace).trySpend()) {
    FailureSpec Failure;
    Failure.Kind = peer::FAILURE_UNAVAILABLE;
    Failure.Step = "dispatch";
    Failure.Reason =
        fmt::format("retry budget spent; last refusal: {}", Reason);
    Failure.Task = static_cast<int>(Index);
    Failure.RetryAfter = estimateWait(TargetPool);
    this->fail(Owner, Failure, Now);
    return;
  }
  TargetPool.Queue.push(Owner.Request.Workspace, Owner.Rank, Owner.Number,
                        Index);
}

void JobRunner::onEnded(Job &Owner, std::uint32_t Index,
                        const peer::TaskUpdate &Update, TimePoint Now) {
  TaskState &Task = Owner.States[Index];
  Pool &TargetPool = this->Pools[Owner.PoolName];
  this->settle(Owner, Index);
  Task.Phase = TaskPhase::Done;
  bool Ran = Update.event() != peer::TASK_CANNOT_KNOW;
  Owner.AnythingRan = Owner.AnythingRan || Ran;
  if (Update.event() == peer::TASK_SUCCEEDED) {
    std::chrono::microseconds Service(Update.service_us());
    TargetPool.Upstreams.onSuccess(Task.Upstream);
    TargetPool.addServiceSample(Service);
    Owner.LongestService = std::max(Owner.LongestService, Service);
    Owner.TotalService += Service;
    if (Owner.Phase == JobPhase::Finished)
      return;
    Owner.Results[Index] = Update.result();
    if (++Owner.DoneCount == Owner.States.size())
      this->Events.onComplete(Owner, Now);
    return;
  }
  if (Owner.Phase == JobPhase::Finished)
    return;
  FailureSpec Failure;
  Failure.Step = "execute";
  Failure.Peer = TargetPool.Upstreams.at(Task.Upstream).Name;
  Failure.Task = static_cast<int>(Index);
  Failure.Reason = Update.reason();
  if (Ran) {
    TargetPool.Upstreams.onFailure(Task.Upstream, Owner.Limits.eject_failures(),
                                   Now);
    Failure.Kind = peer::FAILURE_TASK_FAILED;
  } else {
    Failure.Kind = peer::FAILURE_PEER_LOST;
    Failure.Ran = peer::RAN_UNKNOWN;
  }
  this->fail(Owner, Failure, Now);
}

void JobRunner::fail(Job &Owner, FailureSpec Failure, TimePoint Now) {
  if (Owner.AnythingRan || Failure.Ran == peer::RAN_UNSPECIFIED)
    Failure.Ran = Owner.ran();
  this->Events.onFailed(Owner, Failure, Now);
}

} // namespace yardwheel
