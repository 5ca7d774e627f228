#include "gooseberrybeam/relay/GrantPace.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Weight of the newest sample.
constexpr double SampleWeight = 0.05;
/// Fewer samples than this do not support a decision.
constexpr std::uint32_t MinRecentSamples = 20;
/// Samples older than the last gap of this length are not recent.
constexpr Duration SampleLifetime = std::chrono::seconds(2);

} // namespace

void GrantPace::onGranted(TimePoint Arrival, TimePoint Now) {
  if (Arrival < LastGrantAt_) {
    const double SampleMs = asMilliseconds(Now - LastGrantAt_);
    IntervalMs_ = IntervalMs_ == 0
                      ? SampleMs
                      : IntervalMs_ + SampleWeight * (SampleMs - IntervalMs_);
    if (LastSampleAt_ + SampleLifetime < Now)
      RecentSamples_ = 0;
    ++RecentSamples_;
    // A plain mean of the first samples, so that an interval from before a gap
    // has no effect.
    const double Weight = std::max(SampleWeight, 1.0 / RecentSamples_);
    RecentIntervalMs_ += Weight * (SampleMs - RecentIntervalMs_);
    LastSampleAt_ = Now;
  }
  LastGrantAt_ = Now;
}

bool GrantPace::isReliable(TimePoint Now) const {
  return RecentSamples_ >= MinRecentSamples &&
         Now <= LastSampleAt_ + SampleLifetime;
}

} // namespace gooseberry
