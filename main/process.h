//===- main/process.h - A role of the daemon --------------------*- C++ -*-===//
#ifndef YARDWHEEL_MAIN_PROCESS_H
#define YARDWHEEL_MAIN_PROCESS_H

#include "settings/settings.h"

#include <memory>

namespace yardwheel {

/// A running role. Its constructor starts it.
class Process {
public:
  virtual ~Process() = default;
  /// Takes no new work, lets what is under way end, and returns.
  virtual void drain() = 0;
};

/// \throws Error if the role cannot be started.
std::unique_ptr<Process> startEntry(const Settings &Values);
std::unique_ptr<Process> startAgent(const Settings &Values);
std::unique_ptr<Process> startControl(const Settings &Values);

} // namespace yardwheel

#endif
