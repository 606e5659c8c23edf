//===- An agent whose worker runs tasks under leases ----------------------===//

#include "agent/announced_worker.h"
#include "agent/lease_keeper.h"
#include "coordination/delegate.h"
#include "core/busy_meter.h"
#include "http/metrics_page.h"
#include "main/lease_wiring.h"
#include "main/process.h"
#include "platform/announcement_handler.h"
#include "platform/worker_client.h"
#include "transport/link_node.h"

#include <optional>

namespace yardwheel {

namespace {

/// Time between the expiry of an entry's lease at this agent and the earliest
/// resubmission of its jobs elsewhere, in addition to the worker's own time to
/// stop a run. It covers one tick, a call to the worker and one retry.
constexpr std::chrono::milliseconds ResubmitMargin{450};
/// Share of the longest lease granted by a worker that the agent requests, in
/// percent. Clock rates may differ by some percent.
constexpr int WorkerLeasePercent = 90;
constexpr int Percent = 100;
/// Part of the shutdown grace reserved for sending the last messages.
constexpr std::chrono::milliseconds FlushTime{300};

class LeaseAgentProcess final : public Process,
                                public AnnouncerEvents,
                                public platform::WorkerReplies,
                                public platform::WorkerAnnouncements {
public:
  explicit LeaseAgentProcess(const NodePlan &Plan);
  ~LeaseAgentProcess() override { this->stop(); }
  void drain() override;
  void reload() override;

  void onConfirmed(TimePoint) override {}
  /// Publishes the revision to peers: an entry that cannot reach control
  /// learns from agents that a newer configuration exists, and stops serving
  /// with its own.
  void onCatalog(Instant Now) override {
    this->Node.links().setRevision(this->Catalog.revision());
    this->Keeper.setEvacuated(
        this->Catalog.view()->Evacuated.contains(this->Plan.DataCentre), Now);
    this->Coordination.setEvacuated(this->Catalog.view()->Evacuated);
  }
  void onMember(const peer::Member &Member, Instant Now) override {
    this->Coordination.onMember(Member, Now);
  }
  void onNewerIncarnation(std::uint64_t Known, Instant Now) override;
  void onDemand(const std::vector<peer::RouteDemand> &Sums, TimePoint Measured,
                Instant Now) override {
    this->Coordination.onDemand(Sums, Measured, Now);
  }

  void onStart(const WorkerIncarnation &Worker, const RunKey &Run,
               WorkerReply Reply) override;
  void onStop(const WorkerIncarnation &Worker, const RunKey &Run,
              WorkerReply Reply) override;
  void onHold(const WorkerIncarnation &Worker, WorkerReply Reply) override;

  void onAnnounced(const WorkerProfile &Profile) override;
  void onDeregistered(const WorkerIncarnation &Worker) override;

  /// Handles a message of an entry or of another agent.
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);

private:
  KeeperOptions keeperOptions() const;
  DelegateOptions delegateOptions() const;
  void applyProfile(const WorkerProfile &Profile, Instant Now);
  /// Announces a new worker incarnation, changed resources or a shutdown to
  /// control.
  void announceChanges(Instant Now);
  void receive(const peer::Envelope &Envelope, Instant Now);
  void tick(Instant Now);
  void tickCoordination(Instant Now);
  void publishMetrics(Instant Now);
  /// Logs how much of the worker's room is taken and what waits for it.
  void logLoad();
  void stop();

