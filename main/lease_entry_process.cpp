//===- An entry that coordinates best-effort jobs under leases ------------===//

#include "coordination/delegating_intake.h"
#include "core/busy_meter.h"
#include "entry/drain_watch.h"
#include "entry/readiness.h"
#include "http/metrics_page.h"
#include "main/lease_wiring.h"
#include "main/process.h"
#include "platform/caller_handler.h"
#include "transport/link_node.h"

#include <fmt/ranges.h>

namespace yardwheel {

namespace {

/// Part of the shutdown grace reserved for sending the last responses.
constexpr std::chrono::milliseconds FlushTime{300};
/// Maximum time that a job accepted during shutdown may still take. New jobs
/// are refused in this part of the shutdown grace.
constexpr std::chrono::milliseconds MaxJobTime{1700};

/// Part of MaxJobTime reserved for answering jobs that have not completed by
/// then.
constexpr std::chrono::milliseconds CancelTime{150};

/// Time for a caller on a lossy link to send a complete request.
constexpr std::chrono::milliseconds CallerTimeout{10000};

/// Interval at which the reported demand is renewed. A part of the heartbeat's,
/// so that what is sent is recent.
constexpr std::chrono::milliseconds DemandReportInterval{100};

class LeaseEntryProcess final : public Process, AnnouncerEvents {
public:
  explicit LeaseEntryProcess(const NodePlan &Plan);
  ~LeaseEntryProcess() override { this->stop(); }
  void drain() override;
  void reload() override;

  void onConfirmed(TimePoint Asked) override;
  void onNoLeaderSince(TimePoint Since) override;
  void onNewerRevision(std::uint64_t Revision) override;
  void onCatalog(Instant Now) override;
  void onMember(const peer::Member &Member, Instant Now) override;
  void onNewerIncarnation(std::uint64_t Known, Instant Now) override;
  void onDemand(const std::vector<peer::RouteDemand> &Sums, TimePoint Measured,
                Instant Now) override;

  /// Handles a message of an agent.
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);

private:
  DelegationOptions delegationOptions() const;
  void receive(const peer::Envelope &Envelope, Instant Now);
  void tick(Instant Now);
  void logTableState(Instant Now);
  void updateReadiness(Instant Now);
  void publishMetrics(Instant Now);
  /// Passes the demand of this entry's callers on for the next heartbeat.
  void reportDemand(Instant Now);
  /// Logs what the processor time went into, and what was lost while it was
  /// short.
  void logLoad();
  void stop();

