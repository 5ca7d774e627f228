/// \file
/// Decides whether a failed attempt is followed by another.
#ifndef GOOSEBERRYBEAM_RETRY_RETRYPOLICY_H
#define GOOSEBERRYBEAM_RETRY_RETRYPOLICY_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/retry/AttemptFailure.h"
#include "gooseberrybeam/retry/RetryBudget.h"

#include <cstdint>
#include <unordered_map>
#include <variant>

namespace gooseberry {

/// Settings of a `RetryPolicy`.
struct RetryPolicyLimits {
  RetryBudgetLimits ClassBudget_;
  RetryBudgetLimits BackendBudget_;
  std::uint32_t MaxAttempts_ = 3; ///< First attempt included.
  Duration MinTimeLeft_ = std::chrono::milliseconds(5); ///< To the deadline.
};

/// A failed attempt and the state of its request.
struct FailedAttempt {
  ClassId Class_;
  BackendId Backend_;
  AttemptFailure Failure_ = AttemptFailure::ConnectFailed;
  bool Idempotent_ = false;
  bool MayHaveRunBefore_ = false; ///< An earlier attempt may have started it.
  std::uint32_t Attempts_ = 1;    ///< Attempts made, this one included.
  TimePoint Deadline_;
};

/// Retry, on another backend server if there is one.
struct RetryAgain {};

/// The decision after a failed attempt.
using RetryDecision = std::variant<RetryAgain, Refusal>;

/// Decides on retries within budgets per class and per backend server. Work
/// that is not idempotent is repeated only if no attempt can have started it.
class RetryPolicy {
public:
  /// \param Limits the policy's settings.
  explicit RetryPolicy(RetryPolicyLimits Limits);

  /// Counts a first attempt; it earns a fraction of a retry.
  /// \param Class the request's class.
  /// \param Backend the backend server that was chosen.
  void onFirstAttempt(const ClassId &Class, const BackendId &Backend);

  /// Decides what follows a failure and charges a retry to the budgets.
  /// \param Attempt the failed attempt.
  /// \param Now the current time.
  /// \returns `RetryAgain`, or the refusal that the caller gets.
  RetryDecision onFailure(const FailedAttempt &Attempt, TimePoint Now);

  /// Charges a hedge, which is a second attempt of idempotent work that is
  /// still running, to the budgets.
  /// \param Class the request's class.
  /// \param Backend the backend server of the running attempt.
  /// \returns whether the budgets allow it.
  bool tryHedge(const ClassId &Class, const BackendId &Backend);

  /// Drops the budget of a backend server that has left.
  /// \param Backend the backend server.
  void onBackendGone(const BackendId &Backend);

private:
  bool tryWithdrawRetry(const ClassId &Class, const BackendId &Backend);
  RetryBudget &classBudget(const ClassId &Class);
  RetryBudget &backendBudget(const BackendId &Backend);

  RetryPolicyLimits Limits_;
  std::unordered_map<ClassId, RetryBudget> ClassBudgets_;
  std::unordered_map<BackendId, RetryBudget> BackendBudgets_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RETRY_RETRYPOLICY_H
