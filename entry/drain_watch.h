//===- entry/drain_watch.h - When a draining entry may end ------*- C++ -*-===//
///
/// \file
/// Tells when callers have moved away from an entry that shuts down, so that
/// it can end, and be back, sooner than its grace allows.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_DRAIN_WATCH_H
#define YARDWHEEL_ENTRY_DRAIN_WATCH_H

#include "core/clock.h"

#include <cstdint>

namespace yardwheel {

struct DrainOptions {
  /// How long the balancer may still send new connections here: it takes two
  /// checks, a second apart, to see that this process is not ready.
  std::chrono::milliseconds BalancerNoticeTime{2200};
  /// How long nothing must have been submitted or in flight after that. Busy
  /// callers submit several times as often.
  std::chrono::milliseconds QuietPeriod{400};
  /// Callers that stay are served for this long.
  std::chrono::milliseconds MaxDrain{4000};
};

class DrainWatch {
public:
  DrainWatch(DrainOptions Options, TimePoint Start)
      : Options(Options), Start(Start), LastBusy(Start) {}

  /// \param Submissions Read since the process began, refused ones too.
  /// \param InFlight Jobs whose callers wait.
  /// \returns whether submissions need no longer be taken.
  bool isOver(std::uint64_t Submissions, std::size_t InFlight, TimePoint Now);

private:
  DrainOptions Options;
  TimePoint Start;
  TimePoint LastBusy;
  std::uint64_t LastSubmissions = 0;
};

} // namespace yardwheel

#endif
