#include "tests/support/silent_proxy.h"
#include "tests/system/system_cluster.h"
#include "transport/link_server.h"

#include <atomic>
#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

TEST_GROUP(LinkPoolTest){};

// A host that has lost its disk comes back under a new name at its address.
// While both names are known, messages to both are due at the same time.
TEST(LinkPoolTest, NamesAtOneAddressGetEnvelopesOfTheirOwn) {
  std::string Address = fmt::format("127.0.0.1:{}", freePort());
  std::atomic<int> Received{0};
  LinkServer Server(
      {"test", peer::ROLE_CONTROL, "new", Address, 2},
      [&](const std::shared_ptr<peer::Envelope> &) { ++Received; });
  LinkPool Pool({"test", peer::ROLE_CONTROL, "c1", "127.0.0.1:1", 1});
  for (const char *Name : {"new", "old"}) {
    peer::Message Message;
    Message.mutable_raft()->set_to(Name);
    Pool.send({Name, Address}, std::move(Message));
  }
  Pool.flush();
  CHECK(waitFor([&] { return Pool.isIdle(); }));
  LONGS_EQUAL(1, Received.load());
}

// A connection may go silent for good, without a reset, while new ones work.
TEST(LinkPoolTest, ASilentConnectionIsReportedAndReplaced) {
  using namespace std::chrono_literals;
  std::string Address = fmt::format("127.0.0.1:{}", freePort());
  std::string Front = fmt::format("127.0.0.1:{}", freePort());
  std::atomic<int> Received{0};
  LinkServer Server(
      {"test", peer::ROLE_AGENT, "a", Address, 2},
      [&](const std::shared_ptr<peer::Envelope> &) { ++Received; });
  SilentProxy Proxy(Front, Address);
  LinkOptions Options;
  Options.CallTimeout = 300ms;
  LinkPool Pool({"test", peer::ROLE_ENTRY, "e", "127.0.0.1:1", 1}, Options);
  std::atomic<int> Lost{0};
  Pool.failures().open([&](const Undelivered &Failed) {
    Lost += Failed.Envelope->messages_size();
  });
  auto Send = [&] {
    peer::Message Message;
    Message.mutable_lease_renewal()->set_stamp(1);
    Pool.send({"a", Front}, std::move(Message));
    Pool.flush();
  };
  Send();
  CHECK(waitFor([&] { return Received.load() == 1; }));
  CHECK(waitFor([&] { return Pool.isIdle(); }));
  Proxy.silence();
  Send();
  CHECK(waitFor([&] { return Lost.load() == 1; }));
  Send();
  CHECK(waitFor([&] { return Received.load() == 2; }));
  LONGS_EQUAL(2, Proxy.accepted());
  Pool.failures().close();
}

// One that has just restarted must be reached by the next envelope.
TEST(LinkPoolTest, APeerThatIsBackIsReachedAtOnce) {
  using namespace std::chrono_literals;
  std::string Address = fmt::format("127.0.0.1:{}", freePort());
  LinkPool Pool({"test", peer::ROLE_ENTRY, "e", "127.0.0.1:1", 1});
  std::atomic<int> Lost{0};
  Pool.failures().open([&](const Undelivered &) { ++Lost; });
  auto Send = [&] {
    peer::Message Message;
    Message.mutable_lease_renewal()->set_stamp(1);
    Pool.send({"a", Address}, std::move(Message));
    Pool.flush();
    CHECK(waitFor([&] { return Pool.isIdle(); }));
  };
  Send();
  Send();
  LONGS_EQUAL(2, Lost.load());
  std::atomic<int> Received{0};
  LinkServer Server(
      {"test", peer::ROLE_AGENT, "a", Address, 2},
      [&](const std::shared_ptr<peer::Envelope> &) { ++Received; });
  Send();
  LONGS_EQUAL(2, Lost.load());
  LONGS_EQUAL(1, Received.load());
  Pool.failures().close();
}
