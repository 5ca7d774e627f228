#include "gooseberrybeam/relay/GenerationPlacer.h"
#include "relay/Durations.h"

#include <algorithm>
#include <limits>
#include <map>

namespace gooseberry {
namespace {

/// Expected further output of a stream that has exceeded its forecast, as a
/// fraction of the pool's mean output.
constexpr double OverdueOutputFraction = 0.25;
/// Fraction of an engine's KV memory that may be reserved; the rest is a
/// margin, as output lengths are only estimates.
constexpr double BookableKvFraction = 0.93;
/// A prompt is sent to a prefill engine only if the engine can start within
/// this time, so that the remaining queue can still be reordered.
constexpr Duration MaxPrefillBacklog = std::chrono::milliseconds(60);
/// Maximum prompts sent to a prefill engine at a time: it processes one while
/// the next is in transit.
constexpr std::uint32_t MaxPendingPrefills = 2;
/// Extra cost of transferring a prompt between data centres, in terms of
/// waiting time.
constexpr Duration RemoteTransferPenalty = std::chrono::milliseconds(15);
/// A decode engine slower than this fraction of its pool's rate is used last.
constexpr double SlowRateThreshold = 0.6;
/// A prefill engine that its limit keeps busy for longer is not awaited: the
/// decode engine computes the prefill if there is no other.
constexpr Duration MaxPrefillLimitWait = std::chrono::milliseconds(200);
/// Extra cost of an engine on which another request is starting, if one of the
/// two may crash it.
constexpr double SuspectCompanyPenalty = 1;
/// Extra cost of a decode engine for whose software no prefill engine serves:
/// it has to compute the prefill itself.
constexpr double OwnPrefillPenalty = 1;

} // namespace

KvStream GenerationPlacer::forecastStream(const GenerationState &Generation,
                                          const PoolState &Pool,
                                          const EngineState &Engine,
                                          TimePoint Now) const {
  double Output = Generation.OutputTokens_;
  if (!Generation.IsPrefilling_ && Generation.IsGranted_)
    Output += asMilliseconds(Now - Generation.OutputUpdatedAt_) *
              decodeTokensPerMs(Pool, Engine);
  const double MeanOutput = Pool.MeanOutputTokens_ > 0
                                ? Pool.MeanOutputTokens_
                                : Generation.ExpectedOutput_;
  const double Remaining = std::max(Generation.ExpectedOutput_ - Output,
                                    OverdueOutputFraction * MeanOutput);
  return {Generation.Placement_.PromptTokens_ + Output, Remaining};
}

// Whether the engine may get the generation at all, now or later.
bool GenerationPlacer::mayServe(const BackendEntry &Entry,
                                const PlacementRequest &Placement) const {
  const SoftwareVersionId &Required = Placement.RequiredSoftware_;
  if (!Required.isEmpty() && Entry.SoftwareVersion_ != Required)
    return false;
  return Directory_.takesRequests(Entry, Placement.Regions_);
}

bool GenerationPlacer::isUsable(const BackendEntry &Entry,
                                const EngineState &Engine,
                                const PlacementRequest &Placement,
                                TimePoint Now) const {
  if (!mayServe(Entry, Placement) || !Engine.Health_.isUsable(Now))
    return false;
  return std::find(Placement.ExcludedEngines_.begin(),
                   Placement.ExcludedEngines_.end(),
                   Entry.Id_) == Placement.ExcludedEngines_.end();
}

bool GenerationPlacer::hasPrefillOf(const SoftwareVersionId &Software,
                                    const PlacementRequest &Placement,
                                    TimePoint Now) {
  return std::ranges::any_of(Directory_.entries(), [&](const auto &Each) {
    const BackendEntry &Entry = Each.second;
    return Entry.Service_ == Placement.Service_ &&
           Entry.Role_ == EngineRole::Prefill &&
           Entry.SoftwareVersion_ == Software &&
           isUsable(Entry, engineOf(Entry), Placement, Now);
  });
}

// The decode engine cannot use what other software has read.
const BackendEntry *GenerationPlacer::choosePrefill(
    const PoolState &Pool, const PlacementRequest &Placement,
    const BackendEntry &Decode, TimePoint Now, bool &HasUsableEngine) {
  const BackendEntry *Best = nullptr;
  TimePoint BestReadyAt = TimePoint::max();
  HasUsableEngine = false;
  for (const auto &[Id, Entry] : Directory_.entries()) {
    if (Entry.Service_ != Placement.Service_ ||
        Entry.Role_ != EngineRole::Prefill ||
        Entry.SoftwareVersion_ != Decode.SoftwareVersion_)
      continue;
    EngineState &Engine = engineOf(Entry);
    if (!isUsable(Entry, Engine, Placement, Now))
      continue;
    const Duration LimitWait = ServerLimits_.timeUntilAvailable(Entry.Id_, Now);
    if (LimitWait > MaxPrefillLimitWait)
      continue;
    HasUsableEngine = true;
    if (LimitWait > Duration::zero())
      continue;
    const double PoolRate = prefillTokensPerMs(Pool, EngineState());
    TimePoint ReadyAt = std::max(Now, Engine.ReadyAt_);
    if (ReadyAt > Now + MaxPrefillBacklog ||
        Engine.PendingPrefills_ >= MaxPendingPrefills)
      continue;
    ReadyAt +=
        fromMs(Placement.PromptTokens_ / prefillTokensPerMs(Pool, Engine) -
               Placement.PromptTokens_ / PoolRate);
    if (Entry.DataCentre_ != Decode.DataCentre_)
      ReadyAt += RemoteTransferPenalty;
    if (ReadyAt < BestReadyAt) {
      Best = &Entry;
      BestReadyAt = ReadyAt;
    }
  }
  return Best;
}

std::vector<GenerationPlacer::DecodeCandidate>
GenerationPlacer::decodeCandidates(const ServiceId &Service,
                                   const PoolState &Pool, TimePoint Now) {
  std::vector<DecodeCandidate> Candidates;
  for (const auto &[Id, Entry] : Directory_.entries()) {
    if (Entry.Service_ != Service || Entry.Role_ != EngineRole::Decode)
      continue;
    DecodeCandidate Candidate;
    Candidate.Entry_ = &Entry;
    Candidate.State_ = &engineOf(Entry);
    for (const auto &Request : Candidate.State_->Streams_) {
      const GenerationState &Stream = Generations_.at(Request);
      Candidate.Streams_.push_back(
          forecastStream(Stream, Pool, *Candidate.State_, Now));
      if (Stream.HasEvents_)
        continue;
      ++Candidate.Starting_;
      Candidate.HasStartingSuspect_ |= Stream.IsSuspect_;
    }
    Candidates.push_back(std::move(Candidate));
  }
  return Candidates;
}

GenerationPlacer::DecodeCandidate *GenerationPlacer::chooseDecode(
    std::vector<DecodeCandidate> &Candidates, const PoolState &Pool,
    const GenerationState &Generation, const EngineTraits &Traits,
    std::span<const SoftwareVersionId> Skipped, TimePoint Now) {
  DecodeCandidate *Best = nullptr;
  double BestCost = std::numeric_limits<double>::infinity();
  const double PoolRate = decodeTokensPerMs(Pool, EngineState());
  const double Capacity =
      BookableKvFraction * static_cast<double>(Traits.KvTokens_);
  std::map<SoftwareVersionId, bool> HasPrefill;
  for (DecodeCandidate &Each : Candidates) {
    const EngineState &Engine = *Each.State_;
    const SoftwareVersionId &Software = Each.Entry_->SoftwareVersion_;
    if (Each.IsWithheld_ || std::ranges::count(Skipped, Software) != 0 ||
        !isUsable(*Each.Entry_, Engine, Generation.Placement_, Now))
      continue;
    if (Each.Streams_.size() >= Traits.Slots_)
      continue;
    if (ServerLimits_.timeUntilAvailable(Each.Entry_->Id_, Now) >
        Duration::zero())
      continue;
    if (Generation.IsSuspect_ && Each.HasStartingSuspect_)
      continue;
    std::vector<KvStream> Streams = Each.Streams_;
    Streams.push_back(forecastStream(Generation, Pool, Engine, Now));
    const double Peak = forecastPeakTokens(std::move(Streams));
    if (Peak > Capacity && !Each.Streams_.empty())
      continue;
    const double Rate = decodeTokensPerMs(Pool, Engine);
    const double SlownessPenalty =
        Rate < SlowRateThreshold * PoolRate ? PoolRate / Rate : 0;
    const bool IsNearSuspect =
        Generation.IsSuspect_ ? Each.Starting_ > 0 : Each.HasStartingSuspect_;
    double Cost = Peak / Capacity + SlownessPenalty +
                  (IsNearSuspect ? SuspectCompanyPenalty : 0);
    if (Generation.Placement_.NeedsPrefill_) {
      const auto [Known, IsNew] = HasPrefill.try_emplace(Software, false);
      if (IsNew)
        Known->second = hasPrefillOf(Software, Generation.Placement_, Now);
      Cost += Known->second ? 0 : OwnPrefillPenalty;
    }
    if (Cost < BestCost) {
      Best = &Each;
      BestCost = Cost;
    }
  }
  return Best;
}

// If all prefill engines of one software version are busy, another version may
// have a pair.
std::optional<GenerationPlacer::EnginePair>
GenerationPlacer::chooseEngines(std::vector<DecodeCandidate> &Candidates,
                                const PoolState &Pool,
                                const GenerationState &Generation,
                                const EngineTraits &Traits, TimePoint Now) {
  std::vector<SoftwareVersionId> Busy;
  for (;;) {
    EnginePair Chosen;
    Chosen.Decode_ =
        chooseDecode(Candidates, Pool, Generation, Traits, Busy, Now);
    if (!Chosen.Decode_)
      return std::nullopt;
    if (!Generation.Placement_.NeedsPrefill_)
      return Chosen;
    bool HasUsableEngine = false;
    const BackendEntry &Decode = *Chosen.Decode_->Entry_;
    Chosen.Prefill_ = choosePrefill(Pool, Generation.Placement_, Decode, Now,
                                    HasUsableEngine);
    if (Chosen.Prefill_ || !HasUsableEngine)
      return Chosen;
    Busy.push_back(Decode.SoftwareVersion_);
  }
}

} // namespace gooseberry
