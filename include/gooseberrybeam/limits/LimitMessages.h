/// \file
/// What the limit ledgers of two members tell each other. Every message may
/// be lost, repeated, delayed or reordered without harm.
#ifndef GOOSEBERRYBEAM_LIMITS_LIMITMESSAGES_H
#define GOOSEBERRYBEAM_LIMITS_LIMITMESSAGES_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/limits/SubBucket.h"
#include "gooseberrybeam/membership/EpochDocument.h"

#include <cstdint>
#include <vector>

namespace gooseberry {

/// XXH64 (seed 0) of an organisation's name.
using OrganisationKey = std::uint64_t;

/// \param Id an organisation.
/// \returns its key.
OrganisationKey makeOrganisationKey(const OrganisationId &Id);

/// A part handed from a home to a borrower, or back.
struct ShareTransfer {
  OrganisationKey Organisation_ = 0;
  Epoch Generation_ = 0; ///< Of the organisation's shard, at the giver.
  SharePart Part_;

  friend bool operator==(const ShareTransfer &,
                         const ShareTransfer &) = default;
};

/// A borrower's need, sent to the home and repeated while it lasts.
struct ShareDemand {
  OrganisationKey Organisation_ = 0;
  MilliTokens Requested_ = 0;     ///< Covers everything that waits.
  MilliTokens Minimum_ = 0;       ///< Covers the first that waits.
  MilliTokens RatePerSecond_ = 0; ///< Recent use; 0 if requests are rare.

  friend bool operator==(const ShareDemand &, const ShareDemand &) = default;
};

/// A home's request for what a borrower does not use.
struct ShareRecall {
  OrganisationKey Organisation_ = 0;
  std::int64_t KeepRateUnits_ = 0;
  bool IsBurstShort_ = false; ///< Also return burst that backs refunds.

  friend bool operator==(const ShareRecall &, const ShareRecall &) = default;
};

/// A home's estimate of when a demand can be met.
struct ShareShortage {
  OrganisationKey Organisation_ = 0;
  Duration AvailableAfter_ = Duration::zero();

  friend bool operator==(const ShareShortage &,
                         const ShareShortage &) = default;
};

/// What a member holds of one organisation's limit.
struct HeldShare {
  OrganisationKey Organisation_ = 0;
  Share Share_;

  friend bool operator==(const HeldShare &, const HeldShare &) = default;
};

/// What a member holds of a shard, sent to the shard's new owner.
struct ShardReport {
  std::uint32_t Shard_ = 0;
  Epoch Generation_ = 0;
  std::uint64_t Revision_ = 0; ///< The member's configuration revision.
  std::vector<HeldShare> Holdings_;

  friend bool operator==(const ShardReport &, const ShardReport &) = default;
};

/// Confirms a shard report.
struct ShardReportAck {
  std::uint32_t Shard_ = 0;
  Epoch Generation_ = 0;

  friend bool operator==(const ShardReportAck &,
                         const ShardReportAck &) = default;
};

/// Everything one ledger has for another at one moment.
struct LimitMessage {
  std::uint64_t FirstSequence_ = 0; ///< Number of the first transfer.
  std::vector<ShareTransfer> Transfers_;
  std::uint64_t AppliedUpTo_ = 0; ///< Acknowledges the other's transfers.
  std::vector<ShareDemand> Demands_;
  std::vector<ShareRecall> Recalls_;
  std::vector<ShareShortage> Shortages_;
  std::vector<ShardReport> Reports_;
  std::vector<ShardReportAck> ReportAcks_;

  friend bool operator==(const LimitMessage &, const LimitMessage &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_LIMITMESSAGES_H
