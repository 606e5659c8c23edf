//===- agent/open_starts.h - Starts without a reply -------------*- C++ -*-===//
///
/// \file
/// The starts that stayed without a reply, and which entries know of them. A
/// worker may execute such a call seconds later. If it has restarted under its
/// id by then, it knows neither a fencing token nor a stop that would make it
/// refuse the call, until its agent calls it. Entries that know of an open
/// start place the task only at its agent.
///
/// Single-threaded; uses no sockets and no clock of its own.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_OPEN_STARTS_H
#define YARDWHEEL_AGENT_OPEN_STARTS_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

struct OpenStartOptions {
  /// How long after a call went unanswered the worker may still execute it.
  std::chrono::milliseconds MaxCallDelay{15000};
  /// Interval between reports to an entry that has not acknowledged an open
  /// start.
  std::chrono::milliseconds ReportInterval{200};
  /// An entry that has been silent for this long gets no reports; several times
  /// the interval at which entries ask an idle agent for its load.
  std::chrono::milliseconds EntryTimeout{10000};
  /// Maximum number of open starts in one report. An entry gets the next ones
  /// once it has acknowledged these.
  int MaxPerReport = 500;
};

class OpenStarts {
public:
  explicit OpenStarts(OpenStartOptions Options) : Options(Options) {}

  void add(const std::string &Job, std::uint32_t Index, TimePoint Now);
  /// Records that an entry has sent a message.
  void trackEntry(const PeerRef &Entry, TimePoint Now);
  /// Records that an entry knows of the open starts up to \p Number.
  void acknowledge(const std::string &Entry, std::uint64_t Number);
  /// Adds the open starts that the entry has not acknowledged to a report.
  void list(const std::string &Entry, TimePoint Now,
            peer::WorkerLoad &Report) const;
  /// \returns the entries that are due to get a report, and schedules their
  /// next one.
  std::vector<PeerRef> dueReports(TimePoint Now);
  /// \returns the entries that were heard from within EntryTimeout.
  std::vector<PeerRef> entries(TimePoint Now) const;

private:
  struct OpenStart {
    std::uint64_t Number = 0;
    std::string Job;
    std::uint32_t Index = 0;
    TimePoint Until;
  };
  struct Entry {
    PeerRef Ref;
    TimePoint LastHeard;
    std::uint64_t Acknowledged = 0;
    TimePoint NextReport = TimePoint::min();
  };

  OpenStartOptions Options;
  std::uint64_t LastNumber = 0;
  /// In the order of their numbers and of the times until which they are open.
  std::deque<OpenStart> Starts;
  std::map<std::string, Entry> Entries;
};

} // namespace yardwheel

#endif
