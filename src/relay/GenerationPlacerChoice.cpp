#include "gooseberrybeam/relay/GenerationPlacer.h"
#include "relay/Durations.h"

#include <algorithm>
#include <limits>

namespace gooseberry {
namespace {

/// Output expected of a stream that has outlived its expectation, as a part of
/// the pool's mean.
constexpr double OverdueOutputPart = 0.25;
/// Part of an engine's memory that is booked; lengths are only estimates.
constexpr double BookedMemory = 0.93;
/// Prompts are handed to a prefill engine when it can begin within so long, so
/// that the rest can still be reordered.
constexpr Duration PrefillBacklog = std::chrono::milliseconds(60);
/// Prompts that a prefill engine is handed before it has finished the first:
/// it reads one while the next is on its way.
constexpr std::uint32_t MaxPrefills = 2;
/// What moving a prompt to another data centre is worth waiting.
constexpr Duration RemoteMove = std::chrono::milliseconds(15);
/// A decode engine below this part of its pool's pace is used last.
constexpr double SlowPart = 0.6;

} // namespace

KvStream GenerationPlacer::streamOf(const Item &Of, const Pool &In,
                                    const Engine &On, TimePoint Now) const {
  double Output = Of.OutputTokens_;
  if (!Of.IsPrefilling_ && Of.IsGranted_)
    Output += asMilliseconds(Now - Of.OutputAt_) * decodePerMs(In, On);
  const double Mean =
      In.OutputTokens_ > 0 ? In.OutputTokens_ : Of.ExpectedOutput_;
  const double Left =
      std::max(Of.ExpectedOutput_ - Output, OverdueOutputPart * Mean);
  return {Of.Ask_.PromptTokens_ + Output, Left};
}

bool GenerationPlacer::isUsable(const BackendEntry &Entry, const Engine &Engine,
                                const PlacementAsk &Ask, TimePoint Now) const {
  if (Entry.IsLeaving_ || !Engine.Health_.isUsable(Now))
    return false;
  return std::find(Ask.Avoid_.begin(), Ask.Avoid_.end(), Entry.Id_) ==
         Ask.Avoid_.end();
}

const BackendEntry *GenerationPlacer::choosePrefill(const Pool &In,
                                                    const PlacementAsk &Ask,
                                                    const DataCentreId &Near,
                                                    TimePoint Now,
                                                    bool &IsAnyKnown) {
  const BackendEntry *Best = nullptr;
  TimePoint BestReady = TimePoint::max();
  IsAnyKnown = false;
  for (const auto &[Id, Entry] : Directory_.entries()) {
    if (Entry.Service_ != Ask.Service_ || Entry.Role_ != EngineRole::Prefill)
      continue;
    Engine &Of = engineOf(Entry);
    if (!isUsable(Entry, Of, Ask, Now))
      continue;
    IsAnyKnown = true;
    const double PoolPace = prefillPerMs(In, Engine());
    TimePoint Ready = std::max(Now, Of.ReadyAt_);
    if (Ready > Now + PrefillBacklog || Of.Prefills_ >= MaxPrefills)
      continue;
    Ready += fromMs(Ask.PromptTokens_ / prefillPerMs(In, Of) -
                    Ask.PromptTokens_ / PoolPace);
    if (Entry.DataCentre_ != Near)
      Ready += RemoteMove;
    if (Ready < BestReady) {
      Best = &Entry;
      BestReady = Ready;
    }
  }
  return Best;
}

std::vector<GenerationPlacer::DecodeEngine>
GenerationPlacer::decodeEngines(const ServiceId &Service, const Pool &In,
                                TimePoint Now) {
  std::vector<DecodeEngine> Out;
  for (const auto &[Id, Entry] : Directory_.entries()) {
    if (Entry.Service_ != Service || Entry.Role_ != EngineRole::Decode)
      continue;
    DecodeEngine Of{&Entry, &engineOf(Entry), {}};
    for (const auto &Request : Of.State_->Streams_)
      Of.Streams_.push_back(streamOf(Items_.at(Request), In, *Of.State_, Now));
    Out.push_back(std::move(Of));
  }
  return Out;
}

GenerationPlacer::DecodeEngine *
GenerationPlacer::chooseDecode(std::vector<DecodeEngine> &Engines,
                               const Pool &In, const Item &For,
                               const EngineTraits &Traits, TimePoint Now) {
  DecodeEngine *Best = nullptr;
  double BestCost = std::numeric_limits<double>::infinity();
  const double PoolPace = decodePerMs(In, Engine());
  const double Room = BookedMemory * static_cast<double>(Traits.KvTokens_);
  for (DecodeEngine &Each : Engines) {
    const Engine &Of = *Each.State_;
    if (!isUsable(*Each.Entry_, Of, For.Ask_, Now))
      continue;
    if (Each.Streams_.size() >= Traits.Slots_)
      continue;
    std::vector<KvStream> Streams = Each.Streams_;
    Streams.push_back(streamOf(For, In, Of, Now));
    const double Peak = forecastPeak(std::move(Streams));
    if (Peak > Room && !Each.Streams_.empty())
      continue;
    const double Pace = decodePerMs(In, Of);
    const double Slowness = Pace < SlowPart * PoolPace ? PoolPace / Pace : 0;
    const double Cost = Peak / Room + Slowness;
    if (Cost < BestCost) {
      Best = &Each;
      BestCost = Cost;
    }
  }
  return Best;
}

std::optional<GenerationPlacer::Choice>
GenerationPlacer::choose(std::vector<DecodeEngine> &Engines, const Pool &In,
                         const Item &For, const EngineTraits &Traits,
                         TimePoint Now) {
  Choice Of;
  Of.Decode_ = chooseDecode(Engines, In, For, Traits, Now);
  if (!Of.Decode_)
    return std::nullopt;
  if (!For.Ask_.NeedsPrefill_)
    return Of;
  bool IsAnyKnown = false;
  Of.Prefill_ = choosePrefill(In, For.Ask_, Of.Decode_->Entry_->DataCentre_,
                              Now, IsAnyKnown);
  if (!Of.Prefill_ && IsAnyKnown)
    return std::nullopt;
  return Of;
}

} // namespace gooseberry
