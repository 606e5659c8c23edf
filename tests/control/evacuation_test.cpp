//===- Evacuations of data centres under failures of control --------------===//
//
// Guards against an acknowledged evacuation that is lost with its leader, its
// disks or an older build, and against nodes that go on placing tasks in an
// evacuated data centre.
//
//===----------------------------------------------------------------------===//

#include "tests/control/configured_node.h"
#include "tests/support/seeds.h"

#include <fmt/format.h>
#include <optional>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Hosts = 6;
constexpr std::uint32_t Voters = 5;
/// Time within which an acknowledged order must be in force at each node that
/// reaches control.
constexpr Duration OrderInForce = 5s;
const char *const DataCentres[] = {"hall-a", "hall-b"};

enum class PlantedFault {
  None,
  /// An entry forgets evacuations that an update does not name again.
  EntryForgets,
  /// Orders are acknowledged once the leader has appended them.
  AcknowledgedBeforeQuorum,
};

/// What an operator knows of a data centre.
struct Order {
  bool Active = false;
  TimePoint AcknowledgedAt;
  /// No later order has been given; its outcome would not be known yet.
  bool IsLatest = false;
};

/// Five voters and a learner, an entry and an agent. Records orders, and
/// compares what the nodes know with what was acknowledged.
class EvacuationScenario {
public:
  explicit EvacuationScenario(std::uint64_t Seed,
                              PlantedFault Fault = PlantedFault::None)
      : Cluster(Seed, Voters), Fault(Fault) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->Cluster.startEmpty(Host, /*First=*/true);
    this->Cluster.run(6s);
    this->Nodes.emplace_back(std::make_unique<ConfiguredNode>(
        this->Cluster, "entry", peer::ROLE_ENTRY,
        Fault == PlantedFault::EntryForgets));
    this->Nodes.emplace_back(std::make_unique<ConfiguredNode>(
        this->Cluster, "agent", peer::ROLE_AGENT));
    CHECK(this->Cluster.replace(1));
    this->runFor(1s);
  }

  /// Orders the start or the finish of an evacuation at the leader, if any.
  /// \param Lost Whether the acknowledgement does not reach the operator.
  void order(const std::string &DataCentre, bool Active, bool Lost = false) {
    ControlService *Leader = this->Cluster.leader();
    if (Leader == nullptr)
      return;
    this->Orders[DataCentre].IsLatest = false;
    std::uint64_t Number = ++this->LastNumber[DataCentre];
    auto Acknowledge = [this, DataCentre, Active, Lost, Number] {
      if (!Lost && this->LastNumber[DataCentre] == Number)
        this->Orders[DataCentre] = {Active, this->now(), /*IsLatest=*/true};
    };
    Leader->proposeEvacuation(
        DataCentre, Active, "", this->Cluster.World.now(),
        [this, Acknowledge](const ProposalOutcome &Outcome) {
          this->LastState = Outcome.State;
          bool IsDone = Outcome.State == ProposalState::Applied &&
                        Outcome.Result.verdict() == peer::CHANGE_DONE;
          if (IsDone && this->Fault != PlantedFault::AcknowledgedBeforeQuorum)
            Acknowledge();
        });
    if (this->Fault == PlantedFault::AcknowledgedBeforeQuorum)
      Acknowledge();
  }

  void runFor(Duration Length) {
    TimePoint End = this->now() + Length;
    while (this->now() < End) {
      this->Cluster.run(ConfiguredNode::Tick);
      this->checkNodes();
    }
  }

  /// Repairs everything, and compares what control holds then.
  void settle() {
    this->Cluster.World.reconnectAll();
    this->Cluster.World.setFaults({});
    for (const std::unique_ptr<ConfiguredNode> &Node : this->Nodes)
      this->Cluster.World.reconnect(Node->name());
    this->runFor(15s);
    ControlService *Leader = this->Cluster.leader();
    if (Leader == nullptr) {
      this->Violation = "no leader after the repair";
      return;
    }
    for (const auto &[DataCentre, Latest] : this->Orders) {
      auto Held = Leader->catalog().evacuations().find(DataCentre);
      bool IsActive = Held != Leader->catalog().evacuations().end() &&
                      Held->second.active();
      if (Latest.IsLatest && IsActive != Latest.Active)
        this->Violation =
            fmt::format("control lost the order for {}", DataCentre);
    }
    for (const std::unique_ptr<ConfiguredNode> &Node : this->Nodes)
      if (Node->state() != TableState::Current)
        this->Violation = fmt::format("{} is still cut off", Node->name());
  }

  bool isActiveAt(std::size_t Host, const std::string &DataCentre) {
    const auto &All = this->Cluster.service(Host).catalog().evacuations();
    auto Found = All.find(DataCentre);
    return Found != All.end() && Found->second.active();
  }
  std::size_t leaderHost() {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      if (this->Cluster.World.isUp(SeededCluster::addressOf(Host)) &&
          this->Cluster.service(Host).raft().leads())
        return Host;
    return Hosts;
  }
  TimePoint now() { return this->Cluster.World.now().Steady; }

  SeededCluster Cluster;
  std::vector<std::unique_ptr<ConfiguredNode>> Nodes;
  std::map<std::string, Order> Orders;
  std::optional<ProposalState> LastState;
  std::string Violation;

