//===- entry/job_metrics.h - Metrics of finished jobs -----------*- C++ -*-===//
///
/// \file
/// Response times and slowdowns for each workspace, job class and policy. The
/// class is given by the job's size. Slowdown is the response time divided by
/// the ideal time for the same work: the longest task, or the sum of all tasks
/// spread over the pool's slots, whichever is longer.
///
/// Written on the event loop's thread; read by the threads that serve /metrics.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_JOB_METRICS_H
#define YARDWHEEL_ENTRY_JOB_METRICS_H

#include "core/log_histogram.h"
#include "entry/job_service.h"
#include "protocol/api.pb.h"

#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace yardwheel {

/// Returns "single" for 1 task, "small" for up to 32 tasks and "large" beyond.
const char *jobClass(std::size_t Tasks);

/// Returns the name of a failure kind in responses and metrics.
const char *failureName(peer::FailureKind Kind);

class JobMetrics final : public JobObserver {
public:
  void onJobEnded(const Job &Ended, std::uint32_t PoolSlots,
                  TimePoint Now) override;

  /// Returns all metrics in Prometheus' text format.
  std::string text() const;
  /// Returns the statistics of one workspace, by policy.
  api::WorkspaceReport report(const std::string &Workspace,
                              const std::string &Entry) const;

private:
  struct Key {
    std::string Workspace;
    std::string Class;
    std::string Policy;
    bool operator<(const Key &Other) const {
      return std::tie(this->Workspace, this->Class, this->Policy) <
             std::tie(Other.Workspace, Other.Class, Other.Policy);
    }
  };
  struct Series {
    LogHistogram Response;
    LogHistogram Slowdown;
    std::uint64_t Jobs = 0;
    std::uint64_t Tasks = 0;
    std::uint64_t Wasted = 0;
    std::map<std::string, std::uint64_t> Failures;
  };

  static Series makeSeries();

  mutable std::mutex Mutex;
  std::map<Key, Series> SeriesByKey;
};

} // namespace yardwheel

#endif
