#include "entry/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

double LoadShedder::loadOf(const Offered &Known, TimePoint Now) const {
  std::chrono::duration<double> Age = Now - Known.Updated;
  std::chrono::duration<double> Memory = this->Options.Memory;
  return Known.CoreMillis * std::exp(-Age / Memory);
}

void LoadShedder::onOffered(const std::string &Route, double CoreMillis,
                            TimePoint Now) {
  Offered &Known = this->Routes[Route];
  Known.CoreMillis = this->loadOf(Known, Now) + CoreMillis;
  Known.Updated = Now;
}

double LoadShedder::limitFor(const std::string &Route, TimePoint Now) const {
  auto Found = this->Routes.find(Route);
  if (Found == this->Routes.end())
    return this->Options.HighestLimit;
  double Most = 0;
  for (const auto &[Name, Known] : this->Routes)
    Most = std::max(Most, this->loadOf(Known, Now));
  double Own = this->loadOf(Found->second, Now);
  if (Own <= 0)
    return this->Options.HighestLimit;
  return std::min(this->Options.LowestLimit * std::sqrt(Most / Own),
                  this->Options.HighestLimit);
}

} // namespace yardwheel
