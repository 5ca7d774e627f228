#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/GenerationCall.h"
#include "gooseberrybeam/relayd/RelayResponse.h"

#include <utility>

namespace gooseberry {

// Whether a decode call that is about to start may be left for another one.
bool GenerationCall::mayMoveDecode() const {
  return Request_.Route_.mayRetry() &&
         StartedDecodes_ + 1 < Request_.Route_.MaxServers_;
}

std::unique_ptr<FailoverSearch>
GenerationCall::watch(const ChosenServer &Engine, StallFailover Failover,
                      bool TakesRetry) {
  FailoverSearch::Callbacks Handlers;
  Handlers.OnStall_ = [this, Engine] { reportStall(Engine); };
  Handlers.OnResume_ = [this, Engine] {
    report(GenerationStep::ServerResumed, Engine);
  };
  Handlers.MakeRequest_ = [this, Engine, TakesRetry] {
    return makeFailoverRequest(Engine, TakesRetry);
  };
  Handlers.Accept_ = [this, TakesRetry](const PlacementGrant &Grant) {
    return acceptReplacement(Grant, TakesRetry);
  };
  return std::make_unique<FailoverSearch>(Context_.IoContext_, Context_.Home_,
                                          Request_.Exchange_.scope(), Failover,
                                          std::move(Handlers));
}

// If an engine does not respond on one connection, its idle connections may not
// work either.
void GenerationCall::reportStall(const ChosenServer &Engine) {
  Context_.Pool_.discard(Engine.Address_);
  Context_.Contact_.onUnreachable(Engine.Address_, readBootClock());
  report(GenerationStep::ServerStalled, Engine);
  logLine(LogPart::Engine, LogLevel::Info,
          "Engine is silent; another one is searched.",
          {{"request", Request_.Exchange_.id().Value_},
           {"server", Engine.Id_.Value_},
           {"events", std::to_string(EventsSent_)},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
}

std::optional<PlacementRequest>
GenerationCall::makeFailoverRequest(const ChosenServer &Engine,
                                    bool TakesRetry) {
  if (Placements_ >= MaxPlacements || !mayGoOn())
    return std::nullopt;
  if (TakesRetry && !Retries_.isAvailable())
    return std::nullopt;
  PlacementRequest Placement = makePlacementRequest();
  Placement.Request_ = {Request_.Exchange_.id().Value_ + "/" +
                        std::to_string(++Searches_)};
  Placement.IsCharged_ = true;
  Placement.ExcludedEngines_.push_back(Engine.Id_);
  return Placement;
}

bool GenerationCall::acceptReplacement(const PlacementGrant &Grant,
                                       bool TakesRetry) {
  if (excludeUnusableEngines(Grant))
    return false;
  if (TakesRetry && !Retries_.tryReserve())
    return false;
  Replacement_ = Grant;
  return true;
}

// Whether the caller has the beginning of the stream from an earlier request.
bool GenerationCall::continuesStream() const {
  return Request_.CallerInfo_.ContinuesStream_;
}

const RequestId &GenerationCall::stream() const {
  const RequestId &Resumed = Request_.CallerInfo_.ResumedRequest_;
  return Resumed.isEmpty() ? Request_.Exchange_.id() : Resumed;
}

// Takes the software that began a stream from the grant of a home that knows
// it. A home of an earlier release does not.
bool GenerationCall::acceptOrigin(const PlacementGrant &Grant) {
  if (continuesStream() && Software_.isEmpty())
    Software_ = Grant.Software_;
  return !continuesStream() || !Software_.isEmpty();
}

std::optional<StreamOrigin> GenerationCall::origin() const {
  if (!Request_.Route_.IsResumable_ || Software_.isEmpty())
    return std::nullopt;
  return StreamOrigin{stream(), Request_.Service_, Software_};
}

Task<void> GenerationCall::refuseUnknownOrigin() {
  co_await refuse(Context_, Request_.Exchange_,
                  {RefusalReason::OriginUnknown, Execution::NotRun, {}},
                  "the home does not state what began the stream");
}

// A stream that has begun goes on only at the software that began it.
bool GenerationCall::mayGoOn() const {
  return EventsSent_ == 0 || !Software_.isEmpty();
}

// The version of an engine changes if it restarts under its id. None while home
// and directory do not agree.
std::optional<SoftwareVersionId>
GenerationCall::softwareOf(const ChosenServer &Engine,
                           const PlacementGrant &Grant) const {
  const BackendEntry *Entry = Context_.Directory_.find(Engine.Id_);
  if (!Entry)
    return Grant.Software_;
  const bool IsDisputed =
      !Grant.Software_.isEmpty() && Entry->SoftwareVersion_ != Grant.Software_;
  if (IsDisputed)
    return std::nullopt;
  return Entry->SoftwareVersion_;
}

// What a prefill engine reads is of use to its own software only.
bool GenerationCall::isRequiredSoftware(const ChosenServer &Engine,
                                        const PlacementGrant &Grant) const {
  const auto Software = softwareOf(Engine, Grant);
  if (!Software_.isEmpty())
    return Software == Software_;
  return Software && Software == softwareOf(Grant.Decode_, Grant);
}

// The silent engine has been left, and its reservation released.
Task<std::optional<PlacementAnswer>> GenerationCall::nextPlacement() {
  if (!Replacement_)
    co_return co_await place();
  PlacementGrant Grant = *std::exchange(Replacement_, std::nullopt);
  BookingId_ = Grant.Request_;
  co_return Grant;
}

// The engine that was silent has completed its work before it was left.
void GenerationCall::releaseReplacement() {
  if (!Replacement_)
    return;
  Context_.Home_.report(
      {Replacement_->Request_, GenerationStep::Ended, {}, 0, {}, {}});
  Replacement_.reset();
}

} // namespace gooseberry
