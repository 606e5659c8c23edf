#include "coordination/open_start_record.h"

#include <algorithm>

namespace yardwheel {

bool OpenStartRecord::onLoad(const std::string &Agent,
                             const peer::WorkerLoad &Load, TimePoint Now) {
  if (!Load.without_worker())
    this->WorkersKeepId =
        this->WorkersKeepId.value_or(false) || Load.worker_keeps_id();
  if (Load.worker_keeps_id())
    this->KeepingId.insert(Agent);
  bool IsSettled = !Load.without_worker() &&
                   (Load.worker_ready() || !Load.worker_keeps_id());
  if (IsSettled) {
    this->Settled[Agent] = Now;
  } else {
    this->Settled.erase(Agent);
    this->HasUnsettled = true;
  }
  if (Load.open_starts_size() == 0)
    return false;
  Reports &Known = this->Agents[Agent];
  if (Known.Incarnation != Load.incarnation())
    Known = {Load.incarnation(), 0};
  std::uint64_t Before = Known.LastNumber;
  for (const peer::OpenStart &Row : Load.open_starts()) {
    Known.LastNumber = std::max(Known.LastNumber, Row.number());
    this->add(Agent, Row, Now);
  }
  return Known.LastNumber > Before;
}

OpenStartRecord::AtAgent *OpenStartRecord::findOrAdd(const TaskKey &Task,
                                                     const std::string &Agent) {
  bool IsFull = this->Tasks.size() >= this->Options.MaxTasks &&
                !this->Tasks.contains(Task);
  if (!IsFull)
    return &this->Tasks[Task][Agent];
  this->Log.decision("open_start_ignored", {{"job", Task.first},
                                            {"task", Task.second},
                                            {"agent", Agent},
                                            {"known", this->Tasks.size()}});
  return nullptr;
}

void OpenStartRecord::add(const std::string &Agent, const peer::OpenStart &Row,
                          TimePoint Now) {
  AtAgent *Open = this->findOrAdd({Row.job(), Row.index()}, Agent);
  if (Open == nullptr)
    return;
  std::chrono::milliseconds Left(Row.left_ms());
  Open->Until =
      std::max(Open->Until, Now + std::min(Left, this->Options.MaxCallDelay));
  // The same start is reported several times.
  if (Row.number() > Open->LastNumber) {
    ++Open->Starts;
    Open->Relayed = false;
  }
  Open->LastNumber = std::max(Open->LastNumber, Row.number());
}

void OpenStartRecord::addUnreported(const std::string &Agent,
                                    const std::string &Job, std::uint32_t Index,
                                    TimePoint Now) {
  AtAgent *Open = this->findOrAdd({Job, Index}, Agent);
  if (Open == nullptr)
    return;
  Open->Until = Now + this->Options.MaxCallDelay;
  Open->Relayed = false;
}

std::vector<OpenStartRecord::TaskAt>
OpenStartRecord::takeUnrelayed(const std::string &Job, TimePoint Now) {
  std::vector<TaskAt> Taken;
  auto Task = this->Tasks.lower_bound({Job, 0});
  for (; Task != this->Tasks.end() && Task->first.first == Job; ++Task)
    for (auto &[Agent, Open] : Task->second)
      if (Now < Open.Until && !std::exchange(Open.Relayed, true))
        Taken.push_back({Agent, Task->first.second, Open.Until});
  return Taken;
}

std::uint64_t OpenStartRecord::onRelay(const PeerRef &From,
                                       const peer::OpenStartRelay &Relay,
                                       TimePoint Now) {
  Reports &Known = this->Relays[From.Node];
  if (Known.Incarnation != From.Incarnation)
    Known = {From.Incarnation, 0};
  // The sender does not know yet that this entry has restarted, and has left
  // out rows that are unknown here.
  if (Relay.acknowledged() > Known.LastNumber)
    return Known.LastNumber;
  int New = 0;
  for (const peer::RelayedStart &Row : Relay.starts()) {
    const peer::OpenStart &Start = Row.start();
    if (Start.number() <= Known.LastNumber)
      continue;
    Known.LastNumber = Start.number();
    ++New;
    AtAgent *Open = this->findOrAdd({Start.job(), Start.index()}, Row.agent());
    if (Open == nullptr)
      continue;
    std::chrono::milliseconds Left(Start.left_ms());
    Open->Until =
        std::max(Open->Until, Now + std::min(Left, this->Options.MaxCallDelay));
    Open->Relayed = true;
  }
  if (New > 0)
    this->Log.decision(
        "open_starts_received",
        {{"entry", From.Node}, {"starts", New}, {"known", this->Tasks.size()}});
  return Known.LastNumber;
}

std::uint64_t OpenStartRecord::acknowledged(const std::string &Agent,
                                            std::uint64_t Incarnation) const {
  auto Found = this->Agents.find(Agent);
  bool Same =
      Found != this->Agents.end() && Found->second.Incarnation == Incarnation;
  return Same ? Found->second.LastNumber : 0;
}

OpenStartRecord::Choice OpenStartRecord::choiceFor(const std::string &Job,
                                                   std::uint32_t Index,
                                                   TimePoint Now) const {
  Choice Found;
  if (this->Tasks.empty())
    return Found;
  auto Task = this->Tasks.find({Job, Index});
  if (Task == this->Tasks.end())
    return Found;
  for (const auto &[Agent, Open] : Task->second) {
    if (Now >= Open.Until)
      continue;
    bool MayTake = Found.IsFree && Open.Starts <= this->Options.MaxLostStarts;
    Found = {/*IsFree=*/false, MayTake ? Agent : ""};
  }
  return Found;
}

bool OpenStartRecord::hasOpenStart(const std::string &Job,
                                   TimePoint Now) const {
  auto Task = this->Tasks.lower_bound({Job, 0});
  for (; Task != this->Tasks.end() && Task->first.first == Job; ++Task)
    for (const auto &[Agent, Open] : Task->second)
      if (Now < Open.Until)
        return true;
  return false;
}

bool OpenStartRecord::mayMissOpenStarts(TimePoint Now) {
  if (!this->Started)
    this->Started = Now;
  bool MayMiss = this->Options.HasPredecessor &&
                 Now - *this->Started < this->Options.StartupWait;
  return MayMiss && this->WorkersKeepId.value_or(this->HasUnsettled);
}

bool OpenStartRecord::hasSettled(const std::string &Agent,
                                 TimePoint Now) const {
  auto Found = this->Settled.find(Agent);
  return Found != this->Settled.end() &&
         Now - Found->second < this->Options.SettledTimeout;
}

void OpenStartRecord::sweep(TimePoint Now) {
  for (auto &[Task, Agents] : this->Tasks)
    std::erase_if(Agents,
                  [Now](const auto &Item) { return Now >= Item.second.Until; });
  std::erase_if(this->Tasks,
                [](const auto &Item) { return Item.second.empty(); });
}

} // namespace yardwheel
