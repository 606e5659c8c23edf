//===- tests/entry/lease_scenario.h - Random fault scenario -----*- C++ -*-===//
///
/// \file
/// A random scenario of the leased path: jobs of several lengths, and
/// overlapping faults: blocked links, frozen and killed processes, network
/// faults and lost calls to workers. Then all faults end, for long enough that
/// every job can end.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_ENTRY_LEASE_SCENARIO_H
#define YARDWHEEL_TESTS_ENTRY_LEASE_SCENARIO_H

#include "emulator/persistent_caller.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yardwheel {

struct LeaseScenarioOptions {
  LeasedWorldOptions World;
  PersistentCallerOptions Callers;
  /// Maximum number of worker crashes with a restart in a scenario.
  std::uint32_t MaxWorkerCrashes = 0;
  /// Whether all hosts lose power at the same moment, once in the scenario.
  bool PowerLoss = false;
};

class LeaseScenario {
public:
  /// Returns the options of the callers and processes for \p Seed.
  static LeaseScenarioOptions options(std::uint64_t Seed);
  /// Like options(), with agents that coordinate all or some of the jobs.
  static LeaseScenarioOptions delegatedOptions(std::uint64_t Seed);

  explicit LeaseScenario(const LeaseScenarioOptions &Options);

  /// Runs the scenario to its end. \returns the violations found; empty if
  /// there are none.
  std::string run();
  /// Returns the faults and what callers saw, one line each.
  std::string describe() const;
  std::uint32_t jobs() const {
    return static_cast<std::uint32_t>(this->Callers.size());
  }
  std::uint32_t completed() const;
  /// Number of jobs that the present incarnations of the entries delegated.
  std::uint64_t delegated() const;
  /// Number of jobs that were given up as crashing, in scenarios with worker
  /// crashes.
  std::uint32_t givenUpAsCrashing() const;
  std::uint32_t overlappingRuns() const {
    return this->World.overlappingRuns();
  }

private:
  using Link = std::pair<std::string, std::string>;

  std::chrono::milliseconds draw(std::chrono::milliseconds Min,
                                 std::chrono::milliseconds Max);
  /// The processes that the faults of one cluster hit more often than others.
  struct Focus {
    std::size_t Entry = 0;
    std::size_t Agent = 0;
  };
  std::size_t pickEntry(const Focus &Target);
  std::size_t pickAgent(const Focus &Target);
  void planCluster();
  void causeFault(const Focus &Target);
  void blockLinks(const Focus &Target);
  /// Blocks links between an agent and others, in scenarios in which agents
  /// coordinate jobs.
  void blockAgents(const Focus &Target);
  void blockLink(const Link &Direction, bool IsDelayed,
                 std::chrono::milliseconds Length);
  void freeze(const Focus &Target);
  void kill(const Focus &Target);
  void injectCallFaults(const Focus &Target);
  void injectNetworkFaults();
  void planWorkerCrashes();
  /// Stops all processes and workers at the same moment; they restart one after
  /// the other.
  void planPowerLoss();
  void planJob(std::chrono::milliseconds At);
  void logFault(const std::string &What);
  std::string findings() const;

  std::mt19937_64 Random;
  LeaseScenarioOptions Options;
  LeasedWorld World;
  std::vector<std::unique_ptr<PersistentCaller>> Callers;
  /// Number of faults that currently block each direction of a link.
  std::map<Link, int> CutCounts;
  /// When delayed messages are delivered, by direction of the link.
  std::map<Link, TimePoint> DelayedUntil;
  std::string Log;
};

} // namespace yardwheel

#endif
