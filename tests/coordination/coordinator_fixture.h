//===- tests/coordination/coordinator_fixture.h - Test fixture --*- C++ -*-===//
///
/// \file
/// A coordinator, methods that act for its agents, and recorders of its
/// messages and answers.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_COORDINATION_COORDINATOR_FIXTURE_H
#define YARDWHEEL_TESTS_COORDINATION_COORDINATOR_FIXTURE_H

#include "coordination/lease_coordinator.h"

#include <algorithm>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

namespace yardwheel {

class CoordinatorSink final : public PeerSink {
public:
  void send(const PeerRef &To, peer::Message Message) override {
    if (Message.has_leased_dispatch())
      this->Dispatches.push_back({To.Node, Message.leased_dispatch()});
    else if (Message.has_leased_stop() &&
             Message.leased_stop().longer_than_ms() > 0)
      this->StallStops.push_back({To.Node, Message.leased_stop()});
    else if (Message.has_leased_stop()) {
      this->Stops.push_back(To.Node);
      this->StoppedOrders = ordersOf(Message.leased_stop().orders());
    } else if (Message.has_lease_renewal()) {
      ++this->Renewals[To.Node];
      if (Message.lease_renewal().asks_kind())
        ++this->KindQuestions[To.Node];
      this->RenewedOrders[To.Node] = ordersOf(Message.lease_renewal().orders());
    } else if (Message.has_leased_interest())
      this->Interests.push_back({To.Node, Message.leased_interest()});
    else if (Message.has_offer_reply())
      ++this->DeclinedOffers[To.Node];
    else if (Message.has_open_start_relay())
      this->Relays.push_back({To.Node, Message.open_start_relay()});
    else if (Message.has_open_start_relay_reply())
      this->RelayReplies[To.Node] = Message.open_start_relay_reply();
  }
  void reconnect(const PeerRef &To) override { ++this->Reconnects[To.Node]; }
  static std::set<std::uint64_t>
  ordersOf(const google::protobuf::RepeatedField<std::uint64_t> &Orders) {
    return {Orders.begin(), Orders.end()};
  }
  std::vector<std::pair<std::string, peer::LeasedDispatch>> Dispatches;
  std::vector<std::string> Stops;
  /// Orders that the last stop named.
  std::set<std::uint64_t> StoppedOrders;
  /// Orders that the last renewal to each agent named.
  std::map<std::string, std::set<std::uint64_t>> RenewedOrders;
  std::vector<std::pair<std::string, peer::LeasedStop>> StallStops;
  std::vector<std::pair<std::string, peer::LeasedInterest>> Interests;
  std::map<std::string, int> DeclinedOffers;
  std::map<std::string, int> Renewals;
  /// Renewals that asked for the kind of the worker.
  std::map<std::string, int> KindQuestions;
  std::map<std::string, int> Reconnects;
  std::vector<std::pair<std::string, peer::OpenStartRelay>> Relays;
  std::map<std::string, peer::OpenStartRelayReply> RelayReplies;
};

class CoordinatorAnswers final : public LeasedAnswerSink {
public:
  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override {
    this->Answers.push_back({Ticket, Answer});
  }
  bool hasCaller(LeaseTicket) const override { return this->CallersConnected; }
  std::size_t countOf(LeaseTicket Ticket) const {
    return static_cast<std::size_t>(
        std::ranges::count(this->Answers, Ticket, [](const auto &Answered) {
          return Answered.first;
        }));
  }
  bool CallersConnected = true;
  std::vector<std::pair<LeaseTicket, LeasedAnswer>> Answers;
};

inline constexpr std::uint64_t AgentIncarnation = 9;

/// Spread placement: the tasks of a job go to several agents, so that tests can
/// tell these apart.
inline CoordinatorOptions spreadOptions() {
  CoordinatorOptions Options;
  Options.Workers.Placement = "spread";
  return Options;
}

/// Base class of the coordinator's test groups.
class CoordinatorFixture : public Utest {
public:
  CoordinatorFixture() = default;

protected:
  explicit CoordinatorFixture(const CoordinatorOptions &Options)
      : Coordinator(Options, this->Sink, this->Answers) {}

