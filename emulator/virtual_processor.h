//===- emulator/virtual_processor.h - Node processor ------------*- C++ -*-===//
///
/// \file
/// The processor of a node in virtual time. It runs one action at a time, and
/// each action takes a given time. Without it messages cost nothing, and a
/// design that sends more of them looks better than it is on a host with a
/// tenth of a core.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_VIRTUAL_PROCESSOR_H
#define YARDWHEEL_EMULATOR_VIRTUAL_PROCESSOR_H

#include "emulator/virtual_world.h"

#include <functional>

namespace yardwheel {

class VirtualProcessor {
public:
  explicit VirtualProcessor(VirtualWorld &World) : World(World) {}

  /// Runs \p Action after all earlier actions, once \p Cost has passed;
  /// immediately if there is nothing to wait for.
  void run(Duration Cost, std::function<void()> Action);
  /// Returns the processor time used so far.
  Duration busy() const { return this->Busy; }

private:
  VirtualWorld &World;
  TimePoint FreeAt = TimePoint::min();
  Duration Busy{0};
};

} // namespace yardwheel

#endif
