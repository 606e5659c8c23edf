//===- tests/agent/keeper_fixture.h - Lease keeper fixture ------*- C++ -*-===//
///
/// \file
/// Runs a lease keeper between entries and a fake worker, in virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_AGENT_KEEPER_FIXTURE_H
#define YARDWHEEL_TESTS_AGENT_KEEPER_FIXTURE_H

#include "agent/lease_keeper.h"

#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

namespace yardwheel {

/// A worker that accepts all starts and ends runs when a test says so.
class FakeWorkerPort final : public WorkerPort {
public:
  void attach(const WorkerProfile &) override {}
  void start(const StartCall &Call) override { this->Starts.push_back(Call); }
  void stop(const StopCall &Call) override { this->Stops.push_back(Call); }
  void hold(const HoldCall &Call) override {
    if (Call.LeaseUntil)
      this->LeaseUntil = std::max(this->LeaseUntil, *Call.LeaseUntil);
  }
  std::vector<StartCall> Starts;
  std::vector<StopCall> Stops;
  /// The longest lease that a hold call has carried.
  WorkerTime LeaseUntil{};
};

/// A worker's successful reply that reports nothing.
inline WorkerReply plainReply() {
  WorkerReply Reply;
  Reply.Answered = true;
  return Reply;
}

class CollectingSink final : public PeerSink {
public:
  void send(const PeerRef &, peer::Message Message) override {
    if (Message.has_leased_update())
      this->Updates.push_back(Message.leased_update());
    else if (Message.has_worker_load())
      this->Load = Message.worker_load();
    else if (Message.has_leased_offer())
      this->Offers.push_back(Message.leased_offer());
  }
  std::vector<peer::LeasedOffer> Offers;
  std::vector<peer::LeasedUpdate> Updates;
  peer::WorkerLoad Load;
};

/// The agent's incarnation, which messages must name.
constexpr std::uint64_t AgentIncarnation = 7;
inline const PeerRef EntryA{"entry-a", "10.0.0.1:1"};
inline const PeerRef EntryB{"entry-b", "10.0.0.2:1"};
inline constexpr std::chrono::milliseconds TickInterval{20};
inline const std::string WorkerId("w");

/// \param FromStamp Whether leases count from the stamp that an entry echoes,
/// as they should, or from the arrival of its message.
inline KeeperOptions optionsWith(bool FromStamp) {
  KeeperOptions Options;
  Options.Incarnation = AgentIncarnation;
  Options.LeasesCountFromStamp = FromStamp;
  return Options;
}

/// Base of all test groups for the keeper.
class KeeperFixture : public Utest {
public:
  FakeWorkerPort Port;
  CollectingSink Sink;
  std::uint64_t LastOrder = 0;
  Instant Now{TimePoint(std::chrono::hours(1)), fromUnixMillis(1800000000000)};

  void attach(LeaseKeeper &Keeper, std::uint32_t CpuMilli = 4000) {
    WorkerProfile Profile;
    Profile.Id = WorkerId;
    Profile.Pool = "pool";
    Profile.Room.set_cpu_milli(CpuMilli);
    Profile.Room.set_memory_mb(1000);
    Keeper.onProfile(Profile, this->Now);
    WorkerReply Reply;
    Reply.Answered = true;
    Keeper.session().onHoldReply({WorkerId}, Reply, this->Now);
  }
  peer::Message dispatch(const std::string &Job, std::uint64_t Stamp,
                         std::uint32_t CpuMilli = 1000,
                         std::int32_t StartByMs = 100,
                         std::uint32_t Tasks = 1) {
    peer::Message Message;
    peer::LeasedDispatch *Order = Message.mutable_leased_dispatch();
    Order->set_job(Job);
    Order->set_agent_incarnation(AgentIncarnation);
    Order->set_stamp(Stamp);
    Order->set_start_by_ms(StartByMs);
    Order->set_give_up_ms(2000);
    Order->mutable_needs()->set_cpu_milli(CpuMilli);
    for (std::uint32_t I = 0; I < Tasks; ++I) {
      peer::LeasedTask *Task = Order->add_tasks();
      Task->set_index(I);
      Task->set_attempt(1);
      Task->set_order(++this->LastOrder);
    }
    return Message;
  }
  peer::Message interest(const std::string &Job, std::uint32_t Tasks,
                         std::int32_t StartByMs) {
    peer::Message Message;
    peer::LeasedInterest *Interest = Message.mutable_leased_interest();
    Interest->set_job(Job);
    Interest->set_agent_incarnation(AgentIncarnation);
    Interest->mutable_needs()->set_cpu_milli(1000);
    Interest->set_tasks(Tasks);
    Interest->set_start_by_ms(StartByMs);
    return Message;
  }
  peer::Message decline(std::uint64_t Offer) {
    peer::Message Message;
    Message.mutable_offer_reply()->set_offer(Offer);
    return Message;
  }
  /// Renews all placements made so far.
  peer::Message renewal(std::uint64_t Stamp) {
    peer::Message Message;
    peer::LeaseRenewal *Renewal = Message.mutable_lease_renewal();
    Renewal->set_agent_incarnation(AgentIncarnation);
    Renewal->set_stamp(Stamp);
    for (std::uint64_t Order = 1; Order <= this->LastOrder; ++Order)
      Renewal->add_orders(Order);
    return Message;
  }
  std::uint64_t stamp() { return LeaseKeeper::stampAt(this->Now); }
  void pass(LeaseKeeper &Keeper, std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds Step{}; Step < Time; Step += TickInterval) {
      this->Now.Steady += TickInterval;
      Keeper.tick(this->Now);
    }
  }
  void end(LeaseKeeper &Keeper, std::size_t Start, RunOutcome Outcome) {
    WorkerReply Reply;
    Reply.Answered = true;
    Reply.Ended.push_back(
        {++this->Ends, this->Port.Starts[Start].Run, Outcome});
    Keeper.session().onHoldReply({WorkerId}, Reply, this->Now);
  }
  std::uint64_t Ends = 0;
};

} // namespace yardwheel

#endif
