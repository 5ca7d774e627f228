/// \file
/// Measures the recent demand of an organisation on one instance.
#ifndef GOOSEBERRYBEAM_LIMITS_DEMANDMETER_H
#define GOOSEBERRYBEAM_LIMITS_DEMANDMETER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/limits/Share.h"

namespace gooseberry {

/// Exponentially decaying averages of requested tokens and requests per second.
class DemandMeter {
public:
  /// \param Amount the amount that a request asked for.
  /// \param Now the current time.
  void record(MilliTokens Amount, TimePoint Now);

  /// \param Now the current time.
  /// \returns the average amount requested per second.
  MilliTokens ratePerSecond(TimePoint Now) const;

  /// \param Now the current time.
  /// \returns whether requests are frequent enough that the home lends a rate.
  bool isSteady(TimePoint Now) const;

  /// \returns the time of the last request.
  TimePoint lastUsed() const { return LastUsed_; }

private:
  double decayUntil(TimePoint Now) const;

  double Amount_ = 0;
  double Requests_ = 0;
  TimePoint LastUsed_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_DEMANDMETER_H
