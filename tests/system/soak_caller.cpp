#include "tests/system/soak_caller.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace yardwheel {

using nlohmann::json;

namespace {

using std::chrono::milliseconds;

/// From a hand-in that has no clear answer until the next.
constexpr milliseconds ResubmitAfter{1300};
/// After an entry that cannot be connected to: nothing was handed in.
constexpr milliseconds ConnectAgainAfter{100};
constexpr milliseconds MaxRetryAfter{2000};
/// A caller gives a job up then.
constexpr int MaxHandIns = 6;
constexpr int MaxTasks = 8;
/// Only the longest outlives the time until its job is handed in again.
const int TaskMillis[] = {60, 200, 900, 3000, 3000};
/// How much of a task's length is declared, in parts of four.
constexpr int DeclaredParts = 4;
const int DeadlineMillis[] = {1200, 2500, 6000};

int statusOf(const SoakReply &Reply) {
  return Reply.Kind == ReplyKind::Answered ? Reply.Status : 0;
}

const char *nameOf(ReplyKind Kind) {
  const char *Names[] = {"answered", "refused", "broken", "missing",
                         "malformed"};
  return Names[static_cast<int>(Kind)];
}

} // namespace

SoakCaller::SoakCaller(SoakCallerShared &Shared, std::uint64_t Seed, int Number)
    : Shared(Shared), Random(Seed * 1000 + static_cast<std::uint64_t>(Number)),
      Number(Number) {
  for (const std::string &Entry : Shared.Entries)
    this->Connections.push_back(std::make_unique<SoakConnection>(Entry));
}

int SoakCaller::pick(int Low, int High) {
  return std::uniform_int_distribution<int>(Low, High)(this->Random);
}

SoakCaller::Job SoakCaller::newJob(int Millis) {
  Job New;
  New.Id = fmt::format("{:08x}{:08x}", this->Number + 1, ++this->LastJob);
  New.Tasks = this->pick(1, MaxTasks);
  int Estimate = Millis * this->pick(1, DeclaredParts) / DeclaredParts;
  New.Deadline = milliseconds(DeadlineMillis[this->pick(0, 2)]);
  json Body = {
      {"spec", std::to_string(Millis)},
      {"bestEffort", true},
      {"phases", {{{"count", New.Tasks}, {"cpu", 500}, {"estMs", Estimate}}}}};
  // The prober's jobs, which have to be served, run anywhere.
  if (this->Shared.RequiresKinds && this->Number > 0 && this->pick(0, 1) == 0) {
    const char *Kind = this->pick(0, 1) == 0 ? "a" : "b";
    Body["phases"][0]["requiredLabel"] = Kind;
    Body["spec"] = fmt::format("{} {}", Millis, Kind);
  }
  New.Body = Body.dump();
  ++this->Shared.Jobs;
  return New;
}

void SoakCaller::run() {
  while (!this->Shared.Over.load()) {
    Job Work = this->newJob(TaskMillis[this->pick(0, 4)]);
    int Entry = this->pick(0, static_cast<int>(this->Connections.size()) - 1);
    bool GivenUp = false;
    while (!Work.Ended && !GivenUp) {
      this->handIn(Work, Entry);
      int Others = static_cast<int>(this->Connections.size()) - 1;
      Entry = (Entry + this->pick(1, Others)) % (Others + 1);
      GivenUp = Work.HandIns >= MaxHandIns || this->Shared.Over.load();
    }
    if (Work.OnlyRefused && Work.HandIns > 0)
      this->Refused.push_back(Work.Id);
  }
}

bool SoakCaller::tryOnce(int Entry) {
  Job Work = this->newJob(TaskMillis[0]);
  Work.Deadline = milliseconds(DeadlineMillis[2]);
  this->handIn(Work, Entry);
  return Work.Completed;
}

void SoakCaller::checkRefused() const {
  for (const std::string &Id : this->Refused)
    this->checkNoRun(Id, "at the end");
}

