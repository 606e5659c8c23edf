//===- DelegatingIntake: chooses delegates and watches them ---------------===//

#include "coordination/clock_stamp.h"
#include "coordination/delegating_intake.h"
#include "core/hash.h"

#include <algorithm>

namespace yardwheel {

// ---- Delegates ----

void DelegatingIntake::onMember(const peer::Member &Member, Instant Now) {
  bool IsCandidate = Member.role() == peer::ROLE_AGENT &&
                     Member.coordinates() &&
                     Member.data_centre() == this->Options.DataCentre;
  if (!IsCandidate && !this->Contacts.contains(Member.name()))
    return;
  Contact &Target = this->Contacts[Member.name()];
  Target.Agent = {Member.name(), Member.address()};
  Target.Alive = IsCandidate && Member.state() == peer::MEMBER_ALIVE;
  // A lost agent may be cut off from control alone; its silence here tells.
}

std::vector<DelegatingIntake::Contact *>
DelegatingIntake::wantedContacts(Instant Now) {
  std::vector<std::pair<std::uint64_t, Contact *>> Ranked;
  for (auto &[Name, Target] : this->Contacts)
    if (Target.Alive && Now.Steady >= Target.PausedUntil)
      Ranked.emplace_back(stableHash(this->Options.Name + "/" + Name), &Target);
  std::ranges::sort(Ranked, {}, &std::pair<std::uint64_t, Contact *>::first);
  std::vector<Contact *> Wanted;
  for (const auto &[Rank, Target] : Ranked)
    if (Wanted.size() < this->Rule.wantedDelegates())
      Wanted.push_back(Target);
  return Wanted;
}

void DelegatingIntake::tick(const EntryLoad &OwnLoad, TimePoint NewLastBehind,
                            Instant Now) {
  this->LastBehind = NewLastBehind;
  EntryLoad Known = OwnLoad;
  double LeastBusy = 1;
  for (const std::string &Name : this->LastWanted) {
    const Contact &Target = this->Contacts[Name];
    if (!this->isReady(Target, Now))
      continue;
    ++Known.ReadyDelegates;
    LeastBusy = std::min(LeastBusy, Target.ProcessorShare);
  }
  Known.DelegateShare = Known.ReadyDelegates > 0 ? LeastBusy : 0;
  double ShareBefore = this->Rule.share();
  this->Rule.update(Known, Now.Steady);
  if ((ShareBefore > 0) != (this->Rule.share() > 0))
    this->Log.decision(
        "delegation",
        {{"active", this->Rule.share() > 0},
         {"wanted_delegates", this->Rule.wantedDelegates()},
         {"ready_delegates", Known.ReadyDelegates},
         {"processor_percent", static_cast<int>(OwnLoad.ProcessorShare * 100)},
         {"wait_us", OwnLoad.ExpectedWait.count()}});
  this->LastWanted.clear();
  for (const Contact *Target : this->wantedContacts(Now))
    this->LastWanted.insert(Target->Agent.Node);
  this->endOverdue(Now);
  this->renewDue(Now);
}

void DelegatingIntake::renewDue(Instant Now) {
  std::vector<Contact *> Lost;
  for (auto &[Name, Target] : this->Contacts) {
    bool HasJobs = !Target.Jobs.empty();
    if (!HasJobs && !this->LastWanted.contains(Name)) {
      Target.UnansweredSince = TimePoint::max();
      Target.Ready = false;
      continue;
    }
    // The reply may have arrived without having been read.
    if (Target.UnansweredSince <= this->LastBehind)
      Target.UnansweredSince = TimePoint::max();
    Duration Silence = Target.UnansweredSince == TimePoint::max()
                           ? Duration{0}
                           : Now.Steady - Target.UnansweredSince;
    if (HasJobs && Silence > this->Options.LossTimeout)
      Lost.push_back(&Target);
    else if (HasJobs && Silence > this->Options.ReconnectTimeout)
      this->Sink.reconnect(Target.Agent);
    if (Now.Steady < Target.NextRenewal)
      continue;
    this->withdrawDeparted(Target, Now);
    this->sendRenewal(Target, Now);
  }
  for (Contact *Target : Lost)
    this->loseDelegate(*Target, "it left renewals unanswered", Now);
}

void DelegatingIntake::sendRenewal(Contact &Target, Instant Now) {
  Target.NextRenewal =
      Now.Steady + (Target.Jobs.empty() ? this->Options.IdleInterval
                                        : this->Options.RenewalInterval);
  Target.UnansweredSince = std::min(Target.UnansweredSince, Now.Steady);
  peer::Message Message;
  peer::DelegationRenewal *Renewal = Message.mutable_delegation_renewal();
  Renewal->set_stamp(
      extrapolateStamp(Target.Stamp, Target.StampReceived, Now.Steady));
  for (const auto &[Number, Id] : Target.Jobs)
    Renewal->add_numbers(Number);
  this->Sink.send(Target.Agent, std::move(Message));
}

void DelegatingIntake::sendWithdrawal(const Job &Target,
                                      const std::string &Reason) {
  peer::Message Message;
  peer::DelegationWithdrawal *Withdrawal =
      Message.mutable_delegation_withdrawal();
  Withdrawal->set_number(Target.Number);
  Withdrawal->set_reason(Reason);
  this->Sink.send(this->Contacts[Target.Delegate].Agent, std::move(Message));
}

void DelegatingIntake::loseDelegate(Contact &Target, const std::string &Reason,
                                    Instant Now) {
  this->Log.decision("delegate_lost", {{"agent", Target.Agent.Node},
                                       {"reason", Reason},
                                       {"jobs", Target.Jobs.size()}});
  Target.PausedUntil = Now.Steady + this->Options.LossPause;
  Target.Ready = false;
  Target.UnansweredSince = TimePoint::max();
  std::map<std::uint64_t, std::string> Given = Target.Jobs;
  for (const auto &[Number, Id] : Given) {
    ++this->Counters.Lost;
    this->sendWithdrawal(this->Jobs.at(Id), Reason);
    this->finish(Id, {LeasedEnd::Unknown, "run", Target.Agent.Node, Reason, {}},
                 Now);
  }
}

} // namespace yardwheel
