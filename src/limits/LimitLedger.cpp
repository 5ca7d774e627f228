#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Told to callers when no better estimate is known.
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
  Account &Of = Entry->second;
  if (IsNew) {
    Of.Key_ = Key;
    Of.FirstRevision_ = Revision;
    Of.Bucket_ = SubBucket(Total, {}, Now);
    return;
  }
  // What flowed in until now did so at the former rate.
  ensureMinted(Of, Now);
  Of.Bucket_.resize(Total, Now);
  Of.trimRefunds();
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
  Account *Of = findAccount(Key);
  const bool IsTooLarge =
      Of == nullptr || Tokens > Of->Bucket_.total().Burst_ / MilliPerToken;
  if (IsTooLarge) {
    ++Counters_.RefusedRate_;
    return LimitRefused{RefusalReason::RateExceeded, std::nullopt};
  }
  const MilliTokens Amount = Tokens * MilliPerToken;
  const ReservationId Id = NextReservation_++;
  Of->Demand_.note(Amount, Now);
  Active_.insert(Key);
  ensureMinted(*Of, Now);
  const bool MayTake = Of->Pending_.empty() && !isBorrowerBefore(*Of, Now);
  if (MayTake && Of->Bucket_.tryTake(Amount, Now)) {
    commit(*Of, Id, Amount);
    return LimitReserved{Id};
  }
  Of->Pending_.push_back({Id, Amount, Now, HoldUntil});
  Waiting_.emplace(Id, Key);
  ++Counters_.Held_;
  if (!Shards_.empty() && isHome(shardOf(Key)))
    serveHome(*Of, Now);
  else
    sendDemand(*Of, Now);
  return LimitHeld{Id};
}

void LimitLedger::commit(Account &Of, ReservationId Id, MilliTokens Amount) {
  const std::uint64_t Number = Of.Refunds_.push(Amount);
  Of.trimRefunds();
  Live_.emplace(Id, LiveReservation{Of.Key_, Number, Amount});
  ++Counters_.Reserved_;
}

void LimitLedger::refuseFirst(Account &Of, LimitRefused Refused) {
  const ReservationId Id = Of.Pending_.front().Id_;
  Of.Pending_.pop_front();
  Waiting_.erase(Id);
  if (Refused.Reason_ == RefusalReason::LeaseExpired)
    ++Counters_.RefusedLease_;
  else
    ++Counters_.RefusedRate_;
  Actions_.emplace_back(ReservationRefused{Id, Refused});
}

void LimitLedger::serveOwn(Account &Of, TimePoint Now) {
  while (!Of.Pending_.empty()) {
    const PendingReservation First = Of.Pending_.front();
    if (!isLeaseValid(Now)) {
      refuseFirst(Of, {RefusalReason::LeaseExpired, DefaultRetryAfter});
      continue;
    }
    const bool MayTake = !isBorrowerBefore(Of, First.Since_);
    if (MayTake && Of.Bucket_.tryTake(First.Amount_, Now)) {
      Of.DemandGap_ = Duration::zero();
      Of.Pending_.pop_front();
      Waiting_.erase(First.Id_);
      commit(Of, First.Id_, First.Amount_);
      Actions_.emplace_back(ReservationGranted{First.Id_});
      continue;
    }
    if (Now < First.HoldUntil_)
      return;
    const Duration Wait = Of.Bucket_.timeUntil(First.Amount_);
    refuseFirst(Of, {RefusalReason::RateExceeded,
                     Wait == Duration::max() ? DefaultRetryAfter : Wait});
  }
}

bool LimitLedger::withdraw(ReservationId Id) {
  const auto Entry = Waiting_.find(Id);
  if (Entry == Waiting_.end())
    return false;
  Account &Of = Accounts_.at(Entry->second);
  std::erase_if(Of.Pending_, [&](const PendingReservation &Waiting) {
    return Waiting.Id_ == Id;
  });
  Waiting_.erase(Entry);
  return true;
}

void LimitLedger::settle(ReservationId Id, std::int64_t Used, TimePoint Now) {
  if (withdraw(Id))
    return;
  const auto Entry = Live_.find(Id);
  if (Entry == Live_.end())
    return;
  const LiveReservation Ended = Entry->second;
  Live_.erase(Entry);
  Account &Of = Accounts_.at(Ended.Organisation_);
  Of.Bucket_.refill(Now);
  Of.trimRefunds();
  const MilliTokens Unused = Ended.Amount_ - Used * MilliPerToken;
  const MilliTokens Refund = Of.Refunds_.settle(Ended.RefundNumber_, Unused);
  // Use beyond the reservation is a debt that later inflow pays first.
  Of.Bucket_.giveBack(Unused < 0 ? Unused : Refund);
  Active_.insert(Of.Key_);
}

Share LimitLedger::heldOf(const OrganisationId &Organisation) const {
  const auto Entry = Accounts_.find(makeOrganisationKey(Organisation));
  return Entry == Accounts_.end() ? Share() : Entry->second.Bucket_.share();
}

void LimitLedger::tick(TimePoint Now) {
  std::vector<OrganisationKey> Settled;
  for (const OrganisationKey Key : Active_) {
    Account &Of = Accounts_.at(Key);
    tickAccount(Of, Now);
    const bool IsHomeIdle = !Shards_.empty() && isHome(shardOf(Key)) &&
                            Of.Pending_.empty() &&
                            (!shardOf(Key).Books_.contains(Key) ||
                             shardOf(Key).Books_.at(Key).isIdle());
    if (IsHomeIdle || Of.isIdle())
      Settled.push_back(Key);
  }
  for (const OrganisationKey Key : Settled)
    Active_.erase(Key);
  for (ShardState &Shard : Shards_)
    tryMint(Shard, Now);
  sendReports();
}

void LimitLedger::tickAccount(Account &Of, TimePoint Now) {
  Of.Bucket_.refill(Now);
  Of.trimRefunds();
  if (Shards_.empty() || isHome(shardOf(Of.Key_))) {
    ensureMinted(Of, Now);
    serveHome(Of, Now);
    return;
  }
  serveOwn(Of, Now);
  if (Of.Pending_.empty())
    returnIdle(Of, Now);
  else
    sendDemand(Of, Now);
}

} // namespace gooseberry
