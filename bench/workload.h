//===- bench/workload.h - Jobs of the two services --------------*- C++ -*-===//
///
/// \file
/// The brief's two services and the loads that policies are compared under,
/// all drawn from a seed.
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

/// A service of the brief: its hosts, its delays and its kind of jobs.
struct Deployment {
  std::string Name;
  std::size_t Entries = 3;
  std::size_t Upstreams = 11;
  std::uint32_t Slots = 8;
  std::size_t DataCentres = 3;
  /// One way, between two data centres.
  Duration FarDelay{1000};
  /// One way, within a data centre.
  Duration NearDelay{100};
  /// Jobs have 1 task or more, this many on average.
  double MeanTasks = 4;

  std::uint32_t totalSlots() const {
    return static_cast<std::uint32_t>(this->Upstreams) * this->Slots;
  }
};

Deployment tradingUnit();
Deployment skyArchive();

/// What is special about a load.
struct LoadSpec {
  std::string Name;
  /// Share of the slots that is busy on average, in percent.
  std::uint32_t Percent = 80;
  bool Bursts = false;
  bool Stragglers = false;
  /// One upstream fails all it starts, at once.
  bool FailingUpstream = false;
  /// Declared sizes are off by up to ten times either way.
  bool WrongSizes = false;
  /// A third of all jobs is cancelled in one moment.
  bool CancelWave = false;
  /// Callers that wait for a second submit again elsewhere.
  bool Retries = false;
  /// One upstream is lost in the middle.
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

/// Jobs that arrive within \p Length, in order.
std::vector<JobPlan> makeJobs(const Deployment &Site, const LoadSpec &Load,
                              Duration Length, std::uint64_t Seed);

} // namespace yardwheel

#endif
