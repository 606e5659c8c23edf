//===- bench/policy_bench.h - Comparison of policies ------------*- C++ -*-===//
///
/// \file
/// Runs a policy under a load in virtual time, with the classes that the daemon
/// uses, and measures the users' two criteria: slowdown and wasted messages.
///
/// The slowdown of a job is its response time at its entry, divided by the
/// shortest time in which its work can be done: the longest of its tasks, or
/// the total of all tasks divided by the number of slots, whichever is longer.
/// The slowdown of the ideal is measured in the same way.
///
/// Messages are wasted unless they carry a task, its result or one of the three
/// claims that a job needs. A refused task counts as two; a query or the reply
/// to one, a notice of a free slot, a resent or released claim, and a reply
/// "still pending" count as one each.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_BENCH_POLICY_BENCH_H
#define YARDWHEEL_BENCH_POLICY_BENCH_H

#include "bench/workload.h"

#include <string>
#include <vector>

namespace yardwheel {

struct Quantiles {
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;
};

struct BenchRow {
  std::string Policy;
  std::string Load;
  std::size_t Jobs = 0;
  std::size_t Tasks = 0;
  Quantiles Slowdown;
  double WastedPerTask = 0;
  std::size_t Refused = 0;
  std::size_t Failed = 0;
  std::uint32_t DoubleStarts = 0;
  /// Describes a violated invariant; empty if there was none.
  std::string Violation;
};

/// Runs one policy under one load.
BenchRow runPolicy(const Deployment &Site, const LoadSpec &Load,
                   const std::string &Policy, Duration Length,
                   std::uint64_t Seed);

/// Runs the ideal under one load; the same seed gives the same jobs.
BenchRow runIdeal(const Deployment &Site, const LoadSpec &Load, Duration Length,
                  std::uint64_t Seed);

Quantiles quantilesOf(std::vector<double> Values);

} // namespace yardwheel

#endif
