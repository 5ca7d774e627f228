/// \file
/// Embeds a coordination part: a booking that runs at most once, and retries
/// within a budget.
#include "gooseberrybeam/idempotency/IdempotentCall.h"
#include "gooseberrybeam/retry/RetryPolicy.h"

#include <iostream>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

void showRetries() {
  RetryPolicy Policy{RetryPolicyLimits{}};
  FailedAttempt Attempt;
  Attempt.Class_ = ClassId{"availability"};
  Attempt.Backend_ = BackendId{"127.0.0.1:8000"};
  Attempt.Failure_ = AttemptFailure::ConnectionLost;
  Attempt.Idempotent_ = true;
  Attempt.Deadline_ = TimePoint(1s);
  Policy.onFirstAttempt(Attempt.Class_, Attempt.Backend_);
  const RetryDecision Decision = Policy.onFailure(Attempt, TimePoint(10ms));
  const bool IsRepeated = std::holds_alternative<RetryAgain>(Decision);
  std::cout << "lost availability check repeated: " << IsRepeated << "\n";
}

void showBooking() {
  IdempotentRequest Request;
  Request.RowKey_ = idempotencyRowKey(OrganisationId{"club"}, "key-1");
  Request.Fingerprint_ = requestFingerprint("POST", "/book", "slot 4");
  Request.Holder_ = "entry-1#1";
  Request.Nonce_ = "nonce-1";
  Request.Deadline_ = TimePoint(1s);
  IdempotentCall Call(Request, [](std::string_view) { return false; });
  const auto Insert = std::get<WriteIdempotencyRow>(Call.start());
  std::cout << "rows to insert: " << Insert.Transaction_.Writes_.size() << "\n";
  const auto Next = Call.onTransact(TableCommitted{7}, TimePoint(1ms));
  const bool MaySend = std::holds_alternative<SendToBackend>(Next);
  std::cout << "may send the booking: " << MaySend << "\n";
}

} // namespace

int main() {
  showRetries();
  showBooking();
}
