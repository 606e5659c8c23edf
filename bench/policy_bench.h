//===- bench/policy_bench.h - Policies on the same load ---------*- C++ -*-===//
///
/// \file
/// Runs a policy under a load in virtual time, with the objects that the
/// daemon runs, and measures what the users measure: slowdown and wasted
/// messages.
///
/// A job's slowdown is its response time at its entry over the least time
/// that its work could take: its longest task, or all of them spread over the
/// slots. The ideal's slowdown is measured in the same way.
///
/// Wasted is every message that did not carry a task, its result or the three
/// claims a job needs: a refused task counts two, a question or an answer to
/// one, a word of a free slot, a claim sent again or given back, and a
/// "still pending" each count one.
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
  /// Something that must never happen; empty if it did not.
  std::string Violation;
};

/// Runs one policy under one load.
BenchRow runPolicy(const Deployment &Site, const LoadSpec &Load,
                   const std::string &Policy, Duration Length,
                   std::uint64_t Seed);

/// The ideal under the same load and seed.
BenchRow runIdeal(const Deployment &Site, const LoadSpec &Load, Duration Length,
                  std::uint64_t Seed);

Quantiles quantilesOf(std::vector<double> Values);

} // namespace yardwheel

#endif
