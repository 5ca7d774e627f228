#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Retry-after time when there is no better estimate.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

} // namespace

LimitLedger::LimitLedger(MemberId Self, LimitFault Fault)
    : Self_(std::move(Self)), Fault_(Fault) {}

bool LimitLedger::isLeaseValid(TimePoint Now) const {
  return Fault_ == LimitFault::IgnoresLease || Now < LeaseUntil_;
}

LimitLedger::Account *LimitLedger::findAccount(OrganisationKey Key) {
  const auto Entry = Accounts_.find(Key);
  return Entry == Accounts_.end() ? nullptr : &Entry->second;
}

void LimitLedger::setLimit(const OrganisationId &Organisation, Limit Total,
                           std::uint64_t Revision, TimePoint Now) {
  const OrganisationKey Key = makeOrganisationKey(Organisation);
  Revision_ = std::max(Revision_, Revision);
  const auto [Entry, IsNew] = Accounts_.try_emplace(Key);
  Account &Acct = Entry->second;
  if (IsNew) {
    Acct.Key_ = Key;
    Acct.FirstRevision_ = Revision;
    Acct.Bucket_ = SubBucket(Total, {}, Now);
    return;
  }
  // Inflow up to now accrued at the former rate, so the reserve is created and
  // the bucket refilled before the limit changes.
  ensureReserve(Acct, Now);
  Acct.Bucket_.resize(Total, Now);
  Acct.trimRefunds();
}

ReserveOutcome LimitLedger::reserve(const OrganisationId &Organisation,
                                    std::int64_t Tokens, TimePoint Now,
                                    TimePoint HoldUntil) {
  assert(Tokens >= 0);
  if (!isLeaseValid(Now)) {
    ++Counters_.RefusedLease_;
    return LimitRefused{RefusalReason::LeaseExpired, DefaultRetryAfter};
  }
  const OrganisationKey Key = makeOrganisationKey(Organisation);
  Account *Acct = findAccount(Key);
  const bool IsTooLarge =
      Acct == nullptr || Tokens > Acct->Bucket_.total().Burst_ / MilliPerToken;
  if (IsTooLarge) {
    ++Counters_.RefusedRate_;
    return LimitRefused{RefusalReason::RateExceeded, std::nullopt};
  }
  const MilliTokens Amount = Tokens * MilliPerToken;
  const ReservationId Id = NextReservation_++;
  Acct->Demand_.record(Amount, Now);
  ActiveAccounts_.insert(Key);
  ensureReserve(*Acct, Now);
  const bool MayTake = Acct->Pending_.empty() && !isBorrowerAhead(*Acct, Now);
  if (MayTake && Acct->Bucket_.tryTake(Amount, Now)) {
    commit(*Acct, Id, Amount);
    return LimitReserved{Id};
  }
  Acct->Pending_.push_back({Id, Amount, Now, HoldUntil});
  PendingAccounts_.emplace(Id, Key);
  ++Counters_.Pending_;
  if (!Shards_.empty() && isHome(shardOf(Key)))
    serveAsHome(*Acct, Now);
  else
    sendDemand(*Acct, Now);
  return LimitPending{Id};
}

void LimitLedger::commit(Account &Acct, ReservationId Id, MilliTokens Amount) {
  const std::uint64_t Number = Acct.Refunds_.push(Amount);
  Acct.trimRefunds();
  Outstanding_.emplace(Id, OutstandingReservation{Acct.Key_, Number, Amount});
  ++Counters_.Reserved_;
}

void LimitLedger::refuseFirst(Account &Acct, LimitRefused Refused) {
  const ReservationId Id = Acct.Pending_.front().Id_;
  Acct.Pending_.pop_front();
  PendingAccounts_.erase(Id);
  if (Refused.Reason_ == RefusalReason::LeaseExpired)
    ++Counters_.RefusedLease_;
  else
    ++Counters_.RefusedRate_;
  Actions_.emplace_back(ReservationRefused{Id, Refused});
}

