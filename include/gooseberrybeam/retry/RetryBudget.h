/// \file
/// Limits retries and hedged requests to a fraction of the first attempts.
#ifndef GOOSEBERRYBEAM_RETRY_RETRYBUDGET_H
#define GOOSEBERRYBEAM_RETRY_RETRYBUDGET_H

namespace gooseberry {

/// Settings of a `RetryBudget`.
struct RetryBudgetLimits {
  double RetriesPerRequest_ = 0.1; ///< Earned by each first attempt.
  double MaxBalance_ = 10;         ///< Maximum of saved retries.
  double InitialBalance_ = 3;      ///< Retries available at the start.
};

/// A token balance that first attempts increase and extra attempts decrease, so
/// that retries cannot multiply the load when a backend server fails.
class RetryBudget {
public:
  /// \param Limits the budget's settings.
  explicit RetryBudget(RetryBudgetLimits Limits);

  /// Counts a first attempt.
  void onFirstAttempt();

  /// \returns whether the balance allows an extra attempt.
  bool hasRetry() const { return Balance_ >= 1; }

  /// Withdraws one extra attempt from the balance.
  /// \returns false, and withdraws nothing, if the balance does not allow it.
  bool tryWithdraw();

private:
  RetryBudgetLimits Limits_;
  double Balance_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RETRY_RETRYBUDGET_H
