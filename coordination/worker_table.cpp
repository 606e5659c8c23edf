#include "coordination/worker_table.h"

#include "coordination/clock_stamp.h"
#include "protocol/task_needs.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

namespace {

constexpr std::uint32_t Percent = 100;

/// Maximum load of other entries that a worker may report, as a multiple of its
/// capacity: running tasks and a queue. A higher value is an error of its
/// agent. It must neither make the whole pool look overloaded nor overflow the
/// sums of placement.
constexpr std::uint64_t MaxReportedLoadFactor = 3;

/// Returns the share of the worker's processor time that other entries use, as
/// last reported.
double reportedShareOf(const LeasedWorker &Worker) {
  return static_cast<double>(Worker.OthersMilliCores) /
         Worker.Capacity.cpu_milli();
}

/// Returns the expected run time of a task on the pool's usual worker.
std::chrono::milliseconds usualRunTime(const LeasedJobRequest &Job,
                                       const RunTimeFactors &PoolSpeeds) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Job.Estimate * PoolSpeeds.usualRatio());
}

/// Returns what is known of a worker when only its new incarnation's number is:
/// the host and what it still holds of this entry. The worker may be of another
/// kind, and what was observed of the earlier one says nothing about it.
LeasedWorker nextIncarnation(const LeasedWorker &Former,
                             std::uint64_t Incarnation) {
  LeasedWorker Next;
  Next.Incarnation = Incarnation;
  Next.Agent = Former.Agent;
  Next.DataCentre = Former.DataCentre;
  Next.Evacuated = Former.Evacuated;
  Next.State = Former.State;
  Next.OnlyReachableHere = Former.OnlyReachableHere;
  // Tasks of the earlier incarnation count until each of them is settled.
  Next.OwnMilliCores = Former.OwnMilliCores;
  Next.OwnTasks = Former.OwnTasks;
  return Next;
}

} // namespace

std::uint64_t LeasedWorker::stampAt(TimePoint When) const {
  return extrapolateStamp(this->Stamp, this->StampReceived, When);
}

bool WorkerTable::update(const peer::Member &Member, TimePoint Now) {
  LeasedWorker &Target = this->Workers[Member.name()];
  // Ignore a delayed announcement of an older incarnation.
  if (Member.incarnation() < Target.Incarnation)
    return false;
  bool Replaced =
      Target.Incarnation != 0 && Member.incarnation() > Target.Incarnation;
  if (Member.incarnation() > Target.Incarnation) {
    Target = nextIncarnation(Target, Member.incarnation());
    // The stamp was relayed by control, so it is older than its time of arrival
    // suggests.
    Target.Stamp = Member.freshness();
    Target.StampReceived = Now;
  }
  Target.State = Member.state();
  if (Member.state() == peer::MEMBER_LOST) {
    Target.OnlyReachableHere = Target.Alive;
    if (this->isLost(Target, Now))
      this->setLost(Member.name());
    return Replaced;
  }
  Target.OnlyReachableHere = false;
  Target.Agent = {Member.name(), Member.address()};
  Target.DataCentre = Member.data_centre();
  Target.Evacuated = this->EvacuatedDataCentres.contains(Target.DataCentre);
  // The agent itself may have told the kind before control heard of it.
  if (!Member.pool().empty()) {
    Target.Pool = Member.pool();
    Target.Labels = {Member.labels().begin(), Member.labels().end()};
  }
  // A capacity reported by the agent itself is newer.
  if (!Target.CapacityReported)
    Target.Capacity = Member.room();
  Target.Alive = Member.state() == peer::MEMBER_ALIVE;
  if (Target.Alive) {
    Target.Unreachable = false;
    Target.Suspect = false;
  }
  return Replaced;
}

bool WorkerTable::isLost(const LeasedWorker &Worker, TimePoint Now) const {
  if (Worker.State != peer::MEMBER_LOST)
    return false;
  return !Worker.OnlyReachableHere || Worker.Unreachable ||
         Worker.LastHeard + this->Options.DirectContactTimeout < Now;
}

void WorkerTable::setLost(const std::string &Agent) {
  if (LeasedWorker *Target = this->find(Agent)) {
    Target->Alive = false;
    Target->OnlyReachableHere = false;
  }
}

