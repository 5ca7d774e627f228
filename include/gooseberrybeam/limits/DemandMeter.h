/// \file
/// Recent demand of an organisation on one instance.
#ifndef GOOSEBERRYBEAM_LIMITS_DEMANDMETER_H
#define GOOSEBERRYBEAM_LIMITS_DEMANDMETER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/limits/Share.h"

namespace gooseberry {

/// Exponentially decaying averages of tokens and requests a second.
class DemandMeter {
public:
  /// \param Amount what a request asked for.
  /// \param Now the clock reading.
  void record(MilliTokens Amount, TimePoint Now);

  /// \param Now the clock reading.
  /// \returns the amount asked for in a second.
  MilliTokens ratePerSecond(TimePoint Now) const;

  /// \param Now the clock reading.
  /// \returns whether requests are frequent enough to lend a rate.
  bool isSteady(TimePoint Now) const;

  /// \returns when something was last asked for.
  TimePoint lastUsed() const { return LastUsed_; }

private:
  double decayUntil(TimePoint Now) const;

  double Amount_ = 0;
  double Requests_ = 0;
  TimePoint LastUsed_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_DEMANDMETER_H
