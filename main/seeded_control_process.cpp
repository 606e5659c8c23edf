//===- A control replica that finds its cluster from seeds ----------------===//

#include "consensus/file_log_storage.h"
#include "core/hash.h"
#include "core/process_memory.h"
#include "http/metrics_page.h"
#include "main/lease_wiring.h"
#include "main/process.h"
#include "platform/config_handler.h"
#include "platform/node_settings.h"
#include "transport/link_node.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds ElectionTimeout{500};
constexpr std::chrono::milliseconds MemberLease{3000};
/// Shorter than the operators' timeout for a call with a large body.
constexpr std::chrono::milliseconds ProposalTimeout{2000};
constexpr std::uint64_t EntriesPerSnapshot = 200;
/// The time without a leader after which this is logged, and then again.
constexpr std::chrono::milliseconds LeaderlessLogInterval{1000};
/// Part of the memory limit, as a divisor, that the log may take, and as much
/// again for entries that are not committed.
constexpr std::size_t LogShareOfMemory = 64;
/// Part of the shutdown grace, as a divisor, in which the vote of this replica
/// is handed over. Leaves time for open proposals after it.
constexpr int LeaveShareOfGrace = 3;
/// Peers that a log line names.
constexpr std::size_t MaxLoggedPeers = 4;

/// Describes the peers for which the most is held in memory, for logs.
std::string describeLoads(const std::vector<LinkLoad> &Loads) {
  std::string Text;
  for (std::size_t I = 0; I < std::min(Loads.size(), MaxLoggedPeers); ++I) {
    const LinkLoad &Load = Loads[I];
    Text += fmt::format(
        "{}{}: {} bytes in {} unacked, {} bytes in {} unwritten",
        Text.empty() ? "" : "; ", Load.Peer.Address, Load.UnackedBytes,
        Load.Unacked, Load.UnwrittenBytes, Load.Unwritten);
  }
  return Text;
}

/// Describes the replication to each follower, for logs; empty if this replica
/// does not lead.
std::string describeFollowers(const RaftNode &Raft, TimePoint Now) {
  std::string Text;
  for (const FollowerStatus &Follower : Raft.followers())
    Text += fmt::format("{}{}: {} behind, heard {} ms ago",
                        Text.empty() ? "" : "; ", Follower.Name,
                        Raft.log().lastIndex() - Follower.Match,
                        millisBetween(Follower.LastHeard, Now));
  return Text;
}

/// Returns the age of a time for logs, "never" if there is none.
std::string describeAge(std::optional<TimePoint> When, TimePoint Now) {
  return When ? fmt::format("{} ms ago", millisBetween(*When, Now)) : "never";
}

/// Describes the connection to a replica, for logs.
std::string describeLink(const std::optional<LinkState> &Link, TimePoint Now) {
  if (!Link)
    return "no link";
  std::string Text =
      Link->OpenedAt
          ? fmt::format("{} stream of {}", Link->IsOwnStream ? "own" : "shared",
                        describeAge(Link->OpenedAt, Now))
          : "no stream";
  if (Link->AwaitedSince)
    Text += fmt::format(", unacknowledged since {}",
                        describeAge(Link->AwaitedSince, Now));
  if (!Link->LastEnd.empty())
    Text += fmt::format(", ended {}: {}", describeAge(Link->LastEndAt, Now),
                        Link->LastEnd);
  return Text +
         fmt::format(", address heard {}", describeAge(Link->HeardAt, Now));
}

/// Describes who reports which disk as lost, for logs.
std::string describeLosses(const LossReports &Reports) {
  std::string Text;
  for (const auto &[Reporter, Lost] : Reports)
    Text += fmt::format("{}{} reports {}", Text.empty() ? "" : "; ", Reporter,
                        fmt::join(Lost, " "));
  return Text;
}

/// Returns this replica's entry in the replica set. The address is permanent;
/// the name is stored on the disk and lost with it.
peer::Replica selfOf(const NodePlan &Plan, const std::string &Name) {
  peer::Replica Self;
  Self.set_name(Name);
  Self.set_address(Plan.LinkListen);
  Self.set_http_address(Plan.ControlListen);
  return Self;
}

bool isSeed(const NodePlan &Plan) {
  for (const ControlPeer &Seed : Plan.Seeds)
    if (Seed.HttpAddress == Plan.ControlListen)
      return true;
  return false;
}

