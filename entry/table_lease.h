//===- entry/table_lease.h - How old a route table may be -------*- C++ -*-===//
///
/// \file
/// Tells how long ago the route table held here was known to be the newest,
/// and whether requests may be decided by it.
///
/// A table proves nothing about its own age: while an entry does not read its
/// input, or control does not answer, a newer one may be in force elsewhere.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_TABLE_LEASE_H
#define YARDWHEEL_ENTRY_TABLE_LEASE_H

#include "core/clock.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace yardwheel {

enum class TableState {
  /// Was the newest within the age allowed.
  Current,
  /// May be older, and news of a newer one may lie here unread or be missing.
  Unknown,
  /// May be older, but this process reads all that comes, and each control
  /// replica was asked of late: none leads that can be reached from here.
  Unreachable,
};

/// For logs.
const char *tableStateName(TableState State);

struct TableStatus {
  TableState State = TableState::Unknown;
  /// Since the table was last known to be the newest; nothing if it never was.
  std::optional<std::chrono::milliseconds> Age;
  /// A peer has a newer configuration in force than is held here.
  bool NewerKnown = false;

  /// For logs and metrics; -1 where there is no age.
  std::int64_t ageMillis() const { return this->Age ? this->Age->count() : -1; }
};

struct TableLeaseOptions {
  /// Up to this age a table is taken for the newest.
  std::chrono::milliseconds MaxAge{1750};
  /// After this long without reading all of its input, news may lie here
  /// unread. A busy entry has many shorter spells.
  std::chrono::milliseconds MaxInputStall{500};
};

/// The loop's thread writes; any thread reads.
class TableLease {
public:
  explicit TableLease(TableLeaseOptions Options) : Options(Options) {}

  /// To be called often.
  void tick(TimePoint Now) { this->LastTick.store(Now); }
  /// Each control replica was asked at \p Since or later whether this table is
  /// the newest, and none answered as leader; the least time if that cannot be
  /// said.
  void setNoLeaderSince(TimePoint Since) { this->NoLeaderSince.store(Since); }
  /// Control has answered a question: the table was the newest some time
  /// after the question was sent.
  void confirm(TimePoint Asked);
  /// The configuration held here is of this revision.
  void setHeldRevision(std::uint64_t Revision) {
    this->HeldRevision.store(Revision);
  }
  /// A peer has a revision in force.
  void onPeerRevision(std::uint64_t Revision);

  /// To be read before the table: the table is then at least as new.
  /// \param LastIdle When this process last had read all of its input.
  TableStatus status(TimePoint Now, TimePoint LastIdle) const;

private:
  /// Whether all of control has been asked in vain of late.
  bool isLeaderUnreachable(TimePoint Now) const;

  TableLeaseOptions Options;
  std::atomic<TimePoint> LastConfirmed{TimePoint::min()};
  std::atomic<TimePoint> NoLeaderSince{TimePoint::min()};
  std::atomic<TimePoint> LastTick{TimePoint::min()};
  std::atomic<std::uint64_t> HeldRevision{0};
  std::atomic<std::uint64_t> NewestRevision{0};
};

} // namespace yardwheel

#endif
