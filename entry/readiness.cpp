#include "entry/readiness.h"

namespace yardwheel {

bool Readiness::update(const ReadinessFacts &Facts, TimePoint Now) {
  bool TableUnknown = this->isTableUnknownTooLong(Facts.Table, Now);
  return Facts.HasRoutes && Facts.HasWorkers && Facts.KeepsUp &&
         !Facts.Draining && !TableUnknown;
}

bool Readiness::isTableUnknownTooLong(TableState Table, TimePoint Now) {
  if (Table != TableState::Unknown) {
    this->UnknownSince.reset();
    return false;
  }
  if (!this->UnknownSince)
    this->UnknownSince = Now;
  return Now - *this->UnknownSince >= this->Options.MaxUnknownTable;
}

} // namespace yardwheel
