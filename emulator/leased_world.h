//===- emulator/leased_world.h - Leased tasks in virtual time ---*- C++ -*-===//
///
/// \file
/// Entries, agents and workers of the leased path in virtual time: the real
/// coordinators and keepers with their decisions, and workers that guard their
/// room and run each task for as long as its spec says, or crash when they
/// start it. The load is the caller's; the same seed gives the same run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_WORLD_H
#define YARDWHEEL_EMULATOR_LEASED_WORLD_H

#include "agent/lease_keeper.h"
#include "emulator/virtual_world.h"
#include "entry/lease_coordinator.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

/// In place of a task's length: the worker that starts it crashes.
constexpr std::chrono::milliseconds CrashesWorker{-1};

struct LeasedWorldOptions {
  std::uint64_t Seed = 1;
  std::size_t Entries = 3;
  std::size_t Agents = 9;
  /// Of the workers in turn, in thousandths of a core.
  std::vector<std::uint32_t> RoomsMilli = {64000};
  CoordinatorOptions Coordinator;
  /// Between the ticks of each process.
  std::chrono::milliseconds Tick{20};
  /// Processor time of an entry for each message that it sends or receives,
  /// callers' requests and answers included, at the share of a core that it
  /// has. 0: messages are free.
  Duration EntryMessageCost{0};
  /// Before the load begins: each entry asks each agent once.
  std::chrono::milliseconds WarmUp{200};
  /// A worker that has crashed is back after this long, as another life.
  std::chrono::milliseconds RestartAfter{2500};
};

/// What tasks that crash their workers have done.
struct CrashToll {
  std::uint32_t Crashes = 0;
  /// Workers that have crashed under one task, at most.
  std::uint32_t MostUnderOneTask = 0;
  /// Starts of a task after three workers had crashed under it, at most.
  std::uint32_t MostStartsAfterThree = 0;
};

/// What serving the load has cost the entries.
struct EntryEffort {
  std::uint64_t TasksSent = 0;
  /// Of these, the ones that agents gave back without starting them.
  std::uint64_t TasksRefused = 0;
  /// Share of its processor's time that the busiest entry has used.
  double MostBusy = 0;
};

/// Jobs of one route, by how they ended.
struct RouteOutcome {
  std::uint32_t Asked = 0;
  std::uint32_t InTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  std::uint32_t Failed = 0;
  double inTimeShare() const {
    return this->Asked == 0 ? 1 : static_cast<double>(this->InTime) / Asked;
  }
};

class LeasedWorld {
public:
  explicit LeasedWorld(const LeasedWorldOptions &Options);
  ~LeasedWorld();

  VirtualWorld &world() { return this->World; }
  /// Hands a job in at an entry. Its tasks run for as long as \p Lengths say,
  /// whatever the job declares, and its caller counts it as late after this.
  void submit(std::size_t Entry, LeasedJobRequest Job,
              const std::vector<std::chrono::milliseconds> &Lengths,
              std::chrono::milliseconds LateAfter);
  const std::map<std::string, RouteOutcome> &outcomes() const {
    return this->Outcomes;
  }
  EntryEffort effort() const;
  /// Starts of a task while another run of it was under way, at any worker.
  std::uint32_t doubledRuns() const { return this->Doubled; }
  CrashToll crashToll() const;

private:
  class EntryNode;
  class AgentNode;
  void onEnded(const std::string &Route, bool InTime, LeasedEnd End);
  using TaskName = std::pair<std::string, std::uint32_t>;
  struct CrashCount {
    std::uint32_t Crashes = 0;
    std::uint32_t StartsAfterThree = 0;
  };

  VirtualWorld World;
  /// When the load could begin.
  TimePoint Begun;
  std::vector<std::unique_ptr<EntryNode>> Entries;
  std::vector<std::unique_ptr<AgentNode>> Agents;
  std::map<std::string, RouteOutcome> Outcomes;
  /// Tasks that run, by job and index.
  std::set<TaskName> Running;
  std::map<TaskName, CrashCount> CrashCounts;
  std::uint32_t Doubled = 0;
};

} // namespace yardwheel

#endif
