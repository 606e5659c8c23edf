#include "dispatch/spread_placement.h"

#include "dispatch/share_counter.h"

namespace yardwheel {

std::vector<PlacementShare>
SpreadPlacement::divide(const PlacementDemand &Demand,
                        std::vector<PlacementTarget> Targets,
                        std::mt19937_64 &Random) const {
  ShareCounter Counter(Demand, Targets, Random);
  while (Counter.remaining() > 0 && Counter.assignOneToCheapest()) {
  }
  return Counter.shares();
}

} // namespace yardwheel
