//===- tests/system/soak_link.h - Faults on the way to a node ---*- C++ -*-===//
///
/// \file
/// A TCP proxy before the link address of one node. It delays, holds up, resets
/// or silences the connections that pass, of all peers or of one.
///
/// A node announces the address at which it listens. So that its peers learn
/// the proxy's instead, each proxy replaces, in what passes, the address of
/// every node by that of its proxy, which has the same length: the host's
/// number begins with 2 instead of 1.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_LINK_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_LINK_H

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace yardwheel {

/// The address of each node's proxy is that of the node with this added to the
/// host's number.
constexpr int SoakProxyOffset = 100;

enum class LinkFaultKind {
  /// What passes arrives later.
  Delay,
  /// Nothing passes in one direction until the fault ends, but connections
  /// stay.
  Hold,
  /// The connections that are open carry nothing any more; new ones work.
  Silence,
  Reset,
};

struct LinkFault {
  LinkFaultKind Kind = LinkFaultKind::Reset;
  /// The host that connects to the node; 0 is any.
  int From = 0;
  /// Of what the node sends back, instead of what it is sent.
  bool Back = false;
  std::chrono::milliseconds Delay{0};
  std::chrono::steady_clock::time_point Until;
};

class SoakLink {
public:
  /// \param Net The first three numbers of all nodes' addresses.
  SoakLink(const std::string &Net, int Host, int Port);
  ~SoakLink();
  SoakLink(const SoakLink &) = delete;
  SoakLink &operator=(const SoakLink &) = delete;

  void apply(const LinkFault &Fault);
  /// Ends all faults.
  void heal();
  /// Connections whose peer is known to be another node, so far.
  int recognized() const { return this->Recognized.load(); }

private:
  using Clock = std::chrono::steady_clock;
  struct Chunk {
    std::string Bytes;
    Clock::time_point Due;
  };
  /// One direction of a connection.
  struct Lane {
    int From = -1;
    int To = -1;
    /// The beginning of what may be an address, until more is read.
    std::string Partial;
    Clock::time_point ReadAt;
    std::deque<Chunk> Queue;
  };
  struct Pair {
    Lane Up;
    Lane Down;
    int Peer = 0;
    bool Silent = false;
    bool Closed = false;
  };

  void run();
  void accept();
  void read(Pair &Open, Lane &Way);
  void write(Pair &Open, Lane &Way);
  void rewrite(Pair &Open, Lane &Way, bool Flush);
  bool matches(const std::string &Text, std::size_t At) const;
  const LinkFault *find(LinkFaultKind Kind, const Pair &Open, bool Back) const;
  void dropClosed();

  /// An address, with # for a digit.
  std::string Pattern;
  std::size_t FirstDigit;
  std::string Target;
  int Listener = -1;
  std::vector<Pair> Pairs;
  std::mutex Mutex;
  std::vector<LinkFault> Faults;
  std::atomic<int> Recognized{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace yardwheel

#endif
