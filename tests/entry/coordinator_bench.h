//===- tests/entry/coordinator_bench.h - A coordinator alone ----*- C++ -*-===//
///
/// \file
/// A coordinator, the agents that tests play for it, and what it sends and
/// answers.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_ENTRY_COORDINATOR_BENCH_H
#define YARDWHEEL_TESTS_ENTRY_COORDINATOR_BENCH_H

#include "entry/lease_coordinator.h"

#include <algorithm>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

namespace yardwheel {

class CoordinatorSink final : public PeerSink {
public:
  void send(const PeerRef &To, peer::Message Message) override {
    if (Message.has_leased_dispatch())
      this->Dispatches.push_back({To.Node, Message.leased_dispatch()});
    else if (Message.has_leased_stop() &&
             Message.leased_stop().longer_than_ms() > 0)
      this->Stalls.push_back({To.Node, Message.leased_stop()});
    else if (Message.has_leased_stop()) {
      this->Stops.push_back(To.Node);
      this->Stopped = ordersOf(Message.leased_stop().orders());
    } else if (Message.has_lease_renewal()) {
      ++this->Renewals[To.Node];
      this->Named[To.Node] = ordersOf(Message.lease_renewal().orders());
    } else if (Message.has_leased_interest())
      this->Interests.push_back({To.Node, Message.leased_interest()});
    else if (Message.has_offer_reply())
      ++this->Declined[To.Node];
  }
  void reconnect(const PeerRef &To) override { ++this->Reconnects[To.Node]; }
  static std::set<std::uint64_t>
  ordersOf(const google::protobuf::RepeatedField<std::uint64_t> &Orders) {
    return {Orders.begin(), Orders.end()};
  }
  std::vector<std::pair<std::string, peer::LeasedDispatch>> Dispatches;
  std::vector<std::string> Stops;
  /// The placements that the last stop named.
  std::set<std::uint64_t> Stopped;
  /// The placements that the last renewal for each agent named.
  std::map<std::string, std::set<std::uint64_t>> Named;
  std::vector<std::pair<std::string, peer::LeasedStop>> Stalls;
  std::vector<std::pair<std::string, peer::LeasedInterest>> Interests;
  std::map<std::string, int> Declined;
  std::map<std::string, int> Renewals;
  std::map<std::string, int> Reconnects;
};

class CoordinatorAnswers final : public LeasedAnswerSink {
public:
  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override {
    this->Answers.push_back({Ticket, Answer});
  }
  bool hasCaller(LeaseTicket) const override { return this->CallersThere; }
  std::size_t countOf(LeaseTicket Ticket) const {
    return static_cast<std::size_t>(
        std::ranges::count(this->Answers, Ticket, [](const auto &Answered) {
          return Answered.first;
        }));
  }
  bool CallersThere = true;
  std::vector<std::pair<LeaseTicket, LeasedAnswer>> Answers;
};

inline constexpr std::uint64_t AgentLife = 9;

/// Spread placement: a job's tasks go to several agents, so that the tests see
/// how these are told apart.
inline CoordinatorOptions spreadOptions() {
  CoordinatorOptions Options;
  Options.Workers.Placement = "spread";
  return Options;
}

/// The base of the groups of its tests.
class CoordinatorBench : public Utest {
protected:
  CoordinatorSink Sink;
  CoordinatorAnswers Answers;
  LeaseCoordinator Coordinator{spreadOptions(), Sink, Answers};
  Instant Now{TimePoint(std::chrono::hours(1)), fromUnixMillis(1800000000000)};

