/// \file
/// One organisation's limit as one instance sees it.
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

/// The part held here, and what waits for it.
struct OrganisationAccount {
  OrganisationKey Key_ = 0;
  std::uint64_t FirstRevision_ = 0; ///< Revision that created the organisation.
  SubBucket Bucket_;
  RefundQueue Refunds_;
  std::deque<PendingReservation> Pending_;
  DemandMeter Demand_;
  Epoch HomeGeneration_ = 0; ///< Generation whose reserve was minted here.
  TimePoint DemandSentAt_;
  Duration DemandGap_{0}; ///< Least time to the next demand.

  /// \returns the amount that all pending reservations need beyond the level.
  MilliTokens shortfallForAll() const;
  /// \returns the amount that the first pending reservation needs beyond the
  /// level; 0 if none waits.
  MilliTokens shortfallForFirst() const;
  /// Keeps level + refundable within the burst.
  void trimRefunds() { Refunds_.trim(Bucket_.burst() - Bucket_.level()); }
  /// \returns whether neither tokens nor work are here.
  bool isIdle() const {
    return Bucket_.share().isEmpty() && Pending_.empty() && Refunds_.isEmpty();
  }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_ORGANISATIONACCOUNT_H
