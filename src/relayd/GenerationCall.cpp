#include "gooseberrybeam/relayd/GenerationCall.h"

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayResponse.h"
#include "gooseberrybeam/relayd/ServerCrashCheck.h"
#include "relayd/ScopedWait.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace gooseberry {
namespace {

constexpr int HttpOk = 200;
/// An engine that has sent this many events is answering the request.
constexpr std::uint32_t AnsweringEvents = 3;
/// Events between two progress reports to the home.
constexpr std::uint32_t EventsPerReport = 12;
/// Another engine is searched for a resumable stream if no event arrives for
/// this long. Events arrive every 50 ms, or every 250 ms from a slow engine.
constexpr Duration FirstEventTimeout = std::chrono::milliseconds(500);
constexpr Duration EventTimeout = std::chrono::milliseconds(600);
/// Target time to the first event after a stream was moved.
constexpr Duration ResumeTarget = std::chrono::milliseconds(300);
constexpr Duration RetryAfterFailure = std::chrono::milliseconds(300);
/// Grants are checked when they arrive. One that is older is checked again
/// before the decode engine is called, as its data centre may have been
/// evacuated during a slow prefill.
constexpr Duration MaxGrantAge = std::chrono::seconds(1);
constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;
/// The body of an engine's error is a short text.
constexpr std::size_t MaxErrorBody = std::size_t{256} << 10;
constexpr Duration ErrorBodyTimeout = std::chrono::seconds(2);

std::string joinSegments(std::span<const PromptSegmentId> Segments) {
  std::string Text;
  for (const PromptSegmentId &Segment : Segments) {
    if (!Text.empty())
      Text += ',';
    Text += Segment.Value_;
  }
  return Text;
}

} // namespace

GenerationCall::GenerationCall(RelayContext &Context, RelayRequest &Request,
                               const EngineTraits &Engine)
    : Context_(Context), Request_(Request), Engine_(Engine),
      Retries_(Context, Request), BookingId_(Request.Exchange_.id()) {}

PlacementRequest GenerationCall::makePlacementRequest() const {
  PlacementRequest Placement;
  Placement.Request_ = BookingId_;
  Placement.Organisation_ = Request_.organisationName();
  Placement.Service_ = Request_.Service_;
  Placement.PromptTokens_ = Request_.CallerInfo_.PromptTokens_;
  Placement.MaxOutputTokens_ = Request_.CallerInfo_.MaxOutputTokens_;
  if (!Request_.CallerInfo_.HasTokenCounts_ && Request_.Organisation_)
    Placement.PromptTokens_ = static_cast<std::uint32_t>(
        Request_.Organisation_->DefaultRequestTokens_);
  Placement.LengthHint_ = Request_.CallerInfo_.LengthHint_;
  Placement.Priority_ = Request_.priority();
  Placement.TimeLeft_ = Request_.timeLeft();
  Placement.TargetLeft_ = Request_.Exchange_.arrival() +
                          Request_.Route_.TargetLatency_ - readBootClock();
  if (const auto EventPatience = Request_.Route_.EventPatience_) {
    const TimePoint WaitStartedAt =
        EventsSent_ == 0 ? Request_.Exchange_.arrival() : LastEventAt_;
    Placement.PatienceLeft_ = WaitStartedAt + *EventPatience - readBootClock();
  }
  Placement.IsCharged_ = Placements_ > 1;
  Placement.OutputTokens_ = EventsSent_ * Engine_.TokensPerEvent_;
  Placement.ExcludedEngines_ = ExcludedServers_;
  for (const ServerId &Each : Context_.Pauses_.paused(readBootClock()))
    Placement.ExcludedEngines_.push_back(Each);
  Placement.SharedSegments_ = Request_.CallerInfo_.SharedSegments_;
  Placement.Fingerprint_ = Request_.Fingerprint_;
  Placement.Regions_ = Request_.regions();
  Placement.RequiredSoftware_ = Software_;
  Placement.IsResumed_ = continuesStream();
  Placement.ResumedStream_ = Request_.CallerInfo_.ResumedRequest_;
  if (Placements_ > 1)
    excludeForbiddenEngines(Placement);
  if (LastEventId_) {
    Placement.NeedsPrefill_ = false;
    Placement.TargetLeft_ = ResumeTarget;
  }
  return Placement;
}

