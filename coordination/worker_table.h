//===- coordination/worker_table.h - An entry's leased workers --*- C++ -*-===//
///
/// \file
/// Tracks the agents that run leased tasks, as this entry sees them: the
/// capacity of their workers, how much of it this entry uses, how much other
/// entries were last reported to use, and recent failures. Selects the agents
/// for a job's tasks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_WORKER_TABLE_H
#define YARDWHEEL_COORDINATION_WORKER_TABLE_H

#include "coordination/leased_job.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "dispatch/load_forecast.h"
#include "dispatch/placement.h"
#include "dispatch/run_time_factors.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

/// The ratio of used to total processor time at which tasks begin to wait.
inline constexpr double FullPressure = 1;

struct WorkerTableOptions {
  /// Consecutive failures after which a worker is ejected and gets no new
  /// tasks.
  std::uint32_t EjectAfter = 3;
  /// Time for which a worker is first ejected; doubles with each failed trial
  /// up to MaxBackoff.
  std::chrono::milliseconds FirstBackoff{500};
  std::chrono::milliseconds MaxBackoff{8000};
  /// An agent that control reports as lost stays in use while this entry has
  /// heard from it within this time. Twice the probe interval of an idle agent.
  std::chrono::milliseconds DirectContactTimeout{2000};
  /// Maximum share of a pool's workers that may be ejected at the same time, in
  /// percent.
  std::uint32_t MaxEjectedPercent = 50;
  /// Factor by which a run outside the preferred rack is expected to take
  /// longer.
  double OffRackFactor = 1.5;
  /// Name of the placement that divides a job's tasks among workers; see
  /// makePlacement() in dispatch/placement.h.
  std::string Placement = "packed";
  /// Whether the load reported by a worker is corrected for its age. Switched
  /// off only for comparison: the last report then counts as the current load,
  /// however old it is.
  bool UseForecasts = true;
  /// Whether the run times that workers tell are used. If not, all workers
  /// count as equally fast.
  bool UseRunTimes = false;
  RunTimeFactorOptions RunTimes;
};

/// An agent and its worker, as this entry sees them.
struct LeasedWorker {
  /// Returns a lower bound of the agent's clock at \p When, extrapolated from
  /// the newest stamp received, which may be older or newer. A message that is
  /// delayed on its way carries the time at which it was sent, so it extends a
  /// lease no further than a message that was just answered.
  std::uint64_t stampAt(TimePoint When) const;
  /// Whether this entry has heard from the agent and may send it tasks. An
  /// agent that is registered at control isn't necessarily reachable from this
  /// entry.
  bool isReachable() const {
    return this->Alive && !this->Unreachable && !this->Suspect &&
           this->LastHeard != TimePoint();
  }

  PeerRef Agent;
  std::uint64_t Incarnation = 0;
  /// Empty while it is not known what the worker of this incarnation is; it
  /// gets no tasks then.
  std::string Pool;
  std::string DataCentre;
  /// Whether its data centre is being evacuated, so that it gets no new tasks.
  bool Evacuated = false;
  std::set<std::string> Labels;
  peer::TaskNeeds Capacity;
  /// Whether the agent itself has reported Capacity, which may change at run
  /// time.
  bool CapacityReported = false;
  /// State last announced by control.
  peer::MemberState State = peer::MEMBER_UNSPECIFIED;
  bool Alive = false;
  /// Control has lost the agent, but this entry still hears from it.
  bool OnlyReachableHere = false;
  /// Set when a link to the agent has failed or when it has left renewals
  /// unanswered while it had tasks; nothing is sent until it is heard from
  /// again.
  bool Unreachable = false;
  /// A probe has not been answered in time; no new tasks are sent until the
  /// agent is heard from again.
  bool Suspect = false;
  /// Newest stamp of the agent's clock, and when it was received by this
  /// entry's clock.
  std::uint64_t Stamp = 0;
  TimePoint StampReceived;
  /// When this incarnation was last heard from; the epoch if it never was.
  TimePoint LastHeard;
  /// Processor time that other entries use on the worker, as last reported.
  std::uint32_t OthersMilliCores = 0;
  std::uint32_t OwnMilliCores = 0;
  std::uint32_t OwnTasks = 0;

