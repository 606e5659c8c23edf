//===- entry/self_load.h - Overload of this entry ---------------*- C++ -*-===//
///
/// \file
/// Decides whether an entry whose event loop stands still accepts jobs, and
/// whether the load balancer should send it callers, based on the time since
/// the loop was last idle. AdmissionRule bounds the wait at a loop that runs.
///
/// Load pattern: a host that becomes several times slower, or an uneven share
/// of callers. Requests accepted then wait unread until their callers have
/// left, and consume the time that jobs in progress need. A refusal costs a
/// fraction of a job, and the caller's next attempt reaches another entry.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_SELF_LOAD_H
#define YARDWHEEL_ENTRY_SELF_LOAD_H

#include "core/clock.h"

namespace yardwheel {

struct SelfLoadOptions {
  /// Switched off only for comparison.
  bool Enabled = true;
  /// New jobs are refused after this time without a round of the event loop.
  /// Much longer than a round, and shorter than what a short job can wait.
  std::chrono::milliseconds RefuseAfter{150};
  /// After this time without an idle moment, the balancer is told to send
  /// callers elsewhere for a while. The balancer needs seconds to notice, so
  /// shorter busy periods don't count.
  std::chrono::milliseconds NotReadyAfter{500};
  /// How long callers are sent elsewhere; doubles up to MaxPause if the entry
  /// is soon overloaded again.
  std::chrono::milliseconds MinPause{2000};
  std::chrono::milliseconds MaxPause{8000};
  /// For this long after the process was behind, it may still read requests
  /// that waited until their callers left.
  std::chrono::milliseconds LateReadPeriod{3000};
};

class SelfLoad {
public:
  explicit SelfLoad(SelfLoadOptions Options) : Options(Options) {}

  /// Whether a new job should be refused, as the event loop stands still.
  /// Thread-safe. \param LastRound When the loop last began a round.
  bool isBehind(TimePoint Now, TimePoint LastRound) const {
    return this->Options.Enabled && Now - LastRound > this->Options.RefuseAfter;
  }

  /// Whether the balancer should immediately send callers elsewhere.
  /// Thread-safe, since the event loop itself may be too busy to decide it.
  bool isOverloaded(TimePoint Now, TimePoint LastIdle) const {
    return this->Options.Enabled &&
           Now - LastIdle > this->Options.NotReadyAfter;
  }

  /// Whether a request that is read now may have waited here for long.
  /// Thread-safe. \param LastBehind Until when this process did not keep up
  /// with its input.
  bool mayReadStale(TimePoint Now, TimePoint LastBehind) const {
    return this->Options.Enabled && LastBehind != TimePoint::min() &&
           Now - LastBehind < this->Options.LateReadPeriod;
  }

  /// Updates the pause. Must be called on the event loop's thread, at each
  /// tick. \returns whether the balancer should send callers here.
  bool mayBeReady(TimePoint Now, TimePoint LastIdle);

private:
  SelfLoadOptions Options;
  TimePoint NotReadyUntil = TimePoint::min();
  std::chrono::milliseconds Pause{};
};

} // namespace yardwheel

#endif
