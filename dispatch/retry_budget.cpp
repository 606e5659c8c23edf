#include "dispatch/retry_budget.h"

#include <algorithm>

namespace yardwheel {

void RetryBudget::onFirstSend(std::uint32_t BudgetPercent) {
  constexpr double WholePercent = 100;
  this->Balance =
      std::min(MaxBalance, this->Balance + BudgetPercent / WholePercent);
}

bool RetryBudget::trySpend() {
  if (this->Balance < 1)
    return false;
  this->Balance -= 1;
  return true;
}

} // namespace yardwheel
