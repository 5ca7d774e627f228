/// \file
/// A pair strategy that minimises the expected cost among engines with free
/// capacity.
#ifndef GOOSEBERRYBEAM_ROUTING_COSTPAIRSTRATEGY_H
#define GOOSEBERRYBEAM_ROUTING_COSTPAIRSTRATEGY_H

#include "gooseberrybeam/routing/PairStrategy.h"

#include <span>

namespace gooseberry {

/// Settings of `CostPairStrategy`.
struct CostPairOptions {
  DataCentreId DataCentre_;       ///< Data centre of this instance.
  std::size_t SampleSize_ = 64;   ///< Most engines examined in each role.
  std::uint32_t SlotDivisor_ = 1; ///< Divides each engine's decode slots.
  /// A prefill engine is eligible if it is expected to be free within this
  /// time.
  Duration StartLead_ = std::chrono::milliseconds(20);
};

/// Selects the prefill engine with the earliest expected completion, then the
/// decode engine with the lowest transfer and step cost among those expected to
/// have a free slot and enough KV memory at that time.
class CostPairStrategy final : public PairStrategy {
public:
  /// \param Options settings of this strategy.
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
