//===- coordination/retry_advice.h - When refused jobs return ---*- C++ -*-===//
///
/// \file
/// Computes the delay after which the caller of a refused job should submit it
/// again.
///
/// Load pattern: callers ask for more than there is for some seconds, and each
/// refused job comes back. With one delay for all, what was refused in a burst
/// returns as a burst, and is refused again.
///
/// A refused job is told to return when it is expected to be taken: after what
/// is ahead of its limit has drained, and behind the jobs that were told to
/// return before it. Each of these reserves the time in which as much as it
/// asks for is served here, so that who was refused first may return first. A
/// draw keeps callers of several processes apart.
///
/// Single-threaded; uses no clock.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_RETRY_ADVICE_H
#define YARDWHEEL_COORDINATION_RETRY_ADVICE_H

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace yardwheel {

struct RetryAdviceOptions {
  /// Shortest delay. A full worker ends some short tasks in this time, but
  /// those that wait there take their room.
  std::chrono::milliseconds MinDelay{300};
  /// Longest delay. A burst lasts some seconds; a caller that waits longer than
  /// this may miss its end.
  std::chrono::milliseconds MaxDelay{2000};
  /// Largest random extension of a delay, as a share of it.
  double Spread = 0.25;
  /// Share of the service that is left for jobs that return: most of it goes to
  /// jobs that arrive for the first time.
  double ReturnShare = 0.25;
  /// Time over which the rate of service is averaged.
  std::chrono::milliseconds RateWindow{2000};
};

class RetryAdvice {
public:
  RetryAdvice(RetryAdviceOptions Options, std::uint64_t Seed)
      : Options(Options), Random(Seed) {}

  /// Records that a resource, such as a pool, has served an amount of what jobs
  /// ask of it.
  void onServed(const std::string &Resource, double Amount, TimePoint Now);
  /// Returns the delay for a refused job and reserves its return.
  /// \param Wait How long what is taken already keeps the job out. \param
  /// Amount What the job asks of the resource.
  std::chrono::milliseconds advise(const std::string &Resource,
                                   std::chrono::milliseconds Wait,
                                   double Amount, TimePoint Now);

private:
  using Millis = std::chrono::duration<double, std::milli>;
  struct Queue {
    /// Amount served within about the last RateWindow.
    double Served = 0;
    TimePoint Updated;
    /// Time for which the returns that are reserved take all that is served.
    Millis Reserved{};
    TimePoint ReservedAt;
  };
  /// Returns the share of an amount that still counts.
  double weightAfter(Duration Age) const;

  RetryAdviceOptions Options;
  std::mt19937_64 Random;
  std::map<std::string, Queue> Queues;
};

} // namespace yardwheel

#endif
