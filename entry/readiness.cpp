#include "entry/readiness.h"

namespace yardwheel {

bool Readiness::update(const ReadinessFacts &Facts, TimePoint) {
  return Facts.HasRoutes && Facts.HasWorkers && Facts.KeepsUp &&
         !Facts.Draining;
}

} // namespace yardwheel
