/// \file
/// Messages between the limit ledgers of two members. Any message may be lost,
/// duplicated, delayed or reordered without harm.
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

/// \param Id the id of an organisation.
/// \returns the key by which messages and shards identify it.
OrganisationKey makeOrganisationKey(const OrganisationId &Id);

/// A share that moves from a home to a borrower, or back.
struct ShareTransfer {
  OrganisationKey Organisation_ = 0;
  Epoch Generation_ = 0; ///< Shard generation known to the sender.
  SharePart Part_;

  friend bool operator==(const ShareTransfer &,
                         const ShareTransfer &) = default;
};

/// A borrower's demand, sent to the home and repeated while it lasts.
struct ShareDemand {
  OrganisationKey Organisation_ = 0;
  MilliTokens Requested_ = 0;     ///< Covers all pending reservations.
  MilliTokens Minimum_ = 0;       ///< Covers the first pending one.
  MilliTokens RatePerSecond_ = 0; ///< Recent use; 0 if requests are rare.

  friend bool operator==(const ShareDemand &, const ShareDemand &) = default;
};

/// A home's request that a borrower return unused units.
struct ShareRecall {
  OrganisationKey Organisation_ = 0;
  std::int64_t KeepRateUnits_ = 0; ///< Rate units the borrower may keep.
  bool IsBurstShort_ = false;      ///< Return burst reserved for refunds too.

  friend bool operator==(const ShareRecall &, const ShareRecall &) = default;
};

/// A home's estimate of when a demand can be met.
struct ShareShortage {
  OrganisationKey Organisation_ = 0;
  Duration AvailableAfter_ = Duration::zero();

  friend bool operator==(const ShareShortage &,
                         const ShareShortage &) = default;
};

/// A member's share of the limit of one organisation.
struct HeldShare {
  OrganisationKey Organisation_ = 0;
  Share Share_;

  friend bool operator==(const HeldShare &, const HeldShare &) = default;
};

/// A member's shares of all organisations of a shard, sent to the shard's new
/// owner.
struct ShardReport {
  std::uint32_t Shard_ = 0;
  Epoch Generation_ = 0;
  std::uint64_t Revision_ = 0; ///< The member's configuration revision.
  std::vector<HeldShare> Holdings_;

  friend bool operator==(const ShardReport &, const ShardReport &) = default;
};

/// Acknowledges a shard report.
struct ShardReportAck {
  std::uint32_t Shard_ = 0;
  Epoch Generation_ = 0;

  friend bool operator==(const ShardReportAck &,
                         const ShardReportAck &) = default;
};

/// Everything that one ledger has to send to another at one time.
struct LimitMessage {
  std::uint64_t FirstSequence_ = 0; ///< Sequence number of the first transfer.
  std::vector<ShareTransfer> Transfers_;
  std::uint64_t AppliedUpTo_ = 0; ///< Last transfer applied by the sender.
  std::vector<ShareDemand> Demands_;
  std::vector<ShareRecall> Recalls_;
  std::vector<ShareShortage> Shortages_;
  std::vector<ShardReport> Reports_;
  std::vector<ShardReportAck> ReportAcks_;

  friend bool operator==(const LimitMessage &, const LimitMessage &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_LIMITMESSAGES_H
