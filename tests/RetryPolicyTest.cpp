#include "gooseberrybeam/retry/RetryPolicy.h"

#include "gooseberrybeam/retry/HedgeDelay.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

FailedAttempt makeAttempt(AttemptFailure Failure, bool Idempotent) {
  FailedAttempt Attempt;
  Attempt.Class_ = ClassId{"availability"};
  Attempt.Backend_ = BackendId{"127.0.0.1:1"};
  Attempt.Failure_ = Failure;
  Attempt.Idempotent_ = Idempotent;
  Attempt.Deadline_ = TimePoint(1s);
  return Attempt;
}

bool isRetry(const RetryDecision &Decision) {
  return std::holds_alternative<RetryAgain>(Decision);
}

} // namespace

TEST_CASE("Failed attempts are retried only if that is safe", "[retry]") {
  RetryPolicy Policy(RetryPolicyLimits{});
  SECTION("a non-idempotent request is not retried after a lost connection") {
    const auto Decision = Policy.onFailure(
        makeAttempt(AttemptFailure::ConnectionLost, false), TimePoint(0s));
    REQUIRE_FALSE(isRetry(Decision));
    const Refusal &Denied = std::get<Refusal>(Decision);
    CHECK(Denied.Reason_ == RefusalReason::OutcomeUnknown);
    CHECK(Denied.Execution_ == Execution::Unknown);
  }
  SECTION("a non-idempotent request that was not sent is retried") {
    CHECK(isRetry(Policy.onFailure(
        makeAttempt(AttemptFailure::ConnectFailed, false), TimePoint(0s))));
  }
  SECTION("a non-idempotent request is not retried if an earlier attempt may "
          "have run") {
    FailedAttempt Attempt = makeAttempt(AttemptFailure::ConnectFailed, false);
    Attempt.MayHaveRunBefore_ = true;
    CHECK_FALSE(isRetry(Policy.onFailure(Attempt, TimePoint(0s))));
  }
  SECTION("an idempotent request is retried after a silent connection") {
    CHECK(isRetry(Policy.onFailure(
        makeAttempt(AttemptFailure::SilentConnection, true), TimePoint(0s))));
  }
  SECTION("past the deadline the refusal states whether the request ran") {
    const auto Decision = Policy.onFailure(
        makeAttempt(AttemptFailure::ConnectFailed, true), TimePoint(2s));
    REQUIRE_FALSE(isRetry(Decision));
    const Refusal &Denied = std::get<Refusal>(Decision);
    CHECK(Denied.Reason_ == RefusalReason::DeadlineExceeded);
    CHECK(Denied.Execution_ == Execution::NotRun);
  }
  SECTION("the number of attempts is bounded") {
    FailedAttempt Attempt = makeAttempt(AttemptFailure::ConnectFailed, true);
    Attempt.Attempts_ = RetryPolicyLimits{}.MaxAttempts_;
    CHECK_FALSE(isRetry(Policy.onFailure(Attempt, TimePoint(0s))));
  }
}

TEST_CASE("Retries against a failed backend server are bounded", "[retry]") {
  RetryPolicy Policy(RetryPolicyLimits{});
  const FailedAttempt Attempt =
      makeAttempt(AttemptFailure::ConnectFailed, true);
  constexpr int Requests = 1000;
  int ExtraAttempts = 0;
  for (int I = 0; I < Requests; ++I) {
    Policy.onFirstAttempt(Attempt.Class_, Attempt.Backend_);
    ExtraAttempts += isRetry(Policy.onFailure(Attempt, TimePoint(0s))) ? 1 : 0;
    ExtraAttempts += Policy.tryHedge(Attempt.Class_, Attempt.Backend_) ? 1 : 0;
  }
  const RetryBudgetLimits Budget;
  CHECK(ExtraAttempts <=
        Requests * Budget.RetriesPerRequest_ + Budget.InitialBalance_);
  CHECK(ExtraAttempts > 0);
}

TEST_CASE("The hedge delay follows the 95th percentile of latency", "[retry]") {
  HedgeDelay Delay{HedgeDelayLimits{}};
  SECTION("without answers it is the maximum") {
    CHECK(Delay.delay() == HedgeDelayLimits{}.Max_);
  }
  SECTION("it lies between the common and the slow latency") {
    for (int I = 0; I < 400; ++I)
      Delay.onAnswer(I % 20 == 0 ? Duration(100ms) : Duration(10ms));
    CHECK(Delay.delay() >= 10ms);
    CHECK(Delay.delay() <= 100ms);
  }
}