// A home that knows neither of an evacuation nor of regions would grant one
// engine after another that this instance rejects.
void GenerationCall::excludeForbiddenEngines(
    PlacementRequest &Placement) const {
  const BackendDirectory &Directory = Context_.Directory_;
  for (const auto &[Id, Entry] : Directory.entries())
    if (Entry.Service_ == Request_.Service_ && !Entry.IsLeaving_ &&
        !Directory.takesRequests(Entry, Placement.Regions_))
      Placement.ExcludedEngines_.push_back(Id);
}

void GenerationCall::report(GenerationStep Step, const ChosenServer &Engine,
                            std::uint32_t Tokens, Duration Elapsed) {
  GenerationReport Report = {BookingId_, Step, Engine.Id_, Tokens,
                             Elapsed,    {},   {},         {}};
  if (Step == GenerationStep::Progressed || IsComplete_)
    Report.Origin_ = origin();
  Context_.Home_.report(Report);
}

bool GenerationCall::isLeftAsSilent(const CallError &Error) const {
  return Replacement_ && Error.Failure_ == CallFailure::Cancelled;
}

// An engine that goes down as it begins to answer may do so because of the
// request.
Task<void> GenerationCall::reportFailure(const ChosenServer &Engine,
                                         CallError Error) {
  const bool IsOwnFault = Error.Failure_ == CallFailure::Internal;
  if (isLeftAsSilent(Error) || IsOwnFault)
    co_return;
  const bool IsCrash =
      EngineEvents_ < AnsweringEvents &&
      co_await hasServerCrashed(Context_.Pool_, Engine.Address_, Error);
  if (!IsCrash) {
    report(GenerationStep::ServerFailed, Engine);
    co_return;
  }
  Context_.Home_.report({BookingId_, GenerationStep::CrashedAtStart, Engine.Id_,
                         0, Duration::zero(),
                         Request_.CallerInfo_.SharedSegments_,
                         Request_.Fingerprint_});
}

ServerTarget GenerationCall::makeTarget(const ChosenServer &Engine) const {
  ServerTarget Target;
  Target.Address_ = Engine.Address_;
  Target.RequestInfo_.Server_ = Engine.Id_;
  Target.RequestInfo_.Organisation_ = Request_.organisationName();
  Target.RequestInfo_.TimeLeft_ = Request_.timeLeft();
  Target.RequestInfo_.LastEventId_ = LastEventId_;
  if (Request_.Configuration_->hasRanks(Request_.Service_))
    Target.RequestInfo_.Priority_ = Request_.priority();
  return Target;
}

bool GenerationCall::isPaused(const ServerId &Server) const {
  return Context_.Pauses_.pausedUntil(Server) > readBootClock();
}

bool GenerationCall::mayCall(const ServerId &Server) const {
  return Context_.Directory_.takesRequests(Server, Request_.regions()) &&
         !isPaused(Server);
}

// The home may have lost its connection to the store and therefore not know
// that an engine is leaving, evacuated or another version, does not know of
// pauses, and one of an earlier release knows neither regions nor versions.
bool GenerationCall::excludeUnusableEngines(const PlacementGrant &Grant) {
  bool IsRejected = false;
  const auto Reject = [&](const ChosenServer &Engine) {
    if (mayCall(Engine.Id_) && isRequiredSoftware(Engine, Grant))
      return;
    if (Context_.Directory_.isLeavingOrRemoved(Engine.Id_))
      report(GenerationStep::ServerReplaced, Engine);
    ExcludedServers_.push_back(Engine.Id_);
    IsRejected = true;
  };
  if (Grant.Prefill_)
    Reject(*Grant.Prefill_);
  Reject(Grant.Decode_);
  return IsRejected;
}

// Zero if a decode engine takes requests of this instance, or there is none.
Duration GenerationCall::timeUntilDecodeEngine() const {
  std::optional<Duration> Least;
  const TimePoint Now = readBootClock();
  const RegionRestriction Regions = Request_.regions();
  for (const auto &[Id, Entry] : Context_.Directory_.entries()) {
    if (Entry.Service_ != Request_.Service_ ||
        Entry.Role_ != EngineRole::Decode ||
        !Context_.Directory_.takesRequests(Entry, Regions))
      continue;
    const Duration Wait = Context_.Pauses_.pausedUntil(Id) - Now;
    Least = std::min(Least.value_or(Wait), Wait);
  }
  return std::max(Least.value_or(Duration()), Duration());
}

