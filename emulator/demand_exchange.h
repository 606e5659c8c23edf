//===- emulator/demand_exchange.h - Sums of demand --------------*- C++ -*-===//
///
/// \file
/// Takes the place of control for the demand of callers: collects it from the
/// entries at the interval of their heartbeats, and tells each the sums.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_DEMAND_EXCHANGE_H
#define YARDWHEEL_EMULATOR_DEMAND_EXCHANGE_H

#include "emulator/leased_entry.h"
#include "membership/demand_sums.h"

#include <memory>
#include <vector>

namespace yardwheel {

class DemandExchange {
public:
  /// \param Entries Entries whose coordinators keep shares.
  DemandExchange(VirtualWorld &World,
                 const std::vector<std::unique_ptr<LeasedEntry>> &Entries);

private:
  /// Handles a heartbeat of an entry, and plans its next one.
  void exchange(LeasedEntry &Entry);

  VirtualWorld &World;
  DemandSums Sums;
  std::uint64_t Sequence = 0;
};

} // namespace yardwheel

#endif
