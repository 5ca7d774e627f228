#include "gooseberrybeam/daemon/ServiceProxy.h"

#include "daemon/LedgerCall.h"
#include "gooseberrybeam/http/HopByHop.h"
#include "gooseberrybeam/log/Log.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr int HttpVersion = 11;
constexpr std::string_view KeyField = "Idempotency-Key";
constexpr std::string_view DeadlineField = "X-Request-Deadline-Ms";
constexpr std::string_view ClassField = "X-Request-Class";
constexpr std::string_view IdField = "X-Request-Id";

AttemptFailure asAttemptFailure(CallFailure Failure) {
  switch (Failure) {
  case CallFailure::Connect:
    return AttemptFailure::ConnectFailed;
  case CallFailure::Timeout:
    return AttemptFailure::SilentConnection;
  case CallFailure::Malformed:
    return AttemptFailure::ServerError;
  case CallFailure::Send:
  case CallFailure::Receive:
  case CallFailure::Cancelled:
  case CallFailure::Internal:
    break;
  }
  return AttemptFailure::ConnectionLost;
}

Refusal makeRefusal(RefusalReason Reason, bool MayHaveStarted) {
  return {Reason, MayHaveStarted ? Execution::Unknown : Execution::NotRun,
          std::nullopt};
}

} // namespace

ServiceProxy::ServiceProxy(WorkerContext &Worker) : Worker_(Worker) {}

HttpRequest ServiceProxy::makeRequest(CallerExchange &Exchange,
                                      const ServiceJob &Job) const {
  HttpRequest Request;
  Request.base() = Exchange.head();
  Request.version(HttpVersion);
  removeHopByHop(Request.base());
  const Duration Left = Exchange.deadline() - readBootClock();
  const auto Milliseconds = wholeMilliseconds(Left);
  Request.set(asBeast(DeadlineField),
              std::to_string(std::max<std::int64_t>(Milliseconds, 1)));
  Request.set(asBeast(IdField), Exchange.id().Value_);
  Request.erase(asBeast(ClassField));
  Request.body() = Job.Body_;
  Request.prepare_payload();
  return Request;
}

Task<std::optional<CallerError>> ServiceProxy::run(CallerExchange &Exchange,
                                                   ServiceJob Job) {
  const std::string_view Method = asStd(Exchange.head().method_string());
  const bool IsIdempotent = Job.Route_.isIdempotent(Method);
  const bool HasKey = Exchange.head().count(asBeast(KeyField)) > 0;
  if (!IsIdempotent && HasKey) {
    LedgerCall Call(Worker_, *this, Exchange, Job);
    co_return co_await Call.run();
  }
  auto Reply = co_await send(Exchange, Job);
  if (!isOk(Reply)) {
    CallerError Error = {errorOf(Reply), "", ""};
    co_await Exchange.refuse(Error);
    co_return Error;
  }
  HttpReply Value = takeValue(std::move(Reply));
  removeHopByHop(Value.Head_.Fields_);
  co_await Exchange.answer(Value.Head_.Status_, std::move(Value.Head_.Fields_),
                           std::move(Value.Body_));
  Worker_.State_.Metrics_.add(Count::AnswersService);
  co_return std::nullopt;
}

Task<Result<HttpReply, Refusal>> ServiceProxy::send(CallerExchange &Exchange,
                                                    const ServiceJob &Job) {
  const bool IsIdempotent =
      Job.Route_.isIdempotent(asStd(Exchange.head().method_string()));
  Attempts Of;
  for (;;) {
    const TimePoint Now = readBootClock();
    const auto Bar = findBar(Worker_.State_, Job.Identity_, Now);
    if (Bar)
      co_return makeRefusal(*Bar, Of.MayHaveStarted_);
    if (Exchange.scope().isCancelled())
      co_return makeRefusal(*Exchange.scope().reason(), Of.MayHaveStarted_);
    const auto Directory = Worker_.State_.Services_.read();
    const auto Server =
        Picker_.pick(Directory->find(Job.Route_.Service_), Of.Last_, Now);
    if (!Server)
      co_return makeRefusal(RefusalReason::NoBackendServer, Of.MayHaveStarted_);
    if (++Of.Count_ == 1)
      Worker_.Retries_.onFirstAttempt(Job.Class_.Name_, *Server);
    Of.Last_ = *Server;
    auto Reply = co_await attempt(Exchange, Job, *Server, IsIdempotent);
    if (isOk(Reply)) {
      Worker_.State_.Metrics_.observe(Latency::ServiceAnswer,
                                      readBootClock() - Exchange.arrival());
      co_return takeValue(std::move(Reply));
    }
    const auto Refused =
        onFailure(Exchange, Job, Of, errorOf(Reply), IsIdempotent);
    if (Refused)
      co_return *Refused;
  }
}

Task<ServiceProxy::Outcome> ServiceProxy::attempt(CallerExchange &Exchange,
                                                  const ServiceJob &Job,
                                                  BackendId Server,
                                                  bool IsIdempotent) {
  CallLimits Limits;
  const Duration Left = Exchange.deadline() - readBootClock();
  Limits.IdleTimeout_ =
      std::max(std::min(Worker_.Settings_.ServiceTimeout_, Left), Duration(1));
  // Work that may not be repeated runs to its end even if its caller has gone,
  // so that its outcome is known.
  CancelScope Own;
  CancelScope &Scope = IsIdempotent ? Exchange.scope() : Own;
  Picker_.onBegin(Server);
  auto Reply = co_await callHttp(Worker_.Pool_, Server,
                                 makeRequest(Exchange, Job), Limits, Scope);
  Picker_.onEnd(Server, !isOk(Reply), readBootClock());
  co_return std::move(Reply);
}

std::optional<Refusal> ServiceProxy::onFailure(const CallerExchange &Exchange,
                                               const ServiceJob &Job,
                                               Attempts &Of,
                                               const CallError &Error,
                                               bool IsIdempotent) {
  const AttemptFailure Failure = asAttemptFailure(Error.Failure_);
  FailedAttempt Attempt;
  Attempt.Class_ = Job.Class_.Name_;
  Attempt.Backend_ = Of.Last_;
  Attempt.Failure_ =
      Error.MayHaveStarted_ ? Failure : AttemptFailure::ConnectFailed;
  Attempt.Idempotent_ = IsIdempotent;
  Attempt.MayHaveRunBefore_ = Of.MayHaveStarted_;
  Attempt.Attempts_ = Of.Count_;
  Attempt.Deadline_ = Exchange.deadline();
  Of.MayHaveStarted_ |= Error.MayHaveStarted_;
  if (Error.Failure_ == CallFailure::Cancelled)
    return std::nullopt;
  if (Failure == AttemptFailure::SilentConnection)
    Worker_.State_.Metrics_.add(Count::SilentConnections);
  logLine(LogPart::Service, LogLevel::Warn, "Attempt failed.",
          {{"request", Exchange.id().Value_},
           {"organisation", Job.Identity_.Organisation_.Value_},
           {"backend_server", Of.Last_.Value_},
           {"reason", asCode(Failure)}});
  const auto Decision = Worker_.Retries_.onFailure(Attempt, readBootClock());
  if (const auto *Refused = std::get_if<Refusal>(&Decision))
    return *Refused;
  Worker_.State_.Metrics_.addRetry(static_cast<std::size_t>(Failure),
                                   asCode(Failure));
  return std::nullopt;
}

} // namespace gooseberry
