//===- entry/self_load.h - Whether this entry keeps up ----------*- C++ -*-===//
///
/// \file
/// Decides whether an entry may take jobs and whether the balancer should send
/// it callers, by how long ago it last had nothing left to do.
///
/// Load pattern: a host that turns several times slower, or an uneven share of
/// callers. What is taken then waits unread until its callers have gone, and
/// costs the time that jobs under way need. A refusal costs a fraction of a
/// job, and the callers' next attempt reaches another entry.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_SELF_LOAD_H
#define YARDWHEEL_ENTRY_SELF_LOAD_H

#include "core/clock.h"

namespace yardwheel {

struct SelfLoadOptions {
  /// Off only to compare.
  bool Enabled = true;
  /// Without an idle moment for this long, new jobs are refused. Above the
  /// longest busy periods of an entry that keeps up at nine tenths of its
  /// processor time (some 50 ms), and below what a short job can wait.
  std::chrono::milliseconds RefuseAfter{150};
  /// The same for the balancer: callers are sent elsewhere for a while. The
  /// balancer needs seconds to notice, so shorter spells are no reason.
  std::chrono::milliseconds NotReadyAfter{500};
  /// How long callers are sent elsewhere; doubles if it was too short.
  std::chrono::milliseconds MinPause{2000};
  std::chrono::milliseconds MaxPause{8000};
  /// After this process was behind, for how long requests may be read that
  /// have waited until their callers went.
  std::chrono::milliseconds LateReadPeriod{3000};
};

class SelfLoad {
public:
  explicit SelfLoad(SelfLoadOptions Options) : Options(Options) {}

  /// Whether a new job should be refused; for any thread.
  /// \param LastIdle When there was last nothing left to do.
  bool isBehind(TimePoint Now, TimePoint LastIdle) const {
    return this->Options.Enabled && Now - LastIdle > this->Options.RefuseAfter;
  }

  /// Whether the balancer should send callers elsewhere at once; for any
  /// thread, as the loop itself may not come to it.
  bool isOverloaded(TimePoint Now, TimePoint LastIdle) const {
    return this->Options.Enabled &&
           Now - LastIdle > this->Options.NotReadyAfter;
  }

  /// Whether a request read now may have waited here for long; for any thread.
  /// \param LastBehind Until when this process did not keep up with its input.
  bool mayReadStale(TimePoint Now, TimePoint LastBehind) const {
    return this->Options.Enabled && LastBehind != TimePoint::min() &&
           Now - LastBehind < this->Options.LateReadPeriod;
  }

  /// On the loop's thread, at each tick. \returns whether callers should be
  /// sent here.
  bool mayBeReady(TimePoint Now, TimePoint LastIdle);

private:
  SelfLoadOptions Options;
  TimePoint NotReadyUntil = TimePoint::min();
  std::chrono::milliseconds Pause{};
};

} // namespace yardwheel

#endif
