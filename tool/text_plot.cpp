#include "tool/text_plot.h"

#include <algorithm>
#include <cmath>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr double MaxBar = 50;
constexpr std::int64_t MaxRows = 120;

} // namespace

std::string formatPlot(const std::map<WallTime, PlotPoint> &Points) {
  double Greatest = 0;
  for (const auto &[Time, Point] : Points)
    Greatest = std::max(Greatest, Point.Value);
  std::string Text;
  for (const auto &[Time, Point] : Points) {
    double Share = Greatest > 0 ? Point.Value / Greatest : 0;
    auto Width = static_cast<std::size_t>(std::ceil(MaxBar * Share));
    Text += fmt::format("{:%F %T} {:>10.1f} {:<50} {}",
                        std::chrono::floor<std::chrono::seconds>(Time),
                        Point.Value, std::string(Width, '#'), Point.Remark);
    Text.erase(Text.find_last_not_of(' ') + 1);
    Text += "\n";
  }
  return Text;
}

std::chrono::seconds plotInterval(std::chrono::milliseconds Length) {
  using std::chrono::seconds;
  constexpr seconds Usual[] = {seconds(1), seconds(10), seconds(60),
                               seconds(600), seconds(3600)};
  for (seconds Interval : Usual)
    if (Length <= Interval * MaxRows)
      return Interval;
  return std::chrono::hours(24);
}

} // namespace yardwheel
