//===- LeaseKeeper: ends of tasks and the updates sent to entries ---------===//

#include "agent/lease_keeper.h"

#include "agent/refusals.h"
#include "protocol/task_needs.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Added to a run's number after the worker has seen a higher one, which an
/// earlier agent of this worker assigned.
constexpr std::uint64_t RunNumberStep = 16;
/// A worker that a task crashes may have accepted others for up to this long
/// after it: calls to the worker are in flight while it crashes, and take about
/// a millisecond. All runs started this close to the last one are suspects.
constexpr std::chrono::milliseconds CrashStartWindow{10};
/// Number of crashes that are reported at a time. A worker takes seconds to
/// come back, so more of them do not fall into CrashRetention.
constexpr std::size_t MaxReportedCrashes = 8;

} // namespace

// ---- Ended tasks ----

LeaseKeeper::Task *LeaseKeeper::findTask(const RunKey &Run) {
  auto Found = this->Tasks.find({Run.Job, Run.Index});
  bool Same = Found != this->Tasks.end() && Found->second.Run == Run.Run;
  return Same ? &Found->second : nullptr;
}

void LeaseKeeper::onRunRefused(const RunKey &Run, WorkerRefusal Cause,
                               Instant Now) {
  Task *TheTask = this->findTask(Run);
  if (TheTask == nullptr)
    return;
  TaskId Id{Run.Job, Run.Index};
  this->releaseRoom(TheTask->Needs);
  this->Log.decision("run_refused",
                     {{"job", Run.Job},
                      {"task", Run.Index},
                      {"run", Run.Run},
                      {"refusal", refusalName(Cause)},
                      {"used_cpu_milli", this->UsedRoom.cpu_milli()},
                      {"queued", this->Queue.size()}});
  if (Cause == WorkerRefusal::StaleRun)
    this->LastRuns[Id].Run += RunNumberStep;
  bool Wanted = TheTask->State == Phase::Running;
  bool MayWait = Cause == WorkerRefusal::NoRoom ||
                 Cause == WorkerRefusal::Fenced ||
                 Cause == WorkerRefusal::StaleRun;
  if (Wanted && MayWait && this->takesTasks()) {
    TheTask->State = Phase::Queued;
    this->Queue.push_back(Id);
    if (Cause == WorkerRefusal::NoRoom)
      this->NoRoomUntil = Now.Steady + this->Options.NoRoomRetryInterval;
    else
      this->startFitting(Now);
    return;
  }
  ++this->Counters.Refused;
  this->sendUpdate(Id, *TheTask, peer::LEASED_NOT_STARTED,
                   MayWait && this->Evacuated ? peer::REFUSAL_EVACUATED
                                              : peer::REFUSAL_WORKER,
                   refusalName(Cause), Now);
  this->Tasks.erase(Id);
  this->startFitting(Now);
}

void LeaseKeeper::countEnd(const Task &TheTask, RunOutcome Outcome) {
  if (Outcome == RunOutcome::Done) {
    ++this->Counters.Done;
    this->FailuresInRow = 0;
    return;
  }
  if (Outcome == RunOutcome::Failed)
    ++this->Counters.Failed;
  else
    ++this->Counters.EndedEarly;
  bool WorkerAtFault = Outcome == RunOutcome::Failed ||
                       Outcome == RunOutcome::Unanswered || TheTask.Stalled;
  if (WorkerAtFault && !TheTask.IsFailureCounted)
    ++this->FailuresInRow;
}

void LeaseKeeper::measurePace(const TaskId &Id, const Task &TheTask,
                              Instant Now) {
  // The pace of a cold worker says nothing about the time after.
  if (TheTask.Stalled || this->Session.coldLeft(Now).count() > 0)
    return;
  this->Pace.onDone(Id.Job, Now.Steady - TheTask.Started, TheTask.Estimate,
                    Now.Steady);
}

