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

/// Settings of the retry policy.
struct RetryPolicyLimits {
  RetryBudgetLimits ClassBudget_;
  RetryBudgetLimits BackendBudget_;
  std::uint32_t MaxAttempts_ = 3;
  Duration MinTimeLeft_ = std::chrono::milliseconds(5);
};

/// A failed attempt and what is known of its request.
struct FailedAttempt {
  ClassId Class_;
  BackendId Backend_;
  AttemptFailure Failure_ = AttemptFailure::ConnectFailed;
  bool Idempotent_ = false;
  bool MayHaveRunBefore_ = false; ///< An earlier attempt may have started.
  std::uint32_t Attempts_ = 1;    ///< Attempts made, this one included.
  TimePoint Deadline_;
};

/// Try again, on another backend server where there is one.
struct RetryAgain {};

/// Outcome of a decision.
using RetryDecision = std::variant<RetryAgain, Refusal>;

/// Budgets for each class and each backend server; work that is not idempotent
/// is repeated only if no attempt can have started it.
class RetryPolicy {
public:
  /// \param Limits the policy's settings.
  explicit RetryPolicy(RetryPolicyLimits Limits);

  /// Counts a first attempt; it earns a fraction of a retry.
  /// \param Class the request's class.
  /// \param Backend the backend server that was chosen.
  void onFirstAttempt(const ClassId &Class, const BackendId &Backend);

  /// Decides after a failure and, for a retry, pays for it.
  /// \param Attempt the failed attempt.
  /// \param Now the clock.
  /// \returns `RetryAgain`, or the refusal that the caller gets.
  RetryDecision onFailure(const FailedAttempt &Attempt, TimePoint Now);

  /// Pays for a hedge: a second attempt of idempotent work that is still
  /// running.
  /// \param Class the request's class.
  /// \param Backend the backend server of the running attempt.
  /// \returns whether the budget allows it.
  bool tryHedge(const ClassId &Class, const BackendId &Backend);

  /// Forgets a backend server that has left.
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
