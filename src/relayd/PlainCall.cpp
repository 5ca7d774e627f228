#include "gooseberrybeam/relayd/PlainCall.h"

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayAnswer.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr int FirstServerError = 500;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
/// Told to callers when all servers are full or gone.
constexpr Duration RetryAfterFull = std::chrono::milliseconds(100);
/// An idempotent request that waits this many times its target for an answer
/// is sent to another server.
constexpr int PatienceTargets = 2;
constexpr std::size_t MaxBody = std::size_t{8} << 20;

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

std::string_view codeOf(AttemptOutcome End) {
  constexpr std::string_view Codes[] = {"answered", "server_error", "rejected",
                                        "broken", "abandoned"};
  return Codes[static_cast<std::size_t>(End)];
}

} // namespace

std::vector<const BackendEntry *> PlainCall::candidates() const {
  std::vector<const BackendEntry *> Out;
  for (const auto &[Id, Entry] : Context_.Directory_.entries()) {
    const bool IsTried =
        std::find(Tried_.begin(), Tried_.end(), Id) != Tried_.end();
    if (Entry.Service_ == Request_.Service_ && !Entry.IsLeaving_ && !IsTried)
      Out.push_back(&Entry);
  }
  return Out;
}

Task<PlainCall::Attempt> PlainCall::exchange(const BackendEntry &Server) {
  ServerTarget Target;
  Target.Address_ = Server.Address_;
  Target.Order_.Server_ = Server.Id_;
  Target.Order_.Organisation_ = Request_.organisationName();
  Target.Order_.TimeLeft_ = Request_.timeLeft();
  CancelScope &Scope = Request_.Exchange_.scope();
  Duration Patience = Request_.timeLeft();
  const bool MayMove =
      Request_.Route_.mayRetry() && Sent_ < Request_.Route_.MaxServers_;
  if (MayMove)
    Patience =
        std::min(Patience, Request_.Route_.TargetLatency_ * PatienceTargets);
  auto Started =
      co_await callServer(Context_, Request_, Target, Patience, Scope);
  if (!isOk(Started))
    co_return errorOf(Started);
  ServerAnswer Answer = takeValue(std::move(Started));
  CallLimits Limits;
  Limits.IdleTimeout_ = Request_.timeLeft();
  Limits.MaxBody_ = MaxBody;
  auto Body = co_await readBody(*Answer.Connection_, Limits, Scope);
  if (!isOk(Body))
    co_return errorOf(Body);
  Context_.Pool_.release(Target.Address_, std::move(Answer.Connection_));
  co_return WholeAnswer{std::move(Answer.Head_), Answer.Facts_,
                        takeValue(std::move(Body))};
}

AttemptOutcome PlainCall::endOf(const Attempt &Outcome) const {
  if (!isOk(Outcome))
    return errorOf(Outcome).Failure_ == CallFailure::Cancelled
               ? AttemptOutcome::Abandoned
               : AttemptOutcome::Broken;
  const WholeAnswer &Answer = valueOf(Outcome);
  if (Answer.Facts_.IsNotRun_)
    return AttemptOutcome::Rejected;
  if (Answer.Head_.Status_ >= FirstServerError)
    return AttemptOutcome::ServerError;
  const bool IsOwnSuccess =
      Answer.Facts_.IsSigned_ && !Answer.Facts_.IsEncoded_;
  if (isSuccess(Answer.Head_.Status_) && !IsOwnSuccess)
    return AttemptOutcome::Broken;
  return AttemptOutcome::Answered;
}

