#include "gooseberrybeam/relay/GenerationPlacer.h"

#include "relay/Durations.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberry {
namespace {

/// Rates that are assumed until a pool has samples of its own.
constexpr double InitialPrefillTokensPerMs = 40;
constexpr double InitialDecodeTokensPerMs = 1;
/// Expected output as a fraction of the maximum output, until the pool has
/// samples.
constexpr double InitialOutputFraction = 0.5;

/// Time from the end of a prefill to the first event at the caller.
constexpr Duration FirstEventLatency = std::chrono::milliseconds(60);

/// Weight of the newest sample in an engine's average.
constexpr double EngineSampleWeight = 0.3;
/// Weight of the newest sample in a pool's average.
constexpr double PoolSampleWeight = 0.05;
/// Prefill rate samples are capped at this multiple of the pool's average.
constexpr double MaxPrefillRateRatio = 1.3;

constexpr Duration RetryAfterNoServer = std::chrono::seconds(1);

void smooth(double &Value, double Sample, double Weight) {
  Value = Value == 0 ? Sample : Value + Weight * (Sample - Value);
}

} // namespace

GenerationPlacer::GenerationPlacer(const BackendDirectory &Directory)
    : Directory_(Directory) {}

void GenerationPlacer::configure(
    std::shared_ptr<const RelayConfiguration> Configuration) {
  Configuration_ = std::move(Configuration);
}

GenerationPlacer::PoolState &
GenerationPlacer::poolOf(const ServiceId &Service) {
  return Pools_[Service];
}

GenerationPlacer::EngineState &
GenerationPlacer::engineOf(const BackendEntry &Entry) {
  EngineState &Engine = Engines_[Entry.Id_];
  if (Engine.StartTimeMs_ != Entry.StartTimeMs_) {
    // A restarted engine has lost its KV memory, so its estimates are reset.
    const auto Streams = std::move(Engine.Streams_);
    Engine = EngineState();
    Engine.Streams_ = Streams;
    Engine.StartTimeMs_ = Entry.StartTimeMs_;
  }
  return Engine;
}

double
GenerationPlacer::expectedOutput(const PoolState &Pool,
                                 const PlacementRequest &Placement) const {
  const double MaxOutput = Placement.MaxOutputTokens_;
  double Expected = Pool.MeanOutputTokens_ > 0
                        ? Pool.MeanOutputTokens_
                        : MaxOutput * InitialOutputFraction;
  const double Hint = Placement.LengthHint_;
  if (Hint > 0)
    Expected = Expected > 0 ? (Expected + Hint) / 2 : Hint;
  return MaxOutput > 0 ? std::min(Expected, MaxOutput) : Expected;
}

double GenerationPlacer::prefillTokensPerMs(const PoolState &Pool,
                                            const EngineState &Engine) const {
  if (Engine.PrefillTokensPerMs_ > 0)
    return Engine.PrefillTokensPerMs_;
  return Pool.PrefillTokensPerMs_ > 0 ? Pool.PrefillTokensPerMs_
                                      : InitialPrefillTokensPerMs;
}

double GenerationPlacer::decodeTokensPerMs(const PoolState &Pool,
                                           const EngineState &Engine) const {
  if (Engine.DecodeTokensPerMs_ > 0)
    return Engine.DecodeTokensPerMs_;
  return Pool.DecodeTokensPerMs_ > 0 ? Pool.DecodeTokensPerMs_
                                     : InitialDecodeTokensPerMs;
}

