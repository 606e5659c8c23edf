#include "emulator/leased_entry.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// A process that was not idle for this long counts as behind.
constexpr std::chrono::milliseconds BehindThreshold{100};
/// The retry delay in the answer to a request that was read too late.
constexpr std::chrono::milliseconds RefusalRetry{300};
/// Range of order numbers of one incarnation; far above the number of its
/// placements.
constexpr std::uint64_t OrdersPerIncarnation = 1000000;

} // namespace

LeasedEntry::LeasedEntry(VirtualWorld &World, std::string Name,
                         const LeasedEntryOptions &Options)
    : World(World), Name(std::move(Name)), Options(Options), Processor(World),
      Sink(World.sinkOf(this->Name)) {
  this->startIncarnation();
}

void LeasedEntry::startIncarnation() {
  ++this->Incarnation;
  CoordinatorOptions Options = this->Options.Coordinator;
  Options.Name = this->Name;
  Options.OpenStarts.HasPredecessor = this->Incarnation > 1;
  Options.FirstOrder += (this->Incarnation - 1) * OrdersPerIncarnation;
  Options.Seed += this->Incarnation - 1;
  this->Coordinator = std::make_unique<LeaseCoordinator>(Options, *this, *this);
  DelegationOptions Delegation = this->Options.Delegation;
  Delegation.Name = this->Name;
  Delegation.FirstNumber = this->Incarnation * OrdersPerIncarnation;
  this->Intake = std::make_unique<DelegatingIntake>(
      Delegation, *this->Coordinator, *this, *this);
  this->LastIdle = this->World.now().Steady;
  this->LastBehind = TimePoint::min();
  this->World.start(this->Name, [this](const PeerRef &From,
                                       const peer::Message &Message) {
    this->runWhenFree([this, From, Message] { this->receive(From, Message); });
  });
  this->World.onSendFailed(this->Name, [this](const Undelivered &Lost) {
    this->Intake->noteBehind(this->lastBehind(), this->World.now());
    this->Coordinator->onUndelivered(Lost, this->World.now());
    this->Intake->onUndelivered(Lost, this->World.now());
  });
  this->World.every(this->Name, this->Options.Tick, [this] { this->tick(); });
}

void LeasedEntry::kill() {
  this->World.kill(this->Name);
  this->Unanswered.clear();
  this->AcceptedJobs.clear();
  std::map<SubmissionId, Listener> Broken;
  std::swap(Broken, this->Callers);
  for (const auto &[Which, OnAnswer] : Broken)
    OnAnswer(std::nullopt);
}

void LeasedEntry::restart() { this->startIncarnation(); }

void LeasedEntry::runWhenFree(std::function<void()> Action) {
  this->Processor.run(this->Options.MessageCost,
                      this->onThisIncarnation(std::move(Action)));
}

std::function<void()>
LeasedEntry::onThisIncarnation(std::function<void()> Action) {
  return [this, Incarnation = this->Incarnation, Action = std::move(Action)] {
    if (Incarnation == this->Incarnation)
      this->World.runOn(this->Name, Action);
  };
}

// ---- The loop ----

TimePoint LeasedEntry::lastBehind() const {
  TimePoint Now = this->World.now().Steady;
  return Now - this->LastIdle > BehindThreshold ? Now : this->LastBehind;
}

void LeasedEntry::tick() {
  this->Coordinator->tick(this->World.now(), this->lastBehind());
  if (this->Options.Delegation.Rule.MaxDelegates > 0)
    this->tickDelegation();
  this->LastBehind = this->lastBehind();
  this->LastIdle = this->Processor.lastIdle();
}

void LeasedEntry::tickDelegation() {
  Instant Now = this->World.now();
  this->Meter.sample(Now.Steady.time_since_epoch() - this->Processor.busy(),
                     Now.Steady);
  this->Intake->tick({.ProcessorShare = this->Meter.share(),
                      .ExpectedWait = this->Processor.expectedWait()},
                     this->lastBehind(), Now);
}

void LeasedEntry::receive(const PeerRef &From, const peer::Message &Message) {
  Instant Now = this->World.now();
  this->Intake->noteBehind(this->lastBehind(), Now);
  this->Coordinator->onMessage(From, Message, Now);
  this->Intake->onMessage(From, Message, Now);
  this->Coordinator->placeScheduled(Now);
}

void LeasedEntry::send(const PeerRef &To, peer::Message Message) {
  this->Processor.runNext(
      this->Options.MessageCost,
      this->onThisIncarnation([this, To, Message = std::move(Message)] {
        this->Sink.send(To, Message);
      }));
}

void LeasedEntry::announceAgent(const peer::Member &Agent) {
  this->World.runOn(this->Name, [this, Agent] {
    this->Coordinator->onMember(Agent, this->World.now());
    this->Intake->onMember(Agent, this->World.now());
  });
}

