#include "agent/worker_session.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Added to a fencing token that proved too low, in milliseconds; doubles with
/// each refusal. Larger than the difference between the processes' wall clocks
/// ever is.
constexpr std::uint64_t TokenStep = 10000;
constexpr std::int64_t WholePermille = 1000;

} // namespace

const char *refusalName(WorkerRefusal Refusal) {
  switch (Refusal) {
  case WorkerRefusal::None:
    return "none";
  case WorkerRefusal::Fenced:
    return "fenced";
  case WorkerRefusal::StaleRun:
    return "old_run";
  case WorkerRefusal::LeaseExpired:
    return "lease_over";
  case WorkerRefusal::NoRoom:
    return "no_room";
  case WorkerRefusal::Unhealthy:
    return "unwell";
  case WorkerRefusal::OtherIncarnation:
    return "other_life";
  case WorkerRefusal::Malformed:
    return "malformed";
  }
  return "malformed";
}

const char *runOutcomeName(RunOutcome End) {
  switch (End) {
  case RunOutcome::Done:
    return "done";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::Lapsed:
    return "lapsed";
  case RunOutcome::Unanswered:
    return "unanswered";
  case RunOutcome::Unknown:
    return "unknown";
  case RunOutcome::Other:
    return "other";
  }
  return "other";
}

WorkerSession::WorkerSession(SessionOptions Options, WorkerPort &Port,
                             SessionEvents &Events)
    : Options(Options), Port(Port), Events(Events) {}

// ---- Worker clock, lease and fencing token ----

void WorkerSession::recordClock(const WorkerReply &Reply, Instant Now) {
  if (!Reply.Clock)
    return;
  this->explainLapse(Reply, Now);
  this->ClockReading = *Reply.Clock;
  this->ClockReadingTime = Now.Steady;
  this->LastAnswer = Now.Steady;
  // A reply from another incarnation proves nothing about this one.
  if (Reply.Refusal != WorkerRefusal::OtherIncarnation)
    this->SilentSince.reset();
}

void WorkerSession::explainLapse(const WorkerReply &Reply, Instant Now) {
  if (!this->LapseUnexplained || this->ClockStartedOver ||
      Reply.Refusal == WorkerRefusal::OtherIncarnation)
    return;
  if (this->Profile->StartUnixMs) {
    this->LapseUnexplained = Reply.StartUnixMs != this->Profile->StartUnixMs;
    return;
  }
  auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.Steady - this->ClockReadingTime);
  std::chrono::milliseconds Lag =
      Passed * this->Options.MaxClockLagPermille / WholePermille;
  std::chrono::milliseconds Ahead = *Reply.Clock - this->ClockReading - Passed;
  bool HasContinued = Ahead <= Lag + this->Options.ClockTolerance &&
                      -Ahead <= Lag + this->Options.ClockTolerance;
  this->LapseUnexplained = !HasContinued;
  this->ClockStartedOver = !HasContinued;
}

void WorkerSession::recordLostCall(Instant Now) {
  this->LastLoss = Now.Steady;
  if (!this->SilentSince)
    this->SilentSince = Now.Steady;
}

TimePoint WorkerSession::nextLeaseEnd(Instant Now) const {
  return std::min(Now.Steady + this->Options.Lease,
                  this->Events.maxWorkerLeaseEnd(Now));
}

bool WorkerSession::canSendStart(Instant Now) const {
  return !this->canReturnUnderItsId() ||
         (this->nextLeaseEnd(Now) > Now.Steady && this->mayCarryLease(Now));
}

bool WorkerSession::endsInTime(TimePoint Limit, Instant Now) const {
  if (!this->canReturnUnderItsId())
    return true;
  std::chrono::milliseconds Longest =
      this->Options.Lease + this->Options.LongestLeaseExcess;
  std::chrono::milliseconds Lag =
      Longest * this->Options.MaxClockLagPermille / WholePermille;
  return Limit - Now.Steady >= Longest + Lag + this->Options.LapseDuration;
}

bool WorkerSession::mayCarryLease(Instant Now) const {
  if (!this->canReturnUnderItsId())
    return true;
  return std::ranges::all_of(this->Runs, [&](const auto &Item) {
    const auto &[Key, Known] = Item;
    return Known.isOnlyThere() || this->hasStopped(Key, Now) ||
           this->endsInTime(this->Events.lastRunEnd(Key), Now);
  });
}

