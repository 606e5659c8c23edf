//===- emulator/virtual_worker.h - A worker in virtual time -----*- C++ -*-===//
///
/// \file
/// A worker that runs each task for the time in its spec, or crashes when it
/// starts the task. All its runs share one lease, measured by the worker's own
/// clock, which may be slow. Calls carry a fencing token.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_VIRTUAL_WORKER_H
#define YARDWHEEL_EMULATOR_VIRTUAL_WORKER_H

#include "agent/worker_port.h"
#include "emulator/run_register.h"
#include "emulator/virtual_world.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

/// Given as the length of a task: the worker that starts the task crashes.
constexpr std::chrono::milliseconds CrashesWorker{-1};

/// Returns the spec that a worker reads: the submission that the job belongs
/// to, and how long each of its tasks runs.
std::string specOf(SubmissionId For,
                   const std::vector<std::chrono::milliseconds> &Lengths);

struct VirtualWorkerOptions {
  /// Upper limit of a lease; longer ones are shortened to it.
  std::chrono::milliseconds MaxLease{1000};
  /// Upper limit of the time that a stop takes; each draws a time up to it.
  std::chrono::milliseconds MaxStopTime{50};
  /// How much slower than real time the worker's clock may run, in thousandths.
  std::uint32_t MaxSlowPermille = 20;
  /// Time from a crash until the worker starts again, as a new incarnation.
  std::chrono::milliseconds RestartAfter{2500};
  std::uint32_t CapacityMilliCores = 64000;
  /// Factor by which every task takes longer than its spec says.
  double RunTimeFactor = 1;
  std::set<std::string> Labels;
  /// All incarnations have the same id, and announce their start time.
  bool KeepsId = false;
};

class VirtualWorker {
public:
  using Answer = std::function<void(const WorkerReply &Reply)>;

  VirtualWorker(VirtualWorld &World, RunRegister &Runs, std::string Name,
                std::string Pool, const VirtualWorkerOptions &Options,
                std::uint64_t Seed);

  bool isUp() const { return this->Up; }
  /// Sets the handler that is called after each restart of the worker.
  void onRestart(std::function<void()> Handler) {
    this->Restarted = std::move(Handler);
  }
  /// Returns the worker's current announcement.
  WorkerProfile announce();

  /// Executes a call immediately. Calls name an incarnation by its id, so a
  /// call meant for an earlier incarnation with the same id is executed too.
  WorkerReply start(const std::string &Id, const StartCall &Call);
  WorkerReply stop(const std::string &Id, const StopCall &Call);
  /// Replies once a run has ended, or when the call's wait is over.
  void hold(const std::string &Id, const HoldCall &Call, Answer Reply);
  /// Changes VirtualWorkerOptions::RunTimeFactor for tasks that start from now
  /// on.
  void setRunTimeFactor(double New) { this->Options.RunTimeFactor = New; }
  /// Sets what the worker is from its next incarnation on.
  void setNextKind(std::string Pool, std::set<std::string> Labels) {
    this->NextPool = std::move(Pool);
    this->NextLabels = std::move(Labels);
  }
  const WorkerProfile &profile() const { return this->Profile; }
  /// Ends all runs; the worker restarts after a delay as a new incarnation.
  void crash();
  void crash(std::chrono::milliseconds RestartAfter);

private:
  struct Run {
    bool Stopping = false;
  };
  struct WaitingHold {
    std::uint64_t Number = 0;
    Answer Reply;
  };
  using TaskName = std::pair<std::string, std::uint32_t>;

  WorkerTime clock() const;
  WorkerReply reply(const std::string &Id) const;
  /// Checks the fencing token of a call, and keeps the highest one.
  WorkerRefusal fence(std::uint64_t Token);
  void extendLease(WorkerTime Until);
  void scheduleLapse();
  void lapseIfDue();
  void begin(const StartCall &Call);
  void end(const RunKey &Run, RunOutcome How);
  void restart();
  void startIncarnation();
  /// Replies to all waiting hold calls.
  void answerHolds();
  void sendReplies(const std::vector<WaitingHold> &Due);

  VirtualWorld &World;
  RunRegister &Runs;
  std::string Name;
  VirtualWorkerOptions Options;
  std::mt19937_64 Random;
  WorkerProfile Profile;
  std::function<void()> Restarted;
  bool Up = true;
  std::string NextPool;
  std::set<std::string> NextLabels;
  std::uint64_t LastIncarnation = 1;
  /// Name of the current incarnation in the register of runs.
  std::string IncarnationName;
  TimePoint Started;
  std::uint32_t SlowPermille = 0;
  WorkerTime LeaseEnd{};
  /// Whether a check for the end of the lease is already scheduled.
  bool LapseScheduled = false;
  std::uint64_t Token = 0;
  std::map<RunKey, Run> Alive;
  /// The highest run number of each task that was stopped or has ended here.
  std::map<TaskName, std::uint64_t> LastFinishedRun;
  std::deque<EndedRun> Ended;
  std::uint64_t LastEnd = 0;
  std::uint64_t LastHold = 0;
  std::vector<WaitingHold> Holds;
};

} // namespace yardwheel

#endif
