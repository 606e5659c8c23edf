//===- bench/ideal_queue.h - Ideal single queue -----------------*- C++ -*-===//
///
/// \file
/// The ideal that policies are compared with: one queue for all slots, in order
/// of arrival, without network delays and without lost tasks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_BENCH_IDEAL_QUEUE_H
#define YARDWHEEL_BENCH_IDEAL_QUEUE_H

#include "bench/workload.h"

#include <optional>
#include <vector>

namespace yardwheel {

/// Returns the response time of each job; no value for a cancelled job.
std::vector<std::optional<Duration>>
idealResponses(const std::vector<JobPlan> &Jobs, const Deployment &Site,
               const LoadSpec &Load, Duration Length);

} // namespace yardwheel

#endif
