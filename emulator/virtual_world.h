//===- emulator/virtual_world.h - Virtual time and a bad network *- C++ -*-===//
///
/// \file
/// A fake at the interfaces of the decision code: an event queue in virtual
/// time and a network that delays, drops, doubles, reorders and cuts, all
/// from one seed. It knows nothing of what the messages mean.
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
  /// Chances, in thousandths.
  std::uint32_t LossPermille = 0;
  std::uint32_t DuplicatePermille = 0;
  /// Added to a message's delay, at random up to this.
  Duration Jitter{0};
};

/// In what order a node that thaws takes what it held.
enum class ThawOrder {
  AsHeld,
  /// Its timers fire after it has read all that came meanwhile.
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

  /// Adds a node, or begins a new life of it. Messages and timers of its
  /// earlier lives are dropped.
  void start(const std::string &Node, Receiver Receive);
  /// Tells a node, after a delivery's time-out, that a message of its own did
  /// not arrive in time, or that its receipt did not.
  void onSendFailed(const std::string &Node,
                    std::function<void(const Undelivered &Lost)> Handler);
  /// Calls \p Tick every \p Interval for as long as this life lasts.
  void every(const std::string &Node, Duration Interval,
             const std::function<void()> &Tick);
  /// Runs \p Action on a node's present life: when it thaws, if it is frozen.
  void runOn(const std::string &Node, const std::function<void()> &Action);
  void kill(const std::string &Node);
  /// A frozen node does nothing; what comes meanwhile waits for it.
  void freeze(const std::string &Node);
  void thaw(const std::string &Node, ThawOrder Order = ThawOrder::AsHeld);
  bool isUp(const std::string &Node) const;

  /// Nothing passes between \p Node and any other node.
  void isolate(const std::string &Node) { this->Isolated.insert(Node); }
  void reconnect(const std::string &Node) { this->Isolated.erase(Node); }
  void cut(const std::string &A, const std::string &B);
  /// Nothing passes from one to the other, while the way back is open.
  void cutOneWay(const std::string &From, const std::string &To);
  void restoreOneWay(const std::string &From, const std::string &To);
  void reconnectAll();
  void setFaults(NetworkFaults New) { this->Faults = New; }
  /// One-way delay between two nodes.
  void setDelay(
      std::function<Duration(const std::string &, const std::string &)> New) {
    this->DelayBetween = std::move(New);
  }
  /// Sees each message before it is sent, and may hold it back by a delay.
  void setFilter(std::function<Duration(const PeerRef &, const PeerRef &,
                                        const peer::Message &)>
                     New) {
    this->Filter = std::move(New);
  }

  /// The outlet of a node.
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
    std::uint64_t Life = 0;
    bool Up = false;
    bool Frozen = false;
    std::vector<HeldAction> Held;
    std::unique_ptr<PeerSink> Sink;
  };
  class NodeSink;

  void send(const std::string &From, const PeerRef &To,
            const peer::Message &Message);
  /// A message on its way, and the life of the node that sent it.
  struct Parcel {
    PeerRef From;
    PeerRef To;
    peer::Message Message;
    TimePoint SentAt;
  };
  void deliverLater(const Parcel &Sent, Duration Delay);
  void reportFailure(const Parcel &Sent);
  void runFor(const std::string &Name, std::uint64_t Life,
              const std::function<void()> &Action, bool IsTimer = false);
  void tickLater(const std::string &Name, std::uint64_t Life, Duration Interval,
                 const std::function<void()> &Tick);
  bool isCut(const std::string &A, const std::string &B) const;

  std::mt19937_64 Random;
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
