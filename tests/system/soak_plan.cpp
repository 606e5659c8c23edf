#include "tests/system/soak_plan.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <numeric>
#include <random>

namespace yardwheel {

namespace {

using std::chrono::milliseconds;

constexpr int MaxSeries = 4;
/// Between two series, and between two faults of one.
constexpr int MaxPauseMs = 900;
constexpr int MaxGapMs = 300;
/// Between two restarts of workers, and how long one is down.
constexpr int MaxRestartPauseMs = 2500;
constexpr int MaxDownMs = 2000;
constexpr int ShortDownMs = 50;
/// Between two faults of agents that coordinate jobs and of their entries, and
/// how long one lasts.
/// Some are shorter and some longer than the silence with which a delegate is
/// lost.
constexpr int MaxDelegatePauseMs = 2000;
constexpr int MaxDelegateFaultMs = 1500;
constexpr std::uint64_t DelegateSeed = 0x5eedULL << 32U;
/// Between two faults of control replicas in a storm, and how long one lasts.
/// Some outlast the silence after which a replica is replaced.
constexpr int MaxControlPauseMs = 3000;
constexpr int MaxControlFaultMs = 6000;
/// How long a host is down that has lost its disk, and how long after it is
/// back others may lose theirs.
constexpr int MaxWipeMs = 2000;
constexpr milliseconds CatchUpTime{6000};
constexpr std::uint64_t ControlSeed = 0xc0deULL << 32U;
/// From the start of a control host until another one may leave in its place,
/// as in the settings.
constexpr milliseconds SuccessorTime{4000};
/// Between two planned removals of control hosts.
constexpr int MaxRetirePauseMs = 2000;
/// From a host that vanishes to the loss of another one's disk.
constexpr int MaxVanishGapMs = 2500;
/// From a host that vanishes until it is out of the replica set, though another
/// one is down meanwhile.
constexpr milliseconds NoticeTime{9000};
constexpr int MaxJoinsAtOnce = 2;
constexpr int MinPowerLossMs = 500;
constexpr int MaxPowerLossMs = 4000;
constexpr std::uint64_t ReplacementSeed = 0x10bULL << 32U;

const char *nameOf(SoakFaultKind Kind) {
  switch (Kind) {
  case SoakFaultKind::Kill:
    return "kill";
  case SoakFaultKind::Freeze:
    return "freeze";
  case SoakFaultKind::Terminate:
    return "terminate";
  case SoakFaultKind::Settings:
    return "settings";
  case SoakFaultKind::BadSettings:
    return "bad settings";
  case SoakFaultKind::LinkDelay:
    return "link delay";
  case SoakFaultKind::LinkHold:
    return "link hold";
  case SoakFaultKind::LinkReset:
    return "link reset";
  case SoakFaultKind::LinkSilence:
    return "link silence";
  case SoakFaultKind::WorkerCrash:
    return "worker crash";
  case SoakFaultKind::WorkerRestart:
    return "worker restart";
  case SoakFaultKind::LateStarts:
    return "late starts";
  case SoakFaultKind::Wipe:
    return "wipe";
  case SoakFaultKind::Slow:
    return "slow";
  case SoakFaultKind::Join:
    return "join";
  case SoakFaultKind::Retire:
    return "retire";
  case SoakFaultKind::Vanish:
    return "vanish";
  case SoakFaultKind::PowerLoss:
    return "power loss";
  case SoakFaultKind::WorkerChange:
    return "worker change";
  }
  return "unknown";
}

/// How often a kind comes, and how long it lasts.
struct KindRow {
  SoakFaultKind Kind;
  double Weight;
  milliseconds Shortest;
  milliseconds Longest;
};

const KindRow Kinds[] = {
    {SoakFaultKind::Kill, 12, milliseconds(0), milliseconds(4000)},
    {SoakFaultKind::Freeze, 20, milliseconds(100), milliseconds(3000)},
    {SoakFaultKind::Terminate, 8, milliseconds(0), milliseconds(1000)},
    {SoakFaultKind::Settings, 5, milliseconds(0), milliseconds(0)},
    {SoakFaultKind::BadSettings, 2, milliseconds(0), milliseconds(0)},
    {SoakFaultKind::LinkDelay, 10, milliseconds(300), milliseconds(3000)},
    {SoakFaultKind::LinkHold, 25, milliseconds(500), milliseconds(6000)},
    {SoakFaultKind::LinkReset, 6, milliseconds(0), milliseconds(0)},
    {SoakFaultKind::LinkSilence, 8, milliseconds(0), milliseconds(0)},
    {SoakFaultKind::WorkerCrash, 3, milliseconds(0), milliseconds(0)},
    {SoakFaultKind::LateStarts, 4, milliseconds(300), milliseconds(1500)},
};

class Planner {
public:
  explicit Planner(const SoakOptions &Options)
      : Options(Options), Random(Options.Seed) {}

