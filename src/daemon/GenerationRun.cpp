#include "gooseberrybeam/daemon/GenerationRun.h"

#include "daemon/EngineAttempt.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace gooseberry {
namespace {

constexpr Duration DefaultFirstToken = std::chrono::seconds(10);
constexpr Duration DefaultBetweenTokens = std::chrono::milliseconds(200);
constexpr std::string_view FinishedByLength = "length";
constexpr int CancelAttempts = 3;
constexpr Duration CancelPause = std::chrono::milliseconds(100);
// Engines run smaller priorities sooner.
constexpr int UrgentPriority = 0;
constexpr int WaitingPriority = 1;

Task<void> cancelOnEngine(WorkerContext &Worker, BackendId Engine,
                          RequestId Request, std::string Holder,
                          std::shared_ptr<ActiveMark> /*Active*/) {
  asio::steady_timer Pause(Worker.Context_);
  for (int Attempt = 0; Attempt != CancelAttempts; ++Attempt) {
    Worker.State_.Metrics_.add(Count::CancelsSent);
    const auto Freed = co_await Worker.Engines_.cancel(Engine, Request, Holder);
    if (isOk(Freed))
      co_return;
    Pause.expires_after(CancelPause);
    co_await Pause.async_wait(AsTuple);
  }
  logLine(LogPart::Engine, LogLevel::Warn, "Cancel was not confirmed.",
          {{"request", Request.Value_}, {"backend_server", Engine.Value_}});
}

/// \param Expected the usual time of this prefill.
/// \returns after what time without a byte its connection counts as silent;
/// long enough for prefills that the engine has queued before it.
Duration prefillIdleTimeout(Duration Expected) {
  constexpr int QueuedPrefills = 10;
  constexpr Duration Slack = std::chrono::seconds(2);
  return QueuedPrefills * Expected + Slack;
}

} // namespace

GenerationRun::GenerationRun(WorkerContext &Worker, CallerExchange &Exchange,
                             GenerationJob Job)
    : Worker_(Worker), Exchange_(Exchange), Job_(std::move(Job)),
      Answer_(Exchange, Job_.Request_),
      Mailbox_(
          std::make_shared<PlacementMailbox>(Worker.Context_.get_executor())),
      Active_(std::make_shared<ActiveMark>(Worker, Exchange.id())) {}

GenerationSpec GenerationRun::makeWork() const {
  const WorkClass &Class = Job_.Class_;
  const Organisation *Of = Job_.Identity_.Configuration_->findOrganisation(
      Job_.Identity_.Organisation_.Value_);
  GenerationSpec Item;
  Item.Request_ = Exchange_.id();
  Item.Organisation_ = Job_.Identity_.Organisation_;
  Item.OrganisationRate_ = Of ? Of->RateTokensPerSecond_ : 1;
  Item.Targets_.FirstToken_ =
      Class.FirstTokenTarget_.value_or(DefaultFirstToken);
  Item.Targets_.BetweenTokens_ =
      Class.BetweenTokensTarget_.value_or(DefaultBetweenTokens);
  Item.Targets_.MayWait_ = Class.MayWait_;
  Item.Model_ = Job_.Request_.Model_;
  Item.PromptTokens_ = Job_.PromptTokens_;
  Item.MaxOutputTokens_ = Job_.MaxTokens_;
  Item.PrefixHashes_ = hashPromptPrefixes(Job_.Request_.Prompt_);
  Item.Arrival_ = Exchange_.arrival();
  Item.Deadline_ = Exchange_.deadline();
  return Item;
}

void GenerationRun::report(ProgressKind Kind, std::uint32_t Tokens,
                           Duration Took) {
  GenerationProgress Progress = {Exchange_.id(), Kind, Tokens, Took};
  Worker_.tellDesk([Moved = std::move(Progress)](GenerationDesk &Desk) {
    Desk.report(Moved);
  });
}

GenerationRun::Step GenerationRun::refuse(RefusalReason Reason,
                                          std::optional<Duration> RetryAfter) {
  const Execution Ran =
      MayHaveStarted_ ? Execution::Unknown : Execution::NotRun;
  End_.Error_ = CallerError{{Reason, Ran, RetryAfter}, "", ""};
  return Step::Finished;
}

GenerationRun::Step GenerationRun::refuseCancelled() {
  return refuse(*Exchange_.scope().reason());
}

