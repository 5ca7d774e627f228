#include "gooseberrybeam/limits/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {

namespace {

/// Time constant of the exponential decay.
constexpr double AveragingSeconds = 2.0;
/// Demand at or above this request rate counts as steady.
constexpr double SteadyRequestsPerSecond = 1.0;

} // namespace

double DemandMeter::decayUntil(TimePoint Now) const {
  const double Elapsed = std::max(0.0, asSeconds(Now - LastUsed_));
  return std::exp(-Elapsed / AveragingSeconds);
}

void DemandMeter::record(MilliTokens Amount, TimePoint Now) {
  const double Decay = decayUntil(Now);
  Amount_ = Amount_ * Decay + static_cast<double>(Amount) / AveragingSeconds;
  Requests_ = Requests_ * Decay + 1.0 / AveragingSeconds;
  LastUsed_ = std::max(LastUsed_, Now);
}

MilliTokens DemandMeter::ratePerSecond(TimePoint Now) const {
  return static_cast<MilliTokens>(Amount_ * decayUntil(Now));
}

bool DemandMeter::isSteady(TimePoint Now) const {
  return Requests_ * decayUntil(Now) >= SteadyRequestsPerSecond;
}

} // namespace gooseberry
