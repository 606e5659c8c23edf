//===- tool/comparison.h - Comparison of policies ---------------*- C++ -*-===//
///
/// \file
/// Merges the entries' reports of an experiment and compares the policies by
/// quantiles of slowdown with 95 % confidence intervals from order statistics.
/// The verdict names a lower policy only if the intervals are disjoint.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TOOL_COMPARISON_H
#define YARDWHEEL_TOOL_COMPARISON_H

#include "protocol/api.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

/// A quantile, as the upper edge of its bucket, and its confidence interval.
struct QuantileEstimate {
  double Value = 0;
  double Low = 0;
  double High = 0;
};

struct ArmSummary {
  std::string Policy;
  std::uint64_t Jobs = 0;
  std::uint64_t Tasks = 0;
  std::uint64_t Wasted = 0;
  std::map<std::string, std::uint64_t> Failures;
  /// Number of completed jobs by the upper edge of their slowdown bucket.
  std::map<double, std::uint64_t> Slowdown;

  std::uint64_t completed() const;
  QuantileEstimate quantile(double Share) const;
  double wastedPerTask() const;
};

std::vector<ArmSummary>
mergeReports(const std::vector<api::WorkspaceReport> &Reports);

/// Returns "A is lower" or "B is lower" with the policy's name, "no more than
/// noise", or "too few jobs to tell".
std::string verdict(const ArmSummary &A, const ArmSummary &B, double Share);

} // namespace yardwheel

#endif
