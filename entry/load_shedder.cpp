#include "entry/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

double LoadShedder::loadOf(const RouteLoad &Known, TimePoint Now) const {
  std::chrono::duration<double> Age = Now - Known.Updated;
  std::chrono::duration<double> Window = this->Options.LoadWindow;
  return Known.CoreMilliseconds * std::exp(-Age / Window);
}

void LoadShedder::onJobSubmitted(const std::string &Route,
                                 double CoreMilliseconds, TimePoint Now) {
  RouteLoad &Known = this->Routes[Route];
  Known.CoreMilliseconds = this->loadOf(Known, Now) + CoreMilliseconds;
  Known.Updated = Now;
}

void LoadShedder::onPressure(double Pressure, TimePoint Now) {
  std::chrono::duration<double> Age = Now - this->LastPressureSample;
  std::chrono::duration<double> Window = this->Options.PressureWindow;
  double Weight = std::exp(-Age / Window);
  this->AveragePressure =
      Weight * this->AveragePressure + (1 - Weight) * Pressure;
  this->LastPressureSample = Now;
}

double LoadShedder::busiestRouteLimit() const {
  double Span = this->Options.SustainedLimit - 1;
  if (Span <= 0)
    return this->Options.BusiestRouteLimit;
  double Sustained = std::clamp((this->AveragePressure - 1) / Span, 0.0, 1.0);
  return this->Options.BusiestRouteLimit -
         Sustained *
             (this->Options.BusiestRouteLimit - this->Options.SustainedLimit);
}

double LoadShedder::limitFor(const std::string &Route, TimePoint Now) const {
  auto Found = this->Routes.find(Route);
  if (Found == this->Routes.end())
    return this->Options.MaxRouteLimit;
  double MaxLoad = 0;
  for (const auto &[Name, Known] : this->Routes)
    MaxLoad = std::max(MaxLoad, this->loadOf(Known, Now));
  double OwnLoad = this->loadOf(Found->second, Now);
  if (OwnLoad <= 0)
    return this->Options.MaxRouteLimit;
  return std::min(this->busiestRouteLimit() * std::sqrt(MaxLoad / OwnLoad),
                  this->Options.MaxRouteLimit);
}

} // namespace yardwheel
