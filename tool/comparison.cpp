#include "tool/comparison.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace yardwheel {

namespace {

/// Half-width of a 95 % confidence interval in standard deviations.
constexpr double StandardDeviations = 1.96;
/// Minimum number of completed jobs beyond a quantile for a meaningful
/// estimate.
constexpr double MinJobsBeyond = 5;

double edgeAtRank(const std::map<double, std::uint64_t> &Buckets, double Rank) {
  double Seen = 0;
  for (const auto &[Upper, Count] : Buckets) {
    Seen += static_cast<double>(Count);
    if (Seen >= Rank)
      return Upper;
  }
  return Buckets.empty() ? 0 : Buckets.rbegin()->first;
}

} // namespace

std::uint64_t ArmSummary::completed() const {
  std::uint64_t Total = 0;
  for (const auto &[Upper, Count] : this->Slowdown)
    Total += Count;
  return Total;
}

QuantileEstimate ArmSummary::quantile(double Share) const {
  auto Count = static_cast<double>(this->completed());
  double Middle = Count * Share;
  double Spread = StandardDeviations * std::sqrt(Count * Share * (1 - Share));
  return {edgeAtRank(this->Slowdown, Middle),
          edgeAtRank(this->Slowdown, std::max(Middle - Spread, 1.0)),
          edgeAtRank(this->Slowdown, std::min(Middle + Spread, Count))};
}

double ArmSummary::wastedPerTask() const {
  return this->Tasks == 0 ? 0
                          : static_cast<double>(this->Wasted) /
                                static_cast<double>(this->Tasks);
}

std::vector<ArmSummary>
mergeReports(const std::vector<api::WorkspaceReport> &Reports) {
  std::map<std::string, ArmSummary> Arms;
  for (const api::WorkspaceReport &Report : Reports) {
    for (const api::ArmReport &Source : Report.arms()) {
      ArmSummary &Target = Arms[Source.policy()];
      Target.Policy = Source.policy();
      Target.Jobs += Source.jobs();
      Target.Tasks += Source.tasks();
      Target.Wasted += Source.wasted_messages();
      for (const api::FailureCount &Failure : Source.failures())
        Target.Failures[Failure.kind()] += Failure.count();
      for (const api::Bucket &Bucket : Source.slowdown())
        Target.Slowdown[Bucket.upper()] += Bucket.count();
    }
  }
  std::vector<ArmSummary> Result;
  Result.reserve(Arms.size());
  for (auto &[Policy, Summary] : Arms)
    Result.push_back(std::move(Summary));
  return Result;
}

std::string verdict(const ArmSummary &A, const ArmSummary &B, double Share) {
  double Fewest = static_cast<double>(std::min(A.completed(), B.completed()));
  if (Fewest * (1 - Share) < MinJobsBeyond)
    return "too few jobs to tell";
  QuantileEstimate First = A.quantile(Share);
  QuantileEstimate Second = B.quantile(Share);
  if (First.High < Second.Low)
    return fmt::format("{} is lower", A.Policy);
  if (Second.High < First.Low)
    return fmt::format("{} is lower", B.Policy);
  return "no more than noise";
}

} // namespace yardwheel
