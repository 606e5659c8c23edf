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
  /// Stops accepting work, waits for work in progress, stops the role and
  /// returns.
  virtual void drain() = 0;
  /// Reads the changed settings again and applies those that may change in a
  /// running process.
  virtual void reload() {}
};

/// \throws Error if the role cannot be started.
std::unique_ptr<Process> startEntry(const Settings &Values);
std::unique_ptr<Process> startAgent(const Settings &Values);
std::unique_ptr<Process> startControl(const Settings &Values);

/// Starts the same roles on the platform, which writes the settings; workers
/// run tasks under leases there. \throws Error if the role cannot be started.
std::unique_ptr<Process> startLeaseEntry(const NodePlan &Plan);
std::unique_ptr<Process> startLeaseAgent(const NodePlan &Plan);
std::unique_ptr<Process> startSeededControl(const NodePlan &Plan);

} // namespace yardwheel

#endif
