//===- dispatch/waiting_rule.h - Where tasks wait ---------------*- C++ -*-===//
///
/// \file
/// Decides whether tasks that no worker can start immediately wait at their
/// entry, for the first of several workers that becomes free, or in the queue
/// of one worker.
///
/// Load pattern: all workers are briefly full when a wide job of short tasks
/// arrives. In a worker's own queue each task waits for a slot of that worker,
/// about 20 ms apart, and the job ends with the task that waited longest. If
/// the job requests offers from twice as many workers as it has tasks, it gets
/// the first slots that become free anywhere. A job with time to spare doesn't
/// need this and saves its messages.
///
/// Waiting for offers lets more wide jobs of short tasks meet their objectives
/// while the workers are nearly full.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_WAITING_RULE_H
#define YARDWHEEL_DISPATCH_WAITING_RULE_H

#include <chrono>
#include <cstddef>

namespace yardwheel {

struct WaitingOptions {
  /// Switched off only for comparison: tasks then always wait at a worker.
  bool Enabled = true;
  /// Jobs with less time than this before their latest start wait for offers. A
  /// full worker frees some slots in this time, so that jobs with more time are
  /// safe in any queue.
  std::chrono::milliseconds MaxUrgentSlack{150};
  /// Maximum pool size at which offers are used. In a larger pool, a job that
  /// was sent where it doesn't fit finds capacity at one of the next two
  /// workers, without several times as many messages; jobs earned slightly less
  /// with offers there.
  std::size_t MaxWorkers = 24;
  /// Number of workers asked for an offer per waiting task.
  double WorkersPerTask = 2;
  /// Fraction of the time before the latest start that is spent on waiting for
  /// offers. After that, the tasks go into workers' queues, since an offer or a
  /// request for one may have been lost.
  double OfferWaitFraction = 0.6;
};

class WaitingRule {
public:
  explicit WaitingRule(WaitingOptions Options) : Options(Options) {}

  /// Whether tasks wait for offers. \param Slack Time until the latest start.
  /// \param Workers Number of workers in the pool.
  bool waitsForOffers(std::chrono::milliseconds Slack,
                      std::size_t Workers) const;
  /// Whether tasks may wait for offers in a pool of this size.
  bool usesOffers(std::size_t Workers) const {
    return this->Options.Enabled && Workers <= this->Options.MaxWorkers;
  }
  /// Returns how long tasks wait for offers.
  std::chrono::milliseconds
  offerWaitTime(std::chrono::milliseconds Slack) const;
  /// Returns the number of workers that are asked for offers.
  std::size_t workersToQuery(std::size_t Tasks) const;

private:
  WaitingOptions Options;
};

} // namespace yardwheel

#endif
