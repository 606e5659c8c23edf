//===- tests/system/soak_caller.h - A caller that resubmits -----*- C++ -*-===//
///
/// \file
/// Hands jobs in at any entry, one after another, on connections that it keeps,
/// and hands a job in again elsewhere as the platform's page says. Checks what
/// it is told against the runs that the workers have seen.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_CALLER_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_CALLER_H

#include "tests/system/run_recorder.h"
#include "tests/system/soak_connection.h"
#include "tests/system/soak_findings.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yardwheel {

/// What all callers of a soak share.
struct SoakCallerShared {
  /// Of all entries' callers.
  std::vector<std::string> Entries;
  std::string Host;
  std::string Prefix;
  const RunRecorder &Recorder;
  SoakFindings &Findings;
  /// Whether an entry may end a request without an answer that was sent and cut
  /// at these times.
  std::function<bool(int Entry, RunSpan::TimePoint SentAt,
                     RunSpan::TimePoint CutAt)>
      MayCut;
  /// Whether jobs require a kind of worker now and then.
  bool RequiresKinds = false;
  std::atomic<bool> Over{false};
  std::atomic<int> Jobs{0};
  std::atomic<int> Completed{0};
  std::atomic<int> HandIns{0};
  std::atomic<int> NotRun{0};
  std::atomic<int> Unknown{0};
  std::atomic<int> Cut{0};
};

class SoakCaller {
public:
  SoakCaller(SoakCallerShared &Shared, std::uint64_t Seed, int Number);

  /// Hands jobs in until the soak is over.
  void run();
  /// Hands a short job in, at one entry, once.
  /// \returns whether it completed.
  bool tryOnce(int Entry);
  /// Jobs of which each hand-in was refused as not run: none has a run.
  void checkRefused() const;

private:
  struct Job {
    std::string Id;
    std::string Body;
    int Tasks = 1;
    std::chrono::milliseconds Deadline{0};
    int HandIns = 0;
    /// Whether each hand-in so far was answered as not run.
    bool OnlyRefused = true;
    bool Ended = false;
    bool Completed = false;
  };

  Job newJob(int Millis);
  void handIn(Job &Work, int Entry);
  /// Checks an answer. \returns how long to wait before the next hand-in.
  std::chrono::milliseconds take(Job &Work, int Entry, const SoakReply &Reply);
  std::chrono::milliseconds takeRefusal(Job &Work, const SoakReply &Reply);
  void takeEnd(Job &Work, int Entry, const SoakReply &Reply);
  void checkCut(const Job &Work, int Entry, const SoakReply &Reply);
  void checkNoRun(const std::string &Id, const char *When) const;
  int pick(int Low, int High);

  SoakCallerShared &Shared;
  std::mt19937_64 Random;
  int Number;
  unsigned LastJob = 0;
  std::vector<std::unique_ptr<SoakConnection>> Connections;
  std::vector<std::string> Refused;
};

} // namespace yardwheel

#endif
