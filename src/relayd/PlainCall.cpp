#include "gooseberrybeam/relayd/PlainCall.h"

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayResponse.h"
#include "gooseberrybeam/relayd/ServerCrashCheck.h"
#include "relayd/ScopedWait.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr int FirstServerError = 500;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
/// Sent to callers when all servers are full or unavailable.
constexpr Duration RetryAfterFull = std::chrono::milliseconds(100);
/// Time between two questions of a request that waits for another one's trial.
constexpr Duration TrialPollInterval = std::chrono::milliseconds(50);
/// Sent to callers whose request has waited for another one's trial.
constexpr Duration RetryAfterTrial = std::chrono::milliseconds(500);
constexpr std::size_t MaxBodyBytes = std::size_t{8} << 20;

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

} // namespace

std::vector<const BackendEntry *> PlainCall::usableServers() const {
  std::vector<const BackendEntry *> Servers;
  const RegionRestriction Regions = Request_.regions();
  for (const auto &[Id, Entry] : Context_.Directory_.entries())
    if (Entry.Service_ == Request_.Service_ &&
        Context_.Directory_.takesRequests(Entry, Regions))
      Servers.push_back(&Entry);
  return Servers;
}

std::vector<const BackendEntry *> PlainCall::untriedServers() const {
  std::vector<const BackendEntry *> Servers = usableServers();
  std::erase_if(Servers, [this](const BackendEntry *Each) {
    return std::find(TriedServers_.begin(), TriedServers_.end(), Each->Id_) !=
           TriedServers_.end();
  });
  return Servers;
}

// None if there is no server that takes a request later on.
std::optional<Duration> PlainCall::timeUntilAvailable(
    std::span<const BackendEntry *const> Servers) const {
  std::optional<Duration> Least;
  const TimePoint Now = readBootClock();
  for (const BackendEntry *Each : Servers) {
    const Duration Wait =
        std::max(Duration::zero(), Context_.availableAt(Each->Id_) - Now);
    Least = std::min(Least.value_or(Wait), Wait);
  }
  return Least;
}

// An answer to a request that starts later cannot meet its target.
TimePoint PlainCall::latestStart() const {
  return Request_.Exchange_.arrival() + Request_.Route_.TargetLatency_ / 2;
}

// Waits for a server that takes a request, if the answer can still meet its
// target then.
Task<std::optional<BackendEntry>> PlainCall::chooseServer(CancelScope &Scope) {
  while (!Scope.isCancelled()) {
    auto Servers = untriedServers();
    std::erase_if(Servers, [this](const BackendEntry *Each) {
      return Context_.availableAt(Each->Id_) > readBootClock();
    });
    if (Servers.empty()) {
      const auto Wait = timeUntilAvailable(untriedServers());
      if (!Wait || readBootClock() + *Wait > latestStart())
        co_return std::nullopt;
      co_await waitFor(Context_.IoContext_, *Wait, Scope);
      continue;
    }
    BackendEntry Server = Context_.Balancers_[Request_.Service_].choose(
        Servers, Context_.Settings_.DataCentre_, readBootClock());
    const bool MayCall =
        co_await Context_.Home_.mayCallServer(Server.Id_, Scope);
    if (MayCall)
      co_return Server;
  }
  co_return std::nullopt;
}

Task<PlainCall::AttemptResult> PlainCall::exchange(const BackendEntry &Server,
                                                   CancelScope &Scope) {
  ServerTarget Target;
  Target.Address_ = Server.Address_;
  Target.RequestInfo_.Server_ = Server.Id_;
  Target.RequestInfo_.Organisation_ = Request_.organisationName();
  Target.RequestInfo_.TimeLeft_ = Request_.timeLeft();
  auto CallResult = co_await callServer(Context_, Request_, Target,
                                        Request_.timeLeft(), Scope);
  if (!isOk(CallResult))
    co_return errorOf(CallResult);
  ServerResponse Response = takeValue(std::move(CallResult));
  CallLimits Limits;
  Limits.IdleTimeout_ = Request_.timeLeft();
  Limits.BodyTimeout_ = Request_.timeLeft();
  Limits.MaxBody_ = MaxBodyBytes;
  auto Body = co_await readBody(*Response.Connection_, Limits,
                                Context_.Pool_.bodies(), Scope);
  if (!isOk(Body))
    co_return errorOf(Body);
  Context_.Pool_.release(Target.Address_, std::move(Response.Connection_));
  co_return BufferedResponse{std::move(Response.Head_), Response.Info_,
                             takeValue(std::move(Body))};
}

