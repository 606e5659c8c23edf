//===- main/lease_wiring.h - Wiring of roles in a planned node --*- C++ -*-===//
#ifndef YARDWHEEL_MAIN_LEASE_WIRING_H
#define YARDWHEEL_MAIN_LEASE_WIRING_H

#include "entry/table_lease.h"
#include "http/http_server.h"
#include "main/wiring.h"
#include "settings/node_plan.h"
#include "transport/link_node.h"

namespace yardwheel {

/// All processes of a deployment belong to one cluster; two deployments never
/// share a network.
constexpr const char *DeployedCluster = "yardwheel";

/// How often decision code is told of the time: each call wakes the process,
/// which a small share of a core feels, and no time-out here is shorter than
/// some of these.
constexpr std::chrono::milliseconds LeaseTick{20};

/// Between heartbeats to control: several within the time in which a change
/// of configuration has to be in force.
constexpr std::chrono::milliseconds ControlHeartbeat{500};

/// Kept of the time in which a change has to be in force, for what follows the
/// look at the table's age until a request is taken (well below a millisecond,
/// unless the thread is held up) and for the drift of clocks. The rest lasts
/// for two lost heartbeats and an answer that takes 200 ms.
constexpr std::chrono::milliseconds TableAgeMargin{250};

/// The age up to which an entry takes its route table for the newest. Not below
/// what heartbeats can keep up, else a healthy entry would refuse.
inline TableLeaseOptions planTableLease(const NodePlan &Plan) {
  TableLeaseOptions Options;
  Options.MaxAge = std::max(Plan.Times.ChangeInForce - TableAgeMargin,
                            ControlHeartbeat + TableAgeMargin);
  return Options;
}

/// Between an entry's renewals of its lease at an agent. Less than half of the
/// agents' lease, so that one lost message ends none.
constexpr std::chrono::milliseconds CoordinatorRenewal{300};

/// Between two texts of a process's metrics; the platform reads them less
/// often.
constexpr std::chrono::milliseconds MetricsInterval{2000};

/// What each role's metrics end with.
std::string describeProcess(LinkNode &Node, const HttpServer &Server);

/// Large enough for any configuration or job on the wire.
constexpr std::size_t MaxBodyBytes = 1048576;

inline LinkIdentity planIdentity(const NodePlan &Plan, peer::Role Role,
                                 std::uint64_t Incarnation) {
  return {DeployedCluster, Role, Plan.Node, Plan.LinkListen, Incarnation};
}

/// Seeds by address: a replica's name is not known before it is heard.
inline std::vector<PeerRef> seedPeers(const NodePlan &Plan) {
  std::vector<PeerRef> Peers;
  for (const ControlPeer &Seed : Plan.Seeds)
    Peers.push_back({"", Seed.Address});
  return Peers;
}

/// Reads the settings again and hands \p Take, on the loop, the control
/// replicas that they name.
void reloadSeeds(
    EventLoop &Loop, const Logger &Log,
    const std::function<void(const std::vector<PeerRef> &Seeds)> &Take);

inline AnnouncerOptions planAnnouncer(const NodePlan &Plan) {
  return {seedPeers(Plan), ControlHeartbeat};
}

/// An entry looks for another leader at once, as its callers wait for it: with
/// six replicas it has asked all 0.6 s after a question that stays unanswered,
/// and knows 0.6 s later that none can be reached, within its table's age.
constexpr std::chrono::milliseconds EntrySearchDelay{250};
constexpr std::chrono::milliseconds EntrySearchInterval{60};

inline AnnouncerOptions planEntryAnnouncer(const NodePlan &Plan) {
  AnnouncerOptions Options = planAnnouncer(Plan);
  Options.SearchDelay = EntrySearchDelay;
  Options.SearchInterval = EntrySearchInterval;
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
  return Self;
}

} // namespace yardwheel

#endif