Task<GenerationEnd> GenerationRun::run() {
  Worker_.tellDesk([Item = makeWork(), Box = Mailbox_](GenerationDesk &Desk) {
    Desk.submit(Item, Box);
  });
  Step Next = Step::NextAction;
  while (Next == Step::NextAction) {
    const auto Action = co_await Mailbox_->next(Exchange_.scope());
    if (!Action) {
      Next = refuseCancelled();
      break;
    }
    Next = co_await perform(*Action);
  }
  cleanUp();
  if (End_.Error_)
    co_await Answer_.fail(*End_.Error_);
  co_return End_;
}

Task<GenerationRun::Step> GenerationRun::perform(const DispatchAction &Action) {
  if (const auto *Refused = std::get_if<RefuseGeneration>(&Action))
    co_return refuse(Refused->Refusal_.Reason_, Refused->Refusal_.RetryAfter_);
  const auto Bar = findBar(Worker_.State_, Job_.Identity_, readBootClock());
  if (Bar)
    co_return refuse(*Bar);
  if (const auto *Move = std::get_if<MoveTransfer>(&Action))
    co_return co_await decode(Move->Decode_);
  if (const auto *Start = std::get_if<StartGeneration>(&Action))
    co_return co_await start(*Start);
  co_return Step::NextAction;
}

Task<GenerationRun::Step> GenerationRun::start(StartGeneration Action) {
  dropKv();
  // Only the end of the stream was lost.
  if (Assembler_.tokenCount() >= Job_.MaxTokens_)
    co_return co_await complete(FinishedByLength);
  ++Attempts_;
  if (Attempts_ == 1) {
    Worker_.State_.Metrics_.observe(Latency::QueueWait,
                                    readBootClock() - Exchange_.arrival());
    Worker_.Retries_.onFirstAttempt(Job_.Class_.Name_, Action.Prefill_);
  }
  PrefillCall Call;
  Call.Request_ = Exchange_.id();
  Call.Model_ = Job_.Request_.Model_;
  Call.Prompt_ = Job_.Request_.Prompt_;
  Call.GeneratedTokens_ = Assembler_.tokenCount();
  Call.Priority_ = Job_.Class_.MayWait_ ? WaitingPriority : UrgentPriority;
  const TimePoint Since = readBootClock();
  Call.Deadline_ = Exchange_.deadline() - Since;
  Call.IdleTimeout_ = prefillIdleTimeout(Worker_.PrefillSpeed_.prefillTime(
      Job_.PromptTokens_ + Assembler_.tokenCount()));
  CancelScope Scope;
  CancelScope::Guard Link(Exchange_.scope(), [this, &Scope] {
    Scope.cancel(*Exchange_.scope().reason());
  });
  PlacementMailbox::Interruptible Interrupt(*Mailbox_, Scope);
  Touched_.insert(Action.Prefill_);
  auto Done = co_await Worker_.Engines_.prefill(Action.Prefill_, Call, Scope);
  Interrupt.end();
  if (!isOk(Done))
    co_return onPrefillError(Action.Prefill_, errorOf(Done));
  MayHaveStarted_ = true;
  Kv_ = takeValue(std::move(Done));
  PrefillEngine_ = Action.Prefill_;
  End_.PromptTokens_ = std::max(End_.PromptTokens_, Job_.PromptTokens_);
  const std::uint32_t Computed =
      Kv_->PromptTokens_ - std::min(Kv_->CachedTokens_, Kv_->PromptTokens_);
  Worker_.State_.Metrics_.add(Count::PrefillTokens, Computed);
  const Duration Took = readBootClock() - Since;
  Worker_.PrefillSpeed_.learnPrefill(Computed, Took);
  report(ProgressKind::PrefillDone, Computed, Took);
  co_return co_await decode(Action.Decode_);
}

