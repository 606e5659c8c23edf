#include "tests/support/silent_proxy.h"
#include "tests/transport/test_node.h"

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

LinkOptions twoWay(bool TwoWay) {
  LinkOptions Options;
  Options.TwoWay = TwoWay;
  return Options;
}

std::uint64_t opened(TestNode &Node) {
  return Node.Node.links().counters().StreamsOpened.load();
}

std::uint64_t shared(TestNode &Node) {
  return Node.Node.links().counters().StreamsShared.load();
}

/// Two nodes, of which the first has sent a message to the second.
struct Pair {
  explicit Pair(LinkOptions FirstOptions = twoWay(true),
                LinkOptions SecondOptions = twoWay(true))
      : First("e", peer::ROLE_ENTRY, freeAddress(), 1, FirstOptions),
        Second("a", peer::ROLE_AGENT, freeAddress(), 1, SecondOptions) {
    this->First.sendWhole("a", this->Second.Address);
    CHECK(waitFor([&] { return this->Second.Received.load() == 1; }));
  }
  void reply() { this->Second.sendWhole("e", this->First.Address); }

  TestNode First;
  TestNode Second;
};

} // namespace

TEST_GROUP(TwoWayLinkTest){};

// A build or a setting without two-way links on either side keeps a stream for
// each direction.
TEST(TwoWayLinkTest, AStreamIsSharedIfBothSidesDoSo) {
  struct Row {
    bool First;
    bool Second;
    std::uint64_t Shared;
  };
  const Row Rows[] = {
      {true, true, 1}, {true, false, 0}, {false, true, 0}, {false, false, 0}};
  for (const Row &Case : Rows) {
    Pair Nodes(twoWay(Case.First), twoWay(Case.Second));
    for (int I = 1; I <= 3; ++I) {
      Nodes.reply();
      CHECK(waitFor([&] { return Nodes.First.Received.load() == I; }));
    }
    LONGS_EQUAL(1, opened(Nodes.First));
    LONGS_EQUAL(Case.Shared, shared(Nodes.Second));
    LONGS_EQUAL(1 - Case.Shared, opened(Nodes.Second));
    LONGS_EQUAL(0, shared(Nodes.First));
    // Envelopes on a shared stream are acknowledged like others.
    Nodes.First.sendWhole("a", Nodes.Second.Address);
    CHECK(waitFor([&] { return Nodes.Second.Received.load() == 2; }));
    LONGS_EQUAL(0, Nodes.First.Lost.load());
    LONGS_EQUAL(0, Nodes.Second.Lost.load());
  }
}

// Neither side has heard of the other, so that each opens a stream.
TEST(TwoWayLinkTest, PeersThatBeginAtOnceBothArrive) {
  TestNode First("e", peer::ROLE_ENTRY, freeAddress(), 1, twoWay(true));
  TestNode Second("a", peer::ROLE_AGENT, freeAddress(), 1, twoWay(true));
  First.send("a", Second.Address);
  Second.send("e", First.Address);
  CHECK(waitFor([&] {
    return First.Received.load() == 1 && Second.Received.load() == 1;
  }));
  for (int I = 2; I <= 4; ++I) {
    First.sendWhole("a", Second.Address);
    Second.sendWhole("e", First.Address);
    CHECK(waitFor([&] {
      return First.Received.load() == I && Second.Received.load() == I;
    }));
  }
}

TEST(TwoWayLinkTest, ManyMessagesArriveOnceEachWay) {
  constexpr int Rounds = 300;
  Pair Nodes;
  for (int I = 0; I < Rounds; ++I) {
    Nodes.First.send("a", Nodes.Second.Address);
    Nodes.Second.send("e", Nodes.First.Address);
  }
  CHECK(waitFor([&] {
    return Nodes.First.Received.load() == Rounds &&
           Nodes.Second.Received.load() == Rounds + 1;
  }));
  LONGS_EQUAL(0, Nodes.First.Lost.load() + Nodes.Second.Lost.load());
  LONGS_EQUAL(0, opened(Nodes.Second));
}

// What went back on a stream whose opener ends may not have arrived. The next
// incarnation is reached on a stream of its own, or on one that it opens.
TEST(TwoWayLinkTest, EnvelopesReturnedToAnEndedProcessAreReported) {
  for (bool OpensAgain : {false, true}) {
    TestNode Second("a", peer::ROLE_AGENT, freeAddress(), 1, twoWay(true));
    std::string Address = freeAddress();
    {
      TestNode First("e", peer::ROLE_ENTRY, Address, 1, twoWay(true));
      First.sendWhole("a", Second.Address);
      CHECK(waitFor([&] { return Second.Received.load() == 1; }));
      Second.sendWhole("e", Address);
      CHECK(waitFor([&] { return First.Received.load() == 1; }));
    }
    // The process has ended without an envelope that acknowledges the one that
    // it has read.
    CHECK(waitFor([&] { return Second.Lost.load() == 1; }));
    TestNode Next("e", peer::ROLE_ENTRY, Address, 2, twoWay(true));
    if (OpensAgain) {
      Next.sendWhole("a", Second.Address);
      CHECK(waitFor([&] { return Second.Received.load() == 2; }));
    }
    Second.sendWhole("e", Address);
    CHECK(waitFor([&] { return Next.Received.load() == 1; }));
    LONGS_EQUAL(OpensAgain ? 2 : 1, shared(Second));
    LONGS_EQUAL(OpensAgain ? 0 : 1, opened(Second));
  }
}

