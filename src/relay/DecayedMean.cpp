#include "gooseberrybeam/relay/DecayedMean.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {

double DecayedMean::decay(TimePoint Now) const {
  const Duration Elapsed = std::max(Duration::zero(), Now - UpdatedAt_);
  return std::exp(-asSeconds(Elapsed) / asSeconds(TimeConstant_));
}

void DecayedMean::add(double Value, double Weight, TimePoint Now) {
  const double Decay = decay(Now);
  Sum_ = Sum_ * Decay + Value * Weight;
  Weight_ = Weight_ * Decay + Weight;
  UpdatedAt_ = std::max(UpdatedAt_, Now);
}

double DecayedMean::meanWith(double Prior, TimePoint Now) const {
  const double Decay = decay(Now);
  return (Sum_ * Decay + Prior) / (Weight_ * Decay + 1);
}

} // namespace gooseberry
