//===- settings/node_plan.h - Settings from a deployment --------*- C++ -*-===//
///
/// \file
/// The settings of a process on hosts where the platform writes the settings
/// file: an aggregate filled by platform/. A process knows the addresses of a
/// few control replicas, which may be stale, and nothing else about other
/// nodes.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_NODE_PLAN_H
#define YARDWHEEL_SETTINGS_NODE_PLAN_H

#include "core/last_words.h"
#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

/// Durations set by the deployment. The defaults suit a small deployment.
struct DeploymentTimes {
  /// Time after which a caller that got no answer submits a best-effort job
  /// again.
  std::chrono::milliseconds ResubmitDelay{1300};
  /// Longest lease that a worker grants.
  std::chrono::milliseconds MaxWorkerLease{1000};
  /// Longest time that a worker takes to end a stopped run.
  std::chrono::milliseconds WorkerStopTimeout{50};
  /// Time within which a change of the configuration must be in force at all
  /// nodes.
  std::chrono::milliseconds MaxConfigDelay{2000};
  /// Time from SIGTERM until the process is killed.
  std::chrono::milliseconds ShutdownGrace{6000};
};

/// Factor by which a run outside its preferred rack takes longer, on hosts
/// that do not state one.
constexpr double DefaultOffRackFactor = 1.5;

/// Memory limit assumed on hosts that do not state one, in bytes.
constexpr std::size_t DefaultMemoryLimit = std::size_t{256} << 20;

struct NodePlan {
  std::string Node;
  NodeRole Role = NodeRole::Entry;
  std::string DataCentre;
  /// IP address and port for links from other processes.
  std::string LinkListen;
  /// Address for callers (entry only).
  std::string CallerListen;
  /// Address for the load balancer's health checks (entry only).
  std::string HealthListen;
  /// Address for operators (control replica) or for the worker (agent).
  std::string ControlListen;
  /// Address for this process's metrics.
  std::string MetricsListen;
  /// Control replicas to contact first, by the address of their operators'
  /// interface.
  std::vector<ControlPeer> Seeds;
  /// Whether the whole system starts for the first time.
  bool Bootstrap = false;
  std::string DataDir;
  /// Number of hosts with a disk that may be lost at once.
  std::uint32_t ToleratedLosses = 1;
  DeploymentTimes Times;
  /// What the host allows this process; it is ended if it exceeds the memory.
  ProcessLimits Limits{.MemoryBytes = DefaultMemoryLimit};
  /// Factor by which a run outside its preferred rack takes longer.
  double OffRackFactor = DefaultOffRackFactor;
  /// What a core-second of a route earns, by its queue priority, as an operator
  /// states it; empty if it is not known.
  std::map<std::uint32_t, double> RouteValues;
  /// Whether agents start tasks of more urgent queues first.
  bool UsesQueuePriority = false;
  /// Whether jobs that cannot end before their deadline are refused at once.
  bool RefusesHopelessJobs = false;
  /// Most agents that coordinate jobs for this entry while it is short of
  /// processor time; 0 if none may.
  std::uint32_t MaxDelegates = 0;
  /// Share of the time in which this entry's loop is busy at which the entry
  /// delegates jobs.
  double DelegateAtShare = 0.4;
  /// Whether this agent coordinates jobs for entries.
  bool CoordinatesForEntries = false;
  /// Whether tasks are placed by how long upstreams are seen to take.
  bool LearnsSpeeds = false;
  /// Whether both directions of two processes share a connection.
  bool SharesLinks = false;
  /// Most agents that a coordinator contacts for the first time at once; no
  /// limit if 0.
  std::uint32_t MaxFirstContacts = 0;
  /// Whether callers have shares of a full pool.
  bool KeepsShares = false;
};

} // namespace yardwheel

#endif
