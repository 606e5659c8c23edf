//===- review/support/record.h - What a case has seen -----------*- C++ -*-===//
///
/// \file
/// Writes what was sent, answered and run to a file, a line each, with the
/// seconds since the start of the case. Thread-safe.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_REVIEW_SUPPORT_RECORD_H
#define YARDWHEEL_REVIEW_SUPPORT_RECORD_H

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace yardwheel::review {

using SteadyClock = std::chrono::steady_clock;

class Record {
public:
  /// \throws std::runtime_error if the file cannot be written.
  explicit Record(const std::string &Path);

  void add(const std::string &Line);
  /// Returns the seconds from the start of the case to \p At.
  double secondsAt(SteadyClock::time_point At) const;

private:
  std::mutex Mutex;
  std::ofstream File;
  SteadyClock::time_point Start = SteadyClock::now();
};

/// Whether the disruption of the case is wanted: always, but with TROUBLE=0.
bool hasTrouble();

} // namespace yardwheel::review

#endif