WorkerTime WorkerSession::extendLease(Instant Now) {
  TimePoint Ends = this->nextLeaseEnd(Now);
  // A worker never shortens a lease.
  this->LeaseEnds = std::max(this->LeaseEnds, Ends);
  if (this->canReturnUnderItsId())
    this->NextIncarnationLeaseEnds = Now.Steady + this->Options.Lease;
  auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.Steady - this->ClockReadingTime);
  if (Since > this->Options.MaxClockReadingAge)
    Since = {};
  return this->ClockReading + Since +
         std::chrono::floor<std::chrono::milliseconds>(Ends - Now.Steady);
}

void WorkerSession::advanceToken(Instant Now) {
  if (!this->canReturnUnderItsId())
    return;
  std::uint64_t UnixMs = static_cast<std::uint64_t>(toUnixMillis(Now.Wall));
  this->Token = std::max(this->Token + 1, UnixMs);
  this->TokenAdvancedAt = Now.Steady;
  this->OpenAtToken.clear();
}

bool WorkerSession::hasTokenSettled(Instant Now) const {
  return this->TokenAdvancedAt == TimePoint::min() ||
         Now.Steady - this->TokenAdvancedAt >= this->Options.TokenSettleTime;
}

void WorkerSession::raiseToken(Instant Now) {
  std::uint64_t Refused = this->Token;
  std::uint64_t UnixMs = static_cast<std::uint64_t>(toUnixMillis(Now.Wall));
  std::uint64_t Ahead = this->Token > UnixMs ? this->Token - UnixMs : 0;
  this->Token += TokenStep + Ahead;
  this->Log.decision("fencing_token_raised", {{"worker", this->Profile->Id},
                                              {"refused", Refused},
                                              {"next", this->Token}});
}

// ---- Runs ----

void WorkerSession::start(const RunKey &Key, const std::string &Spec,
                          Instant Now) {
  // A late start of an earlier run must not begin it beside this one.
  if (this->OpenAtToken.contains({Key.Job, Key.Index}))
    this->advanceToken(Now);
  Run &New = this->Runs[Key];
  New = Run();
  New.Spec = Spec;
  New.StartTime = Now.Steady;
  this->sendStart(Key, New, Now);
}

void WorkerSession::sendStart(const RunKey &Key, Run &Known, Instant Now) {
  Known.StartToken = this->Token;
  this->Port.start({Key, Known.Spec, this->extendLease(Now), this->Token});
}

void WorkerSession::stop(const RunKey &Key, Instant Now) {
  auto Found = this->Runs.find(Key);
  if (Found != this->Runs.end() && Found->second.State != Phase::Stopping)
    this->sendStop(Key, Found->second, Now);
}

void WorkerSession::sendStop(const RunKey &Key, Run &Known, Instant Now) {
  Known.State = Phase::Stopping;
  Known.NextStop = Now.Steady + this->Options.StopRetryInterval;
  this->Port.stop({Key, this->Token});
}

void WorkerSession::onStartReply(const WorkerIncarnation &Worker,
                                 const RunKey &Key, const WorkerReply &Reply,
                                 Instant Now) {
  // A worker that has another id after a restart refuses the call.
  if (!Reply.Answered && Worker.StartUnixMs)
    this->Events.onStartOpen(Key, Now);
  if (!this->isCurrent(Worker))
    return;
  if (this->isFromOtherIncarnation(Reply)) {
    this->replaceIncarnation(Reply, Now);
    return;
  }
  this->recordClock(Reply, Now);
  auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return;
  Run &Known = Found->second;
  if (!Reply.Answered) {
    this->onStartLost(Key, Known, Reply, Now);
    return;
  }
  if (Reply.Refusal == WorkerRefusal::None) {
    Known.StartAnswered = true;
    setBegun(Known, Now);
    return;
  }
  if (Reply.Refusal == WorkerRefusal::Fenced &&
      (Known.StartToken == this->Token || this->hasTokenSettled(Now)))
    this->raiseToken(Now);
  // The token may have been advanced while the start was on its way.
  if (Reply.Refusal == WorkerRefusal::Fenced && this->isAwaited(Known)) {
    Known.NextStart = Now.Steady + this->Options.StartRetryInterval;
    return;
  }
  if (Known.StartsLost == 0)
    this->refuse(Key, Reply.Refusal, Now);
  // An earlier start may have started the run, or may still do so.
  else if (Known.State == Phase::Starting)
    this->sendStop(Key, Known, Now);
}

