#include "dispatch/retry_budget.h"

#include <algorithm>

namespace yardwheel {

void RetryBudget::onFirstSend(std::uint32_t BudgetPercent) {
  constexpr double WholePercent = 100;
  this->Saved = std::min(MaxSaved, this->Saved + BudgetPercent / WholePercent);
}

bool RetryBudget::spend() {
  if (this->Saved < 1)
    return false;
  this->Saved -= 1;
  return true;
}

} // namespace yardwheel