void SoakCaller::handIn(Job &Work, int Entry) {
  SoakReply Reply = this->Connections[static_cast<std::size_t>(Entry)]->post(
      this->Shared.Host, this->Shared.Prefix + Work.Id, Work.Body,
      Work.Deadline);
  if (Reply.Kind != ReplyKind::Refused) {
    ++Work.HandIns;
    ++this->Shared.HandIns;
  }
  this->Shared.Findings.note(fmt::format(
      "job {} ({} tasks, deadline {} ms) at entry {}: {} {} {} after {} ms",
      Work.Id, Work.Tasks, Work.Deadline.count(), Entry + 1, nameOf(Reply.Kind),
      Reply.Status, Reply.Body,
      std::chrono::duration_cast<milliseconds>(Reply.EndedAt - Reply.SentAt)
          .count()));
  milliseconds Wait = this->take(Work, Entry, Reply);
  if (!Work.Ended)
    std::this_thread::sleep_until(Reply.EndedAt + Wait);
}

milliseconds SoakCaller::take(Job &Work, int Entry, const SoakReply &Reply) {
  switch (statusOf(Reply)) {
  case 200:
    this->takeEnd(Work, Entry, Reply);
    return milliseconds(0);
  case 429:
  case 503:
    return this->takeRefusal(Work, Reply);
  case 502:
  case 504:
    ++this->Shared.Unknown;
    Work.OnlyRefused = false;
    return ResubmitAfter;
  case 0:
    break;
  default:
    this->Shared.Findings.add(
        fmt::format("job {} at entry {} was answered {} {}", Work.Id, Entry + 1,
                    Reply.Status, Reply.Body));
    Work.Ended = true;
    return milliseconds(0);
  }
  if (Reply.Kind == ReplyKind::Refused)
    return ConnectAgainAfter;
  if (Reply.Kind == ReplyKind::Malformed)
    this->Shared.Findings.add(
        fmt::format("job {} at entry {} was answered by something else: {}",
                    Work.Id, Entry + 1, Reply.Body));
  if (Reply.Kind == ReplyKind::Broken)
    this->checkCut(Work, Entry, Reply);
  ++this->Shared.Cut;
  Work.OnlyRefused = false;
  return ResubmitAfter;
}

milliseconds SoakCaller::takeRefusal(Job &Work, const SoakReply &Reply) {
  ++this->Shared.NotRun;
  if (Work.OnlyRefused) {
    this->checkNoRun(Work.Id, "when it was refused");
    // Otherwise the same job comes back.
    Work.Ended = this->pick(0, 1) == 0;
  }
  return std::clamp(Reply.RetryAfter, ConnectAgainAfter, MaxRetryAfter);
}

void SoakCaller::takeEnd(Job &Work, int Entry, const SoakReply &Reply) {
  Work.Ended = true;
  Work.OnlyRefused = false;
  json Body = json::parse(Reply.Body, nullptr, false);
  std::string State =
      Body.is_object() ? Body.value("state", std::string()) : "";
  Work.Completed = State == "completed";
  if (!Work.Completed && State != "failed")
    this->Shared.Findings.add(fmt::format("job {} at entry {} has the state {}",
                                          Work.Id, Entry + 1, Reply.Body));
  if (!Work.Completed)
    return;
  ++this->Shared.Completed;
  int Done = 0;
  for (const auto &[Task, Runs] : this->Shared.Recorder.runsOf(Work.Id))
    Done += std::any_of(Runs.begin(), Runs.end(),
                        [](const RunSpan &Run) { return Run.Done; });
  if (Done != Work.Tasks)
    this->Shared.Findings.add(
        fmt::format("job {} was told as completed by entry {} with {} of {} "
                    "tasks done",
                    Work.Id, Entry + 1, Done, Work.Tasks));
}

void SoakCaller::checkCut(const Job &Work, int Entry, const SoakReply &Reply) {
  // A run that began since shows that this entry had read the request.
  bool Read = false;
  for (const auto &[Task, Runs] : this->Shared.Recorder.runsOf(Work.Id))
    for (const RunSpan &Run : Runs)
      Read = Read || (Run.Begin > Reply.SentAt && Run.Begin < Reply.EndedAt);
  if (Work.HandIns == 1 && Read &&
      !this->Shared.MayCut(Entry, Reply.SentAt, Reply.EndedAt))
    this->Shared.Findings.add(fmt::format(
        "entry {} cut job {}, which it had begun", Entry + 1, Work.Id));
}

void SoakCaller::checkNoRun(const std::string &Id, const char *When) const {
  if (!this->Shared.Recorder.runsOf(Id).empty())
    this->Shared.Findings.add(fmt::format(
        "job {} was refused as not run and has a run {}", Id, When));
}

} // namespace yardwheel
