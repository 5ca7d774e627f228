/// \file
/// A mean in which old samples lose weight.
#ifndef GOOSEBERRYBEAM_RELAY_DECAYEDMEAN_H
#define GOOSEBERRYBEAM_RELAY_DECAYEDMEAN_H

#include "gooseberrybeam/base/Time.h"

namespace gooseberry {

/// A weighted mean of samples whose weights decay exponentially with time.
class DecayedMean {
public:
  /// \param TimeConstant the time in which a weight falls to 1/e.
  explicit DecayedMean(Duration TimeConstant) : TimeConstant_(TimeConstant) {}

  /// \param Value the mean of the added samples.
  /// \param Weight their number.
  /// \param Now the current time.
  void add(double Value, double Weight, TimePoint Now);
  /// \param Prior counts as one sample at any time.
  /// \param Now the current time.
  /// \returns the mean with the prior.
  double meanWith(double Prior, TimePoint Now) const;
  /// \returns the mean; 0 without samples.
  double mean() const { return Weight_ > 0 ? Sum_ / Weight_ : 0; }

private:
  double decay(TimePoint Now) const;

  Duration TimeConstant_;
  double Sum_ = 0;
  double Weight_ = 0;
  TimePoint UpdatedAt_{Duration::zero()};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_DECAYEDMEAN_H