// While all decode engines want no request, the request waits here if its
// caller does, and is refused at once otherwise.
Task<std::optional<PlacementAnswer>> GenerationCall::place() {
  const Duration Wait = timeUntilDecodeEngine();
  const PlacementRequest Placement = makePlacementRequest();
  if (Wait > std::min(Placement.PatienceLeft_, Placement.TimeLeft_) / 2)
    co_return PlacementDenial{Placement.Request_, RefusalReason::QueueFull,
                              Wait};
  if (Wait > Duration::zero())
    co_await waitFor(Context_.IoContext_, Wait, Request_.Exchange_.scope());
  co_return co_await Context_.Home_.place(makePlacementRequest(),
                                          Request_.Exchange_.scope());
}

bool GenerationCall::mayRetry(StepOutcome Outcome) const {
  if (Outcome == StepOutcome::Succeeded || Outcome == StepOutcome::Stopped)
    return false;
  if (Placements_ >= MaxPlacements ||
      StartedDecodes_ >= Request_.Route_.MaxServers_)
    return false;
  return !MayHaveRun_ || (Request_.Route_.mayRetry() && mayGoOn());
}

// The head follows with the first event: until then, a failure is answered.
Task<bool> GenerationCall::writeToCaller(std::string_view Events) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!Exchange.isAnswerBegun()) {
    if (Context_.isDraining())
      Exchange.closeAfter();
    const bool IsAccepted =
        co_await Exchange.beginStream(HttpOk, std::move(StreamFields_));
    if (!IsAccepted)
      co_return false;
  }
  co_return co_await Exchange.write(Events);
}

Task<GenerationCall::WriteOutcome>
GenerationCall::writeEvents(EventSplitter &Splitter, FailoverSearch *Search) {
  std::string Bytes;
  WriteOutcome Outcome = WriteOutcome::Written;
  const TimePoint Now = readBootClock();
  while (const auto Event = Splitter.next()) {
    // The text of an error, or the head of another response.
    if (LastEventId_ && !Event->Id_ && !Event->IsComment_) {
      Outcome = WriteOutcome::NoEvent;
      break;
    }
    if (Event->Id_ && LastEventId_ && *Event->Id_ <= *LastEventId_)
      continue;
    if (Event->Id_)
      LastEventId_ = Event->Id_;
    Bytes += Event->Bytes_;
    if (EventsSent_++ == 0) {
      FirstEventAt_ = Now;
      Context_.Metrics_.observe(Latency::FirstToken,
                                Now - Request_.Exchange_.arrival());
    }
    if (EngineEvents_++ == 0)
      EngineFirstEventAt_ = Now;
  }
  if (Bytes.empty())
    co_return Outcome;
  LastEventAt_ = Now;
  if (Search)
    Search->onWrite();
  const bool IsAccepted = co_await writeToCaller(Bytes);
  if (Search)
    Search->onEvent();
  co_return IsAccepted ? Outcome : WriteOutcome::CallerGone;
}

void GenerationCall::reportProgress(const ChosenServer &Engine, bool IsDue) {
  if (EngineEvents_ < 2 || (!IsDue && EngineEvents_ % EventsPerReport != 0))
    return;
  const std::uint32_t Tokens = (EngineEvents_ - 1) * Engine_.TokensPerEvent_;
  report(GenerationStep::Progressed, Engine, Tokens,
         readBootClock() - EngineFirstEventAt_);
}

