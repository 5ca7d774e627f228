/// \file
/// A token bucket that holds a conserved part of a limit.
#ifndef GOOSEBERRYBEAM_LIMITS_SUBBUCKET_H
#define GOOSEBERRYBEAM_LIMITS_SUBBUCKET_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/limits/Share.h"

namespace gooseberry {

/// A part on its way between two buckets. It does not refill.
struct SharePart {
  Share Share_;
  MilliTokens Level_ = 0;

  friend bool operator==(const SharePart &, const SharePart &) = default;
};

/// A token bucket over a part of a limit. Splitting and merging conserve the
/// units; the level never exceeds the part's burst. Therefore the sum of what
/// all buckets of a limit admit in any window of length t is at most
/// burst + rate * t.
class SubBucket {
public:
  SubBucket() = default;

  /// \param Total the whole limit that this part belongs to.
  /// \param Part the units and level to start with.
  /// \param Now the clock reading.
  SubBucket(Limit Total, SharePart Part, TimePoint Now);

  /// Changes the size of the whole; this part scales at once.
  /// \param Total the new limit.
  /// \param Now the clock reading.
  void resize(Limit Total, TimePoint Now);

  /// Adds what has flowed in since the last call.
  /// \param Now the clock reading; an earlier one than before has no effect.
  void refill(TimePoint Now);

  /// Takes an amount if the level covers it.
  /// \param Amount what to take.
  /// \param Now the clock reading.
  /// \returns whether it was taken.
  bool tryTake(MilliTokens Amount, TimePoint Now);

  /// Puts back what a reservation did not use, up to the burst.
  /// \param Amount what to put back; negative for use beyond a reservation.
  void refund(MilliTokens Amount);

  /// Takes a part out; the caller hands it to another bucket once.
  /// \param Requested the most units to take.
  /// \param Level the most level to take along.
  /// \returns the part: its level fits its burst.
  SharePart split(Share Requested, MilliTokens Level);

  /// Adds a part that was split from a bucket of the same limit.
  /// \param Part the part.
  void merge(const SharePart &Part);

  /// \param Amount a level.
  /// \returns how long until the level reaches \p Amount, or
  /// `Duration::max()` if it never does.
  Duration timeUntil(MilliTokens Amount) const;

  /// \returns the level after the last refill; negative while in debt.
  MilliTokens level() const { return Level_; }
  /// \returns the part's units.
  const Share &share() const { return Share_; }
  /// \returns the whole limit.
  const Limit &total() const { return Total_; }
  /// \returns the part's burst.
  MilliTokens burst() const {
    return portionOf(Total_.Burst_, Share_.BurstUnits_);
  }
  /// \returns the part's rate a second.
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
