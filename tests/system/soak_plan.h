//===- tests/system/soak_plan.h - Which faults, and when --------*- C++ -*-===//
///
/// \file
/// The faults of one soak, which follow from its seed alone. They come in
/// series, whose members overlap.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_PLAN_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_PLAN_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

struct SoakOptions {
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{12};
  int Controls = 3;
  int Entries = 2;
  int Agents = 3;
  int Callers = 8;
  /// Whether workers start again under their ids beside the other faults, whose
  /// plan is the same with and without.
  bool Restarts = true;
  /// Whether half of the entries delegate all jobs that they can, with further
  /// faults of these entries and of the agents that coordinate. Workers then
  /// don't announce start times, as nothing is delegated where they do;
  /// Restarts must be off.
  bool Delegation = false;
  /// Whether control replicas also freeze, run slowly and lose their disks, two
  /// at a time at most, while configurations come in quick succession.
  bool ControlStorm = false;
  /// Whether control hosts are also replaced, as planned or because they vanish
  /// next to a successor while another one loses its disk, and control loses
  /// power while workers come back as another kind. Jobs require kinds then.
  bool Replacements = false;
  /// Control hosts that join during the soak.
  int SpareControls = 0;
};

enum class SoakFaultKind {
  Kill,
  Freeze,
  Terminate,
  /// Another order of the seeds, with SIGHUP or without.
  Settings,
  /// Settings that cannot be read, until the next good ones.
  BadSettings,
  LinkDelay,
  LinkHold,
  LinkReset,
  LinkSilence,
  /// A worker's life ends and another begins.
  WorkerCrash,
  /// A worker's life ends, and another begins under its id.
  WorkerRestart,
  /// A worker carries out starts late and without a reply.
  LateStarts,
  /// A process is killed and its disk is lost.
  Wipe,
  /// A process is stopped and continued by turns.
  Slow,
  /// A spare control host starts with an empty disk.
  Join,
  /// A control host is stopped for good, with SIGTERM.
  Retire,
  /// A control host is killed for good.
  Vanish,
  /// All control hosts are killed and keep their disks.
  PowerLoss,
  /// A worker's life ends, and another of any kind begins.
  WorkerChange,
};

struct SoakFault {
  /// Since the plan's beginning.
  std::chrono::milliseconds At{0};
  SoakFaultKind Kind = SoakFaultKind::Kill;
  int Host = 0;
  /// The peer on whose connections a link's fault is; 0 is any.
  int From = 0;
  bool Back = false;
  /// How long it lasts, or until the process is started again.
  std::chrono::milliseconds For{0};
  std::chrono::milliseconds Delay{0};
};

/// Hosts by role: the first entry, agent and control replica.
constexpr int SoakFirstEntry = 101;
constexpr int SoakFirstAgent = 111;
constexpr int SoakFirstControl = 121;

/// Whether entry or agent number \p Index, from 0, has part in delegation.
constexpr bool isDelegating(int Index) { return Index % 2 == 0; }

/// Control replicas of which a storm may take the disks at once.
constexpr int SoakWipedAtOnce = 2;

std::string describe(const SoakFault &Fault);
std::vector<SoakFault> planFaults(const SoakOptions &Options);

} // namespace yardwheel

#endif
