#include "coordination/delegating_intake.h"

#include "coordination/clock_stamp.h"
#include "coordination/delegated_job.h"

#include <algorithm>

namespace yardwheel {

DelegatingIntake::DelegatingIntake(const DelegationOptions &Options,
                                   LeaseCoordinator &Local, PeerSink &Sink,
                                   LeasedAnswerSink &Answers)
    : Options(Options), Local(Local), Sink(Sink), Answers(Answers),
      Rule(Options.Rule), LastNumber(Options.FirstNumber) {}

DelegatingIntake::Job *DelegatingIntake::find(const std::string &Id) {
  auto Found = this->Jobs.find(Id);
  return Found == this->Jobs.end() ? nullptr : &Found->second;
}

// ---- Submissions ----

void DelegatingIntake::submit(LeasedJobRequest Request, LeaseTicket Waiter,
                              Instant Now) {
  if (Job *Known = this->find(Request.Id)) {
    this->addCaller(*Known, {Waiter, Now.Steady + Request.Deadline}, Now);
    return;
  }
  // Runs of an earlier submission are known to the local coordinator only. It
  // also ends a job whose caller has gone.
  bool IsLocal = this->Local.isRunning(Request.Id) ||
                 this->Local.mayHaveRun(Request.Id, Now) ||
                 this->hasDeparted(Waiter, Now);
  Contact *Target = IsLocal ? nullptr : this->chooseDelegate(Now);
  if (Target == nullptr)
    this->Local.submit(std::move(Request), Waiter, Now);
  else
    this->delegate(std::move(Request), Waiter, *Target, Now);
}

bool DelegatingIntake::hasDeparted(LeaseTicket Waiter, Instant Now) const {
  return this->isCatchingUp(Now) && !this->Answers.hasCaller(Waiter);
}

TimePoint DelegatingIntake::lastDeadline(const Job &Target) {
  return std::ranges::max(Target.Callers, {}, &Caller::Deadline).Deadline;
}

void DelegatingIntake::addCaller(Job &Known, Caller Joined, Instant Now) {
  bool WaitsLonger = Joined.Deadline > lastDeadline(Known);
  Known.Callers.push_back(Joined);
  ++this->WaitingCallers;
  if (WaitsLonger)
    this->sendJob(Known, this->Contacts[Known.Delegate], Now);
}

DelegatingIntake::Contact *DelegatingIntake::chooseDelegate(Instant Now) {
  if (this->Rule.share() <= 0)
    return nullptr;
  this->Owed += this->Rule.share();
  if (this->Owed < 1)
    return nullptr;
  this->Owed -= 1;
  // A delegate does not know of the starts that entries tell each other of.
  if (this->Local.mayWorkersKeepIds())
    return nullptr;
  Contact *Best = nullptr;
  for (const std::string &Name : this->LastWanted) {
    auto Found = this->Contacts.find(Name);
    if (Found == this->Contacts.end() || !this->isUsable(Found->second, Now))
      continue;
    Contact &Target = Found->second;
    if (Best == nullptr || Target.Jobs.size() < Best->Jobs.size())
      Best = &Target;
  }
  return Best;
}

bool DelegatingIntake::isUsable(const Contact &Target, Instant Now) const {
  return this->isReady(Target, Now) &&
         Target.ProcessorShare < this->Options.MaxDelegateBusyShare;
}

bool DelegatingIntake::isReady(const Contact &Target, Instant Now) const {
  bool IsSilent =
      Target.UnansweredSince != TimePoint::max() &&
      Now.Steady - Target.UnansweredSince > this->Options.SuspectTimeout;
  return Target.Alive && Target.Ready && Target.Incarnation != 0 && !IsSilent &&
         Now.Steady >= Target.PausedUntil;
}

void DelegatingIntake::delegate(LeasedJobRequest Request, LeaseTicket Waiter,
                                Contact &Target, Instant Now) {
  ++this->Counters.Delegated;
  this->Local.noteDelegated(Request, Now);
  ++this->WaitingCallers;
  std::string Id = Request.Id;
  Job &New = this->Jobs[Id];
  New.Callers = {{Waiter, Now.Steady + Request.Deadline}};
  New.Request = std::move(Request);
  New.Number = ++this->LastNumber;
  New.Delegate = Target.Agent.Node;
  New.Incarnation = Target.Incarnation;
  New.AcceptedAt = Now.Steady;
  New.SentAt = Now.Steady;
  Target.Jobs[New.Number] = Id;
  Target.NextRenewal =
      std::min(Target.NextRenewal, Now.Steady + this->Options.RenewalInterval);
  this->sendJob(New, Target, Now);
}

void DelegatingIntake::sendJob(const Job &Target, const Contact &To,
                               Instant Now) {
  peer::Message Message;
  peer::DelegatedJob *Encoded = Message.mutable_delegated_job();
  LeasedJobRequest Left = Target.Request;
  Left.Deadline = std::chrono::floor<std::chrono::milliseconds>(
      lastDeadline(Target) - Now.Steady);
  Left.Objective -= std::chrono::ceil<std::chrono::milliseconds>(
      Now.Steady - Target.AcceptedAt);
  *Encoded = encodeDelegatedJob(Left);
  Encoded->set_number(Target.Number);
  Encoded->set_delegate_incarnation(Target.Incarnation);
  Encoded->set_stamp(extrapolateStamp(To.Stamp, To.StampReceived, Now.Steady));
  this->Sink.send(To.Agent, std::move(Message));
}

void DelegatingIntake::withdraw(const std::string &Id, LeaseTicket Waiter,
                                const std::string &Reason, Instant Now) {
  Job *Known = this->find(Id);
  bool IsAmong = Known != nullptr &&
                 std::ranges::find(Known->Callers, Waiter, &Caller::Ticket) !=
                     Known->Callers.end();
  if (!IsAmong) {
    this->Local.withdraw(Id, Waiter, Reason, Now);
    return;
  }
  if (Known->Callers.size() == 1) {
    this->cancel(Id, Reason, Now);
    return;
  }
  std::erase_if(Known->Callers, [Waiter](const Caller &Other) {
    return Other.Ticket == Waiter;
  });
  --this->WaitingCallers;
  this->Answers.onLeasedAnswer(Waiter,
                               {LeasedEnd::Unknown, "cancel", "", Reason, {}});
}

void DelegatingIntake::cancel(const std::string &Id, const std::string &Reason,
                              Instant Now) {
  if (const Job *Known = this->find(Id)) {
    this->sendWithdrawal(*Known, Reason);
    this->finish(Id, {LeasedEnd::Unknown, "cancel", "", Reason, {}}, Now);
  }
  this->Local.cancel(Id, Reason, Now);
}

void DelegatingIntake::cancelAll(const std::string &Reason, Instant Now) {
  std::vector<std::string> Ids;
  for (const auto &[Id, Known] : this->Jobs)
    Ids.push_back(Id);
  for (const std::string &Id : Ids)
    this->cancel(Id, Reason, Now);
  this->Local.cancelAll(Reason, Now);
}

bool DelegatingIntake::isCatchingUp(Instant Now) const {
  return this->LastBehind != TimePoint::min() &&
         Now.Steady - this->LastBehind < this->Options.CatchUpPeriod;
}

void DelegatingIntake::noteBehind(TimePoint NewLastBehind, Instant Now) {
  this->LastBehind = NewLastBehind;
  this->Local.noteBehind(NewLastBehind, Now);
}

void DelegatingIntake::withdrawDeparted(Contact &Target, Instant Now) {
  if (!this->isCatchingUp(Now))
    return;
  std::vector<std::string> Departed;
  for (const auto &[Number, Id] : Target.Jobs)
    if (std::ranges::all_of(this->Jobs.at(Id).Callers,
                            [&](const Caller &Waiting) {
                              return this->hasDeparted(Waiting.Ticket, Now);
                            }))
      Departed.push_back(Id);
  for (const std::string &Id : Departed)
    this->cancel(Id, "the caller has gone", Now);
}

bool DelegatingIntake::isRunning(const std::string &Id) const {
  return this->Jobs.contains(Id) || this->Local.isRunning(Id);
}

bool DelegatingIntake::mayJoin(const std::string &Id) const {
  return this->Jobs.contains(Id) || this->Local.mayJoin(Id);
}

std::uint32_t DelegatingIntake::pending(const std::string &Route) const {
  // A delegated job starts within some round trips.
  return this->Local.pending(Route);
}

std::size_t DelegatingIntake::inFlight() const {
  return this->WaitingCallers + this->Local.inFlight();
}

double DelegatingIntake::share() const { return this->Rule.share(); }

std::size_t DelegatingIntake::readyDelegates() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Contacts, [](const auto &Item) {
        return Item.second.Alive && Item.second.Ready;
      }));
}

