//===- agent/agent_core.h - The decisions of an agent -----------*- C++ -*-===//
///
/// \file
/// Holds the slots of one upstream and a vote in the job ledger. It starts each
/// task at most once: it remembers what it has taken and what it has refused
/// for longer than any dispatch may be under way, and a dispatch that rests
/// on older news of it is refused.
///
/// Single-threaded, without sockets or clocks.
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
  std::uint64_t Incarnation = 0;
  std::uint32_t Slots = 0;
  /// A dispatch may rest on news of this agent no older than this.
  std::chrono::milliseconds Freshness{60000};
  /// A longer gap between two looks at the clock means it was stopped.
  std::chrono::milliseconds FreezeGap{2000};
  /// Results this young are repeated after a failed delivery; longer than a
  /// delivery's time-out.
  std::chrono::milliseconds RepeatWindow{3000};
  LedgerOptions Ledger;
  /// Off only in tests that show what the rules are for.
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
  /// A message to an entry may not have arrived: repeats recent results.
  void onSendFailed(const std::string &Entry, Instant Now);
  void tick(Instant Now);

  /// Refuses new tasks from now on and gives back those that wait.
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
    /// What was last said of the task's end.
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
  /// Keys whose record may be forgotten, oldest first.
  std::deque<TaskKey> Settled;
  std::uint32_t Running = 0;
  bool Draining = false;
  TimePoint LastSeen = TimePoint::min();
  /// Dispatches that rest on news from before this are refused.
  std::uint64_t OldestStamp = 0;
};

} // namespace yardwheel

#endif