private:
  /// A node that relies on its configuration must know each order that has
  /// been acknowledged for long enough.
  void checkNodes() {
    for (const std::unique_ptr<ConfiguredNode> &Node : this->Nodes) {
      if (Node->state() != TableState::Current)
        continue;
      std::set<std::string> Known = Node->evacuated();
      for (const auto &[DataCentre, Latest] : this->Orders) {
        bool IsDue = Latest.IsLatest &&
                     this->now() - Latest.AcknowledgedAt > OrderInForce;
        if (IsDue && Known.contains(DataCentre) != Latest.Active)
          this->Violation = fmt::format(
              "{} does not know the order for {} after {} ms", Node->name(),
              DataCentre, millisBetween(Latest.AcknowledgedAt, this->now()));
      }
    }
  }

  PlantedFault Fault;
  std::map<std::string, std::uint64_t> LastNumber;
};

/// Random orders among kills, lost disks, power losses, cuts and lost messages.
/// \returns the violation found, or an empty string.
std::string playRandomOrders(std::uint64_t Seed, PlantedFault Fault) {
  EvacuationScenario Scenario(Seed, Fault);
  SeededCluster &Cluster = Scenario.Cluster;
  std::mt19937_64 Random(Seed);
  auto Draw = [&Random](std::uint64_t Below) { return Random() % Below; };
  for (int Round = 0; Round < 8 && Scenario.Violation.empty(); ++Round) {
    // Drawn one by one: compilers evaluate arguments in different orders, and
    // a seed has to give the same scenario on every processor.
    bool IsLost = Draw(4) == 0;
    bool IsActive = Draw(3) > 0;
    Scenario.order(DataCentres[Draw(2)], IsActive, IsLost);
    // A failure meets most orders before they are committed.
    Scenario.runFor(std::chrono::milliseconds(Draw(60)));
    std::size_t Leader = Scenario.leaderHost();
    std::size_t Host = Draw(2) == 0 && Leader < Hosts ? Leader : Draw(Hosts);
    std::size_t Other = (Host + 1 + Draw(Hosts - 1)) % Hosts;
    auto Length = std::chrono::milliseconds(Draw(4000));
    switch (Draw(6)) {
    case 0: // Two hosts lose their disks, the number to be borne.
      Cluster.kill(Host);
      Cluster.kill(Other);
      Scenario.runFor(Length);
      Cluster.startEmpty(Host, /*First=*/false);
      Cluster.startEmpty(Other, /*First=*/false);
      // Replaced before the next disks are lost.
      Scenario.runFor(8s);
      break;
    case 1: // All hosts lose power at once.
      for (std::size_t I = 0; I < Hosts; ++I)
        Cluster.kill(I);
      Scenario.runFor(Length);
      for (std::size_t I = 0; I < Hosts; ++I)
        Cluster.start(I);
      break;
    case 2:
      Cluster.kill(Host);
      Scenario.runFor(Length);
      Cluster.start(Host);
      break;
    case 3:
      Cluster.World.isolate(SeededCluster::addressOf(Host));
      Scenario.runFor(Length);
      Cluster.World.reconnect(SeededCluster::addressOf(Host));
      break;
    case 4:
      Cluster.World.isolate(Scenario.Nodes[Draw(2)]->name());
      Scenario.runFor(Length);
      for (const auto &Node : Scenario.Nodes)
        Cluster.World.reconnect(Node->name());
      break;
    default:
      Cluster.World.setFaults(
          {.LossPermille = 200, .DuplicatePermille = 100, .Jitter = 30ms});
      Scenario.runFor(Length);
      Cluster.World.setFaults({});
      break;
    }
    Scenario.runFor(8s);
  }
  if (Scenario.Violation.empty())
    Scenario.settle();
  return Scenario.Violation;
}

} // namespace

TEST_GROUP(EvacuationTest){};

