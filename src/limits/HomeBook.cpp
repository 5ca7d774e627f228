#include "gooseberrybeam/limits/HomeBook.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// A demand that is not repeated for so long is void.
constexpr Duration DemandLifetime = std::chrono::milliseconds(1000);
/// A borrower's rate counts for so long after it was told.
constexpr Duration RateLifetime = std::chrono::seconds(4);
constexpr Duration RecallInterval = std::chrono::milliseconds(50);

} // namespace

void HomeBook::noteDemand(const MemberId &From, const ShareDemand &Demand,
                          TimePoint Now) {
  Borrowers_[From] = {Demand.RatePerSecond_, Now};
  if (Demand.Least_ <= 0 && Demand.RatePerSecond_ == 0) {
    Wants_.erase(From);
    return;
  }
  const auto [Entry, IsNew] = Wants_.try_emplace(From);
  if (IsNew)
    Entry->second.Since_ = Now;
  Entry->second.Want_ = Demand.Want_;
  Entry->second.Least_ = Demand.Least_;
}

std::optional<MemberId> HomeBook::nextWaiting() const {
  const auto First = std::min_element(
      Wants_.begin(), Wants_.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Since_ < Right.second.Since_;
      });
  if (First == Wants_.end())
    return std::nullopt;
  return First->first;
}

std::int64_t HomeBook::sumOfRates(MilliTokens OwnRate, TimePoint Now) const {
  std::int64_t Sum = OwnRate;
  std::int64_t Active = 0;
  for (const auto &[Id, Known] : Borrowers_) {
    if (Known.RatePerSecond_ == 0 || Now - Known.SeenAt_ > RateLifetime)
      continue;
    Sum += Known.RatePerSecond_;
    ++Active;
  }
  // The home keeps at least a member's average share as a reserve.
  const std::int64_t Reserve = Active == 0 ? 0 : Sum / (Active + 1);
  return Sum + std::max<std::int64_t>(0, Reserve - OwnRate);
}

std::int64_t HomeBook::targetOf(const MemberId &Id, MilliTokens OwnRate,
                                TimePoint Now) const {
  const auto Known = Borrowers_.find(Id);
  if (Known == Borrowers_.end() || Now - Known->second.SeenAt_ > RateLifetime)
    return 0;
  const std::int64_t Sum = sumOfRates(OwnRate, Now);
  if (Sum <= 0)
    return 0;
  const double Fraction = static_cast<double>(Known->second.RatePerSecond_) /
                          static_cast<double>(Sum);
  return static_cast<std::int64_t>(Fraction * WholeUnits);
}

std::optional<SharePart> HomeBook::lend(const MemberId &To, SubBucket &Bucket,
                                        MilliTokens OwnRate, TimePoint Now) {
  const ShareWant Want = Wants_.at(To);
  if (Bucket.level() < Want.Least_)
    return std::nullopt;
  const std::int64_t Target = targetOf(To, OwnRate, Now);
  const Share Before = lentTo(To);
  const std::int64_t KeptAtHome = OwnRate > 0 ? WholeUnits / 16 : 0;
  MilliTokens Level = std::min(Bucket.level(), Want.Want_);
  Share Wanted;
  Wanted.BurstUnits_ = unitsFor(Bucket.total().Burst_, Level);
  Wanted.RateUnits_ = std::clamp<std::int64_t>(
      Target - Before.RateUnits_, 0,
      std::max<std::int64_t>(0, Bucket.share().RateUnits_ - KeptAtHome));
  // A steady borrower also gets its part of the burst, with the level in it.
  const std::int64_t Left = Bucket.share().BurstUnits_ - Wanted.BurstUnits_;
  const std::int64_t Extra =
      std::clamp<std::int64_t>(Target - Before.BurstUnits_ - Wanted.BurstUnits_,
                               0, std::max<std::int64_t>(0, Left - KeptAtHome));
  if (Extra > 0) {
    const double Fraction =
        static_cast<double>(Extra) / static_cast<double>(Left);
    Level += static_cast<MilliTokens>(
        static_cast<double>(Bucket.level() - Level) * Fraction);
    Wanted.BurstUnits_ += Extra;
  }
  const SharePart Part = Bucket.split(Wanted, Level);
  Lent_[To] += Part.Share_;
  Wants_.erase(To);
  return Part;
}

std::vector<AddressedRecall> HomeBook::recall(OrganisationKey Organisation,
                                              bool IsBurstShort,
                                              MilliTokens OwnRate,
                                              TimePoint Now) {
  std::vector<AddressedRecall> Recalls;
  if (RecalledAt_ && Now - *RecalledAt_ < RecallInterval)
    return Recalls;
  RecalledAt_ = Now;
  for (const auto &[Id, Held] : Lent_) {
    if (Held.isEmpty() || Wants_.contains(Id))
      continue;
    Recalls.push_back(
        {Id, {Organisation, targetOf(Id, OwnRate, Now), IsBurstShort}});
  }
  return Recalls;
}

void HomeBook::noteHeld(const MemberId &From, const Share &Held) {
  Lent_[From] += Held;
}

bool HomeBook::noteReturned(const MemberId &From, const Share &Returned) {
  const auto Entry = Lent_.find(From);
  if (Entry == Lent_.end())
    return Returned.isEmpty();
  Share &Held = Entry->second;
  if (Held.RateUnits_ < Returned.RateUnits_ ||
      Held.BurstUnits_ < Returned.BurstUnits_)
    return false;
  Held -= Returned;
  if (Held.isEmpty())
    Lent_.erase(Entry);
  return true;
}

Share HomeBook::reclaim(const MemberId &Id) {
  const Share Held = lentTo(Id);
  Lent_.erase(Id);
  Wants_.erase(Id);
  Borrowers_.erase(Id);
  return Held;
}

Share HomeBook::lent() const {
  Share Sum;
  for (const auto &[Id, Held] : Lent_)
    Sum += Held;
  return Sum;
}

Share HomeBook::lentTo(const MemberId &Id) const {
  const auto Entry = Lent_.find(Id);
  return Entry == Lent_.end() ? Share() : Entry->second;
}

void HomeBook::expireWants(TimePoint Now) {
  std::erase_if(Wants_, [&](const auto &Want) {
    return Now - Borrowers_[Want.first].SeenAt_ > DemandLifetime;
  });
  std::erase_if(Borrowers_, [&](const auto &Known) {
    return Now - Known.second.SeenAt_ > RateLifetime;
  });
}

} // namespace gooseberry
