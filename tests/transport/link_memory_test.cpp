//===- Memory held for peers ----------------------------------------------===//
//
// Regression test: control replicas ran out of memory. What waits for a peer
// that does not read was limited to 2,000 envelopes, whatever their size.
//
//===----------------------------------------------------------------------===//

#include "tests/support/silent_proxy.h"
#include "tests/transport/test_node.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(LinkMemoryTest){};

namespace {

constexpr std::size_t MessageBytes = 500000;

/// Sends a message of MessageBytes to a peer and sets \p Held to the most that
/// was held for it.
void sendLarge(TestNode &From, const char *To, const std::string &Address,
               std::atomic<std::size_t> &Held) {
  From.Node.loop().post([&, To, Address](Instant) {
    peer::Message Message;
    Message.mutable_raft()
        ->mutable_append_request()
        ->add_entries()
        ->set_command(std::string(MessageBytes, 'x'));
    From.Node.links().send({To, Address}, std::move(Message));
    From.Node.links().flush();
    for (const LinkLoad &Load : From.Node.links().loads())
      if (Load.Peer.Address == Address)
        Held.store(std::max(Held.load(), Load.UnackedBytes));
    ++From.Sent;
  });
}

} // namespace

TEST(LinkMemoryTest, WhatIsHeldForAPeerThatDoesNotReadIsLimitedInBytes) {
  constexpr int Messages = 200;
  std::string Front = freeAddress();
  TestNode Server("a", peer::ROLE_AGENT, freeAddress());
  SilentProxy Proxy(Front, Server.Address);
  TestNode Client("c", peer::ROLE_CONTROL, freeAddress());
  Client.sendWhole("a", Front);
  CHECK(waitFor([&] { return Server.Received.load() == 1; }));
  Proxy.silence();
  std::atomic<std::size_t> Held{0};
  for (int I = 0; I < Messages; ++I)
    sendLarge(Client, "a", Front, Held);
  CHECK(waitFor([&] { return Client.Sent.load() > Messages; }));
  CHECK_TEXT(Held.load() <= MaxEnvelopeBytes,
             fmt::format("{} bytes held", Held.load()).c_str());
  CHECK(Client.Node.links().counters().Dropped.load() > 0);
}

TEST(LinkMemoryTest, APeerThatReadsIsServedWhileOthersHoldTheLimit) {
  std::string Front = freeAddress();
  LinkOptions Options;
  Options.MaxHeldBytes = 5 * MessageBytes;
  TestNode Silent("s", peer::ROLE_AGENT, freeAddress());
  TestNode Reader("a", peer::ROLE_AGENT, freeAddress());
  SilentProxy Proxy(Front, Silent.Address);
  TestNode Client("c", peer::ROLE_CONTROL, freeAddress(), 1, Options);
  Client.sendWhole("s", Front);
  CHECK(waitFor([&] { return Silent.Received.load() == 1; }));
  Proxy.silence();
  std::atomic<std::size_t> Held{0};
  for (int I = 0; I < 10; ++I)
    sendLarge(Client, "s", Front, Held);
  // Two messages to the other peer are within its share.
  sendLarge(Client, "a", Reader.Address, Held);
  sendLarge(Client, "a", Reader.Address, Held);
  CHECK(waitFor([&] { return Reader.Received.load() == 2; }));
}

TEST(LinkMemoryTest, WhatIsHeldFollowsFromTheLimitOfTheProcess) {
  constexpr std::size_t Megabyte = 1048576;
  // Control, entries and agents of the larger deployments.
  for (std::size_t Limit : {384 * Megabyte, 160 * Megabyte, 128 * Megabyte}) {
    LinkOptions Options;
    limitHeldBytes(Options, Limit);
    CHECK(Options.MaxHeldBytes * HeapBytesPerEncodedByte <= Limit / 4);
    CHECK(Options.MaxHeldBytesPerPeer < Options.MaxHeldBytes);
  }
}

TEST(LinkMemoryTest, AnEncodedByteOfATableTakesNoMoreThanAssumed) {
  peer::Envelope Envelope;
  peer::RouteTable *Table = Envelope.add_messages()
                                ->mutable_heartbeat_reply()
                                ->mutable_catalog()
                                ->mutable_routes();
  for (int I = 0; I < 800; ++I) {
    peer::Route *Route = Table->add_routes();
    Route->set_name(fmt::format("r-{}", I));
    Route->set_host(fmt::format("host{}.example", I));
    Route->set_path_prefix(fmt::format("/p{}/", I));
    Route->set_pool("bids");
  }
  std::size_t Encoded = Envelope.ByteSizeLong();
  CHECK_TEXT(Envelope.SpaceUsedLong() + Encoded <=
                 HeapBytesPerEncodedByte * Encoded,
             fmt::format("{} bytes for {}", Envelope.SpaceUsedLong(), Encoded)
                 .c_str());
}

TEST(LinkMemoryTest, APeerThatDoesNotReadIsCongested) {
  std::string Front = freeAddress();
  TestNode Server("a", peer::ROLE_AGENT, freeAddress());
  SilentProxy Proxy(Front, Server.Address);
  TestNode Client("c", peer::ROLE_CONTROL, freeAddress());
  Client.sendWhole("a", Front);
  CHECK(waitFor([&] { return Server.Received.load() == 1; }));
  auto IsCongested = [&] {
    std::atomic<int> Found{-1};
    Client.Node.loop().post([&](Instant) {
      Found = Client.Node.links().isCongested({"a", Front}) ? 1 : 0;
    });
    CHECK(waitFor([&] { return Found.load() >= 0; }));
    return Found.load() == 1;
  };
  CHECK_FALSE(IsCongested());
  Proxy.silence();
  std::atomic<std::size_t> Held{0};
  for (int I = 0; I < 20; ++I)
    sendLarge(Client, "a", Front, Held);
  CHECK(IsCongested());
}