  /// Ratio of observed to declared run times that it tells, in thousandths; 0
  /// if it is not known.
  std::uint32_t RunTimePermille = 0;
  /// Whether its tasks take notably longer or shorter than on the pool's usual
  /// worker.
  bool HasOwnSpeed = false;
  /// How long a task that arrives waits for its start, as last reported.
  std::chrono::milliseconds StartDelay{};
  /// Until when it is slow after its start, and until when it lasts at least.
  TimePoint ColdUntil = TimePoint::min();
  TimePoint LastsUntil = TimePoint::max();

  std::uint32_t FailuresInRow = 0;
  bool Ejected = false;
  /// Readmitted after an ejection; gets one task at a time until one succeeds.
  bool OnTrial = false;
  TimePoint EjectedUntil;
  std::chrono::milliseconds Backoff{};
};

/// The tasks of a job that are placed on one worker.
struct WorkerShare {
  LeasedWorker *Worker = nullptr;
  std::uint32_t Tasks = 0;
  /// Whether all of them are expected to start immediately.
  bool StartsNow = false;
};

class WorkerTable {
public:
  WorkerTable(const WorkerTableOptions &Options, std::uint64_t Seed)
      : Options(Options), Random(Seed),
        PlacementPolicy(makePlacement(Options.Placement)) {}

  /// Applies an announcement of control. An agent that control has lost may be
  /// cut off from control alone, so it stays in use while this entry hears from
  /// it. \returns whether an older incarnation was replaced.
  bool update(const peer::Member &Member, TimePoint Now);
  /// Whether control has lost the agent and this entry no longer hears from it
  /// either.
  bool isLost(const LeasedWorker &Worker, TimePoint Now) const;
  void setLost(const std::string &Agent);
  /// Applies an agent's load report. Reports of an older incarnation are
  /// ignored. The worker of a newer one may be of another kind, and gets no
  /// tasks until control or the agent has told its kind. Failures observed by
  /// other entries count like this entry's own. \returns whether the report
  /// comes from an incarnation that was not known yet.
  bool onLoadReport(const std::string &Agent, const peer::WorkerLoad &Load,
                    TimePoint Now);
  /// Whether the worker is known to be what the job requires.
  static bool suits(const LeasedWorker &Worker, const LeasedJobRequest &Job);
  void setUnreachable(const std::string &Agent);
  void setSuspect(const std::string &Agent);
  /// Sets the data centres that are being evacuated. What was observed of the
  /// upstreams of a data centre is forgotten when its evacuation has finished.
  void setEvacuated(std::set<std::string> DataCentres);

  void onSent(const std::string &Agent, const peer::TaskNeeds &Needs);
  void onSettled(const std::string &Agent, const peer::TaskNeeds &Needs);
  /// \param RunTime Run time of the task.
  void onSuccess(const std::string &Agent, std::chrono::milliseconds RunTime);
  /// \returns whether this failure caused the worker to be ejected.
  bool onFailure(const std::string &Agent, TimePoint Now);

  /// Returns the number of agents that get no new tasks of a pool because of an
  /// evacuation; of all pools if \p Pool is empty.
  std::size_t countEvacuated(const std::string &Pool = {}) const;

  /// Returns the number of workers that are slower or faster than the usual one
  /// of their pool.
  std::size_t countWithOwnSpeed() const;

  /// Whether at least one agent is reachable.
  bool hasReachable() const;

  /// Returns the ratio of used to total processor time over all workers that
  /// are eligible for the job; 0 if there are none. \param WaitingMilliCores
  /// Demand of the tasks that wait at this entry, in thousandths of a core.
  double pressure(const LeasedJobRequest &Job, std::uint64_t WaitingMilliCores,
                  TimePoint Now) const;

