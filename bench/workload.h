//===- bench/workload.h - Jobs of the two services --------------*- C++ -*-===//
///
/// \file
/// The two services of the requirements, and the loads for the comparison of
/// policies, all drawn from a seed.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_BENCH_WORKLOAD_H
#define YARDWHEEL_BENCH_WORKLOAD_H

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

/// A service of the requirements: its hosts, network delays and job sizes.
struct Deployment {
  std::string Name;
  std::size_t Entries = 3;
  std::size_t Upstreams = 11;
  std::uint32_t Slots = 8;
  std::size_t DataCentres = 3;
  /// One-way delay between two data centres.
  Duration FarDelay{1000};
  /// One-way delay within a data centre.
  Duration NearDelay{100};
  /// Mean number of tasks of a job, at least 1.
  double MeanTasks = 4;

  std::uint32_t totalSlots() const {
    return static_cast<std::uint32_t>(this->Upstreams) * this->Slots;
  }
};

Deployment tradingUnit();
Deployment skyArchive();

/// The properties of a load.
struct LoadSpec {
  std::string Name;
  /// Mean share of busy slots, in percent.
  std::uint32_t Percent = 80;
  bool Bursts = false;
  bool Stragglers = false;
  /// One upstream fails all its tasks immediately.
  bool FailingUpstream = false;
  /// Declared service times are up to ten times too long or too short.
  bool WrongSizes = false;
  /// Two thirds of the jobs that arrive in the last 3 s before the middle of
  /// the load are cancelled at the middle, all at the same time.
  bool CancelWave = false;
  /// Callers without an answer after a second resubmit to another entry.
  bool Retries = false;
  /// One upstream is lost in the middle of the load.
  bool LostUpstream = false;
};

const std::vector<LoadSpec> &allLoads();

struct TaskPlan {
  Duration Service;
  Duration Declared;
};

struct JobPlan {
  Duration At;
  std::size_t Entry = 0;
  std::vector<TaskPlan> Tasks;
  std::optional<Duration> CancelAt;

  Duration longest() const;
  Duration total() const;
};

/// Returns the jobs that arrive within \p Length, in order of arrival.
std::vector<JobPlan> makeJobs(const Deployment &Site, const LoadSpec &Load,
                              Duration Length, std::uint64_t Seed);

} // namespace yardwheel

#endif
