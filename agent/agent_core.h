//===- agent/agent_core.h - Decisions of an agent ---------------*- C++ -*-===//
///
/// \file
/// Manages the slots of one upstream and holds a vote in the job ledger. Starts
/// each task at most once: accepted and refused tasks are remembered for longer
/// than any dispatch can be in transit, and a dispatch that is based on an
/// older load report of this agent is refused.
///
/// Single-threaded; uses no sockets and no clock of its own.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_AGENT_CORE_H
#define YARDWHEEL_AGENT_AGENT_CORE_H

#include "agent/task_runner.h"
#include "core/clock.h"
#include "core/peer_sink.h"
#include "ledger/ledger_holder.h"
#include "protocol/peer.pb.h"

#include <deque>
#include <map>
#include <string>

namespace yardwheel {

struct AgentOptions {
  std::string Name;
  std::string DataCentre;
  std::uint64_t Incarnation = 0;
  std::uint32_t Slots = 0;
  /// Maximum age of the load report of this agent that a dispatch is based on.
  std::chrono::milliseconds Freshness{60000};
  /// A longer time between two messages or ticks means that the process was
  /// suspended.
  std::chrono::milliseconds FreezeGap{2000};
  /// Results up to this age are sent again after a failed delivery. Longer than
  /// the timeout of a delivery.
  std::chrono::milliseconds RepeatWindow{3000};
  LedgerOptions Ledger;
  /// Disabled only by tests that show what goes wrong without the rules.
  bool RemembersTasks = true;
  bool FencesOldDispatches = true;
};

class AgentCore {
public:
  AgentCore(AgentOptions Options, PeerSink &Sink, TaskRunner &Runner);

  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  void onTaskEnded(const TaskKey &Task, const TaskEnd &End, Instant Now);
  void setCatalog(const CatalogView &View, Instant Now);
  /// Sends recent results to the entry again, because a message to it may have
  /// been lost.
  void onSendFailed(const std::string &Entry, Instant Now);
  void tick(Instant Now);

  /// Refuses new tasks from now on and rejects the queued ones.
  void drain(Instant Now);
  bool isDraining() const { return this->Draining; }
  bool isIdle() const { return this->Running == 0 && this->Queue.empty(); }

  peer::AgentLoad load(Instant Now) const;
  const LedgerHolder &ledger() const { return this->Ledger; }

private:
  enum class State { Queued, Running, Ended, NeverStarts };
  struct Record {
    State Phase = State::Queued;
    PeerRef Owner;
    std::uint32_t Attempt = 0;
    std::string Workspace;
    std::string Payload;
    /// The update that reported the end of the task.
    peer::TaskUpdate Last;
    TimePoint Changed;
  };

  void detectFreeze(Instant Now);
  void onDispatch(const PeerRef &From, const peer::Dispatch &Dispatch,
                  Instant Now);
  void onOrder(const PeerRef &From, const peer::Dispatch &Dispatch,
               const peer::TaskOrder &Order, Instant Now);
  const char *refusal(const peer::Dispatch &Dispatch, Instant Now) const;
  void onWithdraw(const PeerRef &From, const peer::Withdraw &Withdraw,
                  Instant Now);
  void withdrawOne(const PeerRef &From, const peer::Withdraw &Withdraw,
                   const peer::TaskAttempt &Asked, Instant Now);
  void withdrawUnknown(const PeerRef &From, const TaskKey &Key,
                       const peer::TaskAttempt &Asked, Instant Now);
  void repeatState(const TaskKey &Key, const PeerRef &To, const Record &Known,
                   std::uint32_t Attempt, Instant Now);
  void refuse(const TaskKey &Key, const PeerRef &To, std::uint32_t Attempt,
              const char *Reason, Instant Now);
  void start(const TaskKey &Key, Record &Task, Instant Now);
  void startQueued(Instant Now);
  void rejectQueued(const char *Reason, Instant Now);
  void sendEvent(const TaskKey &Key, const PeerRef &To, std::uint32_t Attempt,
                 peer::TaskEvent Event, const std::string &Reason, Instant Now);
  void sendUpdate(const PeerRef &To, peer::TaskUpdate Update, Instant Now);
  std::uint64_t stamp(Instant Now) const;
  std::chrono::milliseconds recordRetention() const;
  void expire(Instant Now);

  AgentOptions Options;
  PeerSink &Sink;
  TaskRunner &Runner;
  LedgerHolder Ledger;
  std::map<TaskKey, Record> Records;
  std::deque<TaskKey> Queue;
  /// Keys of ended and refused tasks, whose records may be forgotten; oldest
  /// first.
  std::deque<TaskKey> Settled;
  std::uint32_t Running = 0;
  bool Draining = false;
  bool Evacuated = false;
  TimePoint LastSeen = TimePoint::min();
  /// Dispatches based on a load report before this stamp are refused.
  std::uint64_t OldestStamp = 0;
};

} // namespace yardwheel

#endif