/// Creates the identity of a replica whose data folder is empty. When the
/// cluster is bootstrapped, every seed creates the same initial replica set, of
/// which a majority must agree. Any other replica with an empty folder joins
/// under a new name.
peer::Identity newIdentity(const NodePlan &Plan, std::uint64_t Incarnation) {
  peer::Identity Identity;
  Identity.set_cluster(DeployedCluster);
  if (!Plan.Bootstrap || !isSeed(Plan)) {
    std::uint64_t Unique =
        combineHash(stableHash(Plan.ControlListen), Incarnation);
    Identity.set_replica(fmt::format("{}.{:x}", Plan.ControlListen, Unique));
    return Identity;
  }
  Identity.set_replica(Plan.ControlListen);
  for (const ControlPeer &Seed : Plan.Seeds) {
    peer::Replica *First = Identity.mutable_bootstrap()->add_replicas();
    First->set_name(Seed.Name);
    First->set_address(Seed.Address);
    First->set_http_address(Seed.HttpAddress);
  }
  Identity.mutable_bootstrap()->set_initial_hosts(
      static_cast<std::uint32_t>(Plan.Seeds.size()));
  return Identity;
}

std::string loadOrCreateIdentity(const NodePlan &Plan,
                                 std::uint64_t Incarnation) {
  if (auto Known = findIdentity(Plan.DataDir))
    return Known->replica();
  peer::Identity New = newIdentity(Plan, Incarnation);
  initDataFolder(Plan.DataDir, New);
  return New.replica();
}

class SeededControlProcess final : public Process {
public:
  explicit SeededControlProcess(const NodePlan &Plan);
  ~SeededControlProcess() override { this->stop(); }
  void drain() override;
  void reload() override;

private:
  ControlOptions controlOptions() const;
  LinkIdentity identity() const;
  void receive(const peer::Envelope &Envelope, Instant Now);
  void tick(Instant Now);
  void publishMetrics(Instant Now);
  /// Logs what this process holds in memory, and how far its followers are.
  void logMemory(const std::vector<LinkLoad> &Loads, Instant Now) const;
  /// Logs what the election of a leader, or the admission of this replica, is
  /// waiting for, while no leader is known.
  void logLeaderless(Instant Now);
  std::vector<MemoryHolder> memoryHolders() const;
  void stop();

  NodePlan Plan;
  std::shared_ptr<MetricsPage> Metrics = std::make_shared<MetricsPage>();
  TimePoint NextMetrics = TimePoint::min();
  TimePoint NextLeaderlessLog = TimePoint::min();
  MemoryReport Memory{this->Plan.Limits.MemoryBytes};
  std::uint64_t Incarnation = newIncarnation();
  std::string Replica;
  Logger Log{"control"};
  SystemClock Source;
  FileLogStorage Storage;
  LinkNode Node;
  ControlService Service;
  std::atomic<std::size_t> OpenProposals{0};
  std::atomic<bool> MayStop{false};
  std::string LastLeader;
  HttpServer OperatorServer;
  HttpServer MetricsServer;
};

SeededControlProcess::SeededControlProcess(const NodePlan &Plan)
    : Plan(Plan), Replica(loadOrCreateIdentity(Plan, this->Incarnation)),
      Storage(Plan.DataDir, DeployedCluster, this->Replica),
      Node(this->identity(), planLinks(Plan), this->Source, LeaseTick),
      Service(this->controlOptions(), this->Storage, this->Node.links(),
              this->Source.now()),
      OperatorServer({.Listen = Plan.ControlListen,
                      .Threads = 1,
                      .MaxBodyBytes = MaxBodyBytes,
                      .MaxInputBytes = planInput(Plan)},
                     std::make_shared<platform::ConfigHandler>(
                         this->Node.loop(), this->Service, this->Replica)),
      MetricsServer({.Listen = Plan.MetricsListen, .Threads = 1},
                    this->Metrics) {
  this->Memory.setBase();
  this->Node.start({[this](Instant Now) { this->tick(Now); },
                    [this](const peer::Envelope &Envelope, Instant Now) {
                      this->receive(Envelope, Now);
                    },
                    nullptr});
  this->Log.decision("control_started",
                     {{"replica", this->Replica},
                      {"operators", Plan.ControlListen},
                      {"bootstrap", Plan.Bootstrap},
                      {"torn_bytes", this->Storage.tornBytes()},
                      {"version", this->Service.catalog().routes().version()}});
}

