//===- entry/job_metrics.h - Histograms of what jobs took -------*- C++ -*-===//
///
/// \file
/// Response times and slowdowns for each workspace, class and policy. A
/// job's class is its size. Slowdown is the response time over the ideal for
/// the same work: the longest of its tasks, or all of them spread over the
/// pool's slots, whichever is longer.
///
/// Written by the loop, read by the threads that answer /metrics.
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

/// "single" for 1 task, "small" up to 32, "large" beyond.
const char *jobClass(std::size_t Tasks);

/// The name of a failure in answers and metrics.
const char *failureName(peer::FailureKind Kind);

class JobMetrics final : public JobObserver {
public:
  void onJobEnded(const Job &Ended, std::uint32_t PoolSlots,
                  TimePoint Now) override;

  /// Everything in Prometheus' text format.
  std::string text() const;
  /// What has been seen of one workspace, by policy.
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
