/// \file
/// The limit ledger's part as a borrower.
#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// A part that was not used for so long goes back.
constexpr Duration IdleReturn = std::chrono::seconds(2);
/// Gaps between demands double while the home does not meet them.
constexpr Duration DemandGapLeast = std::chrono::milliseconds(50);
constexpr Duration DemandGapMost = std::chrono::milliseconds(400);
/// A steady borrower tells its rate so often, waiting or not.
constexpr Duration RateReportInterval = std::chrono::seconds(2);
/// On a recall a borrower keeps what it uses in so long.
constexpr double RecallKeepSeconds = 0.1;

} // namespace

void LimitLedger::sendDemand(Account &Of, TimePoint Now) {
  if (Shards_.empty() || Fault_ == LimitFault::NeverAsksHome)
    return;
  if (Now - Of.DemandSentAt_ < Of.DemandGap_)
    return;
  const ShardState &Shard = shardOf(Of.Key_);
  if (!Members_.contains(Shard.Owner_))
    return;
  Of.DemandSentAt_ = Now;
  Of.DemandGap_ = std::clamp(2 * Of.DemandGap_, DemandGapLeast, DemandGapMost);
  const bool IsSteady = Of.Demand_.isSteady(Now);
  draftFor(Shard.Owner_)
      .Demands_.push_back({Of.Key_, Of.missingForAll(), Of.missingForFirst(),
                           IsSteady ? Of.Demand_.ratePerSecond(Now) : 0});
}

void LimitLedger::returnPart(Account &Of, Share Wanted, MilliTokens Level) {
  const ShardState &Shard = shardOf(Of.Key_);
  // The report named the units held; they stay until it is confirmed.
  if (Shard.Unconfirmed_ || isHome(Shard))
    return;
  const SharePart Part = Of.Bucket_.split(Wanted, Level);
  Of.trimRefunds();
  if (Part.Share_.isEmpty())
    return;
  if (Fault_ == LimitFault::GiverKeepsPart)
    Of.Bucket_.giveBack(Part.Level_);
  ++Counters_.Returns_;
  Links_[Shard.Owner_].Channel_.push({Of.Key_, Shard.Generation_, Part});
}

void LimitLedger::returnIdle(Account &Of, TimePoint Now) {
  if (Shards_.empty())
    return;
  const Share Held = Of.Bucket_.share();
  const bool IsLentForOneRequest = Held.RateUnits_ == 0;
  const bool IsIdle = IsReturning_ || Now - Of.Demand_.lastUsed() >= IdleReturn;
  if (!IsLentForOneRequest && !IsIdle) {
    if (Now - Of.DemandSentAt_ >= RateReportInterval)
      sendDemand(Of, Now);
    return;
  }
  if (Of.Bucket_.level() < 0)
    return; // A debt is paid here first.
  const std::int64_t Backing =
      unitsFor(Of.Bucket_.total().Burst_, Of.Refunds_.refundable());
  const std::int64_t Spare =
      std::max<std::int64_t>(0, Held.BurstUnits_ - Backing);
  returnPart(Of, {Held.RateUnits_, Spare}, Of.Bucket_.level());
}

void LimitLedger::applyRecall(const ShareRecall &Recall, TimePoint Now) {
  Account *Of = findAccount(Recall.Organisation_);
  if (Of == nullptr || Shards_.empty())
    return;
  Of->Bucket_.refill(Now);
  Of->trimRefunds();
  if (!Of->Pending_.empty() || Of->Bucket_.level() < 0)
    return;
  const double Rate = static_cast<double>(Of->Demand_.ratePerSecond(Now));
  const auto Keep = static_cast<MilliTokens>(Rate * RecallKeepSeconds);
  const MilliTokens Kept = std::min(Keep, Of->Bucket_.level());
  const MilliTokens Backed =
      Recall.IsBurstShort_ ? 0 : Of->Refunds_.refundable();
  const std::int64_t KeptUnits =
      unitsFor(Of->Bucket_.total().Burst_, Kept + Backed);
  const Share Held = Of->Bucket_.share();
  const Share Wanted{
      std::max<std::int64_t>(0, Held.RateUnits_ - Recall.KeepRateUnits_),
      std::max<std::int64_t>(0, Held.BurstUnits_ - KeptUnits)};
  returnPart(*Of, Wanted, Of->Bucket_.level() - Kept);
}

void LimitLedger::applyShortage(const ShareShortage &Shortage, TimePoint Now) {
  Account *Of = findAccount(Shortage.Organisation_);
  if (Of == nullptr)
    return;
  serveOwn(*Of, Now);
  while (!Of->Pending_.empty() &&
         Now + Shortage.AvailableAfter_ > Of->Pending_.front().HoldUntil_)
    refuseFirst(*Of, {RefusalReason::RateExceeded, Shortage.AvailableAfter_});
}

bool LimitLedger::hasReturnedAll() const {
  for (const auto &[Key, Of] : Accounts_) {
    const bool IsHeld = !Of.Bucket_.share().isEmpty();
    if (IsHeld && !isHome(Shards_[shardIndex(Key)]))
      return false;
  }
  return !hasUnackedTransfers();
}

void LimitLedger::returnAll(TimePoint Now) {
  for (auto &[Key, Of] : Accounts_) {
    if (Shards_.empty() || isHome(shardOf(Key)))
      continue;
    Of.Bucket_.refill(Now);
    Of.trimRefunds();
    returnPart(Of, Of.Bucket_.share(), Of.Bucket_.level());
  }
}

} // namespace gooseberry