LinkIdentity SeededControlProcess::identity() const {
  LinkIdentity Self =
      planIdentity(this->Plan, peer::ROLE_CONTROL, this->Incarnation);
  Self.Node = this->Replica;
  return Self;
}

ControlOptions SeededControlProcess::controlOptions() const {
  ControlOptions Options;
  Options.Raft.Name = this->Replica;
  Options.Raft.ElectionTimeout = ElectionTimeout;
  Options.Raft.EntriesPerSnapshot = EntriesPerSnapshot;
  Options.Raft.MaxLogBytes = this->Plan.Limits.MemoryBytes / LogShareOfMemory;
  Options.Raft.Seed = this->Incarnation;
  // Best-effort jobs need no claims, hence no holder groups.
  Options.Groups.Groups = 0;
  Options.Lease = MemberLease;
  Options.ProposalTimeout = ProposalTimeout;
  Options.Replicas.Voters = 2 * this->Plan.ToleratedLosses + 1;
  Options.Self = selfOf(this->Plan, this->Replica);
  Options.IsFirstStart = this->Plan.Bootstrap;
  Options.Seeds = seedPeers(this->Plan);
  return Options;
}

void SeededControlProcess::receive(const peer::Envelope &Envelope,
                                   Instant Now) {
  PeerRef From{Envelope.sender(), Envelope.sender_address()};
  for (const peer::Message &Message : Envelope.messages())
    this->Service.onMessage(From, Message, Now);
}

void SeededControlProcess::tick(Instant Now) {
  this->publishMetrics(Now);
  this->Service.tick(Now, this->Node.loop().lastIdle());
  this->Node.links().setRevision(this->Service.catalog().revision());
  this->OpenProposals.store(this->Service.pendingProposals());
  this->MayStop.store(this->Service.mayStop());
  this->logLeaderless(Now);
  const std::string &Leader = this->Service.raft().leader();
  if (Leader == this->LastLeader)
    return;
  this->Log.decision("leader", {{"leader", Leader},
                                {"was", this->LastLeader},
                                {"term", this->Service.raft().term()}});
  this->LastLeader = Leader;
}

void SeededControlProcess::reload() {
  reloadSeeds(this->Node.loop(), this->Log,
              [this](const auto &Seeds) { this->Service.setSeeds(Seeds); });
}

void SeededControlProcess::drain() {
  this->Node.loop().post([this](Instant) { this->Service.leave(); });
  bool HasLeft = waitUntil(this->Plan.Times.ShutdownGrace / LeaveShareOfGrace,
                           [this] { return this->MayStop.load(); });
  if (!HasLeft)
    this->Log.warning("Control replica {} stops before its vote could be "
                      "handed over.",
                      this->Replica);
  waitUntil(ProposalTimeout,
            [this] { return this->OpenProposals.load() == 0; });
  this->Node.loop().post([this](Instant Now) { this->Service.drain(Now); });
  constexpr std::chrono::milliseconds Flush{200};
  std::this_thread::sleep_for(Flush);
  this->stop();
}

void SeededControlProcess::publishMetrics(Instant Now) {
  if (Now.Steady < this->NextMetrics)
    return;
  this->NextMetrics = Now.Steady + MetricsInterval;
  const RaftNode &Raft = this->Service.raft();
  std::string Text;
  Text += metricLine("yardwheel_control_leads", Raft.leads() ? 1 : 0);
  Text += metricLine("yardwheel_control_term", Raft.term());
  Text += metricLine("yardwheel_control_commit_index", Raft.commitIndex());
  Text += metricLine("yardwheel_control_replicas",
                     Raft.log().replicas().replicas_size());
  Text +=
      metricLine("yardwheel_members", this->Service.members().entries().size());
  Text += metricLine("yardwheel_route_table_version",
                     this->Service.catalog().routes().version());
  Text += metricLine("yardwheel_evacuations_active",
                     this->Service.catalog().activeEvacuations());
  Text += metricLine("yardwheel_control_log_bytes", Raft.log().bytes());
  std::vector<LinkLoad> Loads = this->Node.links().loads();
  std::size_t Unacked = 0;
  for (const LinkLoad &Load : Loads)
    Unacked += Load.UnackedBytes;
  Text += metricLine("yardwheel_link_unacked_bytes", Unacked);
  this->logMemory(Loads, Now);
  Text += describeProcess(this->Node, this->OperatorServer, this->Memory,
                          this->memoryHolders(), this->Log);
  this->Metrics->publish(std::move(Text));
}