void LimitLedger::servePending(Account &Acct, TimePoint Now) {
  while (!Acct.Pending_.empty()) {
    const PendingReservation First = Acct.Pending_.front();
    if (!isLeaseValid(Now)) {
      refuseFirst(Acct, {RefusalReason::LeaseExpired, DefaultRetryAfter});
      continue;
    }
    const bool MayTake = !isBorrowerAhead(Acct, First.WaitStart_);
    if (MayTake && Acct.Bucket_.tryTake(First.Amount_, Now)) {
      Acct.DemandGap_ = Duration::zero();
      Acct.Pending_.pop_front();
      PendingAccounts_.erase(First.Id_);
      commit(Acct, First.Id_, First.Amount_);
      Actions_.emplace_back(ReservationGranted{First.Id_});
      continue;
    }
    if (Now < First.HoldUntil_)
      return;
    const Duration Wait = Acct.Bucket_.timeUntil(First.Amount_);
    refuseFirst(Acct, {RefusalReason::RateExceeded,
                       Wait == Duration::max() ? DefaultRetryAfter : Wait});
  }
}

bool LimitLedger::withdraw(ReservationId Id) {
  const auto Entry = PendingAccounts_.find(Id);
  if (Entry == PendingAccounts_.end())
    return false;
  Account &Acct = Accounts_.at(Entry->second);
  std::erase_if(Acct.Pending_, [&](const PendingReservation &Pending) {
    return Pending.Id_ == Id;
  });
  PendingAccounts_.erase(Entry);
  return true;
}

void LimitLedger::settle(ReservationId Id, std::int64_t Used, TimePoint Now) {
  if (withdraw(Id))
    return;
  const auto Entry = Outstanding_.find(Id);
  if (Entry == Outstanding_.end())
    return;
  const OutstandingReservation Ended = Entry->second;
  Outstanding_.erase(Entry);
  Account &Acct = Accounts_.at(Ended.Organisation_);
  Acct.Bucket_.refill(Now);
  Acct.trimRefunds();
  const MilliTokens Unused = Ended.Amount_ - Used * MilliPerToken;
  const MilliTokens Refund = Acct.Refunds_.settle(Ended.RefundNumber_, Unused);
  // Use beyond the reservation becomes a debt that later inflow pays first.
  Acct.Bucket_.refund(Unused < 0 ? Unused : Refund);
  ActiveAccounts_.insert(Acct.Key_);
}

Share LimitLedger::heldOf(const OrganisationId &Organisation) const {
  const auto Entry = Accounts_.find(makeOrganisationKey(Organisation));
  return Entry == Accounts_.end() ? Share() : Entry->second.Bucket_.share();
}

void LimitLedger::tick(TimePoint Now) {
  std::vector<OrganisationKey> Settled;
  for (const OrganisationKey Key : ActiveAccounts_) {
    Account &Acct = Accounts_.at(Key);
    tickAccount(Acct, Now);
    const bool IsHomeIdle = !Shards_.empty() && isHome(shardOf(Key)) &&
                            Acct.Pending_.empty() &&
                            (!shardOf(Key).Allocators_.contains(Key) ||
                             shardOf(Key).Allocators_.at(Key).isIdle());
    if (IsHomeIdle || Acct.isIdle())
      Settled.push_back(Key);
  }
  for (const OrganisationKey Key : Settled)
    ActiveAccounts_.erase(Key);
  for (ShardState &Shard : Shards_)
    tryActivate(Shard, Now);
  sendReports();
}

void LimitLedger::tickAccount(Account &Acct, TimePoint Now) {
  Acct.Bucket_.refill(Now);
  Acct.trimRefunds();
  if (Shards_.empty() || isHome(shardOf(Acct.Key_))) {
    ensureReserve(Acct, Now);
    serveAsHome(Acct, Now);
    return;
  }
  servePending(Acct, Now);
  if (Acct.Pending_.empty())
    returnIdle(Acct, Now);
  else
    sendDemand(Acct, Now);
}

} // namespace gooseberry