  SoakFault next(milliseconds At) {
    SoakFault Fault;
    Fault.At = At;
    const KindRow &Row = this->pickKind();
    Fault.Kind = Row.Kind;
    Fault.For = milliseconds(this->pick(static_cast<int>(Row.Shortest.count()),
                                        static_cast<int>(Row.Longest.count())));
    bool OfWorker = Fault.Kind == SoakFaultKind::WorkerCrash ||
                    Fault.Kind == SoakFaultKind::LateStarts;
    Fault.Host = OfWorker ? this->agent() : this->node();
    if (Fault.Kind == SoakFaultKind::LinkHold ||
        Fault.Kind == SoakFaultKind::LinkDelay)
      this->placeOnLink(Fault);
    if (Fault.Kind == SoakFaultKind::LateStarts)
      Fault.Delay = milliseconds(this->pick(100, 1500));
    return Fault;
  }
  int pick(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(this->Random);
  }

  SoakFault nextRestart(milliseconds At) {
    SoakFault Fault;
    Fault.At = At;
    Fault.Kind = SoakFaultKind::WorkerRestart;
    Fault.Host = this->agent();
    // Some are back before anybody has missed them.
    bool Short = this->pick(0, 2) == 0;
    Fault.For = milliseconds(this->pick(1, Short ? ShortDownMs : MaxDownMs));
    return Fault;
  }

  SoakFault nextOfDelegate(milliseconds At) {
    constexpr SoakFaultKind Usual[] = {
        SoakFaultKind::Kill, SoakFaultKind::Freeze, SoakFaultKind::Terminate,
        SoakFaultKind::LinkHold, SoakFaultKind::LinkReset};
    SoakFault Fault;
    Fault.At = At;
    Fault.Kind = Usual[this->pick(0, std::size(Usual) - 1)];
    // Where an entry dies, its delegates must stop what it no longer vouches
    // for.
    bool OfEntry = this->pick(0, 2) == 0;
    Fault.Host = OfEntry
                     ? SoakFirstEntry + this->delegating(this->Options.Entries)
                     : SoakFirstAgent + this->delegating(this->Options.Agents);
    Fault.For = milliseconds(this->pick(1, MaxDelegateFaultMs));
    if (Fault.Kind == SoakFaultKind::LinkHold) {
      Fault.From =
          OfEntry ? SoakFirstAgent + this->delegating(this->Options.Agents)
                  : SoakFirstEntry + this->delegating(this->Options.Entries);
      Fault.Back = this->pick(0, 1) == 0;
      Fault.Delay = milliseconds(this->pick(20, 900));
    }
    return Fault;
  }

  SoakFault nextOfControl(milliseconds At) {
    SoakFault Fault;
    Fault.At = At;
    Fault.Kind =
        this->pick(0, 1) == 0 ? SoakFaultKind::Freeze : SoakFaultKind::Slow;
    Fault.Host = this->control();
    Fault.For = milliseconds(this->pick(100, MaxControlFaultMs));
    return Fault;
  }

  /// Adds losses of disks, of SoakWipedAtOnce hosts at most at a time.
  void addWipes(std::vector<SoakFault> &Faults) {
    std::vector<int> Hosts(static_cast<std::size_t>(this->Options.Controls));
    std::iota(Hosts.begin(), Hosts.end(), SoakFirstControl);
    milliseconds At(this->pick(0, MaxControlPauseMs));
    while (At < this->Options.Length) {
      std::ranges::shuffle(Hosts, this->Random);
      int Count = this->pick(1, SoakWipedAtOnce);
      for (int I = 0; I < Count; ++I) {
        SoakFault Fault;
        Fault.At = At + milliseconds(this->pick(0, MaxWipeMs));
        Fault.Kind = SoakFaultKind::Wipe;
        Fault.Host = Hosts[static_cast<std::size_t>(I)];
        Fault.For = milliseconds(this->pick(0, MaxWipeMs));
        Faults.push_back(Fault);
      }
      At += milliseconds(2 * MaxWipeMs) + CatchUpTime;
    }
  }

