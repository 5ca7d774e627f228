/// \file
/// How a prefill engine and a decode engine are chosen together.
#ifndef GOOSEBERRYBEAM_ROUTING_PAIRSTRATEGY_H
#define GOOSEBERRYBEAM_ROUTING_PAIRSTRATEGY_H

#include "gooseberrybeam/routing/EngineFleet.h"
#include "gooseberrybeam/routing/GenerationSpec.h"
#include "gooseberrybeam/routing/PrefixIndex.h"

#include <optional>

namespace gooseberry {

/// What a choice is made from.
struct PairQuery {
  const GenerationSpec &Spec_;
  const EngineFleet &Fleet_;
  const EnginePool &Pool_;
  const PrefixIndex &Prefixes_;
  TimePoint Now_;
};

/// A chosen pair.
struct PairChoice {
  EngineIndex Prefill_ = 0;
  EngineIndex Decode_ = 0;
  std::uint32_t TokensToCompute_ = 0; ///< Prompt tokens thought not cached.
};

/// Chooses engines; called on the control thread only.
class PairStrategy {
public:
  virtual ~PairStrategy() = default;

  /// \param Query the work and the engines.
  /// \returns a pair to start on now; none if the work is to be held.
  std::optional<PairChoice> choose(const PairQuery &Query) {
    return onChoose(Query);
  }

  /// Chooses another decode engine for a living KV cache.
  /// \param Query the work and the engines.
  /// \param Excluded an engine that will not do.
  /// \returns an engine with room now.
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
