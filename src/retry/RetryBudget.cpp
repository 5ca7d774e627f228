#include "gooseberrybeam/retry/RetryBudget.h"

#include <algorithm>

namespace gooseberry {

RetryBudget::RetryBudget(RetryBudgetLimits Limits)
    : Limits_(Limits), Balance_(Limits.InitialBalance_) {}

void RetryBudget::onFirstAttempt() {
  Balance_ =
      std::min(Balance_ + Limits_.RetriesPerRequest_, Limits_.MaxBalance_);
}

bool RetryBudget::tryWithdraw() {
  if (!hasRetry())
    return false;
  Balance_ -= 1;
  return true;
}

} // namespace gooseberry