// ---- Messages ----

void DelegatingIntake::onMessage(const PeerRef &From,
                                 const peer::Message &Message, Instant Now) {
  if (Message.has_delegation_status())
    this->onStatus(From, Message.delegation_status(), Now);
  else if (Message.has_delegated_answer())
    this->onAnswer(From, Message.delegated_answer(), Now);
}

DelegatingIntake::Contact *
DelegatingIntake::hear(const PeerRef &From, std::uint64_t Stamp, Instant Now) {
  auto Found = this->Contacts.find(From.Node);
  if (Found == this->Contacts.end() ||
      From.Incarnation < Found->second.Incarnation)
    return nullptr;
  Contact &Target = Found->second;
  if (From.Incarnation > Target.Incarnation) {
    bool HadJobs = !Target.Jobs.empty();
    Target.Incarnation = From.Incarnation;
    Target.Stamp = 0;
    // The new incarnation does not know them.
    if (HadJobs)
      this->loseDelegate(Target, "it has restarted", Now);
  }
  Target.UnansweredSince = TimePoint::max();
  if (Stamp >= Target.Stamp) {
    Target.Stamp = Stamp;
    Target.StampReceived = Now.Steady;
  }
  return &Target;
}

void DelegatingIntake::onStatus(const PeerRef &From,
                                const peer::DelegationStatus &Status,
                                Instant Now) {
  Contact *Target = this->hear(From, Status.stamp(), Now);
  // A status that was overtaken tells nothing new.
  if (Target == nullptr || Status.stamp() < Target->Stamp)
    return;
  constexpr double Percent = 100;
  Target->Ready = Status.ready();
  Target->ProcessorShare = Status.busy_percent() / Percent;
  std::set<std::uint64_t> Listed(Status.numbers().begin(),
                                 Status.numbers().end());
  std::vector<std::string> Missing;
  for (const auto &[Number, Id] : Target->Jobs) {
    Job &Known = this->Jobs.at(Id);
    bool MayBeOnItsWay =
        Now.Steady - Known.SentAt <= this->Options.MaxTransitTime;
    if (Listed.contains(Number) || MayBeOnItsWay) {
      Known.MissingSince = TimePoint::max();
      continue;
    }
    Known.MissingSince = std::min(Known.MissingSince, Now.Steady);
    if (Now.Steady - Known.MissingSince >= this->Options.RenewalInterval)
      Missing.push_back(Id);
  }
  for (const std::string &Id : Missing) {
    ++this->Counters.Lost;
    this->finish(Id,
                 {LeasedEnd::Unknown,
                  "run",
                  From.Node,
                  "its delegate no longer lists it",
                  {}},
                 Now);
  }
}

