//===- protocol/task_needs.h - Comparing room and needs ---------*- C++ -*-===//
#ifndef YARDWHEEL_PROTOCOL_TASK_NEEDS_H
#define YARDWHEEL_PROTOCOL_TASK_NEEDS_H

#include "protocol/peer.pb.h"

namespace yardwheel {

inline bool isSameNeeds(const peer::TaskNeeds &A, const peer::TaskNeeds &B) {
  return A.cpu_milli() == B.cpu_milli() && A.memory_mb() == B.memory_mb() &&
         A.accelerators() == B.accelerators();
}

/// Whether room of this size, with nothing in it, has room for a task.
inline bool holdsNeeds(const peer::TaskNeeds &Room,
                       const peer::TaskNeeds &Needs) {
  return Room.cpu_milli() >= Needs.cpu_milli() &&
         Room.memory_mb() >= Needs.memory_mb() &&
         Room.accelerators() >= Needs.accelerators();
}

} // namespace yardwheel

#endif
