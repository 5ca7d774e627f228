#include "gooseberrybeam/relay/GrantPace.h"

namespace gooseberry {
namespace {

/// Weight of the newest sample.
constexpr double SampleWeight = 0.05;

} // namespace

void GrantPace::onGranted(TimePoint Arrival, TimePoint Now) {
  if (Arrival < LastGrantAt_) {
    const double SampleMs = asMilliseconds(Now - LastGrantAt_);
    IntervalMs_ = IntervalMs_ == 0
                      ? SampleMs
                      : IntervalMs_ + SampleWeight * (SampleMs - IntervalMs_);
  }
  LastGrantAt_ = Now;
}

} // namespace gooseberry
