#include "entry/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

double LoadShedder::loadOf(const RouteLoad &Known, TimePoint Now) const {
  std::chrono::duration<double> Age = Now - Known.Updated;
  std::chrono::duration<double> Window = this->Options.LoadWindow;
  return Known.CoreMillis * std::exp(-Age / Window);
}

void LoadShedder::onOffered(const std::string &Route, double CoreMillis,
                            TimePoint Now) {
  RouteLoad &Known = this->Routes[Route];
  Known.CoreMillis = this->loadOf(Known, Now) + CoreMillis;
  Known.Updated = Now;
}

void LoadShedder::onPressure(double Pressure, TimePoint Now) {
  std::chrono::duration<double> Age = Now - this->PressureSeen;
  std::chrono::duration<double> Window = this->Options.PressureWindow;
  double Kept = std::exp(-Age / Window);
  this->AveragePressure = Kept * this->AveragePressure + (1 - Kept) * Pressure;
  this->PressureSeen = Now;
}

double LoadShedder::busiestRouteLimit() const {
  double Room = this->Options.SustainedLimit - 1;
  if (Room <= 0)
    return this->Options.BusiestRouteLimit;
  double Sustained = std::clamp((this->AveragePressure - 1) / Room, 0.0, 1.0);
  return this->Options.BusiestRouteLimit -
         Sustained *
             (this->Options.BusiestRouteLimit - this->Options.SustainedLimit);
}

double LoadShedder::limitFor(const std::string &Route, TimePoint Now) const {
  auto Found = this->Routes.find(Route);
  if (Found == this->Routes.end())
    return this->Options.MaxRouteLimit;
  double Most = 0;
  for (const auto &[Name, Known] : this->Routes)
    Most = std::max(Most, this->loadOf(Known, Now));
  double Own = this->loadOf(Found->second, Now);
  if (Own <= 0)
    return this->Options.MaxRouteLimit;
  return std::min(this->busiestRouteLimit() * std::sqrt(Most / Own),
                  this->Options.MaxRouteLimit);
}

} // namespace yardwheel
