//===- entry/table_lease.h - Age of the route table -------------*- C++ -*-===//
///
/// \file
/// Tracks how long ago the route table held here was known to be the newest
/// one, and whether requests may be decided by it.
///
/// A table can't prove its own age: while an entry doesn't read its input, or
/// control doesn't answer, a newer table may be in force elsewhere.
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
  /// The table was the newest one within the maximum age.
  Current,
  /// The table may be outdated, and news of a newer one may be unread or
  /// missing.
  Unknown,
  /// The table may be outdated, but this process reads all of its input and has
  /// recently asked each control replica: none of those that can be reached
  /// from here leads.
  Unreachable,
};

/// Returns the name of a state, for logs.
const char *tableStateName(TableState State);

struct TableStatus {
  TableState State = TableState::Unknown;
  /// Time since the table was last known to be the newest; none if it never
  /// was.
  std::optional<std::chrono::milliseconds> Age;
  /// Whether a peer has a newer configuration in force than the one held here.
  bool NewerKnown = false;

  /// Age in milliseconds for logs and metrics; -1 if there is none.
  std::int64_t ageMillis() const { return this->Age ? this->Age->count() : -1; }
};

struct TableLeaseOptions {
  /// Maximum age at which the table still counts as the newest.
  std::chrono::milliseconds MaxAge{1750};
  /// If this process hasn't read all of its input for longer than this, news
  /// may be unread. Shorter stalls are common in a busy entry.
  std::chrono::milliseconds MaxInputStall{500};
};

/// Tracks the age of the route table. Written by the event loop's thread; may
/// be read by any thread.
class TableLease {
public:
  explicit TableLease(TableLeaseOptions Options) : Options(Options) {}

  /// Records that the event loop is running. Must be called frequently.
  void tick(TimePoint Now) { this->LastTick.store(Now); }
  /// Records that each control replica was asked at \p Since or later whether
  /// this table is the newest, and that none answered as leader;
  /// TimePoint::min() if that can't be said.
  void setNoLeaderSince(TimePoint Since) { this->NoLeaderSince.store(Since); }
  /// Records an answer of control: the table was the newest one at some time
  /// after the request was sent at \p Asked.
  void confirm(TimePoint RequestSentAt);
  /// Sets the revision of the configuration held here.
  void setHeldRevision(std::uint64_t Revision) {
    this->HeldRevision.store(Revision);
  }
  /// Records the revision that a peer has in force.
  void onPeerRevision(std::uint64_t Revision);

  /// Returns the table's status. Must be called before the table is read, which
  /// is then at least as new. \param LastIdle When this process had last read
  /// all of its input.
  TableStatus status(TimePoint Now, TimePoint LastIdle) const;

private:
  /// Whether all control replicas were asked recently and none answered as
  /// leader.
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
