//===- bench/ideal_queue.h - An omniscient single queue ---------*- C++ -*-===//
///
/// \file
/// The ideal that policies are measured against: one queue in the order of
/// arrival over the same slots, without any delay, and with no task lost.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_BENCH_IDEAL_QUEUE_H
#define YARDWHEEL_BENCH_IDEAL_QUEUE_H

#include "bench/workload.h"

#include <optional>
#include <vector>

namespace yardwheel {

/// Response times by job; nothing for a job that is cancelled.
std::vector<std::optional<Duration>>
idealResponses(const std::vector<JobPlan> &Jobs, const Deployment &Site,
               const LoadSpec &Load, Duration Length);

} // namespace yardwheel

#endif
