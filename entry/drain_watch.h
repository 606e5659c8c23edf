//===- entry/drain_watch.h - When draining is complete ----------*- C++ -*-===//
///
/// \file
/// Determines when callers have moved away from an entry that shuts down, so
/// that it can exit, and restart, before its drain timeout.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_DRAIN_WATCH_H
#define YARDWHEEL_ENTRY_DRAIN_WATCH_H

#include "core/clock.h"

#include <cstdint>

namespace yardwheel {

struct DrainOptions {
  /// How long the balancer may still send new connections: it needs two checks,
  /// a second apart, to notice that this process isn't ready.
  std::chrono::milliseconds BalancerNoticeTime{2200};
  /// How long there must be no submissions and no jobs in flight after that.
  /// Busy callers submit several times in this period.
  std::chrono::milliseconds QuietPeriod{400};
  /// Maximum time for which remaining callers are served.
  std::chrono::milliseconds MaxDrain{4000};
};

class DrainWatch {
public:
  DrainWatch(DrainOptions Options, TimePoint Start)
      : Options(Options), Start(Start), LastBusy(Start) {}

  /// \param Submissions Number of submissions read since the process started,
  /// including refused ones. \param InFlight Jobs whose callers are waiting.
  /// \returns whether the entry may stop accepting submissions.
  bool isOver(std::uint64_t Submissions, std::size_t InFlight, TimePoint Now);

private:
  DrainOptions Options;
  TimePoint Start;
  TimePoint LastBusy;
  std::uint64_t LastSubmissions = 0;
};

} // namespace yardwheel

#endif
