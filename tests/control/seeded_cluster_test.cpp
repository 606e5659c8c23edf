//===- A control cluster that forms from seeds and replaces its members ---===//

#include "control/control_service.h"
#include "emulator/memory_log_storage.h"
#include "emulator/virtual_world.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Seeds = 3;

/// Hosts of a control cluster. A host's address outlives its disk; the name of
/// its replica does not.
class SeededCluster {
public:
  explicit SeededCluster(std::uint64_t Seed, std::uint32_t Voters = 3)
      : World(Seed), Voters(Voters) {}

  /// Starts a host with an empty disk. \param First At the first start of all.
  void startEmpty(std::size_t Host, bool First) {
    bool Founder = First && Host < Seeds;
    peer::ReplicaSet Bootstrap;
    for (std::size_t I = 0; Founder && I < Seeds; ++I)
      *Bootstrap.add_replicas() = replica(nameOf(I, 0), I);
    Node &Target = this->Hosts[Host];
    Target.Name = nameOf(Host, Founder ? 0 : ++this->Lives);
    Target.Storage = std::make_unique<MemoryLogStorage>(Bootstrap);
    this->start(Host);
  }

  /// Starts a host on the disk that it has.
  void start(std::size_t Host) {
    Node &Target = this->Hosts[Host];
    std::string Address = addressOf(Host);
    Target.Storage->crash();
    this->World.start(Address, [this, Host](const PeerRef &From,
                                            const peer::Message &Message) {
      Node &Here = this->Hosts[Host];
      // As links do: a message for another replica at this address is refused.
      if (Message.has_raft() && Message.raft().to() != Here.Name)
        return;
      Here.Service->onMessage(this->peerAt(From.Node), Message,
                              this->World.now());
    });
    Target.Sink = std::make_unique<AddressSink>(this->World.sinkOf(Address));
    Target.Service = std::make_unique<ControlService>(
        this->optionsFor(Host), *Target.Storage, *Target.Sink,
        this->World.now());
    this->World.every(Address, 20ms, [this, Host] {
      this->Hosts[Host].Service->tick(this->World.now());
    });
  }

  void kill(std::size_t Host) { this->World.kill(addressOf(Host)); }
  void run(Duration Time) { this->World.run(Time); }

  ControlService *leader() {
    for (auto &[Number, Host] : this->Hosts)
      if (this->World.isUp(addressOf(Number)) && Host.Service->raft().leads())
        return Host.Service.get();
    return nullptr;
  }
  ControlService &service(std::size_t Host) {
    return *this->Hosts[Host].Service;
  }

  /// Replaces the routes. \returns whether that was acknowledged.
  bool replace(std::uint64_t Version) {
    ControlService *Leader = this->leader();
    if (Leader == nullptr)
      return false;
    peer::Change Change;
    peer::RouteTable *Table = Change.mutable_replace_routes()->mutable_table();
    Table->set_version(Version);
    Table->set_document(fmt::format("{}", Version));
    bool Done = false;
    Leader->propose(Change, this->World.now(),
                    [&Done](const ProposalOutcome &Outcome) {
                      Done = Outcome.State == ProposalState::Applied;
                    });
    this->run(1s);
    return Done;
  }

  std::uint32_t voters() {
    std::uint32_t Count = 0;
    for (const peer::Replica &Known :
         this->leader()->raft().log().replicas().replicas())
      Count += Known.learner() ? 0 : 1;
    return Count;
  }

  VirtualWorld World;

private:
  /// Sends by address, as a replica may be known by nothing else.
  class AddressSink final : public PeerSink {
  public:
    explicit AddressSink(PeerSink &Inner) : Inner(Inner) {}
    void send(const PeerRef &To, peer::Message Message) override {
      this->Inner.send({To.Address, To.Address}, std::move(Message));
    }

  private:
    PeerSink &Inner;
  };
  struct Node {
    std::string Name;
    std::unique_ptr<MemoryLogStorage> Storage;
    std::unique_ptr<PeerSink> Sink;
    std::unique_ptr<ControlService> Service;
  };

  static std::string addressOf(std::size_t Host) {
    return fmt::format("host{}", Host);
  }
  static std::string nameOf(std::size_t Host, std::uint64_t Life) {
    return fmt::format("{}.{}", addressOf(Host), Life);
  }
  static peer::Replica replica(const std::string &Name, std::size_t Host) {
    peer::Replica Made;
    Made.set_name(Name);
    Made.set_address(addressOf(Host));
    Made.set_http_address(addressOf(Host));
    return Made;
  }
  PeerRef peerAt(const std::string &Address) {
    for (auto &[Number, Host] : this->Hosts)
      if (addressOf(Number) == Address)
        return {Host.Name, Address};
    return {Address, Address};
  }
  ControlOptions optionsFor(std::size_t Host) {
    ControlOptions Options;
    Options.Raft.Name = this->Hosts[Host].Name;
    Options.Raft.Seed = Host + 1;
    Options.Groups.Groups = 0;
    Options.Replicas.Voters = this->Voters;
    Options.Self = replica(this->Hosts[Host].Name, Host);
    for (std::size_t I = 0; I < Seeds; ++I)
      Options.Seeds.push_back({"", addressOf(I)});
    return Options;
  }

