#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/GenerationCall.h"
#include "gooseberrybeam/relayd/RelayResponse.h"

#include <utility>

namespace gooseberry {
namespace {

constexpr int HttpOk = 200;
/// Another engine is searched for a prefill that takes longer; prompts take
/// about 100 ms.
constexpr Duration PrefillTimeout = std::chrono::milliseconds(700);
constexpr Duration ReleaseTimeout = std::chrono::seconds(1);
constexpr std::size_t MaxReleaseBody = std::size_t{64} << 10;
/// The answer of a prefill engine names the KV cache and little else.
constexpr std::size_t MaxPrefillBody = std::size_t{64} << 10;

Task<void> releaseHandle(RelayContext &Context, BackendId Address,
                         HttpRequest Request) {
  CancelScope Scope;
  CallLimits Limits;
  Limits.IdleTimeout_ = ReleaseTimeout;
  Limits.MaxBody_ = MaxReleaseBody;
  const auto Response = co_await callHttp(Context.Pool_, Address,
                                          std::move(Request), Limits, Scope);
  if (!isOk(Response))
    logLine(LogPart::Engine, LogLevel::Info,
            "KV cache handle was not released; the engine frees it on expiry.",
            {{"server", Address.Value_},
             {"failure", asCode(errorOf(Response).Failure_)}});
}

} // namespace

Task<GenerationCall::StepOutcome>
GenerationCall::prefill(const ChosenServer &Engine, std::string &KvSource) {
  CancelScope &Scope = Request_.Exchange_.scope();
  ServerTarget Target = makeTarget(Engine);
  Target.RequestInfo_.IsPrefill_ = true;
  const TimePoint Started = readBootClock();
  Retries_.countRequest();
  ++PrefillCalls_;
  EngineEvents_ = 0;
  const auto Search =
      watch(Engine, StallFailover(PrefillTimeout, PrefillTimeout, Started),
            HasArrived_);
  auto CallResult = co_await callServer(
      Context_, Request_, Target, Request_.timeLeft(), Search->callScope());
  if (Scope.isCancelled())
    co_return StepOutcome::Stopped;
  if (!isOk(CallResult)) {
    co_await reportFailure(Engine, errorOf(CallResult));
    co_return StepOutcome::Failed;
  }
  ServerResponse Response = takeValue(std::move(CallResult));
  CallLimits Limits;
  Limits.IdleTimeout_ = Request_.timeLeft();
  Limits.BodyTimeout_ = Request_.timeLeft();
  Limits.MaxBody_ = MaxPrefillBody;
  auto Body = co_await readBody(*Response.Connection_, Limits,
                                Context_.Pool_.bodies(), Search->callScope());
  if (Scope.isCancelled())
    co_return StepOutcome::Stopped;
  if (!isOk(Body)) {
    co_await reportFailure(Engine, errorOf(Body));
    co_return StepOutcome::Failed;
  }
  Context_.Pool_.release(Engine.Address_, std::move(Response.Connection_));
  if (Response.Info_.IsNotExecuted_)
    co_return StepOutcome::Rejected;
  const auto Prompt =
      Context_.Protocol_.parsePrefillResponse(valueOf(Body).Text_);
  if (Response.Head_.Status_ != HttpOk || !Prompt) {
    report(GenerationStep::ServerFailed, Engine);
    co_return StepOutcome::Failed;
  }
  Context_.Metrics_.add(Count::PrefillTokens, Prompt->Tokens_);
  report(GenerationStep::Prefilled, Engine, Request_.CallerInfo_.PromptTokens_,
         readBootClock() - Started);
  PrefilledAt_ = readBootClock();
  releaseReplacement();
  KvSource =
      Context_.Protocol_.formatKvSource(Engine.Address_, Prompt->Handle_);
  if (Scope.isCancelled()) {
    releaseHandleAsync(Engine.Address_, Prompt->Handle_);
    co_return StepOutcome::Stopped;
  }
  co_return StepOutcome::Succeeded;
}

void GenerationCall::releaseHandleAsync(const BackendId &Address,
                                        const std::string &Handle) {
  spawnTask(Context_.IoContext_, "release of a handle",
            releaseHandle(Context_, Address,
                          Context_.Protocol_.makeReleaseRequest(Handle)));
}

Task<bool> GenerationCall::prepareKv(const PlacementGrant &Grant,
                                     std::string &KvSource) {
  if (!Grant.Prefill_)
    co_return true;
  const bool HasRetryBudget = PrefillCalls_ == 0 || Retries_.trySend();
  if (!HasRetryBudget)
    co_return true; // The decode engine computes the prefill instead.
  const StepOutcome Outcome = co_await prefill(*Grant.Prefill_, KvSource);
  if (Outcome == StepOutcome::Succeeded)
    co_return true;
  if (Outcome == StepOutcome::Stopped)
    co_return false;
  const bool IsLeft = Replacement_ && Outcome == StepOutcome::Failed;
  if (Outcome == StepOutcome::Rejected)
    report(GenerationStep::ServerFull, *Grant.Prefill_);
  logLine(LogPart::Engine, LogLevel::Info,
          "Prefill failed; engine excluded for this request.",
          {{"request", Request_.Exchange_.id().Value_},
           {"server", Grant.Prefill_->Id_.Value_},
           {"end", Outcome == StepOutcome::Rejected ? "rejected"
                   : IsLeft                         ? "silent"
                                                    : "broken"},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
  ExcludedServers_.push_back(Grant.Prefill_->Id_);
  HasArrived_ = true;
  co_return false;
}

} // namespace gooseberry
