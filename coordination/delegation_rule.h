//===- coordination/delegation_rule.h - When jobs are delegated -*- C++ -*-===//
///
/// \file
/// Decides which share of its jobs an entry delegates, and to how many agents.
///
/// Load pattern: the callers of a data centre ask for more of their entries'
/// processor time than these have, for seconds, while the processors of the
/// agents beside them are nearly idle. A delegated job costs its entry a
/// fraction of one that it coordinates, and the agent the rest.
///
/// Each delegate needs a view of the whole pool, which costs time to build and
/// messages to keep. Delegates are therefore prepared before they are needed,
/// and kept for some time after. An entry that has just started prepares one:
/// after an outage all callers return at once.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_DELEGATION_RULE_H
#define YARDWHEEL_COORDINATION_DELEGATION_RULE_H

#include "core/clock.h"

#include <cstdint>

namespace yardwheel {

struct DelegationRuleOptions {
  /// Most delegates of an entry; none if 0.
  std::uint32_t MaxDelegates = 0;
  /// Busy share at which an entry prepares delegates. Less than half of
  /// HighLoad, as a burst doubles the load before a delegate is ready.
  double PrepareAt = 0.15;
  /// Busy share below which an entry no longer needs them.
  double ReleaseBelow = 0.08;
  /// How long it has to stay below. Longer than a wave of callers.
  std::chrono::milliseconds ReleaseAfter{30000};
  /// Busy share that an entry keeps to. Other threads of the process need as
  /// much again, so above it requests begin to wait for each other.
  double HighLoad = 0.4;
  /// Busy share below which it takes jobs back. Well below HighLoad, so that
  /// taking some back does not bring it there.
  double LowLoad = 0.25;
  /// A wait of new work at the entry that shows a shortage by itself.
  std::chrono::milliseconds HighWait{15};
  /// Interval between changes of the delegated share.
  std::chrono::milliseconds AdjustInterval{100};
  /// How much more is delegated at a time; all within a quarter of a second, as
  /// a burst comes at once.
  double RaiseStep = 0.5;
  /// How much less is delegated at a time.
  double LowerStep = 0.05;
  /// Load of the least busy delegate, as a share of its processor time, at
  /// which one more is used.
  double MaxDelegateLoad = 0.6;
};

/// Returns options with which an entry delegates from a share \p HighLoad of
/// its processor time on, and with the other shares in proportion.
DelegationRuleOptions delegationRuleAt(double HighLoad,
                                       std::uint32_t MaxDelegates);

/// What an entry knows of its own load.
struct EntryLoad {
  /// Share of the time in which the process's loop is busy.
  double ProcessorShare = 0;
  /// How long new work is expected to wait.
  Duration ExpectedWait{0};
  /// How many delegates are ready.
  std::uint32_t ReadyDelegates = 0;
  /// The same of the least busy one.
  double DelegateShare = 0;
};

class DelegationRule {
public:
  explicit DelegationRule(DelegationRuleOptions Options) : Options(Options) {}

  /// Records the load. Must be called with each tick.
  void update(const EntryLoad &Load, TimePoint Now);

  /// Returns how many delegates are to be ready.
  std::uint32_t wantedDelegates() const { return this->Wanted; }
  /// Returns the share of new jobs to delegate, from 0 to 1.
  double share() const { return this->Share; }

private:
  void updateWanted(const EntryLoad &Load, TimePoint Now);

  DelegationRuleOptions Options;
  std::uint32_t Wanted = 0;
  double Share = 0;
  bool HasStarted = false;
  TimePoint NextAdjustment = TimePoint::min();
  /// When the load was last high enough to keep delegates.
  TimePoint LastNeeded = TimePoint::min();
};

} // namespace yardwheel

#endif