Task<GenerationRun::Step> GenerationRun::decode(BackendId Engine) {
  if (!Kv_) {
    report(ProgressKind::KvGone, 0, {});
    co_return Step::NextAction;
  }
  Attempt_ = Assembler_.beginAttempt();
  DecodeCall Call;
  Call.Request_ = Exchange_.id();
  Call.Model_ = Job_.Request_.Model_;
  Call.Source_ = PrefillEngine_;
  Call.Kv_ = Kv_->Kv_;
  Call.MaxTokens_ = Job_.MaxTokens_ - Attempt_.FirstIndex_;
  Call.FirstIndex_ = Attempt_.FirstIndex_;
  Call.Priority_ = Job_.Class_.MayWait_ ? WaitingPriority : UrgentPriority;
  CancelScope Scope;
  CancelScope::Guard Link(Exchange_.scope(), [this, &Scope] {
    Scope.cancel(*Exchange_.scope().reason());
  });
  PlacementMailbox::Interruptible Interrupt(*Mailbox_, Scope);
  DecodeSince_ = readBootClock();
  IsImported_ = false;
  Touched_.insert(Engine);
  auto Made = co_await Worker_.Engines_.decode(Engine, Call, Scope);
  if (!isOk(Made))
    co_return onDecodeError(Engine, errorOf(Made));
  const auto Stream = takeValue(std::move(Made));
  co_return co_await relay(*Stream, Engine, Scope, Interrupt);
}

Task<GenerationRun::Step>
GenerationRun::relay(DecodeStream &Stream, BackendId Engine, CancelScope &Scope,
                     PlacementMailbox::Interruptible &Interrupt) {
  for (;;) {
    const auto Batch = co_await Stream.next(Scope);
    if (!isOk(Batch))
      co_return onDecodeError(Engine, errorOf(Batch));
    const DecodeDone *Done = nullptr;
    for (const DecodeEvent &Event : valueOf(Batch)) {
      if (std::holds_alternative<DecodeImported>(Event)) {
        Interrupt.end();
        onImported();
      } else if (const auto *Token = std::get_if<DecodeToken>(&Event)) {
        if (!onToken(*Token))
          co_return onDecodeError(Engine, {EngineFailure::Malformed, true});
      } else if (const auto *Failed = std::get_if<DecodeFailed>(&Event)) {
        co_return onDecodeError(Engine, {Failed->Failure_, true});
      } else {
        Done = std::get_if<DecodeDone>(&Event);
      }
    }
    if (Done)
      co_return co_await finish(*Done, Engine);
    const bool IsTaken = co_await Answer_.flush();
    if (!IsTaken)
      co_return refuseCancelled();
  }
}

void GenerationRun::onImported() {
  IsImported_ = true;
  Kv_.reset();
  // The decode engine's import has released the source.
  Touched_.erase(PrefillEngine_);
  report(ProgressKind::Imported, 0, readBootClock() - DecodeSince_);
}

bool GenerationRun::onToken(const DecodeToken &Token) {
  const auto Verdict =
      Assembler_.onToken(Attempt_.Attempt_, Token.Index_, Token.Text_);
  if (Verdict == AssemblyOutcome::Gap)
    return false;
  if (Verdict != AssemblyOutcome::Accepted)
    return true;
  Answer_.add(Token.Text_);
  const TimePoint Now = readBootClock();
  const bool IsFirst = Assembler_.tokenCount() == 1;
  Worker_.State_.Metrics_.observe(
      IsFirst ? Latency::FirstToken : Latency::BetweenTokens,
      Now - (IsFirst ? Exchange_.arrival() : LastToken_));
  Worker_.State_.Metrics_.add(Count::TokensStreamed);
  LastToken_ = Now;
  return true;
}

Task<GenerationRun::Step> GenerationRun::finish(const DecodeDone &Done,
                                                const BackendId &Engine) {
  const auto Verdict = Assembler_.onEnd(
      Attempt_.Attempt_, Attempt_.FirstIndex_ + Done.CompletionTokens_);
  if (Verdict != AssemblyOutcome::Accepted)
    co_return onDecodeError(Engine, {EngineFailure::Malformed, true});
  Touched_.erase(Engine);
  co_return co_await complete(Done.FinishReason_);
}

Task<GenerationRun::Step>
GenerationRun::complete(std::string_view FinishReason) {
  report(ProgressKind::DecodeDone, Assembler_.tokenCount() - ReportedTokens_,
         readBootClock() - DecodeSince_);
  const CompletionUsage Usage = {Job_.PromptTokens_, Assembler_.tokenCount()};
  const bool IsTaken =
      co_await Answer_.finish(Assembler_.text(), FinishReason, Usage);
  if (!IsTaken)
    co_return refuseCancelled();
  Worker_.State_.Metrics_.add(Count::AnswersGenerated);
  co_return Step::Finished;
}

