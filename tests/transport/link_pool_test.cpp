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