  CoordinatorSink Sink;
  CoordinatorAnswers Answers;
  LeaseCoordinator Coordinator{spreadOptions(), Sink, Answers};
  Instant Now{TimePoint(std::chrono::hours(1)), fromUnixMillis(1800000000000)};

  /// Announces an agent and lets it reply to the first probe.
  void addAgent(const std::string &Name, std::uint32_t CpuMilli = 4000,
                const std::string &DataCentre = "") {
    this->announceAgent(Name, CpuMilli, DataCentre);
    this->reportLoad(Name);
  }
  void reportLoad(const std::string &Name,
                  std::uint64_t Incarnation = AgentIncarnation) {
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(Incarnation);
    Load.mutable_worker_load()->set_stamp(++this->Stamp);
    Coordinator.onMessage({Name, "10.0.0.1:1"}, Load, Now);
  }
  /// Describes the worker as the first report of an incarnation does.
  static void describeWorker(peer::WorkerLoad &Load,
                             std::uint32_t CpuMilli = 4000) {
    Load.mutable_room()->set_cpu_milli(CpuMilli);
    Load.mutable_room()->set_memory_mb(1000);
    Load.mutable_kind()->set_pool("pool");
  }
  void reportRestart(const std::string &Name, std::uint64_t Incarnation) {
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(Incarnation);
    Load.mutable_worker_load()->set_stamp(++this->Stamp);
    describeWorker(*Load.mutable_worker_load());
    Coordinator.onMessage({Name, "10.0.0.1:1"}, Load, Now);
  }
  void announceAgent(const std::string &Name, std::uint32_t CpuMilli = 4000,
                     const std::string &DataCentre = "") {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(peer::MEMBER_ALIVE);
    Member.set_incarnation(AgentIncarnation);
    Member.set_address("10.0.0.1:1");
    Member.set_pool("pool");
    Member.set_data_centre(DataCentre);
    Member.mutable_room()->set_cpu_milli(CpuMilli);
    Member.mutable_room()->set_memory_mb(1000);
    Coordinator.onMember(Member, Now);
  }
  void setState(const std::string &Name, peer::MemberState State) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(State);
    Member.set_incarnation(AgentIncarnation);
    Coordinator.onMember(Member, Now);
  }
  /// Control reports an agent lost from which this entry has received nothing
  /// for 3 s either.
  void markLostByControl(const std::string &Name) {
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
  /// Has an objective with time to spare, so it may wait in any queue.
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
    Offer->mutable_load()->set_incarnation(AgentIncarnation);
    Offer->mutable_load()->set_stamp(++this->Stamp);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  std::uint64_t LastOffer = 0;
  /// Reports a message to the agent as undelivered.
  void failDelivery(const std::string &Agent, const peer::Message &Message) {
    auto Sent = std::make_shared<peer::Envelope>();
    *Sent->add_messages() = Message;
    Coordinator.onUndelivered({{Agent, "10.0.0.1:1"}, Now.Steady, Sent}, Now);
  }
  /// Sends the list of orders that an agent holds for this entry.
  void listHeldOrders(const std::string &Agent,
                      const std::vector<std::uint64_t> &Orders) {
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(AgentIncarnation);
    Load->set_stamp(++this->Stamp);
    Load->set_lists_held(true);
    for (std::uint64_t Order : Orders)
      Load->add_held_orders(Order);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  void failDispatchDelivery(std::size_t Which) {
    peer::Message Message;
    *Message.mutable_leased_dispatch() = Sink.Dispatches.at(Which).second;
    this->failDelivery(Sink.Dispatches.at(Which).first, Message);
  }
  /// Sends an update for each task of the dispatch at index \p Which.
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
      Update->mutable_load()->set_incarnation(AgentIncarnation);
      Update->mutable_load()->set_stamp(++this->Stamp);
      // Like an agent, counts at least the failure that the update reports.
      bool Failure =
          Event == peer::LEASED_FAILED || Refusal == peer::REFUSAL_WORKER;
      Update->mutable_load()->set_failures_in_row(Failure ? 1 : 0);
      Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
    }
    Coordinator.placeScheduled(Now);
  }
  void advance(std::chrono::milliseconds Time) {
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
