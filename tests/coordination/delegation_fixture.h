//===- tests/coordination/delegation_fixture.h - Test fixture ---*- C++ -*-===//
///
/// \file
/// An entry that delegates jobs, methods that act for its delegate, and a
/// recorder of its messages.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_COORDINATION_DELEGATION_FIXTURE_H
#define YARDWHEEL_TESTS_COORDINATION_DELEGATION_FIXTURE_H

#include "coordination/delegating_intake.h"
#include "tests/coordination/coordinator_fixture.h"

#include <optional>

namespace yardwheel {

inline constexpr std::uint64_t FirstIncarnation = 7;
/// How far the delegate's clock is ahead of the entry's.
inline constexpr std::uint64_t ClockAhead = 7000000;

class DelegationSink final : public PeerSink {
public:
  void send(const PeerRef &To, peer::Message Message) override {
    if (Message.has_delegated_job())
      this->Jobs.push_back({To.Node, Message.delegated_job()});
    else if (Message.has_delegation_renewal())
      this->Renewals.push_back({To.Node, Message.delegation_renewal()});
    else if (Message.has_delegation_withdrawal())
      this->Withdrawn.push_back(Message.delegation_withdrawal().number());
  }
  void reconnect(const PeerRef &) override { ++this->Reconnects; }
  std::vector<std::pair<std::string, peer::DelegatedJob>> Jobs;
  std::vector<std::pair<std::string, peer::DelegationRenewal>> Renewals;
  std::vector<std::uint64_t> Withdrawn;
  int Reconnects = 0;
};

/// All jobs are delegated as soon as an agent is ready.
inline DelegationOptions delegateAll(std::uint32_t MaxDelegates = 1) {
  DelegationOptions Options;
  Options.Rule.MaxDelegates = MaxDelegates;
  Options.Rule.PrepareAt = 0;
  Options.Rule.HighLoad = 0;
  Options.Rule.RaiseStep = 1;
  Options.DataCentre = "dc";
  Options.Name = "entry";
  return Options;
}

/// Base class of the test groups of the filter that delegates jobs.
class DelegationFixture : public CoordinatorFixture {
protected:
  DelegationSink Given;
  std::optional<DelegatingIntake> Intake{std::in_place, delegateAll(),
                                         Coordinator, Given, Answers};
  std::uint64_t DelegateIncarnation = FirstIncarnation;
  /// Whether the delegate answers renewals.
  bool Replies = true;
  bool IsReady = true;
  std::size_t RepliedTo = 0;

  PeerRef delegateRef() const {
    return {"d", "10.0.0.2:1", DelegateIncarnation};
  }
  void announceDelegate(const std::string &Name, bool Coordinates = true,
                        const std::string &DataCentre = "dc",
                        peer::MemberState State = peer::MEMBER_ALIVE) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(State);
    Member.set_address("10.0.0.2:1");
    Member.set_data_centre(DataCentre);
    Member.set_coordinates(Coordinates);
    Intake->onMember(Member, Now);
  }
  std::uint64_t stampNow() const {
    return ClockAhead +
           static_cast<std::uint64_t>(millisBetween(TimePoint(), Now.Steady));
  }
  void reply(const std::vector<std::uint64_t> &Numbers) {
    peer::Message Message;
    peer::DelegationStatus *Status = Message.mutable_delegation_status();
    Status->set_stamp(stampNow());
    Status->set_ready(IsReady);
    for (std::uint64_t Number : Numbers)
      Status->add_numbers(Number);
    Intake->onMessage(delegateRef(), Message, Now);
  }
  void replyToRenewals() {
    for (; RepliedTo < Given.Renewals.size(); ++RepliedTo)
      if (Replies) {
        const auto &Numbers = Given.Renewals[RepliedTo].second.numbers();
        this->reply({Numbers.begin(), Numbers.end()});
      }
  }
  void runFor(std::chrono::milliseconds Time) {
    for (auto Step = std::chrono::milliseconds(0); Step < Time;
         Step += std::chrono::milliseconds(20)) {
      Now.Steady += std::chrono::milliseconds(20);
      Intake->tick({}, TimePoint::min(), Now);
      this->replyToRenewals();
    }
  }
  void end(std::uint64_t Number, peer::DelegatedEnd End,
           const std::string &Step = "") {
    peer::Message Message;
    peer::DelegatedAnswer *Answer = Message.mutable_delegated_answer();
    Answer->set_number(Number);
    Answer->set_stamp(stampNow());
    Answer->set_end(End);
    Answer->set_step(Step);
    Intake->onMessage(delegateRef(), Message, Now);
  }
  /// The entry has a delegate, and an upstream that it reaches itself.
  void prepare() {
    addAgent("a");
    announceDelegate("d");
    runFor(std::chrono::milliseconds(600));
    reportLoad("a");
  }
  /// Starts over, with \p Options.
  void restart(const DelegationOptions &Options) {
    Intake.emplace(Options, Coordinator, Given, Answers);
    Given = DelegationSink();
    Answers.Answers.clear();
    Sink.Dispatches.clear();
    RepliedTo = 0;
    Replies = true;
    IsReady = true;
    DelegateIncarnation = FirstIncarnation;
  }
  LeasedEnd endOf(std::size_t Which) const {
    return Answers.Answers.at(Which).second.End;
  }
  std::size_t delegatedJobs() const { return Given.Jobs.size(); }
  void failDelegation(const peer::DelegatedJob &Job,
                      std::chrono::milliseconds Age) {
    auto Sent = std::make_shared<peer::Envelope>();
    *Sent->add_messages()->mutable_delegated_job() = Job;
    Intake->onUndelivered({{"d", "10.0.0.2:1"}, Now.Steady - Age, Sent}, Now);
  }
};

} // namespace yardwheel

#endif
