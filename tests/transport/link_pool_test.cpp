#include "tests/support/silent_proxy.h"
#include "tests/transport/test_node.h"

#include <atomic>
#include <fmt/format.h>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP(LinkPoolTest){};

// A host that has lost its disk returns under a new name at the same address.
// While both names are known, messages to both may be queued at the same time.
TEST(LinkPoolTest, NamesAtOneAddressGetSeparateEnvelopes) {
  TestNode Server("new", peer::ROLE_CONTROL, freeAddress(), 2);
  TestNode Client("c1", peer::ROLE_CONTROL, freeAddress());
  for (const char *Name : {"new", "old", "new", "old", "new"})
    Client.send(Name, Server.Address);
  CHECK(waitFor([&] { return Server.Received.load() == 3; }));
  Client.sendWhole("new", Server.Address);
  CHECK(waitFor([&] { return Server.Received.load() == 4; }));
}

// A connection may stop delivering without a reset, while new ones work. Its
// peer still sends, but does not acknowledge what was sent to it.
TEST(LinkPoolTest, ASilentStreamIsReportedAndReplaced) {
  std::string Front = freeAddress();
  LinkOptions Options;
  Options.SilenceTimeout = 300ms;
  TestNode Server("a", peer::ROLE_AGENT, freeAddress());
  SilentProxy Proxy(Front, Server.Address);
  TestNode Client("e", peer::ROLE_ENTRY, freeAddress(), 1, Options);
  // The client reaches the server through the proxy, the server reaches the
  // client directly.
  Client.sendWhole("a", Front);
  CHECK(waitFor([&] { return Server.Received.load() == 1; }));
  Proxy.silence();
  Client.sendWhole("a", Front);
  LONGS_EQUAL(0, Client.Lost.load());
  // Envelopes are matched to the stream by the sender's address.
  CHECK(waitFor([&] {
    Client.Node.loop().post([&](Instant Now) {
      peer::Envelope Answer;
      Answer.set_sender_address(Front);
      Answer.set_sender("a");
      Client.Node.links().onRead(Answer, Now.Steady);
    });
    std::this_thread::sleep_for(20ms);
    return Client.Lost.load() >= 1;
  }));
  Client.sendWhole("a", Front);
  CHECK(waitFor([&] { return Server.Received.load() == 2; }));
  LONGS_EQUAL(2, Proxy.accepted());
}

// A process that is behind has not yet read the acknowledgements of its peers,
// but it may read older envelopes of the same peers, which looks like a dead
// stream. During bursts of callers, entries replaced the streams to a third of
// their peers within two seconds (22 of 66 at one entry in one second), also to
// control. This cost CPU time and lost the requests that were already late.
TEST(LinkPoolTest, AProcessThatWasBehindReplacesNoStream) {
  LinkOptions Options;
  Options.SilenceTimeout = 300ms;
  TestNode Server("a", peer::ROLE_AGENT, freeAddress());
  TestNode Client("e", peer::ROLE_ENTRY, freeAddress(), 1, Options);
  Client.sendWhole("a", Server.Address);
  CHECK(waitFor([&] { return Server.Received.load() == 1; }));
  std::atomic<bool> Over{false};
  Client.Node.loop().post([&](Instant) {
    std::this_thread::sleep_for(500ms);
    peer::Envelope Older;
    Older.set_sender_address(Server.Address);
    Older.set_sender("a");
    Client.Node.links().onRead(Older, Client.Source.now().Steady);
    Over.store(true);
  });
  CHECK(waitFor([&] { return Over.load(); }));
  std::this_thread::sleep_for(100ms);
  LONGS_EQUAL(0, Client.Lost.load());
  // Now the client gets the acknowledgement.
  Server.sendWhole("e", Client.Address);
  CHECK(waitFor([&] { return Client.Received.load() == 1; }));
  std::this_thread::sleep_for(500ms);
  LONGS_EQUAL(0, Client.Lost.load());
  LONGS_EQUAL(1, Client.Node.links().counters().StreamsOpened.load());
}

