#include "dispatch/share_counter.h"

#include <algorithm>
#include <limits>

namespace yardwheel {

namespace {

/// Breaks ties between workers that look alike, so that entries which see the
/// same loads don't all select the same one. A share of the capacity.
constexpr double TieBreakJitter = 0.03;
/// Capacity counts as certain if it remains free with this many standard
/// deviations more load than expected. Other entries place several tasks at a
/// time, so deviations are large: with a single one, far more tasks are given
/// back by workers that turn out to be full.
constexpr double SafetyDeviations = 4;
/// Number of standard deviations by which a worker's load is sampled around the
/// expected one. Enough for entries to choose differently; with a whole
/// deviation, the noise drowns out what is known.
constexpr double SampledDeviations = 0.2;
/// Factor by which declared run times are commonly too short.
constexpr double DeclaredMargin = 1.5;

} // namespace

ShareCounter::ShareCounter(const PlacementDemand &Demand,
                           std::vector<PlacementTarget> &Targets,
                           std::mt19937_64 &Random)
    : Demand(Demand), Targets(Targets), Assigned(Targets.size(), 0),
      Remaining(Demand.Tasks), Random(Random) {
  bool IsUneven =
      std::ranges::any_of(Targets, [](const PlacementTarget &Target) {
        return Target.RunTimeFactor != 1;
      });
  this->PredictsEnds = Demand.RunTime.count() > 0 && IsUneven;
  std::normal_distribution<double> Deviations(0, SampledDeviations);
  this->SampledOffsets.reserve(Targets.size());
  for (const PlacementTarget &Target : Targets)
    this->SampledOffsets.push_back(Target.DeviationMilliCores == 0
                                       ? 0
                                       : Deviations(Random) *
                                             Target.DeviationMilliCores);
}

std::uint32_t ShareCounter::fittingTasks(std::size_t Index,
                                         std::uint32_t LoadMilliCores) const {
  const PlacementTarget &Target = this->Targets[Index];
  if (LoadMilliCores >= Target.CapacityMilliCores)
    return 0;
  std::uint32_t Free = Target.CapacityMilliCores - LoadMilliCores;
  std::uint32_t Fitting = this->Demand.CpuMilliCores == 0
                              ? UINT32_MAX
                              : Free / this->Demand.CpuMilliCores;
  return std::min(Fitting, Target.MaxTasks);
}

std::uint32_t ShareCounter::tasksStartingNow(std::size_t Index) const {
  return this->fittingTasks(Index, this->Targets[Index].LoadMilliCores);
}

std::uint32_t ShareCounter::tasksSureToStart(std::size_t Index) const {
  const PlacementTarget &Target = this->Targets[Index];
  double Margin = SafetyDeviations * Target.DeviationMilliCores;
  return this->fittingTasks(Index, Target.LoadMilliCores +
                                       static_cast<std::uint32_t>(Margin));
}

double ShareCounter::costAt(std::size_t Index) const {
  const PlacementTarget &Target = this->Targets[Index];
  double Load =
      static_cast<double>(Target.LoadMilliCores) + this->Demand.CpuMilliCores;
  Load = std::max(Load + this->SampledOffsets[Index], 0.0);
  return Load / std::max<double>(Target.CapacityMilliCores, 1) *
         Target.RunTimeFactor;
}

std::chrono::duration<double> ShareCounter::runTimeAt(std::size_t Index) const {
  return std::chrono::duration<double>(this->Demand.RunTime) *
         this->Targets[Index].RunTimeFactor;
}

std::chrono::duration<double> ShareCounter::waitAt(std::size_t Index) const {
  if (this->tasksStartingNow(Index) > 0)
    return {};
  const PlacementTarget &Target = this->Targets[Index];
  // What is assigned here beyond the capacity waits as well.
  double Capacity = std::max<double>(Target.CapacityMilliCores, 1);
  double Load =
      static_cast<double>(Target.LoadMilliCores) + this->Demand.CpuMilliCores;
  return Target.StartDelay +
         this->runTimeAt(Index) * std::max(Load / Capacity - 1, 0.0);
}

bool ShareCounter::endsLate(std::size_t Index) const {
  return this->PredictsEnds &&
         this->waitAt(Index) + this->runTimeAt(Index) > this->Demand.TimeLeft;
}

bool ShareCounter::isRisky(std::size_t Index) const {
  return this->PredictsEnds && this->Targets[Index].RunTimeFactor > 1 &&
         this->waitAt(Index) + this->runTimeAt(Index) * DeclaredMargin >
             this->Demand.TimeLeft;
}

bool ShareCounter::paysToWait() const {
  if (!this->PredictsEnds || !this->Demand.OnlyStartingNow)
    return false;
  for (std::size_t I = 0; I < this->Targets.size(); ++I)
    if (this->runTimeAt(I) <= this->Demand.TimeLeft)
      return true;
  return false;
}

void ShareCounter::assign(std::size_t Index, std::uint32_t Tasks) {
  PlacementTarget &Target = this->Targets[Index];
  Target.LoadMilliCores += Tasks * this->Demand.CpuMilliCores;
  Target.MaxTasks -= std::min(Target.MaxTasks, Tasks);
  this->Assigned[Index] += Tasks;
  this->Remaining -= Tasks;
}

bool ShareCounter::queueInTime() {
  return this->PredictsEnds && this->assignOneToCheapest(/*OnlyInTime=*/true);
}

bool ShareCounter::assignOneToCheapest() {
  return this->assignOneToCheapest(/*OnlyInTime=*/false);
}

bool ShareCounter::assignOneToCheapest(bool OnlyInTime) {
  std::uniform_real_distribution<double> Jitter(0, TieBreakJitter);
  std::size_t Best = 0;
  double Least = std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < this->Targets.size(); ++I) {
    bool Excluded =
        this->Targets[I].MaxTasks == 0 ||
        (this->Demand.OnlyStartingNow && this->tasksStartingNow(I) == 0) ||
        (OnlyInTime && this->isAvoided(I));
    if (Excluded)
      continue;
    double Cost = this->costAt(I) + Jitter(this->Random);
    if (Cost < Least) {
      Least = Cost;
      Best = I;
    }
  }
  if (Least == std::numeric_limits<double>::infinity())
    return false;
  this->assign(Best, 1);
  return true;
}

std::vector<PlacementShare> ShareCounter::shares() const {
  std::vector<PlacementShare> Shares;
  for (std::size_t I = 0; I < this->Assigned.size(); ++I)
    if (this->Assigned[I] > 0)
      Shares.push_back({this->Targets[I].Worker, this->Assigned[I],
                        this->Targets[I].LoadMilliCores <=
                            this->Targets[I].CapacityMilliCores});
  return Shares;
}

} // namespace yardwheel
