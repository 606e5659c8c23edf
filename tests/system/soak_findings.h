//===- tests/system/soak_findings.h - What a soak has found -----*- C++ -*-===//
///
/// \file
/// Collects findings and notes of all threads of one soak. Each finding is
/// printed in one line; notes go to a file beside the processes' logs.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_FINDINGS_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_FINDINGS_H

#include <atomic>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace yardwheel {

class SoakFindings {
public:
  SoakFindings(std::uint64_t Seed, std::string Folder);

  void add(const std::string &What);
  /// With the time of day, as in the logs of the processes.
  void note(const std::string &What);
  int count() const { return this->Count.load(); }

private:
  std::uint64_t Seed;
  std::string Folder;
  std::atomic<int> Count{0};
  std::mutex Mutex;
  std::ofstream Notes;
};

} // namespace yardwheel

#endif
