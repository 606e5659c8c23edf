//===- What control pushes to nodes ---------------------------------------===//
//
// Regression test: with each change of the member table, and so with nearly
// every tick, control sent the route table again to each node whose next
// heartbeat was still to come.
//
//===----------------------------------------------------------------------===//

#include "tests/control/configured_node.h"

#include <fmt/format.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr const char *EntryAddress = "entry";
constexpr const char *AgentAddress = "agent";

/// An agent whose room changes with each heartbeat, as it does under load.
class BusyAgent {
public:
  BusyAgent(SeededCluster &Cluster, std::size_t Leader)
      : Leader(Leader), Sink(Cluster.World.sinkOf(AgentAddress)) {
    Cluster.World.start(AgentAddress,
                        [](const PeerRef &, const peer::Message &) {});
    Cluster.World.every(AgentAddress, ConfiguredNode::Tick,
                        [this] { this->sendHeartbeat(); });
  }

private:
  void sendHeartbeat() {
    peer::Message Message;
    peer::Heartbeat *Request = Message.mutable_heartbeat();
    Request->set_sequence(++this->Sequence);
    peer::Member *Self = Request->mutable_member();
    Self->set_name(AgentAddress);
    Self->set_address(AgentAddress);
    Self->set_role(peer::ROLE_AGENT);
    Self->set_incarnation(1);
    Self->set_state(peer::MEMBER_ALIVE);
    Self->mutable_room()->set_cpu_milli(
        static_cast<std::uint32_t>(this->Sequence));
    this->Sink.send({"", SeededCluster::addressOf(this->Leader)},
                    std::move(Message));
  }

  std::size_t Leader;
  AddressSink Sink;
  std::uint64_t Sequence = 0;
};

std::size_t leaderOf(SeededCluster &Cluster) {
  std::size_t Host = 0;
  while (&Cluster.service(Host) != Cluster.leader())
    ++Host;
  return Host;
}

} // namespace

TEST_GROUP(PushTest){};

TEST(PushTest, AChangeIsPushedOnceToEachNode) {
  // The push, and the reply to a heartbeat that was sent before it arrived.
  constexpr int MaxCopies = 2;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    SeededCluster Cluster(Seed);
    for (std::size_t Host = 0; Host < SeededCluster::Seeds; ++Host)
      Cluster.startEmpty(Host, /*First=*/true);
    Cluster.run(8s);
    ConfiguredNode Entry(Cluster, EntryAddress, peer::ROLE_ENTRY);
    BusyAgent Agent(Cluster, leaderOf(Cluster));
    CHECK(Cluster.replace(1));
    Cluster.run(2s);
    int Copies = 0;
    Cluster.World.setFilter([&Copies](const PeerRef &, const PeerRef &To,
                                      const peer::Message &Message) {
      bool HasTable = Message.heartbeat_reply().catalog().has_routes();
      Copies += To.Address == EntryAddress && HasTable ? 1 : 0;
      return Duration(0);
    });
    CHECK(Cluster.replace(2));
    std::string Found = fmt::format("seed {}: {} copies", Seed, Copies);
    CHECK_TEXT(Copies <= MaxCopies, Found.c_str());
    LONGS_EQUAL(2, Entry.version());
  }
}

// A node that misses a push asks for all that it lacks with its next heartbeat.
TEST(PushTest, ALostPushIsMadeGoodByTheNextHeartbeat) {
  SeededCluster Cluster(/*Seed=*/1);
  for (std::size_t Host = 0; Host < SeededCluster::Seeds; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(8s);
  ConfiguredNode Entry(Cluster, EntryAddress, peer::ROLE_ENTRY);
  CHECK(Cluster.replace(1));
  Cluster.run(2s);
  std::string Leader = SeededCluster::addressOf(leaderOf(Cluster));
  for (std::uint64_t Version = 2; Version <= 20; ++Version) {
    Cluster.World.cutOneWay(Leader, EntryAddress);
    Cluster.run(std::chrono::milliseconds(40 * Version));
    CHECK(Cluster.replace(Version));
    Cluster.World.restoreOneWay(Leader, EntryAddress);
    Cluster.run(700ms);
    LONGS_EQUAL(Version, Entry.version());
    CHECK(Entry.state() == TableState::Current);
  }
}