  NodePlan Plan;
  AnnouncedWorker LastAnnounced;
  std::shared_ptr<MetricsPage> Metrics = std::make_shared<MetricsPage>();
  TimePoint NextMetrics = TimePoint::min();
  MemoryReport Memory{this->Plan.Limits.MemoryBytes};
  std::uint64_t Incarnation = newIncarnation();
  Logger Log{"agent"};
  SystemClock Source;
  NodeCatalog Catalog;
  std::atomic<bool> Idle{false};
  LinkNode Node;
  platform::WorkerClient Client;
  LeaseKeeper Keeper;
  /// Jobs that this agent coordinates for entries.
  Delegate Coordination;
  /// Used on the loop's thread only.
  BusyMeter Busy;
  Announcer Announce;
  std::shared_ptr<platform::AnnouncementHandler> Gate;
  HttpServer WorkerServer;
  HttpServer MetricsServer;
};

LeaseAgentProcess::LeaseAgentProcess(const NodePlan &Plan)
    : Plan(Plan), Node(planIdentity(Plan, peer::ROLE_AGENT, this->Incarnation),
                       planLinks(Plan), this->Source, LeaseTick),
      Client({}, *this),
      Keeper(this->keeperOptions(), this->Node.links(), this->Client),
      Coordination(this->delegateOptions(), this->Node.links()),
      Announce(planAnnouncer(Plan),
               planMember(Plan, peer::ROLE_AGENT, this->Incarnation),
               this->Catalog, this->Node.links(), *this),
      Gate(std::make_shared<platform::AnnouncementHandler>(*this)),
      WorkerServer({.Listen = Plan.ControlListen,
                    .Threads = 1,
                    .MaxInputBytes = planInput(Plan)},
                   this->Gate),
      MetricsServer({.Listen = Plan.MetricsListen, .Threads = 1},
                    this->Metrics) {
  this->Memory.setBase();
  this->Node.start({[this](Instant Now) { this->tick(Now); },
                    [this](const peer::Envelope &Envelope, Instant Now) {
                      this->receive(Envelope, Now);
                    },
                    [this](const Undelivered &Lost, Instant Now) {
                      this->Keeper.onUndelivered(Lost, Now);
                      this->Coordination.noteBehind(
                          this->Node.loop().lastBehind(), Now);
                      this->Coordination.onUndelivered(Lost, Now);
                    }});
  this->Log.decision("agent_started", {{"node", Plan.Node},
                                       {"data_centre", Plan.DataCentre},
                                       {"worker", Plan.ControlListen},
                                       {"incarnation", this->Incarnation}});
}

KeeperOptions LeaseAgentProcess::keeperOptions() const {
  const DeploymentTimes &Times = this->Plan.Times;
  KeeperOptions Options;
  Options.Incarnation = this->Incarnation;
  Options.EntryLease =
      std::max(Times.ResubmitDelay - Times.WorkerStopTimeout - ResubmitMargin,
               2 * CoordinatorRenewal);
  Options.Session.MaxStopDuration = 2 * Times.WorkerStopTimeout;
  Options.Session.Lease = Times.MaxWorkerLease * WorkerLeasePercent / Percent;
  return Options;
}

DelegateOptions LeaseAgentProcess::delegateOptions() const {
  DelegateOptions Options;
  Options.Incarnation = this->Incarnation;
  Options.Coordinator = planCoordinator(this->Plan, this->Incarnation);
  return Options;
}

void LeaseAgentProcess::receive(const peer::Envelope &Envelope, Instant Now) {
  this->Coordination.noteBehind(this->Node.loop().lastBehind(), Now);
  deliver(Envelope, this->Announce, *this, Now);
  this->Coordination.placeScheduled(Now);
}

void LeaseAgentProcess::onMessage(const PeerRef &From,
                                  const peer::Message &Message, Instant Now) {
  this->Keeper.onMessage(From, Message, Now);
  if (this->Plan.CoordinatesForEntries)
    this->Coordination.onMessage(From, Message, Now);
}

void LeaseAgentProcess::tick(Instant Now) {
  this->publishMetrics(Now);
  // Without a worker there is nothing to announce.
  if (this->Keeper.session().hasWorker())
    this->Announce.tick(Now);
  this->Keeper.tick(Now);
  this->tickCoordination(Now);
  this->Idle.store(this->Keeper.isLeaving() && this->Keeper.isIdle() &&
                   this->Coordination.isIdle());
}

void LeaseAgentProcess::tickCoordination(Instant Now) {
  bool IsActive = this->Coordination.isActive(Now.Steady);
  this->Announce.setWantsMembers(IsActive);
  this->Busy.sample(this->Node.loop().waitedTime(), Now.Steady);
  this->Coordination.tick(this->Busy.share(), this->Node.loop().lastBehind(),
                          Now);
}

// ---- The worker ----

void LeaseAgentProcess::onAnnounced(const WorkerProfile &Profile) {
  this->Node.loop().post(
      [this, Profile](Instant Now) { this->applyProfile(Profile, Now); });
}

void LeaseAgentProcess::applyProfile(const WorkerProfile &Profile,
                                     Instant Now) {
  this->Keeper.onProfile(Profile, Now);
  this->announceChanges(Now);
}

void LeaseAgentProcess::announceChanges(Instant Now) {
  if (!this->Keeper.session().hasWorker())
    return;
  AnnouncedWorker Present = AnnouncedWorker::of(this->Keeper);
  if (Present == this->LastAnnounced)
    return;
  this->LastAnnounced = Present;
  this->Announce.update(
      [&](peer::Member &Self) {
        Present.writeTo(Self);
        Self.set_freshness(LeaseKeeper::stampAt(Now));
      },
      Now);
}

void LeaseAgentProcess::onNewerIncarnation(std::uint64_t Known, Instant Now) {
  this->Keeper.raiseIncarnationAbove(Known);
  this->announceChanges(Now);
}

void LeaseAgentProcess::onDeregistered(const WorkerIncarnation &Worker) {
  this->Node.loop().post([this, Worker](Instant Now) {
    this->Keeper.onWorkerLeft(Worker, Now);
    this->announceChanges(Now);
  });
}

void LeaseAgentProcess::onStart(const WorkerIncarnation &Worker,
                                const RunKey &Run, WorkerReply Reply) {
  this->Node.loop().post([this, Worker, Run, Reply](Instant Now) {
    this->Keeper.session().onStartReply(Worker, Run, Reply, Now);
    this->announceChanges(Now);
  });
}

void LeaseAgentProcess::onStop(const WorkerIncarnation &Worker,
                               const RunKey &Run, WorkerReply Reply) {
  this->Node.loop().post([this, Worker, Run, Reply](Instant Now) {
    this->Keeper.session().onStopReply(Worker, Run, Reply, Now);
    this->announceChanges(Now);
  });
}

void LeaseAgentProcess::onHold(const WorkerIncarnation &Worker,
                               WorkerReply Reply) {
  this->Node.loop().post([this, Worker, Reply](Instant Now) {
    this->Keeper.session().onHoldReply(Worker, Reply, Now);
    // The reply may decide which worker incarnation is current.
    this->announceChanges(Now);
  });
}

// ---- The process ----

void LeaseAgentProcess::reload() {
  reloadSeeds(this->Node.loop(), this->Log,
              [this](const auto &Seeds) { this->Announce.addControls(Seeds); });
}

void LeaseAgentProcess::drain() {
  this->Node.loop().post([this](Instant Now) {
    this->Keeper.shutDown(Now);
    this->Coordination.leave();
    this->announceChanges(Now);
  });
  bool Done = waitUntil(this->Plan.Times.ShutdownGrace - 2 * FlushTime,
                        [this] { return this->Idle.load(); });
  if (!Done)
    this->Log.warning("Agent {} stops while tasks are still running.",
                      this->Plan.Node);
  // Wait until the last results have been sent to their entries.
  waitUntil(FlushTime, [this] { return this->Node.links().isIdle(); });
  this->stop();
}

void LeaseAgentProcess::publishMetrics(Instant Now) {
  if (Now.Steady < this->NextMetrics)
    return;
  this->NextMetrics = Now.Steady + MetricsInterval;
  const KeeperCounters &Counts = this->Keeper.counters();
  std::string Text;
  Text += metricLine("yardwheel_runs_started_total", Counts.Started);
  Text += metricLine("yardwheel_runs_done_total", Counts.Done);
  Text += metricLine("yardwheel_runs_failed_total", Counts.Failed);
  Text += metricLine("yardwheel_runs_ended_early_total", Counts.EndedEarly);
  Text += metricLine("yardwheel_tasks_refused_total", Counts.Refused);
  Text += metricLine("yardwheel_worker_crashes_total", Counts.WorkerCrashes);
  Text +=
      metricLine("yardwheel_entry_leases_lapsed_total", Counts.LeasesLapsed);
  Text += metricLine("yardwheel_announcements_refused_total",
                     this->Gate->refused());
  const DelegateCounters &Delegated = this->Coordination.counters();
  Text +=
      metricLine("yardwheel_delegated_jobs_accepted_total", Delegated.Accepted);
  Text +=
      metricLine("yardwheel_delegated_jobs_declined_total", Delegated.Declined);
  Text += metricLine("yardwheel_delegated_jobs_abandoned_total",
                     Delegated.Abandoned);
  Text += metricLine("yardwheel_evacuated", this->Keeper.isEvacuated() ? 1 : 0);
  Text += metricLine("yardwheel_tasks_queued", this->Keeper.queued());
  Text += metricLine("yardwheel_worker_ready",
                     this->Keeper.session().isReady() ? 1 : 0);
  Text += describeProcess(
      this->Node, this->WorkerServer, this->Memory,
      {{"configuration", this->Catalog.view()->Routes.SpaceUsedLong()}},
      this->Log);
  this->Metrics->publish(std::move(Text));
  this->logLoad();
}

void LeaseAgentProcess::logLoad() {
  const KeeperCounters &Counts = this->Keeper.counters();
  const peer::TaskNeeds &Used = this->Keeper.usedRoom();
  const peer::TaskNeeds &Room = this->Keeper.session().profile().Room;
  // Counts and times are totals since the start of the process.
  this->Log.decision("agent_load",
                     {{"node", this->Plan.Node},
                      {"data_centre", this->Plan.DataCentre},
                      {"processor_ms", asMillis(this->Node.processorTime())},
                      {"busy_percent", asPercent(this->Busy.share())},
                      {"ready", this->Keeper.session().isReady()},
                      {"room_cpu_milli", Room.cpu_milli()},
                      {"used_cpu_milli", Used.cpu_milli()},
                      {"queued", this->Keeper.queued()},
                      {"started", Counts.Started},
                      {"started_late", Counts.StartedLate},
                      {"coordinated", this->Coordination.counters().Accepted}});
}

void LeaseAgentProcess::stop() {
  this->WorkerServer.stop();
  this->MetricsServer.stop();
  this->Node.stop();
}

} // namespace

std::unique_ptr<Process> startLeaseAgent(const NodePlan &Plan) {
  return std::make_unique<LeaseAgentProcess>(Plan);
}

} // namespace yardwheel