void LeaseKeeper::onRunEnded(const RunKey &Run, RunOutcome Outcome,
                             Instant Now) {
  Task *TheTask = this->findTask(Run);
  if (TheTask == nullptr)
    return;
  TaskId Id{Run.Job, Run.Index};
  this->releaseRoom(TheTask->Needs);
  peer::LeasedEvent Event = peer::LEASED_ENDED_EARLY;
  if (Outcome == RunOutcome::Done)
    Event = peer::LEASED_DONE;
  else if (Outcome == RunOutcome::Failed)
    Event = peer::LEASED_FAILED;
  this->countEnd(*TheTask, Outcome);
  if (Outcome == RunOutcome::Done)
    this->measurePace(Id, *TheTask, Now);
  this->Log.decision(
      "run_ended",
      {{"job", Run.Job},
       {"task", Run.Index},
       {"run", Run.Run},
       {"entry", TheTask->Owner.Node},
       {"order", TheTask->Order},
       {"lease_left_ms", millisBetween(Now.Steady, TheTask->LeaseEnd)},
       {"end", runOutcomeName(Outcome)},
       {"waited_ms", millisBetween(TheTask->Arrived, TheTask->Started)},
       {"ran_ms", millisBetween(TheTask->Started, Now.Steady)}});
  // The entry counts the task as lost with the agent's earlier incarnation.
  if (Outcome == RunOutcome::Unknown) {
    this->EndedPlacements[{TheTask->Owner.Node, TheTask->Order}] = Now.Steady;
    this->Tasks.erase(Id);
    return;
  }
  peer::LeasedRefusal Refusal = Outcome == RunOutcome::Unanswered
                                    ? peer::REFUSAL_WORKER
                                    : peer::REFUSAL_NONE;
  // The entry holds the task back until it hears of a crash, so it must not
  // wait for a report that leaves this run out.
  bool WorkerLost = Outcome == RunOutcome::Lapsed &&
                    this->Session.isSuspect(Run) &&
                    !this->Session.isResponsive() && !this->Leaving &&
                    !this->WasLeavingAtAttach;
  this->sendUpdate(Id, *TheTask, Event, Refusal, runOutcomeName(Outcome), Now,
                   WorkerLost);
  this->Tasks.erase(Id);
  this->NoRoomUntil = TimePoint::min();
  this->startFitting(Now);
}

void LeaseKeeper::onWorkerCrashed(const std::vector<RunKey> &Runs,
                                  Instant Now) {
  // The worker had announced that it would leave.
  if (this->Leaving)
    return;
  auto StartOf = [this](const RunKey &Run) {
    auto Last = this->LastRuns.find({Run.Job, Run.Index});
    return Last == this->LastRuns.end() ? TimePoint::min()
                                        : Last->second.Started;
  };
  TimePoint LastStart = TimePoint::min();
  for (const RunKey &Run : Runs)
    LastStart = std::max(LastStart, StartOf(Run));
  Crash New;
  New.At = Now.Steady;
  New.Report.set_incarnation(this->Options.Incarnation);
  for (const RunKey &Run : Runs) {
    peer::CrashedTask *Task = New.Report.add_tasks();
    Task->set_job(Run.Job);
    Task->set_index(Run.Index);
    Task->set_started_last(LastStart - StartOf(Run) <= CrashStartWindow);
    this->Log.decision("worker_crashed",
                       {{"worker", this->Session.profile().Id},
                        {"incarnation", this->Options.Incarnation},
                        {"job", Run.Job},
                        {"task", Run.Index},
                        {"started_last", Task->started_last()},
                        {"runs", Runs.size()}});
  }
  ++this->Counters.WorkerCrashes;
  if (this->Crashes.size() == MaxReportedCrashes)
    this->Crashes.pop_front();
  this->Crashes.push_back(std::move(New));
}

void LeaseKeeper::onRoomChanged(Instant Now) {
  this->KindSentTo.clear();
  if (!this->isOverfull()) {
    this->rejectOversized(Now);
    this->startFitting(Now);
    return;
  }
  // Offers of room that no longer exist must not overcommit the worker. A task
  // sent for such an offer is checked against the room at its arrival.
  for (const peer::TaskNeeds &Room : this->Offers.releaseAll())
    this->releaseRoom(Room);
  // Running tasks continue. Queued ones will find room sooner elsewhere.
  this->rejectQueued(peer::REFUSAL_BUSY, "the worker's room has shrunk", Now);
  this->startFitting(Now);
}

void LeaseKeeper::onWorkerReady(Instant Now) {
  this->startFitting(Now);
  // An entry that has just started places nothing before it has heard this.
  if (this->Session.profile().StartUnixMs)
    for (const PeerRef &Entry : this->Open.entries(Now.Steady))
      this->sendLoad(Entry, Now);
}

void LeaseKeeper::onWorkerSilent(Instant Now) {
  this->rejectQueued(peer::REFUSAL_WORKER, "the worker is silent", Now);
}

void LeaseKeeper::onWorkerLeft(const WorkerIncarnation &Worker, Instant Now) {
  bool Present =
      this->Session.hasWorker() &&
      isSameIncarnation(this->Session.profile().workerIncarnation(), Worker);
  if (Present)
    this->leave("the worker has left", Now);
}

void LeaseKeeper::leave(const std::string &Reason, Instant Now) {
  this->Leaving = true;
  this->Log.decision("leaving", {{"reason", Reason},
                                 {"queued", this->Queue.size()},
                                 {"tasks", this->Tasks.size()}});
  this->rejectQueued(peer::REFUSAL_LEAVING, Reason, Now);
}

