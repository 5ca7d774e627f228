/// \file
/// An organisation's bucket, whole or in fixed parts.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_RATEMODEL_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_RATEMODEL_H

#include "gooseberrybeam/base/Time.h"

#include <algorithm>
#include <vector>

namespace gooseberry::bench {

/// A token bucket that admits while tokens are left, whatever the request's
/// size: the ledger serves an organisation's waiting reservations in their
/// order, so that short requests do not overtake long ones.
struct RateBucket {
  double Rate_ = 0;
  double Burst_ = 0;
  double Left_ = 0;
  TimePoint At_;

  bool take(double Tokens, TimePoint Now) {
    Left_ = std::min(Burst_, Left_ + Rate_ * asSeconds(Now - At_));
    At_ = Now;
    if (Left_ <= 0)
      return false;
    Left_ -= Tokens;
    return true;
  }
};

/// The whole bucket, which says what is within the rate, and its static parts,
/// one for each instance.
class RateModel {
public:
  RateModel(double Rate, double Burst, std::uint32_t Parts, TimePoint Now)
      : Whole_{Rate, Burst, Burst, Now},
        Parts_(Parts, {Rate / Parts, Burst / Parts, Burst / Parts, Now}) {}

  /// \returns whether the request is within the organisation's rate.
  bool takeWhole(double Tokens, TimePoint Now) {
    return Whole_.take(Tokens, Now);
  }
  /// \returns whether one instance's static part admits it.
  bool takePart(std::uint32_t Part, double Tokens, TimePoint Now) {
    return Parts_[Part].take(Tokens, Now);
  }

private:
  RateBucket Whole_;
  std::vector<RateBucket> Parts_;
};

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_RATEMODEL_H
