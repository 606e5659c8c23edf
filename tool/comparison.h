//===- tool/comparison.h - Whether two policies differ ----------*- C++ -*-===//
///
/// \file
/// Merges what the entries report of an experiment and compares the policies:
/// quantiles of slowdown with 95 % confidence intervals by order statistics,
/// and a verdict that says "differs" only where the intervals are apart.
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

/// A quantile as the upper edge of its bucket, and its interval.
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
  /// Completed jobs by the upper edge of their slowdown's bucket.
  std::map<double, std::uint64_t> Slowdown;

  std::uint64_t completed() const;
  QuantileEstimate quantile(double Share) const;
  double wastedPerTask() const;
};

std::vector<ArmSummary>
mergeReports(const std::vector<api::WorkspaceReport> &Reports);

/// "A is lower", "B is lower" or "no more than noise", with names.
std::string verdict(const ArmSummary &A, const ArmSummary &B, double Share);

} // namespace yardwheel

#endif
