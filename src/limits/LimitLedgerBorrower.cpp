/// \file
/// The borrower role of the limit ledger.
#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// A share that is not used for this long is returned to the home.
constexpr Duration IdleReturnDelay = std::chrono::seconds(2);
/// Bounds of the interval between demands, which doubles while the home does
/// not meet them.
constexpr Duration MinDemandGap = std::chrono::milliseconds(50);
constexpr Duration MaxDemandGap = std::chrono::milliseconds(400);
/// Interval at which a steady borrower reports its rate, with or without
/// pending reservations.
constexpr Duration RateReportInterval = std::chrono::seconds(2);
/// On a recall, a borrower keeps the level that it uses in this time.
constexpr double RecallKeepSeconds = 0.1;

} // namespace

void LimitLedger::sendDemand(Account &Acct, TimePoint Now) {
  if (Shards_.empty() || Fault_ == LimitFault::NeverSendsDemand)
    return;
  if (Now - Acct.DemandSentAt_ < Acct.DemandGap_)
    return;
  const ShardState &Shard = shardOf(Acct.Key_);
  if (!Members_.contains(Shard.Owner_))
    return;
  Acct.DemandSentAt_ = Now;
  Acct.DemandGap_ = std::clamp(2 * Acct.DemandGap_, MinDemandGap, MaxDemandGap);
  const bool IsSteady = Acct.Demand_.isSteady(Now);
  draftFor(Shard.Owner_)
      .Demands_.push_back({Acct.Key_, Acct.shortfallForAll(),
                           Acct.shortfallForFirst(),
                           IsSteady ? Acct.Demand_.ratePerSecond(Now) : 0});
}

void LimitLedger::returnPart(Account &Acct, Share Requested,
                             MilliTokens Level) {
  const ShardState &Shard = shardOf(Acct.Key_);
  // The unacknowledged shard report lists the units held here, so they must not
  // be returned before the owner acknowledges it.
  if (Shard.UnconfirmedReport_ || isHome(Shard))
    return;
  const SharePart Part = Acct.Bucket_.split(Requested, Level);
  Acct.trimRefunds();
  if (Part.Share_.isEmpty())
    return;
  if (Fault_ == LimitFault::SenderKeepsShare)
    Acct.Bucket_.refund(Part.Level_);
  ++Counters_.Returns_;
  Links_[Shard.Owner_].Channel_.push({Acct.Key_, Shard.Generation_, Part});
}

void LimitLedger::returnIdle(Account &Acct, TimePoint Now) {
  if (Shards_.empty())
    return;
  const Share Holding = Acct.Bucket_.share();
  const bool IsLentForOneRequest = Holding.RateUnits_ == 0;
  const bool IsIdle =
      IsReturning_ || Now - Acct.Demand_.lastUsed() >= IdleReturnDelay;
  if (!IsLentForOneRequest && !IsIdle) {
    if (Now - Acct.DemandSentAt_ >= RateReportInterval)
      sendDemand(Acct, Now);
    return;
  }
  if (Acct.Bucket_.level() < 0)
    return; // A debt must be paid here first.
  const std::int64_t RefundUnits =
      unitsFor(Acct.Bucket_.total().Burst_, Acct.Refunds_.refundable());
  const std::int64_t SpareBurstUnits =
      std::max<std::int64_t>(0, Holding.BurstUnits_ - RefundUnits);
  returnPart(Acct, {Holding.RateUnits_, SpareBurstUnits}, Acct.Bucket_.level());
}

void LimitLedger::applyRecall(const ShareRecall &Recall, TimePoint Now) {
  Account *Acct = findAccount(Recall.Organisation_);
  if (Acct == nullptr || Shards_.empty())
    return;
  Acct->Bucket_.refill(Now);
  Acct->trimRefunds();
  if (!Acct->Pending_.empty() || Acct->Bucket_.level() < 0)
    return;
  const double Rate = static_cast<double>(Acct->Demand_.ratePerSecond(Now));
  const auto KeepLevel = static_cast<MilliTokens>(Rate * RecallKeepSeconds);
  const MilliTokens KeptLevel = std::min(KeepLevel, Acct->Bucket_.level());
  const MilliTokens ReservedForRefunds =
      Recall.IsBurstShort_ ? 0 : Acct->Refunds_.refundable();
  const std::int64_t KeptUnits =
      unitsFor(Acct->Bucket_.total().Burst_, KeptLevel + ReservedForRefunds);
  const Share Holding = Acct->Bucket_.share();
  const Share Requested{
      std::max<std::int64_t>(0, Holding.RateUnits_ - Recall.KeepRateUnits_),
      std::max<std::int64_t>(0, Holding.BurstUnits_ - KeptUnits)};
  returnPart(*Acct, Requested, Acct->Bucket_.level() - KeptLevel);
}

void LimitLedger::applyShortage(const ShareShortage &Shortage, TimePoint Now) {
  Account *Acct = findAccount(Shortage.Organisation_);
  if (Acct == nullptr)
    return;
  servePending(*Acct, Now);
  while (!Acct->Pending_.empty() &&
         Now + Shortage.AvailableAfter_ > Acct->Pending_.front().HoldUntil_)
    refuseFirst(*Acct, {RefusalReason::RateExceeded, Shortage.AvailableAfter_});
}

bool LimitLedger::hasReturnedAll() const {
  for (const auto &[Key, Acct] : Accounts_) {
    const bool IsHeld = !Acct.Bucket_.share().isEmpty();
    if (IsHeld && !isHome(Shards_[shardIndex(Key)]))
      return false;
  }
  return !hasUnackedTransfers();
}

void LimitLedger::returnAll(TimePoint Now) {
  for (auto &[Key, Acct] : Accounts_) {
    if (Shards_.empty() || isHome(shardOf(Key)))
      continue;
    Acct.Bucket_.refill(Now);
    Acct.trimRefunds();
    returnPart(Acct, Acct.Bucket_.share(), Acct.Bucket_.level());
  }
}

} // namespace gooseberry
