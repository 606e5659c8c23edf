#include "entry/job_metrics.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::size_t MaxSmallJobTasks = 32;
constexpr int ResponseBins = 50;
constexpr double MinResponseMs = 1;
constexpr double MaxResponseMs = 100000;
constexpr int SlowdownBins = 120;
constexpr double MinSlowdown = 1;
constexpr double MaxSlowdown = 1000;
constexpr double MicrosPerMilli = 1000;

} // namespace

const char *jobClass(std::size_t Tasks) {
  if (Tasks <= 1)
    return "single";
  return Tasks <= MaxSmallJobTasks ? "small" : "large";
}

const char *failureName(peer::FailureKind Kind) {
  switch (Kind) {
  case peer::FAILURE_LIMIT:
    return "limit";
  case peer::FAILURE_NEVER_FITS:
    return "never_fits";
  case peer::FAILURE_TASK_FAILED:
    return "task_failed";
  case peer::FAILURE_DEADLINE:
    return "deadline";
  case peer::FAILURE_CANCELLED:
    return "cancelled";
  case peer::FAILURE_UNAVAILABLE:
    return "unavailable";
  case peer::FAILURE_CONFLICT:
    return "conflict";
  case peer::FAILURE_EXPIRED:
    return "expired";
  case peer::FAILURE_IN_FUTURE:
    return "in_future";
  case peer::FAILURE_PEER_LOST:
    return "peer_lost";
  case peer::FAILURE_NOT_FOUND:
    return "not_found";
  default:
    return "invalid";
  }
}

JobMetrics::Series JobMetrics::makeSeries() {
  return {LogHistogram(ResponseBins, MinResponseMs, MaxResponseMs),
          LogHistogram(SlowdownBins, MinSlowdown, MaxSlowdown),
          0,
          0,
          0,
          {}};
}

void JobMetrics::onJobEnded(const Job &Ended, std::uint32_t PoolSlots,
                            TimePoint Now) {
  std::size_t Tasks = Ended.States.size();
  Key Labels{Ended.Request.Workspace, jobClass(Tasks), Ended.Policy};
  std::lock_guard Lock(this->Mutex);
  auto Found = this->SeriesByKey.try_emplace(Labels, makeSeries()).first;
  Series &Target = Found->second;
  ++Target.Jobs;
  Target.Tasks += Tasks;
  Target.Wasted += Ended.WastedMessages;
  if (!Ended.Outcome->complete()) {
    ++Target.Failures[failureName(Ended.Outcome->failure().kind())];
    return;
  }
  auto Response = static_cast<double>((Now - Ended.Submitted).count());
  double Spread =
      static_cast<double>(Ended.TotalService.count()) / std::max(PoolSlots, 1U);
  double Ideal = std::max(
      {static_cast<double>(Ended.LongestService.count()), Spread, 1.0});
  Target.Response.add(Response / MicrosPerMilli);
  Target.Slowdown.add(Response / Ideal);
}

std::string JobMetrics::text() const {
  std::lock_guard Lock(this->Mutex);
  std::string Text = "# TYPE yardwheel_response_ms histogram\n"
                     "# TYPE yardwheel_slowdown histogram\n";
  for (const auto &[Labels, Source] : this->SeriesByKey) {
    std::string Common =
        fmt::format("workspace=\"{}\",class=\"{}\",policy=\"{}\"",
                    Labels.Workspace, Labels.Class, Labels.Policy);
    Text += Source.Response.text("yardwheel_response_ms", Common);
    Text += Source.Slowdown.text("yardwheel_slowdown", Common);
    Text += fmt::format("yardwheel_jobs_total{{{}}} {}\n", Common, Source.Jobs);
    Text +=
        fmt::format("yardwheel_tasks_total{{{}}} {}\n", Common, Source.Tasks);
    Text += fmt::format("yardwheel_wasted_messages_total{{{}}} {}\n", Common,
                        Source.Wasted);
    for (const auto &[Kind, Count] : Source.Failures)
      Text += fmt::format("yardwheel_failures_total{{{},kind=\"{}\"}} {}\n",
                          Common, Kind, Count);
  }
  return Text;
}

api::WorkspaceReport JobMetrics::report(const std::string &Workspace,
                                        const std::string &Entry) const {
  struct Arm {
    api::ArmReport Report;
    LogHistogram Slowdown;
    std::map<std::string, std::uint64_t> Failures;
  };
  std::lock_guard Lock(this->Mutex);
  std::map<std::string, Arm> Arms;
  for (const auto &[Labels, Source] : this->SeriesByKey) {
    if (Labels.Workspace != Workspace)
      continue;
    auto Found =
        Arms.try_emplace(Labels.Policy, Arm{{}, makeSeries().Slowdown, {}});
    Arm &Target = Found.first->second;
    Target.Slowdown += Source.Slowdown;
    api::ArmReport &Report = Target.Report;
    Report.set_policy(Labels.Policy);
    Report.set_jobs(Report.jobs() + static_cast<std::uint32_t>(Source.Jobs));
    Report.set_tasks(Report.tasks() + static_cast<std::uint32_t>(Source.Tasks));
    Report.set_wasted_messages(Report.wasted_messages() +
                               static_cast<std::uint32_t>(Source.Wasted));
    for (const auto &[Kind, Count] : Source.Failures)
      Target.Failures[Kind] += Count;
  }
  api::WorkspaceReport Result;
  Result.set_workspace(Workspace);
  Result.set_entry(Entry);
  for (auto &[Policy, Source] : Arms) {
    api::ArmReport *Added = Result.add_arms();
    *Added = Source.Report;
    for (const auto &[Kind, Count] : Source.Failures) {
      api::FailureCount *Failure = Added->add_failures();
      Failure->set_kind(Kind);
      Failure->set_count(static_cast<std::uint32_t>(Count));
    }
    for (const LogHistogram::Cell &Cell : Source.Slowdown.cells()) {
      api::Bucket *Bucket = Added->add_slowdown();
      Bucket->set_upper(Cell.Upper);
      Bucket->set_count(Cell.Count);
    }
  }
  return Result;
}

} // namespace yardwheel