bool WorkerTable::onLoadReport(const std::string &Agent,
                               const peer::WorkerLoad &Load, TimePoint Now) {
  LeasedWorker *Target = this->find(Agent);
  if (Target == nullptr || Load.incarnation() < Target->Incarnation)
    return false;
  bool NewIncarnation = Load.incarnation() > Target->Incarnation;
  if (NewIncarnation) {
    *Target = nextIncarnation(*Target, Load.incarnation());
    Target->Alive = true;
  }
  Target->Unreachable = false;
  Target->Suspect = false;
  Target->LastHeard = Now;
  if (Load.stamp() < Target->Stamp)
    return NewIncarnation;
  Target->Stamp = Load.stamp();
  Target->StampReceived = Now;
  if (Load.has_room()) {
    Target->Capacity = Load.room();
    Target->CapacityReported = true;
  }
  if (Load.has_kind()) {
    Target->Pool = Load.kind().pool();
    Target->Labels = {Load.kind().labels().begin(), Load.kind().labels().end()};
  }
  this->setOthersMilliCores(*Target, Load.others_cpu_milli());
  if (!Target->Pool.empty() && Target->Capacity.cpu_milli() > 0)
    this->Forecasts[Target->Pool].onReport(reportedShareOf(*Target), Now);
  Target->RunTimePermille = Load.run_time_permille();
  Target->StartDelay = std::chrono::milliseconds(Load.start_delay_ms());
  Target->ColdUntil = Now + std::chrono::milliseconds(Load.cold_left_ms());
  Target->LastsUntil = Load.left_ms() == 0
                           ? TimePoint::max()
                           : Now + std::chrono::milliseconds(Load.left_ms());
  if (Load.leaving())
    Target->Alive = false;
  this->applyReportedFailures(*Target, Load.failures_in_row(), Now);
  return NewIncarnation;
}

void WorkerTable::setOthersMilliCores(LeasedWorker &Target,
                                      std::uint32_t Reported) {
  std::uint64_t MaxMilliCores =
      MaxReportedLoadFactor * Target.Capacity.cpu_milli();
  bool NotYetLogged = Target.OthersMilliCores < MaxMilliCores;
  if (Reported > MaxMilliCores && NotYetLogged)
    this->Log.decision("load_beyond_room",
                       {{"agent", Target.Agent.Node},
                        {"told_cpu_milli", Reported},
                        {"room_cpu_milli", Target.Capacity.cpu_milli()},
                        {"taken_as", MaxMilliCores}});
  Target.OthersMilliCores = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Reported, MaxMilliCores));
}

void WorkerTable::setUnreachable(const std::string &Agent) {
  if (LeasedWorker *Target = this->find(Agent))
    Target->Unreachable = true;
}

void WorkerTable::setSuspect(const std::string &Agent) {
  if (LeasedWorker *Target = this->find(Agent))
    Target->Suspect = true;
}

void WorkerTable::setEvacuated(std::set<std::string> DataCentres) {
  this->EvacuatedDataCentres = std::move(DataCentres);
  for (auto &[Name, Worker] : this->Workers) {
    bool WasEvacuated = Worker.Evacuated;
    Worker.Evacuated = this->EvacuatedDataCentres.contains(Worker.DataCentre);
    if (!WasEvacuated || Worker.Evacuated)
      continue;
    Worker.FailuresInRow = 0;
    Worker.Ejected = false;
    Worker.OnTrial = false;
    Worker.Backoff = {};
  }
}

std::size_t WorkerTable::countEvacuated(const std::string &Pool) const {
  if (this->EvacuatedDataCentres.empty())
    return 0;
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Workers, [&](const auto &Item) {
        const LeasedWorker &Worker = Item.second;
        return Worker.Evacuated && (Pool.empty() || Worker.Pool == Pool);
      }));
}

std::size_t WorkerTable::countWithOwnSpeed() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Workers, [](const auto &Item) {
        return Item.second.Alive && Item.second.HasOwnSpeed;
      }));
}

void WorkerTable::onSent(const std::string &Agent,
                         const peer::TaskNeeds &Needs) {
  if (LeasedWorker *Target = this->find(Agent)) {
    Target->OwnMilliCores += Needs.cpu_milli();
    ++Target->OwnTasks;
  }
}