void LeasedEntry::announceEntry(const peer::Member &Entry) {
  this->World.runOn(this->Name, [this, Entry] {
    this->Coordinator->onMember(Entry, this->World.now());
  });
}

peer::Member LeasedEntry::member() const {
  peer::Member Self;
  Self.set_name(this->Name);
  Self.set_role(peer::ROLE_ENTRY);
  Self.set_state(peer::MEMBER_ALIVE);
  Self.set_incarnation(this->Incarnation);
  Self.set_address(this->Name);
  return Self;
}

// ---- Callers ----

void LeasedEntry::submitJob(SubmissionId Which, const LeasedJobRequest &Job,
                            Listener OnAnswer) {
  if (!this->World.isUp(this->Name)) {
    OnAnswer(std::nullopt);
    return;
  }
  this->Callers[Which] = std::move(OnAnswer);
  if (!this->Options.RefusesWhenBehind) {
    this->runWhenFree([this, Which, Job] { this->read(Which, Job); });
    return;
  }
  // Refused by the callers' thread, which costs as much as a message.
  if (this->refuses(Job)) {
    this->runWhenFree([this, Which] {
      this->answer(Which, {LeasedEnd::NotRun, "submit", "",
                           "this process is behind", RefusalRetry});
    });
    return;
  }
  // The loop handles messages before it does what other threads have posted.
  this->Processor.runLast(
      this->Options.MessageCost,
      this->onThisIncarnation([this, Which, Job] { this->read(Which, Job); }));
}

bool LeasedEntry::refuses(const LeasedJobRequest &Job) {
  if (this->AcceptedJobs.contains(Job.Id))
    return false;
  return !this->Admission.admits(Job.Route, this->Processor.expectedWait(),
                                 this->World.now().Steady);
}

void LeasedEntry::read(SubmissionId Which, const LeasedJobRequest &Job) {
  bool WasBehind = this->lastBehind() == this->World.now().Steady;
  if (WasBehind && !this->hasCaller(Which)) {
    bool MayHaveRun = this->AcceptedJobs.contains(Job.Id);
    this->answer(Which, {MayHaveRun ? LeasedEnd::Unknown : LeasedEnd::NotRun,
                         "submit", "", "the caller has gone", RefusalRetry});
    return;
  }
  this->AcceptedJobs.insert(Job.Id);
  this->handOver([this, Which, Job] {
    Instant Now = this->World.now();
    this->Unanswered[Which] = Job.Id;
    this->Intake->noteBehind(this->lastBehind(), Now);
    this->Intake->submit(Job, Which, Now);
  });
}

void LeasedEntry::handOver(const std::function<void()> &Action) {
  TimePoint Now = this->World.now().Steady;
  bool AtOnce = this->Options.HandOverDelay.count() == 0 ||
                this->World.random()() % 2 == 0;
  TimePoint At = AtOnce ? Now : Now + this->Options.HandOverDelay;
  // Requests keep their order.
  At = std::max(At, this->LastHandOver);
  this->LastHandOver = At;
  if (At == Now) {
    Action();
    return;
  }
  this->World.after(At - Now, [this, Action, Incarnation = this->Incarnation] {
    if (Incarnation == this->Incarnation)
      this->World.runOn(this->Name, Action);
  });
}

bool LeasedEntry::hasCaller(LeaseTicket Ticket) const {
  return this->Callers.contains(Ticket);
}

void LeasedEntry::disconnect(SubmissionId Which) {
  if (this->Callers.erase(Which) == 0)
    return;
  this->World.runOn(this->Name, [this, Which] {
    this->handOver([this, Which] {
      auto Found = this->Unanswered.find(Which);
      if (Found == this->Unanswered.end())
        return;
      // The coordinator answers immediately, which erases the entry found.
      std::string Job = Found->second;
      this->Intake->withdraw(Job, Which, "the caller has gone",
                             this->World.now());
    });
  });
}

void LeasedEntry::onLeasedAnswer(LeaseTicket Ticket,
                                 const LeasedAnswer &Answer) {
  if (this->Unanswered.erase(Ticket) == 0) {
    ++this->AnsweredTwice;
    return;
  }
  this->Processor.runNext(this->Options.MessageCost,
                          this->onThisIncarnation([this, Ticket, Answer] {
                            this->answer(Ticket, Answer);
                          }));
}

void LeasedEntry::answer(SubmissionId Which, const LeasedAnswer &Answer) {
  auto Found = this->Callers.find(Which);
  if (Found == this->Callers.end())
    return;
  // An answer counts only if a caller receives it.
  if (Answer.End == LeasedEnd::NotRun)
    this->NotRun.insert(Which);
  Listener OnAnswer = std::move(Found->second);
  this->Callers.erase(Found);
  OnAnswer(Answer);
}

} // namespace yardwheel
