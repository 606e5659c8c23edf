//===- coordination/lease_metrics.h - Metrics of leased jobs ----*- C++ -*-===//
///
/// \file
/// Response times and slowdowns of best-effort jobs by route, and how they
/// ended. Not thread-safe: used on the event loop's thread, which passes the
/// text to other threads.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_LEASE_METRICS_H
#define YARDWHEEL_COORDINATION_LEASE_METRICS_H

#include "coordination/leased_job.h"
#include "core/log_histogram.h"

#include <chrono>
#include <map>
#include <string>

namespace yardwheel {

class LeaseMetrics {
public:
  void onEnded(const std::string &Route, LeasedEnd End,
               std::chrono::microseconds Response,
               std::chrono::milliseconds Objective);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Series {
    Series();
    LogHistogram Response;
    /// Response time divided by the job's objective; above 1 the job was late.
    LogHistogram OverObjective;
    std::map<std::string, std::uint64_t> Ends;
  };

  std::map<std::string, Series> Routes;
};

} // namespace yardwheel

#endif
