#include "emulator/mixed_load.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr double CpuSpread = 0.2;
/// A caller counts a job as late after this factor times its longest task plus
/// Allowance.
constexpr double LateFactor = 1.6;
constexpr std::chrono::milliseconds LateAllowance{60};
/// Time after the load, in which the last accepted jobs end.
constexpr std::chrono::milliseconds DrainTime{7000};
/// The value of a late answer, relative to one in time.
constexpr double LateCredit = 0.2;

/// A log-normal distribution with a mean of 1.
class Spread {
public:
  explicit Spread(double Deviation)
      : Normal(-Deviation * Deviation / 2, Deviation) {}
  double draw(std::mt19937_64 &Random) {
    return std::exp(this->Normal(Random));
  }

private:
  std::normal_distribution<double> Normal;
};

std::chrono::milliseconds times(std::chrono::milliseconds Length,
                                double Factor) {
  return std::chrono::milliseconds(
      std::llround(static_cast<double>(Length.count()) * Factor));
}

struct DrawnJob {
  LeasedJobRequest Request;
  std::vector<std::chrono::milliseconds> Lengths;
};

DrawnJob drawJob(const JobKind &Kind, int Number,
                 const MixedLoadOptions &Options, std::mt19937_64 &Random) {
  Spread Job(Options.JobSpread);
  Spread Task(Options.TaskSpread);
  Spread Declared(Options.DeclaredSpread);
  DrawnJob Drawn;
  double Width = std::max(1.0, std::round(Kind.Tasks * Job.draw(Random)));
  std::chrono::milliseconds Mean = times(Kind.Length, Job.draw(Random));
  for (int I = 0; I < static_cast<int>(Width); ++I)
    Drawn.Lengths.push_back(times(Mean, Task.draw(Random)));
  LeasedJobRequest &Request = Drawn.Request;
  Request.Id = fmt::format("{}-{}", Kind.Route, Number);
  Request.Route = Kind.Route;
  Request.Priority = Kind.Priority;
  Request.Needs.set_cpu_milli(static_cast<std::uint32_t>(
      Options.MeanTaskCpu * Spread(CpuSpread).draw(Random)));
  Request.Estimate = times(Mean, Declared.draw(Random));
  Request.MaxAttempts = 3;
  Request.Objective = times(Request.Estimate, LateFactor) + LateAllowance;
  Request.Deadline = Options.Deadline;
  return Drawn;
}

/// Returns the factor on the usual rate of a kind at a time of the load.
double burstFactor(const MixedLoadOptions &Options, const JobKind &Kind,
                   const std::string &DataCentre,
                   std::chrono::duration<double> At) {
  double Factor = 1;
  for (const LoadBurst &Burst : Options.Bursts) {
    bool Applies = (Burst.Route.empty() || Burst.Route == Kind.Route) &&
                   (Burst.DataCentre.empty() || Burst.DataCentre == DataCentre);
    if (Applies && At >= Burst.Begins && At < Burst.Begins + Burst.Lasts)
      Factor *= Burst.Factor;
  }
  return Factor;
}

/// Returns the groups of a job that is submitted at a time of the load.
std::vector<std::string> groupsOf(const MixedLoadOptions &Options,
                                  const JobKind &Kind,
                                  const std::string &DataCentre,
                                  std::chrono::duration<double> At) {
  if (DataCentre.empty())
    return {};
  std::string Pair = fmt::format("{}@{}", Kind.Route, DataCentre);
  std::vector<std::string> Groups{DataCentre, Pair};
  bool InBurst =
      std::ranges::any_of(Options.Bursts, [At](const LoadBurst &Burst) {
        return At >= Burst.Begins && At < Burst.Begins + Burst.Lasts;
      });
  if (InBurst)
    for (const std::string &Name : {std::string(Kind.Route), DataCentre, Pair})
      Groups.push_back("burst " + Name);
  return Groups;
}

/// Distributes the jobs over the entries.
class EntryChoice {
public:
  EntryChoice(const MixedLoadOptions &Options, std::mt19937_64 &Random)
      : Any(0, Options.World.Entries - 1) {
    for (std::size_t I = 0; I < Options.Callers; ++I)
      this->OfCaller.push_back(this->Any(Random));
  }

  /// \param Place The data centre among \p Places; 0 places if they do not
  /// matter.
  std::size_t draw(std::mt19937_64 &Random, std::size_t Place,
                   std::size_t Places) {
    if (Places > 0) {
      std::size_t Count = (this->Any.max() - Place) / Places + 1;
      return Place + Random() % Count * Places;
    }
    if (this->OfCaller.empty())
      return this->Any(Random);
    std::uniform_int_distribution<std::size_t> Caller(0, this->OfCaller.size() -
                                                             1);
    return this->OfCaller[Caller(Random)];
  }

private:
  std::uniform_int_distribution<std::size_t> Any;
  std::vector<std::size_t> OfCaller;
};

/// Returns an entry that is up, \p Where if possible and else the next one in
/// steps of \p Step.
std::size_t liveEntry(LeasedWorld &World, std::size_t Where, std::size_t Step) {
  for (std::size_t I = 0; I < World.entries(); ++I) {
    std::size_t Next = (Where + I * Step) % World.entries();
    if (World.world().isUp(World.entry(Next).name()))
      return Next;
  }
  return Where;
}

} // namespace

const std::vector<JobKind> &mixedKinds() {
  static const std::vector<JobKind> Kinds = {
      {"wide", 36, 8, std::chrono::milliseconds(60)},
      {"narrow", 105, 2, std::chrono::milliseconds(200)},
      {"long", 6.6, 4, std::chrono::milliseconds(900)}};
  return Kinds;
}

