//===- bench/slopes_main.cpp - Growth of memory and processor time --------===//
///
/// \file
/// Prints the memory and processor time of each component at three sizes, as
/// measured on this machine. docs/CAPACITY.md extrapolates these slopes to the
/// planned size.
///
//===----------------------------------------------------------------------===//

#include "agent/agent_core.h"
#include "control/control_service.h"
#include "emulator/memory_log_storage.h"
#include "entry/job_service.h"
#include "ledger/ledger_holder.h"

#include <chrono>
#include <fmt/format.h>
#include <malloc.h>

namespace {

using namespace yardwheel;
using namespace std::chrono_literals;

const Instant Now{TimePoint(100h), fromUnixMillis(1800000000000)};

std::size_t usedBytes() { return mallinfo2().uordblks; }

/// Measures the mean time and memory of a step over many steps.
class Meter {
public:
  Meter() : Bytes(usedBytes()), Start(std::chrono::steady_clock::now()) {}
  void print(const std::string &What, std::size_t Count) const {
    std::chrono::duration<double, std::micro> Time =
        std::chrono::steady_clock::now() - this->Start;
    double Growth =
        static_cast<double>(usedBytes()) - static_cast<double>(this->Bytes);
    auto Steps = static_cast<double>(Count);
    fmt::print("{:<42} {:>7}: {:>7.2f} us, {:>6.0f} bytes each, {:>8.2f} MB\n",
               What, Count, Time.count() / Steps, Growth / Steps, Growth / 1e6);
  }

private:
  std::size_t Bytes;
  std::chrono::steady_clock::time_point Start;
};

/// Counts the messages sent, and drops them.
class CountingSink final : public PeerSink {
public:
  void send(const PeerRef &, peer::Message Message) override {
    ++this->Messages;
    this->Bytes += Message.ByteSizeLong();
  }
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

class NullOutcomeSink final : public OutcomeSink, public JobObserver {
public:
  void onOutcome(Ticket, const peer::JobOutcome *) override {}
  void onJobEnded(const Job &, std::uint32_t, TimePoint) override {}
};

class NullRunner final : public TaskRunner {
public:
  void start(const TaskKey &, const std::string &,
             const std::string &) override {}
  void stop(const TaskKey &) override {}
};

std::string uuidLike(std::size_t Number) {
  return fmt::format("bids/0198c000-0000-7000-8000-{:012x}", Number);
}

CatalogView viewWithGroup() {
  CatalogView View;
  View.Revision = 1;
  View.Workspaces["bids"].set_name("bids");
  peer::HolderGroup &Group = View.Groups[0];
  Group.set_epoch(1);
  Group.set_group_count(1);
  for (const char *Name : {"a0", "a1", "a2"})
    Group.add_holders(Name);
  return View;
}

void ledgerRecords(std::size_t Count) {
  LedgerHolder Holder("a0", {600s, 1s});
  Instant Before = Now;
  Before.Wall -= 10s;
  Holder.setGroups(viewWithGroup(), Before.Wall);
  Meter Cost;
  for (std::size_t I = 0; I < Count; ++I) {
    peer::ClaimRequest Request;
    Request.set_job_key(uuidLike(I));
    Request.set_stamp_ms(toUnixMillis(Now.Wall));
    Request.mutable_owner()->set_entry("entry-1");
    Request.mutable_owner()->set_address("10.20.30.40:7000");
    Request.mutable_owner()->set_incarnation(I);
    Request.set_epoch(1);
    Holder.onClaim(Request, Now.Wall);
  }
  Cost.print("ledger holder: claims recorded", Count);
}

void agentTasks(std::size_t Count) {
  CountingSink Sink;
  NullRunner Runner;
  AgentOptions Options;
  Options.Name = "a0";
  Options.Incarnation = 1;
  Options.Slots = 8;
  AgentCore Agent(Options, Sink, Runner);
  TaskEnd End;
  End.Kind = TaskEndKind::Succeeded;
  End.Result = std::string(100, 'x');
  Meter Cost;
  for (std::size_t I = 0; I < Count; ++I) {
    peer::Message Message;
    peer::Dispatch *Dispatch = Message.mutable_dispatch();
    Dispatch->set_job_key(uuidLike(I));
    Dispatch->set_agent_incarnation(1);
    Dispatch->set_freshness(Agent.load(Now).freshness());
    Dispatch->add_tasks()->set_attempt(1);
    Agent.onMessage({"e1", "e1"}, Message, Now);
    Agent.onTaskEnded({uuidLike(I), 0}, End, Now);
  }
  Cost.print("agent: tasks taken, ended and remembered", Count);
}

peer::Member agentMember(std::size_t Number) {
  peer::Member Member;
  Member.set_name(fmt::format("a{}", Number));
  Member.set_role(peer::ROLE_AGENT);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_incarnation(1);
  Member.set_address("10.20.30.40:7000");
  Member.set_data_centre("zagreb-1");
  Member.set_rack("rack-12");
  Member.set_pool("bids");
  Member.set_slots(8);
  return Member;
}

ServiceOptions serviceOptions() {
  ServiceOptions Options;
  Options.Self.set_entry("e1");
  Options.Self.set_incarnation(1);
  Options.ClockAllowance = 1s;
  Options.LedgerRetention = 600s;
  Options.Claims.Timeout = 1s;
  Options.MaxUnconfirmed = 8s;
  Options.MaxJobs = 1000000;
  Options.ClaimsFirst = false;
  return Options;
}

JobRequest request(std::size_t Number, std::size_t Tasks) {
  JobRequest Request;
  Request.Id = fmt::format("0198c000-0000-7000-8000-{:012x}", Number);
  Request.Workspace = "bids";
  Request.FirstSubmitted = Now.Wall;
  Request.TimeLeft = 60s;
  Request.Tasks.resize(Tasks);
  for (TaskSpec &Task : Request.Tasks)
    Task.Payload = std::string(100, 'p');
  return Request;
}

/// Measures an entry whose tasks all succeed, each at one of many upstreams.
void entryTasks(std::size_t Upstreams, std::size_t Jobs,
                std::size_t TasksEach) {
  CountingSink Sink;
  NullOutcomeSink Ignored;
  JobService Service(serviceOptions(), Sink, Ignored, Ignored);
  auto View = std::make_shared<CatalogView>(viewWithGroup());
  peer::Parameters &Limits = *View->Workspaces["bids"].mutable_parameters();
  Limits.set_capacity(1000000);
  Limits.set_queue_limit(1000000);
  Limits.set_policy("slot_borrow");
  Limits.set_answer_retention_ms(120000);
  Service.setCatalog(View);
  Service.confirm(Now.Steady);
  for (std::size_t I = 0; I < Upstreams; ++I)
    Service.onMember(agentMember(I), Now.Steady);
  Meter Cost;
  for (std::size_t I = 0; I < Jobs; ++I) {
    Service.submit(request(I, TasksEach), I, Now);
    for (std::size_t T = 0; T < TasksEach; ++T) {
      peer::Message Message;
      peer::TaskUpdate *Update = Message.mutable_task_update();
      Update->set_job_key(uuidLike(I));
      Update->set_index(static_cast<std::uint32_t>(T));
      Update->set_attempt(1);
      Update->set_event(peer::TASK_SUCCEEDED);
      Update->set_result(std::string(100, 'r'));
      Update->mutable_load()->set_incarnation(1);
      // The entry drops updates from an agent that it did not send the task to.
      for (std::size_t A = 0; A < Upstreams && Upstreams <= 1; ++A)
        Service.onMessage({fmt::format("a{}", A), ""}, Message, Now);
    }
  }
  Cost.print(fmt::format("entry: tasks of jobs of {}, {} upstreams", TasksEach,
                         Upstreams),
             Jobs * TasksEach);
}

void controlHeartbeats(std::size_t Members) {
  CountingSink Sink;
  peer::ReplicaSet Alone;
  Alone.add_replicas()->set_name("c1");
  MemoryLogStorage Disk(Alone);
  ControlOptions Options;
  Options.Raft.Name = "c1";
  ControlService Service(Options, Disk, Sink, Now);
  Instant Time = Now;
  auto Step = [&](std::chrono::milliseconds Passed) {
    Time.Steady += Passed;
    Service.tick(Time);
  };
  for (int I = 0; I < 20; ++I)
    Step(100ms);
  auto Beat = [&](std::uint64_t Sequence) {
    for (std::size_t I = 0; I < Members; ++I) {
      peer::Message Message;
      peer::Heartbeat *Body = Message.mutable_heartbeat();
      *Body->mutable_member() = agentMember(I);
      Body->set_revision(Service.catalog().revision());
      Body->set_sequence(Sequence);
      Service.onMessage({fmt::format("a{}", I), "x"}, Message, Time);
    }
    Step(1000ms);
  };
  Meter State;
  for (std::uint64_t Sequence = 1; Sequence <= 5; ++Sequence)
    Beat(Sequence);
  State.print("control: members (5 heartbeats each)", Members);
  std::uint64_t BytesBefore = Sink.Bytes;
  Meter Cost;
  Beat(6);
  Cost.print("control: one more heartbeat", Members);
  peer::Heartbeat Size;
  *Size.mutable_member() = agentMember(1);
  fmt::print("  heartbeat {} bytes, reply {:.0f} bytes, before framing\n",
             Size.ByteSizeLong(),
             static_cast<double>(Sink.Bytes - BytesBefore) /
                 static_cast<double>(Members));
}

void catalogSize(std::size_t Workspaces) {
  Catalog State;
  std::uint64_t Revision = 0;
  peer::Change Template;
  Template.mutable_set_template()->set_name("t");
  State.apply(++Revision, Template);
  Meter Cost;
  for (std::size_t I = 0; I < Workspaces; ++I) {
    peer::Change Change;
    Change.set_id(fmt::format("change-{}", I));
    Change.mutable_create_workspace()->set_name(fmt::format("w{}", I));
    Change.mutable_create_workspace()->set_template_name("t");
    State.apply(++Revision, Change);
  }
  Cost.print("catalog: workspaces", Workspaces);
  fmt::print("  whole {} bytes, one change {} bytes\n",
             State.updateSince(0).ByteSizeLong(),
             State.updateSince(Revision - 1).ByteSizeLong());
}

} // namespace

int main() {
  for (std::size_t Count : {10000U, 30000U, 100000U})
    ledgerRecords(Count);
  for (std::size_t Count : {1000U, 3000U, 10000U})
    agentTasks(Count);
  for (std::size_t Jobs : {3000U, 10000U, 30000U})
    entryTasks(1, Jobs, 1);
  for (std::size_t Jobs : {300U, 1000U, 3000U})
    entryTasks(1, Jobs, 8);
  for (std::size_t Upstreams : {11U, 110U, 1100U})
    entryTasks(Upstreams, 1000, 1);
  for (std::size_t Members : {100U, 300U, 1100U})
    controlHeartbeats(Members);
  for (std::size_t Workspaces : {17U, 57U, 170U})
    catalogSize(Workspaces);
  return 0;
}
