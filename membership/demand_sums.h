//===- membership/demand_sums.h - Demand over all entries -------*- C++ -*-===//
///
/// \file
/// What the callers of all entries ask for, as the leader of control adds it up
/// from heartbeats. Kept in memory only.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_MEMBERSHIP_DEMAND_SUMS_H
#define YARDWHEEL_MEMBERSHIP_DEMAND_SUMS_H

#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

class DemandSums {
public:
  /// \param Lease Time without a heartbeat after which an entry is lost.
  explicit DemandSums(std::chrono::milliseconds Lease) : Lease(Lease) {}

  /// Forgets all demand, at the start of a leader's term. Nothing is told until
  /// every live entry has had time for a heartbeat.
  void reset(TimePoint Now);
  void onHeartbeat(const peer::Heartbeat &Request, TimePoint Now);
  /// Adds the sums to the reply to a heartbeat, if any entry has reported its
  /// demand. Agents get them only if they ask for members, since others do not
  /// decide on jobs.
  void addTo(peer::HeartbeatReply &Reply, const peer::Heartbeat &Request,
             TimePoint Now);

private:
  struct Part {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    TimePoint Received;
    std::vector<peer::RouteDemand> Rows;
  };
  void dropLost(TimePoint Now);

  std::chrono::milliseconds Lease;
  TimePoint SettledAt = TimePoint::min();
  std::map<std::string, Part> Parts;
};

} // namespace yardwheel

#endif
