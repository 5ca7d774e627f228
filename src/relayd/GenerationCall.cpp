#include "gooseberrybeam/relayd/GenerationCall.h"

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayAnswer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>

namespace gooseberry {
namespace {

constexpr int Ok = 200;
constexpr std::uint32_t MaxPlacements = 4;
/// Events between two reports of progress to the home.
constexpr std::uint32_t EventsPerReport = 12;
/// A prefill that takes longer is given up; prompts take some 100 ms.
constexpr Duration PrefillTimeout = std::chrono::milliseconds(700);
/// A resumable stream is moved after a silence of so long. Events come every
/// 50 ms, or 250 ms from a slow engine.
constexpr Duration FirstEventSilence = std::chrono::milliseconds(500);
constexpr Duration EventSilence = std::chrono::milliseconds(600);
/// When the first event of a stream that moves is due.
constexpr Duration MovedTarget = std::chrono::milliseconds(300);
constexpr Duration RetryAfterFailure = std::chrono::milliseconds(300);
constexpr Duration FreeTimeout = std::chrono::seconds(1);
constexpr std::size_t ReadSize = 16 * 1024;
constexpr std::size_t MaxEvent = std::size_t{1} << 20;

Task<void> freeHandle(RelayContext &Context, BackendId Address,
                      HttpRequest Free) {
  CancelScope Scope;
  CallLimits Limits;
  Limits.IdleTimeout_ = FreeTimeout;
  const auto Freed =
      co_await callHttp(Context.Pool_, Address, std::move(Free), Limits, Scope);
  if (!isOk(Freed))
    logLine(LogPart::Engine, LogLevel::Info, "Handle was not freed.",
            {{"server", Address.Value_},
             {"failure", asCode(errorOf(Freed).Failure_)}});
}

} // namespace

GenerationCall::GenerationCall(RelayContext &Context, RelayRequest &Request,
                               const EngineTraits &Engine)
    : Context_(Context), Request_(Request), Engine_(Engine) {}

PlacementRequest GenerationCall::makeAsk() const {
  PlacementRequest Ask;
  Ask.Request_ = Request_.Exchange_.id();
  Ask.Organisation_ = Request_.organisationName();
  Ask.Service_ = Request_.Service_;
  Ask.PromptTokens_ = Request_.Facts_.PromptTokens_;
  Ask.MaxOutputTokens_ = Request_.Facts_.MaxOutputTokens_;
  if (!Request_.Facts_.HasTokens_ && Request_.Organisation_)
    Ask.PromptTokens_ = static_cast<std::uint32_t>(
        Request_.Organisation_->DefaultRequestTokens_);
  Ask.LengthHint_ = Request_.Facts_.LengthHint_;
  Ask.Priority_ = Request_.priority();
  Ask.TimeLeft_ = Request_.timeLeft();
  Ask.TargetLeft_ = Request_.Exchange_.arrival() +
                    Request_.Route_.TargetLatency_ - readBootClock();
  if (const auto Patience = Request_.Route_.EventPatience_) {
    const TimePoint Since =
        Events_ == 0 ? Request_.Exchange_.arrival() : LastEventAt_;
    Ask.PatienceLeft_ = Since + *Patience - readBootClock();
  }
  Ask.IsCharged_ = Placements_ > 1;
  Ask.OutputTokens_ = Events_ * Engine_.TokensPerEvent_;
  Ask.ExcludedEngines_ = Avoid_;
  if (LastEvent_) {
    Ask.NeedsPrefill_ = false;
    Ask.TargetLeft_ = MovedTarget;
  }
  return Ask;
}

void GenerationCall::report(GenerationStep Step, const ChosenServer &Engine,
                            std::uint32_t Tokens, Duration Took) {
  Context_.Home_.report(
      {Request_.Exchange_.id(), Step, Engine.Id_, Tokens, Took});
}

ServerTarget GenerationCall::targetOf(const ChosenServer &Engine) const {
  ServerTarget Target;
  Target.Address_ = Engine.Address_;
  Target.Order_.Server_ = Engine.Id_;
  Target.Order_.Organisation_ = Request_.organisationName();
  Target.Order_.TimeLeft_ = Request_.timeLeft();
  Target.Order_.LastEvent_ = LastEvent_;
  return Target;
}

bool GenerationCall::payRepeat() {
  return Context_.repeatsOf(Request_.Service_)
      .tryRetry(Context_.Home_.instanceCount(), readBootClock());
}

// The home may have lost the store, and not know that an engine leaves.
bool GenerationCall::rejectLeaving(const PlacementGrant &Grant) {
  bool IsRejected = false;
  const auto Reject = [&](const ChosenServer &Engine) {
    if (!Context_.Directory_.isLeavingOrRemoved(Engine.Id_))
      return;
    report(GenerationStep::ServerReplaced, Engine);
    Avoid_.push_back(Engine.Id_);
    IsRejected = true;
  };
  if (Grant.Prefill_)
    Reject(*Grant.Prefill_);
  Reject(Grant.Decode_);
  return IsRejected;
}

bool GenerationCall::mayGoOn(StepEnd End) const {
  if (End == StepEnd::Done || End == StepEnd::Stopped)
    return false;
  if (Placements_ >= MaxPlacements || Sent_ >= Request_.Route_.MaxServers_)
    return false;
  return !MayHaveRun_ || Request_.Route_.mayRetry();
}

Task<GenerationCall::StepEnd>
GenerationCall::prefill(const ChosenServer &Engine, std::string &KvSource) {
  CancelScope &Scope = Request_.Exchange_.scope();
  ServerTarget Target = targetOf(Engine);
  Target.Order_.IsPrefill_ = true;
  const TimePoint Started = readBootClock();
  ++Prefills_;
  auto Called =
      co_await callServer(Context_, Request_, Target, PrefillTimeout, Scope);
  if (Scope.isCancelled())
    co_return StepEnd::Stopped;
  if (!isOk(Called))
    co_return StepEnd::Broken;
  ServerAnswer Answer = takeValue(std::move(Called));
  auto Body = co_await readBody(*Answer.Connection_, CallLimits(), Scope);
  if (!isOk(Body))
    co_return Scope.isCancelled() ? StepEnd::Stopped : StepEnd::Broken;
  Context_.Pool_.release(Engine.Address_, std::move(Answer.Connection_));
  if (Answer.Facts_.IsNotRun_)
    co_return StepEnd::Rejected;
  const auto Prompt = Context_.Wire_.parsePrefilled(valueOf(Body));
  if (Answer.Head_.Status_ != Ok || !Prompt)
    co_return StepEnd::Broken;
  Context_.Metrics_.add(Count::PrefillTokens, Prompt->Tokens_);
  report(GenerationStep::Prefilled, Engine, Request_.Facts_.PromptTokens_,
         readBootClock() - Started);
  PrefilledAt_ = readBootClock();
  KvSource = Context_.Wire_.kvSource(Engine.Address_, Prompt->Handle_);
  if (Scope.isCancelled()) {
    freeLater(Engine.Address_, Prompt->Handle_);
    co_return StepEnd::Stopped;
  }
  co_return StepEnd::Done;
}

void GenerationCall::freeLater(const BackendId &Address,
                               const std::string &Handle) {
  asio::co_spawn(Context_.Context_,
                 freeHandle(Context_, Address, Context_.Wire_.makeFree(Handle)),
                 asio::detached);
}

Task<bool> GenerationCall::writeEvents(EventSplitter &Events) {
  std::string Whole;
  const TimePoint Now = readBootClock();
  while (const auto Event = Events.next()) {
    if (Event->Id_ && LastEvent_ && *Event->Id_ <= *LastEvent_)
      continue;
    if (Event->Id_)
      LastEvent_ = Event->Id_;
    Whole += Event->Bytes_;
    if (Events_++ == 0) {
      FirstEventAt_ = Now;
      Context_.Metrics_.observe(Latency::FirstToken,
                                Now - Request_.Exchange_.arrival());
    }
    if (EngineEvents_++ == 0)
      EngineEventAt_ = Now;
  }
  if (Whole.empty())
    co_return true;
  LastEventAt_ = Now;
  co_return co_await Request_.Exchange_.write(Whole);
}

void GenerationCall::noteProgress(const ChosenServer &Engine, bool IsLast) {
  if (EngineEvents_ < 2 || (!IsLast && EngineEvents_ % EventsPerReport != 0))
    return;
  const std::uint32_t Tokens = (EngineEvents_ - 1) * Engine_.TokensPerEvent_;
  report(GenerationStep::Progressed, Engine, Tokens,
         readBootClock() - EngineEventAt_);
}

void GenerationCall::logBroken(const ChosenServer &Engine,
                               std::string_view Why) const {
  logLine(LogPart::Engine, LogLevel::Info, "Engine broke off.",
          {{"request", Request_.Exchange_.id().Value_},
           {"server", Engine.Id_.Value_},
           {"why", Why},
           {"events", std::to_string(Events_)},
           {"may_move", Request_.Route_.mayRetry() ? "true" : "false"},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
}

Task<GenerationCall::StepEnd>
GenerationCall::relayEvents(const ChosenServer &Engine, ServerAnswer Answer) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!Exchange.isAnswerBegun()) {
    if (Context_.IsDraining_)
      Exchange.closeAfter();
    const bool IsTaken =
        co_await Exchange.beginStream(Ok, relayedFields(Answer.Head_));
    if (!IsTaken)
      co_return StepEnd::Stopped;
  }
  const bool MayMove =
      Request_.Route_.mayRetry() && Sent_ < Request_.Route_.MaxServers_;
  EventSplitter Events;
  std::array<char, ReadSize> Buffer;
  EngineEvents_ = 0;
  for (;;) {
    Duration Patience = Request_.timeLeft();
    if (MayMove)
      Patience = EngineEvents_ == 0 ? FirstEventSilence : EventSilence;
    auto Read = co_await Answer.Connection_->readSome(Buffer, Patience,
                                                      Exchange.scope());
    if (Exchange.scope().isCancelled())
      co_return StepEnd::Stopped;
    if (!isOk(Read) || Events.bufferedBytes() > MaxEvent) {
      logBroken(Engine, isOk(Read) ? "event too large"
                                   : asCode(errorOf(Read).Failure_));
      co_return StepEnd::Broken;
    }
    if (valueOf(Read) == 0)
      break;
    Events.append({Buffer.data(), valueOf(Read)});
    const std::uint32_t Before = EngineEvents_;
    const bool IsTaken = co_await writeEvents(Events);
    if (!IsTaken)
      co_return StepEnd::Stopped;
    // The engine works; how fast is told later.
    if (Before == 0 && EngineEvents_ != 0)
      report(GenerationStep::Progressed, Engine);
    else if (EngineEvents_ != Before)
      noteProgress(Engine, false);
  }
  if (Events.hasPartialEvent()) {
    logBroken(Engine, "ended inside an event");
    co_return StepEnd::Broken;
  }
  noteProgress(Engine, true);
  Context_.Pool_.release(Engine.Address_, std::move(Answer.Connection_));
  IsWhole_ = true;
  co_await Exchange.endStream();
  co_return StepEnd::Done;
}

Task<GenerationCall::StepEnd>
GenerationCall::relayFailure(const ChosenServer &Engine, ServerAnswer Answer) {
  CallerExchange &Exchange = Request_.Exchange_;
  auto Body =
      co_await readBody(*Answer.Connection_, CallLimits(), Exchange.scope());
  if (!isOk(Body))
    co_return Exchange.scope().isCancelled() ? StepEnd::Stopped
                                             : StepEnd::Broken;
  Context_.Pool_.release(Engine.Address_, std::move(Answer.Connection_));
  if (Answer.Facts_.IsNotRun_)
    co_return StepEnd::Rejected;
  MayHaveRun_ = true;
  const bool IsOwnFailure = Answer.Facts_.IsSigned_ &&
                            Answer.Head_.Status_ != Ok &&
                            !Exchange.isAnswerBegun();
  if (!IsOwnFailure || mayGoOn(StepEnd::Broken))
    co_return StepEnd::Broken;
  co_await Exchange.answer(Answer.Head_.Status_, relayedFields(Answer.Head_),
                           valueOf(Body));
  co_return StepEnd::Done;
}

Task<GenerationCall::StepEnd>
GenerationCall::decode(const ChosenServer &Engine,
                       const std::string &KvSource) {
  CallerExchange &Exchange = Request_.Exchange_;
  ++DecodeCalls_;
  ServerTarget Target = targetOf(Engine);
  Target.Order_.KvSource_ = KvSource;
  const bool MayMove =
      Request_.Route_.mayRetry() && Sent_ + 1 < Request_.Route_.MaxServers_;
  const Duration Patience = MayMove ? FirstEventSilence : Request_.timeLeft();
  auto Called = co_await callServer(Context_, Request_, Target, Patience,
                                    Exchange.scope());
  if (!isOk(Called)) {
    MayHaveRun_ = MayHaveRun_ || errorOf(Called).MayHaveStarted_;
    Sent_ += errorOf(Called).MayHaveStarted_ ? 1 : 0;
    if (Exchange.scope().isCancelled())
      co_return StepEnd::Stopped;
    logBroken(Engine, asCode(errorOf(Called).Failure_));
    report(GenerationStep::ServerFailed, Engine);
    co_return StepEnd::Broken;
  }
  ServerAnswer Answer = takeValue(std::move(Called));
  const bool IsStream = Answer.Head_.Status_ == Ok && Answer.Facts_.IsSigned_ &&
                        !Answer.Facts_.IsEncoded_ && !Answer.Facts_.IsNotRun_;
  if (!IsStream)
    co_return co_await relayFailure(Engine, std::move(Answer));
  ++Sent_;
  MayHaveRun_ = true;
  const StepEnd End = co_await relayEvents(Engine, std::move(Answer));
  if (End == StepEnd::Broken)
    report(GenerationStep::ServerFailed, Engine);
  co_return End;
}

Task<bool> GenerationCall::prepare(const PlacementGrant &Grant,
                                   std::string &KvSource) {
  if (!Grant.Prefill_)
    co_return true;
  const bool IsPaid = Prefills_ == 0 || payRepeat();
  if (!IsPaid)
    co_return true; // The decode engine reads the prompt instead.
  const StepEnd End = co_await prefill(*Grant.Prefill_, KvSource);
  if (End == StepEnd::Done)
    co_return true;
  if (End == StepEnd::Stopped)
    co_return false;
  report(End == StepEnd::Rejected ? GenerationStep::ServerFull
                                  : GenerationStep::ServerFailed,
         *Grant.Prefill_);
  logLine(LogPart::Engine, LogLevel::Info, "Prefill failed.",
          {{"request", Request_.Exchange_.id().Value_},
           {"server", Grant.Prefill_->Id_.Value_},
           {"end", End == StepEnd::Rejected ? "rejected" : "broken"},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
  Avoid_.push_back(Grant.Prefill_->Id_);
  co_return false;
}

Task<void> GenerationCall::refuseDenied(const PlacementDenial &Denial) {
  const bool HasRun = MayHaveRun_;
  co_await refuse(Context_, Request_.Exchange_,
                  {HasRun ? RefusalReason::BackendFailed : Denial.Reason_,
                   HasRun ? Execution::Unknown : Execution::NotRun,
                   Denial.RetryAfter_},
                  "denied by the home " + Context_.Home_.home().Value_);
}

std::string GenerationCall::sinceArrival(TimePoint At) const {
  if (At == TimePoint())
    return "";
  return std::to_string(wholeMilliseconds(At - Request_.Exchange_.arrival()));
}

Task<void> GenerationCall::finish(StepEnd End) {
  CallerExchange &Exchange = Request_.Exchange_;
  const bool IsBegun = Exchange.isAnswerBegun();
  logLine(
      LogPart::Engine, LogLevel::Info,
      IsWhole_ ? "Stream ended." : "Generation failed.",
      {{"request", Exchange.id().Value_},
       {"route", Request_.Route_.Name_},
       {"organisation", Request_.organisationName().Value_},
       {"placements", std::to_string(Placements_)},
       {"engines", std::to_string(Sent_)},
       {"events", std::to_string(Events_)},
       {"placed_ms", sinceArrival(PlacedAt_)},
       {"prefilled_ms", sinceArrival(PrefilledAt_)},
       {"first_event_ms", sinceArrival(FirstEventAt_)},
       {"configuration", std::to_string(Request_.Configuration_->version())},
       {"elapsed_ms", elapsedMs(Exchange)}});
  if (IsWhole_ || IsBegun) {
    Context_.Metrics_.add(Count::AnswersGenerated, IsWhole_ ? 1 : 0);
    co_return;
  }
  if (End == StepEnd::Stopped) {
    const auto Reason = Exchange.scope().reason();
    const bool IsGone = Reason == RefusalReason::ClientGone;
    const RefusalReason Late = MayHaveRun_ ? RefusalReason::BackendTimeout
                                           : RefusalReason::DeadlineUnreachable;
    co_await refuse(Context_, Exchange,
                    {IsGone ? RefusalReason::ClientGone : Late,
                     MayHaveRun_ ? Execution::Unknown : Execution::NotRun,
                     {}},
                    "the caller left or its time is up");
    co_return;
  }
  if (MayHaveRun_)
    co_await refuse(Context_, Exchange,
                    {RefusalReason::BackendFailed, Execution::Unknown, {}},
                    "the engine failed");
  else
    co_await refuse(
        Context_, Exchange,
        {RefusalReason::NoBackendServer, Execution::NotRun, RetryAfterFailure},
        "no engine took it");
}

Task<void> GenerationCall::run() {
  Context_.repeatsOf(Request_.Service_).onRequest(readBootClock());
  StepEnd End = StepEnd::Rejected;
  while (mayGoOn(End)) {
    // A call that an engine rejects is an arrival like any other.
    if (DecodeCalls_ > 0 && !payRepeat())
      break;
    ++Placements_;
    auto Placed =
        co_await Context_.Home_.place(makeAsk(), Request_.Exchange_.scope());
    if (!Placed) {
      End = StepEnd::Stopped;
      break;
    }
    if (const auto *Denial = std::get_if<PlacementDenial>(&*Placed)) {
      co_await refuseDenied(*Denial);
      co_return;
    }
    const auto &Grant = std::get<PlacementGrant>(*Placed);
    PlacedAt_ = readBootClock();
    if (rejectLeaving(Grant)) {
      report(GenerationStep::Ended, Grant.Decode_);
      continue;
    }
    Context_.Home_.noteRunning(
        {Request_.Exchange_.id(), Request_.organisationName(),
         Request_.Service_, Grant.Decode_.Id_, Request_.Facts_.PromptTokens_,
         Events_ * Engine_.TokensPerEvent_, Request_.Facts_.LengthHint_});
    std::string KvSource;
    const bool IsReady = co_await prepare(Grant, KvSource);
    if (Request_.Exchange_.scope().isCancelled()) {
      End = StepEnd::Stopped;
      break;
    }
    if (IsReady) {
      End = co_await decode(Grant.Decode_, KvSource);
      if (End == StepEnd::Rejected && !KvSource.empty() && payRepeat()) {
        if (Grant.Prefill_)
          report(GenerationStep::HandleLost, *Grant.Prefill_);
        // The engine reads the prompt itself, if it was not merely full.
        End = co_await decode(Grant.Decode_, "");
      }
      if (End == StepEnd::Rejected)
        report(GenerationStep::ServerFull, Grant.Decode_);
      if (End == StepEnd::Broken)
        Avoid_.push_back(Grant.Decode_.Id_);
    }
    if (mayGoOn(End))
      report(GenerationStep::Ended, Grant.Decode_);
  }
  const Duration Took =
      IsWhole_ ? readBootClock() - FirstEventAt_ : Duration::zero();
  report(GenerationStep::Ended, {}, Events_ * Engine_.TokensPerEvent_, Took);
  co_await finish(End);
}

} // namespace gooseberry
