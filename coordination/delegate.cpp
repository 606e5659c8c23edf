#include "coordination/delegate.h"

#include "coordination/delegated_job.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

Delegate::Delegate(const DelegateOptions &Options, PeerSink &Sink)
    : Options(Options), Sink(Sink),
      Coordinator(Options.Coordinator, Sink, *this) {}

Delegate::JobKey Delegate::keyOf(const PeerRef &Entry, std::uint64_t Number) {
  return {Entry.Node, Entry.Incarnation, Number};
}

TimePoint Delegate::timeOf(std::uint64_t Stamp, Instant Now) {
  // A stamp ahead of the clock was not given out by this process.
  return Stamp > stampOf(Now) ? TimePoint::min()
                              : TimePoint(std::chrono::milliseconds(Stamp));
}

std::uint64_t Delegate::stampOf(Instant Now) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(
          Now.Steady.time_since_epoch())
          .count());
}

bool Delegate::isActive(TimePoint Now) const {
  return !this->Running.empty() ||
         (this->LastAsked != TimePoint::min() &&
          Now - this->LastAsked < this->Options.ActiveTime);
}

// ---- Input ----

void Delegate::onMember(const peer::Member &Member, Instant Now) {
  this->Current = Now;
  this->Coordinator.onMember(Member, Now);
}

void Delegate::setEvacuated(const std::set<std::string> &DataCentres) {
  this->Coordinator.setEvacuated(DataCentres);
}

void Delegate::onMessage(const PeerRef &From, const peer::Message &Message,
                         Instant Now) {
  this->Current = Now;
  if (Message.has_delegated_job())
    this->onJob(From, Message.delegated_job(), Now);
  else if (Message.has_delegation_renewal())
    this->onRenewal(From, Message.delegation_renewal(), Now);
  else if (Message.has_delegation_withdrawal())
    this->onWithdrawal(From, Message.delegation_withdrawal(), Now);
  else if (this->isActive(Now.Steady))
    this->Coordinator.onMessage(From, Message, Now);
}

void Delegate::onUndelivered(const Undelivered &Lost, Instant Now) {
  this->Current = Now;
  // An answer that is lost is sent again when its entry asks for the job.
  if (this->isActive(Now.Steady))
    this->Coordinator.onUndelivered(Lost, Now);
}

void Delegate::noteBehind(TimePoint LastBehind, Instant Now) {
  this->Current = Now;
  if (this->isActive(Now.Steady))
    this->Coordinator.noteBehind(LastBehind, Now);
}

void Delegate::onJob(const PeerRef &From, const peer::DelegatedJob &Job,
                     Instant Now) {
  // An earlier incarnation may have taken it. Its entry learns of the restart
  // by the next status.
  if (Job.delegate_incarnation() != this->Options.Incarnation)
    return;
  JobKey Key = keyOf(From, Job.number());
  TimePoint Vouched = timeOf(Job.stamp(), Now);
  if (auto Known = this->Tickets.find(Key); Known != this->Tickets.end()) {
    // Another caller of the job may wait longer.
    if (!this->isDelayed(Vouched, Now))
      this->Coordinator.extendDeadline(
          Job.id(), Known->second,
          Now.Steady + std::chrono::milliseconds(Job.deadline_ms()));
    return;
  }
  if (auto Known = this->Ended.find(Key); Known != this->Ended.end()) {
    this->sendAnswer(From, Key, Known->second.Answer);
    return;
  }
  std::string Why = this->declineReason(Vouched, Now);
  if (!Why.empty()) {
    ++this->Counters.Declined;
    this->Log.decision(
        "delegated_job_declined",
        {{"job", Job.id()}, {"entry", From.Node}, {"reason", Why}});
    peer::DelegatedAnswer Answer;
    Answer.set_end(peer::DELEGATED_DECLINED);
    Answer.set_reason(Why);
    this->sendAnswer(From, Key, std::move(Answer));
    return;
  }
  ++this->Counters.Accepted;
  LeaseTicket Ticket = ++this->LastTicket;
  this->Tickets[Key] = Ticket;
  this->Running[Ticket] = {Key, From, Job.id(), Vouched};
  this->Coordinator.submit(decodeDelegatedJob(Job), Ticket, Now);
}

bool Delegate::isDelayed(TimePoint Vouched, Instant Now) const {
  return Vouched == TimePoint::min() ||
         Now.Steady - Vouched > this->Options.MaxArrivalAge;
}

std::string Delegate::declineReason(TimePoint Vouched, Instant Now) const {
  if (this->Leaving)
    return "this process ends";
  if (this->isDelayed(Vouched, Now))
    return "it was delayed on its way";
  if (!this->isReady(Now))
    return "too few upstreams are known yet";
  return "";
}

bool Delegate::isReady(Instant Now) const {
  if (this->Leaving || !this->isActive(Now.Steady) ||
      !this->Coordinator.hasWorkers() || this->Coordinator.mayWorkersKeepIds())
    return false;
  std::size_t Alive = 0;
  std::size_t Reachable = 0;
  for (const auto &[Name, Worker] : this->Coordinator.workerTable().workers()) {
    if (!Worker.Alive)
      continue;
    ++Alive;
    bool IsRecent = Now.Steady - Worker.LastHeard <
                    2 * this->Options.Coordinator.IdleProbeInterval;
    if (Worker.isReachable() && IsRecent)
      ++Reachable;
  }
  return static_cast<double>(Reachable) >=
         this->Options.MinReachableShare * static_cast<double>(Alive);
}

