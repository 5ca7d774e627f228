/// \file
/// Chooses the pair of least expected cost, and only where there is room.
#ifndef GOOSEBERRYBEAM_ROUTING_COSTPAIRSTRATEGY_H
#define GOOSEBERRYBEAM_ROUTING_COSTPAIRSTRATEGY_H

#include "gooseberrybeam/routing/PairStrategy.h"

#include <span>

namespace gooseberry {

/// Settings of the choice.
struct CostPairOptions {
  DataCentreId DataCentre_;       ///< This instance's.
  std::size_t SampleSize_ = 64;   ///< Engines looked at in each role.
  std::uint32_t SlotDivisor_ = 1; ///< Uses 1/SlotParts_ of each engine's slots.
  /// A prefill is started when its engine is expected free within this time.
  Duration StartLead_ = std::chrono::milliseconds(20);
};

/// The prefill engine that ends first, then the decode engine with a slot and
/// memory at that time whose transfer and steps cost least.
class CostPairStrategy final : public PairStrategy {
public:
  /// \param Options settings.
  explicit CostPairStrategy(CostPairOptions Options)
      : Options_(std::move(Options)) {}

private:
  struct PrefillChoice {
    EngineIndex Engine_ = 0;
    std::uint32_t Tokens_ = 0;
    TimePoint EndsAt_;
  };

  std::optional<PairChoice> onChoose(const PairQuery &Query) override;
  std::optional<EngineIndex> onChooseDecode(const PairQuery &Query,
                                            EngineIndex Excluded) override;
  std::optional<PrefillChoice> choosePrefill(const PairQuery &Query);
  void evaluatePrefill(const PairQuery &Query, EngineIndex Engine,
                       std::uint32_t Tokens,
                       std::optional<PrefillChoice> &Best) const;
  std::optional<EngineIndex>
  chooseDecodeAt(const PairQuery &Query, TimePoint ImportTime,
                 const DataCentreId &NearDataCentre,
                 std::optional<EngineIndex> Excluded);
  std::optional<double> decodeCost(const PairQuery &Query,
                                   const EngineView &Engine,
                                   TimePoint ImportTime,
                                   const DataCentreId &NearDataCentre) const;
  std::size_t randomStart(std::span<const EngineIndex> Engines);

  CostPairOptions Options_;
  std::uint64_t RandomState_ = 0x9E3779B97F4A7C15;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_COSTPAIRSTRATEGY_H
