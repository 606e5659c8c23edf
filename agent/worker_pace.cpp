#include "agent/worker_pace.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace yardwheel {

namespace {

constexpr double WholePermille = 1000;
/// Limits of the ratio that is told; anything beyond is a declared time that
/// means nothing.
constexpr double MinRatio = 0.001;
constexpr double MaxRatio = 1000;

} // namespace

void WorkerPace::onDone(const std::string &Job, Duration RunTime,
                        std::chrono::milliseconds Declared, TimePoint Now) {
  if (Declared.count() <= 0)
    return;
  std::size_t Hash = std::hash<std::string>()(Job);
  auto *End = this->Samples.begin() + this->Count;
  auto *Known =
      std::find_if(this->Samples.begin(), End,
                   [&](const Sample &Each) { return Each.Job == Hash; });
  if (Known != End) {
    Known->RunTime += RunTime;
    Known->Declared += Declared;
    return;
  }
  if (this->Count == 0)
    this->Next = 0;
  this->Samples[this->Next] = {Hash, Now, RunTime, Declared};
  this->Next = (this->Next + 1) % MaxJobs;
  this->Count = std::min(this->Count + 1, MaxJobs);
}

std::uint32_t WorkerPace::permille(TimePoint Now) const {
  std::array<double, MaxJobs> Ratios{};
  std::size_t Fresh = 0;
  for (std::size_t I = 0; I < this->Count; ++I)
    if (Now - this->Samples[I].At < this->Options.MaxAge)
      Ratios[Fresh++] = this->Samples[I].ratio();
  if (Fresh == 0 || Fresh < this->Options.MinJobs)
    return 0;
  std::sort(Ratios.begin(), Ratios.begin() + Fresh);
  std::size_t Outside = Fresh / 4;
  double Sum = std::accumulate(Ratios.begin() + Outside,
                               Ratios.begin() + Fresh - Outside, 0.0);
  double Mean = Sum / static_cast<double>(Fresh - 2 * Outside);
  return static_cast<std::uint32_t>(
      std::lround(std::clamp(Mean, MinRatio, MaxRatio) * WholePermille));
}

} // namespace yardwheel
