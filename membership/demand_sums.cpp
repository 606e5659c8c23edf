#include "membership/demand_sums.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace yardwheel {

namespace {

/// Time after a leader's start within which each live entry has sent a
/// heartbeat. Two of their intervals.
constexpr std::chrono::milliseconds SettlingTime{1000};
/// Maximum number of rows accepted from an entry, and in the sum.
constexpr std::size_t MaxRows = 16;

} // namespace

void DemandSums::reset(TimePoint Now) {
  this->SettledAt = Now + SettlingTime;
  this->Parts.clear();
}

void DemandSums::onHeartbeat(const peer::Heartbeat &Request, TimePoint Now) {
  const peer::Member &Sender = Request.member();
  if (Sender.role() != peer::ROLE_ENTRY)
    return;
  if (Request.demand().empty() && !this->Parts.contains(Sender.name()))
    return;
  Part &Known = this->Parts[Sender.name()];
  auto Order = std::pair(Sender.incarnation(), Request.sequence());
  // Heartbeats may overtake each other.
  if (Order < std::pair(Known.Incarnation, Known.Sequence))
    return;
  std::tie(Known.Incarnation, Known.Sequence) = Order;
  Known.Received = Now;
  Known.Rows.assign(Request.demand().begin(), Request.demand().end());
  if (Known.Rows.size() > MaxRows)
    Known.Rows.resize(MaxRows);
}

void DemandSums::dropLost(TimePoint Now) {
  std::erase_if(this->Parts, [&](const auto &Item) {
    return Now - Item.second.Received > this->Lease;
  });
}

void DemandSums::addTo(peer::HeartbeatReply &Reply,
                       const peer::Heartbeat &Request, TimePoint Now) {
  bool IsAgent = Request.member().role() == peer::ROLE_AGENT;
  if (Now < this->SettledAt || (IsAgent && !Request.wants_members()))
    return;
  this->dropLost(Now);
  std::map<std::pair<std::string, std::string>, std::uint64_t> Sums;
  TimePoint Oldest = Now;
  for (const auto &[Entry, Known] : this->Parts) {
    Oldest = std::min(Oldest, Known.Received);
    for (const peer::RouteDemand &Row : Known.Rows)
      Sums[{Row.route(), Row.data_centre()}] += Row.cpu_milli();
  }
  if (Sums.empty())
    return;
  std::vector<
      std::pair<std::uint64_t, const std::pair<std::string, std::string> *>>
      Order;
  Order.reserve(Sums.size());
  for (const auto &[Pair, CpuMilli] : Sums)
    Order.emplace_back(CpuMilli, &Pair);
  std::ranges::sort(Order, [](const auto &First, const auto &Second) {
    return First.first != Second.first ? First.first > Second.first
                                       : *First.second < *Second.second;
  });
  if (Order.size() > MaxRows)
    Order.resize(MaxRows);
  for (const auto &[CpuMilli, Pair] : Order) {
    peer::RouteDemand *Row = Reply.add_demand();
    Row->set_route(Pair->first);
    Row->set_data_centre(Pair->second);
    Row->set_cpu_milli(static_cast<std::uint32_t>(std::min<std::uint64_t>(
        CpuMilli, std::numeric_limits<std::uint32_t>::max())));
  }
  Reply.set_demand_age_ms(
      static_cast<std::uint32_t>(millisBetween(Oldest, Now)));
}

} // namespace yardwheel
