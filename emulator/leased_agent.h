//===- emulator/leased_agent.h - An agent in virtual time -------*- C++ -*-===//
///
/// \file
/// The lease keeper of an agent and, if it coordinates jobs for entries, its
/// delegate, as in production, and the worker beside them.
/// The worker outlives the agent's process; calls to it may be lost, or
/// executed seconds late.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_AGENT_H
#define YARDWHEEL_EMULATOR_LEASED_AGENT_H

#include "agent/lease_keeper.h"
#include "coordination/delegate.h"
#include "emulator/virtual_worker.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

/// Probabilities of faults in an agent's calls to its worker, in thousandths.
struct WorkerCallFaults {
  /// The call does not reach the worker.
  std::uint32_t LostPermille = 0;
  /// The call is executed, and its reply is lost.
  std::uint32_t UnansweredPermille = 0;
  /// The call gets no reply, and is executed seconds later.
  std::uint32_t LatePermille = 0;
};

struct LeasedAgentOptions {
  std::string Pool;
  /// Interval between the ticks of the process.
  std::chrono::milliseconds Tick{20};
  KeeperOptions Keeper;
  VirtualWorkerOptions Worker;
  /// Time for which a worker that has restarted serves without an announcement.
  Duration AnnounceDelay{0};
  std::uint64_t Seed = 1;
  /// Whether it coordinates jobs for entries.
  bool Coordinates = false;
  DelegateOptions Delegation;
};

class LeasedAgent final : public WorkerPort {
public:
  LeasedAgent(VirtualWorld &World, RunRegister &Runs, std::string Name,
              const LeasedAgentOptions &Options);

  const std::string &name() const { return this->Name; }
  /// Returns the agent's member record, as control sends it to entries.
  peer::Member member() const;
  /// Tells the agent of another agent or of an entry, as control does where it
  /// coordinates jobs.
  void announceMember(const peer::Member &Member);
  /// Starts a new incarnation of the process after a kill. The worker has kept
  /// running, and announces itself again within a second.
  void restart();
  void setCallFaults(WorkerCallFaults New) { this->Faults = New; }
  /// Sets the wall clock of the agent's host ahead of the others', or back.
  void setWallOffset(std::chrono::milliseconds New) { this->WallOffset = New; }
  /// Plans the fate of the next start calls, in order; later ones are not
  /// affected. Each gets no reply, and is executed after its delay, or never if
  /// it has none. Replaces an earlier plan.
  void planStarts(std::deque<std::optional<Duration>> Delays) {
    this->PlannedStarts = std::move(Delays);
  }
  /// Returns what the worker replied to each planned start that it received.
  /// These replies reach no agent.
  const std::vector<WorkerReply> &plannedStartReplies() const {
    return this->PlannedStartReplies;
  }
  /// Makes tasks that start from now on take longer by a factor.
  void setRunTimeFactor(double New) { this->Worker.setRunTimeFactor(New); }
  /// Sets what the worker is from its next incarnation on.
  void setNextWorkerKind(std::string Pool, std::set<std::string> Labels) {
    this->Worker.setNextKind(std::move(Pool), std::move(Labels));
  }
  /// Crashes the worker; a new incarnation starts after \p RestartAfter. The
  /// last announcement of the old one arrives once more after \p Late.
  void crashWorker(std::chrono::milliseconds RestartAfter,
                   std::chrono::milliseconds Late);

  void attach(const WorkerProfile &New) override {
    this->Attached = New.workerIncarnation();
  }
  void start(const StartCall &Call) override;
  void stop(const StopCall &Call) override;
  void hold(const HoldCall &Call) override;

private:
  enum class CallFate { Executed, Lost, Unanswered, Late };
  using Answer = VirtualWorker::Answer;

  Instant now() const;
  void startIncarnation();
  void startDelegate();
  /// Returns when this process was last behind, as its loop sees it.
  TimePoint lastBehind() const;
  void receive(const PeerRef &From, const peer::Message &Message);
  void tick();
  /// Announces the worker to this agent, now and every second.
  void announceWorker();
  CallFate drawCallFate();
  /// Simulates a call: runs \p Execute at the worker and passes its reply to
  /// \p Take, or an empty reply after \p Timeout if a fault was drawn.
  void call(std::chrono::milliseconds Timeout,
            const std::function<void(const Answer &Reply)> &Execute,
            const Answer &Take);
  /// Leaves a start call without a reply, according to the plan.
  void startAsPlanned(const StartCall &Call, const Answer &Take);
  /// Returns a callback that passes a reply to \p Take only in the incarnation
  /// of this process that made the call.
  Answer replyToThisLife(const Answer &Take);

  VirtualWorld &World;
  std::string Name;
  LeasedAgentOptions Options;
  std::mt19937_64 Random;
  VirtualWorker Worker;
  /// The incarnation of the worker that the agent is attached to.
  WorkerIncarnation Attached;
  std::uint64_t Incarnation = 0;
  WorkerCallFaults Faults;
  std::chrono::milliseconds WallOffset{0};
  std::deque<std::optional<Duration>> PlannedStarts;
  std::vector<WorkerReply> PlannedStartReplies;
  std::unique_ptr<LeaseKeeper> Keeper;
  /// Null unless it coordinates jobs.
  std::unique_ptr<Delegate> Coordination;
  TimePoint LastTick;
  TimePoint LastBehind = TimePoint::min();
};

} // namespace yardwheel

#endif
