//===- entry/recent_ids.h - Jobs that were taken of late --------*- C++ -*-===//
///
/// \file
/// Remembers for some seconds which jobs this entry has taken. A second
/// hand-in of one of them must not be told that it has not run.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_RECENT_IDS_H
#define YARDWHEEL_ENTRY_RECENT_IDS_H

#include "core/clock.h"

#include <mutex>
#include <string>
#include <unordered_set>

namespace yardwheel {

/// For any thread.
class RecentIds {
public:
  /// \param Retention How long an id is remembered, at least.
  explicit RecentIds(std::chrono::milliseconds Retention)
      : Retention(Retention) {}

  void add(const std::string &Id, TimePoint Now);
  bool contains(const std::string &Id) const;

private:
  std::chrono::milliseconds Retention;
  mutable std::mutex Mutex;
  /// Two spans of time: what is older than both is forgotten at once.
  std::unordered_set<std::string> Current;
  std::unordered_set<std::string> Previous;
  TimePoint CurrentStart;
};

} // namespace yardwheel

#endif
