#include "dispatch/run_time_factors.h"

#include <algorithm>

namespace yardwheel {

namespace {

constexpr double WholePermille = 1000;

} // namespace

void RunTimeFactors::update(std::vector<std::uint32_t> Permilles,
                            TimePoint Now) {
  this->NextUpdate = Now + this->Options.MedianLifetime;
  this->MedianPermille = 0;
  if (Permilles.empty() || Permilles.size() < this->Options.MinWorkers)
    return;
  auto Middle =
      Permilles.begin() + static_cast<std::ptrdiff_t>(Permilles.size() / 2);
  std::nth_element(Permilles.begin(), Middle, Permilles.end());
  this->MedianPermille = *Middle;
}

double RunTimeFactors::factorOf(std::uint32_t Permille) const {
  if (Permille == 0 || this->MedianPermille == 0)
    return 1;
  double Factor = static_cast<double>(Permille) / this->MedianPermille;
  bool IsNoise = Factor < this->Options.NoiseFactor &&
                 Factor * this->Options.NoiseFactor > 1;
  if (IsNoise)
    return 1;
  return std::clamp(Factor, this->Options.MinFactor, this->Options.MaxFactor);
}

double RunTimeFactors::usualRatio() const {
  return this->MedianPermille == 0 ? 1 : this->MedianPermille / WholePermille;
}

} // namespace yardwheel
