/// \file
/// Limits retries and hedges to a fraction of the first attempts.
#ifndef GOOSEBERRYBEAM_RETRY_RETRYBUDGET_H
#define GOOSEBERRYBEAM_RETRY_RETRYBUDGET_H

namespace gooseberry {

/// Settings of a retry budget.
struct RetryBudgetLimits {
  double RetriesPerRequest_ = 0.1; ///< Earned by each first attempt.
  double MaxBalance_ = 10;         ///< Retries that may be saved up.
  double InitialBalance_ = 3;      ///< Retries before any first attempt.
};

/// A balance that first attempts fill and extra attempts draw down, so that
/// retries cannot multiply load when a backend server fails.
class RetryBudget {
public:
  /// \param Limits the budget's settings.
  explicit RetryBudget(RetryBudgetLimits Limits);

  /// Counts a first attempt.
  void onFirstAttempt();

  /// \returns whether an extra attempt is affordable.
  bool hasRetry() const { return Balance_ >= 1; }

  /// Pays for an extra attempt.
  /// \returns false, and takes nothing, if the balance does not allow it.
  bool tryWithdraw();

private:
  RetryBudgetLimits Limits_;
  double Balance_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RETRY_RETRYBUDGET_H
