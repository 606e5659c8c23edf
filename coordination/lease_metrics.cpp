#include "coordination/lease_metrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr int ResponseBins = 40;
constexpr double ResponseLowMs = 1;
constexpr double ResponseHighMs = 100000;
constexpr int ObjectiveBins = 40;
constexpr double ObjectiveLow = 0.1;
constexpr double ObjectiveHigh = 100;
constexpr double MicrosPerMilli = 1000;

} // namespace

LeaseMetrics::Series::Series()
    : Response(ResponseBins, ResponseLowMs, ResponseHighMs),
      OverObjective(ObjectiveBins, ObjectiveLow, ObjectiveHigh) {}

void LeaseMetrics::onEnded(const std::string &Route, LeasedEnd End,
                           std::chrono::microseconds Response,
                           std::chrono::milliseconds Objective) {
  Series &Target = this->Routes[Route];
  ++Target.Ends[endName(End)];
  if (End != LeasedEnd::Completed)
    return;
  double Millis = static_cast<double>(Response.count()) / MicrosPerMilli;
  Target.Response.add(Millis);
  Target.OverObjective.add(
      Millis / std::max<double>(static_cast<double>(Objective.count()), 1));
}

std::string LeaseMetrics::text() const {
  std::string Text = "# TYPE yardwheel_job_response_ms histogram\n"
                     "# TYPE yardwheel_job_over_objective histogram\n";
  for (const auto &[Route, Source] : this->Routes) {
    std::string Label = fmt::format("route=\"{}\"", Route);
    Text += Source.Response.text("yardwheel_job_response_ms", Label);
    Text += Source.OverObjective.text("yardwheel_job_over_objective", Label);
    for (const auto &[End, Count] : Source.Ends)
      Text += fmt::format("yardwheel_jobs_ended_total{{{},end=\"{}\"}} {}\n",
                          Label, End, Count);
  }
  return Text;
}

} // namespace yardwheel
