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

#include <deque>
#include <functional>
#include <optional>

namespace yardwheel {

class VirtualProcessor {
public:
  using Action = std::function<void()>;

  explicit VirtualProcessor(VirtualWorld &World)
      : World(World), LastIdle(World.now().Steady) {}

  /// Runs \p Item after all earlier actions, once \p Cost has passed;
  /// immediately if there is nothing to wait for.
  void run(Duration Cost, Action Item);
  /// Runs \p Item after all waiting actions that were added by run().
  void runLast(Duration Cost, Action Item);
  /// Returns how long an action that runLast() adds now is expected to wait.
  Duration expectedWait() const;
  /// Runs \p Item directly after the current action, of which it is a part.
  void runNext(Duration Cost, Action Item);
  /// Returns the processor time used so far, with that of waiting actions.
  Duration busy() const { return this->Busy; }
  /// Returns when it last had nothing to do.
  TimePoint lastIdle() const;

private:
  struct Waiting {
    Duration Cost;
    Action Item;
    TimePoint Since;
  };

  bool isIdle() const;
  void add(std::deque<Waiting> &Queue, Duration Cost, Action Item);
  void startNext();
  /// Notes that an action of Lasts begins.
  void noteLast();

  VirtualWorld &World;
  std::deque<Waiting> Parts;
  std::deque<Waiting> Others;
  std::deque<Waiting> Lasts;
  /// The mean time from an action of Lasts to the next, while some wait.
  Duration LastsInterval{0};
  std::optional<TimePoint> LastBegan;
  bool Runs = false;
  Duration Busy{0};
  TimePoint LastIdle;
};

} // namespace yardwheel

#endif