AttemptOutcome PlainCall::classify(const AttemptResult &Attempt) const {
  if (!isOk(Attempt))
    return errorOf(Attempt).Failure_ == CallFailure::Cancelled
               ? AttemptOutcome::Abandoned
               : AttemptOutcome::Broken;
  const BufferedResponse &Response = valueOf(Attempt);
  if (Response.Info_.IsNotExecuted_)
    return AttemptOutcome::Rejected;
  // The caller would send it again, although it may have run.
  if (Response.Info_.MeansNotRun_ && !Request_.Route_.mayRetry())
    return AttemptOutcome::Broken;
  if (Response.Head_.Status_ >= FirstServerError)
    return AttemptOutcome::ServerError;
  const bool IsFromServer =
      Response.Info_.IsSigned_ && !Response.Info_.IsEncoded_;
  if (isSuccess(Response.Head_.Status_) && !IsFromServer)
    return AttemptOutcome::Broken;
  return AttemptOutcome::Answered;
}

bool PlainCall::mustAsk() const {
  return HasCrashedServer_ || Context_.Home_.isSuspect(Request_.Fingerprint_);
}

// Waits while another request like this is on trial, as long as the answer can
// still meet its target.
Task<CrashAdmission> PlainCall::admit() {
  CancelScope &Scope = Request_.Exchange_.scope();
  while (mustAsk()) {
    const CrashAdmission Admission = co_await Context_.Home_.admit(
        Request_.Exchange_.id(), Request_.Fingerprint_, Scope);
    IsOnTrial_ = Admission == CrashAdmission::Trial;
    const bool MayWait = !Scope.isCancelled() &&
                         readBootClock() + TrialPollInterval <= latestStart();
    if (Admission != CrashAdmission::Held || !MayWait)
      co_return Admission;
    co_await waitFor(Context_.IoContext_, TrialPollInterval, Scope);
  }
  co_return CrashAdmission::Free;
}

void PlainCall::endTrial(TrialOutcome Outcome) {
  IsOnTrial_ = false;
  Context_.Home_.report(
      TrialReport{Request_.Exchange_.id(), Request_.Fingerprint_, Outcome, {}});
}

Task<void> PlainCall::reportOutcome(const BackendEntry &Server,
                                    const AttemptResult &Attempt,
                                    AttemptOutcome Outcome) {
  const bool HasCrashed =
      !isOk(Attempt) && co_await hasServerCrashed(
                            Context_.Pool_, Server.Address_, errorOf(Attempt));
  if (HasCrashed) {
    HasCrashedServer_ = true;
    IsOnTrial_ = false;
    Context_.Home_.report(TrialReport{Request_.Exchange_.id(),
                                      Request_.Fingerprint_,
                                      TrialOutcome::Crashed, Server.Id_});
  } else if (Outcome == AttemptOutcome::Answered && mustAsk()) {
    endTrial(TrialOutcome::Answered);
  } else if (IsOnTrial_) {
    endTrial(TrialOutcome::Ended);
  }
}

bool PlainCall::mayRetry(AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Answered ||
      Outcome == AttemptOutcome::Abandoned)
    return false;
  if (MayHaveRun_ && !Request_.Route_.mayRetry())
    return false;
  if (SentAttempts_ >= Request_.Route_.MaxServers_ || untriedServers().empty())
    return false;
  return Retries_.tryReserve();
}

