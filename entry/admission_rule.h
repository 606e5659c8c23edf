//===- entry/admission_rule.h - Refusal of queued submissions ---*- C++ -*-===//
///
/// \file
/// Decides whether an entry takes a submission, by the time that it would wait
/// until the entry's loop comes to it.
///
/// Load pattern: callers ask for more of the entry's processor time than it
/// has. Each submission that waits delays all later ones, until most jobs miss
/// their objectives. The wait is therefore bounded, and what exceeds the
/// processor time is refused at once.
///
/// A burst that exceeds the processor time for a moment is worth waiting out,
/// as most jobs have time to spare. If much is refused all the same, the excess
/// lasts: a longer wait then makes jobs late and lets no more of them in. The
/// bound therefore falls with the share of submissions refused of late.
///
/// Without weights set by an operator, all routes have the same value, and each
/// job costs its entry about the same. A route with more submissions therefore
/// earns less for the entry's time and is refused first.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_ADMISSION_RULE_H
#define YARDWHEEL_ENTRY_ADMISSION_RULE_H

#include "core/clock.h"

#include <map>
#include <string>

namespace yardwheel {

struct AdmissionOptions {
  /// The longest wait of the route with the most submissions, while hardly any
  /// are refused. About the time that a short job has to spare.
  std::chrono::milliseconds BurstWait{90};
  /// The same while SustainedRefusals of them are refused. A few times as long
  /// as a submission takes at a tenth of a core.
  std::chrono::milliseconds SustainedWait{20};
  /// The share of submissions refused at which the excess counts as lasting.
  double SustainedRefusals = 0.5;
  /// How much longer a route with hardly any submissions waits at most than the
  /// one with the most.
  double MaxWaitFactor = 2;
  /// Time over which a route's submissions are averaged.
  std::chrono::milliseconds RateWindow{5000};
  /// Time over which the share of refused submissions is averaged. Shorter than
  /// a wave of callers, longer than a burst of refusals.
  std::chrono::milliseconds RefusalWindow{2000};
};

/// Not thread-safe.
class AdmissionRule {
public:
  explicit AdmissionRule(AdmissionOptions Options) : Options(Options) {}

  /// Records a submission of a route. \param ExpectedWait How long it would
  /// wait here. \returns whether to take it.
  bool admits(const std::string &Route, Duration ExpectedWait, TimePoint Now);

private:
  struct RouteRate {
    double Submissions = 0;
    TimePoint Updated;
  };
  double rateOf(const RouteRate &Known, TimePoint Now) const;
  /// Returns the longest wait of the route with the most submissions now.
  Duration busiestRouteWait() const;
  /// Whether a submission of a route is taken.
  bool isShortEnough(const RouteRate &Own, double BusiestRate,
                     Duration ExpectedWait) const;

  AdmissionOptions Options;
  std::map<std::string, RouteRate> Routes;
  double RefusedShare = 0;
};

} // namespace yardwheel

#endif
