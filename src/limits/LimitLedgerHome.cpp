/// \file
/// The home role of the limit ledger.
#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Time that borrowers have to answer a recall before a shortage is reported.
constexpr Duration RecallWait = std::chrono::milliseconds(100);
/// Minimum interval between shortage messages to one borrower.
constexpr Duration ShortageInterval = std::chrono::milliseconds(300);

} // namespace

void LimitLedger::ensureReserve(Account &Acct, TimePoint Now) {
  if (Shards_.empty())
    return;
  ShardState &Shard = shardOf(Acct.Key_);
  if (!isHome(Shard) || !Shard.IsActive_ ||
      Acct.HomeGeneration_ == Shard.Generation_)
    return;
  Acct.HomeGeneration_ = Shard.Generation_;
  Share Reserve = WholeShare;
  const auto Allocator = Shard.Allocators_.find(Acct.Key_);
  if (Allocator != Shard.Allocators_.end())
    Reserve -= Allocator->second.totalLent();
  Acct.Bucket_.refill(Now);
  Reserve -= Acct.Bucket_.share();
  // No tokens can have been used of an organisation that is newer than the
  // takeover of the shard, so its reserve starts with a full level. Others
  // start empty.
  const bool IsUnused =
      Shard.Generation_ == 1 || Acct.FirstRevision_ > Shard.ActivationRevision_;
  const Limit Total = Acct.Bucket_.total();
  SubBucket NewReserve(Total, {Reserve, IsUnused ? Total.Burst_ : 0},
                       Shard.ActivatedAt_);
  NewReserve.refill(Now);
  Acct.Bucket_.merge({NewReserve.share(), NewReserve.level()});
}

void LimitLedger::tryActivate(ShardState &Shard, TimePoint Now) {
  if (Shard.IsActive_ || !isHome(Shard))
    return;
  // Without a configuration, organisations that are newer than the takeover
  // cannot be told from older ones.
  if (Shard.Generation_ != 1 && Revision_ == 0)
    return;
  const bool HasAllReports =
      std::all_of(Shard.AwaitedMembers_.begin(), Shard.AwaitedMembers_.end(),
                  [&](const MemberId &Id) {
                    return Fault_ == LimitFault::ActivatesBeforeExpiry &&
                           !Members_.contains(Id);
                  });
  if (!HasAllReports)
    return;
  Shard.IsActive_ = true;
  Shard.ActivatedAt_ = Now;
  Shard.ActivationRevision_ = std::max(Shard.ActivationRevision_, Revision_);
  ++Counters_.ShardsTaken_;
  for (const auto &[Key, Allocator] : Shard.Allocators_)
    ActiveAccounts_.insert(Key);
}

void LimitLedger::serveAsHome(Account &Acct, TimePoint Now) {
  if (Shards_.empty()) {
    servePending(Acct, Now);
    return;
  }
  ensureReserve(Acct, Now);
  ShardState &Shard = shardOf(Acct.Key_);
  const auto Entry = Shard.Allocators_.find(Acct.Key_);
  if (Entry == Shard.Allocators_.end()) {
    servePending(Acct, Now);
    return;
  }
  ShareAllocator &Allocator = Entry->second;
  Allocator.expireDemands(Now);
  Acct.Bucket_.refill(Now);
  while (serveNextBorrower(Acct, Allocator, Now)) {
  }
  const MilliTokens OwnShortfall = Acct.shortfallForFirst();
  servePending(Acct, Now);
  const bool IsOwnShort = OwnShortfall > 0 && !Acct.Pending_.empty();
  const std::optional<MemberId> Next = Allocator.nextWaiting();
  const MilliTokens Minimum = Next ? Allocator.demandOf(*Next).Minimum_ : 0;
  if (IsOwnShort || Next)
    sendRecalls(Acct, Allocator, std::max(Minimum, OwnShortfall), Now);
  sendShortages(Acct, Allocator, Now);
  if (Allocator.isIdle())
    Shard.Allocators_.erase(Entry);
}

bool LimitLedger::isBorrowerAhead(const Account &Acct, TimePoint WaitStart) {
  if (Shards_.empty() || !isHome(shardOf(Acct.Key_)))
    return false;
  const auto &Books = shardOf(Acct.Key_).Allocators_;
  const auto Allocator = Books.find(Acct.Key_);
  if (Allocator == Books.end())
    return false;
  const std::optional<MemberId> Next = Allocator->second.nextWaiting();
  return Next && Allocator->second.demandOf(*Next).WaitStart_ < WaitStart;
}

bool LimitLedger::serveNextBorrower(Account &Acct, ShareAllocator &Allocator,
                                    TimePoint Now) {
  const std::optional<MemberId> Next = Allocator.nextWaiting();
  if (!Next)
    return false;
  const std::optional<SharePart> Part =
      Allocator.lend(*Next, Acct.Bucket_, Acct.Demand_.ratePerSecond(Now), Now);
  if (!Part)
    return false;
  if (Part->Share_.isEmpty())
    return true;
  Acct.trimRefunds();
  if (Fault_ == LimitFault::SenderKeepsShare)
    Acct.Bucket_.refund(Part->Level_);
  ++Counters_.Grants_;
  Links_[*Next].Channel_.push(
      {Acct.Key_, shardOf(Acct.Key_).Generation_, *Part});
  return true;
}

void LimitLedger::sendRecalls(Account &Acct, ShareAllocator &Allocator,
                              MilliTokens Minimum, TimePoint Now) {
  const bool IsBurstShort = Acct.Bucket_.burst() < Minimum;
  if (IsBurstShort)
    Acct.trimRefunds();
  const auto Recalls = Allocator.recall(Acct.Key_, IsBurstShort,
                                        Acct.Demand_.ratePerSecond(Now), Now);
  for (const AddressedRecall &Recall : Recalls) {
    ++Counters_.Recalls_;
    draftFor(Recall.Borrower_).Recalls_.push_back(Recall.Recall_);
  }
}

void LimitLedger::sendShortages(const Account &Acct, ShareAllocator &Allocator,
                                TimePoint Now) {
  const MilliTokens Rate = Acct.Bucket_.total().RatePerSecond_;
  MilliTokens CumulativeDemand = 0;
  for (const auto &[Id, Demand] : Allocator.demands()) {
    CumulativeDemand += Demand.Minimum_;
    const bool IsKnown = Now - Demand.NotifiedAt_ < ShortageInterval;
    if (Now - Demand.WaitStart_ < RecallWait || IsKnown || Rate == 0)
      continue;
    const MilliTokens Shortfall =
        std::max<MilliTokens>(0, CumulativeDemand - Acct.Bucket_.level());
    const double Seconds =
        static_cast<double>(Shortfall) / static_cast<double>(Rate);
    const auto Wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
    Allocator.noteShortageSent(Id, Now);
    draftFor(Id).Shortages_.push_back({Acct.Key_, Wait});
  }
}

} // namespace gooseberry