void GenerationPlacer::enqueue(const InstanceId &Instance,
                               const PlacementRequest &Placement,
                               TimePoint Now) {
  erase(Placement.Request_, Now);
  PoolState &Pool = poolOf(Placement.Service_);
  GenerationState Generation;
  Generation.Instance_ = Instance;
  Generation.Placement_ = Placement;
  Generation.Arrival_ = Now;
  Generation.ExpectedOutput_ = expectedOutput(Pool, Placement);
  Generation.OutputTokens_ = Placement.OutputTokens_;
  const EngineState UnknownEngine;
  const double PrefillMs =
      Placement.PromptTokens_ / prefillTokensPerMs(Pool, UnknownEngine);
  const double OutputMs =
      std::max(0.0, Generation.ExpectedOutput_ - Generation.OutputTokens_) /
      decodeTokensPerMs(Pool, UnknownEngine);
  const Duration FirstEvent = fromMs(PrefillMs) + FirstEventLatency;
  Generation.Deadline_ = Now + Placement.TimeLeft_;
  Generation.ExpectedDuration_ = fromMs(PrefillMs + OutputMs);
  Generation.StartDeadline_ =
      Now + std::min(Placement.TimeLeft_ - Generation.ExpectedDuration_,
                     Placement.PatienceLeft_ - FirstEvent);
  if (!Placement.NeedsPrefill_) {
    Generations_.emplace(Placement.Request_, std::move(Generation));
    Pool.MovedStreams_.push_back(Placement.Request_);
    return;
  }
  Generation.FirstEventDue_ = Now + Placement.TargetLeft_;
  if (const auto EarlierDue = Refusals_.take(Placement, Now))
    Generation.FirstEventDue_ =
        std::min(Generation.FirstEventDue_, *EarlierDue);
  Generation.LatestStart_ = Generation.FirstEventDue_ - FirstEvent;
  Pool.Queue_.push(makeQueueItem(Generation));
  Generations_.emplace(Placement.Request_, std::move(Generation));
}

void GenerationPlacer::adopt(const InstanceId &Instance,
                             const RunningGeneration &Running, TimePoint Now) {
  const auto Known = Generations_.find(Running.Request_);
  if (Known != Generations_.end() && Known->second.IsGranted_)
    return;
  erase(Running.Request_, Now);
  GenerationState Generation;
  Generation.Instance_ = Instance;
  Generation.Placement_.Request_ = Running.Request_;
  Generation.Placement_.Organisation_ = Running.Organisation_;
  Generation.Placement_.Service_ = Running.Service_;
  Generation.Placement_.PromptTokens_ = Running.PromptTokens_;
  Generation.Placement_.LengthHint_ = Running.LengthHint_;
  Generation.IsGranted_ = true;
  Generation.Decode_ = Running.Decode_;
  Generation.OutputUpdatedAt_ = Now;
  Generation.OutputTokens_ = Running.OutputTokens_;
  Generation.ExpectedOutput_ = std::max<double>(
      Running.OutputTokens_,
      expectedOutput(poolOf(Running.Service_), Generation.Placement_));
  Engines_[Running.Decode_].Streams_.push_back(Running.Request_);
  Generations_.emplace(Running.Request_, std::move(Generation));
}

void GenerationPlacer::releasePrefill(GenerationState &Generation,
                                      TimePoint Now) {
  if (!Generation.IsPrefilling_)
    return;
  Generation.IsPrefilling_ = false;
  EngineState &Engine = Engines_[Generation.Prefill_];
  Engine.Health_.onReleased(Generation.Placement_.Request_);
  if (Engine.PendingPrefills_ > 0)
    --Engine.PendingPrefills_;
  if (Engine.PendingPrefills_ == 0)
    Engine.ReadyAt_ = Now;
}

void GenerationPlacer::release(GenerationState &Generation, TimePoint Now) {
  releasePrefill(Generation, Now);
  const auto Engine = Engines_.find(Generation.Decode_);
  if (Engine == Engines_.end())
    return;
  std::erase(Engine->second.Streams_, Generation.Placement_.Request_);
  Engine->second.Health_.onReleased(Generation.Placement_.Request_);
}

void GenerationPlacer::erase(const RequestId &Request, TimePoint Now) {
  const auto Found = Generations_.find(Request);
  if (Found == Generations_.end())
    return;
  PoolState &Pool = poolOf(Found->second.Placement_.Service_);
  if (Found->second.IsGranted_)
    release(Found->second, Now);
  else
    Pool.Queue_.erase(Request);
  std::erase(Pool.MovedStreams_, Request);
  std::erase(Pool.HeldRequests_, Request);
  Quarantine_.onReleased(Request);
  RequestQuarantine_.onReleased(Request);
  Generations_.erase(Found);
}

void GenerationPlacer::dropInstance(const InstanceId &Instance) {
  std::vector<RequestId> Dropped;
  for (const auto &[Request, Generation] : Generations_)
    if (Generation.Instance_ == Instance)
      Dropped.push_back(Request);
  for (const auto &Request : Dropped)
    erase(Request, TimePoint(Duration::zero()));
}

void GenerationPlacer::recordAnswer(const PlacementRequest &Placement,
                                    TimePoint Now) {
  Quarantine_.onAnswered(Placement.SharedSegments_, Now);
  RequestQuarantine_.onAnswered(Placement.Fingerprint_, Now);
}

