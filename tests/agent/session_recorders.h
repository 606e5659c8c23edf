//===- tests/agent/session_recorders.h - Session doubles --------*- C++ -*-===//
///
/// \file
/// Record the calls that a worker session makes and the events it reports.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_AGENT_SESSION_RECORDERS_H
#define YARDWHEEL_TESTS_AGENT_SESSION_RECORDERS_H

#include "agent/worker_session.h"

#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

class RecordingPort final : public WorkerPort {
public:
  void attach(const WorkerProfile &Profile) override {
    this->Id = Profile.Id;
    this->StartUnixMs = Profile.StartUnixMs;
  }
  void start(const StartCall &Call) override { this->Starts.push_back(Call); }
  void stop(const StopCall &Call) override { this->Stops.push_back(Call); }
  void hold(const HoldCall &Call) override { this->Holds.push_back(Call); }
  WorkerIncarnation workerIncarnation() const {
    return {this->Id, this->StartUnixMs};
  }

  /// The worker incarnation that calls are directed to.
  std::string Id;
  std::optional<std::uint64_t> StartUnixMs;
  std::vector<StartCall> Starts;
  std::vector<StopCall> Stops;
  std::vector<HoldCall> Holds;
};

class RecordingEvents final : public SessionEvents {
public:
  void onRunRefused(const RunKey &, WorkerRefusal Cause, Instant) override {
    this->Refusals.push_back(Cause);
  }
  void onRunEnded(const RunKey &, RunOutcome Outcome, Instant) override {
    this->Ends.push_back(Outcome);
  }
  void onWorkerAttached(Instant) override { ++this->Attached; }
  void onWorkerCrashed(const std::vector<RunKey> &Runs, Instant) override {
    this->Crashed.push_back(Runs.size());
  }
  void onWorkerReady(Instant) override { ++this->Ready; }
  void onWorkerSilent(Instant) override { ++this->Silent; }
  void onStartsUnanswered(const RunKey &, Instant) override {
    ++this->StartsUnanswered;
  }
  TimePoint maxWorkerLeaseEnd(Instant) const override { return this->EndBy; }
  TimePoint lastRunEnd(const RunKey &) const override {
    return this->LastRunEnd;
  }

  TimePoint EndBy = TimePoint::max();
  TimePoint LastRunEnd = TimePoint::max();
  std::vector<WorkerRefusal> Refusals;
  std::vector<RunOutcome> Ends;
  /// The number of runs of each crash.
  std::vector<std::size_t> Crashed;
  int Attached = 0;
  int Ready = 0;
  int Silent = 0;
  std::size_t StartsUnanswered = 0;
};

} // namespace yardwheel

#endif
