#include "dispatch/load_forecast.h"

#include <algorithm>
#include <cmath>

namespace yardwheel {

void LoadForecast::onReport(double Share, TimePoint Now) {
  std::chrono::duration<double> Age = Now - this->LastReportAt;
  std::chrono::duration<double> Window = this->Options.PoolWindow;
  double Weight = std::exp(-Age / Window);
  this->ReportWeight = Weight * this->ReportWeight + 1;
  this->ShareSum = Weight * this->ShareSum + Share;
  this->ShareSquareSum = Weight * this->ShareSquareSum + Share * Share;
  this->LastReportAt = Now;
}

void LoadForecast::onTaskEnded(std::chrono::milliseconds RunTime) {
  double RunTimeSeconds = std::chrono::duration<double>(RunTime).count();
  double Weight = this->Options.WeightKeptPerTask;
  this->RunTimeSum = Weight * this->RunTimeSum + RunTimeSeconds;
  this->RunTimeSquareSum =
      Weight * this->RunTimeSquareSum + RunTimeSeconds * RunTimeSeconds;
}

double LoadForecast::poolMean() const {
  return this->ReportWeight > 0 ? this->ShareSum / this->ReportWeight : 0;
}

double LoadForecast::poolDeviation() const {
  if (this->ReportWeight <= 0)
    return 0;
  double Mean = this->poolMean();
  return std::sqrt(
      std::max(0.0, this->ShareSquareSum / this->ReportWeight - Mean * Mean));
}

std::chrono::duration<double> LoadForecast::timeConstant() const {
  if (this->RunTimeSum <= 0)
    return this->Options.InitialRunTime;
  // Weighted by run time: a long task occupies its capacity for longer, and so
  // is found there more often.
  return std::chrono::duration<double>(this->RunTimeSquareSum /
                                       this->RunTimeSum);
}

double LoadForecast::weightAfter(Duration Age) const {
  return std::exp(-std::chrono::duration<double>(Age) / this->timeConstant());
}

double LoadForecast::shareAt(double Share, Duration Age) const {
  double Mean = this->poolMean();
  return Mean + (Share - Mean) * this->weightAfter(Age);
}

Forecast LoadForecast::at(double Share, Duration Age) const {
  double Weight = this->weightAfter(Age);
  double Mean = this->poolMean();
  return {Mean + (Share - Mean) * Weight,
          this->poolDeviation() * std::sqrt(1 - Weight * Weight)};
}

} // namespace yardwheel