void WorkerSession::onStartLost(const RunKey &Key, Run &Known,
                                const WorkerReply &Reply, Instant Now) {
  ++Known.StartsLost;
  this->recordLostCall(Now);
  // A slow worker would refuse each further start as overtaken.
  if (Known.StartsLost <= this->Options.MaxStartAttempts)
    this->advanceToken(Now);
  else
    this->OpenAtToken.insert({Key.Job, Key.Index});
  this->Log.decision("start_unanswered", {{"job", Key.Job},
                                          {"task", Key.Index},
                                          {"run", Key.Run},
                                          {"worker", this->Profile->Id},
                                          {"starts_lost", Known.StartsLost},
                                          {"problem", Reply.Problem}});
  if (Known.State != Phase::Starting)
    return;
  if (this->isAwaited(Known)) {
    bool IsFirstTime = Known.StartsLost == this->Options.MaxStartAttempts;
    Known.NextStart = IsFirstTime
                          ? Now.Steady
                          : Now.Steady + this->Options.StartRetryInterval;
    if (IsFirstTime)
      this->Events.onStartsUnanswered(Key, Now);
    return;
  }
  // The process may have been suspended since the start was sent.
  if (Known.StartsLost < this->Options.MaxStartAttempts &&
      this->canSendStart(Now))
    this->sendStart(Key, Known, Now);
  else
    this->sendStop(Key, Known, Now);
}

bool WorkerSession::isAwaited(const Run &Known) const {
  return Known.State == Phase::Starting &&
         Known.StartsLost >= this->Options.MaxStartAttempts &&
         this->canReturnUnderItsId();
}

void WorkerSession::setBegun(Run &Known, Instant Now) {
  Known.KnownSince = std::min(Known.KnownSince, Now.Steady);
  Known.NextStart = TimePoint::max();
  if (Known.State == Phase::Starting)
    Known.State = Phase::Running;
}

std::optional<TimePoint> WorkerSession::runningSince(const RunKey &Key) const {
  auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return std::nullopt;
  const Run &Known = Found->second;
  if (!this->canReturnUnderItsId())
    return Known.StartTime;
  if (Known.KnownSince == TimePoint::max())
    return std::nullopt;
  return Known.KnownSince;
}

void WorkerSession::onStopReply(const WorkerIncarnation &Worker,
                                const RunKey &Key, const WorkerReply &Reply,
                                Instant Now) {
  if (!this->isCurrent(Worker))
    return;
  if (this->isFromOtherIncarnation(Reply)) {
    this->replaceIncarnation(Reply, Now);
    return;
  }
  this->recordClock(Reply, Now);
  if (Reply.Answered && Reply.Refusal == WorkerRefusal::Fenced &&
      this->hasTokenSettled(Now))
    this->raiseToken(Now);
  bool Confirmed = Reply.Answered && Reply.Refusal == WorkerRefusal::None;
  if (!Confirmed)
    return;
  this->OrphanedRuns.erase(Key);
  auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return;
  // If the run did start, its room is freed only when the worker lists its end.
  Run &Known = Found->second;
  Known.NextStop = Now.Steady + this->Options.ConfirmedStopRetryInterval;
  Known.StopConfirmedAt = std::min(Known.StopConfirmedAt, Now.Steady);
  // It does not list a run that never started, and an end that could not be
  // parsed may never be listed in a readable form.
  bool IsNotListed = Known.StartsLost > 0 || Known.EndUnreadable;
  if (IsNotListed && Known.StoppedAt == TimePoint::max())
    Known.StoppedAt = Now.Steady + this->Options.MaxStopDuration;
}

bool WorkerSession::hasStopped(const RunKey &Key, Instant Now) const {
  auto Found = this->Runs.find(Key);
  return Found != this->Runs.end() &&
         Found->second.StopConfirmedAt <=
             Now.Steady - this->Options.MaxStopDuration;
}

