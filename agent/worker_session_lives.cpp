//===- The part of WorkerSession that follows the worker's lives ----------===//

#include "agent/worker_session.h"

#include "protocol/task_needs.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Lives that wait to be judged. Cuts hold up announcements of one or two;
/// more come from a writer that makes them up.
constexpr std::size_t MaxCandidates = 8;

} // namespace

void WorkerSession::onProfile(const WorkerProfile &New, Instant Now) {
  bool SameLife = this->Profile && this->Profile->Id == New.Id;
  if (SameLife) {
    this->refresh(New, Now);
    return;
  }
  if (!this->Profile) {
    this->attach(New, Now);
    return;
  }
  this->addCandidate(New);
  this->callHold({}, Now);
}

void WorkerSession::refresh(const WorkerProfile &New, Instant Now) {
  this->Profile->Draining |= New.Draining;
  // One that was held up on its way must not give room back that has gone.
  if (New.Sequence <= this->Profile->Sequence)
    return;
  this->Profile->Sequence = New.Sequence;
  peer::TaskNeeds Was = this->Profile->Room;
  if (isSameNeeds(Was, New.Room))
    return;
  this->Profile->Room = New.Room;
  this->Log.decision("worker_room_changed",
                     {{"worker", New.Id},
                      {"sequence", New.Sequence},
                      {"was_cpu_milli", Was.cpu_milli()},
                      {"cpu_milli", New.Room.cpu_milli()},
                      {"was_memory_mb", Was.memory_mb()},
                      {"memory_mb", New.Room.memory_mb()},
                      {"runs", this->Runs.size()}});
  this->Events.onRoomChanged(Now);
}

void WorkerSession::addCandidate(const WorkerProfile &New) {
  auto Known = std::ranges::find(this->Candidates, New.Id, &WorkerProfile::Id);
  if (Known != this->Candidates.end() && Known->Sequence > New.Sequence)
    return;
  std::erase_if(this->Candidates,
                [&](const WorkerProfile &Known) { return Known.Id == New.Id; });
  if (this->Candidates.size() == MaxCandidates)
    this->Candidates.pop_front();
  this->Candidates.push_back(New);
}

void WorkerSession::judgeCandidates(const WorkerReply &Reply, Instant Now) {
  bool Lives = Reply.Answered && Reply.Refusal == WorkerRefusal::None;
  bool Replaced = Reply.Answered && Reply.Refusal == WorkerRefusal::OtherLife;
  if (Lives) {
    for (const WorkerProfile &Late : this->Candidates)
      this->Log.decision(
          "announcement_ignored",
          {{"worker", Late.Id},
           {"alive", this->Profile->Id},
           {"reason", "the present life of the worker replies"}});
    this->Candidates.clear();
  } else if (Replaced || this->Runs.empty()) {
    // The others are judged by whether this one is there.
    WorkerProfile Next = this->Candidates.front();
    this->Candidates.pop_front();
    this->attach(Next, Now);
  }
  // Otherwise its runs may go on until their lease has lapsed.
}

void WorkerSession::tellCrash(Instant Now) {
  std::map<RunKey, TimePoint> Started;
  std::swap(Started, this->LapsedUnheard);
  for (const auto &[Key, Known] : this->Runs)
    Started[Key] = Known.CalledAt;
  std::vector<RunKey> Last;
  // What was sent later found nobody.
  for (const auto &[Key, At] : Started)
    if (!this->UnheardSince || At <= *this->UnheardSince)
      Last.push_back(Key);
  this->UnheardSince.reset();
  bool Planned = !this->Profile || this->Profile->Draining;
  if (!Planned && !Last.empty())
    this->Events.onWorkerCrashed(Last, Now);
}

void WorkerSession::attach(const WorkerProfile &New, Instant Now) {
  this->tellCrash(Now);
  this->Profile = New;
  this->ClockRead = New.Clock;
  this->ClockReadAt = Now.Steady;
  this->Acknowledged = 0;
  this->BadEndsSince.reset();
  this->BadRunningSince.reset();
  this->Ready = false;
  this->Answering = true;
  this->InDoubt = false;
  this->LastAnswer = Now.Steady;
  this->LeaseEnds = Now.Steady;
  this->HoldsOut = 0;
  this->Strangers.clear();
  // The time of day is higher than in any earlier life of this agent, unless
  // the clock was set back; then the worker refuses it and it is raised.
  std::uint64_t DayTime = static_cast<std::uint64_t>(toUnixMillis(Now.Wall));
  this->Token = std::max(this->Token + 1, DayTime);
  this->Log.decision("worker_attached", {{"worker", New.Id},
                                         {"address", New.Address},
                                         {"pool", New.Pool},
                                         {"cpu_milli", New.Room.cpu_milli()},
                                         {"fencing_token", this->Token},
                                         {"runs_lost", this->Runs.size()}});
  this->Port.attach(New);
  this->Events.onWorkerAttached(Now);
  this->lapseAll(Now);
  this->callHold(this->holdWait(Now), Now);
}

void WorkerSession::lapseAll(Instant Now) {
  std::map<RunKey, Run> Lost;
  std::swap(Lost, this->Runs);
  for (const auto &[Key, Known] : Lost)
    this->Events.onRunEnded(Key, RunEnd::Lapsed, Now);
}

bool WorkerSession::isCurrent(const WorkerLife &Life) const {
  return this->Profile && this->Profile->Id == Life.Id;
}

} // namespace yardwheel
