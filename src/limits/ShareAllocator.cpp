#include "gooseberrybeam/limits/ShareAllocator.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// A demand expires if it is not repeated within this time.
constexpr Duration DemandLifetime = std::chrono::milliseconds(1000);
/// How long after its last report the rate of a borrower is counted.
constexpr Duration RateLifetime = std::chrono::seconds(4);
/// Minimum interval between recalls of the same organisation.
constexpr Duration RecallInterval = std::chrono::milliseconds(50);

} // namespace

void ShareAllocator::noteDemand(const MemberId &Borrower,
                                const ShareDemand &Demand, TimePoint Now) {
  Borrowers_[Borrower] = {Demand.RatePerSecond_, Now};
  if (Demand.Minimum_ <= 0 && Demand.RatePerSecond_ == 0) {
    Demands_.erase(Borrower);
    return;
  }
  const auto [Entry, IsNew] = Demands_.try_emplace(Borrower);
  if (IsNew)
    Entry->second.WaitStart_ = Now;
  Entry->second.Requested_ = Demand.Requested_;
  Entry->second.Minimum_ = Demand.Minimum_;
}

std::optional<MemberId> ShareAllocator::nextWaiting() const {
  const auto First = std::min_element(Demands_.begin(), Demands_.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second.WaitStart_ <
                                               Right.second.WaitStart_;
                                      });
  if (First == Demands_.end())
    return std::nullopt;
  return First->first;
}

std::int64_t ShareAllocator::sumOfRates(MilliTokens OwnRate,
                                        TimePoint Now) const {
  std::int64_t Sum = OwnRate;
  std::int64_t Active = 0;
  for (const auto &[Id, Rate] : Borrowers_) {
    if (Rate.RatePerSecond_ == 0 || Now - Rate.SeenAt_ > RateLifetime)
      continue;
    Sum += Rate.RatePerSecond_;
    ++Active;
  }
  // The home keeps at least the average share of a member as a reserve.
  const std::int64_t Reserve = Active == 0 ? 0 : Sum / (Active + 1);
  return Sum + std::max<std::int64_t>(0, Reserve - OwnRate);
}

std::int64_t ShareAllocator::targetOf(const MemberId &Id, MilliTokens OwnRate,
                                      TimePoint Now) const {
  const auto Rate = Borrowers_.find(Id);
  if (Rate == Borrowers_.end() || Now - Rate->second.SeenAt_ > RateLifetime)
    return 0;
  const std::int64_t Sum = sumOfRates(OwnRate, Now);
  if (Sum <= 0)
    return 0;
  const double Fraction = static_cast<double>(Rate->second.RatePerSecond_) /
                          static_cast<double>(Sum);
  return static_cast<std::int64_t>(Fraction * WholeUnits);
}

std::optional<SharePart> ShareAllocator::lend(const MemberId &Borrower,
                                              SubBucket &Bucket,
                                              MilliTokens OwnRate,
                                              TimePoint Now) {
  const UnmetDemand Demand = Demands_.at(Borrower);
  if (Bucket.level() < Demand.Minimum_)
    return std::nullopt;
  const std::int64_t Target = targetOf(Borrower, OwnRate, Now);
  const Share AlreadyLent = lentTo(Borrower);
  const std::int64_t KeptAtHome = OwnRate > 0 ? WholeUnits / 16 : 0;
  MilliTokens Level = std::min(Bucket.level(), Demand.Requested_);
  Share Requested;
  Requested.BurstUnits_ = unitsFor(Bucket.total().Burst_, Level);
  Requested.RateUnits_ = std::clamp<std::int64_t>(
      Target - AlreadyLent.RateUnits_, 0,
      std::max<std::int64_t>(0, Bucket.share().RateUnits_ - KeptAtHome));
  // A steady borrower also gets its target share of the burst, with the level
  // in it.
  const std::int64_t Remaining =
      Bucket.share().BurstUnits_ - Requested.BurstUnits_;
  const std::int64_t ExtraBurstUnits = std::clamp<std::int64_t>(
      Target - AlreadyLent.BurstUnits_ - Requested.BurstUnits_, 0,
      std::max<std::int64_t>(0, Remaining - KeptAtHome));
  if (ExtraBurstUnits > 0) {
    const double Fraction =
        static_cast<double>(ExtraBurstUnits) / static_cast<double>(Remaining);
    Level += static_cast<MilliTokens>(
        static_cast<double>(Bucket.level() - Level) * Fraction);
    Requested.BurstUnits_ += ExtraBurstUnits;
  }
  const SharePart Part = Bucket.split(Requested, Level);
  Lent_[Borrower] += Part.Share_;
  Demands_.erase(Borrower);
  return Part;
}

std::vector<AddressedRecall>
ShareAllocator::recall(OrganisationKey Organisation, bool IsBurstShort,
                       MilliTokens OwnRate, TimePoint Now) {
  std::vector<AddressedRecall> Recalls;
  if (LastRecall_ && Now - *LastRecall_ < RecallInterval)
    return Recalls;
  LastRecall_ = Now;
  for (const auto &[Id, Holding] : Lent_) {
    if (Holding.isEmpty() || Demands_.contains(Id))
      continue;
    Recalls.push_back(
        {Id, {Organisation, targetOf(Id, OwnRate, Now), IsBurstShort}});
  }
  return Recalls;
}

void ShareAllocator::noteHeld(const MemberId &Borrower, const Share &Holding) {
  Lent_[Borrower] += Holding;
}

bool ShareAllocator::noteReturned(const MemberId &Borrower,
                                  const Share &Returned) {
  const auto Entry = Lent_.find(Borrower);
  if (Entry == Lent_.end())
    return Returned.isEmpty();
  Share &Holding = Entry->second;
  if (Holding.RateUnits_ < Returned.RateUnits_ ||
      Holding.BurstUnits_ < Returned.BurstUnits_)
    return false;
  Holding -= Returned;
  if (Holding.isEmpty())
    Lent_.erase(Entry);
  return true;
}

Share ShareAllocator::reclaim(const MemberId &Id) {
  const Share Holding = lentTo(Id);
  Lent_.erase(Id);
  Demands_.erase(Id);
  Borrowers_.erase(Id);
  return Holding;
}

Share ShareAllocator::totalLent() const {
  Share Sum;
  for (const auto &[Id, Holding] : Lent_)
    Sum += Holding;
  return Sum;
}

Share ShareAllocator::lentTo(const MemberId &Id) const {
  const auto Entry = Lent_.find(Id);
  return Entry == Lent_.end() ? Share() : Entry->second;
}

void ShareAllocator::expireDemands(TimePoint Now) {
  std::erase_if(Demands_, [&](const auto &Demand) {
    return Now - Borrowers_[Demand.first].SeenAt_ > DemandLifetime;
  });
  std::erase_if(Borrowers_, [&](const auto &Rate) {
    return Now - Rate.second.SeenAt_ > RateLifetime;
  });
}

} // namespace gooseberry