void LeaseKeeper::setEvacuated(bool IsEvacuated, Instant Now) {
  if (IsEvacuated == this->Evacuated)
    return;
  this->Evacuated = IsEvacuated;
  this->Log.decision("evacuation", {{"active", IsEvacuated},
                                    {"queued", this->Queue.size()},
                                    {"tasks", this->Tasks.size()}});
  if (IsEvacuated)
    this->rejectQueued(peer::REFUSAL_EVACUATED,
                       "its data centre is being evacuated", Now);
  else
    // The worker may have been replaced or idle since these failures.
    this->FailuresInRow = 0;
}

void LeaseKeeper::rejectQueued(peer::LeasedRefusal Cause,
                               const std::string &Reason, Instant Now) {
  this->Offers.clearInterests();
  std::vector<TaskId> Waiting = this->Queue;
  for (const TaskId &Id : Waiting)
    this->dropTask(Id, Cause, Reason, Now);
}

void LeaseKeeper::rejectOversized(Instant Now) {
  const peer::TaskNeeds &Room = this->Session.profile().Room;
  std::vector<TaskId> Waiting = this->Queue;
  for (const TaskId &Id : Waiting)
    if (!holdsNeeds(Room, this->Tasks.at(Id).Needs))
      this->dropTask(Id, peer::REFUSAL_BUSY, "it is larger than the room", Now);
}

void LeaseKeeper::rejectUnsuitable(Instant Now) {
  std::vector<TaskId> Unsuitable;
  for (const TaskId &Id : this->Queue)
    if (!this->suits(this->Tasks.at(Id).Requirement))
      Unsuitable.push_back(Id);
  for (const TaskId &Id : Unsuitable)
    this->dropTask(Id, peer::REFUSAL_UNSUITABLE, UnsuitableWorker, Now);
}

void LeaseKeeper::shutDown(Instant Now) {
  this->ShuttingDown = true;
  this->leave("the agent shuts down", Now);
}

// ---- Updates sent to entries ----

void LeaseKeeper::sendUpdate(const TaskId &Id, const Task &TheTask,
                             peer::LeasedEvent Event,
                             peer::LeasedRefusal Refusal,
                             const std::string &Reason, Instant Now,
                             bool WorkerLost) {
  peer::Message Message;
  peer::LeasedUpdate *Update = Message.mutable_leased_update();
  Update->set_worker_lost(WorkerLost);
  Update->set_job(Id.Job);
  Update->set_index(Id.Index);
  Update->set_attempt(TheTask.Attempt);
  Update->set_order(TheTask.Order);
  Update->set_event(Event);
  Update->set_refusal(Refusal);
  Update->set_reason(Reason);
  if (TheTask.State != Phase::Queued)
    Update->set_service_us((Now.Steady - TheTask.Started).count());
  *Update->mutable_load() = this->loadFor(TheTask.Owner.Node, Now);
  if (Refusal == peer::REFUSAL_UNSUITABLE)
    this->addKind(*Update->mutable_load());
  this->EndedPlacements[{TheTask.Owner.Node, TheTask.Order}] = Now.Steady;
  if (Event == peer::LEASED_DONE && this->canBatch(Id, TheTask)) {
    UpdateBatch &Held = this->PendingUpdates[TheTask.Owner.Node];
    if (Held.Updates.empty())
      Held = {TheTask.Owner, Now.Steady + this->Options.EndBatchDelay, {}};
    Held.Updates.push_back(std::move(Message));
    return;
  }
  this->flushUpdates(TheTask.Owner);
  this->Sink.send(TheTask.Owner, std::move(Message));
}

bool LeaseKeeper::canBatch(const TaskId &Id, const Task &TheTask) const {
  if (this->Options.EndBatchDelay.count() == 0)
    return false;
  auto First = this->Tasks.lower_bound({Id.Job, 0});
  for (auto It = First; It != this->Tasks.end() && It->first.Job == Id.Job;
       ++It)
    if (It->first.Index != Id.Index &&
        It->second.Owner.Node == TheTask.Owner.Node)
      return true;
  return false;
}

void LeaseKeeper::flushUpdates(const PeerRef &Entry) {
  auto Found = this->PendingUpdates.find(Entry.Node);
  if (Found == this->PendingUpdates.end())
    return;
  for (peer::Message &Update : Found->second.Updates)
    this->Sink.send(Entry, std::move(Update));
  this->PendingUpdates.erase(Found);
}

void LeaseKeeper::flushDueUpdates(Instant Now) {
  std::vector<PeerRef> Due;
  for (const auto &[Entry, Held] : this->PendingUpdates)
    if (Now.Steady >= Held.DueAt)
      Due.push_back(Held.Entry);
  for (const PeerRef &Entry : Due)
    this->flushUpdates(Entry);
}

