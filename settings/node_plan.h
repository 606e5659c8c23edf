//===- settings/node_plan.h - What a node of a deployment is told -*- C++ -*-=//
///
/// \file
/// The settings of a process on machines whose platform writes its settings
/// file: an aggregate that platform/ fills. A process knows a few control
/// addresses, perhaps stale, and nothing else of the other nodes.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_NODE_PLAN_H
#define YARDWHEEL_SETTINGS_NODE_PLAN_H

#include "settings/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yardwheel {

/// Times that the deployment sets; defaults are those of a small one.
struct DeploymentTimes {
  /// A caller whose answer was lost hands a best-effort job in again after
  /// this.
  std::chrono::milliseconds ResubmitAfter{1300};
  /// Longest lease that a worker grants.
  std::chrono::milliseconds MaxWorkerLease{1000};
  /// A worker ends a stopped run within this.
  std::chrono::milliseconds WorkerStop{50};
  /// A change of the configuration is in force everywhere within this.
  std::chrono::milliseconds ChangeInForce{2000};
  /// From SIGTERM until the process is killed.
  std::chrono::milliseconds ShutdownGrace{6000};
};

struct NodePlan {
  std::string Node;
  NodeRole Role = NodeRole::Entry;
  std::string DataCentre;
  /// IP number and port of the link to other processes.
  std::string LinkListen;
  /// Callers, of an entry.
  std::string CallerListen;
  /// The balancer's health checks, of an entry.
  std::string HealthListen;
  /// Operators, of a control replica; the worker, of an agent.
  std::string ControlListen;
  /// This process's own metrics.
  std::string MetricsListen;
  /// Control replicas to begin with, by their operators' address.
  std::vector<ControlPeer> Seeds;
  /// The whole system starts for the first time.
  bool Bootstrap = false;
  std::string DataDir;
  /// Hosts with a disk that may be lost at once.
  std::uint32_t ToleratedLosses = 1;
  DeploymentTimes Times;
};

} // namespace yardwheel

#endif
