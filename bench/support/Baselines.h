/// \file
/// Simple choices to compare with.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_BASELINES_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_BASELINES_H

#include "gooseberrybeam/routing/PairStrategy.h"

#include <algorithm>

namespace gooseberry::bench {

/// Takes the engines in turn and holds nothing.
class RoundRobin final : public PairStrategy {
  std::optional<PairChoice> onChoose(const PairQuery &Query) override {
    const auto &Pool = Query.Pool_;
    if (Pool.Prefill_.empty() || Pool.Decode_.empty())
      return std::nullopt;
    ++Turn_;
    return PairChoice{Pool.Prefill_[Turn_ % Pool.Prefill_.size()],
                      Pool.Decode_[Turn_ % Pool.Decode_.size()],
                      Query.Spec_.PromptTokens_};
  }
  std::optional<EngineIndex> onChooseDecode(const PairQuery &Query,
                                            EngineIndex) override {
    const auto &Decode = Query.Pool_.Decode_;
    if (Decode.empty())
      return std::nullopt;
    return Decode[++Turn_ % Decode.size()];
  }

  std::size_t Turn_ = 0;
};

/// Takes the engines on which this instance has the fewest requests.
class LeastInFlight final : public PairStrategy {
  static std::uint32_t inFlight(const EngineView &Engine) {
    return Engine.prefills() + Engine.decodeReservations();
  }
  static EngineIndex least(const PairQuery &Query,
                           const std::vector<EngineIndex> &Engines) {
    return *std::ranges::min_element(Engines, {}, [&](EngineIndex Each) {
      return inFlight(Query.Fleet_.at(Each));
    });
  }
  std::optional<PairChoice> onChoose(const PairQuery &Query) override {
    const auto &Pool = Query.Pool_;
    if (Pool.Prefill_.empty() || Pool.Decode_.empty())
      return std::nullopt;
    return PairChoice{least(Query, Pool.Prefill_), least(Query, Pool.Decode_),
                      Query.Spec_.PromptTokens_};
  }
  std::optional<EngineIndex> onChooseDecode(const PairQuery &Query,
                                            EngineIndex Except) override {
    std::vector<EngineIndex> Others = Query.Pool_.Decode_;
    if (Others.size() > 1)
      std::erase(Others, Except);
    if (Others.empty())
      return std::nullopt;
    return least(Query, Others);
  }
};

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_BASELINES_H
