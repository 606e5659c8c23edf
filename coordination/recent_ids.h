//===- coordination/recent_ids.h - Recently accepted jobs -------*- C++ -*-===//
///
/// \file
/// Remembers for a few seconds which jobs this entry has accepted. A caller
/// that submits one of them again must not be told that it hasn't run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_RECENT_IDS_H
#define YARDWHEEL_COORDINATION_RECENT_IDS_H

#include "core/clock.h"

#include <mutex>
#include <string>
#include <unordered_set>

namespace yardwheel {

/// Set of recently accepted job ids. Thread-safe.
class RecentIds {
public:
  /// \param Retention Minimum time for which an id is remembered.
  explicit RecentIds(std::chrono::milliseconds Retention)
      : Retention(Retention) {}

  void add(const std::string &Id, TimePoint Now);
  bool contains(const std::string &Id) const;

private:
  std::chrono::milliseconds Retention;
  mutable std::mutex Mutex;
  /// Ids of two consecutive periods. Ids older than both are dropped at once.
  std::unordered_set<std::string> Current;
  std::unordered_set<std::string> Previous;
  TimePoint CurrentStart;
};

} // namespace yardwheel

#endif
