#include "agent/agent_core.h"
#include "agent/upstream_client.h"
#include "main/process.h"
#include "main/wiring.h"
#include "transport/link_node.h"

namespace yardwheel {

namespace {

class AgentProcess final : public Process, AnnouncerEvents {
public:
  explicit AgentProcess(const Settings &Values);
  ~AgentProcess() override { this->stop(); }
  void drain() override;

  void onConfirmed(TimePoint) override {}
  void onCatalog(Instant Now) override;
  void onMember(const peer::Member &, Instant) override {}

private:
  AgentOptions agentOptions() const;
  peer::Member selfAsMember() const;
  void receive(const peer::Envelope &Envelope, Instant Now);
  void tick(Instant Now);
  void stop();

  Settings Values;
  std::uint64_t Incarnation = newIncarnation();
  Logger Log{"agent"};
  SystemClock Source;
  NodeCatalog Catalog;
  std::atomic<bool> Idle{false};
  LinkNode Node;
  UpstreamClient Upstream;
  AgentCore Core;
  Announcer Announce;
};

AgentProcess::AgentProcess(const Settings &Values)
    : Values(Values),
      Node(identityOf(Values, peer::ROLE_AGENT, this->Incarnation), {},
           this->Source, TickInterval),
      Upstream(Values.Agent.UpstreamUrl, Values.Agent.TaskTimeout,
               [this](const TaskKey &Task, const TaskEnd &End) {
                 this->Node.loop().post([this, Task, End](Instant Now) {
                   this->Core.onTaskEnded(Task, End, Now);
                 });
               }),
      Core(this->agentOptions(), this->Node.links(), this->Upstream),
      Announce(announcerOptions(Values), this->selfAsMember(), this->Catalog,
               this->Node.links(), *this) {
  this->Node.start({[this](Instant Now) { this->tick(Now); },
                    [this](const peer::Envelope &Envelope, Instant Now) {
                      this->receive(Envelope, Now);
                    },
                    [this](const Undelivered &Lost, Instant Now) {
                      this->Core.onSendFailed(Lost.To.Node, Now);
                    }});
  this->Log.info("Agent {} serves {} with {} slots.", Values.Node,
                 Values.Agent.UpstreamUrl, Values.Agent.Slots);
}

AgentOptions AgentProcess::agentOptions() const {
  AgentOptions Options;
  Options.Name = this->Values.Node;
  Options.DataCentre = this->Values.DataCentre;
  Options.Incarnation = this->Incarnation;
  Options.Slots = this->Values.Agent.Slots;
  Options.Freshness = this->Values.Agent.Freshness;
  Options.Ledger.Retention = this->Values.LedgerRetention;
  Options.Ledger.ClockAllowance = this->Values.ClockAllowance;
  return Options;
}

peer::Member AgentProcess::selfAsMember() const {
  peer::Member Self =
      memberOf(this->Values, peer::ROLE_AGENT, this->Incarnation);
  Self.set_pool(this->Values.Agent.Pool);
  Self.set_slots(this->Values.Agent.Slots);
  Self.mutable_resources()->set_cpus(this->Values.Agent.Cpus);
  Self.mutable_resources()->set_memory_mb(this->Values.Agent.MemoryMb);
  Self.mutable_resources()->set_accelerators(this->Values.Agent.Accelerators);
  Self.set_freshness(this->Core.load(this->Source.now()).freshness());
  return Self;
}

void AgentProcess::receive(const peer::Envelope &Envelope, Instant Now) {
  deliver(Envelope, this->Announce, this->Core, Now);
}

void AgentProcess::tick(Instant Now) {
  this->Announce.tick(Now);
  this->Core.tick(Now);
  this->Idle.store(this->Core.isDraining() && this->Core.isIdle());
}

void AgentProcess::onCatalog(Instant Now) {
  this->Node.links().setRevision(this->Catalog.revision());
  this->Core.setCatalog(*this->Catalog.view(), Now);
  this->Log.info("Configuration revision {} is in force.",
                 this->Catalog.revision());
}

void AgentProcess::drain() {
  this->Log.info("Agent {} is draining.", this->Values.Node);
  this->Node.loop().post([this](Instant Now) {
    this->Core.drain(Now);
    this->Announce.update(
        [](peer::Member &Self) { Self.set_state(peer::MEMBER_LEAVING); }, Now);
  });
  bool Done = waitUntil(this->Values.Agent.DrainTimeout,
                        [this] { return this->Idle.load(); });
  if (!Done)
    this->Log.warning("Agent {} stops while tasks are still running.",
                      this->Values.Node);
  // Wait until the last results have been sent to their entries.
  constexpr std::chrono::seconds Delivery{3};
  waitUntil(Delivery, [this] { return this->Node.links().isIdle(); });
  this->stop();
}

void AgentProcess::stop() { this->Node.stop(); }

} // namespace

std::unique_ptr<Process> startAgent(const Settings &Values) {
  return std::make_unique<AgentProcess>(Values);
}

} // namespace yardwheel