bool WorkerSession::isStartAnswered(const RunKey &Key) const {
  auto Found = this->Runs.find(Key);
  return Found != this->Runs.end() && Found->second.StartAnswered &&
         Found->second.StartsLost == 0;
}

void WorkerSession::refuse(const RunKey &Key, WorkerRefusal Cause,
                           Instant Now) {
  this->Runs.erase(Key);
  this->Events.onRunRefused(Key, Cause, Now);
}

void WorkerSession::end(const RunKey &Key, RunOutcome Outcome, Instant Now) {
  this->Runs.erase(Key);
  this->Events.onRunEnded(Key, Outcome, Now);
}

// ---- Hold calls: lease renewal and ended runs ----

std::chrono::milliseconds WorkerSession::holdWait(Instant Now) const {
  if (!this->Ready)
    return this->Options.FirstHoldWait;
  if (this->LastHoldFailed)
    return {};
  if (this->Runs.empty())
    return this->Options.IdleHoldWait;
  bool Lossy = this->LastLoss != TimePoint::min() &&
               Now.Steady - this->LastLoss < this->Options.LossWindow;
  return Lossy ? this->Options.HoldWaitAfterLoss : this->Options.HoldWait;
}

void WorkerSession::sendHold(std::chrono::milliseconds Wait, Instant Now) {
  ++this->PendingHolds;
  HoldCall Call;
  Call.FencingToken = this->Token;
  Call.AcknowledgedEnd = this->Acknowledged;
  Call.Wait = Wait;
  // A worker that may not receive our calls is given no lease, so that the
  // expiry of its last one can be determined.
  bool Extends = this->Ready && !this->LastHoldFailed && !this->Runs.empty() &&
                 this->nextLeaseEnd(Now) > Now.Steady &&
                 this->mayCarryLease(Now);
  if (Extends)
    Call.LeaseUntil = this->extendLease(Now);
  this->Port.hold(Call);
}

void WorkerSession::renewIfDue(Instant Now) {
  // If the lease can hardly be extended, a call is not worth its cost.
  bool Gains =
      this->nextLeaseEnd(Now) - this->LeaseEnds >= this->Options.Lease / 8;
  bool Due = !this->Runs.empty() && this->Ready && !this->LastHoldFailed &&
             Gains && this->LeaseEnds - Now.Steady < this->Options.Lease / 2 &&
             this->mayCarryLease(Now);
  if (Due)
    this->sendHold({}, Now);
}

void WorkerSession::onHoldReply(const WorkerIncarnation &Worker,
                                const WorkerReply &Reply, Instant Now) {
  if (!this->isCurrent(Worker))
    return;
  this->PendingHolds = std::max(this->PendingHolds - 1, 0);
  if (this->isFromOtherIncarnation(Reply)) {
    this->replaceIncarnation(Reply, Now);
    return;
  }
  this->recordClock(Reply, Now);
  if (!this->Candidates.empty()) {
    this->resolveCandidates(Reply, Now);
    if (!this->isCurrent(Worker))
      return;
  }
  if (!Reply.Answered || Reply.Refusal != WorkerRefusal::None) {
    this->onHoldFailed(Reply, Now);
    return;
  }
  this->Answering = true;
  this->LastHoldFailed = false;
  this->UnansweredHoldsInRow = 0;
  this->LapsedWhileSilent.clear();
  this->logUnreadableRows(Reply, Now);
  this->markListedRuns(Reply, Now);
  this->processEnds(Reply, Now);
  this->resolveUnreadableEnds(Reply, Now);
  auto MaxWait = std::chrono::milliseconds::max();
  if (!this->Ready)
    this->stopOrphanedRuns(Reply, Now);
  else if (this->stopUnknownRuns(Reply))
    // The stop may get lost.
    MaxWait = this->Options.HoldWait;
  // The worker reports an unacknowledged end again in each reply, without
  // waiting.
  if (this->UnreadableEndsSince)
    this->NextHold = Now.Steady + this->Options.HoldRetryInterval;
  else if (this->PendingHolds == 0)
    this->sendHold(std::min(this->holdWait(Now), MaxWait), Now);
}

void WorkerSession::markListedRuns(const WorkerReply &Reply, Instant Now) {
  for (const RunKey &Key : Reply.Running) {
    auto Found = this->Runs.find(Key);
    if (Found == this->Runs.end())
      continue;
    Found->second.Listed = true;
    // Elsewhere a start is repeated until the worker replies to it.
    if (this->canReturnUnderItsId())
      setBegun(Found->second, Now);
  }
}

