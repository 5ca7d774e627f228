/// \file
/// What a home has lent of one organisation's limit, and to whom.
#ifndef GOOSEBERRYBEAM_LIMITS_SHAREALLOCATOR_H
#define GOOSEBERRYBEAM_LIMITS_SHAREALLOCATOR_H

#include "gooseberrybeam/limits/LimitMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberry {

/// A borrower's unmet demand.
struct UnmetDemand {
  MilliTokens Requested_ = 0;
  MilliTokens Minimum_ = 0;
  TimePoint WaitStart_;
  TimePoint NotifiedAt_; ///< When its borrower was last told of a shortage.
};

/// A recall and its receiver.
struct AddressedRecall {
  MemberId Borrower_;
  ShareRecall Recall_;
};

/// The home's account of one organisation. The bucket with what is not lent
/// is kept by the ledger and handed in.
class ShareAllocator {
public:
  /// Notes a demand; a new one of the same borrower replaces the old.
  /// \param Borrower the borrower.
  /// \param Demand what it needs.
  /// \param Now the clock reading.
  void noteDemand(const MemberId &Borrower, const ShareDemand &Demand,
                  TimePoint Now);

  /// \returns the borrower that has waited longest, if any waits.
  std::optional<MemberId> nextWaiting() const;

  /// \param Id a borrower.
  /// \returns its want; it must have one.
  const UnmetDemand &demandOf(const MemberId &Id) const {
    return Demands_.at(Id);
  }

  /// Notes that a borrower has been told of a shortage.
  /// \param Id a borrower with a want.
  /// \param Now the clock reading.
  void noteShortageSent(const MemberId &Id, TimePoint Now) {
    Demands_.at(Id).NotifiedAt_ = Now;
  }

  /// Lends to the borrower if the bucket covers the least that it wants.
  /// \param Borrower the borrower; it must have a want.
  /// \param Bucket what is not lent, refilled.
  /// \param OwnRate the home's own recent use a second.
  /// \param Now the clock reading.
  /// \returns the part subtracted from \p Bucket, or nothing.
  std::optional<SharePart> lend(const MemberId &Borrower, SubBucket &Bucket,
                                MilliTokens OwnRate, TimePoint Now);

  /// Asks borrowers that do not wait for what they do not use.
  /// \param Organisation the organisation.
  /// \param IsBurstShort whether the home's burst is too small.
  /// \param OwnRate the home's own recent use a second.
  /// \param Now the clock reading.
  /// \returns the recalls; none if some were sent just before.
  std::vector<AddressedRecall> recall(OrganisationKey Organisation,
                                      bool IsBurstShort, MilliTokens OwnRate,
                                      TimePoint Now);

  /// Notes what a survivor reported that it holds.
  /// \param Borrower the survivor.
  /// \param Holding what it holds.
  void noteHeld(const MemberId &Borrower, const Share &Holding);

  /// Notes a returned part.
  /// \param Borrower the borrower.
  /// \param Returned the part's units.
  /// \returns whether it had borrowed that much; else nothing changes.
  bool noteReturned(const MemberId &Borrower, const Share &Returned);

  /// Forgets a borrower that is known gone.
  /// \param Id the borrower.
  /// \returns the units to reclaim.
  Share reclaim(const MemberId &Id);

  /// \returns the sum of what is lent, including parts on their way.
  Share totalLent() const;
  /// \param Id a borrower.
  /// \returns what it has borrowed.
  Share lentTo(const MemberId &Id) const;
  /// \returns the unmet demands.
  const std::map<MemberId, UnmetDemand> &demands() const { return Demands_; }
  /// \returns whether nothing is lent and nothing waits.
  bool isIdle() const { return Lent_.empty() && Demands_.empty(); }

  /// Drops demands that were not repeated within the demand's lifetime.
  /// \param Now the clock reading.
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