void GenerationCall::logEngineFailure(const ChosenServer &Engine,
                                      std::string_view Reason) const {
  logLine(LogPart::Engine, LogLevel::Info, "Decode call failed.",
          {{"request", Request_.Exchange_.id().Value_},
           {"server", Engine.Id_.Value_},
           {"why", Reason},
           {"events", std::to_string(EventsSent_)},
           {"engine_events", std::to_string(EngineEvents_)},
           {"engine_ms",
            std::to_string(wholeMilliseconds(readBootClock() - DecodeAt_))},
           {"segments", joinSegments(Request_.CallerInfo_.SharedSegments_)},
           {"may_move", Request_.Route_.mayRetry() ? "true" : "false"},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
}

Task<GenerationCall::StepOutcome>
GenerationCall::failStream(const ChosenServer &Engine, std::string_view Reason,
                           CallError Error) {
  logEngineFailure(Engine, isLeftAsSilent(Error) ? "silent" : Reason);
  co_await reportFailure(Engine, Error);
  co_return StepOutcome::Failed;
}

void GenerationCall::recordAuthor(const ChosenServer &Engine) {
  const SoftwareVersionId Author =
      softwareOf(Engine, Grant_).value_or(SoftwareVersionId());
  if (EventsSent_ == EngineEvents_ && !continuesStream())
    Software_ = Author;
  if (!Authors_.empty())
    Authors_ += ',';
  Authors_ += Author.Value_;
}

Task<GenerationCall::StepOutcome>
GenerationCall::relayEvents(const ChosenServer &Engine, ServerResponse Response,
                            FailoverSearch *Search) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!Exchange.isAnswerBegun())
    StreamFields_ = relayedFields(Response.Head_);
  CancelScope &Scope = Search ? Search->callScope() : Exchange.scope();
  if (Search)
    Search->onHead();
  EventSplitter Splitter;
  HeldBytes Held(Context_.Pool_.bodies());
  std::array<char, ReadBufferBytes> Buffer;
  for (;;) {
    auto ReadResult = co_await Response.Connection_->readSome(
        Buffer, Request_.timeLeft(), Scope);
    if (Exchange.scope().isCancelled())
      co_return StepOutcome::Stopped;
    if (!isOk(ReadResult))
      co_return co_await failStream(
          Engine, asCode(errorOf(ReadResult).Failure_), errorOf(ReadResult));
    if (Splitter.bufferedBytes() > MaxEventBytes ||
        !Held.tryResize(Splitter.bufferedBytes() + valueOf(ReadResult)))
      co_return co_await failStream(Engine, "event too large",
                                    {CallFailure::Malformed, true});
    if (valueOf(ReadResult) == 0)
      break;
    Splitter.append({Buffer.data(), valueOf(ReadResult)});
    const std::uint32_t PreviousEvents = EngineEvents_;
    const WriteOutcome Written = co_await writeEvents(Splitter, Search);
    if (Written == WriteOutcome::CallerGone)
      co_return StepOutcome::Stopped;
    if (Written == WriteOutcome::NoEvent)
      co_return co_await failStream(Engine, "not an event",
                                    {CallFailure::Malformed, true});
    // Tells the home that the engine is producing events. The rate follows in
    // later reports, since it takes at least two events.
    if (PreviousEvents == 0 && EngineEvents_ != 0)
      recordAuthor(Engine);
    if (PreviousEvents == 0 && EngineEvents_ != 0)
      report(GenerationStep::Progressed, Engine);
    else if (EngineEvents_ != PreviousEvents)
      reportProgress(Engine, PreviousEvents < AnsweringEvents &&
                                 EngineEvents_ >= AnsweringEvents);
  }
  // A resumed stream may have no further event, but must say so.
  const bool HasEnded = EventsSent_ > 0 && (EngineEvents_ > 0 ||
                                            Response.Connection_->statesEnd());
  if (!HasEnded)
    co_return co_await failStream(Engine, "ended without an event",
                                  {CallFailure::Receive, true});
  if (Splitter.hasPartialEvent())
    co_return co_await failStream(Engine, "ended inside an event",
                                  {CallFailure::Receive, true});
  reportProgress(Engine, true);
  Context_.Pool_.release(Engine.Address_, std::move(Response.Connection_));
  IsComplete_ = true;
  co_await Exchange.endStream();
  co_return StepOutcome::Succeeded;
}

Task<GenerationCall::StepOutcome>
GenerationCall::relayFailure(const ChosenServer &Engine,
                             ServerResponse Response) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!Response.Info_.IsNotExecuted_) {
    MayHaveRun_ = true;
    ++StartedDecodes_;
  }
  CallLimits Limits;
  Limits.BodyTimeout_ = std::min(ErrorBodyTimeout, Request_.timeLeft());
  Limits.MaxBody_ = MaxErrorBody;
  auto Body = co_await readBody(*Response.Connection_, Limits,
                                Context_.Pool_.bodies(), Exchange.scope());
  if (!isOk(Body) && Exchange.scope().isCancelled())
    co_return StepOutcome::Stopped;
  if (!isOk(Body))
    co_return co_await failStream(Engine, asCode(errorOf(Body).Failure_),
                                  errorOf(Body));
  Context_.Pool_.release(Engine.Address_, std::move(Response.Connection_));
  if (Response.Info_.IsNotExecuted_)
    co_return StepOutcome::Rejected;
  // The caller would send it again, although it may have run.
  const bool IsUntrue =
      Response.Info_.MeansNotRun_ && !Request_.Route_.mayRetry();
  const bool IsEngineError = Response.Info_.IsSigned_ && !IsUntrue &&
                             Response.Head_.Status_ != HttpOk &&
                             !Exchange.isAnswerBegun();
  if (!IsEngineError || mayRetry(StepOutcome::Failed))
    co_return StepOutcome::Failed;
  HeldBody Text = takeValue(std::move(Body));
  co_await Exchange.answer(Response.Head_.Status_,
                           relayedFields(Response.Head_),
                           std::move(Text.Text_));
  co_return StepOutcome::Succeeded;
}

