/// \file
/// A token bucket over a share of a limit.
#ifndef GOOSEBERRYBEAM_LIMITS_SUBBUCKET_H
#define GOOSEBERRYBEAM_LIMITS_SUBBUCKET_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/limits/Share.h"

namespace gooseberry {

/// A share and its level in transit between two buckets. It does not refill.
struct SharePart {
  Share Share_;
  MilliTokens Level_ = 0;

  friend bool operator==(const SharePart &, const SharePart &) = default;
};

/// A token bucket over a share of a limit. Splitting and merging conserve the
/// units, and the level never exceeds the burst of the share. Therefore the
/// amount admitted by all buckets of a limit in any window of length t is at
/// most burst + rate * t.
class SubBucket {
public:
  SubBucket() = default;

  /// \param Total the whole limit, of which this bucket holds a share.
  /// \param Part the initial units and level.
  /// \param Now the current time.
  SubBucket(Limit Total, SharePart Part, TimePoint Now);

  /// Changes the whole limit; this bucket's share scales at once.
  /// \param Total the new limit.
  /// \param Now the current time.
  void resize(Limit Total, TimePoint Now);

  /// Adds the inflow since the last call.
  /// \param Now the current time; ignored if before that of the last call.
  void refill(TimePoint Now);

  /// Takes an amount if the level covers it.
  /// \param Amount the amount to take.
  /// \param Now the current time.
  /// \returns whether it was taken.
  bool tryTake(MilliTokens Amount, TimePoint Now);

  /// Returns the unused amount of a reservation, up to the burst.
  /// \param Amount the amount to return; negative for use beyond the
  /// reservation.
  void refund(MilliTokens Amount);

  /// Takes a part out. The caller must merge it into exactly one other bucket.
  /// \param Requested the maximum units to take.
  /// \param Level the maximum level to take.
  /// \returns the part, whose level does not exceed its burst.
  SharePart split(Share Requested, MilliTokens Level);

  /// Adds a part that was split from another bucket of the same limit.
  /// \param Part the units and level to add.
  void merge(const SharePart &Part);

  /// \param Amount a level.
  /// \returns the time until the level reaches \p Amount, or `Duration::max()`
  /// if it never does.
  Duration timeUntil(MilliTokens Amount) const;

  /// \returns the level after the last refill; negative while in debt.
  MilliTokens level() const { return Level_; }
  /// \returns the units of this bucket.
  const Share &share() const { return Share_; }
  /// \returns the whole limit.
  const Limit &total() const { return Total_; }
  /// \returns the burst of this bucket's share, in millitokens.
  MilliTokens burst() const {
    return portionOf(Total_.Burst_, Share_.BurstUnits_);
  }
  /// \returns the rate of this bucket's share, in millitokens per second.
  MilliTokens ratePerSecond() const {
    return portionOf(Total_.RatePerSecond_, Share_.RateUnits_);
  }

private:
  Limit Total_;
  Share Share_;
  MilliTokens Level_ = 0;
  TimePoint RefilledAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_SUBBUCKET_H
