#include "emulator/demand_exchange.h"

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds HeartbeatInterval{500};
/// Time from a heartbeat to the entry's next look at its demand and to the
/// arrival of the reply.
constexpr std::chrono::milliseconds ReplyTime{20};
constexpr std::chrono::milliseconds EntryLease{3000};

} // namespace

DemandExchange::DemandExchange(
    VirtualWorld &World,
    const std::vector<std::unique_ptr<LeasedEntry>> &Entries)
    : World(World), Sums(EntryLease) {
  std::chrono::milliseconds First{0};
  for (const auto &Entry : Entries) {
    // Entries have started at different times.
    First += HeartbeatInterval / Entries.size();
    World.after(First, [this, &Entry = *Entry] { this->exchange(Entry); });
  }
}

void DemandExchange::exchange(LeasedEntry &Entry) {
  this->World.after(HeartbeatInterval,
                    [this, &Entry] { this->exchange(Entry); });
  if (!this->World.isUp(Entry.name()))
    return;
  Instant Now = this->World.now();
  peer::Heartbeat Heartbeat;
  *Heartbeat.mutable_member() = Entry.member();
  Heartbeat.set_sequence(++this->Sequence);
  std::vector<peer::RouteDemand> Report =
      Entry.coordinator().shares()->report(Now);
  Heartbeat.mutable_demand()->Assign(Report.begin(), Report.end());
  this->Sums.onHeartbeat(Heartbeat, Now.Steady);
  peer::HeartbeatReply Reply;
  this->Sums.addTo(Reply, Heartbeat, Now.Steady);
  if (Reply.demand().empty())
    return;
  TimePoint Measured =
      Now.Steady - std::chrono::milliseconds(Reply.demand_age_ms());
  this->World.after(ReplyTime, [this, &Entry, Reply, Measured] {
    this->World.runOn(Entry.name(), [this, &Entry, Reply, Measured] {
      Entry.coordinator().shares()->onSums(
          {Reply.demand().begin(), Reply.demand().end()}, Measured,
          this->World.now());
    });
  });
}

} // namespace yardwheel
