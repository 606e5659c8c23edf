//===- bench/protocol_main.cpp - Costs of the protocols -------------------===//
///
/// \file
/// Prints the cost of a claim, the time until a configuration change is in
/// force and its bytes, the time to catch up after missed changes, and the time
/// of elections. All run in virtual time, so the results are the same on every
/// machine. The one-way delay between any two nodes is 1 ms, as the
/// requirements of the trading unit give it.
///
//===----------------------------------------------------------------------===//

#include "emulator/virtual_cluster.h"

#include <algorithm>
#include <fmt/format.h>

namespace {

using namespace yardwheel;
using namespace std::chrono_literals;

constexpr double MicrosPerMilli = 1000;

double millis(Duration Time) {
  return static_cast<double>(Time.count()) / MicrosPerMilli;
}

std::string quantiles(std::vector<double> Values) {
  if (Values.empty())
    return "none";
  std::sort(Values.begin(), Values.end());
  auto At = [&](double Share) {
    return Values[std::min(
        Values.size() - 1,
        static_cast<std::size_t>(Share * static_cast<double>(Values.size())))];
  };
  return fmt::format("p50 {:.1f}, p99 {:.1f} (n {})", At(0.5), At(0.99),
                     Values.size());
}

void measureClaim(std::size_t Tasks) {
  ClusterOptions Options;
  Options.Agents = 11;
  Options.Slots = 200;
  Options.QueueLimit = 5000;
  VirtualCluster Cluster(Options);
  Cluster.settle();
  std::uint64_t Claims = 0;
  std::uint64_t ClaimBytes = 0;
  TimePoint FirstDispatch = TimePoint::max();
  Cluster.World.setFilter(
      [&](const PeerRef &, const PeerRef &, const peer::Message &Message) {
        if (Message.has_claim_request() || Message.has_claim_reply()) {
          ++Claims;
          ClaimBytes += Message.ByteSizeLong();
        }
        if (Message.has_dispatch())
          FirstDispatch = std::min(FirstDispatch, Cluster.World.now().Steady);
        return Duration(0);
      });
  TimePoint Start = Cluster.World.now().Steady;
  Cluster.submit("e1", Cluster.makeJob("job", Tasks));
  Cluster.run(5s);
  fmt::print("claim, {:>4} tasks: {:.1f} ms before the first dispatch, {} "
             "messages, {} bytes, {:.4f} messages a task\n",
             Tasks, millis(FirstDispatch - Start), Claims, ClaimBytes,
             static_cast<double>(Claims) / static_cast<double>(Tasks));
}

peer::Change weightChange(int Number);
ClusterOptions withControl(std::uint64_t Seed);

/// Measures the alternative to claims: one entry of the control log for each
/// job. The syncs of the replicas take no virtual time, so their cost is added
/// here.
void measureSyncedEntry() {
  constexpr Duration SyncCharge = 5ms;
  constexpr Duration ToLeaderAndBack = 2ms;
  VirtualCluster Cluster(withControl(7));
  Cluster.settle();
  std::uint64_t Messages = 0;
  bool Counting = false;
  Cluster.World.setFilter(
      [&](const PeerRef &, const PeerRef &, const peer::Message &Message) {
        bool Append = Message.has_raft() &&
                      (Message.raft().append_request().entries_size() > 0 ||
                       Message.raft().has_append_reply());
        Messages += Counting && Append ? 1 : 0;
        return Duration(0);
      });
  TimePoint Start = Cluster.World.now().Steady;
  TimePoint End = Start;
  Counting = true;
  Cluster.control(Cluster.leader())
      ->propose(weightChange(1), Cluster.World.now(),
                [&](const ProposalOutcome &) {
                  End = Cluster.World.now().Steady;
                  Counting = false;
                });
  Cluster.run(1s);
  // The leader syncs before it sends, a follower before it replies.
  Duration Total = End - Start + ToLeaderAndBack + 2 * SyncCharge;
  fmt::print("a synced entry a job instead: {:.1f} ms before the first "
             "dispatch with 5 ms charged a sync, {} messages of the log until "
             "the commit and 2 of the entry\n",
             millis(Total), Messages);
}

peer::Change weightChange(int Number) {
  peer::Change Change;
  Change.set_id(fmt::format("change{}", Number));
  peer::SetWorkspace *Body = Change.mutable_set_workspace();
  Body->set_name("bids");
  Body->mutable_parameters()->set_weight(1 + Number % 1000);
  return Change;
}

ClusterOptions withControl(std::uint64_t Seed) {
  ClusterOptions Options;
  Options.Seed = Seed;
  Options.Controls = 3;
  Options.Agents = 11;
  return Options;
}

std::vector<std::string> nodes() {
  std::vector<std::string> Names = {"e1", "e2"};
  for (int I = 1; I <= 11; ++I)
    Names.push_back(fmt::format("a{}", I));
  return Names;
}

bool isInForce(const VirtualCluster &Cluster, std::uint64_t Revision) {
  std::vector<std::string> Names = nodes();
  return std::all_of(Names.begin(), Names.end(), [&](const std::string &Name) {
    return Cluster.catalogOf(Name).revision() >= Revision;
  });
}

void measureChanges(std::uint32_t LossPermille) {
  VirtualCluster Cluster(withControl(3));
  Cluster.settle();
  NetworkFaults Faults;
  Faults.LossPermille = LossPermille;
  Cluster.World.setFaults(Faults);
  std::uint64_t Pushed = 0;
  std::uint64_t Pushes = 0;
  Cluster.World.setFilter(
      [&](const PeerRef &, const PeerRef &, const peer::Message &Message) {
        if (Message.has_heartbeat_reply() &&
            Message.heartbeat_reply().has_catalog()) {
          Pushed += Message.ByteSizeLong();
          ++Pushes;
        }
        return Duration(0);
      });
  std::vector<double> Times;
  constexpr int Changes = 300;
  for (int I = 0; I < Changes; ++I) {
    TimePoint Start = Cluster.World.now().Steady;
    std::uint64_t Revision = 0;
    ControlService *Leader = Cluster.control(Cluster.leader());
    if (Leader == nullptr)
      continue;
    Leader->propose(weightChange(I), Cluster.World.now(),
                    [&](const ProposalOutcome &Outcome) {
                      Revision = Outcome.Result.revision();
                    });
    while (Cluster.World.now().Steady - Start < 9s &&
           (Revision == 0 || !isInForce(Cluster, Revision)))
      Cluster.run(1ms);
    Times.push_back(millis(Cluster.World.now().Steady - Start));
  }
  fmt::print("change, {} % of messages lost: ms until in force at 13 nodes {}; "
             "{:.0f} bytes a push, {:.2f} pushes a node and change\n",
             LossPermille / 10, quantiles(Times),
             static_cast<double>(Pushed) / static_cast<double>(Pushes),
             static_cast<double>(Pushes) / (13.0 * Changes));
}

void measureCatchUp() {
  VirtualCluster Cluster(withControl(5));
  Cluster.settle();
  Cluster.World.isolate("a11");
  for (int I = 0; I < 500; ++I) {
    Cluster.control(Cluster.leader())
        ->propose(weightChange(I), Cluster.World.now(), [](const auto &) {});
    Cluster.run(10ms);
  }
  std::uint64_t Newest =
      Cluster.control(Cluster.leader())->catalog().revision();
  Cluster.World.reconnect("a11");
  TimePoint Start = Cluster.World.now().Steady;
  while (Cluster.catalogOf("a11").revision() < Newest)
    Cluster.run(1ms);
  fmt::print("catch-up after 500 missed changes: {:.0f} ms, with heartbeats "
             "200 ms apart\n",
             millis(Cluster.World.now().Steady - Start));
}

void measureElections() {
  std::vector<double> Times;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    ClusterOptions Options = withControl(Seed);
    Options.Agents = 3;
    VirtualCluster Cluster(Options);
    Cluster.run(2s);
    std::string Old = Cluster.leader();
    Cluster.kill(Old);
    TimePoint Start = Cluster.World.now().Steady;
    while (Cluster.leader().empty())
      Cluster.run(1ms);
    Times.push_back(millis(Cluster.World.now().Steady - Start));
  }
  fmt::print("election after a killed leader, time-out 200 ms: ms {}\n",
             quantiles(Times));
}

} // namespace

int main() {
  for (std::size_t Tasks : {1U, 10U, 1300U})
    measureClaim(Tasks);
  measureSyncedEntry();
  measureChanges(0);
  measureChanges(100);
  measureCatchUp();
  measureElections();
  return 0;
}
