//===- main/lease_wiring.h - Wiring of roles on the platform --*- C++ -*-===//
#ifndef YARDWHEEL_MAIN_LEASE_WIRING_H
#define YARDWHEEL_MAIN_LEASE_WIRING_H

#include "coordination/lease_coordinator.h"
#include "core/process_memory.h"
#include "entry/table_lease.h"
#include "http/http_server.h"
#include "main/wiring.h"
#include "settings/node_plan.h"
#include "transport/link_node.h"

#include <cmath>

namespace yardwheel {

/// The cluster name of every process of a deployment. One name suffices because
/// two deployments never share a network.
constexpr const char *DeployedCluster = "yardwheel";

/// Interval between ticks of the decision code. Each tick wakes the process,
/// which costs noticeable time on a small share of a core; every timeout here
/// lasts several ticks.
constexpr std::chrono::milliseconds LeaseTick{20};

/// Interval between heartbeats to control. Several fit into the time within
/// which a configuration change must be in force.
constexpr std::chrono::milliseconds ControlHeartbeat{500};

/// Subtracted from the time within which a configuration change must be in
/// force. It covers clock drift and the time between the check of the table's
/// age and the acceptance of a request (well below a millisecond unless the
/// thread is delayed). The remaining time covers two lost heartbeats and a
/// reply that takes 200 ms.
constexpr std::chrono::milliseconds TableAgeMargin{250};

/// Returns the options of an entry's route table lease. The maximum age is
/// never below what heartbeats can sustain, because a healthy entry would then
/// refuse requests.
inline TableLeaseOptions planTableLease(const NodePlan &Plan) {
  TableLeaseOptions Options;
  Options.MaxAge = std::max(Plan.Times.MaxConfigDelay - TableAgeMargin,
                            ControlHeartbeat + TableAgeMargin);
  return Options;
}

/// Interval between an entry's renewals of its lease at an agent. It is less
/// than half of the agents' lease, so that one lost message ends no lease.
constexpr std::chrono::milliseconds CoordinatorRenewal{300};

/// Upper bound on placements per microsecond, the unit of incarnations. It is
/// far above the real rate, so that no two incarnations use the same order
/// number.
constexpr std::uint64_t MaxOrdersPerMicrosecond = 1000;

/// Returns the options of a coordinator in this incarnation of a process.
inline CoordinatorOptions planCoordinator(const NodePlan &Plan,
                                          std::uint64_t Incarnation) {
  CoordinatorOptions Options;
  Options.Seed = Incarnation;
  Options.Name = Plan.Node;
  Options.FirstOrder = Incarnation * MaxOrdersPerMicrosecond;
  Options.RenewalInterval = CoordinatorRenewal;
  Options.Shedder.Values = Plan.RouteValues;
  Options.Deadlines.Enabled = Plan.RefusesHopelessJobs;
  Options.SendsPriority = Plan.UsesQueuePriority;
  if (Plan.KeepsShares) {
    Options.Shares.emplace();
    Options.Shares->MaxPressure = Options.Shedder.MaxRouteLimit;
    Options.Shares->UsesOwnDemand = Plan.Role == NodeRole::Entry;
  }
  Options.FirstContacts.MaxUnanswered = Plan.MaxFirstContacts;
  Options.FirstContacts.DataCentre = Plan.DataCentre;
  Options.Workers.OffRackFactor = Plan.OffRackFactor;
  Options.Workers.UseRunTimes = Plan.LearnsSpeeds;
  return Options;
}

/// Interval between updates of a process's metrics page; the platform reads it
/// less often.
constexpr std::chrono::milliseconds MetricsInterval{2000};

/// Returns a duration in whole milliseconds.
inline std::int64_t asMillis(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/// Returns a share as a whole number of percent.
inline int asPercent(double Share) {
  constexpr double Percent = 100;
  return static_cast<int>(std::lround(Share * Percent));
}

/// Returns the metric lines common to all roles, which end each metrics page,
/// and logs the memory if it is high. \param Holders What the role holds beside
/// its links and its configuration.
std::string describeProcess(LinkNode &Node, const HttpServer &Server,
                            MemoryReport &Memory,
                            std::vector<MemoryHolder> Holders,
                            const Logger &Log);

/// Maximum size of a request body in bytes; any configuration or job fits.
constexpr std::size_t MaxBodyBytes = 1048576;

/// Part of the memory limit, as a divisor, that the bodies of requests may
/// take. A configuration takes several times its body while it is read.
constexpr std::size_t InputShareOfMemory = 32;

inline std::size_t planInput(const NodePlan &Plan) {
  return Plan.Limits.MemoryBytes / InputShareOfMemory;
}

inline LinkIdentity planIdentity(const NodePlan &Plan, peer::Role Role,
                                 std::uint64_t Incarnation) {
  return {DeployedCluster, Role, Plan.Node, Plan.LinkListen, Incarnation};
}

inline LinkOptions planLinks(const NodePlan &Plan) {
  LinkOptions Options;
  Options.TwoWay = Plan.SharesLinks;
  limitHeldBytes(Options, Plan.Limits.MemoryBytes);
  return Options;
}

/// Returns the seeds by address only: a replica's name is unknown until it
/// sends a message.
inline std::vector<PeerRef> seedPeers(const NodePlan &Plan) {
  std::vector<PeerRef> Peers;
  for (const ControlPeer &Seed : Plan.Seeds)
    Peers.push_back({"", Seed.Address});
  return Peers;
}

/// Reads the settings again and calls \p Take on the loop's thread with the
/// control replicas that they name. Invalid settings are logged and ignored.
void reloadSeeds(
    EventLoop &Loop, const Logger &Log,
    const std::function<void(const std::vector<PeerRef> &Seeds)> &Take);

inline AnnouncerOptions planAnnouncer(const NodePlan &Plan) {
  return {seedPeers(Plan), ControlHeartbeat};
}

/// How long an entry waits for a heartbeat reply before it asks other replicas,
/// and the interval between those requests. Both are short because callers
/// wait: with six replicas, all have been asked 0.6 s after an unanswered
/// request, and 0.6 s later the entry knows that none is reachable, within the
/// maximum age of its table.
constexpr std::chrono::milliseconds EntrySearchDelay{250};
constexpr std::chrono::milliseconds EntrySearchInterval{60};

inline AnnouncerOptions planEntryAnnouncer(const NodePlan &Plan) {
  AnnouncerOptions Options = planAnnouncer(Plan);
  Options.SearchDelay = EntrySearchDelay;
  Options.SearchInterval = EntrySearchInterval;
  Options.SearchAtStart = true;
  return Options;
}

inline peer::Member planMember(const NodePlan &Plan, peer::Role Role,
                               std::uint64_t Incarnation) {
  peer::Member Self;
  Self.set_name(Plan.Node);
  Self.set_role(Role);
  Self.set_incarnation(Incarnation);
  Self.set_address(Plan.LinkListen);
  Self.set_data_centre(Plan.DataCentre);
  Self.set_state(peer::MEMBER_ALIVE);
  Self.set_coordinates(Role == peer::ROLE_AGENT && Plan.CoordinatesForEntries);
  return Self;
}

} // namespace yardwheel

#endif
