//===- dispatch/load_forecast.h - What others hold by now -------*- C++ -*-===//
///
/// \file
/// Tells from what was last heard of a worker how much of it other entries
/// hold by now, and how sure that is.
///
/// Load pattern: many entries share many workers, so that each hears of any one
/// worker seldom. What was heard then says little: tasks that ran there have
/// ended and others have begun. An entry that takes it for the present sends
/// whole jobs to workers that have long been full. So what was heard fades
/// towards the pool's mean, in the time that tasks last, and the spread among
/// the workers takes its place as doubt.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_LOAD_FORECAST_H
#define YARDWHEEL_DISPATCH_LOAD_FORECAST_H

#include "core/clock.h"

namespace yardwheel {

struct ForecastOptions {
  /// Time over which the pool's mean and spread are taken. A mean of some tens
  /// of reports follows a burst within half a second.
  std::chrono::milliseconds PoolWindow{500};
  /// How long tasks last, until some have ended.
  std::chrono::milliseconds InitialRunTime{200};
  /// What a task's length keeps of its weight with each later one, so that
  /// some hundred tasks count.
  double WeightKeptPerTask = 0.99;
};

/// Shares of a worker's room, which may be above 1 where tasks wait.
struct Forecast {
  double Share = 0;
  /// The standard deviation of what is really there around that.
  double Deviation = 0;
};

/// Of one pool.
class LoadForecast {
public:
  explicit LoadForecast(ForecastOptions Options = {}) : Options(Options) {}

  /// A worker has told which share of it others hold.
  void onReport(double Share, TimePoint Now);
  /// A task has run for as long as this.
  void onTaskEnded(std::chrono::milliseconds RunTime);

  /// \param Share As heard. \param Age How long ago that was.
  Forecast at(double Share, Duration Age) const;
  /// The same without its deviation.
  double shareAt(double Share, Duration Age) const;

private:
  /// What is left of a report by now.
  double weightAfter(Duration Age) const;
  double poolMean() const;
  double poolDeviation() const;
  /// How long a unit of work that is under way lasts.
  std::chrono::duration<double> timeConstant() const;

  ForecastOptions Options;
  /// Reports, their shares and the squares of these, each by its weight.
  double ReportWeight = 0;
  double ShareSum = 0;
  double ShareSquareSum = 0;
  TimePoint LastReport;
  /// Lengths of tasks in seconds and their squares, each by its weight.
  double RunTimeSum = 0;
  double RunTimeSquareSum = 0;
};

} // namespace yardwheel

#endif
