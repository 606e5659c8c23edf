//===- emulator/mixed_load.h - Load of several kinds of job -----*- C++ -*-===//
///
/// \file
/// A load of several kinds of job for the leased path in virtual time. Each
/// kind has a rate, a width and a length. Task lengths vary, and declared
/// lengths deviate from the real ones. The same seed gives the same load.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_MIXED_LOAD_H
#define YARDWHEEL_EMULATOR_MIXED_LOAD_H

#include "emulator/leased_world.h"

#include <map>
#include <string>
#include <vector>

namespace yardwheel {

/// A kind of job.
struct JobKind {
  const char *Route;
  double PerSecond;
  /// Mean number of tasks of a job, and their mean length.
  double Tasks;
  std::chrono::milliseconds Length;
  std::uint32_t Priority = 0;
  /// What a job earns in time.
  double Value = 1;
};

/// Wide jobs of short tasks, narrow jobs of longer ones, and some jobs that
/// last nearly a second. The jobs of each kind are worth the same in total.
/// Together they use nine tenths of the capacity of nine workers.
const std::vector<JobKind> &mixedKinds();

/// The same kinds at other rates: nearly half of the work, and more than half
/// of the value, is that of the long jobs. Narrow jobs earn least for their
/// work. They use nine tenths of the capacity of nine workers.
const std::vector<JobKind> &shiftedKinds();

/// What a core-second of each of the shifted kinds earns, by priority.
const std::map<std::uint32_t, double> &shiftedValues();

/// The same kinds, at rates that use three fifths of the capacity of 240
/// workers.
const std::vector<JobKind> &fleetKinds();

/// A period of the load in which more jobs arrive.
struct LoadBurst {
  /// The kind of job that it concerns; all kinds if empty.
  std::string Route;
  std::chrono::milliseconds Begins{};
  std::chrono::milliseconds Lasts{};
  double Factor = 1;
  /// Where the callers are; everywhere if empty.
  std::string DataCentre;
};

/// A change of the speed of some workers during the load.
struct SpeedChange {
  std::chrono::milliseconds At{};
  /// Concerns the workers from the first up to this number.
  std::size_t Workers = 0;
  /// Factor by which their tasks take longer from then on.
  double RunTimeFactor = 1;
};

/// An entry that is down for some time; its callers go to others in its data
/// centre.
struct EntryLoss {
  std::size_t Entry = 0;
  std::chrono::milliseconds Begins{};
  std::chrono::milliseconds Lasts{};
};

struct MixedLoadOptions {
  LeasedWorldOptions World;
  std::vector<JobKind> Kinds = mixedKinds();
  /// Factor by which the rates of the kinds are multiplied.
  double Factor = 1;
  std::vector<LoadBurst> Bursts;
  std::vector<SpeedChange> SpeedChanges;
  std::vector<EntryLoss> EntryLosses;
  /// Number of data centres, to which the entries belong in turn; each has the
  /// same number of callers. 0: the callers' data centre is not known.
  std::size_t DataCentres = 0;
  /// Mean processor time that a task needs, in thousandths of a core.
  std::uint32_t MeanTaskCpu = 6200;
  /// Number of callers; each submits all its jobs to one random entry. 0 draws
  /// an entry for each job. With few callers some entries get several times the
  /// mean load and others none.
  std::size_t Callers = 0;
  std::chrono::milliseconds Lasts{12000};
  /// How long a caller waits for its answer.
  std::chrono::milliseconds Deadline{6000};
  /// Spread of widths and mean lengths between jobs, of lengths within a job,
  /// and of declared lengths: each the standard deviation of the logarithm.
  double JobSpread = 0.4;
  double TaskSpread = 0.15;
  double DeclaredSpread = 0.4;
  /// Faults of the network between entries and agents.
  NetworkFaults Faults;
};

/// 51 entries with a tenth of a core each, 240 workers with capacity for four
/// to six tasks each, and callers that are unevenly distributed over the
/// entries.
MixedLoadOptions fleetLoad();

struct MixedOutcome {
  std::map<std::string, RouteOutcome> Routes;
  /// By data centre, by route and data centre ("wide@dc-0"), and all of these
  /// for the time of the bursts alone ("burst wide", "burst dc-0").
  std::map<std::string, RouteOutcome> Groups;
  std::uint32_t OverlappingRuns = 0;
  EntryEffort Effort;
};

/// Runs the load and returns the outcomes of each kind.
MixedOutcome runMixedLoad(const MixedLoadOptions &Options);

/// Returns the mean credit of a job of one kind or data centre.
double creditOf(const RouteOutcome &Seen);

/// Returns the mean credit of a job, averaged over the kinds: a job answered in
/// time earns 1, a late one a fifth.
double meanCredit(const std::map<std::string, RouteOutcome> &Routes);

/// Returns the share of the value of all jobs that was earned. A late answer
/// earns a fifth.
double earnedShare(const std::map<std::string, RouteOutcome> &Routes,
                   const std::vector<JobKind> &Kinds);

} // namespace yardwheel

#endif
