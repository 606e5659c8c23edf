#include "dispatch/load_forecast.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

void LoadForecast::onReport(double Share, TimePoint Now) {
  std::chrono::duration<double> Age = Now - this->LastReport;
  std::chrono::duration<double> Memory = this->Options.PoolMemory;
  double Kept = std::exp(-Age / Memory);
  this->Reports = Kept * this->Reports + 1;
  this->Shares = Kept * this->Shares + Share;
  this->Squares = Kept * this->Squares + Share * Share;
  this->LastReport = Now;
}

void LoadForecast::onTaskEnded(std::chrono::milliseconds Ran) {
  double Length = std::chrono::duration<double>(Ran).count();
  double Kept = this->Options.KeptPerTask;
  this->Lengths = Kept * this->Lengths + Length;
  this->LengthSquares = Kept * this->LengthSquares + Length * Length;
}

double LoadForecast::poolMean() const {
  return this->Reports > 0 ? this->Shares / this->Reports : 0;
}

double LoadForecast::poolDeviation() const {
  if (this->Reports <= 0)
    return 0;
  double Mean = this->poolMean();
  return std::sqrt(std::max(0.0, this->Squares / this->Reports - Mean * Mean));
}

std::chrono::duration<double> LoadForecast::memory() const {
  if (this->Lengths <= 0)
    return this->Options.FirstLength;
  // A long task holds its room for longer, and so is found there more often.
  return std::chrono::duration<double>(this->LengthSquares / this->Lengths);
}

double LoadForecast::keptAfter(Duration Age) const {
  return std::exp(-std::chrono::duration<double>(Age) / this->memory());
}

double LoadForecast::shareAt(double Share, Duration Age) const {
  double Mean = this->poolMean();
  return Mean + (Share - Mean) * this->keptAfter(Age);
}

Forecast LoadForecast::at(double Share, Duration Age) const {
  double Kept = this->keptAfter(Age);
  double Mean = this->poolMean();
  return {Mean + (Share - Mean) * Kept,
          this->poolDeviation() * std::sqrt(1 - Kept * Kept)};
}

} // namespace yardwheel
