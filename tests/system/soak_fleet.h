//===- tests/system/soak_fleet.h - Nodes under faults -----------*- C++ -*-===//
///
/// \file
/// The processes, workers and proxies of one soak. Carries out the planned
/// faults, starts again what it has ended, and tells which process ended by
/// itself. For one thread, but where it says otherwise.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_FLEET_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_FLEET_H

#include "tests/system/platform_cluster.h"
#include "tests/system/soak_findings.h"
#include "tests/system/soak_link.h"
#include "tests/system/soak_plan.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace yardwheel {

class SoakFleet {
public:
  using Clock = std::chrono::steady_clock;

  explicit SoakFleet(const SoakOptions &Options);

  void startAll();
  void apply(const SoakFault &Fault);
  /// Does what is due: wakes, kills after the grace, starts again.
  void step();
  /// Ends all faults and waits until every process runs.
  void heal();
  /// Keeps the logs, to which it adds the plan.
  void keepLogs(const std::vector<SoakFault> &Plan);

  /// Whether an entry may end a request without an answer that was sent and cut
  /// at these times; for any thread.
  bool mayCut(int Host, Clock::time_point SentAt,
              Clock::time_point CutAt) const;
  std::vector<std::string> callerAddresses() const;
  std::vector<std::string> operatorAddresses() const;
  /// Returns which of operatorAddresses() are there now.
  std::vector<std::size_t> presentControls() const;
  /// Connections between nodes that pass a proxy, so far.
  int proxied() const;
  /// Returns the most memory in bytes that a control replica has used in a
  /// storm.
  std::size_t peakControlMemory() const { return this->PeakControlMemory; }
  /// How often the entries have logged a decision.
  int countAtEntries(const std::string &Decision) const;
  RunRecorder &recorder() { return this->Cluster.Recorder; }
  SoakFindings &findings() { return this->Findings; }

private:
  struct Node {
    std::string Name;
    const char *Serves = "";
    /// False before a spare host joins, and after a host has been retired.
    bool Present = true;
    bool Retires = false;
    bool Up = false;
    bool Terminating = false;
    Clock::time_point KillAt;
    Clock::time_point StartAt;
    bool Frozen = false;
    Clock::time_point WakeAt;
    /// While it runs slowly: when it is stopped or continued next.
    Clock::time_point SlowUntil = Clock::time_point::min();
    Clock::time_point NextTurn;
    /// The pause before its next start.
    std::chrono::milliseconds Pause{0};
  };

  void addNodes(const char *Prefix, const char *Serves, int First, int Count);
  std::string settings(int Host);
  std::vector<std::string> flags(int Host) const;
  void start(int Host);
  void startWorker(int Host);
  /// Starts the workers that are due.
  void stepWorkers(Clock::time_point Now);
  void terminate(int Host);
  void losePower(std::chrono::milliseconds For);
  /// Returns the control hosts that are there, in the order of their numbers.
  std::vector<int> controlHosts() const;
  void kill(int Host);
  void wake(int Host);
  void freeze(int Host, std::chrono::milliseconds For);
  /// Kills a process and removes what it has stored.
  void wipe(int Host);
  /// Stops or continues a process that runs slowly.
  void stepSlow(int Host, Clock::time_point Now);
  void measureMemory(Clock::time_point Now);
  void replaceSettings(int Host, const std::string &Text);
  void changeSettings(int Host, bool Good);
  void applyToLink(const SoakFault &Fault);
  void applyToWorker(const SoakFault &Fault);
  void stepNode(int Host, Clock::time_point Now);
  void onEnded(int Host, int Status, Clock::time_point Now);

  const SoakOptions &Options;
  PlatformCluster Cluster;
  SoakFindings Findings;
  std::mt19937_64 Random;
  bool Bootstrapped = false;
  std::map<int, Node> Nodes;
  std::map<int, std::unique_ptr<SoakLink>> Links;
  std::map<int, Clock::time_point> LateStartsUntil;
  /// When workers that are gone have a successor, by the host of their agent.
  std::map<int, Clock::time_point> WorkerStarts;
  int Lives = 0;
  Clock::time_point NextMeasurement;
  std::size_t PeakControlMemory = 0;
  mutable std::mutex Mutex;
  std::map<int, std::vector<Clock::time_point>> Kills;
  std::map<int, std::vector<Clock::time_point>> Terminations;
};

} // namespace yardwheel

#endif
