//===- entry/open_start_record.h - Starts without a reply -------*- C++ -*-===//
///
/// \file
/// Remembers the open starts that agents report: starts without a reply, which
/// a worker may execute late. If the worker has restarted under its id, only
/// its agent can make it refuse such a start, by calling it first. So a task
/// with an open start is placed only at that agent: wherever else it ran, the
/// late start might begin a second run of it.
///
/// An entry that has just started knows of no open starts, and an agent that
/// has restarted cannot report those of before. Such an entry accepts no jobs
/// until each agent has reported that its worker refuses earlier starts, or
/// until none can be open any more.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_OPEN_START_RECORD_H
#define YARDWHEEL_ENTRY_OPEN_START_RECORD_H

#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace yardwheel {

struct OpenStartRecordOptions {
  /// How long after it was sent the start of a task may be executed.
  std::chrono::milliseconds MaxCallDelay{15000};
  /// Maximum number of tasks remembered. Those whose open starts end first are
  /// dropped first.
  std::size_t MaxTasks = 20000;
};

class OpenStartRecord {
public:
  explicit OpenStartRecord(OpenStartRecordOptions Options = {})
      : Options(Options) {}

  /// Records what an agent reports. \returns whether it has reported open
  /// starts that are to be acknowledged.
  bool onLoad(const std::string &Agent, const peer::WorkerLoad &Load,
              TimePoint Now);
  /// \returns the highest number among the open starts that this incarnation
  /// of the agent has reported; 0 if there are none.
  std::uint64_t acknowledged(const std::string &Agent,
                             std::uint64_t Incarnation) const;
  /// \returns the agents whose workers may still begin a run of the task.
  std::set<std::string> agentsOf(const std::string &Job, std::uint32_t Index,
                                 TimePoint Now) const;
  /// Whether a task of the job has an open start.
  bool hasOpenStart(const std::string &Job, TimePoint Now) const;
  /// Whether starts from before this record began may be open at agents that
  /// have not settled.
  bool mayMissOpenStarts(TimePoint Now);
  /// Whether the agent has reported that its worker refuses the starts of
  /// before this record began.
  bool hasSettled(const std::string &Agent) const {
    return this->Settled.contains(Agent);
  }
  /// Records that all agents have settled.
  void setComplete() { this->Complete = true; }
  void sweep(TimePoint Now);

private:
  using TaskKey = std::pair<std::string, std::uint32_t>;
  struct Reports {
    std::uint64_t Incarnation = 0;
    std::uint64_t LastNumber = 0;
  };

  OpenStartRecordOptions Options;
  /// By task and agent: until when the start may be executed.
  std::map<TaskKey, std::map<std::string, TimePoint>> Tasks;
  std::map<std::string, Reports> Agents;
  /// Agents that have reported a worker without unknown open starts.
  std::set<std::string> Settled;
  /// Whether any worker may restart under its id; empty until an agent has
  /// reported its worker.
  std::optional<bool> WorkersKeepId;
  /// Whether an agent has reported that it has not settled.
  bool HasUnsettled = false;
  std::optional<TimePoint> Started;
  bool Complete = false;
};

} // namespace yardwheel

#endif