void GenerationPlacer::recordPrefill(const GenerationReport &Report) {
  const auto Found = Generations_.find(Report.Request_);
  if (Found == Generations_.end() || Report.Elapsed_ <= Duration::zero())
    return;
  EngineState &Engine = Engines_[Report.Server_];
  Engine.Health_.onSuccess();
  if (!Found->second.IsSolePrefill_)
    return;
  PoolState &Pool = poolOf(Found->second.Placement_.Service_);
  const double TypicalTokensPerMs = Pool.PrefillTokensPerMs_ > 0
                                        ? Pool.PrefillTokensPerMs_
                                        : InitialPrefillTokensPerMs;
  // A cached prompt is prefilled almost instantly and is no evidence of the
  // rate.
  const double TokensPerMs =
      std::min(Report.Tokens_ / asMilliseconds(Report.Elapsed_),
               TypicalTokensPerMs * MaxPrefillRateRatio);
  smooth(Engine.PrefillTokensPerMs_, TokensPerMs, EngineSampleWeight);
  smooth(Pool.PrefillTokensPerMs_, TokensPerMs, PoolSampleWeight);
}

void GenerationPlacer::recordDecode(GenerationState &Generation,
                                    const GenerationReport &Report,
                                    TimePoint Now) {
  Generation.OutputTokens_ =
      std::max<double>(Generation.OutputTokens_, Report.Tokens_);
  Generation.OutputUpdatedAt_ = Now;
  Generation.HasEvents_ = true;
  if (Report.Tokens_ > 0)
    recordAnswer(Generation.Placement_, Now);
  EngineState &Engine = Engines_[Report.Server_];
  Engine.Health_.onSuccess();
  if (!Generation.Prefill_.Value_.empty())
    Engines_[Generation.Prefill_].Health_.onHandleFetched();
  if (Report.Elapsed_ <= Duration::zero())
    return;
  const double TokensPerMs = Report.Tokens_ / asMilliseconds(Report.Elapsed_);
  smooth(Engine.DecodeTokensPerMs_, TokensPerMs, EngineSampleWeight);
  smooth(poolOf(Generation.Placement_.Service_).DecodeTokensPerMs_, TokensPerMs,
         PoolSampleWeight);
}

void GenerationPlacer::onReport(const GenerationReport &Report, TimePoint Now) {
  const auto Found = Generations_.find(Report.Request_);
  switch (Report.Step_) {
  case GenerationStep::Prefilled:
    recordPrefill(Report);
    if (Found != Generations_.end())
      releasePrefill(Found->second, Now);
    return;
  case GenerationStep::Progressed:
    if (Found != Generations_.end())
      recordDecode(Found->second, Report, Now);
    return;
  case GenerationStep::Ended:
    if (Found != Generations_.end() && Report.Elapsed_ > Duration::zero()) {
      smooth(poolOf(Found->second.Placement_.Service_).MeanOutputTokens_,
             Report.Tokens_, PoolSampleWeight);
      recordAnswer(Found->second.Placement_, Now);
    }
    erase(Report.Request_, Now);
    return;
  case GenerationStep::HandleLost:
    Engines_[Report.Server_].Health_.onHandleLost(Now);
    if (Found == Generations_.end())
      return;
    Found->second.Prefill_ = ServerId();
    // The decode engine is called once more, without the handle.
    ServerLimits_.take(Found->second.Decode_, Now);
    return;
  case GenerationStep::ServerFull:
    Engines_[Report.Server_].Health_.onFull(Now);
    return;
  case GenerationStep::CrashedAtStart:
    Quarantine_.onCrash(Report.Request_, Report.SharedSegments_, Report.Server_,
                        Now);
    RequestQuarantine_.onCrash(Report.Request_, Report.Fingerprint_,
                               Report.Server_, Now);
    Engines_[Report.Server_].Health_.onFailure(Now);
    return;
  case GenerationStep::ServerFailed:
  case GenerationStep::ServerReplaced:
    Engines_[Report.Server_].Health_.onFailure(Now);
    return;
  case GenerationStep::ServerStalled:
    Engines_[Report.Server_].Health_.onStall(Now);
    return;
  case GenerationStep::ServerResumed:
    Engines_[Report.Server_].Health_.onResume();
    return;
  }
}

