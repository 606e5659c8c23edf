#include "coordination/load_shedder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yardwheel {

namespace {

/// A route with less than this share of the work of the most loaded one counts
/// as not loaded.
constexpr double MinLoadShare = 0.01;

} // namespace

double LoadShedder::loadOf(const RouteLoad &Known, TimePoint Now) const {
  std::chrono::duration<double> Age = Now - Known.Updated;
  std::chrono::duration<double> Window = this->Options.LoadWindow;
  return Known.CoreMilliseconds * std::exp(-Age / Window);
}

void LoadShedder::onJobSubmitted(const std::string &Route,
                                 std::uint32_t Priority,
                                 double CoreMilliseconds, TimePoint Now) {
  RouteLoad &Known = this->Routes[Route];
  Known.Priority = Priority;
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

double LoadShedder::cheapestRouteLimit() const {
  double Span = this->Options.SustainedLimit - 1;
  if (Span <= 0)
    return this->Options.CheapestRouteLimit;
  double Sustained = std::clamp((this->AveragePressure - 1) / Span, 0.0, 1.0);
  return this->Options.CheapestRouteLimit -
         Sustained *
             (this->Options.CheapestRouteLimit - this->Options.SustainedLimit);
}

std::optional<double> LoadShedder::relativeValue(const RouteLoad &Target,
                                                 TimePoint Now) const {
  double MaxLoad = 0;
  for (const auto &[Name, Known] : this->Routes)
    MaxLoad = std::max(MaxLoad, this->loadOf(Known, Now));
  double OwnLoad = this->loadOf(Target, Now);
  if (OwnLoad <= 0)
    return std::nullopt;
  double Least = std::numeric_limits<double>::max();
  for (const auto &[Name, Known] : this->Routes) {
    // A route that is hardly used any more does not count.
    if (this->loadOf(Known, Now) < MinLoadShare * MaxLoad)
      continue;
    auto Value = this->Options.Values.find(Known.Priority);
    if (Value == this->Options.Values.end())
      return MaxLoad / OwnLoad;
    Least = std::min(Least, Value->second);
  }
  auto Own = this->Options.Values.find(Target.Priority);
  return Own == this->Options.Values.end() ? MaxLoad / OwnLoad
                                           : Own->second / Least;
}

double LoadShedder::limitFor(const std::string &Route, TimePoint Now) const {
  auto Found = this->Routes.find(Route);
  std::optional<double> Value;
  if (Found != this->Routes.end())
    Value = this->relativeValue(Found->second, Now);
  if (!Value)
    return this->Options.MaxRouteLimit;
  return std::min(this->cheapestRouteLimit() * std::sqrt(*Value),
                  this->Options.MaxRouteLimit);
}

} // namespace yardwheel
