//===- coordination/open_start_record.h - Unanswered starts ----*- C++ -*-===//
///
/// \file
/// Remembers the open starts that agents report: starts without a reply, which
/// a worker may execute late. If the worker has restarted under its id, only
/// its agent can make it refuse such a start, by calling it first. So a task
/// with an open start is placed only at that agent: wherever else it ran, the
/// late start might begin a second run of it.
///
/// An entry that has just started knows of no open starts, and an agent that
/// has restarted cannot report those of before. Until StartupWait is over, such
/// an entry places tasks only while each agent that control lists as alive has
/// lately reported that its worker refuses earlier starts. A worker that
/// restarts once more does not refuse them, and its agent may be unable to
/// report that.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_OPEN_START_RECORD_H
#define YARDWHEEL_COORDINATION_OPEN_START_RECORD_H

#include "core/clock.h"
#include "core/logger.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yardwheel {

struct OpenStartRecordOptions {
  /// Upper limit of the time for which an agent may report a start as open.
  std::chrono::milliseconds MaxCallDelay{15000};
  /// For how long after its start an entry may miss open starts: as long as
  /// MaxCallDelay.
  std::chrono::milliseconds StartupWait{15000};
  /// How long the report of an agent counts during that time.
  std::chrono::milliseconds SettledTimeout{1000};
  /// Whether an earlier process of this entry may have placed tasks.
  bool HasPredecessor = true;
  /// A task that has lost more starts than this at an agent is not placed there
  /// again while one of them is open: each further one would extend that time.
  /// As many as a run loses in about 3 s.
  std::size_t MaxLostStarts = 12;
  /// Maximum number of tasks remembered.
  std::size_t MaxTasks = 20000;
};

class OpenStartRecord {
public:
  explicit OpenStartRecord(OpenStartRecordOptions Options = {})
      : Options(Options) {}

  /// Records what an agent reports. \returns whether it has reported new open
  /// starts, which are to be acknowledged.
  bool onLoad(const std::string &Agent, const peer::WorkerLoad &Load,
              TimePoint Now);
  /// Records a start that may be open at an agent which was lost before it
  /// could report it.
  void addUnreported(const std::string &Agent, const std::string &Job,
                     std::uint32_t Index, TimePoint Now);
  /// Records what another entry reports of agents that it has lost. \returns
  /// the number up to which all of its rows are known here.
  std::uint64_t onRelay(const PeerRef &From, const peer::OpenStartRelay &Relay,
                        TimePoint Now);
  struct TaskAt {
    std::string Agent;
    std::uint32_t Index = 0;
    TimePoint Until;
  };
  /// \returns the open starts of a job of which no entry has told the others
  /// as far as known, and marks them as told.
  std::vector<TaskAt> takeUnrelayed(const std::string &Job, TimePoint Now);
  /// Whether the agent's worker may restart under its id, as far as known.
  bool keepsId(const std::string &Agent) const {
    return this->KeepingId.contains(Agent);
  }
  /// Whether any agent's worker may.
  bool keepsAnyId() const { return !this->KeepingId.empty(); }
  /// \returns the highest number among the open starts that this incarnation
  /// of the agent has reported; 0 if there are none.
  std::uint64_t acknowledged(const std::string &Agent,
                             std::uint64_t Incarnation) const;
  /// Where a task may be placed because of its open starts.
  struct Choice {
    /// Whether it has none, so that any agent will do.
    bool IsFree = true;
    /// The only agent that may take it; empty if none may.
    std::string Agent;
  };
  Choice choiceFor(const std::string &Job, std::uint32_t Index,
                   TimePoint Now) const;
  /// Whether a task of the job has an open start.
  bool hasOpenStart(const std::string &Job, TimePoint Now) const;
  /// Whether starts from before this record began may be open at agents that
  /// have not settled.
  bool mayMissOpenStarts(TimePoint Now);
  /// Whether the agent has lately reported that its worker refuses the starts
  /// of before this record began.
  bool hasSettled(const std::string &Agent, TimePoint Now) const;
  void sweep(TimePoint Now);

private:
  using TaskKey = std::pair<std::string, std::uint32_t>;
  /// The open starts of a task at an agent.
  struct AtAgent {
    /// Until when any of them may be executed.
    TimePoint Until;
    /// The number of the last one that the agent has reported, and how many
    /// these were. Relayed ones and those of lost agents may be the same.
    std::uint64_t LastNumber = 0;
    std::size_t Starts = 0;
    /// Whether an entry has told the others of all of them.
    bool Relayed = false;
  };

  void add(const std::string &Agent, const peer::OpenStart &Row, TimePoint Now);
  /// \returns the open starts of a task at an agent, or nullptr if the record
  /// is full.
  AtAgent *findOrAdd(const TaskKey &Task, const std::string &Agent);

  struct Reports {
    std::uint64_t Incarnation = 0;
    std::uint64_t LastNumber = 0;
  };

  OpenStartRecordOptions Options;
  Logger Log{"open-starts"};
  std::map<TaskKey, std::map<std::string, AtAgent>> Tasks;
  std::map<std::string, Reports> Agents;
  /// The rows that other entries have relayed.
  std::map<std::string, Reports> Relays;
  /// Agents whose workers may restart under their ids.
  std::set<std::string> KeepingId;
  /// When agents last reported a worker without unknown open starts; those that
  /// have reported another since are not in it.
  std::map<std::string, TimePoint> Settled;
  /// Whether any worker may restart under its id; empty until an agent has
  /// reported its worker.
  std::optional<bool> WorkersKeepId;
  /// Whether an agent has reported that it has not settled.
  bool HasUnsettled = false;
  std::optional<TimePoint> Started;
};

} // namespace yardwheel

#endif
