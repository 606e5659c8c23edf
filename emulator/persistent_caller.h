//===- emulator/persistent_caller.h - Caller that retries -------*- C++ -*-===//
///
/// \file
/// A caller that submits one job and resubmits it when it was not run. When it
/// is unknown whether the job was run (the answer says so, the entry died, or
/// no answer came in time), the caller first waits for the time that
/// callers are required to wait.
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
  /// Delay before a job that may have run is resubmitted, to another entry.
  std::chrono::milliseconds ResubmitAfter{1300};
  std::uint32_t MaxTries = 8;
  /// How long the caller waits for an answer; at most until the deadline that
  /// it declares.
  std::chrono::milliseconds Patience = std::chrono::milliseconds::max();
};

class PersistentCaller {
public:
  PersistentCaller(LeasedWorld &World, LeasedJobRequest Job,
                   std::vector<std::chrono::milliseconds> Lengths,
                   PersistentCallerOptions Options);

  /// Submits the job. This object has to outlive the simulation.
  void begin();
  /// Returns the final outcome for this caller, if there is one.
  std::optional<LeasedEnd> end() const { return this->Ended; }
  /// Returns a line for each of the caller's actions and answers.
  const std::string &log() const { return this->Log; }

private:
  void tryOnce();
  void tryAgainAfter(std::chrono::milliseconds Delay);
  void onAnswer(const std::optional<LeasedAnswer> &Answer);
  void disconnect();
  /// Draws an entry other than the one tried last.
  std::size_t otherEntry();
  void logEvent(const std::string &What);

  LeasedWorld &World;
  LeasedJobRequest Job;
  std::vector<std::chrono::milliseconds> Lengths;
  PersistentCallerOptions Options;
  std::size_t Entry = 0;
  SubmissionId Current = 0;
  /// Whether the caller waits for the answer to the current submission.
  bool Waits = false;
  std::uint32_t Tries = 0;
  std::optional<LeasedEnd> Ended;
  std::string Log;
};

} // namespace yardwheel

#endif
