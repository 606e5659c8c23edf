//===- entry/worker_table.h - An entry's view of leased workers -*- C++ -*-===//
///
/// \file
/// What one entry knows of the agents that run leased tasks: their workers'
/// room, how much of it this entry has taken, what others were last said to
/// hold, and how the worker has fared lately. It picks the agent for a task.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_WORKER_TABLE_H
#define YARDWHEEL_ENTRY_WORKER_TABLE_H

#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "dispatch/load_forecast.h"
#include "dispatch/placement.h"
#include "entry/leased_job.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct WorkerTableOptions {
  /// Failures in a row after which a worker gets no new tasks.
  std::uint32_t EjectAfter = 3;
  /// Doubles with each failed trial.
  std::chrono::milliseconds FirstBackoff{500};
  std::chrono::milliseconds MaxBackoff{8000};
  /// An agent that control has lost is used on while it was heard from within
  /// this; twice the time between two questions to an idle agent.
  std::chrono::milliseconds DirectContactTimeout{2000};
  /// At most this share of a pool's workers is out at once, in percent.
  std::uint32_t MaxEjectedPercent = 50;
  /// A run off the preferred rack is taken to last this many times as long.
  double OffRackFactor = 1.5;
  /// How a job's tasks are divided among workers; see dispatch/placement.h.
  std::string Placement = "packed";
  /// Off only to compare: what was last heard of a worker then stands for what
  /// it holds, however old it is.
  bool UseForecasts = true;
};

/// An agent and its worker, as this entry sees them.
struct LeasedWorker {
  /// What the agent's clock shows at least by now. Its newest stamp was read
  /// before it came here, and its clock has run on since; so a message that
  /// is held up on its way carries the time at which it was sent, and extends
  /// a lease no further than one that had just been answered.
  std::uint64_t stampAt(TimePoint Now) const;
  /// Whether this entry has reached it and may send it tasks. That control
  /// knows of an agent does not say that this entry reaches it.
  bool isReachable() const {
    return this->Alive && !this->Unreachable && !this->Suspect &&
           this->LastHeard != TimePoint();
  }

  PeerRef Agent;
  std::uint64_t Incarnation = 0;
  std::string Pool;
  std::set<std::string> Labels;
  peer::TaskNeeds Capacity;
  /// Its agent has told of its room, which may change while it runs.
  bool CapacityReported = false;
  /// As control last told.
  peer::MemberState State = peer::MEMBER_UNSPECIFIED;
  bool Alive = false;
  /// Control no longer hears it, but this entry does.
  bool OnlyReachableHere = false;
  /// Reported lost by a link; nothing is sent until it is heard again.
  bool Unreachable = false;
  /// Has left a question unanswered for a while; nothing new is sent until it
  /// is heard again.
  bool Suspect = false;
  /// Newest stamp of the agent's clock, and when it came, by ours.
  std::uint64_t Stamp = 0;
  TimePoint StampReceived;
  /// When this life of it was last heard here; not yet if at the epoch.
  TimePoint LastHeard;
  /// Processor time that others hold there, as last told.
  std::uint32_t OthersMilliCores = 0;
  std::uint32_t OwnMilliCores = 0;
  std::uint32_t OwnTasks = 0;

  std::uint32_t FailuresInRow = 0;
  bool Ejected = false;
  /// Back from ejection with one task, until it succeeds.
  bool OnTrial = false;
  TimePoint EjectedUntil;
  std::chrono::milliseconds Backoff{};
};

/// Tasks of a job for one worker.
struct WorkerShare {
  LeasedWorker *Worker = nullptr;
  std::uint32_t Tasks = 0;
  /// All of them would start at once, as far as is known here.
  bool StartsNow = false;
};

class WorkerTable {
public:
  WorkerTable(const WorkerTableOptions &Options, std::uint64_t Seed)
      : Options(Options), Random(Seed),
        PlacementPolicy(makePlacement(Options.Placement)) {}

