#include "gooseberrybeam/retry/RetryPolicy.h"

namespace gooseberry {
namespace {

bool mayHaveRun(const FailedAttempt &Attempt) {
  return Attempt.MayHaveRunBefore_ || !isNotStarted(Attempt.Failure_);
}

Refusal makeRefusal(const FailedAttempt &Attempt, RefusalReason Reason) {
  Refusal Result;
  Result.Execution_ =
      mayHaveRun(Attempt) ? Execution::Unknown : Execution::NotRun;
  const bool Uncertain = mayHaveRun(Attempt) && !Attempt.Idempotent_;
  Result.Reason_ = Uncertain ? RefusalReason::OutcomeUnknown : Reason;
  return Result;
}

RefusalReason reasonOf(AttemptFailure Failure) {
  return Failure == AttemptFailure::SilentConnection
             ? RefusalReason::BackendTimeout
             : RefusalReason::BackendFailed;
}

} // namespace

RetryPolicy::RetryPolicy(RetryPolicyLimits Limits) : Limits_(Limits) {}

void RetryPolicy::onFirstAttempt(const ClassId &Class,
                                 const BackendId &Backend) {
  classBudget(Class).onFirstAttempt();
  backendBudget(Backend).onFirstAttempt();
}

RetryDecision RetryPolicy::onFailure(const FailedAttempt &Attempt,
                                     TimePoint Now) {
  const RefusalReason Reason = reasonOf(Attempt.Failure_);
  if (mayHaveRun(Attempt) && !Attempt.Idempotent_)
    return makeRefusal(Attempt, Reason);
  if (Now + Limits_.MinTimeLeft_ > Attempt.Deadline_)
    return makeRefusal(Attempt, RefusalReason::DeadlineExceeded);
  if (Attempt.Attempts_ >= Limits_.MaxAttempts_)
    return makeRefusal(Attempt, Reason);
  if (!tryWithdrawRetry(Attempt.Class_, Attempt.Backend_))
    return makeRefusal(Attempt, Reason);
  return RetryAgain{};
}

bool RetryPolicy::tryHedge(const ClassId &Class, const BackendId &Backend) {
  return tryWithdrawRetry(Class, Backend);
}

void RetryPolicy::onBackendGone(const BackendId &Backend) {
  BackendBudgets_.erase(Backend);
}

bool RetryPolicy::tryWithdrawRetry(const ClassId &Class,
                                   const BackendId &Backend) {
  RetryBudget &ClassBalance = classBudget(Class);
  RetryBudget &BackendBalance = backendBudget(Backend);
  if (!ClassBalance.hasRetry() || !BackendBalance.hasRetry())
    return false;
  ClassBalance.tryWithdraw();
  BackendBalance.tryWithdraw();
  return true;
}

RetryBudget &RetryPolicy::classBudget(const ClassId &Class) {
  return ClassBudgets_.try_emplace(Class, Limits_.ClassBudget_).first->second;
}

RetryBudget &RetryPolicy::backendBudget(const BackendId &Backend) {
  return BackendBudgets_.try_emplace(Backend, Limits_.BackendBudget_)
      .first->second;
}

} // namespace gooseberry
