#include "emulator/virtual_worker.h"

#include "agent/worker_session.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace yardwheel {

namespace {

constexpr std::int64_t WholePermille = 1000;
/// The worker's clock at the start of an incarnation; any time except zero
/// works.
constexpr WorkerTime ClockStart{480000};

struct Spec {
  SubmissionId For = 0;
  std::chrono::milliseconds Length{};
};

Spec readSpec(const std::string &Text, std::uint32_t Index) {
  std::istringstream Words(Text);
  Spec Read;
  std::int64_t Millis = 0;
  Words >> Read.For;
  for (std::uint32_t I = 0; I <= Index; ++I)
    Words >> Millis;
  Read.Length = std::chrono::milliseconds(Millis);
  return Read;
}

} // namespace

std::string specOf(SubmissionId For,
                   const std::vector<std::chrono::milliseconds> &Lengths) {
  std::string Text = fmt::format("{} ", For);
  for (std::chrono::milliseconds Length : Lengths)
    Text += fmt::format("{} ", Length.count());
  return Text;
}

VirtualWorker::VirtualWorker(VirtualWorld &World, RunRegister &Runs,
                             std::string Name, std::string Pool,
                             const VirtualWorkerOptions &Options,
                             std::uint64_t Seed)
    : World(World), Runs(Runs), Name(std::move(Name)), Options(Options),
      Random(Seed), Started(World.now().Steady) {
  this->SlowPermille = static_cast<std::uint32_t>(
      this->Random() % (Options.MaxSlowPermille + 1));
  this->setNextKind(std::move(Pool), Options.Labels);
  this->Profile.Room.set_cpu_milli(Options.CapacityMilliCores);
  this->Profile.Room.set_memory_mb(UINT32_MAX);
  this->startIncarnation();
}

void VirtualWorker::startIncarnation() {
  bool First = this->LastIncarnation == 1;
  this->IncarnationName =
      First ? this->Name
            : fmt::format("{}-{}", this->Name, this->LastIncarnation);
  this->Profile.Id = this->Options.KeepsId ? this->Name : this->IncarnationName;
  if (this->Options.KeepsId)
    this->Profile.StartUnixMs =
        static_cast<std::uint64_t>(toUnixMillis(this->World.now().Wall));
  this->Profile.Sequence = 0;
  this->Profile.Pool = this->NextPool;
  this->Profile.Labels = this->NextLabels;
  this->Started = this->World.now().Steady;
}

WorkerProfile VirtualWorker::announce() {
  ++this->Profile.Sequence;
  this->Profile.Clock = this->clock();
  return this->Profile;
}

// ---- The clock, the lease and the token ----

WorkerTime VirtualWorker::clock() const {
  Duration Passed = this->World.now().Steady - this->Started;
  return ClockStart +
         std::chrono::duration_cast<WorkerTime>(
             Passed * (WholePermille - this->SlowPermille) / WholePermille);
}

WorkerReply VirtualWorker::reply(const std::string &Id) const {
  WorkerReply Reply;
  Reply.Answered = this->Up;
  if (!this->Up)
    return Reply;
  Reply.Clock = this->clock();
  if (Id != this->Profile.Id)
    Reply.Refusal = WorkerRefusal::OtherIncarnation;
  return Reply;
}

WorkerRefusal VirtualWorker::fence(std::uint64_t Given) {
  if (Given < this->Token)
    return WorkerRefusal::Fenced;
  this->Token = Given;
  return WorkerRefusal::None;
}

void VirtualWorker::extendLease(WorkerTime Until) {
  this->LeaseEnd = std::max(
      this->LeaseEnd, std::min(Until, this->clock() + this->Options.MaxLease));
  this->scheduleLapse();
}

void VirtualWorker::scheduleLapse() {
  if (this->Alive.empty() || this->LapseScheduled)
    return;
  this->LapseScheduled = true;
  // A slow clock reaches the end of the lease later, so check again then.
  Duration Left = std::max<Duration>(this->LeaseEnd - this->clock(),
                                     std::chrono::milliseconds(1));
  this->World.after(Left, [this] {
    this->LapseScheduled = false;
    this->lapseIfDue();
  });
}

void VirtualWorker::lapseIfDue() {
  if (this->clock() < this->LeaseEnd) {
    this->scheduleLapse();
    return;
  }
  while (!this->Alive.empty()) {
    RunKey First = this->Alive.begin()->first;
    this->end(First, RunOutcome::Lapsed);
  }
}

// ---- Calls ----

WorkerReply VirtualWorker::start(const std::string &Id, const StartCall &Call) {
  WorkerReply Reply = this->reply(Id);
  if (!Reply.Answered || Reply.Refusal != WorkerRefusal::None)
    return Reply;
  Reply.Refusal = this->fence(Call.FencingToken);
  if (Reply.Refusal != WorkerRefusal::None)
    return Reply;
  if (Call.LeaseUntil <= this->clock()) {
    Reply.Refusal = WorkerRefusal::LeaseExpired;
    return Reply;
  }
  // A start that is refused as stale extends the lease too.
  this->extendLease(Call.LeaseUntil);
  if (this->Alive.contains(Call.Run))
    return Reply;
  auto LastFinished =
      this->LastFinishedRun.find({Call.Run.Job, Call.Run.Index});
  if (LastFinished != this->LastFinishedRun.end() &&
      Call.Run.Run <= LastFinished->second)
    Reply.Refusal = WorkerRefusal::StaleRun;
  else
    this->begin(Call);
  Reply.Answered = this->Up;
  return Reply;
}

