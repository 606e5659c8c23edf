//===- emulator/virtual_world.h - Virtual time and network ------*- C++ -*-===//
///
/// \file
/// A simulation behind the interfaces of the decision code: an event queue in
/// virtual time, and a network that delays, drops, duplicates and reorders
/// messages and cuts links, all from one seed. It does not interpret the
/// messages.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_VIRTUAL_WORLD_H
#define YARDWHEEL_EMULATOR_VIRTUAL_WORLD_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct NetworkFaults {
  /// Probabilities, in thousandths.
  std::uint32_t LossPermille = 0;
  std::uint32_t DuplicatePermille = 0;
  /// Upper limit of the random time that is added to a message's delay.
  Duration Jitter{0};
};

/// The order in which a node that thaws handles the events it held back.
enum class ThawOrder {
  AsHeld,
  /// Timers fire after all messages that arrived meanwhile were read.
  TimersLast,
};

class VirtualWorld {
public:
  using Receiver =
      std::function<void(const PeerRef &From, const peer::Message &Message)>;

  explicit VirtualWorld(std::uint64_t Seed);

  Instant now() const;
  std::mt19937_64 &random() { return this->Random; }

  /// Runs \p Action after \p Delay.
  void after(Duration Delay, std::function<void()> Action);
  /// Runs events up to \p Until from now.
  void run(Duration Until);

  /// Adds a node, or starts a new incarnation of it. Events that an earlier
  /// incarnation held back, and its timers, are dropped.
  void start(const std::string &Node, Receiver Receive);
  /// Sets the handler that tells a node, after the delivery timeout, that one
  /// of its messages, or the acknowledgement of one, did not arrive in time.
  void onSendFailed(const std::string &Node,
                    std::function<void(const Undelivered &Lost)> Handler);
  /// Calls \p Tick every \p Interval for as long as this incarnation lasts.
  void every(const std::string &Node, Duration Interval,
             const std::function<void()> &Tick);
  /// Runs \p Action on a node's current incarnation; if the node is frozen,
  /// when it thaws.
  void runOn(const std::string &Node, const std::function<void()> &Action);
  void kill(const std::string &Node);
  /// Suspends a node; events for it are held back until it thaws.
  void freeze(const std::string &Node);
  void thaw(const std::string &Node, ThawOrder Order = ThawOrder::AsHeld);
  bool isUp(const std::string &Node) const;
  /// Returns the incarnation that a node's messages carry now.
  std::uint64_t incarnation(const std::string &Node) const;

  /// Cuts all links between \p Node and other nodes.
  void isolate(const std::string &Node) { this->Isolated.insert(Node); }
  void reconnect(const std::string &Node) { this->Isolated.erase(Node); }
  void cut(const std::string &A, const std::string &B);
  /// Cuts the link from \p From to \p To; the other direction stays open.
  void cutOneWay(const std::string &From, const std::string &To);
  void restoreOneWay(const std::string &From, const std::string &To);
  void reconnectAll();
  void setFaults(NetworkFaults New) { this->Faults = New; }
  /// Sets the one-way delay between two nodes.
  void setDelay(
      std::function<Duration(const std::string &, const std::string &)> New) {
    this->DelayBetween = std::move(New);
  }
  /// Sets a filter that sees each message before it is sent, and returns an
  /// additional delay for it.
  void setFilter(std::function<Duration(const PeerRef &, const PeerRef &,
                                        const peer::Message &)>
                     New) {
    this->Filter = std::move(New);
  }

  /// Lets messages between these nodes draw their faults from a generator of
  /// their own, so that they do not change what happens to other messages.
  void separateDraws(std::set<std::string> Nodes) {
    this->SeparateNodes = std::move(Nodes);
  }

  /// Returns the sink for the messages that a node sends.
  PeerSink &sinkOf(const std::string &Node);
  std::uint64_t messagesSent() const { return this->Sent; }
  std::uint64_t bytesSent() const { return this->Bytes; }

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator>(const Event &Other) const {
      return std::tie(this->At, this->Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct HeldAction {
    std::function<void()> Action;
    bool IsTimer = false;
  };
  struct Node {
    Receiver Receive;
    std::function<void(const Undelivered &Lost)> SendFailed;
    std::uint64_t Incarnation = 0;
    bool Up = false;
    bool Frozen = false;
    std::vector<HeldAction> Held;
    std::unique_ptr<PeerSink> Sink;
  };
  class NodeSink;

  void send(const std::string &From, const PeerRef &To,
            const peer::Message &Message);
  /// A message in transit, with the incarnation of the node that sent it.
  struct Parcel {
    PeerRef From;
    PeerRef To;
    peer::Message Message;
    TimePoint SentAt;
  };
  void deliverLater(const Parcel &Sent, Duration Delay);
  void reportFailure(const Parcel &Sent);
  void runFor(const std::string &Name, std::uint64_t Incarnation,
              const std::function<void()> &Action, bool IsTimer = false);
  void tickLater(const std::string &Name, std::uint64_t Incarnation,
                 Duration Interval, const std::function<void()> &Tick);
  bool isCut(const std::string &A, const std::string &B) const;
  /// Returns the generator of the faults of messages between two nodes.
  std::mt19937_64 &randomFor(const std::string &From, const std::string &To);

  std::mt19937_64 Random;
  std::mt19937_64 SeparateRandom;
  std::set<std::string> SeparateNodes;
  TimePoint Time;
  std::uint64_t NextOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::map<std::string, Node> Nodes;
  std::set<std::string> Isolated;
  std::set<std::pair<std::string, std::string>> Cuts;
  NetworkFaults Faults;
  std::function<Duration(const std::string &, const std::string &)>
      DelayBetween;
  std::function<Duration(const PeerRef &, const PeerRef &,
                         const peer::Message &)>
      Filter;
  std::uint64_t Sent = 0;
  std::uint64_t Bytes = 0;
};

} // namespace yardwheel

#endif
