/// \file
/// The rate at which a pool grants engines.
#ifndef GOOSEBERRYBEAM_RELAY_GRANTPACE_H
#define GOOSEBERRYBEAM_RELAY_GRANTPACE_H

#include "gooseberrybeam/base/Time.h"

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

private:
  TimePoint LastGrantAt_{Duration::zero()};
  double IntervalMs_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_GRANTPACE_H
