//===- dispatch/load_forecast.h - Forecast of other load --------*- C++ -*-===//
///
/// \file
/// Estimates from a worker's last load report how much of the worker other
/// entries use now, and how certain that is.
///
/// Many entries share many workers, so each entry rarely hears from any
/// particular worker. An old report then says little: tasks that ran there have
/// ended and others have started. An entry that takes it for the current load
/// sends whole jobs to workers that have long been full. The estimate therefore
/// decays from the reported load to the pool's mean, at the rate at which tasks
/// end, while its deviation grows to the spread among the workers.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_LOAD_FORECAST_H
#define YARDWHEEL_DISPATCH_LOAD_FORECAST_H

#include "core/clock.h"

namespace yardwheel {

struct ForecastOptions {
  /// Time over which the pool's mean and spread are averaged. This follows a
  /// burst within half a second and still averages some tens of reports.
  std::chrono::milliseconds PoolWindow{500};
  /// Assumed run time until a task has ended.
  std::chrono::milliseconds InitialRunTime{200};
  /// Factor applied to the weights of all earlier tasks at each new one, so
  /// that about the last hundred tasks count.
  double WeightKeptPerTask = 0.99;
};

/// Load by other entries, as a share of a worker's capacity; above 1 if tasks
/// wait.
struct Forecast {
  double Share = 0;
  /// Standard deviation of the actual share around Share.
  double Deviation = 0;
};

/// Forecasts the load of the workers of one pool.
class LoadForecast {
public:
  explicit LoadForecast(ForecastOptions Options = {}) : Options(Options) {}

  /// Records a worker's report of the share that other entries use.
  void onReport(double Share, TimePoint Now);
  /// Records the run time of a task.
  void onTaskEnded(std::chrono::milliseconds RunTime);

  /// Returns the forecast for a worker. \param Share Share in the worker's last
  /// report. \param Age Age of that report.
  Forecast at(double Share, Duration Age) const;
  /// Like at(), without the deviation.
  double shareAt(double Share, Duration Age) const;

private:
  /// Returns how much of a report's difference from the pool's mean remains at
  /// the given age, from 1 down to 0.
  double weightAfter(Duration Age) const;
  double poolMean() const;
  double poolDeviation() const;
  /// Returns the time constant of the decay: the mean run time of the tasks,
  /// weighted by run time; InitialRunTime until a task has ended.
  std::chrono::duration<double> timeConstant() const;

  ForecastOptions Options;
  /// Weighted number of reports, and weighted sums of their shares and squared
  /// shares.
  double ReportWeight = 0;
  double ShareSum = 0;
  double ShareSquareSum = 0;
  TimePoint LastReportAt;
  /// Weighted sums of the run times of tasks, in seconds, and of their squares.
  double RunTimeSum = 0;
  double RunTimeSquareSum = 0;
};

} // namespace yardwheel

#endif
