//===- entry/ended_jobs.h - Ids of jobs that have ended ---------*- C++ -*-===//
///
/// \file
/// Remembers the keys and content hashes of jobs whose answers are no longer
/// stored, for as long as the ledger knows their ids. Such a record takes a
/// tenth of a job's memory.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_ENDED_JOBS_H
#define YARDWHEEL_ENTRY_ENDED_JOBS_H

#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace yardwheel {

class EndedJobs {
public:
  /// Keeps a key until \p ForgetAt. Keys must be added roughly in the order of
  /// that time.
  void add(const std::string &Key, std::uint64_t Fingerprint,
           TimePoint ForgetAt);
  /// Returns the content hash of the job if its key is known.
  std::optional<std::uint64_t> find(const std::string &Key) const;
  void expire(TimePoint Now);
  std::size_t size() const { return this->Fingerprints.size(); }

private:
  std::unordered_map<std::string, std::uint64_t> Fingerprints;
  std::deque<std::pair<TimePoint, std::string>> Order;
};

} // namespace yardwheel

#endif