void WorkerSession::processEnds(const WorkerReply &Reply, Instant Now) {
  for (const EndedRun &Ended : Reply.Ended) {
    // A worker forgets all ends up to the acknowledged one. If an unreadable
    // end were among them, it would be lost, and its run would occupy its room
    // forever.
    std::uint64_t Read = std::min(Ended.Number, Reply.ReadUpTo);
    this->Acknowledged = std::max(this->Acknowledged, Read);
    this->OrphanedRuns.erase(Ended.Run);
    if (this->Runs.contains(Ended.Run))
      this->end(Ended.Run, Ended.Outcome, Now);
    else if (this->InheritedRuns.erase(Ended.Run) > 0)
      this->Events.onRunEnded(Ended.Run, Ended.Outcome, Now);
  }
}

void WorkerSession::resolveUnreadableEnds(const WorkerReply &Reply,
                                          Instant Now) {
  if (Reply.ReadUpTo == UINT64_MAX) {
    this->UnreadableEndsSince.reset();
    return;
  }
  if (!this->UnreadableEndsSince) {
    this->UnreadableEndsSince = Now.Steady;
    this->LastReadableEnd = 0;
    // Numbers of unreadable ends are not used: one that is far too high would
    // cause later ends to be lost.
    for (const EndedRun &Ended : Reply.Ended)
      this->LastReadableEnd = std::max(this->LastReadableEnd, Ended.Number);
  }
  // The runs concerned can only be determined if the list of running tasks is
  // complete.
  bool Old = Now.Steady - *this->UnreadableEndsSince >=
             this->Options.UnreadableEndsTimeout;
  if (!Old || Reply.UnreadableRunning > 0 || this->stopUnlisted(Reply, Now))
    return;
  // If they stayed unacknowledged, these ends would fill the list in the
  // worker's replies and hide later ones.
  this->Acknowledged = std::max(this->Acknowledged, this->LastReadableEnd);
  this->UnreadableEndsSince.reset();
}

bool WorkerSession::stopUnlisted(const WorkerReply &Reply, Instant Now) {
  bool Any = false;
  for (auto &[Key, Known] : this->Runs) {
    bool Listed = std::ranges::find(Reply.Running, Key) != Reply.Running.end();
    if (Listed || Known.StartTime > *this->UnreadableEndsSince)
      continue;
    Any = true;
    // The reply may be older than the start of the run, so it is no proof of
    // the end.
    if (!Known.EndUnreadable && Known.State != Phase::Stopping)
      this->sendStop(Key, Known, Now);
    Known.EndUnreadable = true;
  }
  return Any;
}

void WorkerSession::logUnreadableRows(const WorkerReply &Reply, Instant Now) {
  if (Reply.UnreadableRows == 0 || Now.Steady < this->NextUnreadableRowsLog)
    return;
  this->NextUnreadableRowsLog =
      Now.Steady + this->Options.UnreadableRowsLogInterval;
  this->Log.decision("reply_rows_skipped",
                     {{"worker", this->Profile->Id},
                      {"rows", Reply.UnreadableRows},
                      {"running", Reply.UnreadableRunning},
                      {"ends_read", Reply.Ended.size()}});
}

void WorkerSession::onHoldFailed(const WorkerReply &Reply, Instant Now) {
  this->NextHold = Now.Steady + this->Options.HoldRetryInterval;
  if (Reply.Refusal == WorkerRefusal::Fenced) {
    if (this->hasTokenSettled(Now))
      this->raiseToken(Now);
    return;
  }
  this->LastHoldFailed = true;
  this->advanceToken(Now);
  if (!Reply.Answered) {
    ++this->UnansweredHoldsInRow;
    this->recordLostCall(Now);
  }
  bool Silent = Now.Steady - this->LastAnswer >= this->Options.SilenceTimeout;
  if (!this->Answering || !Silent)
    return;
  this->Answering = false;
  this->Log.decision("worker_silent", {{"worker", this->Profile->Id},
                                       {"refusal", refusalName(Reply.Refusal)},
                                       {"problem", Reply.Problem},
                                       {"runs", this->Runs.size()}});
  this->Events.onWorkerSilent(Now);
}

