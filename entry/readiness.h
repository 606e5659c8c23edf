//===- entry/readiness.h - Readiness for the balancer -----------*- C++ -*-===//
///
/// \file
/// Decides whether an entry reports itself ready to its load balancer.
///
/// Load pattern: an entry that would refuse its callers while other entries
/// could serve them. The balancer checks once a second and needs two failed
/// checks, so shorter disturbances are no reason to leave, and would cost
/// callers their nearest entry.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_READINESS_H
#define YARDWHEEL_ENTRY_READINESS_H

#include "core/clock.h"
#include "entry/table_lease.h"

#include <chrono>
#include <optional>

namespace yardwheel {

/// The state of an entry that its readiness depends on.
struct ReadinessFacts {
  bool HasRoutes = false;
  /// An entry that is cut off from all workers can't run jobs.
  bool HasWorkers = false;
  /// Whether the entry reads its input in time.
  bool KeepsUp = false;
  bool Draining = false;
  TableState Table = TableState::Unknown;
};

struct ReadinessOptions {
  /// How long the table's state may be unknown: the interval between two checks
  /// of the balancer.
  std::chrono::milliseconds MaxUnknownTable{1000};
};

class Readiness {
public:
  explicit Readiness(ReadinessOptions Options = {}) : Options(Options) {}

  /// Updates the state; must be called at each tick. \returns whether the entry
  /// is ready for callers.
  bool update(const ReadinessFacts &Facts, TimePoint Now);

private:
  /// Whether the table's state has been unknown, and all jobs thus refused, for
  /// too long.
  bool isTableUnknownTooLong(TableState Table, TimePoint Now);

  ReadinessOptions Options;
  std::optional<TimePoint> UnknownSince;
};

} // namespace yardwheel

#endif
