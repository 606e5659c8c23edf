//===- emulator/leased_world.h - Leased tasks in virtual time ---*- C++ -*-===//
///
/// \file
/// Entries, agents and workers of the leased path in virtual time: coordinators
/// and lease keepers as in production, and simulated workers that run each task
/// for the time in its spec, under a lease. The user of this class supplies the
/// load; the same seed gives the same run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_WORLD_H
#define YARDWHEEL_EMULATOR_LEASED_WORLD_H

#include "emulator/demand_exchange.h"
#include "emulator/leased_agent.h"
#include "emulator/leased_entry.h"
#include "emulator/run_register.h"
#include "emulator/virtual_world.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct LeasedWorldOptions {
  std::uint64_t Seed = 1;
  std::size_t Entries = 3;
  std::size_t Agents = 9;
  /// Capacities of the workers, assigned in turn, in thousandths of a core.
  std::vector<std::uint32_t> CapacitiesMilliCores = {64000};
  /// Factors by which tasks take longer on the workers, assigned in turn.
  std::vector<double> RunTimeFactors = {1};
  /// Labels of the workers, assigned in turn.
  std::vector<std::set<std::string>> Labels = {{}};
  /// Time for which a worker that has restarted serves without an announcement.
  Duration AnnounceDelay{0};
  CoordinatorOptions Coordinator;
  KeeperOptions Keeper;
  /// Delegation of jobs to agents; off unless Rule.MaxDelegates is set.
  DelegationOptions Delegation;
  DelegateOptions Delegate;
  bool delegates() const { return this->Delegation.Rule.MaxDelegates > 0; }
  /// Interval between the ticks of each process.
  std::chrono::milliseconds Tick{20};
  /// Processor time of an entry for each message that it sends or receives,
  /// including callers' requests and answers, at the entry's share of a core.
  /// 0: messages cost nothing.
  Duration EntryMessageCost{0};
  /// Delay between reading a request at an entry and handing it over to the
  /// loop, see LeasedEntryOptions.
  Duration EntryHandOverDelay{0};
  /// Whether entries refuse requests while they do not keep up.
  bool EntriesRefuseWhenBehind = false;
  /// Time before the load begins, in which each entry asks each agent once.
  std::chrono::milliseconds WarmUp{200};
  /// Time from a worker's crash until it starts again, as a new incarnation.
  std::chrono::milliseconds RestartAfter{2500};
  /// All incarnations of a worker have the same id.
  bool WorkersKeepId = false;
};

/// The work of the entries to serve the load.
struct EntryEffort {
  std::uint64_t TasksSent = 0;
  /// Tasks among these that agents refused without starting them.
  std::uint64_t TasksRefused = 0;
  /// Share of its processor time that the busiest entry used, 0 to 1.
  double MaxBusyShare = 0;
};

/// Numbers of the jobs of one route, by outcome.
struct RouteOutcome {
  std::uint32_t Submitted = 0;
  std::uint32_t InTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  std::uint32_t Failed = 0;
  double inTimeShare() const {
    return this->Submitted == 0 ? 1
                                : static_cast<double>(this->InTime) / Submitted;
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

  /// Submits a job to an entry and counts its outcome. Its tasks run for the
  /// times in \p Lengths, whatever the job declares. The caller counts an
  /// answer as late after \p LateAfter. \param Groups Names under which the
  /// outcome is counted as well.
  void submit(std::size_t Entry, LeasedJobRequest Job,
              const std::vector<std::chrono::milliseconds> &Lengths,
              std::chrono::milliseconds LateAfter,
              std::vector<std::string> Groups = {});
  /// Submits a job for a caller that handles the answer itself by
  /// \p OnAnswer.
  SubmissionId submitJob(std::size_t Entry, LeasedJobRequest Job,
                         const std::vector<std::chrono::milliseconds> &Lengths,
                         LeasedEntry::Listener OnAnswer);
  /// Returns the id that the next submission gets.
  SubmissionId nextSubmission() const { return this->LastSubmission + 1; }
  /// Starts a new incarnation of a killed entry and announces all agents and
  /// entries to it; the other entries learn of it after a fixed delay.
  void restartEntry(std::size_t Which);
  /// Starts a new incarnation of a killed agent; entries learn of it after a
  /// random delay.
  void restartAgent(std::size_t Which);

  const std::map<std::string, RouteOutcome> &outcomes() const {
    return this->Outcomes;
  }
  /// Returns the outcomes by group of jobs.
  const std::map<std::string, RouteOutcome> &groupOutcomes() const {
    return this->GroupOutcomes;
  }
  EntryEffort effort() const;
  const RunRegister &runs() const { return this->Runs; }
  std::uint32_t overlappingRuns() const {
    return this->Runs.overlappingStarts();
  }
  CrashStats crashStats() const { return this->Runs.crashStats(); }
  /// Returns the time at which the warm-up was over.
  TimePoint loadStart() const { return this->LoadStart; }

private:
  /// Announces all agents and entries to an agent that coordinates jobs.
  void announceMembersTo(LeasedAgent &Target);
  /// Announces all other entries to an entry.
  void announceEntriesTo(std::size_t Which);
  static void count(RouteOutcome &Target, bool InTime, LeasedEnd End);

  LeasedWorldOptions Options;
  VirtualWorld World;
  RunRegister Runs;
  TimePoint LoadStart;
  SubmissionId LastSubmission = 0;
  std::vector<std::unique_ptr<LeasedEntry>> Entries;
  std::vector<std::unique_ptr<LeasedAgent>> Agents;
  std::map<std::string, RouteOutcome> Outcomes;
  std::map<std::string, RouteOutcome> GroupOutcomes;
  std::unique_ptr<DemandExchange> Exchange;
};

} // namespace yardwheel

#endif