  /// Takes an announcement. An agent that control has lost may be cut off from
  /// control alone, so it stays in use while this entry hears it.
  /// \returns whether an older life has ended.
  bool update(const peer::Member &Member, TimePoint Now);
  /// Whether an agent that control has lost is no longer heard here either.
  bool isLost(const LeasedWorker &Worker, TimePoint Now) const;
  void setLost(const std::string &Agent);
  /// Takes what an agent says of its load; words of an older life are dropped.
  /// Failures that other entries met there count as if met here.
  /// \returns whether they are those of a life not known of yet.
  bool onLoadReport(const std::string &Agent, const peer::WorkerLoad &Load,
                    TimePoint Now);
  void setUnreachable(const std::string &Agent);
  void setSuspect(const std::string &Agent);

  void onSent(const std::string &Agent, const peer::TaskNeeds &Needs);
  void onSettled(const std::string &Agent, const peer::TaskNeeds &Needs);
  /// \param RunTime How long the task has run.
  void onSuccess(const std::string &Agent, std::chrono::milliseconds RunTime);
  /// \returns whether the worker has been ejected by it.
  bool onFailure(const std::string &Agent, TimePoint Now);

  /// Whether any agent is there and has not gone silent.
  bool hasReachable() const;

  /// Taken room over all room of the workers that may take the job, in
  /// processor time; 0 where none may. \param WaitingMilli Of tasks that wait
  /// for room at this entry, in thousandths of a core.
  double pressure(const LeasedJobRequest &Job, std::uint64_t WaitingMilli,
                  TimePoint Now) const;

  LeasedWorker *find(const std::string &Agent);
  const std::map<std::string, LeasedWorker> &workers() const {
    return this->Workers;
  }

  /// Divides tasks of a job among the workers that may take them; fewer than
  /// asked for where not all may be placed. A worker back from ejection gets a
  /// single one. \param Avoid Agents that have refused or failed the tasks.
  /// \param Placed Tasks of the job that each agent has already.
  /// \param OnlyStartingNow Whether to place only what would start at once.
  std::vector<WorkerShare>
  divide(const LeasedJobRequest &Job, std::uint32_t Tasks,
         const std::set<std::string> &Avoid,
         const std::map<std::string, std::uint32_t> &Placed,
         bool OnlyStartingNow, TimePoint Now);

  /// Some workers that may take tasks of the job, drawn at random.
  std::vector<const LeasedWorker *>
  sampleWorkers(const LeasedJobRequest &Job, const std::set<std::string> &Avoid,
                std::size_t Count, TimePoint Now);

  /// Whether any worker may take a task of the job.
  bool hasEligibleWorker(const LeasedJobRequest &Job,
                         const std::set<std::string> &Avoid,
                         TimePoint Now) const;

private:
  /// Takes what a worker is said to hold for others, within what it can.
  void setOthersMilliCores(LeasedWorker &Target, std::uint32_t Reported);
  bool canTake(const LeasedWorker &Worker, const LeasedJobRequest &Job,
               TimePoint Now) const;
  /// \param Known The forecast of the worker's pool, from forecastFor.
  PlacementTarget targetFor(const LeasedWorker &Worker,
                            const LeasedJobRequest &Job,
                            const LoadForecast *PoolForecast,
                            TimePoint Now) const;
  /// Nothing where nothing has been heard of the pool, or forecasts are off.
  const LoadForecast *forecastFor(const std::string &Pool) const;
  /// What others hold of a worker by now.
  static Forecast forecastOthers(const LeasedWorker &Worker,
                                 const LoadForecast *PoolForecast,
                                 TimePoint Now);
  /// The same without its deviation, for each worker with each job.
  static double forecastOthersShare(const LeasedWorker &Worker,
                                    const LoadForecast *PoolForecast,
                                    TimePoint Now);
  bool mayEjectOneMore(const std::string &Pool) const;
  /// \returns whether the worker may be and has been ejected.
  bool eject(LeasedWorker &Target, TimePoint Now);
  void applyReportedFailures(LeasedWorker &Target, std::uint32_t FailuresInRow,
                             TimePoint Now);

  WorkerTableOptions Options;
  std::mt19937_64 Random;
  std::unique_ptr<const Placement> PlacementPolicy;
  std::map<std::string, LeasedWorker> Workers;
  /// By pool.
  std::map<std::string, LoadForecast> Forecasts;
  Logger Log{"board"};
};

} // namespace yardwheel

#endif
