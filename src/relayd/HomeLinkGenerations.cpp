#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/HomeLink.h"

namespace gooseberry {
namespace {

std::string text(std::uint64_t Value) { return std::to_string(Value); }

} // namespace

void HomeLink::handlePlacement(const InstanceId &Sender,
                               const PlacementRequest &Request) {
  const TimePoint Now = readBootClock();
  Coordinator_.onPlacementRequest(Sender, Request, Now);
  if (Coordinator_.needsSavedOrigins() && OriginReader_)
    OriginReader_();
  else if (Coordinator_.needsSavedOrigins())
    Coordinator_.onSavedOrigins({}, Now, Now);
  sendDecisionsRateLimited();
}

void HomeLink::onSavedOrigins(
    const std::optional<std::vector<StreamOrigin>> &Saved, TimePoint ReadAt) {
  Coordinator_.onSavedOrigins(Saved, ReadAt, readBootClock());
  sendDecisions();
}

void HomeLink::handleAnswer(const InstanceId &Sender, const RequestId &Request,
                            const PlacementAnswer &Answer) {
  const auto Found = PendingPlacements_.find(Request);
  const bool IsExpected = Found != PendingPlacements_.end() &&
                          !Found->second->Answer_ && Sender == Home_;
  if (IsExpected) {
    Found->second->Answer_ = Answer;
    Found->second->Timer_->cancel();
    return;
  }
  // No placement is pending for this request: release the granted engines.
  if (std::holds_alternative<PlacementGrant>(Answer) &&
      !RunningGenerations_.contains(Request))
    send(Sender,
         GenerationReport{Request, GenerationStep::Ended, {}, 0, {}, {}, {}});
}

void HomeLink::logCrash(const GenerationReport &Report) const {
  const TimePoint Now = readBootClock();
  std::string Suspects;
  for (const CrashSuspect &Each : Coordinator_.crashSuspects(Now)) {
    for (const PromptSegmentId &Segment : Each.Segments_)
      Suspects += Segment.Value_ + ' ';
    Suspects += text(Each.Crashes_) + ';';
  }
  logLine(LogPart::Routing, LogLevel::Info,
          "Engine closed the connection as it began to answer.",
          {{"request", Report.Request_.Value_},
           {"server", Report.Server_.Value_},
           {"fingerprint", formatFingerprint(Report.Fingerprint_)},
           {"crashes", text(Coordinator_.requestQuarantine().crashesOf(
                           Report.Fingerprint_, Now))},
           {"suspects", Suspects}});
}

void HomeLink::logAnswer(const PlacementDecision &Decision) const {
  const auto *Grant = std::get_if<PlacementGrant>(&Decision.Answer_);
  const auto *Denial = std::get_if<PlacementDenial>(&Decision.Answer_);
  const RequestId &Request = Grant ? Grant->Request_ : Denial->Request_;
  const std::string RetryAfter =
      Denial && Denial->RetryAfter_
          ? std::to_string(wholeMilliseconds(*Denial->RetryAfter_))
          : "";
  const std::string Prefill =
      Grant && Grant->Prefill_ ? Grant->Prefill_->Id_.Value_ : "";
  logLine(LogPart::Routing, LogLevel::Info,
          Grant ? "Engines granted." : "Engines denied.",
          {{"request", Request.Value_},
           {"instance", Decision.Instance_.Value_},
           {"rank", std::to_string(Decision.Rank_)},
           {"prefill", Prefill},
           {"decode", Grant ? Grant->Decode_.Id_.Value_ : ""},
           {"reason", Denial ? asCode(Denial->Reason_) : ""},
           {"retry_after_ms", RetryAfter},
           {"waited_ms", std::to_string(wholeMilliseconds(Decision.WaitTime_))},
           {"waiting", text(Coordinator_.placer().waitingCount())},
           {"booked", text(Coordinator_.placer().bookedCount())},
           {"attached", text(Coordinator_.attachedCount())}});
}

void HomeLink::sendPlacementRequest(PendingPlacement &Placement) {
  PlacementRequest Request = Placement.Request_;
  const Duration Waited = readBootClock() - Placement.RequestedAt_;
  Request.TargetLeft_ -= Waited;
  Request.TimeLeft_ -= Waited;
  Request.PatienceLeft_ -= Waited;
  send(Home_, Request);
}

Task<std::optional<PlacementAnswer>> HomeLink::place(PlacementRequest Request,
                                                     CancelScope &Scope) {
  asio::steady_timer Timer(Context_, asio::steady_timer::time_point::max());
  PendingPlacement Placement;
  Placement.RequestedAt_ = readBootClock();
  Placement.Request_ = std::move(Request);
  Placement.Timer_ = &Timer;
  const RequestId Id = Placement.Request_.Request_;
  PendingPlacements_[Id] = &Placement;
  sendPlacementRequest(Placement);
  {
    CancelScope::Guard Guard(Scope, [&Timer] { Timer.cancel(); });
    while (!Placement.Answer_ && !Scope.isCancelled())
      co_await Timer.async_wait(AsTuple);
  }
  PendingPlacements_.erase(Id);
  const bool IsGranted =
      Placement.Answer_ &&
      std::holds_alternative<PlacementGrant>(*Placement.Answer_);
  if (IsGranted && !Placement.Request_.IsCharged_)
    addRecentUsage(Placement.Request_.Organisation_,
                   requestedTokens(Placement.Request_));
  if (!Placement.Answer_)
    report({Id, GenerationStep::Ended, {}, 0, {}, {}, {}});
  co_return std::move(Placement.Answer_);
}

void HomeLink::report(const GenerationReport &Report) {
  if (Report.Step_ == GenerationStep::Ended)
    RunningGenerations_.erase(Report.Request_);
  const auto Found = RunningGenerations_.find(Report.Request_);
  if (Report.Step_ == GenerationStep::Progressed &&
      Found != RunningGenerations_.end()) {
    Found->second.OutputTokens_ = Report.Tokens_;
    Found->second.Origin_ = Report.Origin_;
  }
  if (Report.Step_ == GenerationStep::CrashedAtStart)
    rememberCrash({Report.Request_, Report.Fingerprint_, TrialOutcome::Crashed,
                   Report.Server_});
  send(Home_, Report);
}

void HomeLink::trackGeneration(const RunningGeneration &Running) {
  RunningGenerations_[Running.Request_] = Running;
}

} // namespace gooseberry