void LeaseKeeper::onUndelivered(const Undelivered &Lost, Instant Now) {
  // An entry that is gone renews no leases, and nobody waits for its results.
  if (!this->EntryLeaseEnds.contains(Lost.To.Node))
    return;
  int Updates = 0;
  for (const peer::Message &Message : Lost.Envelope->messages()) {
    if (!Message.has_leased_update())
      continue;
    ++Updates;
    this->Sink.send(Lost.To, Message);
  }
  if (Updates > 0)
    this->Log.decision("updates_repeated",
                       {{"entry", Lost.To.Node},
                        {"updates", Updates},
                        {"age_ms", millisBetween(Lost.SentAt, Now.Steady)}});
}

peer::WorkerLoad LeaseKeeper::loadFor(const std::string &Entry, Instant Now,
                                      bool WithAllCrashes) {
  peer::WorkerLoad Load;
  Load.set_incarnation(this->Options.Incarnation);
  Load.set_stamp(stampAt(Now));
  std::uint32_t Others = 0;
  for (const auto &[Id, Known] : this->Tasks)
    if (Known.Owner.Node != Entry)
      Others += Known.Needs.cpu_milli();
  Load.set_others_cpu_milli(Others);
  Load.set_leaving(this->Leaving);
  for (const Crash &Known : this->Crashes)
    if (WithAllCrashes ||
        Now.Steady - Known.At < this->Options.RecentCrashWindow)
      *Load.add_crashes() = Known.Report;
  if (this->Session.hasWorker())
    *Load.mutable_room() = this->Session.profile().Room;
  Load.set_failures_in_row(this->FailuresInRow);
  Load.set_run_time_permille(this->Pace.permille(Now.Steady));
  Load.set_without_worker(!this->Session.hasWorker());
  if (this->Session.hasWorker()) {
    Load.set_worker_keeps_id(this->Session.profile().StartUnixMs.has_value());
    // Entries also conclude from this that a worker which was lost was only cut
    // off.
    Load.set_worker_ready(this->Session.isReady() &&
                          this->Session.hasSurvivedSilence());
    this->addTimesLeft(Load, Now);
    Load.set_start_delay_ms(
        static_cast<std::uint32_t>(this->startDelay().count()));
  }
  if (this->Session.hasAnnounced() && this->KindSentTo.insert(Entry).second)
    this->addKind(Load);
  this->Open.list(Entry, Now.Steady, Load);
  return Load;
}

std::chrono::milliseconds LeaseKeeper::startDelay() const {
  std::uint32_t RoomMilliCores = this->Session.profile().Room.cpu_milli();
  if (this->Queue.empty() || RoomMilliCores == 0)
    return {};
  std::chrono::duration<double, std::milli> Work{};
  for (const TaskId &Id : this->Queue) {
    const Task &Waiting = this->Tasks.at(Id);
    Work += std::chrono::duration<double, std::milli>(Waiting.Estimate) *
            Waiting.Needs.cpu_milli();
  }
  // Declared times are the caller's; a wrong one must not exceed the field.
  constexpr std::chrono::duration<double, std::milli> MaxDelay =
      std::chrono::minutes(10);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::min(Work / RoomMilliCores, MaxDelay));
}

void LeaseKeeper::addKind(peer::WorkerLoad &Load) const {
  if (std::optional<peer::WorkerKind> Kind = this->workerKind())
    *Load.mutable_kind() = *Kind;
}

void LeaseKeeper::addTimesLeft(peer::WorkerLoad &Load, Instant Now) const {
  Load.set_cold_left_ms(
      static_cast<std::uint32_t>(this->Session.coldLeft(Now).count()));
  // 0 says nothing, so the last moment is rounded up.
  if (auto Left = this->Session.timeLeft(Now))
    Load.set_left_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(Left->count(), 1)));
}

// ---- Open starts ----

void LeaseKeeper::onStartOpen(const RunKey &Run, Instant Now) {
  this->Open.add(Run.Job, Run.Index, Now.Steady);
  this->reportOpenStarts(Now);
}

void LeaseKeeper::onStartsUnanswered(const RunKey &Run, Instant) {
  ++this->FailuresInRow;
  if (Task *Known = this->findTask(Run))
    Known->IsFailureCounted = true;
}

void LeaseKeeper::reportOpenStarts(Instant Now) {
  for (const PeerRef &Entry : this->Open.dueReports(Now.Steady))
    this->sendLoad(Entry, Now);
}

void LeaseKeeper::sendLoad(const PeerRef &Entry, Instant Now) {
  peer::Message Message;
  *Message.mutable_worker_load() = this->loadFor(Entry.Node, Now);
  this->Sink.send(Entry, std::move(Message));
}

} // namespace yardwheel
