//===- dispatch/retry_budget.h - Bounds what retries amplify ----*- C++ -*-===//
///
/// \file
/// Each first send earns a share of a retry, and each retry spends one. A
/// small reserve lets a quiet workspace retry at all.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_RETRY_BUDGET_H
#define YARDWHEEL_DISPATCH_RETRY_BUDGET_H

#include <cstdint>

namespace yardwheel {

class RetryBudget {
public:
  void onFirstSend(std::uint32_t BudgetPercent);
  /// \returns whether a retry may be made, and spends it.
  bool trySpend();

private:
  static constexpr double InitialBalance = 20;
  static constexpr double MaxBalance = 1000;
  double Balance = InitialBalance;
};

} // namespace yardwheel

#endif
