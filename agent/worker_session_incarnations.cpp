//===- WorkerSession: incarnations of the worker --------------------------===//

#include "agent/worker_session.h"

#include "protocol/task_needs.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Maximum number of incarnations awaiting a decision. Network partitions delay
/// announcements of one or two; more come from a sender that invents them.
constexpr std::size_t MaxCandidates = 8;

} // namespace

void WorkerSession::onProfile(const WorkerProfile &New, Instant Now) {
  if (this->Profile && isSameIncarnation(this->Profile->workerIncarnation(),
                                         New.workerIncarnation())) {
    if (this->Announced)
      this->updateProfile(New, Now);
    else
      this->completeProfile(New, Now);
    return;
  }
  if (!this->Profile) {
    this->attach(New, Now);
    return;
  }
  this->addCandidate(New);
  if (New.Id == this->Profile->Id)
    this->advanceToken(Now);
  this->sendHold({}, Now);
}

void WorkerSession::completeProfile(const WorkerProfile &New, Instant Now) {
  this->Announced = true;
  this->Profile = New;
  this->recordTimesLeft(New, Now);
  this->Port.attach(New);
  this->Log.decision("worker_announced", {{"worker", New.Id},
                                          {"born", New.StartUnixMs.value_or(0)},
                                          {"address", New.Address},
                                          {"cpu_milli", New.Room.cpu_milli()}});
  this->Events.onRoomChanged(Now);
  if (this->Ready)
    this->Events.onWorkerReady(Now);
}

void WorkerSession::updateProfile(const WorkerProfile &New, Instant Now) {
  this->Profile->Draining |= New.Draining;
  // A delayed announcement must not restore room that is gone.
  if (New.Sequence <= this->Profile->Sequence)
    return;
  this->Profile->Sequence = New.Sequence;
  this->recordTimesLeft(New, Now);
  peer::TaskNeeds Was = this->Profile->Room;
  bool IsSameKind =
      this->Profile->Pool == New.Pool && this->Profile->Labels == New.Labels;
  if (IsSameKind && isSameNeeds(Was, New.Room))
    return;
  this->Profile->Room = New.Room;
  this->Profile->Pool = New.Pool;
  this->Profile->Labels = New.Labels;
  this->Log.decision("worker_room_changed",
                     {{"worker", New.Id},
                      {"sequence", New.Sequence},
                      {"was_cpu_milli", Was.cpu_milli()},
                      {"cpu_milli", New.Room.cpu_milli()},
                      {"was_memory_mb", Was.memory_mb()},
                      {"memory_mb", New.Room.memory_mb()},
                      {"pool", New.Pool},
                      {"same_kind", IsSameKind},
                      {"runs", this->Runs.size()}});
  this->Events.onRoomChanged(Now);
}

void WorkerSession::recordTimesLeft(const WorkerProfile &New, Instant Now) {
  this->ColdUntil = Now.Steady + New.ColdLeft;
  this->LastsUntil =
      New.TimeLeft ? Now.Steady + *New.TimeLeft : TimePoint::max();
}

std::chrono::milliseconds WorkerSession::coldLeft(Instant Now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(this->ColdUntil, Now.Steady) - Now.Steady);
}

std::optional<std::chrono::milliseconds>
WorkerSession::timeLeft(Instant Now) const {
  if (this->LastsUntil == TimePoint::max())
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(this->LastsUntil, Now.Steady) - Now.Steady);
}

void WorkerSession::addCandidate(const WorkerProfile &New) {
  auto IsNew = [&](const WorkerProfile &Known) {
    return isSameIncarnation(Known.workerIncarnation(),
                             New.workerIncarnation());
  };
  auto Known = std::ranges::find_if(this->Candidates, IsNew);
  if (Known != this->Candidates.end() && Known->Sequence > New.Sequence)
    return;
  std::erase_if(this->Candidates, IsNew);
  if (this->Candidates.size() == MaxCandidates)
    this->Candidates.pop_front();
  this->Candidates.push_back(New);
}

bool WorkerSession::isFromOtherIncarnation(const WorkerReply &Reply) const {
  return Reply.Answered && Reply.StartUnixMs && this->Profile->StartUnixMs &&
         *Reply.StartUnixMs != *this->Profile->StartUnixMs;
}

void WorkerSession::replaceIncarnation(const WorkerReply &Reply, Instant Now) {
  WorkerIncarnation Current{this->Profile->Id, Reply.StartUnixMs};
  auto Known =
      std::ranges::find_if(this->Candidates, [&](const WorkerProfile &Each) {
        return isSameIncarnation(Each.workerIncarnation(), Current);
      });
  bool HasAnnounced = Known != this->Candidates.end();
  // Until it announces itself, it is reached at the known address.
  WorkerProfile Next = HasAnnounced ? *Known : *this->Profile;
  if (!HasAnnounced) {
    Next.StartUnixMs = Reply.StartUnixMs;
    Next.Sequence = 0;
    Next.Draining = false;
    Next.ColdLeft = {};
    Next.TimeLeft.reset();
  }
  if (Reply.Clock)
    Next.Clock = *Reply.Clock;
  // Other incarnations with this id that were announced meanwhile are not there
  // either.
  std::erase_if(this->Candidates, [&](const WorkerProfile &Each) {
    return Each.Id == Current.Id;
  });
  this->attach(Next, Now);
  this->Announced = HasAnnounced;
}