void WorkerTable::onSettled(const std::string &Agent,
                            const peer::TaskNeeds &Needs) {
  LeasedWorker *Target = this->find(Agent);
  if (Target == nullptr || Target->OwnTasks == 0)
    return;
  Target->OwnMilliCores -= std::min(Target->OwnMilliCores, Needs.cpu_milli());
  --Target->OwnTasks;
}

void WorkerTable::onSuccess(const std::string &Agent,
                            std::chrono::milliseconds RunTime) {
  if (LeasedWorker *Target = this->find(Agent)) {
    this->Forecasts[Target->Pool].onTaskEnded(RunTime);
    Target->FailuresInRow = 0;
    Target->OnTrial = false;
    Target->Backoff = {};
  }
}

bool WorkerTable::onFailure(const std::string &Agent, TimePoint Now) {
  LeasedWorker *Target = this->find(Agent);
  if (Target == nullptr || Target->Ejected)
    return false;
  ++Target->FailuresInRow;
  bool Due =
      Target->OnTrial || Target->FailuresInRow >= this->Options.EjectAfter;
  return Due && this->eject(*Target, Now);
}

bool WorkerTable::eject(LeasedWorker &Target, TimePoint Now) {
  if (!this->mayEjectOneMore(Target.Pool))
    return false;
  Target.Ejected = true;
  Target.OnTrial = false;
  Target.Backoff = Target.Backoff.count() == 0
                       ? this->Options.FirstBackoff
                       : std::min(2 * Target.Backoff, this->Options.MaxBackoff);
  Target.EjectedUntil = Now + Target.Backoff;
  return true;
}

void WorkerTable::applyReportedFailures(LeasedWorker &Target,
                                        std::uint32_t FailuresInRow,
                                        TimePoint Now) {
  // A trial of another entry has succeeded.
  if (FailuresInRow == 0 && Target.Ejected) {
    Target.Ejected = false;
    Target.FailuresInRow = 0;
    Target.Backoff = {};
    return;
  }
  bool Failing = FailuresInRow >= this->Options.EjectAfter;
  if (Failing && !Target.Ejected && !Target.OnTrial)
    this->eject(Target, Now);
}

bool WorkerTable::mayEjectOneMore(const std::string &Pool) const {
  std::uint32_t Total = 0;
  std::uint32_t EjectedCount = 1;
  for (const auto &[Name, Worker] : this->Workers) {
    if (Worker.Pool != Pool || !Worker.Alive)
      continue;
    ++Total;
    if (Worker.Ejected)
      ++EjectedCount;
  }
  return EjectedCount * Percent <= Total * this->Options.MaxEjectedPercent;
}

LeasedWorker *WorkerTable::find(const std::string &Agent) {
  auto Found = this->Workers.find(Agent);
  return Found == this->Workers.end() ? nullptr : &Found->second;
}

const LeasedWorker *WorkerTable::find(const std::string &Agent) const {
  auto Found = this->Workers.find(Agent);
  return Found == this->Workers.end() ? nullptr : &Found->second;
}

bool WorkerTable::suits(const LeasedWorker &Worker,
                        const LeasedJobRequest &Job) {
  bool HasLabel =
      Job.RequiredLabel.empty() || Worker.Labels.contains(Job.RequiredLabel);
  return HasLabel && !Worker.Pool.empty() && Worker.Pool == Job.Pool;
}

bool WorkerTable::canTake(const LeasedWorker &Worker,
                          const LeasedJobRequest &Job, TimePoint Now) const {
  // The agent would refuse a task sent with an older stamp; it is being probed
  // for a new one.
  bool Fresh = Now - Worker.StampReceived < MaxStampAge;
  bool Serves =
      Worker.isReachable() && !Worker.Evacuated && Fresh && suits(Worker, Job);
  if (!Serves || !holdsNeeds(Worker.Capacity, Job.Needs))
    return false;
  if (Worker.Ejected && Now < Worker.EjectedUntil)
    return false;
  if (Worker.LastsUntil - Now < Job.Estimate)
    return false;
  bool NeedsTrial = Worker.Ejected || Worker.OnTrial;
  return !NeedsTrial || Worker.OwnTasks == 0;
}

bool WorkerTable::hasReachable() const {
  return std::any_of(
      this->Workers.begin(), this->Workers.end(),
      [](const auto &Item) { return Item.second.isReachable(); });
}