  /// Tells of an agent, which then answers the entry's first question.
  void addAgent(const std::string &Name, std::uint32_t CpuMilli = 4000) {
    this->tellOf(Name, CpuMilli);
    this->hear(Name);
  }
  void hear(const std::string &Name, std::uint64_t Incarnation = AgentLife) {
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(Incarnation);
    Load.mutable_worker_load()->set_stamp(++this->Stamp);
    Coordinator.onMessage({Name, "10.0.0.1:1"}, Load, Now);
  }
  void tellOf(const std::string &Name, std::uint32_t CpuMilli = 4000) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(peer::MEMBER_ALIVE);
    Member.set_incarnation(AgentLife);
    Member.set_address("10.0.0.1:1");
    Member.set_pool("pool");
    Member.mutable_room()->set_cpu_milli(CpuMilli);
    Member.mutable_room()->set_memory_mb(1000);
    Coordinator.onMember(Member, Now);
  }
  void setState(const std::string &Name, peer::MemberState State) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(State);
    Member.set_incarnation(AgentLife);
    Coordinator.onMember(Member, Now);
  }
  /// Control has lost an agent that this entry has not heard for long either.
  void loseToControl(const std::string &Name) {
    Now.Steady += std::chrono::seconds(3);
    this->setState(Name, peer::MEMBER_LOST);
  }
  LeasedJobRequest request(std::uint32_t Tasks, const char *Id = "j") {
    LeasedJobRequest Request;
    Request.Id = Id;
    Request.Route = "r";
    Request.Pool = "pool";
    Request.TaskCount = Tasks;
    Request.Needs.set_cpu_milli(1000);
    Request.Estimate = std::chrono::milliseconds(100);
    Request.MaxAttempts = 2;
    Request.Objective = std::chrono::milliseconds(220);
    Request.Deadline = std::chrono::milliseconds(1500);
    return Request;
  }
  /// With time to spare: it may wait in any queue.
  LeasedJobRequest patientRequest(std::uint32_t Tasks, const char *Id = "j") {
    LeasedJobRequest Request = this->request(Tasks, Id);
    Request.Objective = std::chrono::milliseconds(1000);
    return Request;
  }
  void offer(const std::string &Agent, const std::string &Job,
             std::uint32_t Tasks) {
    peer::Message Message;
    peer::LeasedOffer *Offer = Message.mutable_leased_offer();
    Offer->set_job(Job);
    Offer->set_offer(++this->LastOffer);
    Offer->set_tasks(Tasks);
    Offer->mutable_load()->set_incarnation(AgentLife);
    Offer->mutable_load()->set_stamp(++this->Stamp);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  std::uint64_t LastOffer = 0;
  /// Reports that a message of this kind did not reach the agent.
  void loseMessage(const std::string &Agent, const peer::Message &Message) {
    auto Sent = std::make_shared<peer::Envelope>();
    *Sent->add_messages() = Message;
    Coordinator.onUndelivered({{Agent, "10.0.0.1:1"}, Now.Steady, Sent}, Now);
  }
  /// An agent lists the placements that it holds for this entry.
  void list(const std::string &Agent,
            const std::vector<std::uint64_t> &Orders) {
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(AgentLife);
    Load->set_stamp(++this->Stamp);
    Load->set_lists_held(true);
    for (std::uint64_t Order : Orders)
      Load->add_held_orders(Order);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  void loseDispatch(std::size_t Which) {
    peer::Message Message;
    *Message.mutable_leased_dispatch() = Sink.Dispatches.at(Which).second;
    this->loseMessage(Sink.Dispatches.at(Which).first, Message);
  }
  /// Answers the dispatch with this number, for all of its tasks.
  void answer(std::size_t Which, peer::LeasedEvent Event,
              peer::LeasedRefusal Refusal = peer::REFUSAL_NONE) {
    auto [Agent, Dispatch] = Sink.Dispatches.at(Which);
    for (const peer::LeasedTask &Task : Dispatch.tasks()) {
      peer::Message Message;
      peer::LeasedUpdate *Update = Message.mutable_leased_update();
      Update->set_job(Dispatch.job());
      Update->set_index(Task.index());
      Update->set_attempt(Task.attempt());
      Update->set_order(Task.order());
      Update->set_event(Event);
      Update->set_refusal(Refusal);
      Update->set_service_us(100000);
      Update->mutable_load()->set_incarnation(AgentLife);
      Update->mutable_load()->set_stamp(++this->Stamp);
      // As an agent counts: at least the one that it tells of.
      bool Failure =
          Event == peer::LEASED_FAILED || Refusal == peer::REFUSAL_WORKER;
      Update->mutable_load()->set_failures_in_row(Failure ? 1 : 0);
      Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
    }
    Coordinator.placeDue(Now);
  }
  void pass(std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds Step = std::chrono::milliseconds(0);
         Step < Time; Step += std::chrono::milliseconds(20)) {
      Now.Steady += std::chrono::milliseconds(20);
      Coordinator.tick(Now);
    }
  }
  const LeasedAnswer &onlyAnswer() {
    LONGS_EQUAL(1, Answers.Answers.size());
    return Answers.Answers.at(0).second;
  }
  std::uint64_t Stamp = 0;
};

} // namespace yardwheel

#endif
