//===- coordination/open_start_relay.h - Relay of open starts --*- C++ -*-===//
///
/// \file
/// Tells the other entries of open starts that they may not have heard of from
/// their agent: those at an agent which this entry has given up, and those of
/// jobs that have ended here without being completed. Each row is repeated
/// until the receiver has acknowledged it, also to an entry that starts while
/// the row is open. Nothing is sent while no such start is open.
///
/// Single-threaded; uses no sockets and no clock of its own.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_OPEN_START_RELAY_H
#define YARDWHEEL_COORDINATION_OPEN_START_RELAY_H

#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace yardwheel {

struct OpenStartRelayOptions {
  /// Interval between messages to an entry that has not acknowledged all rows.
  std::chrono::milliseconds RepeatInterval{200};
  /// Maximum number of rows in a message. An entry gets the next ones once it
  /// has acknowledged these.
  int MaxPerMessage = 500;
  /// Maximum number of rows kept.
  std::size_t MaxStarts = 20000;
};

class OpenStartRelay {
public:
  /// \param FirstNumber A number above those of earlier incarnations of this
  /// entry; its rows get higher ones.
  OpenStartRelay(OpenStartRelayOptions Options, std::uint64_t FirstNumber)
      : Options(Options), LastNumber(FirstNumber) {}

  /// Handles a change of another entry in the member table of control.
  void onMember(const peer::Member &Entry);
  /// Adds a start that may be open at an agent until a time.
  void add(const std::string &Agent, const std::string &Job,
           std::uint32_t Index, TimePoint Until);
  void onReply(const std::string &Entry,
               const peer::OpenStartRelayReply &Reply);
  /// \returns the messages that are due now.
  std::vector<std::pair<PeerRef, peer::Message>> dueMessages(TimePoint Now);

private:
  struct Row {
    std::uint64_t Number = 0;
    std::string Agent;
    std::string Job;
    std::uint32_t Index = 0;
    TimePoint Until;
  };
  struct Entry {
    PeerRef Ref;
    std::uint64_t Incarnation = 0;
    std::uint64_t Acknowledged = 0;
    /// The highest number that was sent to it.
    std::uint64_t LastSent = 0;
    TimePoint NextMessage = TimePoint::min();
  };

  peer::Message messageFor(const Entry &To, TimePoint Now) const;

  OpenStartRelayOptions Options;
  Logger Log{"open-starts"};
  std::uint64_t LastNumber;
  /// In the order of their numbers.
  std::deque<Row> Rows;
  /// The other entries that control has not lost, by name.
  std::map<std::string, Entry> Entries;
};

} // namespace yardwheel

#endif
