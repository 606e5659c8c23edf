//===- emulator/leased_world.h - Leased tasks in virtual time ---*- C++ -*-===//
///
/// \file
/// Entries, agents and workers of the leased path in virtual time: the real
/// coordinators and keepers with their decisions, and workers that run each
/// task for as long as its spec says, under a lease. The load is the caller's;
/// the same seed gives the same run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_WORLD_H
#define YARDWHEEL_EMULATOR_LEASED_WORLD_H

#include "emulator/leased_agent.h"
#include "emulator/leased_entry.h"
#include "emulator/run_register.h"
#include "emulator/virtual_world.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

struct LeasedWorldOptions {
  std::uint64_t Seed = 1;
  std::size_t Entries = 3;
  std::size_t Agents = 9;
  /// Of the workers in turn, in thousandths of a core.
  std::vector<std::uint32_t> RoomsMilli = {64000};
  CoordinatorOptions Coordinator;
  KeeperOptions Keeper;
  /// Between the ticks of each process.
  std::chrono::milliseconds Tick{20};
  /// Processor time of an entry for each message that it sends or receives,
  /// callers' requests and answers included, at the share of a core that it
  /// has. 0: messages are free.
  Duration EntryMessageCost{0};
  /// Between a request's being read by an entry and its hand-over to the loop.
  Duration EntryHandOver{0};
  /// Before the load begins: each entry asks each agent once.
  std::chrono::milliseconds WarmUp{200};
  /// A worker that has crashed is back after this long, as another life.
  std::chrono::milliseconds RestartAfter{2500};
  /// Each life of a worker has the id of the first.
  bool WorkersKeepId = false;
};

/// What serving the load has cost the entries.
struct EntryEffort {
  std::uint64_t TasksSent = 0;
  /// Of these, the ones that agents gave back without starting them.
  std::uint64_t TasksRefused = 0;
  /// Share of its processor's time that the busiest entry has used.
  double MaxBusyShare = 0;
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

  VirtualWorld &world() { return this->World; }
  std::size_t entries() const { return this->Entries.size(); }
  std::size_t agents() const { return this->Agents.size(); }
  LeasedEntry &entry(std::size_t Which) { return *this->Entries.at(Which); }
  const LeasedEntry &entry(std::size_t Which) const {
    return *this->Entries.at(Which);
  }
  LeasedAgent &agent(std::size_t Which) { return *this->Agents.at(Which); }

  /// Hands a job in at an entry. Its tasks run for as long as \p Lengths say,
  /// whatever the job declares, and its caller counts it as late after this.
  void submit(std::size_t Entry, LeasedJobRequest Job,
              const std::vector<std::chrono::milliseconds> &Lengths,
              std::chrono::milliseconds LateAfter);
  /// The same for a caller that hears of the end himself.
  SubmissionId submitJob(std::size_t Entry, LeasedJobRequest Job,
                         const std::vector<std::chrono::milliseconds> &Lengths,
                         LeasedEntry::Listener Hear);
  /// The number that the next hand-in gets.
  SubmissionId nextSubmission() const { return this->LastSubmission + 1; }
  /// Begins another life of an entry that was killed; it is told of all agents.
  void restartEntry(std::size_t Which);
  /// The same for an agent; entries are told of it some time later.
  void restartAgent(std::size_t Which);

  const std::map<std::string, RouteOutcome> &outcomes() const {
    return this->Outcomes;
  }
  EntryEffort effort() const;
  const RunRegister &runs() const { return this->Runs; }
  std::uint32_t overlappingRuns() const { return this->Runs.doubled(); }
  CrashStats crashStats() const { return this->Runs.crashStats(); }
  /// When the load could begin.
  TimePoint begun() const { return this->Begun; }

private:
  void onEnded(const std::string &Route, bool InTime, LeasedEnd End);

  VirtualWorld World;
  RunRegister Runs;
  TimePoint Begun;
  SubmissionId LastSubmission = 0;
  std::vector<std::unique_ptr<LeasedEntry>> Entries;
  std::vector<std::unique_ptr<LeasedAgent>> Agents;
  std::map<std::string, RouteOutcome> Outcomes;
};

} // namespace yardwheel

#endif
