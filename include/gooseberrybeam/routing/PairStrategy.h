/// \file
/// Interface for choosing a prefill and a decode engine together.
#ifndef GOOSEBERRYBEAM_ROUTING_PAIRSTRATEGY_H
#define GOOSEBERRYBEAM_ROUTING_PAIRSTRATEGY_H

#include "gooseberrybeam/routing/EngineFleet.h"
#include "gooseberrybeam/routing/GenerationSpec.h"
#include "gooseberrybeam/routing/PrefixIndex.h"

#include <optional>

namespace gooseberry {

/// Input of a choice. Refers to objects of the caller.
struct PairQuery {
  const GenerationSpec &Spec_;
  const EngineFleet &Fleet_;
  const EnginePool &Pool_;
  const PrefixIndex &Prefixes_;
  TimePoint Now_;
};

/// A chosen pair of engines.
struct PairChoice {
  EngineIndex Prefill_ = 0;
  EngineIndex Decode_ = 0;
  std::uint32_t TokensToCompute_ = 0; ///< Prompt tokens likely not cached.
};

/// Chooses engines. Called on the control thread only.
class PairStrategy {
public:
  virtual ~PairStrategy() = default;

  /// \param Query the generation and the engines.
  /// \returns a pair on which to start now, or nothing to keep the generation
  /// queued.
  std::optional<PairChoice> choose(const PairQuery &Query) {
    return onChoose(Query);
  }

  /// Chooses another decode engine for a KV cache that still exists.
  /// \param Query the generation and the engines.
  /// \param Excluded the engine whose import failed.
  /// \returns an engine with free capacity now, or nothing.
  std::optional<EngineIndex> chooseDecode(const PairQuery &Query,
                                          EngineIndex Excluded) {
    return onChooseDecode(Query, Excluded);
  }

private:
  virtual std::optional<PairChoice> onChoose(const PairQuery &Query) = 0;
  virtual std::optional<EngineIndex> onChooseDecode(const PairQuery &Query,
                                                    EngineIndex Excluded) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_PAIRSTRATEGY_H