GenerationRun::Step GenerationRun::onPrefillError(const BackendId &Engine,
                                                  const EngineError &Error) {
  MayHaveStarted_ |= Error.MayHaveStarted_;
  if (Error.MayHaveStarted_ ||
      Error.Failure_ == EngineFailure::DuplicateRequest)
    cancelOn(Engine);
  Touched_.erase(Engine);
  if (Exchange_.scope().isCancelled())
    return refuseCancelled();
  // Superseded by the dispatcher's next action.
  if (Error.Failure_ == EngineFailure::CallerGaveUp)
    return Step::NextAction;
  if (isDeclined(Error)) {
    report(ProgressKind::PrefillRefused, 0, {});
    return Step::NextAction;
  }
  if (const auto Reason = findRetryBar(Engine, Error))
    return refuse(*Reason);
  report(ProgressKind::PrefillFailed, 0, {});
  return Step::NextAction;
}

GenerationRun::Step GenerationRun::onDecodeError(const BackendId &Engine,
                                                 const EngineError &Error) {
  const bool IsDeclined = isDeclined(Error);
  MayHaveStarted_ |= Error.MayHaveStarted_;
  if (Error.MayHaveStarted_ ||
      Error.Failure_ == EngineFailure::DuplicateRequest)
    cancelOn(Engine);
  Touched_.erase(Engine);
  if (Exchange_.scope().isCancelled())
    return refuseCancelled();
  if (Error.Failure_ == EngineFailure::CallerGaveUp)
    return Step::NextAction;
  if (!IsDeclined)
    if (const auto Reason = findRetryBar(Engine, Error))
      return refuse(*Reason);
  const ProgressKind Kind = asDecodeProgress(Error, IsImported_);
  if (Kind == ProgressKind::KvGone)
    dropKv();
  if (IsImported_ && Assembler_.tokenCount() > 0)
    Worker_.State_.Metrics_.add(Count::StreamsMoved);
  const std::uint32_t Tokens = Assembler_.tokenCount() - ReportedTokens_;
  ReportedTokens_ = Assembler_.tokenCount();
  report(Kind, Tokens, readBootClock() - DecodeSince_);
  return Step::NextAction;
}

std::optional<RefusalReason>
GenerationRun::findRetryBar(const BackendId &Engine, const EngineError &Error) {
  const AttemptFailure Failure = asAttemptFailure(Error.Failure_);
  FailedAttempt Attempt;
  Attempt.Class_ = Job_.Class_.Name_;
  Attempt.Backend_ = Engine;
  Attempt.Failure_ = Failure;
  Attempt.Idempotent_ = true;
  Attempt.MayHaveRunBefore_ = MayHaveStarted_;
  Attempt.Attempts_ = Attempts_;
  Attempt.Deadline_ = Exchange_.deadline();
  if (Failure == AttemptFailure::SilentConnection)
    Worker_.State_.Metrics_.add(Count::SilentConnections);
  logLine(LogPart::Engine, LogLevel::Warn, "Attempt failed.",
          {{"request", Exchange_.id().Value_},
           {"organisation", Job_.Identity_.Organisation_.Value_},
           {"backend_server", Engine.Value_},
           {"reason", asCode(Error.Failure_)}});
  const auto Decision = Worker_.Retries_.onFailure(Attempt, readBootClock());
  if (const auto *Refused = std::get_if<Refusal>(&Decision))
    return Refused->Reason_;
  Worker_.State_.Metrics_.addRetry(static_cast<std::size_t>(Failure),
                                   asCode(Failure));
  return std::nullopt;
}

void GenerationRun::dropKv() {
  if (!Kv_)
    return;
  Worker_.State_.Metrics_.add(Count::PrefillTokensWasted, Kv_->PromptTokens_);
  cancelOn(PrefillEngine_);
  Touched_.erase(PrefillEngine_);
  Kv_.reset();
}

void GenerationRun::cancelOn(const BackendId &Engine) {
  spawnTask(Worker_.Context_, "cancel",
            cancelOnEngine(Worker_, Engine, Exchange_.id(), Worker_.Holder_,
                           Active_));
}

void GenerationRun::cleanUp() {
  dropKv();
  for (const BackendId &Engine : Touched_)
    cancelOn(Engine);
  if (End_.Error_)
    report(ProgressKind::Cancelled, 0, {});
  End_.OutputTokens_ = Assembler_.tokenCount();
  Active_.reset();
}

} // namespace gooseberry
