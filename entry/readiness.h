//===- entry/readiness.h - Whether the balancer sends callers ---*- C++ -*-===//
///
/// \file
/// Decides whether an entry asks its balancer for callers.
///
/// Load pattern: an entry that would refuse its callers while others have room.
/// The balancer asks once a second and needs two misses, so spells shorter than
/// its own are no reason to leave, and cost callers their nearest entry.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_READINESS_H
#define YARDWHEEL_ENTRY_READINESS_H

#include "core/clock.h"
#include "entry/table_lease.h"

#include <chrono>
#include <optional>

namespace yardwheel {

/// What an entry knows of itself.
struct ReadinessFacts {
  bool HasRoutes = false;
  /// Cut off from all workers, an entry is of no use.
  bool HasWorkers = false;
  /// Whether it reads its input in time.
  bool KeepsUp = false;
  bool Draining = false;
  TableState Table = TableState::Unknown;
};

struct ReadinessOptions {
  /// For how long the table may be unknown: as long as the balancer takes from
  /// one question to the next.
  std::chrono::milliseconds MaxUnknownTable{1000};
};

class Readiness {
public:
  explicit Readiness(ReadinessOptions Options = {}) : Options(Options) {}

  /// To be called at each tick. \returns whether callers should come here.
  bool update(const ReadinessFacts &Facts, TimePoint Now);

private:
  /// Whether all jobs have been refused for a while, as the table may be old.
  bool isTableUnknownTooLong(TableState Table, TimePoint Now);

  ReadinessOptions Options;
  std::optional<TimePoint> UnknownSince;
};

} // namespace yardwheel

#endif
