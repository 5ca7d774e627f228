/// \file
/// The state of one organisation's limit on one instance.
#ifndef GOOSEBERRYBEAM_LIMITS_ORGANISATIONACCOUNT_H
#define GOOSEBERRYBEAM_LIMITS_ORGANISATIONACCOUNT_H

#include "gooseberrybeam/limits/DemandMeter.h"
#include "gooseberrybeam/limits/LimitOutcomes.h"
#include "gooseberrybeam/limits/RefundQueue.h"

#include <deque>

namespace gooseberry {

/// A reservation that waits for tokens.
struct PendingReservation {
  ReservationId Id_ = 0;
  MilliTokens Amount_ = 0;
  TimePoint WaitStart_;
  TimePoint HoldUntil_;
};

/// This instance's share of the limit, and the reservations that wait for it.
struct OrganisationAccount {
  OrganisationKey Key_ = 0;
  std::uint64_t FirstRevision_ = 0; ///< Configuration revision that added it.
  SubBucket Bucket_;
  RefundQueue Refunds_;
  std::deque<PendingReservation> Pending_;
  DemandMeter Demand_;
  Epoch HomeGeneration_ = 0; ///< Shard generation of the reserve held here.
  TimePoint DemandSentAt_;
  Duration DemandGap_{0}; ///< Minimum time to the next demand.

  /// \returns the amount by which the pending reservations exceed the level.
  MilliTokens shortfallForAll() const;
  /// \returns the amount by which the first pending reservation exceeds the
  /// level; 0 if none is pending.
  MilliTokens shortfallForFirst() const;
  /// Forfeits refunds until level + refundable is within the burst.
  void trimRefunds() { Refunds_.trim(Bucket_.burst() - Bucket_.level()); }
  /// \returns whether it holds no units and has neither pending nor outstanding
  /// reservations.
  bool isIdle() const {
    return Bucket_.share().isEmpty() && Pending_.empty() && Refunds_.isEmpty();
  }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_ORGANISATIONACCOUNT_H