  NodePlan Plan;
  std::shared_ptr<MetricsPage> Metrics = std::make_shared<MetricsPage>();
  TimePoint NextMetrics = TimePoint::min();
  MemoryReport Memory{this->Plan.Limits.MemoryBytes};
  TimePoint NextDemandReport = TimePoint::min();
  std::uint64_t Incarnation = newIncarnation();
  Logger Log{"entry"};
  SystemClock Source;
  NodeCatalog Catalog;
  /// Evacuated data centres that the coordinator knows of; used on the loop's
  /// thread only.
  std::set<std::string> Evacuated;
  std::atomic<bool> Draining{false};
  /// Computes readiness; used on the loop's thread only.
  Readiness ReadinessRule;
  /// Readiness last reported to the load balancer; used on the loop's thread
  /// only.
  bool Ready = false;
  std::atomic<std::size_t> InFlight{0};
  LinkNode Node;
  SelfLoad Load{SelfLoadOptions()};
  TableLease Table;
  /// State last logged; used on the loop's thread only.
  TableState LoggedTable = TableState::Unknown;
  std::shared_ptr<platform::CallerHandler> Gate;
  std::shared_ptr<platform::HealthHandler> Health;
  LeaseCoordinator Coordinator;
  DelegatingIntake Intake;
  /// Used on the loop's thread only.
  BusyMeter Busy;
  Announcer Announce;
  HttpServer CallerServer;
  HttpServer HealthServer;
  HttpServer MetricsServer;
};

LeaseEntryProcess::LeaseEntryProcess(const NodePlan &Plan)
    : Plan(Plan), Node(planIdentity(Plan, peer::ROLE_ENTRY, this->Incarnation),
                       planLinks(Plan), this->Source, LeaseTick),
      Table(planTableLease(Plan)),
      Gate(std::make_shared<platform::CallerHandler>(
          this->Catalog, this->Source, this->Load, this->Table,
          Plan.KeepsShares ? Plan.DataCentre : "")),
      Health(std::make_shared<platform::HealthHandler>(
          [this] { return this->Node.loop().lastIdle(); }, this->Source,
          this->Load)),
      Coordinator(planCoordinator(Plan, this->Incarnation), this->Node.links(),
                  *this->Gate),
      Intake(this->delegationOptions(), this->Coordinator, this->Node.links(),
             *this->Gate),
      Announce(planEntryAnnouncer(Plan),
               planMember(Plan, peer::ROLE_ENTRY, this->Incarnation),
               this->Catalog, this->Node.links(), *this),
      CallerServer(
          (this->Gate->connect(this->Node.loop(), this->Intake),
           HttpServerOptions{.Listen = Plan.CallerListen,
                             .Threads = 1,
                             .MaxBodyBytes = MaxBodyBytes,
                             .MaxInputBytes = planInput(Plan),
                             .HeaderTimeout = CallerTimeout,
                             .Headers = platform::CallerHandler::headers()}),
          this->Gate),
      HealthServer({.Listen = Plan.HealthListen, .Threads = 1}, this->Health),
      MetricsServer({.Listen = Plan.MetricsListen, .Threads = 1},
                    this->Metrics) {
  this->Memory.setBase();
  this->Node.start({[this](Instant Now) { this->tick(Now); },
                    [this](const peer::Envelope &Envelope, Instant Now) {
                      this->receive(Envelope, Now);
                    },
                    [this](const Undelivered &Lost, Instant Now) {
                      this->Intake.noteBehind(this->Node.loop().lastBehind(),
                                              Now);
                      this->Coordinator.onUndelivered(Lost, Now);
                      this->Intake.onUndelivered(Lost, Now);
                    }});
  this->Log.decision("entry_started", {{"node", Plan.Node},
                                       {"data_centre", Plan.DataCentre},
                                       {"callers", Plan.CallerListen},
                                       {"incarnation", this->Incarnation}});
}

DelegationOptions LeaseEntryProcess::delegationOptions() const {
  DelegationOptions Options;
  Options.Rule =
      delegationRuleAt(this->Plan.DelegateAtShare, this->Plan.MaxDelegates);
  Options.Name = this->Plan.Node;
  Options.FirstNumber = this->Incarnation * MaxOrdersPerMicrosecond;
  Options.DataCentre = this->Plan.DataCentre;
  return Options;
}

void LeaseEntryProcess::receive(const peer::Envelope &Envelope, Instant Now) {
  this->Intake.noteBehind(this->Node.loop().lastBehind(), Now);
  deliver(Envelope, this->Announce, *this, Now);
  this->Coordinator.placeScheduled(Now);
}

void LeaseEntryProcess::onMessage(const PeerRef &From,
                                  const peer::Message &Message, Instant Now) {
  this->Coordinator.onMessage(From, Message, Now);
  this->Intake.onMessage(From, Message, Now);
}

void LeaseEntryProcess::tick(Instant Now) {
  this->publishMetrics(Now);
  this->Gate->logRefusals();
  this->Table.tick(Now.Steady);
  this->reportDemand(Now);
  this->Announce.tick(
      Now, {this->Node.loop().lastIdle(), this->Node.loop().lastBehind()});
  this->logTableState(Now);
  this->Coordinator.tick(Now, this->Node.loop().lastBehind());
  this->Busy.sample(this->Node.loop().waitedTime(), Now.Steady);
  if (this->Plan.MaxDelegates > 0) {
    this->Intake.tick({.ProcessorShare = this->Busy.share(),
                       .ExpectedWait = this->Node.loop().expectedWait()},
                      this->Node.loop().lastBehind(), Now);
  }
  this->updateReadiness(Now);
  this->InFlight.store(this->Intake.inFlight());
}

void LeaseEntryProcess::updateReadiness(Instant Now) {
  TimePoint LastIdle = this->Node.loop().lastIdle();
  ReadinessFacts Facts;
  Facts.HasRoutes = this->Catalog.view()->Routes.version() > 0;
  Facts.HasWorkers = this->Coordinator.hasWorkers();
  Facts.KeepsUp = this->Load.mayBeReady(Now.Steady, LastIdle);
  Facts.Draining = this->Draining.load();
  Facts.Table = this->Table.status(Now.Steady, LastIdle).State;
  bool Ready = this->ReadinessRule.update(Facts, Now.Steady);
  if (Ready != this->Ready)
    this->Log.decision("readiness",
                       {{"ready", Ready},
                        {"has_routes", Facts.HasRoutes},
                        {"has_workers", Facts.HasWorkers},
                        {"keeps_up", Facts.KeepsUp},
                        {"draining", Facts.Draining},
                        {"table_state", tableStateName(Facts.Table)},
                        {"idle_ms_ago", millisBetween(LastIdle, Now.Steady)}});
  this->Ready = Ready;
  this->Health->setReady(Ready);
  this->Gate->setReady(Ready);
}

void LeaseEntryProcess::onConfirmed(TimePoint Asked) {
  this->Table.confirm(Asked);
}

void LeaseEntryProcess::onNoLeaderSince(TimePoint Since) {
  this->Table.setNoLeaderSince(Since);
}

void LeaseEntryProcess::onNewerRevision(std::uint64_t Revision) {
  this->Table.onPeerRevision(Revision);
}

void LeaseEntryProcess::logTableState(Instant Now) {
  TimePoint LastIdle = this->Node.loop().lastIdle();
  TableStatus Status = this->Table.status(Now.Steady, LastIdle);
  if (Status.State == this->LoggedTable)
    return;
  this->LoggedTable = Status.State;
  this->Log.decision(
      "route_table_state",
      {{"state", tableStateName(Status.State)},
       {"table_age_ms", Status.ageMillis()},
       {"newer_known", Status.NewerKnown},
       {"idle_ms_ago", millisBetween(LastIdle, Now.Steady)},
       {"control", this->Announce.describeControl(Now.Steady)},
       {"table_version", this->Catalog.view()->Routes.version()}});
}

void LeaseEntryProcess::onCatalog(Instant) {
  this->Table.setHeldRevision(this->Catalog.revision());
  this->Node.links().setRevision(this->Catalog.revision());
  std::shared_ptr<const CatalogView> View = this->Catalog.view();
  if (View->Evacuated != this->Evacuated) {
    this->Evacuated = View->Evacuated;
    this->Coordinator.setEvacuated(this->Evacuated);
    this->Log.decision(
        "evacuations_in_force",
        {{"data_centres", fmt::format("{}", fmt::join(this->Evacuated, " "))},
         {"upstreams", this->Coordinator.workerTable().countEvacuated()}});
  }
  this->Log.decision(
      "configuration_in_force",
      {{"revision", this->Catalog.revision()},
       {"table_version", this->Catalog.view()->Routes.version()}});
}

void LeaseEntryProcess::onMember(const peer::Member &Member, Instant Now) {
  this->Coordinator.onMember(Member, Now);
  this->Intake.onMember(Member, Now);
}

void LeaseEntryProcess::onNewerIncarnation(std::uint64_t Known, Instant Now) {
  this->Log.decision("incarnation_raised", {{"known", Known}});
  this->Announce.update(
      [Known](peer::Member &Self) { Self.set_incarnation(Known + 1); }, Now);
}

void LeaseEntryProcess::onDemand(const std::vector<peer::RouteDemand> &Sums,
                                 TimePoint Measured, Instant Now) {
  if (ShareCheck *Shares = this->Coordinator.shares())
    Shares->onSums(Sums, Measured, Now);
}

void LeaseEntryProcess::reportDemand(Instant Now) {
  ShareCheck *Shares = this->Coordinator.shares();
  if (Shares == nullptr || Now.Steady < this->NextDemandReport)
    return;
  this->NextDemandReport = Now.Steady + DemandReportInterval;
  this->Announce.setDemand(Shares->report(Now));
}

void LeaseEntryProcess::reload() {
  reloadSeeds(this->Node.loop(), this->Log,
              [this](const auto &Seeds) { this->Announce.addControls(Seeds); });
}

void LeaseEntryProcess::drain() {
  this->Draining.store(true);
  this->Health->setReady(false);
  auto Serve = this->Plan.Times.ShutdownGrace - MaxJobTime - FlushTime;
  // Callers keep using open connections, so jobs are accepted for a while. Once
  // all callers have moved elsewhere, the drain ends early so that this process
  // can restart sooner.
  DrainOptions Options;
  Options.MaxDrain = Serve;
  DrainWatch Watch(Options, this->Source.now().Steady);
  waitUntil(Serve, [&] {
    return Watch.isOver(this->Gate->submissions(), this->InFlight.load(),
                        this->Source.now().Steady);
  });
  this->Gate->refuseNew();
  // A request read just before may still be queued for a delayed loop, so a
  // count of zero jobs in flight does not show that all requests are answered.
  // The server counts each request that it reads.
  auto AllAnswered = [this] {
    return this->CallerServer.answers().unanswered() == 0;
  };
  if (!waitUntil(MaxJobTime - CancelTime, AllAnswered)) {
    this->Log.warning("Entry {} stops with {} jobs in flight.", this->Plan.Node,
                      this->InFlight.load());
    // Callers are told that the outcome is unknown instead of losing their
    // connections without a response.
    this->Node.loop().post([this](Instant Now) {
      this->Intake.cancelAll("this process ends", Now);
    });
    waitUntil(CancelTime, AllAnswered);
  }
  // The server needs time to write the last responses to their sockets.
  std::this_thread::sleep_for(FlushTime / 2);
  this->stop();
}

void LeaseEntryProcess::publishMetrics(Instant Now) {
  if (Now.Steady < this->NextMetrics)
    return;
  this->NextMetrics = Now.Steady + MetricsInterval;
  const CoordinatorCounters &Counts = this->Coordinator.counters();
  std::string Text = this->Coordinator.metrics().text();
  Text += metricLine("yardwheel_jobs_completed_total", Counts.Completed);
  Text += metricLine("yardwheel_jobs_failed_total", Counts.Failed);
  Text += metricLine("yardwheel_jobs_not_run_total", Counts.NotRun);
  Text += metricLine("yardwheel_jobs_unknown_total", Counts.Unknown);
  Text += metricLine("yardwheel_jobs_shed_total", Counts.JobsShed);
  Text += metricLine("yardwheel_jobs_crashing_total", Counts.JobsCrashing);
  Text +=
      metricLine("yardwheel_jobs_completed_late_total", Counts.CompletedLate);
  Text += metricLine("yardwheel_jobs_late_while_behind_total",
                     Counts.LateWhileBehind);
  Text += metricLine("yardwheel_tasks_sent_total", Counts.TasksSent);
  Text += metricLine("yardwheel_tasks_refused_total", Counts.TasksRefused);
  Text += metricLine("yardwheel_agents_lost_total", Counts.AgentsLost);
  Text += metricLine("yardwheel_ejections_total", Counts.Ejections);
  Text += metricLine("yardwheel_placements_diverted_total",
                     Counts.PlacementsDiverted);
  Text += metricLine("yardwheel_upstreams_evacuated",
                     this->Coordinator.workerTable().countEvacuated());
  Text += metricLine("yardwheel_upstreams_with_own_speed",
                     this->Coordinator.workerTable().countWithOwnSpeed());
  Text += metricLine("yardwheel_jobs_in_flight", this->Intake.inFlight());
  const DelegationCounters &Delegation = this->Intake.counters();
  Text += metricLine("yardwheel_jobs_delegated_total", Delegation.Delegated);
  Text += metricLine("yardwheel_delegated_jobs_completed_total",
                     Delegation.Completed);
  Text += metricLine("yardwheel_delegated_jobs_declined_total",
                     Delegation.Declined);
  Text += metricLine("yardwheel_delegated_jobs_lost_total", Delegation.Lost);
  Text +=
      metricLine("yardwheel_delegates_ready", this->Intake.readyDelegates());
  Text += metricLine("yardwheel_delegated_share_percent",
                     asPercent(this->Intake.share()));
  Text += metricLine("yardwheel_route_table_version",
                     this->Catalog.view()->Routes.version());
  TableStatus Table =
      this->Table.status(Now.Steady, this->Node.loop().lastIdle());
  if (Table.Age)
    Text += metricLine("yardwheel_route_table_age_ms", Table.Age->count());
  if (const ShareCheck *Shares = this->Coordinator.shares())
    Text += Shares->text(Now);
  Text += this->Gate->describeRefusals();
  Text += describeProcess(
      this->Node, this->CallerServer, this->Memory,
      {{"configuration", this->Catalog.view()->Routes.SpaceUsedLong()}},
      this->Log);
  this->Metrics->publish(std::move(Text));
  this->logLoad();
}

void LeaseEntryProcess::logLoad() {
  const CoordinatorCounters &Counts = this->Coordinator.counters();
  auto MillisOf = [this](LoopPart Part) {
    return asMillis(this->Node.loop().meter().used(Part));
  };
  // All figures count from the start of the process.
  this->Log.decision("entry_load",
                     {{"node", this->Plan.Node},
                      {"data_centre", this->Plan.DataCentre},
                      {"processor_ms", asMillis(this->Node.processorTime())},
                      {"loop_events_ms", MillisOf(LoopPart::Events)},
                      {"loop_work_ms", MillisOf(LoopPart::Work)},
                      {"loop_tick_ms", MillisOf(LoopPart::Tick)},
                      {"loop_flush_ms", MillisOf(LoopPart::Flush)},
                      {"behind_ms", asMillis(this->Node.loop().behindTime())},
                      {"submissions", this->Gate->submissions()},
                      {"refused_behind", this->Gate->refusedBehind()},
                      {"refused_late", this->Gate->refusedLate()},
                      {"busy_percent", asPercent(this->Busy.share())},
                      {"delegated", this->Intake.counters().Delegated},
                      {"completed", Counts.Completed},
                      {"completed_late", Counts.CompletedLate},
                      {"late_while_behind", Counts.LateWhileBehind}});
}

void LeaseEntryProcess::stop() {
  this->CallerServer.stop();
  this->HealthServer.stop();
  this->MetricsServer.stop();
  this->Node.stop();
}

} // namespace

std::unique_ptr<Process> startLeaseEntry(const NodePlan &Plan) {
  return std::make_unique<LeaseEntryProcess>(Plan);
}

} // namespace yardwheel
