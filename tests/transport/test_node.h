//===- tests/transport/test_node.h - A node of a link test ------*- C++ -*-===//
#ifndef YARDWHEEL_TESTS_TRANSPORT_TEST_NODE_H
#define YARDWHEEL_TESTS_TRANSPORT_TEST_NODE_H

#include "tests/system/system_cluster.h"
#include "transport/link_node.h"

#include <atomic>
#include <fmt/format.h>
#include <functional>
#include <string>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

namespace yardwheel {

/// A node that counts the messages that it receives and that it reports lost.
class TestNode {
public:
  static constexpr std::chrono::milliseconds TickInterval{10};

  TestNode(const char *Name, peer::Role Role, const std::string &Address,
           std::uint64_t Incarnation = 1, LinkOptions Options = {})
      : Address(Address), Node({"test", Role, Name, Address, Incarnation},
                               Options, this->Source, TickInterval) {
    this->Node.start({[](Instant) {},
                      [this](const peer::Envelope &Envelope, Instant) {
                        this->Received += Envelope.messages_size();
                        if (this->Work)
                          this->Work(Envelope);
                      },
                      [this](const Undelivered &Lost, Instant) {
                        this->Lost += Lost.Envelope->messages_size();
                      }});
  }
  void send(const char *To, const std::string &At) {
    this->Node.loop().post([this, To, At](Instant) {
      peer::Message Message;
      Message.mutable_lease_renewal()->set_stamp(1);
      this->Node.links().send({To, At}, std::move(Message));
      ++this->Sent;
    });
  }
  /// Sends a message and waits until it was written or has failed.
  void sendWhole(const char *To, const std::string &At) {
    int Before = this->Sent.load();
    this->send(To, At);
    CHECK(waitFor([&] {
      return this->Sent.load() > Before && this->Node.links().isIdle();
    }));
  }

  std::string Address;
  /// Called for each envelope. To be set before the first one can arrive.
  std::function<void(const peer::Envelope &)> Work;
  std::atomic<int> Received{0};
  std::atomic<int> Lost{0};
  std::atomic<int> Sent{0};
  SystemClock Source;
  LinkNode Node;
};

inline std::string freeAddress() {
  return fmt::format("127.0.0.1:{}", freePort());
}

} // namespace yardwheel

#endif