Task<GenerationCall::StepOutcome>
GenerationCall::decode(const ChosenServer &Engine,
                       const std::string &KvSource) {
  CallerExchange &Exchange = Request_.Exchange_;
  const bool IsGrantOld = readBootClock() > PlacedAt_ + MaxGrantAge;
  if (isPaused(Engine.Id_) || (IsGrantOld && !mayCall(Engine.Id_)))
    co_return StepOutcome::Rejected;
  Retries_.countRequest();
  Retries_.sendReserved();
  HasArrived_ = true;
  EngineEvents_ = 0;
  DecodeAt_ = readBootClock();
  ServerTarget Target = makeTarget(Engine);
  Target.RequestInfo_.KvSource_ = KvSource;
  auto Search =
      mayMoveDecode()
          ? watch(Engine,
                  StallFailover(FirstEventTimeout, EventTimeout, DecodeAt_),
                  true)
          : nullptr;
  CancelScope &Scope = Search ? Search->callScope() : Exchange.scope();
  auto CallResult = co_await callServer(Context_, Request_, Target,
                                        Request_.timeLeft(), Scope);
  if (!isOk(CallResult)) {
    MayHaveRun_ = MayHaveRun_ || errorOf(CallResult).MayHaveStarted_;
    StartedDecodes_ += errorOf(CallResult).MayHaveStarted_ ? 1 : 0;
    if (Exchange.scope().isCancelled())
      co_return StepOutcome::Stopped;
    const CallError Error = errorOf(CallResult);
    co_return co_await failStream(Engine, asCode(Error.Failure_), Error);
  }
  ServerResponse Response = takeValue(std::move(CallResult));
  const bool IsStream =
      Response.Head_.Status_ == HttpOk && Response.Info_.IsSigned_ &&
      !Response.Info_.IsEncoded_ && !Response.Info_.IsNotExecuted_;
  if (!IsStream) {
    Search.reset();
    co_return co_await relayFailure(Engine, std::move(Response));
  }
  ++StartedDecodes_;
  MayHaveRun_ = true;
  co_return co_await relayEvents(Engine, std::move(Response), Search.get());
}

Task<void> GenerationCall::relayDenial(const PlacementDenial &Denial) {
  const bool HasRun = MayHaveRun_;
  co_await refuse(Context_, Request_.Exchange_,
                  {HasRun ? RefusalReason::BackendFailed : Denial.Reason_,
                   HasRun ? Execution::Unknown : Execution::NotRun,
                   Denial.RetryAfter_},
                  "no engines granted by home " + Context_.Home_.home().Value_);
}

std::string GenerationCall::msSinceArrival(TimePoint At) const {
  if (At == TimePoint())
    return "";
  return std::to_string(wholeMilliseconds(At - Request_.Exchange_.arrival()));
}

Refusal GenerationCall::makeStopRefusal() const {
  const auto Reason = Request_.Exchange_.scope().reason();
  const Execution Executed =
      MayHaveRun_ ? Execution::Unknown : Execution::NotRun;
  if (Reason == RefusalReason::ClientGone)
    return {RefusalReason::ClientGone, Executed, {}};
  if (MayHaveRun_)
    return {RefusalReason::BackendTimeout, Executed, {}};
  if (Reason == RefusalReason::Draining)
    return {RefusalReason::Draining, Executed, RetryAfterDrain};
  return {RefusalReason::DeadlineUnreachable, Executed, {}};
}

