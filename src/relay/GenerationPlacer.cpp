#include "gooseberrybeam/relay/GenerationPlacer.h"

#include "relay/Durations.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace gooseberry {
namespace {

/// Paces until a pool's own are learned, in tokens per ms.
constexpr double InitialPrefillPerMs = 40;
constexpr double InitialDecodePerMs = 1;
/// Part of the most output that is expected until lengths are learned.
constexpr double InitialOutputPart = 0.5;

/// From the end of a prefill to the first event at the caller.
constexpr Duration FirstEventTime = std::chrono::milliseconds(60);

constexpr double EngineWeight = 0.3; ///< Of an engine's newest pace.
constexpr double PoolWeight = 0.05;  ///< Of a pool's newest pace or length.
/// A sample of a pace counts at most this many times the usual one.
constexpr double MostPaceRise = 1.3;

/// A caller is not asked to stay away for more than this part of its time.
constexpr int LongestReturnPart = 3;
constexpr Duration RetryWithoutServer = std::chrono::seconds(1);

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

GenerationPlacer::Pool &GenerationPlacer::poolOf(const ServiceId &Service) {
  return Pools_[Service];
}

GenerationPlacer::Engine &
GenerationPlacer::engineOf(const BackendEntry &Entry) {
  Engine &Of = Engines_[Entry.Id_];
  if (Of.BornMs_ != Entry.BornMs_) {
    // A restarted engine holds nothing of before.
    const auto Streams = std::move(Of.Streams_);
    Of = Engine();
    Of.Streams_ = Streams;
    Of.BornMs_ = Entry.BornMs_;
  }
  return Of;
}

double GenerationPlacer::expectedOutput(const Pool &Of,
                                        const PlacementAsk &Ask) const {
  const double Most = Ask.MaxOutputTokens_;
  double Expected =
      Of.OutputTokens_ > 0 ? Of.OutputTokens_ : Most * InitialOutputPart;
  const double Hint = Ask.LengthHint_;
  if (Hint > 0)
    Expected = Expected > 0 ? (Expected + Hint) / 2 : Hint;
  return Most > 0 ? std::min(Expected, Most) : Expected;
}

double GenerationPlacer::prefillPerMs(const Pool &Of,
                                      const Engine &Engine) const {
  if (Engine.PrefillPerMs_ > 0)
    return Engine.PrefillPerMs_;
  return Of.PrefillPerMs_ > 0 ? Of.PrefillPerMs_ : InitialPrefillPerMs;
}

double GenerationPlacer::decodePerMs(const Pool &Of,
                                     const Engine &Engine) const {
  if (Engine.DecodePerMs_ > 0)
    return Engine.DecodePerMs_;
  return Of.DecodePerMs_ > 0 ? Of.DecodePerMs_ : InitialDecodePerMs;
}

void GenerationPlacer::ask(const InstanceId &From, const PlacementAsk &Ask,
                           TimePoint Now) {
  erase(Ask.Request_, Now);
  Pool &In = poolOf(Ask.Service_);
  Item Of;
  Of.Instance_ = From;
  Of.Ask_ = Ask;
  Of.Arrival_ = Now;
  Of.ExpectedOutput_ = expectedOutput(In, Ask);
  Of.OutputTokens_ = Ask.OutputTokens_;
  const Engine Any;
  const double PrefillMs = Ask.PromptTokens_ / prefillPerMs(In, Any);
  const double OutputMs = std::max(0.0, Of.ExpectedOutput_ - Of.OutputTokens_) /
                          decodePerMs(In, Any);
  const Duration FirstEvent = fromMs(PrefillMs) + FirstEventTime;
  Of.Deadline_ = Now + Ask.TimeLeft_;
  Of.Work_ = fromMs(PrefillMs + OutputMs);
  Of.GiveUp_ =
      Now + std::min(Ask.TimeLeft_ - Of.Work_, Ask.PatienceLeft_ - FirstEvent);
  if (!Ask.NeedsPrefill_) {
    Items_.emplace(Ask.Request_, std::move(Of));
    In.Moved_.push_back(Ask.Request_);
    return;
  }
  Of.DueAt_ = Now + Ask.TargetLeft_;
  if (const auto FirstDue = Returns_.take(Ask, Now))
    Of.DueAt_ = std::min(Of.DueAt_, *FirstDue);
  QueueItem Entry;
  Entry.Request_ = Ask.Request_;
  Entry.Organisation_ = Ask.Organisation_;
  Entry.LatestStart_ = Of.DueAt_ - FirstEvent;
  Entry.ExpiresAt_ = Of.GiveUp_;
  Entry.CallerMayRetry_ = Ask.PatienceLeft_ < Ask.TimeLeft_;
  Entry.Weight_ = weightOf(Ask.Organisation_);
  Items_.emplace(Ask.Request_, std::move(Of));
  In.Queue_.push(Entry);
}

void GenerationPlacer::adopt(const InstanceId &From,
                             const RunningGeneration &Running, TimePoint Now) {
  const auto Known = Items_.find(Running.Request_);
  if (Known != Items_.end() && Known->second.IsGranted_)
    return;
  erase(Running.Request_, Now);
  Item Of;
  Of.Instance_ = From;
  Of.Ask_.Request_ = Running.Request_;
  Of.Ask_.Organisation_ = Running.Organisation_;
  Of.Ask_.Service_ = Running.Service_;
  Of.Ask_.PromptTokens_ = Running.PromptTokens_;
  Of.Ask_.LengthHint_ = Running.LengthHint_;
  Of.IsGranted_ = true;
  Of.Decode_ = Running.Decode_;
  Of.OutputAt_ = Now;
  Of.OutputTokens_ = Running.OutputTokens_;
  Of.ExpectedOutput_ = std::max<double>(
      Running.OutputTokens_, expectedOutput(poolOf(Running.Service_), Of.Ask_));
  Engines_[Running.Decode_].Streams_.push_back(Running.Request_);
  Items_.emplace(Running.Request_, std::move(Of));
}

void GenerationPlacer::releasePrefill(Item &Of, TimePoint Now) {
  if (!Of.IsPrefilling_)
    return;
  Of.IsPrefilling_ = false;
  Engine &At = Engines_[Of.Prefill_];
  At.Health_.onReleased(Of.Ask_.Request_);
  if (At.Prefills_ > 0)
    --At.Prefills_;
  if (At.Prefills_ == 0)
    At.ReadyAt_ = Now;
}

void GenerationPlacer::release(Item &Of, TimePoint Now) {
  releasePrefill(Of, Now);
  const auto At = Engines_.find(Of.Decode_);
  if (At == Engines_.end())
    return;
  std::erase(At->second.Streams_, Of.Ask_.Request_);
  At->second.Health_.onReleased(Of.Ask_.Request_);
}

void GenerationPlacer::erase(const RequestId &Request, TimePoint Now) {
  const auto Found = Items_.find(Request);
  if (Found == Items_.end())
    return;
  Pool &In = poolOf(Found->second.Ask_.Service_);
  if (Found->second.IsGranted_)
    release(Found->second, Now);
  else
    In.Queue_.erase(Request);
  std::erase(In.Moved_, Request);
  Items_.erase(Found);
}

void GenerationPlacer::drop(const InstanceId &Instance) {
  std::vector<RequestId> Dropped;
  for (const auto &[Request, Of] : Items_)
    if (Of.Instance_ == Instance)
      Dropped.push_back(Request);
  for (const auto &Request : Dropped)
    erase(Request, TimePoint(Duration::zero()));
}

void GenerationPlacer::learnPrefill(const GenerationReport &Report) {
  const auto Found = Items_.find(Report.Request_);
  if (Found == Items_.end() || Report.Took_ <= Duration::zero())
    return;
  Engine &Of = Engines_[Report.Server_];
  Of.Health_.onSuccess();
  if (!Found->second.IsSolePrefill_)
    return;
  Pool &In = poolOf(Found->second.Ask_.Service_);
  const double Usual =
      In.PrefillPerMs_ > 0 ? In.PrefillPerMs_ : InitialPrefillPerMs;
  // A prompt that the engine had kept is read in no time, and says nothing.
  const double PerMs = std::min(Report.Tokens_ / asMilliseconds(Report.Took_),
                                Usual * MostPaceRise);
  smooth(Of.PrefillPerMs_, PerMs, EngineWeight);
  smooth(In.PrefillPerMs_, PerMs, PoolWeight);
}

void GenerationPlacer::learnDecode(Item &Of, const GenerationReport &Report,
                                   TimePoint Now) {
  Of.OutputTokens_ = std::max<double>(Of.OutputTokens_, Report.Tokens_);
  Of.OutputAt_ = Now;
  Engine &At = Engines_[Report.Server_];
  At.Health_.onSuccess();
  if (!Of.Prefill_.Value_.empty())
    Engines_[Of.Prefill_].Health_.onHandleTaken();
  if (Report.Took_ <= Duration::zero())
    return;
  const double PerMs = Report.Tokens_ / asMilliseconds(Report.Took_);
  smooth(At.DecodePerMs_, PerMs, EngineWeight);
  smooth(poolOf(Of.Ask_.Service_).DecodePerMs_, PerMs, PoolWeight);
}

void GenerationPlacer::report(const GenerationReport &Report, TimePoint Now) {
  const auto Found = Items_.find(Report.Request_);
  switch (Report.Step_) {
  case GenerationStep::Prefilled:
    learnPrefill(Report);
    if (Found != Items_.end())
      releasePrefill(Found->second, Now);
    return;
  case GenerationStep::Progressed:
    if (Found != Items_.end())
      learnDecode(Found->second, Report, Now);
    return;
  case GenerationStep::Ended:
    if (Found != Items_.end() && Report.Took_ > Duration::zero())
      smooth(poolOf(Found->second.Ask_.Service_).OutputTokens_, Report.Tokens_,
             PoolWeight);
    erase(Report.Request_, Now);
    return;
  case GenerationStep::HandleLost:
    Engines_[Report.Server_].Health_.onHandleLost(Now);
    if (Found != Items_.end())
      Found->second.Prefill_ = ServerId();
    return;
  case GenerationStep::ServerFull:
    Engines_[Report.Server_].Health_.onFull(Now);
    return;
  case GenerationStep::ServerFailed:
  case GenerationStep::ServerMissing:
    Engines_[Report.Server_].Health_.onFailure(Now);
    return;
  }
}

void GenerationPlacer::grant(Pool &In, Item &To, const Choice &Of,
                             TimePoint Now, std::vector<PlacedFor> &Out) {
  if (To.Arrival_ < In.GrantedAt_)
    smooth(In.GrantMs_, asMilliseconds(Now - In.GrantedAt_), PoolWeight);
  In.GrantedAt_ = Now;
  In.Queue_.erase(To.Ask_.Request_);
  In.Queue_.charge(To.Ask_.Organisation_, weightOf(To.Ask_.Organisation_),
                   To.Ask_.PromptTokens_ + To.ExpectedOutput_);
  To.IsGranted_ = true;
  To.OutputAt_ = Now;
  const BackendEntry &Decode = *Of.Decode_->Entry_;
  Engine &On = *Of.Decode_->State_;
  To.Decode_ = Decode.Id_;
  On.Streams_.push_back(To.Ask_.Request_);
  On.Health_.onGranted(To.Ask_.Request_);
  Of.Decode_->Streams_.push_back(streamOf(To, In, On, Now));
  PlacementGrant Answer;
  Answer.Request_ = To.Ask_.Request_;
  Answer.Decode_ = {Decode.Id_, Decode.Address_};
  if (Of.Prefill_) {
    Engine &At = Engines_[Of.Prefill_->Id_];
    To.Prefill_ = Of.Prefill_->Id_;
    To.IsPrefilling_ = true;
    To.IsSolePrefill_ = At.Prefills_ == 0;
    ++At.Prefills_;
    At.Health_.onGranted(To.Ask_.Request_);
    At.ReadyAt_ = std::max(Now, At.ReadyAt_) +
                  fromMs(To.Ask_.PromptTokens_ / prefillPerMs(In, At));
    Answer.Prefill_ = ChosenServer{Of.Prefill_->Id_, Of.Prefill_->Address_};
  }
  Out.push_back({To.Instance_, std::move(Answer), Now - To.Arrival_});
}

double GenerationPlacer::weightOf(const OrganisationId &Organisation) const {
  const RelayOrganisation *Known =
      Configuration_ ? Configuration_->findOrganisation(Organisation) : nullptr;
  return Known && Known->Limit_ ? std::max(1.0, Known->Limit_->RatePerSecond_)
                                : 1;
}

void GenerationPlacer::deny(const RequestId &Request, RefusalReason Reason,
                            std::optional<Duration> RetryAfter, TimePoint Now,
                            std::vector<PlacedFor> &Out) {
  const Item &Of = Items_.at(Request);
  Out.push_back({Of.Instance_, PlacementDenial{Request, Reason, RetryAfter},
                 Now - Of.Arrival_});
  erase(Request, Now);
}

// When those that wait now will have been granted engines. None if the caller
// has not enough time to come back then.
std::optional<Duration> GenerationPlacer::retryAfter(const Pool &In,
                                                     const Item &Of,
                                                     TimePoint Now) const {
  const Duration Left = Of.Deadline_ - Now;
  const auto Waiting = static_cast<double>(In.Queue_.size());
  const Duration Wait =
      std::min(fromMs(Waiting * In.GrantMs_), Left / LongestReturnPart);
  if (Wait <= Duration::zero() || Wait + Of.Work_ > Left)
    return std::nullopt;
  return Wait;
}

void GenerationPlacer::refuseHopeless(Pool &In, TimePoint Now,
                                      std::vector<PlacedFor> &Out) {
  for (const RequestId &Request : In.Queue_.takeExpired(Now)) {
    const Item &Of = Items_.at(Request);
    const auto RetryAfter = retryAfter(In, Of, Now);
    if (RetryAfter)
      Returns_.onRefused(Of.Ask_, Of.DueAt_, Of.Deadline_);
    deny(Request, RefusalReason::DeadlineUnreachable, RetryAfter, Now, Out);
  }
}

// A caller waits in the middle of its answer; nobody new is served before.
void GenerationPlacer::decideMoved(std::vector<DecodeEngine> &Engines, Pool &In,
                                   const EngineTraits &Traits, TimePoint Now,
                                   std::vector<PlacedFor> &Out) {
  const std::vector<RequestId> Waiting = std::exchange(In.Moved_, {});
  for (const RequestId &Request : Waiting) {
    Item &Of = Items_.at(Request);
    if (Of.GiveUp_ < Now) {
      deny(Request, RefusalReason::DeadlineUnreachable, {}, Now, Out);
    } else if (const auto Chosen = choose(Engines, In, Of, Traits, Now)) {
      grant(In, Of, *Chosen, Now, Out);
    } else {
      In.Moved_.push_back(Request);
    }
  }
}

void GenerationPlacer::decideNew(std::vector<DecodeEngine> &Engines, Pool &In,
                                 const EngineTraits &Traits, TimePoint Now,
                                 std::vector<PlacedFor> &Out) {
  while (const auto Next = In.Queue_.peek(Now)) {
    Item &Of = Items_.at(*Next);
    const auto Chosen = choose(Engines, In, Of, Traits, Now);
    if (!Chosen)
      return;
    grant(In, Of, *Chosen, Now, Out);
  }
}

void GenerationPlacer::decidePool(const ServiceId &Service, Pool &In,
                                  TimePoint Now, std::vector<PlacedFor> &Out) {
  refuseHopeless(In, Now, Out);
  if (In.Queue_.size() + In.Moved_.size() == 0)
    return;
  const RelayService *Known = Configuration_->findService(Service);
  if (!Known || !Known->Engine_) {
    while (const auto Next = In.Queue_.peek(Now))
      deny(*Next, RefusalReason::NoBackendServer, RetryWithoutServer, Now, Out);
    return;
  }
  std::vector<DecodeEngine> Engines = decodeEngines(Service, In, Now);
  decideMoved(Engines, In, *Known->Engine_, Now, Out);
  decideNew(Engines, In, *Known->Engine_, Now, Out);
}

std::vector<PlacedFor> GenerationPlacer::decide(TimePoint Now) {
  std::vector<PlacedFor> Out;
  if (!Configuration_)
    return Out;
  for (auto &[Service, In] : Pools_)
    decidePool(Service, In, Now, Out);
  return Out;
}

bool GenerationPlacer::isWaiting(const InstanceId &From,
                                 const RequestId &Request) const {
  const auto Found = Items_.find(Request);
  return Found != Items_.end() && !Found->second.IsGranted_ &&
         Found->second.Instance_ == From;
}

std::size_t GenerationPlacer::waiting() const {
  std::size_t Count = 0;
  for (const auto &[Service, In] : Pools_)
    Count += In.Queue_.size() + In.Moved_.size();
  return Count;
}

} // namespace gooseberry