Task<PlainCall::Attempt> PlainCall::attempt(const BackendEntry &Server) {
  const ServerId Id = Server.Id_;
  ServiceBalancer &Balancer = Context_.Balancers_[Request_.Service_];
  const TimePoint Started = readBootClock();
  Tried_.push_back(Id);
  ++Sent_;
  Balancer.onStart(Id, Started);
  Attempt Outcome = co_await exchange(Server);
  const AttemptOutcome End = endOf(Outcome);
  Balancer.onEnd(Id, Started, End, readBootClock());
  const bool WasSent = isOk(Outcome) || errorOf(Outcome).MayHaveStarted_;
  Sent_ -= WasSent ? 0 : 1;
  if (End != AttemptOutcome::Answered)
    logLine(LogPart::Service, LogLevel::Info, "Attempt failed.",
            {{"request", Request_.Exchange_.id().Value_},
             {"server", Id.Value_},
             {"end", codeOf(End)},
             {"status", isOk(Outcome)
                            ? std::to_string(valueOf(Outcome).Head_.Status_)
                            : std::string(asCode(errorOf(Outcome).Failure_))},
             {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
  co_return Outcome;
}

bool PlainCall::mayTryAgain(AttemptOutcome End, bool MayHaveRun) {
  if (End == AttemptOutcome::Answered || End == AttemptOutcome::Abandoned)
    return false;
  if (MayHaveRun && !Request_.Route_.mayRetry())
    return false;
  if (Sent_ >= Request_.Route_.MaxServers_ || candidates().empty())
    return false;
  return Context_.repeatsOf(Request_.Service_)
      .tryRetry(Context_.Home_.instanceCount(), readBootClock());
}

Task<void> PlainCall::run() {
  Context_.repeatsOf(Request_.Service_).onRequest(readBootClock());
  bool MayHaveRun = false;
  for (;;) {
    const auto Servers = candidates();
    if (Servers.empty()) {
      co_await refuse(
          Context_, Request_.Exchange_,
          {RefusalReason::NoBackendServer, Execution::NotRun, RetryAfterFull},
          "no server registered");
      co_return;
    }
    const BackendEntry Server = Context_.Balancers_[Request_.Service_].choose(
        Servers, Context_.Settings_.DataCentre_, readBootClock());
    Attempt Outcome = co_await attempt(Server);
    const AttemptOutcome End = endOf(Outcome);
    const bool HasRun = isOk(Outcome) ? !valueOf(Outcome).Facts_.IsNotRun_
                                      : errorOf(Outcome).MayHaveStarted_;
    MayHaveRun = MayHaveRun || HasRun;
    if (mayTryAgain(End, MayHaveRun)) {
      Context_.Metrics_.addRetry(static_cast<std::size_t>(End), codeOf(End));
      continue;
    }
    const bool IsRelayed =
        End == AttemptOutcome::Answered || End == AttemptOutcome::ServerError;
    if (IsRelayed)
      co_await answer(valueOf(Outcome));
    else
      co_await fail(Outcome, MayHaveRun);
    co_return;
  }
}

Task<void> PlainCall::answer(const WholeAnswer &Answer) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (Context_.IsDraining_)
    Exchange.closeAfter();
  Context_.Metrics_.add(Count::AnswersService);
  Context_.Metrics_.observe(Latency::ServiceAnswer,
                            readBootClock() - Exchange.arrival());
  co_await Exchange.answer(Answer.Head_.Status_, relayedFields(Answer.Head_),
                           Answer.Body_);
  logLine(
      LogPart::Service, LogLevel::Info, "Request answered.",
      {{"request", Exchange.id().Value_},
       {"route", Request_.Route_.Name_},
       {"organisation", Request_.organisationName().Value_},
       {"server", Tried_.back().Value_},
       {"attempts", std::to_string(Tried_.size())},
       {"status", std::to_string(Answer.Head_.Status_)},
       {"configuration", std::to_string(Request_.Configuration_->version())},
       {"elapsed_ms", elapsedMs(Exchange)}});
}

Task<void> PlainCall::fail(const Attempt &Last, bool MayHaveRun) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!MayHaveRun) {
    co_await refuse(
        Context_, Exchange,
        {RefusalReason::QueueFull, Execution::NotRun, RetryAfterFull},
        "no server took it");
    co_return;
  }
  RefusalReason Reason = RefusalReason::BackendFailed;
  const bool HasTimedOut =
      !isOk(Last) && (errorOf(Last).Failure_ == CallFailure::Timeout ||
                      errorOf(Last).Failure_ == CallFailure::Cancelled);
  if (HasTimedOut)
    Reason = RefusalReason::BackendTimeout;
  if (Exchange.scope().reason() == RefusalReason::ClientGone)
    Reason = RefusalReason::ClientGone;
  co_await refuse(Context_, Exchange, {Reason, Execution::Unknown, {}},
                  "the last attempt failed");
}

} // namespace gooseberry