TEST(EvacuationTest,
     AnAcknowledgedOrderIsInForceEverywhereAndOutlivesItsLeader) {
  EvacuationScenario Scenario(1);
  Scenario.order("hall-a", true);
  Scenario.runFor(1s);
  CHECK(Scenario.Orders["hall-a"].IsLatest);
  for (const auto &Node : Scenario.Nodes)
    CHECK_TEXT(Node->evacuated().contains("hall-a"), Node->name().c_str());
  std::size_t Leader = Scenario.leaderHost();
  Scenario.Cluster.kill(Leader);
  Scenario.runFor(5s);
  Scenario.Cluster.startEmpty(Leader, /*First=*/false);
  Scenario.runFor(10s);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    CHECK(Scenario.isActiveAt(Host, "hall-a"));
  Scenario.order("hall-a", false);
  Scenario.runFor(6s);
  for (const auto &Node : Scenario.Nodes)
    CHECK(Node->evacuated().empty());
  STRCMP_EQUAL("", Scenario.Violation.c_str());
}

TEST(EvacuationTest, OrdersMayBeRepeatedAndComeInAnyOrder) {
  struct Row {
    const char *Name;
    std::vector<bool> Orders;
    bool Active;
  };
  const Row Rows[] = {{"finished only", {false}, false},
                      {"started twice", {true, true}, true},
                      {"finished twice", {true, false, false}, false},
                      {"finished first", {false, true}, true},
                      {"started again", {true, false, true}, true}};
  for (const Row &Row : Rows) {
    EvacuationScenario Scenario(2);
    for (bool Active : Row.Orders) {
      Scenario.order("no-such-hall", Active);
      Scenario.runFor(1s);
      CHECK_TEXT(Scenario.LastState == ProposalState::Applied, Row.Name);
    }
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      CHECK_EQUAL_TEXT(Row.Active, Scenario.isActiveAt(Host, "no-such-hall"),
                       Row.Name);
  }
}

// A replica of an older build applies an order as nothing, so its snapshot
// would lose it.
TEST(EvacuationTest, OrdersAreRefusedWhileAnOlderReplicaReplies) {
  EvacuationScenario Scenario(3);
  std::size_t Old = (Scenario.leaderHost() + 1) % Hosts;
  Scenario.Cluster.kill(Old);
  Scenario.Cluster.LogFormats[Old] = 0;
  Scenario.Cluster.start(Old);
  Scenario.runFor(2s);
  Scenario.order("hall-a", true);
  Scenario.runFor(1s);
  CHECK(Scenario.LastState == ProposalState::Unsupported);
  CHECK_FALSE(Scenario.isActiveAt(Scenario.leaderHost(), "hall-a"));
  // Nor is it waited for, once it is gone.
  Scenario.Cluster.kill(Old);
  Scenario.Cluster.LogFormats.erase(Old);
  Scenario.Cluster.start(Old);
  Scenario.runFor(2s);
  Scenario.order("hall-a", true);
  Scenario.runFor(1s);
  CHECK(Scenario.LastState == ProposalState::Applied);
}

TEST(EvacuationTest, AnOlderReplicaIsNotElectedDuringAnEvacuation) {
  EvacuationScenario Scenario(4);
  Scenario.order("hall-a", true);
  Scenario.runFor(1s);
  // Every other replica may be elected.
  std::size_t Old = (Scenario.leaderHost() + 1) % Hosts;
  Scenario.Cluster.kill(Old);
  Scenario.Cluster.LogFormats[Old] = 0;
  Scenario.Cluster.start(Old);
  for (int Change = 0; Change < 12; ++Change) {
    Scenario.runFor(2s);
    CHECK(Scenario.leaderHost() < Hosts);
    CHECK(Scenario.leaderHost() != Old);
    Scenario.Cluster.leader()->drain(Scenario.Cluster.World.now());
  }
}

// ---- Fuzzing ----

TEST_GROUP(EvacuationFuzzTest){};

TEST(EvacuationFuzzTest, NoAcknowledgedOrderIsLostOrUnknownInRandomScenarios) {
  SeedRange Range = seedRange(/*DefaultCount=*/60);
  for (std::uint64_t Seed = Range.First; Seed <= Range.Last; ++Seed) {
    std::string Found = playRandomOrders(Seed, PlantedFault::None);
    CHECK_TEXT(Found.empty(), fmt::format("seed {}: {}", Seed, Found).c_str());
  }
}

TEST(EvacuationFuzzTest, PlantedFaultsAreFound) {
  struct Row {
    const char *Name;
    PlantedFault Fault;
  };
  const Row Rows[] = {
      {"an entry forgets", PlantedFault::EntryForgets},
      {"acknowledged before a quorum", PlantedFault::AcknowledgedBeforeQuorum}};
  for (const Row &Row : Rows) {
    std::string Found;
    std::uint64_t Seed = 0;
    while (Found.empty() && Seed < 60)
      Found = playRandomOrders(++Seed, Row.Fault);
    CHECK_TEXT(!Found.empty(), Row.Name);
  }
}
