//===- tests/entry/lease_scenario.h - Random fault scenario -----*- C++ -*-===//
///
/// \file
/// One random story of the leased path: jobs of several lengths, and beside
/// them silences, freezes, kills, noise and lost calls to workers, several at a
/// time. Then all is mended, and calm for long enough that all can end.
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
  /// Most times that workers crash and start again in a story.
  std::uint32_t MaxWorkerCrashes = 0;
  /// Whether all hosts lose power at the same moment, once.
  bool PowerLoss = false;
};

class LeaseScenario {
public:
  /// What callers promise and processes are given, for \p Seed.
  static LeaseScenarioOptions options(std::uint64_t Seed);

  explicit LeaseScenario(const LeaseScenarioOptions &Options);

  /// Plays it to its end. \returns what is wrong, or nothing.
  std::string run();
  /// The faults and what callers saw, a line each.
  std::string describe() const;
  std::uint32_t jobs() const {
    return static_cast<std::uint32_t>(this->Callers.size());
  }
  std::uint32_t completed() const;
  /// Jobs that ended as crashing, in stories with workers that crash.
  std::uint32_t givenUpAsCrashing() const;
  std::uint32_t doubledRuns() const { return this->World.doubledRuns(); }

private:
  using Link = std::pair<std::string, std::string>;

  std::chrono::milliseconds draw(std::chrono::milliseconds Min,
                                 std::chrono::milliseconds Max);
  /// The processes that the faults of one cluster hit more than others.
  struct Focus {
    std::size_t Entry = 0;
    std::size_t Agent = 0;
  };
  std::size_t pickEntry(const Focus &Target);
  std::size_t pickAgent(const Focus &Target);
  void planCluster();
  void causeFault(const Focus &Target);
  void blockLinks(const Focus &Target);
  void blockLink(const Link &Way, bool IsDelayed,
                 std::chrono::milliseconds Length);
  void freeze(const Focus &Target);
  void kill(const Focus &Target);
  void injectCallFaults(const Focus &Target);
  void injectNetworkFaults();
  void planWorkerCrashes();
  /// All processes and workers lose power at the same moment, and come back one
  /// after the other.
  void planPowerLoss();
  void planJob(std::chrono::milliseconds At);
  void logFault(const std::string &What);
  std::string findings() const;

  std::mt19937_64 Random;
  LeaseScenarioOptions Options;
  LeasedWorld World;
  std::vector<std::unique_ptr<PersistentCaller>> Callers;
  /// How many silences each direction of a link has now.
  std::map<Link, int> CutCounts;
  /// Until when messages are held up on their way.
  std::map<Link, TimePoint> DelayedUntil;
  std::string Log;
};

} // namespace yardwheel

#endif
