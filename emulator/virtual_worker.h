//===- emulator/virtual_worker.h - A worker in virtual time -----*- C++ -*-===//
///
/// \file
/// A worker that runs each task for as long as its spec says, or crashes when
/// it starts it. All that runs holds one lease by the worker's own clock, which
/// may be slow; calls carry a fencing token.
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
#include <string>
#include <vector>

namespace yardwheel {

/// In place of a task's length: the worker that starts it crashes.
constexpr std::chrono::milliseconds CrashesWorker{-1};

/// What a worker needs to know of a hand-in: who it is for, and how long its
/// tasks run.
std::string specOf(SubmissionId For,
                   const std::vector<std::chrono::milliseconds> &Lengths);

struct VirtualWorkerOptions {
  /// A longer lease is shortened to this.
  std::chrono::milliseconds MaxLease{1000};
  /// What a stop takes at most; each takes some of it.
  std::chrono::milliseconds MaxStopTime{50};
  /// How much slower than real time its clock may go, in thousandths.
  std::uint32_t MaxSlowPermille = 20;
  /// One that has crashed is back after this long, as another life.
  std::chrono::milliseconds RestartAfter{2500};
  std::uint32_t RoomMilli = 64000;
  /// Each life has the id of the first, and says when it was born.
  bool KeepsId = false;
};

class VirtualWorker {
public:
  using Answer = std::function<void(const WorkerReply &Reply)>;

  VirtualWorker(VirtualWorld &World, RunRegister &Runs, std::string Name,
                std::string Pool, VirtualWorkerOptions Options,
                std::uint64_t Seed);

  bool isUp() const { return this->Up; }
  /// Called when another life of it has begun.
  void onRestart(std::function<void()> Handler) {
    this->Restarted = std::move(Handler);
  }
  /// What it says of itself now.
  WorkerProfile announce();

  /// Carries out a call to one of its lives at once. Calls name a life by its
  /// id, so that one meant for an earlier life of the same id is carried out.
  WorkerReply start(const std::string &Id, const StartCall &Call);
  WorkerReply stop(const std::string &Id, const StopCall &Call);
  /// Answers once it has an end to tell, or the call's wait is over.
  void hold(const std::string &Id, const HoldCall &Call, Answer Reply);
  /// What runs ends, and another life begins some time later.
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
  /// Checks a call's token, and keeps the highest.
  WorkerRefusal fence(std::uint64_t Token);
  void extendLease(WorkerTime Until);
  void lapseLater();
  void lapseIfDue();
  void begin(const StartCall &Call);
  void end(const RunKey &Run, RunOutcome How);
  void restart();
  void beginLife();
  /// Answers each of the calls that wait.
  void answerHolds();
  void tell(const std::vector<WaitingHold> &Due);

  VirtualWorld &World;
  RunRegister &Runs;
  std::string Name;
  VirtualWorkerOptions Options;
  std::mt19937_64 Random;
  WorkerProfile Profile;
  std::function<void()> Restarted;
  bool Up = true;
  std::uint64_t Lives = 1;
  /// Names the present life in the register of runs.
  std::string LifeName;
  TimePoint Started;
  std::uint32_t SlowPermille = 0;
  WorkerTime LeaseEnd{};
  /// The end of the lease is already being awaited.
  bool AwaitsLapse = false;
  std::uint64_t Token = 0;
  std::map<RunKey, Run> Alive;
  /// The highest run of a task that was stopped or has ended here.
  std::map<TaskName, std::uint64_t> LastOver;
  std::deque<EndedRun> Ended;
  std::uint64_t LastEnd = 0;
  std::uint64_t LastHold = 0;
  std::vector<WaitingHold> Holds;
};

} // namespace yardwheel

#endif