Task<void> GenerationCall::finish(StepOutcome Outcome) {
  CallerExchange &Exchange = Request_.Exchange_;
  const bool IsResponseStarted = Exchange.isAnswerBegun();
  logLine(
      LogPart::Engine, LogLevel::Info,
      IsComplete_ ? "Event stream completed."
                  : "Generation ended without a complete event stream.",
      {{"request", Exchange.id().Value_},
       {"route", Request_.Route_.Name_},
       {"organisation", Request_.organisationName().Value_},
       {"placements", std::to_string(Placements_)},
       {"engines", std::to_string(StartedDecodes_)},
       {"events", std::to_string(EventsSent_)},
       {"resumes", Request_.CallerInfo_.ResumedRequest_.Value_},
       {"software", Authors_},
       {"placed_ms", msSinceArrival(PlacedAt_)},
       {"prefilled_ms", msSinceArrival(PrefilledAt_)},
       {"first_event_ms", msSinceArrival(FirstEventAt_)},
       {"segments", joinSegments(Request_.CallerInfo_.SharedSegments_)},
       {"configuration", std::to_string(Request_.Configuration_->version())},
       {"elapsed_ms", elapsedMs(Exchange)}});
  if (IsComplete_ || IsResponseStarted) {
    Context_.Metrics_.add(Count::AnswersGenerated, IsComplete_ ? 1 : 0);
    co_return;
  }
  if (Outcome == StepOutcome::Stopped) {
    co_await refuse(Context_, Exchange, makeStopRefusal(),
                    "caller disconnected, deadline passed, or shutdown");
    co_return;
  }
  if (MayHaveRun_)
    co_await refuse(Context_, Exchange,
                    {RefusalReason::BackendFailed, Execution::Unknown, {}},
                    "decode engine failed after the request may have run");
  else
    co_await refuse(
        Context_, Exchange,
        {RefusalReason::NoBackendServer, Execution::NotRun, RetryAfterFailure},
        "no engine accepted the request");
}

// The engines are given back whatever ends the call.
Task<void> GenerationCall::run() {
  std::exception_ptr Thrown;
  try {
    co_await runPlacements();
  } catch (...) {
    Thrown = std::current_exception();
  }
  if (!Thrown)
    co_return;
  releaseReplacement();
  report(GenerationStep::Ended, {});
  std::rethrow_exception(Thrown);
}

Task<void> GenerationCall::runPlacements() {
  StepOutcome Outcome = StepOutcome::Rejected;
  while (mayRetry(Outcome)) {
    // Rejected calls count as arrivals at the service too, so any further call
    // consumes retry budget.
    if (!Replacement_ && HasArrived_ && !Retries_.tryReserve())
      break;
    ++Placements_;
    auto Placement = co_await nextPlacement();
    if (!Placement) {
      Outcome = StepOutcome::Stopped;
      break;
    }
    if (const auto *Denial = std::get_if<PlacementDenial>(&*Placement)) {
      co_await relayDenial(*Denial);
      co_return;
    }
    const auto &Grant = std::get<PlacementGrant>(*Placement);
    Grant_ = Grant;
    PlacedAt_ = readBootClock();
    if (!acceptOrigin(Grant)) {
      report(GenerationStep::Ended, Grant.Decode_);
      co_await refuseUnknownOrigin();
      co_return;
    }
    if (excludeUnusableEngines(Grant)) {
      report(GenerationStep::Ended, Grant.Decode_);
      continue;
    }
    Context_.Home_.trackGeneration(
        {BookingId_, Request_.organisationName(), Request_.Service_,
         Grant.Decode_.Id_, Request_.CallerInfo_.PromptTokens_,
         EventsSent_ * Engine_.TokensPerEvent_,
         Request_.CallerInfo_.LengthHint_, origin()});
    std::string KvSource;
    const bool IsKvReady = co_await prepareKv(Grant, KvSource);
    if (Request_.Exchange_.scope().isCancelled()) {
      Outcome = StepOutcome::Stopped;
      break;
    }
    if (IsKvReady) {
      Outcome = co_await decode(Grant.Decode_, KvSource);
      if (Outcome == StepOutcome::Rejected && !KvSource.empty() &&
          !Replacement_ && mayCall(Grant.Decode_.Id_) &&
          Retries_.tryReserve()) {
        if (Grant.Prefill_)
          report(GenerationStep::HandleLost, *Grant.Prefill_);
        // The engine may have rejected the call because it could not fetch the
        // KV cache. Without one it computes the prefill itself, unless it
        // rejected the call because it was full.
        Outcome = co_await decode(Grant.Decode_, "");
      }
      if (Outcome == StepOutcome::Rejected)
        report(GenerationStep::ServerFull, Grant.Decode_);
      if (Outcome == StepOutcome::Failed)
        ExcludedServers_.push_back(Grant.Decode_.Id_);
    }
    if (mayRetry(Outcome))
      report(GenerationStep::Ended, Grant.Decode_);
  }
  releaseReplacement();
  const Duration Elapsed =
      IsComplete_ ? readBootClock() - FirstEventAt_ : Duration::zero();
  report(GenerationStep::Ended, {}, EventsSent_ * Engine_.TokensPerEvent_,
         Elapsed);
  co_await finish(Outcome);
}

} // namespace gooseberry
