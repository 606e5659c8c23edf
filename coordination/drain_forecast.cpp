#include "coordination/drain_forecast.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

void DrainForecast::onTaskEnded(const std::string &Pool, std::uint32_t CpuMilli,
                                std::chrono::milliseconds RunTime) {
  RunTimes &Known = this->Pools[Pool];
  Known.CpuMilli = Known.CpuMilli * this->Options.WeightKeptPerTask + CpuMilli;
  Known.CpuMilliTimesMillis =
      Known.CpuMilliTimesMillis * this->Options.WeightKeptPerTask +
      static_cast<double>(CpuMilli) * static_cast<double>(RunTime.count());
}

std::optional<std::chrono::milliseconds>
DrainForecast::timeToDrain(const std::string &Pool, double Pressure,
                           double Limit) const {
  auto Known = this->Pools.find(Pool);
  if (Known == this->Pools.end() || Known->second.CpuMilli <= 0)
    return std::nullopt;
  double MeanMillis =
      Known->second.CpuMilliTimesMillis / Known->second.CpuMilli;
  return std::chrono::milliseconds(
      std::llround(std::max(0.0, Pressure - Limit) * MeanMillis));
}

} // namespace yardwheel
