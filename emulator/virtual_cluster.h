//===- emulator/virtual_cluster.h - Entries and agents ----------*- C++ -*-===//
///
/// \file
/// Entries, agents and, optionally, control replicas in one virtual world. It
/// counts the task starts that the upstreams see, and checks invariants while
/// the cluster runs.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_VIRTUAL_CLUSTER_H
#define YARDWHEEL_EMULATOR_VIRTUAL_CLUSTER_H

#include "agent/agent_core.h"
#include "control/control_service.h"
#include "emulator/memory_log_storage.h"
#include "emulator/virtual_world.h"
#include "entry/job_service.h"
#include "membership/announcer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardwheel {

/// How an upstream executes one task.
struct TaskBehaviour {
  Duration Service = std::chrono::milliseconds(100);
  bool Fails = false;
};

struct ClusterOptions {
  std::uint64_t Seed = 1;
  std::size_t Entries = 2;
  std::size_t Agents = 3;
  /// 0 uses a fixed configuration instead of control replicas.
  std::size_t Controls = 0;
  std::uint32_t Slots = 4;
  std::string Policy = "slot_borrow";
  /// Returns the behaviour of a task. The upstream answers with the task's
  /// payload up to the first space.
  std::function<TaskBehaviour(const std::string &Agent,
                              const std::string &Payload)>
      Behaviour;
  Duration Tick = std::chrono::milliseconds(10);
  std::uint32_t QueueLimit = 1000;
  std::size_t MaxAnswerBytes = SIZE_MAX;
  /// How long a ledger holder must be lost before it is replaced.
  std::chrono::milliseconds ReplaceAfter{1500};
  // Mechanisms that a test can turn off.
  bool ClaimsFirst = true;
  bool RefuseUnknownPast = true;
  bool ResendOnlyOnProof = true;
  bool RemembersTasks = true;
  bool FencesOldDispatches = true;
  bool SealsGroups = true;
};

/// The result of one submission.
struct Answer {
  std::string Entry;
  std::string JobKey;
  bool Done = false;
  bool Pending = false;
  std::uint32_t Count = 0;
  peer::JobOutcome Outcome;
  TimePoint SubmittedAt;
  /// The incarnation of the entry at the submission; 0 if it was down.
  std::uint64_t EntryIncarnation = 0;
  TimePoint At;
};

class VirtualCluster {
public:
  explicit VirtualCluster(ClusterOptions Options);
  ~VirtualCluster();

  VirtualWorld World;

  /// Runs until entries accept jobs.
  void settle();
  void run(Duration Time) { this->World.run(Time); }

  JobRequest makeJob(const std::string &Id, std::size_t Tasks);
  /// \returns the number of the submission.
  std::size_t submit(const std::string &Entry, const JobRequest &Request);
  std::size_t query(const std::string &Entry, const JobRequest &Request,
                    QueryKind Kind);
  const Answer &answer(std::size_t Number) const {
    return this->Answers[Number];
  }

  void kill(const std::string &Node);
  /// Without control, tells every entry that an agent is lost.
  void announceLost(const std::string &Agent);
  void restart(const std::string &Node);
  /// Starts a replica that was never a member, as a replacement.
  void startReplica(const std::string &Name);

  /// Returns the number of submissions without an answer whose entry has not
  /// been restarted or killed.
  std::size_t unanswered() const;
  std::uint32_t starts(const JobRequest &Request, std::uint32_t Task) const;
  std::uint32_t starts(const JobRequest &Request) const;
  /// Returns the number of tasks that were started more than once.
  std::uint32_t doubleStarts() const;
  /// Describes the last violated invariant; empty if there was none.
  const std::string &violation() const { return this->Violation; }
  /// Returns when the last task was started at an agent's upstream.
  TimePoint lastStartAt(const std::string &Agent) const;

  ControlService *control(const std::string &Name);
  /// Returns the leader among the running replicas; empty if there is none.
  std::string leader();
  const NodeCatalog &catalogOf(const std::string &Node) const;
  AgentCore &agent(const std::string &Name);

  static std::string nodeName(char Kind, std::size_t Number) {
    return Kind + std::to_string(Number);
  }

private:
  class EntryNode;
  class AgentNode;
  class ControlNode;

  void startEntry(const std::string &Name);
  void startAgent(const std::string &Name);
  void startControl(const std::string &Name);
  peer::Member memberFor(const std::string &Name, peer::Role Role) const;
  std::shared_ptr<const CatalogView> fixedView() const;
  AnnouncerOptions announcerOptions() const;
  void recordOutcome(std::size_t Number, const peer::JobOutcome *Outcome);
  void recordStart(const std::string &Agent, const TaskKey &Task);
  void announceFixed();
  std::uint64_t nextIncarnation() { return ++this->LastIncarnation; }
  peer::ReplicaSet bootstrap() const;

  ClusterOptions Options;
  std::uint64_t LastIncarnation = 0;
  std::map<std::string, std::unique_ptr<EntryNode>> Entries;
  std::map<std::string, std::unique_ptr<AgentNode>> Agents;
  std::map<std::string, std::unique_ptr<ControlNode>> Controls;
  std::map<std::string, std::unique_ptr<MemoryLogStorage>> Disks;
  std::map<std::string, std::uint64_t> NewestRevision;
  std::vector<Answer> Answers;
  std::map<TaskKey, std::uint32_t> Starts;
  std::map<std::string, TimePoint> LastStart;
  std::string Violation;
};

} // namespace yardwheel

#endif