double WorkerTable::pressure(const LeasedJobRequest &Job,
                             std::uint64_t WaitingMilliCores,
                             TimePoint Now) const {
  const LoadForecast *PoolForecast = this->forecastFor(Job.Pool);
  auto Load = static_cast<double>(WaitingMilliCores);
  double Capacity = 0;
  for (const auto &[Name, Worker] : this->Workers) {
    if (!this->canTake(Worker, Job, Now))
      continue;
    Load += forecastOthersShare(Worker, PoolForecast, Now) *
            Worker.Capacity.cpu_milli();
    Load += Worker.OwnMilliCores;
    Capacity += Worker.Capacity.cpu_milli();
  }
  return Capacity > 0 ? Load / Capacity : 0;
}

const LoadForecast *WorkerTable::forecastFor(const std::string &Pool) const {
  auto PoolForecast = this->Forecasts.find(Pool);
  bool Used =
      this->Options.UseForecasts && PoolForecast != this->Forecasts.end();
  return Used ? &PoolForecast->second : nullptr;
}

double WorkerTable::forecastOthersShare(const LeasedWorker &Worker,
                                        const LoadForecast *PoolForecast,
                                        TimePoint Now) {
  if (Worker.Capacity.cpu_milli() == 0)
    return 0;
  double Reported = reportedShareOf(Worker);
  return PoolForecast == nullptr
             ? Reported
             : PoolForecast->shareAt(Reported, Now - Worker.StampReceived);
}

Forecast WorkerTable::forecastOthers(const LeasedWorker &Worker,
                                     const LoadForecast *PoolForecast,
                                     TimePoint Now) {
  if (Worker.Capacity.cpu_milli() == 0)
    return {};
  double Reported = reportedShareOf(Worker);
  if (PoolForecast == nullptr)
    return {Reported, 0};
  return PoolForecast->at(Reported, Now - Worker.StampReceived);
}

const RunTimeFactors &WorkerTable::speedsFor(const std::string &Pool,
                                             TimePoint Now) {
  RunTimeFactors &Known =
      this->Speeds.try_emplace(Pool, this->Options.RunTimes).first->second;
  if (!this->Options.UseRunTimes || !Known.isDue(Now))
    return Known;
  std::vector<std::uint32_t> Permilles;
  for (const auto &[Name, Worker] : this->Workers)
    if (Worker.Pool == Pool && Worker.Alive && Worker.RunTimePermille > 0)
      Permilles.push_back(Worker.RunTimePermille);
  Known.update(std::move(Permilles), Now);
  for (auto &[Name, Worker] : this->Workers) {
    double Factor = Known.factorOf(Worker.RunTimePermille);
    bool HasOwnSpeed = Factor < 1 || Factor > 1;
    if (Worker.Pool != Pool || Worker.HasOwnSpeed == HasOwnSpeed)
      continue;
    Worker.HasOwnSpeed = HasOwnSpeed;
    this->Log.decision("upstream_speed",
                       {{"agent", Name},
                        {"own_speed", HasOwnSpeed},
                        {"told_permille", Worker.RunTimePermille},
                        {"usual_permille", Known.usualPermille()}});
  }
  return Known;
}

PlacementTarget WorkerTable::targetFor(const LeasedWorker &Worker,
                                       const LeasedJobRequest &Job,
                                       const LoadForecast *PoolForecast,
                                       const RunTimeFactors &Speeds,
                                       TimePoint Now) const {
  PlacementTarget Target;
  Target.CapacityMilliCores = Worker.Capacity.cpu_milli();
  Forecast Others = forecastOthers(Worker, PoolForecast, Now);
  auto Milli = [&](double Share) {
    return static_cast<std::uint32_t>(
        std::lround(Share * Target.CapacityMilliCores));
  };
  Target.LoadMilliCores = Milli(Others.Share) + Worker.OwnMilliCores;
  Target.DeviationMilliCores = Milli(Others.Deviation);
  if (Job.MaxPerWorker > 0)
    Target.MaxTasks = Job.MaxPerWorker;
  if (Worker.Ejected || Worker.OnTrial)
    Target.MaxTasks = 1;
  bool OffRack =
      !Job.PreferredRack.empty() && !Worker.Labels.contains(Job.PreferredRack);
  Target.RunTimeFactor = Speeds.factorOf(Worker.RunTimePermille);
  if (OffRack)
    Target.RunTimeFactor *= this->Options.OffRackFactor;
  Target.StartDelay = Worker.StartDelay;
  Target.LastChoice = Now < Worker.ColdUntil;
  return Target;
}

