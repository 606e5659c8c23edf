//===- Memory that control holds for its nodes ----------------------------===//
//
// Regression test: control replicas ran out of memory. Each change of the
// configuration went to every node as a whole table, whether or not the earlier
// ones had been read, and each heartbeat that had piled up was answered with
// another one.
//
//===----------------------------------------------------------------------===//

#include "core/process_memory.h"
#include "tests/control/configured_node.h"
#include "transport/link_pool.h"

#include <deque>
#include <fmt/format.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = 80;
constexpr std::size_t Entries = 8;
constexpr std::size_t Routes = 800;
constexpr Duration ChangeInterval = 100ms;
constexpr Duration MaxConfigDelay = 2500ms;
/// Half of the memory limit of a control replica, 384 MB.
constexpr std::size_t MaxHeldBytes = 192 * BytesPerMegabyte;
/// What the link to each node carries.
constexpr std::size_t BytesPerSecond = 1 * BytesPerMegabyte;

peer::RouteTable tableOf(std::uint64_t Version) {
  peer::RouteTable Table;
  Table.set_version(Version);
  peer::RoutePool *Pool = Table.add_pools();
  Pool->set_name("pool");
  for (std::size_t I = 0; I < Routes; ++I) {
    peer::Route *Route = Table.add_routes();
    Route->set_name(fmt::format("route-{}", I));
    Route->set_host(fmt::format("host-{}.example", I));
    Route->set_path_prefix(fmt::format("/prefix-{}/", I));
    Route->set_pool("pool");
    Route->set_timeout_ms(1500);
    Table.mutable_document()->append(
        fmt::format(R"({{"name":"route-{0}","host":"host-{0}.example",)"
                    R"("pathPrefix":"/prefix-{0}/","kind":"unsafe",)"
                    R"("timeoutMs":1500,"sloMs":60,"priority":1,)"
                    R"("service":"pool","maxAttempts":2,"stretch":1.6,)"
                    R"("version":{1}}})",
                    I, Version));
  }
  return Table;
}

/// Links of a limited bandwidth from all control hosts to each node. What has
/// been sent and is not carried yet is held by the sender.
class SlowLinks {
public:
  explicit SlowLinks(SeededCluster &Cluster) : World(Cluster.World) {
    Cluster.Congested = [this](const PeerRef &To) {
      return this->heldFor(To.Address) > 0;
    };
    this->World.setFilter([this](const PeerRef &, const PeerRef &To,
                                 const peer::Message &Message) {
      return Message.has_heartbeat_reply()
                 ? this->carry(To.Address, Message.ByteSizeLong())
                 : Duration(0);
    });
  }

  /// Returns the most that was held at once, in encoded bytes.
  std::size_t peak() const { return this->Peak; }

private:
  struct Sent {
    TimePoint Carried;
    std::size_t Bytes;
  };

  Duration carry(const std::string &Address, std::size_t Bytes) {
    TimePoint Now = this->World.now().Steady;
    this->heldFor(Address);
    std::deque<Sent> &Link = this->Links[Address];
    TimePoint Start = Link.empty() ? Now : Link.back().Carried;
    Link.push_back(
        {Start + Duration(Bytes * 1'000'000 / BytesPerSecond), Bytes});
    this->Held += Bytes;
    this->Peak = std::max(this->Peak, this->Held);
    return Link.back().Carried - Now;
  }
  std::size_t heldFor(const std::string &Address) {
    TimePoint Now = this->World.now().Steady;
    std::deque<Sent> &Link = this->Links[Address];
    while (!Link.empty() && Link.front().Carried <= Now) {
      this->Held -= Link.front().Bytes;
      Link.pop_front();
    }
    return Link.size();
  }

  VirtualWorld &World;
  std::map<std::string, std::deque<Sent>> Links;
  std::size_t Held = 0;
  std::size_t Peak = 0;
};

class StormScenario {
public:
  StormScenario() : Cluster(/*Seed=*/1), Links(Cluster) {
    for (std::size_t Host = 0; Host < SeededCluster::Seeds; ++Host)
      this->Cluster.startEmpty(Host, /*First=*/true);
    this->Cluster.run(4s);
    this->change();
    for (std::size_t I = 0; I < Nodes; ++I)
      this->Known.push_back(std::make_unique<ConfiguredNode>(
          this->Cluster, fmt::format("node{}", I),
          I < Entries ? peer::ROLE_ENTRY : peer::ROLE_AGENT));
    this->Cluster.run(4s);
  }

  /// Replaces the table by the next one.
  void change() {
    peer::Change Change;
    *Change.mutable_replace_routes()->mutable_table() =
        tableOf(++this->Version);
    this->Cluster.leader()->propose(Change, this->Cluster.World.now(),
                                    [](const ProposalOutcome &) {});
  }
  /// Changes the table again and again. \returns whether memory sufficed.
  bool runStorm(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += ChangeInterval) {
      this->change();
      this->Cluster.run(ChangeInterval);
      if (this->heapBytes() > MaxHeldBytes)
        return false;
    }
    return true;
  }
  std::size_t heapBytes() const {
    return this->Links.peak() * HeapBytesPerEncodedByte;
  }
  /// Returns the number of nodes that have the newest table.
  std::size_t upToDate() const {
    std::size_t Count = 0;
    for (const auto &Node : this->Known)
      Count += Node->version() == this->Version ? 1 : 0;
    return Count;
  }

  SeededCluster Cluster;
  SlowLinks Links;

private:
  std::vector<std::unique_ptr<ConfiguredNode>> Known;
  std::uint64_t Version = 0;
};

} // namespace

TEST_GROUP(PushMemoryTest){};

TEST(PushMemoryTest, AStormOfLargeConfigurationsStaysWithinTheMemory) {
  StormScenario Scenario;
  LONGS_EQUAL(Nodes, Scenario.upToDate());
  bool HasSufficed = Scenario.runStorm(5s);
  std::string Found = fmt::format("{} bytes held", Scenario.heapBytes());
  CHECK_TEXT(HasSufficed, Found.c_str());
  // The newest table is in force in time all the same.
  Scenario.Cluster.run(MaxConfigDelay);
  LONGS_EQUAL(Nodes, Scenario.upToDate());
}

TEST(PushMemoryTest, HeartbeatsThatPiledUpAreNotAllAnsweredWithTheTable) {
  StormScenario Scenario;
  std::size_t Leader = 0;
  while (&Scenario.Cluster.service(Leader) != Scenario.Cluster.leader())
    ++Leader;
  // What the nodes send while the leader is frozen is read all at once.
  Scenario.Cluster.World.freeze(SeededCluster::addressOf(Leader));
  Scenario.Cluster.run(400ms);
  Scenario.Cluster.World.thaw(SeededCluster::addressOf(Leader));
  CHECK(Scenario.runStorm(2s));
}
