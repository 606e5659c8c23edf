#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace yardwheel {

namespace {

// Most tasks take 50 ms to a second, a few take several seconds.
constexpr double MedianServiceUs = 180000;
constexpr double ServiceSpread = 0.7;
constexpr double MinServiceUs = 50000;
constexpr double MaxServiceUs = 1000000;
constexpr double LongTaskShare = 0.02;
constexpr double MinLongTaskUs = 2000000;
constexpr double MaxLongTaskUs = 5000000;
constexpr double StragglerShare = 0.01;
constexpr double StragglerFactor = 10;
constexpr double WholePercent = 100;
constexpr double MicrosPerSecond = 1e6;
/// Arrival rate during a burst, as a multiple of the load's mean rate.
constexpr double BurstFactor = 2.5;
constexpr Duration BurstInterval{5000000};
constexpr Duration BurstLength{1000000};

class JobMaker {
public:
  JobMaker(const Deployment &Site, const LoadSpec &Load, std::uint64_t Seed)
      : Site(Site), Load(Load), Random(Seed) {}

  std::vector<JobPlan> make(Duration Length) {
    std::vector<JobPlan> Jobs;
    Duration Now{0};
    while (true) {
      Now += this->nextGap(Now);
      if (Now >= Length)
        return Jobs;
      Jobs.push_back(this->makeJob(Now, Length));
    }
  }

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }

  /// Returns the mean of drawService(), estimated once from a fixed seed.
  static double meanService() {
    static const double Mean = [] {
      Deployment Site;
      LoadSpec Load;
      JobMaker Sample(Site, Load, 1);
      constexpr int Draws = 200000;
      double Total = 0;
      for (int I = 0; I < Draws; ++I)
        Total += Sample.drawService();
      return Total / Draws;
    }();
    return Mean;
  }

  double drawService() {
    if (this->uniform() < LongTaskShare)
      return MinLongTaskUs + this->uniform() * (MaxLongTaskUs - MinLongTaskUs);
    std::lognormal_distribution<double> Usual(std::log(MedianServiceUs),
                                              ServiceSpread);
    return std::clamp(Usual(this->Random), MinServiceUs, MaxServiceUs);
  }

  Duration nextGap(Duration Now) {
    double Work = meanService() * this->Site.MeanTasks;
    double Rate = this->Load.Percent / WholePercent * this->Site.totalSlots() /
                  Work * MicrosPerSecond;
    if (this->Load.Bursts) {
      bool InBurst = Now % BurstInterval < BurstLength;
      double Share = static_cast<double>(BurstLength.count()) /
                     static_cast<double>(BurstInterval.count());
      double Quiet = (1 - BurstFactor * Share) / (1 - Share);
      Rate *= InBurst ? BurstFactor : Quiet;
    }
    std::exponential_distribution<double> Gap(Rate / MicrosPerSecond);
    return Duration(static_cast<std::int64_t>(Gap(this->Random)) + 1);
  }

  JobPlan makeJob(Duration Now, Duration Length) {
    JobPlan Job;
    Job.At = Now;
    Job.Entry = this->Random() % this->Site.Entries;
    std::geometric_distribution<int> Size(1 / this->Site.MeanTasks);
    int Tasks = Size(this->Random) + 1;
    for (int I = 0; I < Tasks; ++I)
      Job.Tasks.push_back(this->makeTask());
    Duration Wave = Length / 2;
    constexpr Duration WavePeriod{3000000};
    bool Near = Now < Wave && Now + WavePeriod > Wave;
    if (this->Load.CancelWave && Near && this->Random() % 3 != 0)
      Job.CancelAt = Wave;
    return Job;
  }

  TaskPlan makeTask() {
    double Service = this->drawService();
    if (this->Load.Stragglers && this->uniform() < StragglerShare)
      Service *= StragglerFactor;
    double Declared = Service;
    if (this->Load.WrongSizes)
      Declared *= std::pow(StragglerFactor, 2 * this->uniform() - 1);
    return {Duration(static_cast<std::int64_t>(Service)),
            Duration(static_cast<std::int64_t>(Declared))};
  }

  const Deployment &Site;
  const LoadSpec &Load;
  std::mt19937_64 Random;
};

} // namespace

Deployment tradingUnit() {
  Deployment Site;
  Site.Name = "trading";
  return Site;
}

Deployment skyArchive() {
  Deployment Site;
  Site.Name = "archive";
  Site.DataCentres = 4;
  Site.FarDelay = Duration(1500);
  constexpr double ArchiveMeanTasks = 8;
  Site.MeanTasks = ArchiveMeanTasks;
  return Site;
}

const std::vector<LoadSpec> &allLoads() {
  static const std::vector<LoadSpec> Loads = {
      {.Name = "calm 50", .Percent = 50},
      {.Name = "calm 80", .Percent = 80},
      {.Name = "calm 95", .Percent = 95},
      {.Name = "bursts", .Percent = 60, .Bursts = true},
      {.Name = "stragglers", .Percent = 70, .Stragglers = true},
      {.Name = "failing upstream", .Percent = 70, .FailingUpstream = true},
      {.Name = "wrong sizes", .Percent = 80, .WrongSizes = true},
      {.Name = "cancel wave", .Percent = 95, .CancelWave = true},
      {.Name = "callers retry", .Percent = 90, .Retries = true},
      {.Name = "upstream lost", .Percent = 70, .LostUpstream = true},
  };
  return Loads;
}

Duration JobPlan::longest() const {
  Duration Longest{0};
  for (const TaskPlan &Task : this->Tasks)
    Longest = std::max(Longest, Task.Service);
  return Longest;
}

Duration JobPlan::total() const {
  return std::accumulate(
      this->Tasks.begin(), this->Tasks.end(), Duration(0),
      [](Duration Sum, const TaskPlan &Task) { return Sum + Task.Service; });
}

std::vector<JobPlan> makeJobs(const Deployment &Site, const LoadSpec &Load,
                              Duration Length, std::uint64_t Seed) {
  return JobMaker(Site, Load, Seed).make(Length);
}

} // namespace yardwheel