Task<void> PlainCall::run() {
  AttemptOutcome Outcome = AttemptOutcome::Rejected;
  CrashAdmission Admission = CrashAdmission::Free;
  for (;;) {
    Admission = co_await admit();
    if (Admission >= CrashAdmission::Held)
      break;
    const auto Server = co_await chooseServer(Request_.Exchange_.scope());
    if (!Server)
      break;
    co_await runAttempts(*Server);
    Outcome = classify(*Last_);
    if (!mayRetry(Outcome))
      break;
    Context_.Metrics_.addRetry(static_cast<std::size_t>(Outcome),
                               asCode(Outcome));
  }
  if (IsOnTrial_)
    endTrial(TrialOutcome::Ended);
  const bool IsRelayed = Outcome == AttemptOutcome::Answered ||
                         Outcome == AttemptOutcome::ServerError;
  if (Last_ && IsRelayed) {
    BufferedResponse Response = takeValue(std::move(*Last_));
    co_await relayResponse(std::move(Response));
    co_return;
  }
  if (Admission >= CrashAdmission::Held && !MayHaveRun_)
    co_await refuseSuspect(Admission);
  else if (!Last_)
    co_await refuseUnsent();
  else
    co_await refuseAfterFailure(*Last_);
}

Task<void> PlainCall::refuseUnsent() {
  const auto Wait = timeUntilAvailable(usableServers());
  co_await refuse(
      Context_, Request_.Exchange_,
      {Wait ? RefusalReason::QueueFull : RefusalReason::NoBackendServer,
       Execution::NotRun, std::max(RetryAfterFull, Wait.value_or(Duration()))},
      Wait ? "all backend servers of the service want no request now"
           : "no backend server of the service may get the request");
}

Task<void> PlainCall::refuseSuspect(CrashAdmission Admission) {
  if (Admission == CrashAdmission::Quarantined)
    co_await refuse(Context_, Request_.Exchange_,
                    {RefusalReason::PromptQuarantined, Execution::NotRun, {}},
                    "quarantined request " +
                        formatFingerprint(Request_.Fingerprint_));
  else
    co_await refuse(
        Context_, Request_.Exchange_,
        {RefusalReason::QueueFull, Execution::NotRun, RetryAfterTrial},
        "waited for the trial of request " +
            formatFingerprint(Request_.Fingerprint_));
}

Task<void> PlainCall::relayResponse(BufferedResponse Response) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (Context_.isDraining())
    Exchange.closeAfter();
  Context_.Metrics_.add(Count::AnswersService);
  Context_.Metrics_.observe(Latency::ServiceAnswer,
                            readBootClock() - Exchange.arrival());
  co_await Exchange.answer(Response.Head_.Status_,
                           relayedFields(Response.Head_),
                           std::move(Response.Body_.Text_));
  logLine(
      LogPart::Service, LogLevel::Info, "Response sent.",
      {{"request", Exchange.id().Value_},
       {"route", Request_.Route_.Name_},
       {"organisation", Request_.organisationName().Value_},
       {"server", LastServer_.Value_},
       {"attempts", std::to_string(TriedServers_.size())},
       {"status", std::to_string(Response.Head_.Status_)},
       {"configuration", std::to_string(Request_.Configuration_->version())},
       {"elapsed_ms", elapsedMs(Exchange)}});
}

Task<void> PlainCall::refuseAfterFailure(const AttemptResult &LastAttempt) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!MayHaveRun_) {
    const Duration Wait =
        timeUntilAvailable(usableServers()).value_or(Duration());
    co_await refuse(Context_, Exchange,
                    {RefusalReason::QueueFull, Execution::NotRun,
                     std::max(RetryAfterFull, Wait)},
                    "no backend server accepted the request");
    co_return;
  }
  RefusalReason Reason = RefusalReason::BackendFailed;
  const bool HasTimedOut =
      !isOk(LastAttempt) &&
      (errorOf(LastAttempt).Failure_ == CallFailure::Timeout ||
       errorOf(LastAttempt).Failure_ == CallFailure::Cancelled);
  if (HasTimedOut)
    Reason = RefusalReason::BackendTimeout;
  if (Exchange.scope().reason() == RefusalReason::ClientGone)
    Reason = RefusalReason::ClientGone;
  co_await refuse(Context_, Exchange, {Reason, Execution::Unknown, {}},
                  "last attempt failed after the request may have run");
}

} // namespace gooseberry