void GenerationPlacer::grant(PoolState &Pool, GenerationState &Generation,
                             const EnginePair &Engines, TimePoint Now,
                             std::vector<PlacementDecision> &Decisions) {
  Pool.Grants_.onGranted(Generation.Arrival_, Now);
  Pool.Queue_.eraseGranted(Generation.Placement_.Request_);
  Pool.Queue_.charge(Generation.Placement_.Organisation_,
                     weightOf(Generation.Placement_.Organisation_),
                     Generation.Placement_.PromptTokens_ +
                         Generation.ExpectedOutput_,
                     Generation.Placement_.Priority_);
  Generation.IsGranted_ = true;
  Generation.OutputUpdatedAt_ = Now;
  Quarantine_.onGranted(Generation.Placement_.Request_,
                        Generation.Placement_.SharedSegments_, Now);
  RequestQuarantine_.onStarted(Generation.Placement_.Request_,
                               Generation.Placement_.Fingerprint_, Now);
  ++Engines.Decode_->Starting_;
  Engines.Decode_->HasStartingSuspect_ |= Generation.IsSuspect_;
  const BackendEntry &Decode = *Engines.Decode_->Entry_;
  EngineState &DecodeEngine = *Engines.Decode_->State_;
  Generation.Decode_ = Decode.Id_;
  ServerLimits_.take(Decode.Id_, Now);
  DecodeEngine.Streams_.push_back(Generation.Placement_.Request_);
  DecodeEngine.Health_.onAssigned(Generation.Placement_.Request_);
  Engines.Decode_->Streams_.push_back(
      forecastStream(Generation, Pool, DecodeEngine, Now));
  PlacementGrant Answer;
  Answer.Request_ = Generation.Placement_.Request_;
  Answer.Decode_ = {Decode.Id_, Decode.Address_};
  Answer.Software_ = Decode.SoftwareVersion_;
  if (Engines.Prefill_) {
    EngineState &PrefillEngine = Engines_[Engines.Prefill_->Id_];
    Generation.Prefill_ = Engines.Prefill_->Id_;
    ServerLimits_.take(Engines.Prefill_->Id_, Now);
    Generation.IsPrefilling_ = true;
    Generation.IsSolePrefill_ = PrefillEngine.PendingPrefills_ == 0;
    ++PrefillEngine.PendingPrefills_;
    PrefillEngine.Health_.onAssigned(Generation.Placement_.Request_);
    PrefillEngine.ReadyAt_ = std::max(Now, PrefillEngine.ReadyAt_) +
                             fromMs(Generation.Placement_.PromptTokens_ /
                                    prefillTokensPerMs(Pool, PrefillEngine));
    Answer.Prefill_ =
        ChosenServer{Engines.Prefill_->Id_, Engines.Prefill_->Address_};
  }
  Decisions.push_back({Generation.Instance_, std::move(Answer),
                       Now - Generation.Arrival_,
                       Generation.Placement_.Priority_});
}

std::size_t GenerationPlacer::prefillingFor(const ServerId &Decode) const {
  const auto Engine = Engines_.find(Decode);
  if (Engine == Engines_.end())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      Engine->second.Streams_, [this](const RequestId &Each) {
        return Generations_.at(Each).IsPrefilling_;
      }));
}

double GenerationPlacer::weightOf(const OrganisationId &Organisation) const {
  const RelayOrganisation *Known =
      Configuration_ ? Configuration_->findOrganisation(Organisation) : nullptr;
  return Known && Known->Limit_ ? std::max(1.0, Known->Limit_->RatePerSecond_)
                                : 1;
}

void GenerationPlacer::deny(const RequestId &Request, RefusalReason Reason,
                            std::optional<Duration> RetryAfter, TimePoint Now,
                            std::vector<PlacementDecision> &Decisions) {
  const GenerationState &Generation = Generations_.at(Request);
  Decisions.push_back(
      {Generation.Instance_, PlacementDenial{Request, Reason, RetryAfter},
       Now - Generation.Arrival_, Generation.Placement_.Priority_});
  erase(Request, Now);
}

CrashAdmission GenerationPlacer::admit(GenerationState &Generation,
                                       TimePoint Now) {
  const PlacementRequest &Placement = Generation.Placement_;
  const CrashAdmission Admission =
      std::max(Quarantine_.admissionOf(Placement.SharedSegments_, Now),
               RequestQuarantine_.admissionOf(Placement.Fingerprint_, Now));
  Generation.IsSuspect_ = Admission != CrashAdmission::Free;
  return Admission;
}