  /// Adds replacements of control hosts, and losses of power of all control
  /// hosts between them.
  void addReplacements(std::vector<SoakFault> &Faults) {
    int Next = SoakFirstControl + this->Options.Controls;
    const int End = Next + this->Options.SpareControls;
    std::vector<int> Old(static_cast<std::size_t>(this->Options.Controls));
    std::iota(Old.begin(), Old.end(), SoakFirstControl);
    milliseconds At(this->pick(0, MaxControlPauseMs));
    while (At < this->Options.Length) {
      if (Next == End || this->pick(0, 2) == 0) {
        At = this->addPowerLoss(At, Faults);
        continue;
      }
      std::ranges::shuffle(Old, this->Random);
      int Count = std::min(this->pick(1, MaxJoinsAtOnce), End - Next);
      milliseconds RetireAt = At + SuccessorTime;
      if (Count == 1 && this->pick(0, 1) == 0) {
        Faults.push_back({.At = At, .Kind = SoakFaultKind::Join, .Host = Next});
        this->addVanished(RetireAt, Old[0], Old[1], Faults);
        Old[0] = Next++;
        At = RetireAt + NoticeTime;
        continue;
      }
      for (int I = 0; I < Count; ++I) {
        Faults.push_back({.At = At, .Kind = SoakFaultKind::Join, .Host = Next});
        Faults.push_back({.At = RetireAt,
                          .Kind = SoakFaultKind::Retire,
                          .Host = Old[static_cast<std::size_t>(I)]});
        RetireAt += milliseconds(this->pick(0, MaxRetirePauseMs));
        Old[static_cast<std::size_t>(I)] = Next++;
      }
      At = RetireAt + milliseconds(this->pick(0, MaxControlPauseMs));
    }
  }

private:
  /// Lets one control host vanish and another one lose its disk.
  void addVanished(milliseconds At, int Gone, int Wiped,
                   std::vector<SoakFault> &Faults) {
    Faults.push_back({.At = At, .Kind = SoakFaultKind::Vanish, .Host = Gone});
    SoakFault Wipe{.At = At + milliseconds(this->pick(0, MaxVanishGapMs)),
                   .Kind = SoakFaultKind::Wipe,
                   .Host = Wiped};
    Wipe.For = milliseconds(this->pick(0, MaxWipeMs));
    Faults.push_back(Wipe);
  }
  /// \returns when the loss no longer counts.
  milliseconds addPowerLoss(milliseconds At, std::vector<SoakFault> &Faults) {
    SoakFault Loss{
        .At = At, .Kind = SoakFaultKind::PowerLoss, .Host = SoakFirstControl};
    Loss.For = milliseconds(this->pick(MinPowerLossMs, MaxPowerLossMs));
    Faults.push_back(Loss);
    int Changes = this->pick(1, 2);
    for (int I = 0; I < Changes; ++I) {
      auto Length = static_cast<int>(Loss.For.count());
      Faults.push_back({.At = At + milliseconds(this->pick(0, Length)),
                        .Kind = SoakFaultKind::WorkerChange,
                        .Host = this->agent(),
                        .For = milliseconds(this->pick(0, MaxDownMs))});
    }
    return At + Loss.For + SuccessorTime;
  }
  /// Returns the number of a node that has part in delegation, of this many.
  int delegating(int Count) {
    int Index = this->pick(0, Count - 1);
    return isDelegating(Index) ? Index : Index - 1;
  }
  const KindRow &pickKind() {
    std::vector<double> Weights;
    for (const KindRow &Row : Kinds)
      Weights.push_back(Row.Weight);
    std::discrete_distribution<std::size_t> Choice(Weights.begin(),
                                                   Weights.end());
    return Kinds[Choice(this->Random)];
  }
  int entry() { return SoakFirstEntry + this->pick(0, Options.Entries - 1); }
  int agent() { return SoakFirstAgent + this->pick(0, Options.Agents - 1); }
  int control() {
    return SoakFirstControl + this->pick(0, Options.Controls - 1);
  }
  int node() {
    int Role = this->pick(0, 9);
    if (Role < 4)
      return this->entry();
    return Role < 8 ? this->agent() : this->control();
  }
  /// Most are between an agent and an entry, where an entry hears nothing of an
  /// agent that hears it, or the other way round.
  void placeOnLink(SoakFault &Fault) {
    int Where = this->pick(0, 9);
    if (Where < 4) {
      Fault.Host = this->entry();
      Fault.From = this->agent();
    } else if (Where < 8) {
      Fault.Host = this->agent();
      Fault.From = this->entry();
    }
    Fault.Back = this->pick(0, 4) == 0;
    Fault.Delay = milliseconds(this->pick(20, 900));
  }