WorkerReply VirtualWorker::stop(const std::string &Id, const StopCall &Call) {
  WorkerReply Reply = this->reply(Id);
  if (!Reply.Answered || Reply.Refusal != WorkerRefusal::None)
    return Reply;
  Reply.Refusal = this->fence(Call.FencingToken);
  if (Reply.Refusal != WorkerRefusal::None)
    return Reply;
  std::uint64_t &LastFinished =
      this->LastFinishedRun[{Call.Run.Job, Call.Run.Index}];
  LastFinished = std::max(LastFinished, Call.Run.Run);
  auto Found = this->Alive.find(Call.Run);
  if (Found == this->Alive.end() || Found->second.Stopping)
    return Reply;
  Found->second.Stopping = true;
  auto Takes = static_cast<std::int64_t>(
      this->Random() % (this->Options.MaxStopTime.count() + 1));
  this->World.after(
      std::chrono::milliseconds(Takes),
      [this, Run = Call.Run, Incarnation = this->LastIncarnation] {
        if (this->Up && Incarnation == this->LastIncarnation)
          this->end(Run, RunOutcome::Stopped);
      });
  return Reply;
}

void VirtualWorker::hold(const std::string &Id, const HoldCall &Call,
                         Answer Answered) {
  WorkerReply Reply = this->reply(Id);
  if (Reply.Answered && Reply.Refusal == WorkerRefusal::None)
    Reply.Refusal = this->fence(Call.FencingToken);
  if (!Reply.Answered || Reply.Refusal != WorkerRefusal::None) {
    Answered(Reply);
    return;
  }
  if (Call.LeaseUntil)
    this->extendLease(*Call.LeaseUntil);
  std::erase_if(this->Ended, [&](const EndedRun &Known) {
    return Known.Number <= Call.AcknowledgedEnd;
  });
  std::uint64_t Number = ++this->LastHold;
  this->Holds.push_back({Number, std::move(Answered)});
  if (!this->Ended.empty()) {
    this->answerHolds();
    return;
  }
  this->World.after(Call.Wait, [this, Number] {
    auto Own = std::ranges::find(this->Holds, Number, &WaitingHold::Number);
    if (Own == this->Holds.end())
      return;
    WaitingHold Due = std::move(*Own);
    this->Holds.erase(Own);
    this->sendReplies({Due});
  });
}

void VirtualWorker::answerHolds() {
  std::vector<WaitingHold> Due;
  std::swap(Due, this->Holds);
  this->sendReplies(Due);
}

void VirtualWorker::sendReplies(const std::vector<WaitingHold> &Due) {
  if (Due.empty())
    return;
  WorkerReply Reply = this->reply(this->Profile.Id);
  Reply.StartUnixMs = this->Profile.StartUnixMs;
  for (const auto &[Key, Known] : this->Alive)
    Reply.Running.push_back(Key);
  Reply.Ended = {this->Ended.begin(), this->Ended.end()};
  for (const WaitingHold &Each : Due)
    Each.Reply(Reply);
}

// ---- Runs ----

void VirtualWorker::begin(const StartCall &Call) {
  const RunKey &Key = Call.Run;
  Spec Read = readSpec(Call.Spec, Key.Index);
  this->Alive[Key] = {};
  this->Runs.begin(this->IncarnationName, Key, Read.For,
                   this->World.now().Steady);
  auto RunsOfJob = std::ranges::count_if(
      this->Alive, [&](const auto &Item) { return Item.first.Job == Key.Job; });
  this->Runs.checkKind(Key, this->Profile, static_cast<std::size_t>(RunsOfJob));
  if (Read.Length == CrashesWorker) {
    this->Runs.noteCrash(Key);
    this->crash();
    return;
  }
  this->scheduleLapse();
  auto Length = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Read.Length) *
      this->Options.RunTimeFactor);
  this->World.after(Length, [this, Key, Incarnation = this->LastIncarnation] {
    if (this->Up && Incarnation == this->LastIncarnation)
      this->end(Key, RunOutcome::Done);
  });
}

void VirtualWorker::end(const RunKey &Key, RunOutcome How) {
  if (this->Alive.erase(Key) == 0)
    return;
  std::uint64_t &LastFinished = this->LastFinishedRun[{Key.Job, Key.Index}];
  LastFinished = std::max(LastFinished, Key.Run);
  this->Runs.end(this->IncarnationName, Key, runOutcomeName(How),
                 this->World.now().Steady);
  this->Ended.push_back({++this->LastEnd, Key, How});
  this->answerHolds();
}

void VirtualWorker::crash() { this->crash(this->Options.RestartAfter); }

void VirtualWorker::crash(std::chrono::milliseconds RestartAfter) {
  if (!this->Up)
    return;
  this->Up = false;
  for (const auto &[Key, Known] : this->Alive)
    this->Runs.end(this->IncarnationName, Key, "crashed",
                   this->World.now().Steady);
  this->Alive.clear();
  this->LastFinishedRun.clear();
  this->Ended.clear();
  this->answerHolds();
  this->World.after(RestartAfter, [this] { this->restart(); });
}

void VirtualWorker::restart() {
  this->Up = true;
  ++this->LastIncarnation;
  this->startIncarnation();
  this->LeaseEnd = {};
  this->Token = 0;
  this->LastEnd = 0;
  if (this->Restarted)
    this->Restarted();
}

} // namespace yardwheel