void Delegate::onRenewal(const PeerRef &From,
                         const peer::DelegationRenewal &Renewal, Instant Now) {
  this->LastAsked = Now.Steady;
  TimePoint Vouched = timeOf(Renewal.stamp(), Now);
  peer::Message Message;
  peer::DelegationStatus *Status = Message.mutable_delegation_status();
  for (std::uint64_t Number : Renewal.numbers()) {
    JobKey Key = keyOf(From, Number);
    if (auto Known = this->Tickets.find(Key); Known != this->Tickets.end()) {
      RunningJob &Job = this->Running[Known->second];
      Job.Vouched = std::max(Job.Vouched, Vouched);
      Status->add_numbers(Number);
    } else if (auto Over = this->Ended.find(Key); Over != this->Ended.end()) {
      // Its answer was lost.
      this->sendAnswer(From, Key, Over->second.Answer);
    }
  }
  constexpr double Percent = 100;
  Status->set_stamp(stampOf(Now));
  Status->set_ready(this->isReady(Now));
  Status->set_busy_percent(static_cast<std::uint32_t>(
      std::lround(Percent * std::max(this->ProcessorShare, 0.0))));
  this->Sink.send(From, std::move(Message));
}

void Delegate::onWithdrawal(const PeerRef &From,
                            const peer::DelegationWithdrawal &Withdrawal,
                            Instant Now) {
  JobKey Key = keyOf(From, Withdrawal.number());
  auto Known = this->Tickets.find(Key);
  if (Known == this->Tickets.end()) {
    // The job may arrive later than its withdrawal.
    peer::DelegatedAnswer NotRun;
    NotRun.set_end(peer::DELEGATED_NOT_RUN);
    NotRun.set_number(Withdrawal.number());
    this->Ended.try_emplace(Key, EndedJob{Now.Steady, std::move(NotRun)});
    return;
  }
  // Copied: the withdrawal may answer at once, which removes the job.
  std::string Id = this->Running[Known->second].Id;
  this->Coordinator.withdraw(Id, Known->second, Withdrawal.reason(), Now);
}

void Delegate::placeScheduled(Instant Now) {
  this->Current = Now;
  this->Coordinator.placeScheduled(Now);
}

void Delegate::tick(double NewProcessorShare, TimePoint LastBehind,
                    Instant Now) {
  this->Current = Now;
  this->ProcessorShare = NewProcessorShare;
  if (this->isActive(Now.Steady)) {
    this->Coordinator.tick(Now, LastBehind);
    this->cancelAbandoned(Now);
  }
  if (Now.Steady < this->NextSweep)
    return;
  this->NextSweep = Now.Steady + this->Options.EndedRetention;
  std::erase_if(this->Ended, [&](const auto &Item) {
    return Now.Steady - Item.second.At > this->Options.EndedRetention;
  });
}

void Delegate::cancelAbandoned(Instant Now) {
  std::vector<LeaseTicket> Abandoned;
  for (const auto &[Ticket, Job] : this->Running)
    if (Now.Steady - Job.Vouched > this->Options.AbandonAfter)
      Abandoned.push_back(Ticket);
  for (LeaseTicket Ticket : Abandoned) {
    auto Known = this->Running.find(Ticket);
    if (Known == this->Running.end())
      continue;
    ++this->Counters.Abandoned;
    std::string Id = Known->second.Id;
    this->Coordinator.withdraw(Id, Ticket, "its entry does not ask for it",
                               Now);
  }
}

// ---- Answers ----

void Delegate::onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) {
  auto Known = this->Running.find(Ticket);
  if (Known == this->Running.end())
    return;
  RunningJob Job = std::move(Known->second);
  this->Running.erase(Known);
  this->Tickets.erase(Job.Key);
  this->sendAnswer(Job.Entry, Job.Key, encodeDelegatedAnswer(Answer));
}

void Delegate::sendAnswer(const PeerRef &Entry, const JobKey &Key,
                          peer::DelegatedAnswer Answer) {
  Answer.set_number(std::get<2>(Key));
  Answer.set_stamp(stampOf(this->Current));
  this->Ended[Key] = {this->Current.Steady, Answer};
  peer::Message Message;
  *Message.mutable_delegated_answer() = std::move(Answer);
  this->Sink.send(Entry, std::move(Message));
}

bool Delegate::hasCaller(LeaseTicket Ticket) const {
  auto Known = this->Running.find(Ticket);
  return Known != this->Running.end() &&
         this->Current.Steady - Known->second.Vouched <=
             this->Options.AbandonAfter;
}

TimePoint Delegate::vouchedAt(LeaseTicket Ticket, TimePoint Now) const {
  if (!this->Options.LeasesCountFromEntry)
    return Now;
  auto Known = this->Running.find(Ticket);
  return Known == this->Running.end() ? TimePoint::min()
                                      : Known->second.Vouched;
}

} // namespace yardwheel