void DelegatingIntake::onAnswer(const PeerRef &From,
                                const peer::DelegatedAnswer &Answer,
                                Instant Now) {
  Contact *Target = this->hear(From, Answer.stamp(), Now);
  if (Target == nullptr)
    return;
  auto Given = Target->Jobs.find(Answer.number());
  if (Given == Target->Jobs.end())
    return;
  std::string Id = Given->second;
  if (Answer.end() == peer::DELEGATED_DECLINED) {
    ++this->Counters.Declined;
    // Declined by a state that its next status reports.
    Target->Ready = false;
    if (Now.Steady - this->Jobs.at(Id).AcceptedAt <=
        this->Options.MaxDeclineAge)
      this->takeBack(this->remove(Id), Now);
    else
      this->finish(Id, decodeDelegatedAnswer(Answer), Now);
    return;
  }
  // A delegate leaves out the upstream of its own agent, which may be the only
  // one that may take the job.
  if (Answer.end() == peer::DELEGATED_NOT_RUN && Answer.step() == PlaceStep) {
    this->takeBack(this->remove(Id), Now);
    return;
  }
  if (Answer.end() == peer::DELEGATED_COMPLETED)
    ++this->Counters.Completed;
  this->finish(Id, decodeDelegatedAnswer(Answer), Now);
}

