//===- main/process.h - A role of the daemon --------------------*- C++ -*-===//
#ifndef YARDWHEEL_MAIN_PROCESS_H
#define YARDWHEEL_MAIN_PROCESS_H

#include "settings/node_plan.h"
#include "settings/settings.h"

#include <memory>

namespace yardwheel {

/// A running role. Its constructor starts it.
class Process {
public:
  virtual ~Process() = default;
  /// Takes no new work, lets what is under way end, and returns.
  virtual void drain() = 0;
  /// The settings have changed; takes over what may change in a running
  /// process.
  virtual void reload() {}
};

/// \throws Error if the role cannot be started.
std::unique_ptr<Process> startEntry(const Settings &Values);
std::unique_ptr<Process> startAgent(const Settings &Values);
std::unique_ptr<Process> startControl(const Settings &Values);

/// The same roles where the platform writes the settings and workers run
/// tasks under leases.
std::unique_ptr<Process> startLeaseEntry(const NodePlan &Plan);
std::unique_ptr<Process> startLeaseAgent(const NodePlan &Plan);
std::unique_ptr<Process> startSeededControl(const NodePlan &Plan);

} // namespace yardwheel

#endif