  const SoakOptions &Options;
  std::mt19937_64 Random;
};

/// Adds faults of one source, drawn from a seed of their own, so that the other
/// faults are the same with and without them.
void addFaults(SoakOptions Options, std::uint64_t Seed, int LongestPauseMs,
               SoakFault (Planner::*Next)(milliseconds At),
               std::vector<SoakFault> &Faults) {
  Options.Seed = Seed;
  Planner Plan(Options);
  milliseconds At(Plan.pick(0, LongestPauseMs));
  while (At < Options.Length) {
    Faults.push_back((Plan.*Next)(At));
    At += milliseconds(Plan.pick(0, LongestPauseMs));
  }
}

/// Whether a fault of a control replica makes it count as lost.
bool isLoss(const SoakFault &Fault) {
  if (Fault.Host < SoakFirstControl)
    return false;
  switch (Fault.Kind) {
  case SoakFaultKind::Kill:
  case SoakFaultKind::Freeze:
  case SoakFaultKind::Terminate:
  case SoakFaultKind::Wipe:
  case SoakFaultKind::Slow:
    return true;
  default:
    return false;
  }
}

/// Drops losses of control replicas that would let more than SoakWipedAtOnce
/// count as lost while one of them has lost its disk: without a quorum it
/// cannot be replaced, and the next disks would be too many. Without a lost
/// disk, any number may be lost. \p Faults are sorted by their time.
void keepDisksWithinTolerance(std::vector<SoakFault> &Faults) {
  std::map<int, milliseconds> LostUntil;
  milliseconds WipedUntil(0);
  std::erase_if(Faults, [&](const SoakFault &Fault) {
    if (!isLoss(Fault))
      return false;
    std::erase_if(LostUntil, [&Fault](const auto &Item) {
      return Item.second <= Fault.At;
    });
    bool IsWipe = Fault.Kind == SoakFaultKind::Wipe;
    milliseconds Until = Fault.At + Fault.For + CatchUpTime;
    std::size_t Others = LostUntil.size() - LostUntil.count(Fault.Host);
    if ((IsWipe || Fault.At < WipedUntil) && Others >= SoakWipedAtOnce)
      return true;
    LostUntil[Fault.Host] = std::max(LostUntil[Fault.Host], Until);
    if (IsWipe)
      WipedUntil = std::max(WipedUntil, Until);
    return false;
  });
}

/// Drops losses of single control replicas while another one, or all of them,
/// count as lost. Those that are retired or vanish are not lost. Lost disks and
/// losses of power stay, as they are few. \p Faults are sorted by their time.
void keepOneControlLost(std::vector<SoakFault> &Faults) {
  auto Stays = [](const SoakFault &Fault) {
    return Fault.Kind == SoakFaultKind::PowerLoss ||
           Fault.Kind == SoakFaultKind::Wipe;
  };
  std::vector<SoakFault> Kept;
  std::ranges::copy_if(Faults, std::back_inserter(Kept), Stays);
  auto Overlaps = [](const SoakFault &One, const SoakFault &Other) {
    return One.At <= Other.At + Other.For + SuccessorTime &&
           Other.At <= One.At + One.For + SuccessorTime;
  };
  milliseconds LostUntil(0);
  std::erase_if(Faults, [&](const SoakFault &Fault) {
    if (!isLoss(Fault) || Stays(Fault))
      return false;
    if (Fault.At < LostUntil ||
        std::ranges::any_of(
            Kept, [&](const SoakFault &Loss) { return Overlaps(Fault, Loss); }))
      return true;
    LostUntil = Fault.At + Fault.For + SuccessorTime;
    return false;
  });
}

} // namespace

std::string describe(const SoakFault &Fault) {
  return fmt::format("{} ms: {} at host {}, from {}{}, for {} ms, delay {} ms",
                     Fault.At.count(), nameOf(Fault.Kind), Fault.Host,
                     Fault.From, Fault.Back ? " (back)" : "", Fault.For.count(),
                     Fault.Delay.count());
}

std::vector<SoakFault> planFaults(const SoakOptions &Options) {
  Planner Plan(Options);
  std::vector<SoakFault> Faults;
  milliseconds At(0);
  while (At < Options.Length) {
    int Members = Plan.pick(1, MaxSeries);
    for (int I = 0; I < Members; ++I) {
      Faults.push_back(Plan.next(At));
      At += milliseconds(Plan.pick(0, MaxGapMs));
    }
    At += milliseconds(Plan.pick(0, MaxPauseMs));
  }
  if (Options.Restarts)
    addFaults(Options, ~Options.Seed, MaxRestartPauseMs, &Planner::nextRestart,
              Faults);
  if (Options.Delegation)
    addFaults(Options, Options.Seed ^ DelegateSeed, MaxDelegatePauseMs,
              &Planner::nextOfDelegate, Faults);
  if (Options.ControlStorm) {
    addFaults(Options, Options.Seed ^ ControlSeed, MaxControlPauseMs,
              &Planner::nextOfControl, Faults);
    SoakOptions Wipes = Options;
    Wipes.Seed = ~(Options.Seed ^ ControlSeed);
    Planner(Wipes).addWipes(Faults);
  }
  if (Options.Replacements) {
    SoakOptions Changed = Options;
    Changed.Seed = Options.Seed ^ ReplacementSeed;
    Planner(Changed).addReplacements(Faults);
  }
  std::ranges::stable_sort(Faults, {}, &SoakFault::At);
  if (Options.ControlStorm)
    keepDisksWithinTolerance(Faults);
  if (Options.Replacements)
    keepOneControlLost(Faults);
  return Faults;
}

} // namespace yardwheel
