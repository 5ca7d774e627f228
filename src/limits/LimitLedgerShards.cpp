/// \file
/// Membership epochs, shard takeover and message exchange of the limit ledger.
#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

std::uint32_t LimitLedger::shardIndex(OrganisationKey Key) const {
  assert(!Shards_.empty());
  return static_cast<std::uint32_t>(Key % Shards_.size());
}

void LimitLedger::adoptEpoch(const EpochDocument &Document, TimePoint Now) {
  if (Document.Epoch_ <= Epoch_)
    return;
  const EpochMember *SelfEntry = Document.find(Self_);
  assert(SelfEntry != nullptr);
  Epoch_ = Document.Epoch_;
  JoinedAt_ = SelfEntry->Joined_;
  Members_.clear();
  for (const EpochMember &Member : Document.Members_)
    Members_.insert(Member.Id_);
  assert(Shards_.empty() || Shards_.size() == Document.Shards_.size());
  Shards_.resize(Document.Shards_.size());
  for (std::uint32_t I = 0; I < Shards_.size(); ++I)
    updateOwner(I, Document.Shards_[I], Document, Now);
  for (const auto &[Key, Acct] : Accounts_)
    if (!Acct.Bucket_.share().isEmpty() && !isHome(shardOf(Key)))
      ActiveAccounts_.insert(Key);
  sendReports();
}

void LimitLedger::prepareHandover(std::uint32_t Index, TimePoint Now) {
  if (!isHome(Shards_[Index]))
    return;
  // Creates the reserves of all accounts of the shard, which then become
  // ordinary holdings, so that their level is not lost.
  for (auto &[Key, Acct] : Accounts_)
    if (shardIndex(Key) == Index)
      ensureReserve(Acct, Now);
}

void LimitLedger::updateOwner(std::uint32_t Index, const ShardOwner &NewOwner,
                              const EpochDocument &Document, TimePoint Now) {
  ShardState &Shard = Shards_[Index];
  if (Shard.Generation_ == NewOwner.Generation_)
    return;
  prepareHandover(Index, Now);
  const bool MayHold = JoinedAt_ < NewOwner.Generation_;
  Shard = ShardState();
  Shard.Owner_ = NewOwner.Owner_;
  Shard.Generation_ = NewOwner.Generation_;
  if (isHome(Shard)) {
    awaitReports(Shard, Document);
    tryActivate(Shard, Now);
  } else if (MayHold) {
    Shard.UnconfirmedReport_ = makeReport(Index, NewOwner.Generation_);
  }
}

void LimitLedger::awaitReports(ShardState &Shard,
                               const EpochDocument &Document) {
  for (const EpochMember &Member : Document.Members_)
    if (Member.Id_ != Self_ && Member.Joined_ < Shard.Generation_)
      Shard.AwaitedMembers_.insert(Member.Id_);
  for (const DepartedMember &Member : Document.Departed_)
    if (!Expired_.contains(Member.Id_))
      Shard.AwaitedMembers_.insert(Member.Id_);
}

ShardReport LimitLedger::makeReport(std::uint32_t Index,
                                    Epoch Generation) const {
  ShardReport Report{Index, Generation, Revision_, {}};
  for (const auto &[Key, Acct] : Accounts_)
    if (shardIndex(Key) == Index && !Acct.Bucket_.share().isEmpty())
      Report.Holdings_.push_back({Key, Acct.Bucket_.share()});
  return Report;
}

void LimitLedger::sendReports() {
  for (const ShardState &Shard : Shards_)
    if (Shard.UnconfirmedReport_ && Members_.contains(Shard.Owner_))
      draftFor(Shard.Owner_).Reports_.push_back(*Shard.UnconfirmedReport_);
}

void LimitLedger::applyReport(const MemberId &Sender, const ShardReport &Report,
                              TimePoint Now) {
  if (Report.Shard_ >= Shards_.size())
    return;
  ShardState &Shard = Shards_[Report.Shard_];
  if (!isHome(Shard) || Shard.Generation_ != Report.Generation_)
    return;
  draftFor(Sender).ReportAcks_.push_back({Report.Shard_, Report.Generation_});
  if (Shard.AwaitedMembers_.erase(Sender) == 0)
    return;
  Shard.ActivationRevision_ =
      std::max(Shard.ActivationRevision_, Report.Revision_);
  for (const HeldShare &Holding : Report.Holdings_)
    Shard.Allocators_[Holding.Organisation_].noteHeld(Sender, Holding.Share_);
  tryActivate(Shard, Now);
}