  LeasedWorker *find(const std::string &Agent);
  const LeasedWorker *find(const std::string &Agent) const;
  const std::map<std::string, LeasedWorker> &workers() const {
    return this->Workers;
  }

  /// Divides tasks of a job among the eligible workers. Places fewer than
  /// requested if some can't be placed. A worker on trial gets a single task.
  /// \param Avoid Agents that have refused or failed these tasks. \param Placed
  /// Number of the job's tasks that each agent already has. \param
  /// OnlyStartingNow Whether to place only tasks that are expected to start
  /// immediately. \param TimeLeft Time until the job counts as late; zero if it
  /// does not matter.
  std::vector<WorkerShare>
  divide(const LeasedJobRequest &Job, std::uint32_t Tasks,
         const std::set<std::string> &Avoid,
         const std::map<std::string, std::uint32_t> &Placed,
         bool OnlyStartingNow, TimePoint Now,
         std::chrono::milliseconds TimeLeft = {});

  /// Returns up to \p Count workers that are eligible for the job, selected at
  /// random. Workers that are ejected or on trial are left out, and those on
  /// which a task would end late, unless it would on all.
  std::vector<const LeasedWorker *>
  sampleWorkers(const LeasedJobRequest &Job, const std::set<std::string> &Avoid,
                std::size_t Count, TimePoint Now,
                std::chrono::milliseconds TimeLeft = {});

  /// Returns the agents whose workers have failed since their last success, or
  /// are ejected or on trial.
  std::set<std::string> agentsWithFailures() const;

  /// Whether any worker is eligible for a task of the job.
  bool hasEligibleWorker(const LeasedJobRequest &Job,
                         const std::set<std::string> &Avoid,
                         TimePoint Now) const;

private:
  /// Sets the load that other entries place on the worker, limited to what is
  /// plausible for its capacity.
  void setOthersMilliCores(LeasedWorker &Target, std::uint32_t Reported);
  bool canTake(const LeasedWorker &Worker, const LeasedJobRequest &Job,
               TimePoint Now) const;
  /// \param PoolForecast Forecast of the worker's pool, from forecastFor().
  /// \param Speeds Factors of the worker's pool, from speedsFor().
  PlacementTarget targetFor(const LeasedWorker &Worker,
                            const LeasedJobRequest &Job,
                            const LoadForecast *PoolForecast,
                            const RunTimeFactors &Speeds, TimePoint Now) const;
  /// Returns the run-time factors of a pool, which are the same for all workers
  /// if run times are not used.
  const RunTimeFactors &speedsFor(const std::string &Pool, TimePoint Now);
  /// Returns null if there are no reports from the pool or forecasts are off.
  const LoadForecast *forecastFor(const std::string &Pool) const;
  /// Returns the expected load of other entries on the worker at \p Now.
  static Forecast forecastOthers(const LeasedWorker &Worker,
                                 const LoadForecast *PoolForecast,
                                 TimePoint Now);
  /// Like forecastOthers(), without the deviation; called for each worker with
  /// each job.
  static double forecastOthersShare(const LeasedWorker &Worker,
                                    const LoadForecast *PoolForecast,
                                    TimePoint Now);
  bool mayEjectOneMore(const std::string &Pool) const;
  /// Ejects the worker unless too many of its pool are ejected already.
  /// \returns whether it was ejected.
  bool eject(LeasedWorker &Target, TimePoint Now);
  void applyReportedFailures(LeasedWorker &Target, std::uint32_t FailuresInRow,
                             TimePoint Now);

  WorkerTableOptions Options;
  std::mt19937_64 Random;
  std::unique_ptr<const Placement> PlacementPolicy;
  std::map<std::string, LeasedWorker> Workers;
  std::set<std::string> EvacuatedDataCentres;
  /// Keyed by pool.
  std::map<std::string, LoadForecast> Forecasts;
  std::map<std::string, RunTimeFactors> Speeds;
  Logger Log{"board"};
};

} // namespace yardwheel

#endif