void WorkerSession::stopOrphanedRuns(const WorkerReply &Reply, Instant Now) {
  this->OrphanedRuns.clear();
  for (const RunKey &Key : Reply.Running)
    this->sendStop(Key, this->OrphanedRuns[Key], Now);
  bool Unknown = this->mayHaveUnreadableRuns(Reply, Now);
  if (Unknown || !this->OrphanedRuns.empty())
    return;
  this->settleInheritedRuns(Now);
  this->Ready = true;
  this->Log.decision("worker_ready", {{"worker", this->Profile->Id},
                                      {"fencing_token", this->Token}});
  if (this->Announced)
    this->Events.onWorkerReady(Now);
}

bool WorkerSession::stopUnknownRuns(const WorkerReply &Reply) {
  if (!this->canReturnUnderItsId())
    return false;
  bool Any = false;
  for (const RunKey &Key : Reply.Running) {
    if (this->Runs.contains(Key) || this->OrphanedRuns.contains(Key) ||
        this->InheritedRuns.contains(Key))
      continue;
    Any = true;
    this->Log.decision("unknown_run_stopped", {{"job", Key.Job},
                                               {"task", Key.Index},
                                               {"run", Key.Run},
                                               {"worker", this->Profile->Id}});
    this->Port.stop({Key, this->Token});
  }
  return Any;
}

bool WorkerSession::mayHaveUnreadableRuns(const WorkerReply &Reply,
                                          Instant Now) {
  if (Reply.UnreadableRunning == 0)
    return false;
  if (!this->UnreadableRunningSince)
    this->UnreadableRunningSince = Now.Steady;
  // Such runs cannot be stopped by name and would live on with the leases that
  // a ready worker is given. Without further leases they end when the last one
  // expires.
  return Now.Steady - *this->UnreadableRunningSince <
         this->Options.Lease + this->Options.LeaseExpiryMargin;
}

void WorkerSession::tick(Instant Now) {
  if (!this->Profile)
    return;
  if (this->PendingHolds == 0 && Now.Steady >= this->NextHold)
    this->sendHold(this->holdWait(Now), Now);
  this->renewIfDue(Now);
  bool HasRuns = !this->Runs.empty() || !this->InheritedRuns.empty();
  TimePoint LastLeaseEnds =
      std::max(this->LeaseEnds, this->NextIncarnationLeaseEnds);
  bool Lapsed = this->LastHoldFailed && HasRuns &&
                Now.Steady >= LastLeaseEnds + this->Options.LeaseExpiryMargin;
  if (Lapsed) {
    this->LapseUnexplained = true;
    this->Suspects.clear();
    for (const auto &[Key, Known] : this->Runs) {
      this->LapsedWhileSilent[Key] = Known.StartTime;
      if (this->isBeforeSilence(Known.StartTime))
        this->Suspects.insert(Key);
    }
    this->lapseAllRuns(Now);
  }
  this->repeatStarts(Now);
  this->tickRuns(Now);
}

void WorkerSession::repeatStarts(Instant Now) {
  if (this->LastHoldFailed)
    return;
  bool Repeats = false;
  for (auto &[Key, Known] : this->Runs) {
    bool Due = Known.State == Phase::Starting && Now.Steady >= Known.NextStart;
    if (!Due || !this->canSendStart(Now))
      continue;
    Known.NextStart = TimePoint::max();
    this->sendStart(Key, Known, Now);
    Repeats = true;
  }
  // The starts so far may not have extended the lease, which a late one needs.
  if (Repeats)
    this->sendHold({}, Now);
}

void WorkerSession::tickRuns(Instant Now) {
  std::vector<RunKey> Stopped;
  for (auto &[Key, Known] : this->Runs) {
    if (Now.Steady >= Known.StoppedAt)
      Stopped.push_back(Key);
    else if (Known.State == Phase::Stopping && Now.Steady >= Known.NextStop)
      this->sendStop(Key, Known, Now);
  }
  for (const RunKey &Key : Stopped) {
    bool Unread = this->Runs.at(Key).EndUnreadable;
    this->end(Key, Unread ? RunOutcome::Other : RunOutcome::Unanswered, Now);
  }
}

} // namespace yardwheel
