//===- tool/text_plot.h - Plain-text plots over time ------------*- C++ -*-===//
#ifndef YARDWHEEL_TOOL_TEXT_PLOT_H
#define YARDWHEEL_TOOL_TEXT_PLOT_H

#include "core/clock.h"

#include <map>
#include <string>

namespace yardwheel {

/// A row of a plot: its value and a remark that follows the bar.
struct PlotPoint {
  double Value = 0;
  std::string Remark;
};

/// Formats one row for each point, with a bar relative to the greatest value.
std::string formatPlot(const std::map<WallTime, PlotPoint> &Points);

/// Returns the shortest of some usual intervals, from a second on, that divides
/// the time into no more rows than a screen or two.
std::chrono::seconds plotInterval(std::chrono::milliseconds Length);

} // namespace yardwheel

#endif
