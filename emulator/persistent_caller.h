//===- emulator/persistent_caller.h - Hands a job in again ------*- C++ -*-===//
///
/// \file
/// A caller of one job that hands it in again when it was not run, and after
/// the time that the product is promised when it does not know: the answer says
/// so, the entry died, or no answer came for as long as it waits.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_PERSISTENT_CALLER_H
#define YARDWHEEL_EMULATOR_PERSISTENT_CALLER_H

#include "emulator/leased_world.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yardwheel {

struct PersistentCallerOptions {
  /// Before a job that may have run is handed in again, at another entry.
  std::chrono::milliseconds ResubmitAfter{1300};
  std::uint32_t MaxTries = 8;
  /// For how long it keeps a connection open; no longer than the deadline that
  /// it declares.
  std::chrono::milliseconds Patience = std::chrono::milliseconds::max();
};

class PersistentCaller {
public:
  PersistentCaller(LeasedWorld &World, LeasedJobRequest Job,
                   std::vector<std::chrono::milliseconds> Lengths,
                   PersistentCallerOptions Options);

  /// Hands the job in. The caller has to stay until the world ends.
  void begin();
  /// How the job has ended for this caller, if it has.
  std::optional<LeasedEnd> end() const { return this->Ended; }
  /// What it did and heard, a line each.
  const std::string &log() const { return this->Log; }

private:
  void tryOnce();
  void tryAgainAfter(std::chrono::milliseconds Delay);
  void hear(const std::optional<LeasedAnswer> &Answer);
  void disconnect();
  /// Any but the one tried last.
  std::size_t otherEntry();
  void note(const std::string &What);

  LeasedWorld &World;
  LeasedJobRequest Job;
  std::vector<std::chrono::milliseconds> Lengths;
  PersistentCallerOptions Options;
  std::size_t Entry = 0;
  SubmissionId Current = 0;
  /// Waits for the answer to the current hand-in.
  bool Waits = false;
  std::uint32_t Tries = 0;
  std::optional<LeasedEnd> Ended;
  std::string Log;
};

} // namespace yardwheel

#endif
