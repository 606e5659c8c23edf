//===- dispatch/retry_budget.h - Bound on retries ---------------*- C++ -*-===//
///
/// \file
/// Limits retries to a share of the first attempts. Each first send earns a
/// fraction of a retry, and each retry spends one. A small initial balance lets
/// a workspace with little traffic retry at all.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_RETRY_BUDGET_H
#define YARDWHEEL_DISPATCH_RETRY_BUDGET_H

#include <cstdint>

namespace yardwheel {

class RetryBudget {
public:
  void onFirstSend(std::uint32_t BudgetPercent);
  /// Spends one retry if the balance allows it. \returns whether it did.
  bool trySpend();

private:
  static constexpr double InitialBalance = 20;
  static constexpr double MaxBalance = 1000;
  double Balance = InitialBalance;
};

} // namespace yardwheel

#endif
