#include "gooseberrybeam/routing/CostPairStrategy.h"

#include <algorithm>
#include <array>

namespace gooseberry {

namespace {

/// Cost of a transfer between data centres, beyond the estimated transfer time.
constexpr Duration RemotePenalty = std::chrono::milliseconds(5);
/// Cost, in microseconds, added for a decode step that is slower than the
/// target of the class.
constexpr double SlowStepPenalty = 1e6;
/// Most engines evaluated for a cached prefix.
constexpr std::size_t MaxMatches = 8;
/// Decode steps whose duration counts towards the cost of an engine.
constexpr double CountedSteps = 32;

/// Visits up to \p Count engines, starting at \p First and wrapping around.
/// This bounds the cost of a choice in a large pool.
template <typename Visitor>
void visitSample(std::span<const EngineIndex> Engines, std::size_t First,
                 std::size_t Count, Visitor &&Visit) {
  const std::size_t Total = std::min(Count, Engines.size());
  for (std::size_t I = 0; I < Total; ++I)
    Visit(Engines[(First + I) % Engines.size()]);
}

} // namespace

std::size_t
CostPairStrategy::randomStart(std::span<const EngineIndex> Engines) {
  RandomState_ ^= RandomState_ << 13;
  RandomState_ ^= RandomState_ >> 7;
  RandomState_ ^= RandomState_ << 17;
  return Engines.empty() ? 0 : RandomState_ % Engines.size();
}

std::optional<PairChoice> CostPairStrategy::onChoose(const PairQuery &Query) {
  auto Prefill = choosePrefill(Query);
  if (!Prefill)
    return std::nullopt;
  const auto &NearDataCentre =
      Query.Fleet_.at(Prefill->Engine_).info().DataCentre_;
  auto Decode =
      chooseDecodeAt(Query, Prefill->EndsAt_, NearDataCentre, std::nullopt);
  if (!Decode)
    return std::nullopt;
  return PairChoice{Prefill->Engine_, *Decode, Prefill->Tokens_};
}

std::optional<CostPairStrategy::PrefillChoice>
CostPairStrategy::choosePrefill(const PairQuery &Query) {
  std::optional<PrefillChoice> Best;
  std::span<const EngineIndex> Engines = Query.Pool_.Prefill_;
  visitSample(Engines, randomStart(Engines), Options_.SampleSize_,
              [&](EngineIndex E) {
                evaluatePrefill(Query, E, Query.Spec_.PromptTokens_, Best);
              });
  std::array<PrefixIndex::Match, MaxMatches> Matches;
  for (const auto &Match :
       Query.Prefixes_.find(Query.Spec_.PrefixHashes_, Matches)) {
    const std::uint32_t Cached = Match.Prefixes_ * TokensPerPrefix;
    const std::uint32_t Prompt = Query.Spec_.PromptTokens_;
    if (std::ranges::find(Engines, Match.Engine_) != Engines.end())
      evaluatePrefill(Query, Match.Engine_, Prompt - std::min(Prompt, Cached),
                      Best);
  }
  return Best;
}

void CostPairStrategy::evaluatePrefill(
    const PairQuery &Query, EngineIndex Engine, std::uint32_t Tokens,
    std::optional<PrefillChoice> &Best) const {
  const EngineView &View = Query.Fleet_.at(Engine);
  const TimePoint FreeAt = View.prefillFreeAt(Query.Now_);
  if (!View.isAvailable(Query.Now_) ||
      FreeAt > Query.Now_ + Options_.StartLead_)
    return;
  const TimePoint EndsAt = FreeAt + View.speed().prefillTime(Tokens);
  if (!Best || EndsAt < Best->EndsAt_)
    Best = PrefillChoice{Engine, Tokens, EndsAt};
}

std::optional<EngineIndex>
CostPairStrategy::onChooseDecode(const PairQuery &Query, EngineIndex Excluded) {
  return chooseDecodeAt(Query, Query.Now_, Options_.DataCentre_, Excluded);
}

std::optional<EngineIndex>
CostPairStrategy::chooseDecodeAt(const PairQuery &Query, TimePoint ImportTime,
                                 const DataCentreId &NearDataCentre,
                                 std::optional<EngineIndex> Excluded) {
  std::optional<EngineIndex> Best;
  double BestCost = 0;
  std::span<const EngineIndex> Engines = Query.Pool_.Decode_;
  visitSample(
      Engines, randomStart(Engines), Options_.SampleSize_, [&](EngineIndex E) {
        if (Excluded == E)
          return;
        auto Cost =
            decodeCost(Query, Query.Fleet_.at(E), ImportTime, NearDataCentre);
        if (!Cost || (Best && *Cost >= BestCost))
          return;
        Best = E;
        BestCost = *Cost;
      });
  return Best;
}

std::optional<double>
CostPairStrategy::decodeCost(const PairQuery &Query, const EngineView &Engine,
                             TimePoint ImportTime,
                             const DataCentreId &NearDataCentre) const {
  if (!Engine.isAvailable(Query.Now_))
    return std::nullopt;
  const std::uint32_t Pieces = kvPiecesOf(Query.Spec_);
  auto Free = Engine.freeCapacityAt(Query.Now_, ImportTime);
  const std::uint32_t Slots = Engine.info().DecodeSlots_;
  if (Options_.SlotDivisor_ > 1)
    Free.Slots_ = static_cast<int>(Slots / Options_.SlotDivisor_) -
                  static_cast<int>(Engine.decodeReservations());
  if (Free.Slots_ <= 0 || Free.Pieces_ < static_cast<int>(Pieces))
    return std::nullopt;
  const std::uint32_t Batch =
      Slots - std::min<std::uint32_t>(Slots, Free.Slots_);
  const Duration Step = Engine.speed().stepTime(Batch + 1);
  const Duration Transfer = Engine.speed().transferTime(Pieces);
  double Cost = static_cast<double>(Transfer.count()) +
                CountedSteps * static_cast<double>(Step.count());
  if (Engine.info().DataCentre_ != NearDataCentre)
    Cost += static_cast<double>(RemotePenalty.count());
  if (Step > Query.Spec_.Targets_.BetweenTokens_)
    Cost += SlowStepPenalty;
  return Cost;
}

} // namespace gooseberry
