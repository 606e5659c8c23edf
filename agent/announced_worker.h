//===- agent/announced_worker.h - What control is told ----------*- C++ -*-===//
///
/// \file
/// What an agent announces to control about itself and its worker. Control is
/// told again whenever any of it has changed.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_ANNOUNCED_WORKER_H
#define YARDWHEEL_AGENT_ANNOUNCED_WORKER_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <set>
#include <string>

namespace yardwheel {

class LeaseKeeper;

struct AnnouncedWorker {
  /// Of the agent and its worker; see LeaseKeeper::incarnation().
  std::uint64_t Incarnation = 0;
  bool Leaving = false;
  peer::TaskNeeds Room;
  /// Empty, like Labels, while the worker's current incarnation has not
  /// announced itself.
  std::string Pool;
  std::set<std::string> Labels;

  /// \param Keeper Must have a worker.
  static AnnouncedWorker of(LeaseKeeper &Keeper);
  void writeTo(peer::Member &Member) const;
  bool operator==(const AnnouncedWorker &Other) const;
};

} // namespace yardwheel

#endif
