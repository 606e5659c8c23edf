//===- emulator/mixed_load.h - Kinds of job in virtual time -----*- C++ -*-===//
///
/// \file
/// A load of several kinds of job for the leased path in virtual time: each
/// kind has its rate, width, length and what it is worth; lengths are uneven
/// and declared ones are off. The same seed gives the same load.
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
};

/// Wide short jobs beside narrow longer ones and some that last nearly a
/// second. Each kind is as much worth as the others in all; together they take
/// nine tenths of the room of nine workers.
const std::vector<JobKind> &mixedKinds();

/// The same kinds, at the rates that keep three fifths of the room of 240
/// workers busy.
const std::vector<JobKind> &fleetKinds();

/// A time of the load in which more jobs come.
struct LoadBurst {
  /// Of one kind; of all kinds if empty.
  std::string Route;
  std::chrono::milliseconds Begins{};
  std::chrono::milliseconds Lasts{};
  double Factor = 1;
};

struct MixedLoadOptions {
  LeasedWorldOptions World;
  std::vector<JobKind> Kinds = mixedKinds();
  /// Rates, as a multiple of those of the kinds.
  double Factor = 1;
  std::vector<LoadBurst> Bursts;
  /// Mean processor time that a task needs, in thousandths of a core.
  std::uint32_t MeanTaskCpu = 6200;
  /// Callers, each of which hands all its jobs in at one entry, drawn at
  /// random; 0 lets each job draw its own. With few of
  /// them some entries get several times the mean load and others none.
  std::size_t Callers = 0;
  std::chrono::milliseconds Lasts{12000};
  /// Spread of widths and mean lengths from job to job, of lengths within a
  /// job, and of what is declared: each the deviation of the logarithm.
  double JobSpread = 0.4;
  double TaskSpread = 0.15;
  double DeclaredSpread = 0.4;
  /// Of the messages between entries and agents.
  NetworkFaults Faults;
};

/// 51 entries with a tenth of a core each, 240 workers of four to six tasks,
/// and callers that are unevenly divided among the entries.
MixedLoadOptions fleetLoad();

struct MixedOutcome {
  std::map<std::string, RouteOutcome> Routes;
  std::uint32_t OverlappingRuns = 0;
  EntryEffort Effort;
};

/// Plays the load and returns what became of each kind.
MixedOutcome playMixed(const MixedLoadOptions &Options);

/// The mean over the kinds of what jobs have earned: 1 in time, a fifth late.
double creditOf(const std::map<std::string, RouteOutcome> &Routes);

} // namespace yardwheel

#endif
