/// \file
/// Tracks and allocates the shares of one organisation's limit that its home
/// lends to other members.
#ifndef GOOSEBERRYBEAM_LIMITS_SHAREALLOCATOR_H
#define GOOSEBERRYBEAM_LIMITS_SHAREALLOCATOR_H

#include "gooseberrybeam/limits/LimitMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberry {

/// A borrower's unmet demand.
struct UnmetDemand {
  MilliTokens Requested_ = 0; ///< For all pending reservations.
  MilliTokens Minimum_ = 0;   ///< For the first pending reservation.
  TimePoint WaitStart_;
  TimePoint NotifiedAt_; ///< Last shortage message to the borrower.
};

/// A recall and the borrower that receives it.
struct AddressedRecall {
  MemberId Borrower_;
  ShareRecall Recall_;
};

/// The loans and unmet demands of one organisation at its home. The ledger owns
/// the bucket with the units that are not lent and passes it in.
class ShareAllocator {
public:
  /// Records a demand; replaces an earlier one of the same borrower.
  /// \param Borrower the borrowing member.
  /// \param Demand the amounts and rate it needs.
  /// \param Now the current time.
  void noteDemand(const MemberId &Borrower, const ShareDemand &Demand,
                  TimePoint Now);

  /// \returns the borrower whose demand has waited longest, if any.
  std::optional<MemberId> nextWaiting() const;

  /// \param Id a borrower.
  /// \returns its unmet demand; it must have one.
  const UnmetDemand &demandOf(const MemberId &Id) const {
    return Demands_.at(Id);
  }

  /// Records that a borrower has been sent a shortage.
  /// \param Id a borrower with an unmet demand.
  /// \param Now the current time.
  void noteShortageSent(const MemberId &Id, TimePoint Now) {
    Demands_.at(Id).NotifiedAt_ = Now;
  }

  /// Lends units and level to a borrower if the bucket covers its minimum.
  /// \param Borrower the borrower; it must have an unmet demand.
  /// \param Bucket the units that are not lent; must be refilled.
  /// \param OwnRate the home's own recent use, in millitokens per second.
  /// \param Now the current time.
  /// \returns the part taken out of \p Bucket, or nothing.
  std::optional<SharePart> lend(const MemberId &Borrower, SubBucket &Bucket,
                                MilliTokens OwnRate, TimePoint Now);

  /// Recalls unused units from borrowers that have no unmet demand.
  /// \param Organisation the key of the organisation.
  /// \param IsBurstShort whether the burst left at the home is too small.
  /// \param OwnRate the home's own recent use, in millitokens per second.
  /// \param Now the current time.
  /// \returns the recalls; empty if the last ones were sent too recently.
  std::vector<AddressedRecall> recall(OrganisationKey Organisation,
                                      bool IsBurstShort, MilliTokens OwnRate,
                                      TimePoint Now);

  /// Records the share that a member reported to a new home.
  /// \param Borrower the reporting member.
  /// \param Holding the share it holds.
  void noteHeld(const MemberId &Borrower, const Share &Holding);

  /// Records a returned share.
  /// \param Borrower the borrowing member.
  /// \param Returned the returned units.
  /// \returns whether the member had borrowed that much; otherwise nothing
  /// changes.
  bool noteReturned(const MemberId &Borrower, const Share &Returned);

  /// Removes a borrower whose instance lease has expired.
  /// \param Id the borrower.
  /// \returns the units that it had borrowed.
  Share reclaim(const MemberId &Id);

  /// \returns the sum of all loans, including units in transit.
  Share totalLent() const;
  /// \param Id a borrower.
  /// \returns the units lent to it, including those in transit.
  Share lentTo(const MemberId &Id) const;
  /// \returns the unmet demands by borrower.
  const std::map<MemberId, UnmetDemand> &demands() const { return Demands_; }
  /// \returns whether there are neither loans nor unmet demands.
  bool isIdle() const { return Lent_.empty() && Demands_.empty(); }

  /// Drops demands that were not repeated within their lifetime, and the rates
  /// of borrowers that no longer report one.
  /// \param Now the current time.
  void expireDemands(TimePoint Now);

private:
  struct BorrowerRate {
    MilliTokens RatePerSecond_ = 0;
    TimePoint SeenAt_;
  };

  std::int64_t targetOf(const MemberId &Id, MilliTokens OwnRate,
                        TimePoint Now) const;
  std::int64_t sumOfRates(MilliTokens OwnRate, TimePoint Now) const;

  std::map<MemberId, Share> Lent_;
  std::map<MemberId, UnmetDemand> Demands_;
  std::map<MemberId, BorrowerRate> Borrowers_;
  std::optional<TimePoint> LastRecall_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_SHAREALLOCATOR_H