const std::vector<JobKind> &shiftedKinds() {
  static const std::vector<JobKind> Kinds = {
      {"wide", 27, 8, std::chrono::milliseconds(60), 0, 4.85},
      {"narrow", 78.9, 2, std::chrono::milliseconds(200), 1, 1.67},
      {"long", 10.7, 4, std::chrono::milliseconds(900), 2, 26.7}};
  return Kinds;
}

const std::map<std::uint32_t, double> &shiftedValues() {
  static const std::map<std::uint32_t, double> Values = {
      {0, 10.1}, {1, 4.2}, {2, 7.4}};
  return Values;
}

const std::vector<JobKind> &fleetKinds() {
  static const std::vector<JobKind> Kinds = {
      {"wide", 309, 8, std::chrono::milliseconds(60)},
      {"narrow", 901, 2, std::chrono::milliseconds(200)},
      {"long", 56.2, 4, std::chrono::milliseconds(900)}};
  return Kinds;
}

MixedLoadOptions fleetLoad() {
  MixedLoadOptions Options;
  Options.Kinds = fleetKinds();
  Options.MeanTaskCpu = 3800;
  Options.Callers = 88;
  Options.World.Entries = 51;
  Options.World.Agents = 240;
  Options.World.CapacitiesMilliCores = {16000, 16000, 24000};
  // An entry of a small deployment uses 0.47 core-ms for a job and its eight
  // messages, so a message takes 60 us of a core; at 0.12 of a core that is
  // 500 us.
  Options.World.EntryMessageCost = std::chrono::microseconds(500);
  Options.World.WarmUp = std::chrono::milliseconds(2000);
  Options.Lasts = std::chrono::milliseconds(6000);
  return Options;
}

MixedOutcome runMixedLoad(const MixedLoadOptions &Options) {
  LeasedWorld World(Options.World);
  World.world().setFaults(Options.Faults);
  std::mt19937_64 Random(Options.World.Seed);
  for (const EntryLoss &Loss : Options.EntryLosses) {
    World.world().after(Loss.Begins,
                        [&World, Loss] { World.entry(Loss.Entry).kill(); });
    World.world().after(Loss.Begins + Loss.Lasts,
                        [&World, Loss] { World.restartEntry(Loss.Entry); });
  }
  int Number = 0;
  EntryChoice Entry(Options, Random);
  std::size_t Places = std::max<std::size_t>(Options.DataCentres, 1);
  for (std::size_t I = 0; I < Options.Kinds.size() * Places; ++I) {
    const JobKind &Kind = Options.Kinds[I / Places];
    std::size_t Place = I % Places;
    std::string DataCentre =
        Options.DataCentres > 0 ? fmt::format("dc-{}", Place) : "";
    std::chrono::duration<double> At(0);
    while (true) {
      double Rate = Kind.PerSecond / static_cast<double>(Places) *
                    Options.Factor * burstFactor(Options, Kind, DataCentre, At);
      std::exponential_distribution<double> Gap(Rate);
      At += std::chrono::duration<double>(Gap(Random));
      if (At >= Options.Lasts)
        break;
      DrawnJob Drawn = drawJob(Kind, ++Number, Options, Random);
      Drawn.Request.DataCentre = DataCentre;
      std::chrono::milliseconds Longest =
          *std::max_element(Drawn.Lengths.begin(), Drawn.Lengths.end());
      World.world().after(
          std::chrono::duration_cast<Duration>(At),
          [&World, Drawn,
           Where = Entry.draw(Random, Place, Options.DataCentres), Places,
           Groups = groupsOf(Options, Kind, DataCentre, At),
           DueAfter = times(Longest, LateFactor) + LateAllowance] {
            World.submit(liveEntry(World, Where, Places), Drawn.Request,
                         Drawn.Lengths, DueAfter, Groups);
          });
    }
  }
  for (const SpeedChange &Change : Options.SpeedChanges)
    World.world().after(Change.At, [&World, Change] {
      for (std::size_t I = 0; I < Change.Workers; ++I)
        World.agent(I).setRunTimeFactor(Change.RunTimeFactor);
    });
  World.world().run(Options.Lasts);
  EntryEffort Effort = World.effort();
  World.world().run(DrainTime);
  return {World.outcomes(), World.groupOutcomes(), World.overlappingRuns(),
          Effort};
}

double earnedShare(const std::map<std::string, RouteOutcome> &Routes,
                   const std::vector<JobKind> &Kinds) {
  double Earned = 0;
  double Owed = 0;
  for (const JobKind &Kind : Kinds) {
    auto Found = Routes.find(Kind.Route);
    if (Found == Routes.end())
      continue;
    const RouteOutcome &Seen = Found->second;
    Earned += Kind.Value * (Seen.InTime + LateCredit * Seen.Late);
    Owed += Kind.Value * Seen.Submitted;
  }
  return Owed > 0 ? Earned / Owed : 0;
}

double creditOf(const RouteOutcome &Seen) {
  return (Seen.InTime + LateCredit * Seen.Late) /
         std::max<double>(Seen.Submitted, 1);
}

double meanCredit(const std::map<std::string, RouteOutcome> &Routes) {
  double Sum = 0;
  for (const auto &[Route, Seen] : Routes)
    Sum += creditOf(Seen);
  return Routes.empty() ? 0 : Sum / static_cast<double>(Routes.size());
}

} // namespace yardwheel