void LimitLedger::noteMemberExpired(const MemberId &Id, TimePoint Now) {
  if (!Expired_.insert(Id).second)
    return;
  Links_.erase(Id);
  for (ShardState &Shard : Shards_) {
    if (!isHome(Shard))
      continue;
    Shard.AwaitedMembers_.erase(Id);
    for (auto &[Key, Allocator] : Shard.Allocators_) {
      Account *Acct = findAccount(Key);
      if (Acct != nullptr)
        ensureReserve(*Acct, Now);
      const Share Reclaimed = Allocator.reclaim(Id);
      const bool HasReserveHere =
          Acct != nullptr && Acct->HomeGeneration_ == Shard.Generation_;
      if (Reclaimed.isEmpty() || !HasReserveHere)
        continue;
      ++Counters_.Reclaimed_;
      Acct->Bucket_.refill(Now);
      Acct->Bucket_.merge({Reclaimed, 0});
    }
    tryActivate(Shard, Now);
  }
}

void LimitLedger::applyTransfer(const MemberId &Sender,
                                const ShareTransfer &Transfer, TimePoint Now) {
  if (Shards_.empty())
    return;
  const ShardState &Shard = shardOf(Transfer.Organisation_);
  // A part from a former generation was in no shard report, so the new owner
  // recreates its units.
  if (Shard.Generation_ != Transfer.Generation_)
    return;
  const auto [Entry, IsNew] = Accounts_.try_emplace(Transfer.Organisation_);
  Account &Acct = Entry->second;
  if (IsNew) {
    Acct.Key_ = Transfer.Organisation_;
    Acct.FirstRevision_ = 0;
  }
  ensureReserve(Acct, Now);
  if (isHome(Shard)) {
    ShareAllocator &Allocator = shardOf(Acct.Key_).Allocators_[Acct.Key_];
    if (!Allocator.noteReturned(Sender, Transfer.Part_.Share_))
      return;
  } else if (Shard.Owner_ != Sender) {
    return;
  }
  Acct.Bucket_.refill(Now);
  Acct.Bucket_.merge(Transfer.Part_);
  Acct.trimRefunds();
  ActiveAccounts_.insert(Acct.Key_);
  if (isHome(Shard))
    serveAsHome(Acct, Now);
  else
    servePending(Acct, Now);
}

void LimitLedger::receive(const MemberId &Sender, const LimitMessage &Message,
                          TimePoint Now) {
  if (Expired_.contains(Sender))
    return;
  for (const ShardReport &Report : Message.Reports_)
    applyReport(Sender, Report, Now);
  for (const ShardReportAck &Ack : Message.ReportAcks_)
    if (Ack.Shard_ < Shards_.size() &&
        Shards_[Ack.Shard_].Generation_ == Ack.Generation_)
      Shards_[Ack.Shard_].UnconfirmedReport_.reset();
  TransferChannel &Channel = Links_[Sender].Channel_;
  for (const ShareTransfer &Transfer : Channel.accept(Message, Now))
    applyTransfer(Sender, Transfer, Now);
  for (const ShareRecall &Recall : Message.Recalls_)
    applyRecall(Recall, Now);
  for (const ShareShortage &Shortage : Message.Shortages_)
    applyShortage(Shortage, Now);
  if (!Members_.contains(Sender))
    return;
  for (const ShareDemand &Demand : Message.Demands_) {
    Account *Acct = findAccount(Demand.Organisation_);
    if (Acct == nullptr || Shards_.empty() || !isHome(shardOf(Acct->Key_)))
      continue;
    if (Channel.hasUnacked() && Demand.Minimum_ > 0)
      Channel.resend();
    shardOf(Acct->Key_).Allocators_[Acct->Key_].noteDemand(Sender, Demand, Now);
    ActiveAccounts_.insert(Acct->Key_);
    serveAsHome(*Acct, Now);
  }
}

LimitMessage &LimitLedger::draftFor(const MemberId &Recipient) {
  PeerLink &Link = Links_[Recipient];
  Link.HasDraft_ = true;
  return Link.Draft_;
}

void LimitLedger::flush(TimePoint Now) {
  for (auto &[Recipient, Link] : Links_) {
    if (!Link.HasDraft_ && !Link.Channel_.isDue(Now))
      continue;
    Link.Channel_.compose(Link.Draft_, Now);
    Actions_.emplace_back(SendLimitMessage{Recipient, std::move(Link.Draft_)});
    Link.Draft_ = LimitMessage();
    Link.HasDraft_ = false;
  }
}

std::vector<LimitAction> LimitLedger::takeActions(TimePoint Now) {
  flush(Now);
  std::vector<LimitAction> Result;
  Result.swap(Actions_);
  return Result;
}

bool LimitLedger::hasUnackedTransfers() const {
  return std::any_of(Links_.begin(), Links_.end(), [](const auto &Link) {
    return Link.second.Channel_.hasUnacked();
  });
}

std::size_t LimitLedger::activeShards() const {
  return static_cast<std::size_t>(
      std::count_if(Shards_.begin(), Shards_.end(), [&](const auto &Shard) {
        return isHome(Shard) && Shard.IsActive_;
      }));
}

} // namespace gooseberry
