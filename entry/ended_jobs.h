//===- entry/ended_jobs.h - Ids that must not run again ---------*- C++ -*-===//
///
/// \file
/// What is left of a job once its answer is no longer kept: its key and the
/// hash of its content, for as long as the ledger knows the id. A record
/// takes a tenth of a job's memory.
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
  /// Keeps a key until \p Forget. Calls come in about the order of that time.
  void add(const std::string &Key, std::uint64_t Fingerprint,
           TimePoint ForgetAt);
  /// The content's hash, if the key is known.
  std::optional<std::uint64_t> find(const std::string &Key) const;
  void expire(TimePoint Now);
  std::size_t size() const { return this->Fingerprints.size(); }

private:
  std::unordered_map<std::string, std::uint64_t> Fingerprints;
  std::deque<std::pair<TimePoint, std::string>> Order;
};

} // namespace yardwheel

#endif
