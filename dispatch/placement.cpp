#include "dispatch/placement.h"

#include "core/error.h"
#include "dispatch/packed_placement.h"
#include "dispatch/spread_placement.h"

namespace yardwheel {

std::unique_ptr<Placement> makePlacement(std::string_view Name) {
  if (Name == "packed")
    return std::make_unique<PackedPlacement>();
  if (Name == "spread")
    return std::make_unique<SpreadPlacement>();
  throw Error("placement", std::string(Name), "expected packed or spread");
}

} // namespace yardwheel