void DelegatingIntake::takeBack(const Job &Target, Instant Now) {
  auto Used = std::chrono::ceil<std::chrono::milliseconds>(Now.Steady -
                                                           Target.AcceptedAt);
  this->WaitingCallers -= Target.Callers.size();
  for (const Caller &Waiting : Target.Callers) {
    LeasedJobRequest Request = Target.Request;
    Request.Deadline = std::chrono::floor<std::chrono::milliseconds>(
        Waiting.Deadline - Now.Steady);
    Request.Objective -= Used;
    this->Local.submit(std::move(Request), Waiting.Ticket, Now);
  }
}

DelegatingIntake::Job DelegatingIntake::remove(const std::string &Id) {
  auto Found = this->Jobs.find(Id);
  Job Removed = std::move(Found->second);
  this->Jobs.erase(Found);
  this->Contacts[Removed.Delegate].Jobs.erase(Removed.Number);
  return Removed;
}

void DelegatingIntake::finish(const std::string &Id, const LeasedAnswer &Answer,
                              Instant Now) {
  Job Ended = this->remove(Id);
  // A resubmission is coordinated here, where it is known that the job may have
  // run.
  if (Answer.End != LeasedEnd::NotRun)
    this->Local.noteRun(Id, Now);
  this->Log.decision("delegated_job_ended",
                     {{"job", Id},
                      {"route", Ended.Request.Route},
                      {"end", endName(Answer.End)},
                      {"step", Answer.Step},
                      {"peer", Answer.Peer},
                      {"reason", Answer.Reason},
                      {"delegate", Ended.Delegate},
                      {"took_ms", millisBetween(Ended.AcceptedAt, Now.Steady)},
                      {"objective_ms", Ended.Request.Objective.count()}});
  this->Local.countEnd(Ended.Request, Answer, Ended.AcceptedAt, Now);
  this->WaitingCallers -= Ended.Callers.size();
  for (const Caller &Waiting : Ended.Callers)
    this->Answers.onLeasedAnswer(Waiting.Ticket, Answer);
}

void DelegatingIntake::endOverdue(Instant Now) {
  std::vector<std::string> Overdue;
  for (const auto &[Id, Known] : this->Jobs)
    if (Now.Steady >= lastDeadline(Known))
      Overdue.push_back(Id);
  for (const std::string &Id : Overdue) {
    constexpr const char *Reason = "the caller's deadline has passed";
    this->sendWithdrawal(this->Jobs.at(Id), Reason);
    this->finish(Id, {LeasedEnd::Unknown, "deadline", "", Reason, {}}, Now);
  }
}

void DelegatingIntake::onUndelivered(const Undelivered &Lost, Instant Now) {
  auto Found = this->Contacts.find(Lost.To.Node);
  if (Found == this->Contacts.end())
    return;
  this->withdrawDeparted(Found->second, Now);
  for (const peer::Message &Message : Lost.Envelope->messages()) {
    if (!Message.has_delegated_job())
      continue;
    auto Given = Found->second.Jobs.find(Message.delegated_job().number());
    if (Given == Found->second.Jobs.end())
      continue;
    Job &Known = this->Jobs.at(Given->second);
    Known.SentAt = Now.Steady;
    this->sendJob(Known, Found->second, Now);
  }
}

} // namespace yardwheel