std::vector<WorkerShare>
WorkerTable::divide(const LeasedJobRequest &Job, std::uint32_t Tasks,
                    const std::set<std::string> &Avoid,
                    const std::map<std::string, std::uint32_t> &Placed,
                    bool OnlyStartingNow, TimePoint Now,
                    std::chrono::milliseconds TimeLeft) {
  const LoadForecast *PoolForecast = this->forecastFor(Job.Pool);
  const RunTimeFactors &PoolSpeeds = this->speedsFor(Job.Pool, Now);
  std::vector<LeasedWorker *> Candidates;
  std::vector<PlacementTarget> Targets;
  bool IsUneven = false;
  for (auto &[Name, Worker] : this->Workers) {
    if (!this->canTake(Worker, Job, Now) || Avoid.contains(Name))
      continue;
    PlacementTarget Target =
        this->targetFor(Worker, Job, PoolForecast, PoolSpeeds, Now);
    Target.Worker = Candidates.size();
    if (auto Already = Placed.find(Name); Already != Placed.end())
      Target.MaxTasks -= std::min(Target.MaxTasks, Already->second);
    IsUneven = IsUneven || PoolSpeeds.factorOf(Worker.RunTimePermille) != 1;
    Candidates.push_back(&Worker);
    Targets.push_back(Target);
  }
  PlacementDemand Demand{Tasks, Job.Needs.cpu_milli(), OnlyStartingNow};
  if (IsUneven && TimeLeft.count() > 0) {
    Demand.RunTime = usualRunTime(Job, PoolSpeeds);
    Demand.TimeLeft = TimeLeft;
  }
  std::vector<WorkerShare> Shares;
  for (const PlacementShare &Share : this->PlacementPolicy->divide(
           Demand, std::move(Targets), this->Random)) {
    LeasedWorker *Chosen = Candidates[Share.Worker];
    if (Chosen->Ejected) {
      Chosen->Ejected = false;
      Chosen->OnTrial = true;
    }
    Shares.push_back({Chosen, Share.Tasks, Share.StartsNow});
  }
  return Shares;
}

std::vector<const LeasedWorker *> WorkerTable::sampleWorkers(
    const LeasedJobRequest &Job, const std::set<std::string> &Avoid,
    std::size_t Count, TimePoint Now, std::chrono::milliseconds TimeLeft) {
  const RunTimeFactors &PoolSpeeds = this->speedsFor(Job.Pool, Now);
  std::chrono::milliseconds RunTime = usualRunTime(Job, PoolSpeeds);
  auto EndsLate = [&](const LeasedWorker *Worker) {
    double Factor = PoolSpeeds.factorOf(Worker->RunTimePermille);
    return TimeLeft.count() > 0 && Factor != 1 && RunTime * Factor > TimeLeft;
  };
  std::vector<const LeasedWorker *> Eligible;
  for (const auto &[Name, Worker] : this->Workers) {
    bool NeedsTrial = Worker.Ejected || Worker.OnTrial;
    if (!NeedsTrial && !Avoid.contains(Name) && this->canTake(Worker, Job, Now))
      Eligible.push_back(&Worker);
  }
  if (!std::ranges::all_of(Eligible, EndsLate))
    std::erase_if(Eligible, EndsLate);
  std::vector<const LeasedWorker *> Drawn;
  std::sample(Eligible.begin(), Eligible.end(), std::back_inserter(Drawn),
              Count, this->Random);
  return Drawn;
}

std::set<std::string> WorkerTable::agentsWithFailures() const {
  std::set<std::string> Agents;
  for (const auto &[Name, Worker] : this->Workers)
    if (Worker.FailuresInRow > 0 || Worker.Ejected || Worker.OnTrial)
      Agents.insert(Name);
  return Agents;
}

bool WorkerTable::hasEligibleWorker(const LeasedJobRequest &Job,
                                    const std::set<std::string> &Avoid,
                                    TimePoint Now) const {
  return std::any_of(this->Workers.begin(), this->Workers.end(),
                     [&](const auto &Item) {
                       return !Avoid.contains(Item.first) &&
                              this->canTake(Item.second, Job, Now);
                     });
}

} // namespace yardwheel
