#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/PlainCall.h"
#include "gooseberrybeam/relayd/RelayResponse.h"

#include <algorithm>
#include <utility>

namespace gooseberry {
namespace {

/// A second copy of an idempotent request is sent after waiting this multiple
/// of the target latency of its route.
constexpr int HedgeTargetFactor = 2;

} // namespace

PlainCall::AttemptEnd::~AttemptEnd() {
  if (!Running_->Result_)
    Running_->Result_ = CallError{CallFailure::Internal, true};
  if (Running_->OnEnd_)
    Running_->OnEnd_();
}

PlainCall::~PlainCall() {
  for (const auto &Each : Running_)
    Each->OnEnd_ = nullptr;
}

// No attempt outlives the call, also if an exception ends the wait for them.
Task<void> PlainCall::runAttempts(const BackendEntry &Server) {
  Last_.reset();
  std::exception_ptr Thrown;
  try {
    co_await watchAttempts(Server);
  } catch (...) {
    Thrown = std::current_exception();
  }
  co_await cancelAttempts();
  if (Thrown)
    std::rethrow_exception(Thrown);
}

// Sends the request to a server and, while that is silent, to a second one.
// Ends with the first good answer, or when no attempt is under way.
Task<void> PlainCall::watchAttempts(const BackendEntry &Server) {
  CancelScope &Scope = Request_.Exchange_.scope();
  CancelScope::Guard Link(Scope, [this, &Scope] {
    cancelAll(Scope.reason().value_or(RefusalReason::ClientGone));
  });
  const Duration HedgeDelay =
      Request_.Route_.TargetLatency_ * HedgeTargetFactor;
  StallFailover Failover(HedgeDelay, HedgeDelay, readBootClock());
  start(Server);
  while (takeEnded() != AttemptOutcome::Answered && !Running_.empty()) {
    const Duration Wait =
        mayHedge() ? Failover.timeToSearch(readBootClock()) : Duration::max();
    if (Wait <= Duration::zero()) {
      co_await hedge(Failover);
      continue;
    }
    if (Wait == Duration::max())
      Wake_.expires_at(asio::steady_timer::time_point::max());
    else
      Wake_.expires_after(Wait);
    co_await Wake_.async_wait(AsTuple);
  }
}

void PlainCall::start(const BackendEntry &Server) {
  Retries_.countRequest();
  Retries_.sendReserved();
  TriedServers_.push_back(Server.Id_);
  ++SentAttempts_;
  auto Running = std::make_shared<Attempt>();
  Running->Server_ = Server;
  Running->OnEnd_ = [this] {
    Wake_.cancel();
    if (ChoiceScope_)
      ChoiceScope_->cancel(RefusalReason::BackendTimeout);
  };
  Running_.push_back(Running);
  if (const auto Reason = Request_.Exchange_.scope().reason())
    Running->Scope_.cancel(*Reason);
  spawnTask(Context_.IoContext_, "attempt", attempt(Running));
}

Task<void> PlainCall::attempt(std::shared_ptr<Attempt> Running) {
  const AttemptEnd End(Running);
  const ServerId &Id = Running->Server_.Id_;
  ServiceBalancer &Balancer = Context_.Balancers_[Request_.Service_];
  const TimePoint StartedAt = readBootClock();
  Balancer.onStart(Id, StartedAt);
  AttemptResult Result = co_await exchange(Running->Server_, Running->Scope_);
  AttemptOutcome Outcome = classify(Result);
  // A server that was silent for too long is avoided, whoever ended the call.
  if (Outcome == AttemptOutcome::Abandoned && Running->HasStalled_)
    Outcome = AttemptOutcome::Broken;
  Balancer.onEnd(Id, StartedAt, Outcome, readBootClock());
  const bool WasSent = isOk(Result) || errorOf(Result).MayHaveStarted_;
  SentAttempts_ -= WasSent ? 0 : 1;
  if (Outcome != AttemptOutcome::Answered)
    logLine(LogPart::Service, LogLevel::Info,
            "Attempt at backend server failed.",
            {{"request", Request_.Exchange_.id().Value_},
             {"server", Id.Value_},
             {"end", asCode(Outcome)},
             {"status", isOk(Result)
                            ? std::to_string(valueOf(Result).Head_.Status_)
                            : std::string(asCode(errorOf(Result).Failure_))},
             {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
  co_await reportOutcome(Running->Server_, Result, Outcome);
  Running->Result_ = std::move(Result);
}

// Removes attempts that have ended and keeps the result for the caller.
AttemptOutcome PlainCall::takeEnded() {
  for (const auto &Each : Running_)
    if (Each->Result_)
      keepResult(*Each);
  std::erase_if(Running_,
                [](const auto &Each) { return Each->Result_.has_value(); });
  return Last_ ? classify(*Last_) : AttemptOutcome::Abandoned;
}

// An answer of a server goes before a failure of another attempt.
void PlainCall::keepResult(Attempt &Ended) {
  AttemptResult &Result = *Ended.Result_;
  const bool HasRun = isOk(Result) ? !valueOf(Result).Info_.IsNotExecuted_
                                   : errorOf(Result).MayHaveStarted_;
  MayHaveRun_ = MayHaveRun_ || HasRun;
  const AttemptOutcome Known =
      Last_ ? classify(*Last_) : AttemptOutcome::Abandoned;
  const bool IsKept = Known == AttemptOutcome::Answered ||
                      (Known == AttemptOutcome::ServerError &&
                       classify(Result) != AttemptOutcome::Answered);
  if (IsKept)
    return;
  Last_ = std::move(Result);
  LastServer_ = Ended.Server_.Id_;
}

bool PlainCall::mayHedge() const {
  return Request_.Route_.mayRetry() && !mustAsk() &&
         SentAttempts_ < Request_.Route_.MaxServers_;
}

// If a server does not respond on one connection, its idle connections may not
// work either.
Task<void> PlainCall::hedge(StallFailover &Failover) {
  const bool IsNew = Failover.beginSearch();
  for (const auto &Each : Running_) {
    Each->HasStalled_ = true;
    if (IsNew)
      Context_.Pool_.discard(Each->Server_.Address_);
  }
  std::optional<BackendEntry> Server;
  if (Retries_.isAvailable() && !untriedServers().empty()) {
    CancelScope Scope;
    CancelScope::Guard Link(Request_.Exchange_.scope(), [&Scope] {
      Scope.cancel(RefusalReason::BackendTimeout);
    });
    ChoiceScope_ = &Scope;
    Server = co_await chooseServer(Scope);
    ChoiceScope_ = nullptr;
    if (Scope.isCancelled())
      Server.reset();
  }
  if (!Server || !Retries_.tryReserve()) {
    Failover.onDenied(Duration::zero(), readBootClock());
    co_return;
  }
  Failover.onGranted();
  Context_.Metrics_.addRetry(static_cast<std::size_t>(AttemptOutcome::Broken),
                             asCode(AttemptOutcome::Broken));
  start(*Server);
}

Task<void> PlainCall::cancelAttempts() {
  cancelAll(RefusalReason::BackendTimeout);
  for (takeEnded(); !Running_.empty(); takeEnded()) {
    Wake_.expires_at(asio::steady_timer::time_point::max());
    co_await Wake_.async_wait(AsTuple);
  }
}

void PlainCall::cancelAll(RefusalReason Reason) {
  for (const auto &Each : Running_)
    Each->Scope_.cancel(Reason);
}

} // namespace gooseberry