// Requests whose trial has ended return to the queue.
void GenerationPlacer::queueHeldRequests(
    PoolState &Pool, TimePoint Now, std::vector<PlacementDecision> &Decisions) {
  const std::vector<RequestId> Held = std::exchange(Pool.HeldRequests_, {});
  for (const RequestId &Request : Held) {
    GenerationState &Generation = Generations_.at(Request);
    const CrashAdmission Admission = admit(Generation, Now);
    if (Admission == CrashAdmission::Quarantined)
      deny(Request, RefusalReason::PromptQuarantined, {}, Now, Decisions);
    else if (Generation.StartDeadline_ < Now)
      deny(Request, RefusalReason::DeadlineUnreachable, {}, Now, Decisions);
    else if (Admission == CrashAdmission::Held)
      Pool.HeldRequests_.push_back(Request);
    else
      Pool.Queue_.push(makeQueueItem(Generation));
  }
}

// Moved streams go first, as their callers are waiting in the middle of an
// answer.
void GenerationPlacer::placeMovedStreams(
    std::vector<DecodeCandidate> &Candidates, PoolState &Pool,
    const EngineTraits &Traits, TimePoint Now,
    std::vector<PlacementDecision> &Decisions) {
  const std::vector<RequestId> Waiting = std::exchange(Pool.MovedStreams_, {});
  for (const RequestId &Request : Waiting) {
    GenerationState &Generation = Generations_.at(Request);
    const CrashAdmission Admission = admit(Generation, Now);
    if (Admission == CrashAdmission::Quarantined) {
      deny(Request, RefusalReason::PromptQuarantined, {}, Now, Decisions);
    } else if (Generation.StartDeadline_ < Now) {
      deny(Request, RefusalReason::DeadlineUnreachable, {}, Now, Decisions);
    } else if (isSoftwareGone(Candidates, Generation.Placement_)) {
      deny(Request, RefusalReason::SoftwareGone, {}, Now, Decisions);
    } else {
      const auto Chosen =
          Admission == CrashAdmission::Held
              ? std::nullopt
              : chooseEngines(Candidates, Pool, Generation, Traits, Now);
      if (Chosen)
        grant(Pool, Generation, *Chosen, Now, Decisions);
      else
        Pool.MovedStreams_.push_back(Request);
    }
  }
}

void GenerationPlacer::decidePool(const ServiceId &Service, PoolState &Pool,
                                  TimePoint Now,
                                  std::vector<PlacementDecision> &Decisions) {
  refuseExpired(Pool, Now, Decisions);
  refuseUnreachable(Pool, Now, Decisions);
  queueHeldRequests(Pool, Now, Decisions);
  if (Pool.Queue_.size() + Pool.MovedStreams_.size() == 0)
    return;
  const RelayService *Known = Configuration_->findService(Service);
  if (!Known || !Known->Engine_) {
    while (const auto Next = Pool.Queue_.peek(Now))
      deny(*Next, RefusalReason::NoBackendServer, RetryAfterNoServer, Now,
           Decisions);
    return;
  }
  std::vector<DecodeCandidate> Candidates =
      decodeCandidates(Service, Pool, Now);
  placeMovedStreams(Candidates, Pool, *Known->Engine_, Now, Decisions);
  placeQueued(Candidates, Pool, *Known->Engine_, Now, Decisions);
}

std::vector<PlacementDecision> GenerationPlacer::decide(TimePoint Now) {
  std::vector<PlacementDecision> Decisions;
  if (!Configuration_)
    return Decisions;
  for (auto &[Service, Pool] : Pools_)
    decidePool(Service, Pool, Now, Decisions);
  return Decisions;
}

bool GenerationPlacer::isWaiting(const InstanceId &Instance,
                                 const RequestId &Request) const {
  const auto Found = Generations_.find(Request);
  return Found != Generations_.end() && !Found->second.IsGranted_ &&
         Found->second.Instance_ == Instance;
}

std::size_t GenerationPlacer::waitingCount() const {
  std::size_t Count = 0;
  for (const auto &[Service, Pool] : Pools_)
    Count += Pool.Queue_.size() + Pool.MovedStreams_.size() +
             Pool.HeldRequests_.size();
  return Count;
}

} // namespace gooseberry
