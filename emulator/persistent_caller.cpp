#include "emulator/persistent_caller.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

/// Delay before a caller whose connection was refused tries another entry.
constexpr std::chrono::milliseconds RefusedPause{100};

} // namespace

PersistentCaller::PersistentCaller(
    LeasedWorld &World, LeasedJobRequest Job,
    std::vector<std::chrono::milliseconds> Lengths,
    PersistentCallerOptions Options)
    : World(World), Job(std::move(Job)), Lengths(std::move(Lengths)),
      Options(Options), Entry(World.world().random()() % World.entries()) {}

void PersistentCaller::logEvent(const std::string &What) {
  this->Log += fmt::format(
      "  {} ms: {} {}\n",
      millisBetween(this->World.loadStart(), this->World.world().now().Steady),
      this->Job.Id, What);
}

std::size_t PersistentCaller::otherEntry() {
  std::size_t Others = this->World.entries() - 1;
  std::size_t Step = 1 + this->World.world().random()() % Others;
  return (this->Entry + Step) % this->World.entries();
}

void PersistentCaller::begin() { this->tryOnce(); }

void PersistentCaller::tryAgainAfter(std::chrono::milliseconds Delay) {
  if (this->Tries >= this->Options.MaxTries) {
    this->Ended = LeasedEnd::Unknown;
    return;
  }
  this->Entry = this->otherEntry();
  this->World.world().after(Delay, [this] { this->tryOnce(); });
}

void PersistentCaller::tryOnce() {
  if (!this->World.world().isUp(this->World.entry(this->Entry).name())) {
    this->Entry = this->otherEntry();
    this->World.world().after(RefusedPause, [this] { this->tryOnce(); });
    return;
  }
  ++this->Tries;
  this->Waits = true;
  // The answer may arrive within the call.
  SubmissionId Next = this->World.nextSubmission();
  this->Current = Next;
  this->logEvent(fmt::format("submitted as {} to entry-{}", Next, this->Entry));
  this->World.submitJob(
      this->Entry, this->Job, this->Lengths,
      [this, Next](const std::optional<LeasedAnswer> &Answer) {
        if (this->Waits && this->Current == Next)
          this->onAnswer(Answer);
      });
  this->World.world().after(
      std::min(this->Job.Deadline, this->Options.Patience), [this, Next] {
        if (this->Waits && this->Current == Next)
          this->disconnect();
      });
}

void PersistentCaller::disconnect() {
  this->logEvent(
      fmt::format("disconnects {}: no answer in time", this->Current));
  this->Waits = false;
  this->World.entry(this->Entry).disconnect(this->Current);
  this->tryAgainAfter(this->Options.ResubmitAfter);
}

void PersistentCaller::onAnswer(const std::optional<LeasedAnswer> &Answer) {
  this->Waits = false;
  if (!Answer) {
    this->logEvent("connection lost");
    this->tryAgainAfter(this->Options.ResubmitAfter);
    return;
  }
  this->logEvent(fmt::format("{} answered {} ({}: {})", this->Current,
                             endName(Answer->End), Answer->Step,
                             Answer->Reason));
  switch (Answer->End) {
  case LeasedEnd::Unknown:
    this->tryAgainAfter(this->Options.ResubmitAfter);
    return;
  case LeasedEnd::NotRun:
    this->tryAgainAfter(Answer->RetryAfter);
    return;
  case LeasedEnd::Completed:
  case LeasedEnd::Failed:
    this->Ended = Answer->End;
  }
}

} // namespace yardwheel