  std::uint32_t Voters;
  std::uint64_t Lives = 0;
  std::map<std::size_t, Node> Hosts;
};

} // namespace

TEST_GROUP(SeededClusterTest){};

TEST(SeededClusterTest, HostsThatStartInAnyOrderFormOneCluster) {
  const std::vector<std::vector<std::size_t>> Orders = {
      {0, 1, 2, 3}, {3, 2, 1, 0}, {2, 3, 0, 1}};
  for (const std::vector<std::size_t> &Order : Orders) {
    SeededCluster Cluster(7);
    for (std::size_t Host : Order) {
      Cluster.startEmpty(Host, /*First=*/true);
      Cluster.run(100ms);
    }
    Cluster.run(5s);
    CHECK(Cluster.leader() != nullptr);
    LONGS_EQUAL(3, Cluster.voters());
    LONGS_EQUAL(4, Cluster.leader()->raft().log().replicas().replicas_size());
    CHECK(Cluster.replace(5));
    Cluster.run(1s);
    for (std::size_t Host : Order)
      LONGS_EQUAL(5, Cluster.service(Host).catalog().routes().version());
  }
}

TEST(SeededClusterTest, AnEmptyHostAloneFormsNothing) {
  SeededCluster Cluster(8);
  Cluster.startEmpty(0, /*First=*/false);
  Cluster.startEmpty(1, /*First=*/false);
  Cluster.run(20s);
  POINTERS_EQUAL(nullptr, Cluster.leader());
}

TEST(SeededClusterTest, EachHostInTurnMayLoseItsDisk) {
  SeededCluster Cluster(9);
  for (std::size_t Host = 0; Host < Seeds; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(3s);
  std::uint64_t Version = 1;
  for (std::size_t Host : {0, 1, 2, 0}) {
    CHECK(Cluster.replace(++Version));
    Cluster.kill(Host);
    Cluster.startEmpty(Host, /*First=*/false);
    Cluster.run(8s);
    CHECK(Cluster.leader() != nullptr);
    LONGS_EQUAL(3, Cluster.voters());
    LONGS_EQUAL(3, Cluster.leader()->raft().log().replicas().replicas_size());
    LONGS_EQUAL(Version, Cluster.leader()->catalog().routes().version());
  }
}

TEST(SeededClusterTest, AHostThatIsGoneIsReplacedByAnotherAddress) {
  SeededCluster Cluster(10);
  for (std::size_t Host = 0; Host < Seeds; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(3s);
  CHECK(Cluster.replace(2));
  Cluster.kill(0);
  Cluster.run(1s);
  Cluster.startEmpty(4, /*First=*/false);
  Cluster.run(10s);
  LONGS_EQUAL(3, Cluster.voters());
  // One of the first hosts may now go as well.
  Cluster.kill(1);
  Cluster.run(5s);
  CHECK(Cluster.replace(3));
  LONGS_EQUAL(3, Cluster.service(4).catalog().routes().version());
}

TEST(SeededClusterTest, AReplicaThatWasReplacedComesBackAsALearner) {
  SeededCluster Cluster(11);
  for (std::size_t Host = 0; Host < 4; ++Host)
    Cluster.startEmpty(Host, /*First=*/true);
  Cluster.run(5s);
  Cluster.kill(0);
  Cluster.run(8s);
  LONGS_EQUAL(3, Cluster.voters());
  CHECK(Cluster.replace(2));
  Cluster.start(0);
  Cluster.run(8s);
  LONGS_EQUAL(3, Cluster.voters());
  LONGS_EQUAL(2, Cluster.service(0).catalog().routes().version());
}

TEST(SeededClusterTest, NoAcknowledgedTableIsLostInRandomStories) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SeededCluster Cluster(Seed);
    for (std::size_t Host = 0; Host < 4; ++Host)
      Cluster.startEmpty(Host, /*First=*/true);
    Cluster.run(4s);
    std::uint64_t Version = 0;
    std::uint64_t Acknowledged = 0;
    std::mt19937_64 Random(Seed);
    for (int Round = 0; Round < 6; ++Round) {
      if (Cluster.replace(++Version))
        Acknowledged = Version;
      std::size_t Host = Random() % 4;
      Cluster.kill(Host);
      Cluster.run(std::chrono::milliseconds(Random() % 6000));
      if (Random() % 2 == 0)
        Cluster.startEmpty(Host, /*First=*/false);
      else
        Cluster.start(Host);
      Cluster.run(9s);
      CHECK_TEXT(Cluster.leader() != nullptr,
                 fmt::format("no leader, seed {}", Seed).c_str());
      CHECK_TEXT(Cluster.leader()->catalog().routes().version() >= Acknowledged,
                 fmt::format("lost, seed {}", Seed).c_str());
    }
  }
}
