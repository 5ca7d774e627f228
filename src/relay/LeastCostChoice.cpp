#include "gooseberrybeam/relay/LeastCostChoice.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {
namespace {

/// Servers within this factor of the lowest cost take turns.
constexpr double EqualCostFactor = 1.3;

} // namespace

std::size_t
LeastCostChoice::choose(std::span<const ServerCandidate> Candidates) {
  assert(!Candidates.empty());
  const double Least =
      std::min_element(Candidates.begin(), Candidates.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.Cost_ < Right.Cost_;
                       })
          ->Cost_;
  const std::size_t FirstIndex = ++RoundRobinIndex_;
  for (std::size_t I = 0;; ++I) {
    const std::size_t Index = (FirstIndex + I) % Candidates.size();
    if (Candidates[Index].Cost_ <= EqualCostFactor * Least)
      return Index;
  }
}

} // namespace gooseberry