// A caller that misses an answer earlier may request a new connection.
TEST(LinkPoolTest, AStreamIsReplacedOnRequest) {
  std::string Front = freeAddress();
  TestNode Server("a", peer::ROLE_AGENT, freeAddress());
  SilentProxy Proxy(Front, Server.Address);
  TestNode Client("e", peer::ROLE_ENTRY, freeAddress());
  Client.sendWhole("a", Front);
  CHECK(waitFor([&] { return Server.Received.load() == 1; }));
  Proxy.silence();
  Client.sendWhole("a", Front);
  std::this_thread::sleep_for(300ms);
  Client.Node.loop().post([&](Instant) {
    Client.Node.links().reconnect({"a", Front});
  });
  // Both messages are reported, as the first was never acknowledged either.
  CHECK(waitFor([&] { return Client.Lost.load() == 2; }));
  Client.sendWhole("a", Front);
  CHECK(waitFor([&] { return Server.Received.load() == 2; }));
}

// Acknowledgements are part of the envelopes in the other direction; no
// separate message is needed.
TEST(LinkPoolTest, AcknowledgedEnvelopesAreNotReportedAsLost) {
  auto Server =
      std::make_unique<TestNode>("a", peer::ROLE_AGENT, freeAddress());
  TestNode Client("e", peer::ROLE_ENTRY, freeAddress());
  std::string Address = Server->Address;
  for (int I = 0; I < 3; ++I)
    Client.sendWhole("a", Address);
  CHECK(waitFor([&] { return Server->Received.load() == 3; }));
  Server->sendWhole("e", Client.Address);
  CHECK(waitFor([&] { return Client.Received.load() == 1; }));
  Client.sendWhole("a", Address);
  CHECK(waitFor([&] { return Server->Received.load() == 4; }));
  Server.reset();
  CHECK(waitFor([&] { return Client.Lost.load() > 0; }));
  LONGS_EQUAL(1, Client.Lost.load());
}

// The same for a process that restarts after its clock was set back: its stream
// numbers are derived from the clock, so they are lower than before.
TEST(LinkPoolTest, AcknowledgesIncarnationsWithLowerStreamNumbers) {
  auto Server =
      std::make_unique<TestNode>("a", peer::ROLE_AGENT, freeAddress());
  std::string Address = Server->Address;
  std::string ClientAddress = freeAddress();
  {
    TestNode Before("e", peer::ROLE_ENTRY, ClientAddress, 1000);
    Before.sendWhole("a", Address);
    CHECK(waitFor([&] { return Server->Received.load() == 1; }));
  }
  TestNode Client("e", peer::ROLE_ENTRY, ClientAddress, 5);
  for (int I = 0; I < 3; ++I)
    Client.sendWhole("a", Address);
  CHECK(waitFor([&] { return Server->Received.load() == 4; }));
  Server->sendWhole("e", ClientAddress);
  CHECK(waitFor([&] { return Client.Received.load() == 1; }));
  Client.sendWhole("a", Address);
  CHECK(waitFor([&] { return Server->Received.load() == 5; }));
  Server.reset();
  CHECK(waitFor([&] { return Client.Lost.load() > 0; }));
  LONGS_EQUAL(1, Client.Lost.load());
}

// The next envelope must reach a peer that has just restarted.
TEST(LinkPoolTest, APeerThatIsBackIsReachedAtOnce) {
  std::string Address = freeAddress();
  TestNode Client("e", peer::ROLE_ENTRY, freeAddress());
  Client.sendWhole("a", Address);
  Client.sendWhole("a", Address);
  LONGS_EQUAL(2, Client.Lost.load());
  TestNode Server("a", peer::ROLE_AGENT, Address);
  Client.sendWhole("a", Address);
  CHECK(waitFor([&] { return Server.Received.load() == 1; }));
  LONGS_EQUAL(2, Client.Lost.load());
}

// Messages of one round are sent together, those of several rounds in order.
TEST(LinkPoolTest, ManyMessagesArriveOnceEach) {
  constexpr int Rounds = 500;
  TestNode Server("a", peer::ROLE_AGENT, freeAddress());
  TestNode Client("e", peer::ROLE_ENTRY, freeAddress());
  for (int I = 0; I < Rounds; ++I)
    Client.send("a", Server.Address);
  CHECK(waitFor([&] { return Server.Received.load() == Rounds; }));
  LONGS_EQUAL(0, Client.Lost.load());
}