// The opener has replaced its stream: what it has not acknowledged is reported,
// and goes back on the new one.
TEST(TwoWayLinkTest, TheOpenersNewStreamIsUsed) {
  Pair Nodes;
  Nodes.reply();
  CHECK(waitFor([&] { return Nodes.First.Received.load() == 1; }));
  std::this_thread::sleep_for(300ms);
  Nodes.First.Node.loop().post([&](Instant) {
    Nodes.First.Node.links().reconnect({"a", Nodes.Second.Address});
  });
  CHECK(waitFor([&] { return Nodes.Second.Lost.load() == 1; }));
  Nodes.First.sendWhole("a", Nodes.Second.Address);
  CHECK(waitFor([&] { return Nodes.Second.Received.load() == 2; }));
  Nodes.reply();
  CHECK(waitFor([&] { return Nodes.First.Received.load() == 2; }));
  LONGS_EQUAL(2, shared(Nodes.Second));
  LONGS_EQUAL(0, opened(Nodes.Second));
}

// A process that is left without replies asks for a new connection. It does not
// get the same stream again, but opens one.
TEST(TwoWayLinkTest, ASharedStreamIsReplacedOnRequest) {
  Pair Nodes;
  Nodes.reply();
  CHECK(waitFor([&] { return Nodes.First.Received.load() == 1; }));
  std::this_thread::sleep_for(300ms);
  Nodes.Second.Node.loop().post([&](Instant) {
    Nodes.Second.Node.links().reconnect({"e", Nodes.First.Address});
  });
  CHECK(waitFor([&] { return Nodes.Second.Lost.load() == 1; }));
  // The first node's stream is still in use in its direction.
  Nodes.First.sendWhole("a", Nodes.Second.Address);
  CHECK(waitFor([&] { return Nodes.Second.Received.load() == 2; }));
  Nodes.reply();
  CHECK(waitFor([&] { return Nodes.First.Received.load() == 2; }));
  LONGS_EQUAL(1, opened(Nodes.Second));
  LONGS_EQUAL(1, opened(Nodes.First));
}

// A connection that stops delivering takes both directions with it. The side
// that is left without replies asks for another one, which serves both.
TEST(TwoWayLinkTest, ASilentSharedConnectionIsReplaced) {
  std::string Front = freeAddress();
  TestNode Second("a", peer::ROLE_AGENT, freeAddress(), 1, twoWay(true));
  SilentProxy Proxy(Front, Second.Address);
  TestNode First("e", peer::ROLE_ENTRY, freeAddress(), 1, twoWay(true));
  First.sendWhole("a", Front);
  CHECK(waitFor([&] { return Second.Received.load() == 1; }));
  Second.sendWhole("e", First.Address);
  CHECK(waitFor([&] { return First.Received.load() == 1; }));
  Proxy.silence();
  Second.send("e", First.Address);
  std::this_thread::sleep_for(300ms);
  First.Node.loop().post([&](Instant) {
    First.Node.links().reconnect({"a", Front});
  });
  First.send("a", Front);
  CHECK(waitFor([&] { return Second.Received.load() == 2; }));
  Second.send("e", First.Address);
  CHECK(waitFor([&] { return First.Received.load() == 2; }));
  LONGS_EQUAL(2, Proxy.accepted());
}

// An envelope for another node, such as an earlier one at the same address, is
// refused on the way back as well.
TEST(TwoWayLinkTest, ReturnedEnvelopesForOtherNodesAreRefused) {
  Pair Nodes;
  Nodes.Second.sendWhole("old", Nodes.First.Address);
  Nodes.reply();
  CHECK(waitFor([&] { return Nodes.First.Received.load() == 1; }));
  std::this_thread::sleep_for(50ms);
  LONGS_EQUAL(1, Nodes.First.Received.load());
  LONGS_EQUAL(1, shared(Nodes.Second));
}

namespace {

/// The way back on a stream that a peer has opened.
class CountedStream final : public ReturnStream {
public:
  void write(std::shared_ptr<const peer::Envelope>) override {}
  void release() override {}
  std::size_t waiting() const override { return 0; }
  bool mayAttach() const override { return true; }
  void attach(Events &) override {}
  void close() override { ++this->Closed; }

  int Closed = 0;
};

} // namespace

// Regression test: each start of a peer that had lost its power left a stream
// of its earlier incarnation, for good.
TEST(TwoWayLinkTest, AStreamOfAPeerThatIsGoneEndsWithItsNextOne) {
  struct Row {
    std::uint64_t Incarnation;
    std::uint64_t Stream;
    bool ClosesFirst;
  };
  // A later stream, a later process, and a delayed envelope of an earlier one.
  const Row Rows[] = {{5, 2, true}, {6, 1, true}, {4, 2, false}};
  for (const Row &Row : Rows) {
    grpc::CompletionQueue Queue;
    SystemClock Source;
    LinkPool Pool({"test", peer::ROLE_AGENT, "a", "127.0.0.1:1", 1}, Queue,
                  Source, twoWay(true));
    auto First = std::make_shared<CountedStream>();
    auto Next = std::make_shared<CountedStream>();
    peer::Envelope Envelope;
    Envelope.set_sender_address("127.0.0.1:2");
    Envelope.set_reads_returns(true);
    Envelope.set_number(1);
    Envelope.set_sender_incarnation(5);
    Envelope.set_stream(1);
    Pool.onRead(Envelope, TimePoint{}, First);
    Envelope.set_number(2);
    Pool.onRead(Envelope, TimePoint{}, First);
    Envelope.set_sender_incarnation(Row.Incarnation);
    Envelope.set_stream(Row.Stream);
    Pool.onRead(Envelope, TimePoint{}, Next);
    LONGS_EQUAL(Row.ClosesFirst ? 1 : 0, First->Closed);
    LONGS_EQUAL(0, Next->Closed);
    Queue.Shutdown();
  }
}
