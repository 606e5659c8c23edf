//===- agent/task_runner.h - Runs tasks at the upstream ---------*- C++ -*-===//
///
/// \file
/// The agent's interface to its upstream, and so to the platform's worker. The
/// daemon implements it with HTTP; tests and the bench use small fakes.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_TASK_RUNNER_H
#define YARDWHEEL_AGENT_TASK_RUNNER_H

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace yardwheel {

struct TaskKey {
  std::string Job;
  std::uint32_t Index = 0;
  bool operator==(const TaskKey &) const = default;
  bool operator<(const TaskKey &Other) const {
    return std::tie(this->Job, this->Index) < std::tie(Other.Job, Other.Index);
  }
};

enum class TaskEndKind {
  Succeeded,
  Failed,
  /// Proof that the task never reached the upstream.
  NeverStarted,
};

struct TaskEnd {
  TaskEndKind Kind = TaskEndKind::Failed;
  std::string Result;
  std::string Reason;
  std::chrono::microseconds Service{};
};

class TaskRunner {
public:
  virtual ~TaskRunner() = default;
  /// Starts a task. Its end is reported to the agent later.
  virtual void start(const TaskKey &Task, const std::string &Workspace,
                     const std::string &Payload) = 0;
  /// Asks for an early end of a running task. Its end is still reported.
  virtual void stop(const TaskKey &Task) = 0;
};

} // namespace yardwheel

#endif