void WorkerSession::resolveCandidates(const WorkerReply &Reply, Instant Now) {
  bool IsAlive = Reply.Answered && Reply.Refusal == WorkerRefusal::None;
  bool Replaced =
      Reply.Answered && Reply.Refusal == WorkerRefusal::OtherIncarnation;
  // Where another id has replied, no incarnation of the current id is left.
  // Without a reply, it is unknown which incarnation with this id is there.
  auto HasCurrentId = [&](const WorkerProfile &Each) {
    return Each.Id == this->Profile->Id;
  };
  if (Replaced)
    std::erase_if(this->Candidates, HasCurrentId);
  auto Next = std::ranges::find_if_not(this->Candidates, HasCurrentId);
  if (IsAlive) {
    for (const WorkerProfile &Late : this->Candidates)
      this->Log.decision(
          "announcement_ignored",
          {{"worker", Late.Id},
           {"born", Late.StartUnixMs.value_or(0)},
           {"alive", this->Profile->Id},
           {"alive_born", this->Profile->StartUnixMs.value_or(0)},
           {"reason", "the current incarnation of the worker replies"}});
    this->Candidates.clear();
  } else if (Next != this->Candidates.end() &&
             (Replaced ||
              (this->Runs.empty() && this->InheritedRuns.empty()))) {
    // The remaining candidates are decided on by the replies of this one.
    WorkerProfile New = *Next;
    this->Candidates.erase(Next);
    this->attach(New, Now);
  }
  // Otherwise the current incarnation's runs may continue until their lease has
  // expired.
}

void WorkerSession::reportCrash(Instant Now) {
  std::map<RunKey, TimePoint> Started;
  std::swap(Started, this->LapsedWhileSilent);
  for (const auto &[Key, Known] : this->Runs)
    Started[Key] = Known.StartTime;
  std::vector<RunKey> Last;
  // Runs started later never reached the worker.
  for (const auto &[Key, At] : Started)
    if (this->isBeforeSilence(At))
      Last.push_back(Key);
  this->SilentSince.reset();
  bool Planned = !this->Profile || this->Profile->Draining;
  this->Suspects.clear();
  if (!Planned)
    this->Suspects = {Last.begin(), Last.end()};
  if (!Planned && !Last.empty())
    this->Events.onWorkerCrashed(Last, Now);
}

void WorkerSession::attach(const WorkerProfile &New, Instant Now) {
  this->reportCrash(Now);
  bool SharesId = this->Profile && this->Profile->Id == New.Id;
  this->Profile = New;
  this->recordTimesLeft(New, Now);
  this->Announced = true;
  this->ClockReading = New.Clock;
  this->ClockReadingTime = Now.Steady;
  this->Acknowledged = 0;
  this->UnreadableEndsSince.reset();
  this->UnreadableRunningSince.reset();
  this->Ready = false;
  this->Answering = true;
  this->LastHoldFailed = false;
  this->LapseUnexplained = false;
  this->ClockStartedOver = false;
  this->UnansweredHoldsInRow = 0;
  this->LastAnswer = Now.Steady;
  // Earlier calls may have given an incarnation with this id the longest lease
  // that it grants, as their deadlines refer to the previous incarnation's
  // clock.
  this->LeaseEnds = SharesId ? Now.Steady + this->Options.Lease : Now.Steady;
  this->NextIncarnationLeaseEnds = this->LeaseEnds;
  this->PendingHolds = 0;
  this->OrphanedRuns.clear();
  // The wall clock is ahead of any token of an earlier run of this agent,
  // unless it was set back; then the worker refuses the token and it is raised.
  std::uint64_t UnixMs = static_cast<std::uint64_t>(toUnixMillis(Now.Wall));
  this->Token = std::max(this->Token + 1, UnixMs);
  this->TokenAdvancedAt = TimePoint::min();
  this->OpenAtToken.clear();
  this->Log.decision("worker_attached", {{"worker", New.Id},
                                         {"born", New.StartUnixMs.value_or(0)},
                                         {"address", New.Address},
                                         {"pool", New.Pool},
                                         {"cpu_milli", New.Room.cpu_milli()},
                                         {"fencing_token", this->Token},
                                         {"runs_lost", this->Runs.size()}});
  this->Port.attach(New);
  this->Events.onWorkerAttached(Now);
  if (SharesId)
    this->InheritedRuns.merge(this->Runs);
  else
    this->lapseAllRuns(Now);
  this->Runs.clear();
  this->sendHold(this->holdWait(Now), Now);
}

void WorkerSession::settleInheritedRuns(Instant Now) {
  std::map<RunKey, Run> Settled;
  std::swap(Settled, this->InheritedRuns);
  for (const auto &[Key, Known] : Settled) {
    // A start that the previous incarnation had not listed, or that was sent
    // again, may have been executed by the current one, and its end may have
    // been acknowledged unread.
    this->Events.onRunEnded(
        Key, Known.isOnlyThere() ? RunOutcome::Lapsed : RunOutcome::Unknown,
        Now);
  }
}

void WorkerSession::lapseAllRuns(Instant Now) {
  std::map<RunKey, Run> Lost;
  std::swap(Lost, this->Runs);
  for (const auto &[Key, Known] : Lost)
    this->Events.onRunEnded(Key, RunOutcome::Lapsed, Now);
  this->settleInheritedRuns(Now);
}

bool WorkerSession::isCurrent(const WorkerIncarnation &Worker) const {
  return this->Profile &&
         isSameIncarnation(this->Profile->workerIncarnation(), Worker);
}

} // namespace yardwheel
