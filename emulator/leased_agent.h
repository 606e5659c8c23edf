//===- emulator/leased_agent.h - An agent in virtual time -------*- C++ -*-===//
///
/// \file
/// The real keeper of an agent and the worker beside it. The worker outlives
/// the agent's process; calls to it may be lost, or carried out seconds late.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_AGENT_H
#define YARDWHEEL_EMULATOR_LEASED_AGENT_H

#include "agent/lease_keeper.h"
#include "emulator/virtual_worker.h"

#include <functional>
#include <memory>
#include <string>

namespace yardwheel {

/// What becomes of an agent's calls to its worker, in thousandths.
struct WorkerCallFaults {
  /// They do not reach the worker.
  std::uint32_t LostPermille = 0;
  /// They are carried out, and their replies are lost.
  std::uint32_t UnansweredPermille = 0;
  /// They stay without a reply, and are carried out seconds later.
  std::uint32_t LatePermille = 0;
};

struct LeasedAgentOptions {
  std::string Pool;
  /// Between the ticks of the process.
  std::chrono::milliseconds Tick{20};
  KeeperOptions Keeper;
  VirtualWorkerOptions Worker;
  std::uint64_t Seed = 1;
};

class LeasedAgent final : public WorkerPort {
public:
  LeasedAgent(VirtualWorld &World, RunRegister &Runs, std::string Name,
              const LeasedAgentOptions &Options);

  const std::string &name() const { return this->Name; }
  /// What control tells entries of it.
  peer::Member member() const;
  /// Begins another life of the process, which was killed. The worker has run
  /// on, and announces itself again within a second.
  void restart();
  void setCallFaults(WorkerCallFaults New) { this->Faults = New; }
  /// Ends the worker's life; another begins after \p RestartAfter. The last
  /// announcement of the old one arrives once more after \p Late.
  void crashWorker(std::chrono::milliseconds RestartAfter,
                   std::chrono::milliseconds Late);

  void attach(const WorkerProfile &New) override {
    this->Attached = New.workerIncarnation();
  }
  void start(const StartCall &Call) override;
  void stop(const StopCall &Call) override;
  void hold(const HoldCall &Call) override;

private:
  enum class CallFate { Carried, Lost, Unanswered, Late };
  using Answer = VirtualWorker::Answer;

  void beginLife();
  /// The worker tells this agent of itself, now and each second.
  void announceWorker();
  CallFate drawCallFate();
  /// Plays a call: \p CarryOut runs at the worker, its answer reaches the
  /// agent, or after \p Timeout none.
  void call(std::chrono::milliseconds Timeout,
            const std::function<void(const Answer &Reply)> &CarryOut,
            const Answer &Take);
  /// Hands a reply to the life of this process that made the call.
  Answer replyToThisLife(const Answer &Take);

  VirtualWorld &World;
  std::string Name;
  LeasedAgentOptions Options;
  std::mt19937_64 Random;
  VirtualWorker Worker;
  /// The life of the worker that the agent speaks to.
  WorkerIncarnation Attached;
  std::uint64_t Life = 0;
  WorkerCallFaults Faults;
  std::unique_ptr<LeaseKeeper> Keeper;
};

} // namespace yardwheel

#endif