// A process that is behind has unread input. Whatever came before the time at
// which its loop counts as last idle has been handled.
TEST(LinkPoolTest, ALoopIsIdleOnlyUpToTheOldestWorkLeft) {
  TestNode Node("e", peer::ROLE_ENTRY, freeAddress());
  EventLoop &Loop = Node.Node.loop();
  auto Idles = [&] {
    return Node.Source.now().Steady - Loop.lastIdle() < 50ms;
  };
  CHECK(waitFor(Idles));
  // Work that is posted again and again is never older than a few
  // milliseconds.
  std::atomic<bool> Over{false};
  std::atomic<int> Unhandled{0};
  std::atomic<TimePoint> PostedAt;
  std::function<void(Instant)> Again = [&](Instant) {
    std::this_thread::sleep_for(2ms);
    if (Loop.lastIdle() > PostedAt.load())
      ++Unhandled;
    if (!Over.load())
      Loop.post(Again);
    PostedAt.store(Node.Source.now().Steady);
  };
  Loop.post(Again);
  PostedAt.store(Node.Source.now().Steady);
  std::this_thread::sleep_for(300ms);
  LONGS_EQUAL(0, Unhandled.load());
  Over.store(true);
  CHECK(waitFor(Idles));
  // Work of 300 ms that is posted at once becomes old.
  constexpr int Items = 30;
  std::atomic<int> Left{Items};
  TimePoint Before = Node.Source.now().Steady;
  for (int I = 0; I < Items; ++I)
    Loop.post([&](Instant) {
      std::this_thread::sleep_for(10ms);
      --Left;
    });
  TimePoint Posted = Node.Source.now().Steady;
  while (Left.load() > 1) {
    TimePoint Idle = Loop.lastIdle();
    if (Left.load() > 1)
      CHECK(Idle <= Posted);
    std::this_thread::sleep_for(1ms);
  }
  CHECK(Loop.lastBehind() > Before);
  CHECK(waitFor(Idles));
}

// Many events of a connection are not envelopes but acknowledgements and flow
// control of sent data. A poll that finds only those must not be taken for the
// end of the input.
TEST(LinkPoolTest, ALoopWithEnvelopesToReadIsNotIdle) {
  constexpr int Peers = 40;
  constexpr int Rounds = 4;
  TestNode Busy("e", peer::ROLE_ENTRY, freeAddress());
  std::vector<std::unique_ptr<TestNode>> Senders;
  Senders.reserve(Peers);
  for (int I = 0; I < Peers; ++I)
    Senders.push_back(std::make_unique<TestNode>("a", peer::ROLE_AGENT,
                                                 freeAddress(), I + 1));
  // Each envelope is answered; once all are connected, it also takes a while.
  std::atomic<bool> Slow{false};
  Busy.Work = [&](const peer::Envelope &Envelope) {
    if (Slow.load())
      std::this_thread::sleep_for(3ms);
    peer::Message Answer;
    Answer.mutable_lease_renewal()->set_stamp(1);
    Busy.Node.links().send({"a", Envelope.sender_address()}, std::move(Answer));
  };
  // Connects one after the other: of forty simultaneous connections some fail
  // if other tests run, and their messages would be missing below.
  for (auto &Sender : Senders) {
    int Had = Busy.Received.load();
    CHECK(waitFor([&] {
      Sender->sendWhole("e", Busy.Address);
      std::this_thread::sleep_for(20ms);
      return Busy.Received.load() > Had;
    }));
  }
  std::this_thread::sleep_for(100ms);
  int Connected = Busy.Received.load();
  auto Arrived = [&](int Count) {
    bool All = waitFor([&] { return Busy.Received.load() == Count; });
    int Lost = 0;
    for (auto &Sender : Senders)
      Lost += Sender->Lost.load();
    std::string Found = fmt::format("{} of {} received, {} reported as lost",
                                    Busy.Received.load(), Count, Lost);
    CHECK_TEXT(All, Found.c_str());
  };
  Slow.store(true);
  for (int Round = 0; Round < Rounds; ++Round) {
    for (auto &Sender : Senders)
      Sender->send("e", Busy.Address);
    int Before = Connected + Round * Peers;
    // All envelopes are sent long before a third of them is read.
    CHECK(waitFor([&] { return Busy.Received.load() >= Before + Peers / 3; }));
    TimePoint From = Busy.Source.now().Steady;
    TimePoint LastIdle = TimePoint::min();
    while (Busy.Received.load() < Before + Peers * 4 / 5) {
      LastIdle = std::max(LastIdle, Busy.Node.loop().lastIdle());
      std::this_thread::sleep_for(1ms);
    }
    CHECK(LastIdle <= From);
    Arrived(Before + Peers);
    std::this_thread::sleep_for(100ms);
  }
}