std::vector<MemoryHolder> SeededControlProcess::memoryHolders() const {
  const RaftLog &Log = this->Service.raft().log();
  return {{"log", Log.bytes() - Log.snapshotBytes()},
          {"snapshot", Log.snapshotBytes()},
          {"configuration", this->Service.catalog().routes().SpaceUsedLong()},
          {"members", this->Service.members().bytes()},
          {"heartbeats", this->Service.heldHeartbeatBytes()}};
}

void SeededControlProcess::logMemory(const std::vector<LinkLoad> &Loads,
                                     Instant Now) const {
  const RaftNode &Raft = this->Service.raft();
  const LinkCounters &Counters = this->Node.links().counters();
  HeapUse Heap = heapUse();
  this->Log.decision("control_memory",
                     {{"resident_kb", residentBytes() / BytesPerKilobyte},
                      {"heap_used_kb", Heap.InUse / BytesPerKilobyte},
                      {"heap_free_kb", Heap.Free / BytesPerKilobyte},
                      {"work_waiting", this->Node.loop().workWaiting()},
                      {"heartbeat_bytes", this->Service.heldHeartbeatBytes()},
                      {"leads", Raft.leads()},
                      {"links", describeLoads(Loads)},
                      {"followers", describeFollowers(Raft, Now.Steady)},
                      {"log_entries", Raft.log().size()},
                      {"log_bytes", Raft.log().bytes()},
                      {"members", this->Service.members().entries().size()},
                      {"member_bytes", this->Service.members().bytes()},
                      {"bytes_sent", Counters.BytesSent.load()},
                      {"streams_opened", Counters.StreamsOpened.load()},
                      {"streams_inbound", this->Node.inboundStreams()},
                      {"behind_ms", asMillis(this->Node.loop().behindTime())}});
}

void SeededControlProcess::logLeaderless(Instant Now) {
  Duration Leaderless = this->Service.leaderlessTime(Now);
  if (Leaderless < LeaderlessLogInterval ||
      Now.Steady < this->NextLeaderlessLog)
    return;
  this->NextLeaderlessLog = Now.Steady + LeaderlessLogInterval;
  const RaftNode &Raft = this->Service.raft();
  std::string Replicas;
  for (const peer::Replica &Known : Raft.log().replicas().replicas()) {
    if (Known.name() == this->Replica)
      continue;
    Replicas += fmt::format(
        "{}{}{}: heard {}, {}", Replicas.empty() ? "" : "; ", Known.name(),
        Known.learner() ? " (learner)" : "",
        describeAge(this->Service.lastHeard(Known.name()), Now.Steady),
        describeLink(this->Node.links().stateOf(Known.address()), Now.Steady));
  }
  std::string Seeds;
  for (const ControlPeer &Seed : this->Plan.Seeds)
    Seeds += fmt::format(
        "{}{}: {}", Seeds.empty() ? "" : "; ", Seed.Address,
        describeLink(this->Node.links().stateOf(Seed.Address), Now.Steady));
  this->Log.decision("leaderless",
                     {{"for_ms", asMillis(Leaderless)},
                      {"term", Raft.term()},
                      {"votes", Raft.isVoter()},
                      {"last_index", Raft.log().lastIndex()},
                      {"commit_index", Raft.commitIndex()},
                      {"replicas_index", Raft.log().replicasIndex()},
                      {"replicas", Replicas},
                      {"seeds", Seeds},
                      {"lost_disks", describeLosses(Raft.lossReports())},
                      {"behind_ms", asMillis(this->Node.loop().behindTime())}});
}

void SeededControlProcess::stop() {
  this->OperatorServer.stop();
  this->MetricsServer.stop();
  this->Node.stop();
}

} // namespace

std::unique_ptr<Process> startSeededControl(const NodePlan &Plan) {
  try {
    return std::make_unique<SeededControlProcess>(Plan);
  } catch (const CorruptFile &Problem) {
    // Each further start would end in the same way. A replica that forgets its
    // votes and entries must not return under its name: it joins as one whose
    // disk was lost.
    Logger("control").error("{}. The files are moved aside, and this replica "
                            "joins with an empty log.",
                            Problem.what());
    setDamagedAside(Plan.DataDir);
    NodePlan Joining = Plan;
    Joining.Bootstrap = false;
    return std::make_unique<SeededControlProcess>(Joining);
  }
}

} // namespace yardwheel
