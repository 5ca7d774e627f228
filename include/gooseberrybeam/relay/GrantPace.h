/// \file
/// The rate at which a pool grants engines.
#ifndef GOOSEBERRYBEAM_RELAY_GRANTPACE_H
#define GOOSEBERRYBEAM_RELAY_GRANTPACE_H

#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// Measures the time between grants of a pool while generations wait.
class GrantPace {
public:
  /// Records a grant.
  /// \param Arrival when the granted generation was queued.
  /// \param Now the current time.
  void onGranted(TimePoint Arrival, TimePoint Now);

  /// \returns the smoothed time between grants while generations wait, in
  /// milliseconds; 0 before any sample.
  double intervalMs() const { return IntervalMs_; }
  /// \returns the same since the last gap without samples; 0 before any sample.
  double recentIntervalMs() const { return RecentIntervalMs_; }
  /// \param Now the current time.
  /// \returns whether enough recent samples support the interval.
  bool isReliable(TimePoint Now) const;

private:
  TimePoint LastGrantAt_{Duration::zero()};
  TimePoint LastSampleAt_{Duration::zero()};
  double IntervalMs_ = 0;
  double RecentIntervalMs_ = 0;
  std::uint32_t RecentSamples_ = 0; ///< Without a gap of `SampleLifetime`.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_GRANTPACE_H
