/// \file
/// How the limit ledger follows epochs and exchanges messages.
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
  const EpochMember *Own = Document.find(Self_);
  assert(Own != nullptr);
  Epoch_ = Document.Epoch_;
  JoinedAt_ = Own->Joined_;
  Members_.clear();
  for (const EpochMember &Each : Document.Members_)
    Members_.insert(Each.Id_);
  assert(Shards_.empty() || Shards_.size() == Document.Shards_.size());
  Shards_.resize(Document.Shards_.size());
  for (std::uint32_t I = 0; I < Shards_.size(); ++I)
    followOwner(I, Document.Shards_[I], Document, Now);
  for (const auto &[Key, Of] : Accounts_)
    if (!Of.Bucket_.share().isEmpty() && !isHome(shardOf(Key)))
      Active_.insert(Key);
  sendReports();
}

void LimitLedger::leaveHome(std::uint32_t Index, TimePoint Now) {
  if (!isHome(Shards_[Index]))
    return;
  // The reserve becomes an ordinary holding, so that its level is not lost.
  for (auto &[Key, Of] : Accounts_)
    if (shardIndex(Key) == Index)
      ensureMinted(Of, Now);
}

void LimitLedger::followOwner(std::uint32_t Index, const ShardOwner &Named,
                              const EpochDocument &Document, TimePoint Now) {
  ShardState &Shard = Shards_[Index];
  if (Shard.Generation_ == Named.Generation_)
    return;
  leaveHome(Index, Now);
  const bool MayHold = JoinedAt_ < Named.Generation_;
  Shard = ShardState();
  Shard.Owner_ = Named.Owner_;
  Shard.Generation_ = Named.Generation_;
  if (isHome(Shard)) {
    awaitReports(Shard, Document);
    tryMint(Shard, Now);
  } else if (MayHold) {
    Shard.Unconfirmed_ = makeReport(Index, Named.Generation_);
  }
}

void LimitLedger::awaitReports(ShardState &Shard,
                               const EpochDocument &Document) {
  for (const EpochMember &Each : Document.Members_)
    if (Each.Id_ != Self_ && Each.Joined_ < Shard.Generation_)
      Shard.Awaited_.insert(Each.Id_);
  for (const DepartedMember &Each : Document.Departed_)
    if (!Gone_.contains(Each.Id_))
      Shard.Awaited_.insert(Each.Id_);
}

ShardReport LimitLedger::makeReport(std::uint32_t Index,
                                    Epoch Generation) const {
  ShardReport Report{Index, Generation, Revision_, {}};
  for (const auto &[Key, Of] : Accounts_)
    if (shardIndex(Key) == Index && !Of.Bucket_.share().isEmpty())
      Report.Holdings_.push_back({Key, Of.Bucket_.share()});
  return Report;
}

void LimitLedger::sendReports() {
  for (const ShardState &Shard : Shards_)
    if (Shard.Unconfirmed_ && Members_.contains(Shard.Owner_))
      draftFor(Shard.Owner_).Reports_.push_back(*Shard.Unconfirmed_);
}

void LimitLedger::applyReport(const MemberId &From, const ShardReport &Report,
                              TimePoint Now) {
  if (Report.Shard_ >= Shards_.size())
    return;
  ShardState &Shard = Shards_[Report.Shard_];
  if (!isHome(Shard) || Shard.Generation_ != Report.Generation_)
    return;
  draftFor(From).ReportAcks_.push_back({Report.Shard_, Report.Generation_});
  if (Shard.Awaited_.erase(From) == 0)
    return;
  Shard.MintRevision_ = std::max(Shard.MintRevision_, Report.Revision_);
  for (const HeldShare &Held : Report.Holdings_)
    Shard.Books_[Held.Organisation_].noteHeld(From, Held.Share_);
  tryMint(Shard, Now);
}

void LimitLedger::noteGone(const MemberId &Id, TimePoint Now) {
  if (!Gone_.insert(Id).second)
    return;
  Links_.erase(Id);
  for (ShardState &Shard : Shards_) {
    if (!isHome(Shard))
      continue;
    Shard.Awaited_.erase(Id);
    for (auto &[Key, Book] : Shard.Books_) {
      Account *Of = findAccount(Key);
      if (Of != nullptr)
        ensureMinted(*Of, Now);
      const Share Lost = Book.reclaim(Id);
      const bool IsMintedHere =
          Of != nullptr && Of->HomeGeneration_ == Shard.Generation_;
      if (Lost.isEmpty() || !IsMintedHere)
        continue;
      ++Counters_.Reclaimed_;
      Of->Bucket_.refill(Now);
      Of->Bucket_.merge({Lost, 0});
    }
    tryMint(Shard, Now);
  }
}

void LimitLedger::applyTransfer(const MemberId &From,
                                const ShareTransfer &Transfer, TimePoint Now) {
  if (Shards_.empty())
    return;
  const ShardState &Shard = shardOf(Transfer.Organisation_);
  // A part of a former generation was not reported and is minted anew.
  if (Shard.Generation_ != Transfer.Generation_)
    return;
  const auto [Entry, IsNew] = Accounts_.try_emplace(Transfer.Organisation_);
  Account &Of = Entry->second;
  if (IsNew) {
    Of.Key_ = Transfer.Organisation_;
    Of.FirstRevision_ = 0;
  }
  ensureMinted(Of, Now);
  if (isHome(Shard)) {
    HomeBook &Book = shardOf(Of.Key_).Books_[Of.Key_];
    if (!Book.noteReturned(From, Transfer.Part_.Share_))
      return;
  } else if (Shard.Owner_ != From) {
    return;
  }
  Of.Bucket_.refill(Now);
  Of.Bucket_.merge(Transfer.Part_);
  Of.trimRefunds();
  Active_.insert(Of.Key_);
  if (isHome(Shard))
    serveHome(Of, Now);
  else
    serveOwn(Of, Now);
}

void LimitLedger::receive(const MemberId &From, const LimitMessage &Message,
                          TimePoint Now) {
  if (Gone_.contains(From))
    return;
  for (const ShardReport &Report : Message.Reports_)
    applyReport(From, Report, Now);
  for (const ShardReportAck &Ack : Message.ReportAcks_)
    if (Ack.Shard_ < Shards_.size() &&
        Shards_[Ack.Shard_].Generation_ == Ack.Generation_)
      Shards_[Ack.Shard_].Unconfirmed_.reset();
  TransferChannel &Channel = Links_[From].Channel_;
  for (const ShareTransfer &Transfer : Channel.accept(Message, Now))
    applyTransfer(From, Transfer, Now);
  for (const ShareRecall &Recall : Message.Recalls_)
    applyRecall(Recall, Now);
  for (const ShareShortage &Shortage : Message.Shortages_)
    applyShortage(Shortage, Now);
  if (!Members_.contains(From))
    return;
  for (const ShareDemand &Demand : Message.Demands_) {
    Account *Of = findAccount(Demand.Organisation_);
    if (Of == nullptr || Shards_.empty() || !isHome(shardOf(Of->Key_)))
      continue;
    if (Channel.hasUnacked() && Demand.Least_ > 0)
      Channel.resend();
    shardOf(Of->Key_).Books_[Of->Key_].noteDemand(From, Demand, Now);
    Active_.insert(Of->Key_);
    serveHome(*Of, Now);
  }
}

LimitMessage &LimitLedger::draftFor(const MemberId &To) {
  PeerLink &Link = Links_[To];
  Link.HasDraft_ = true;
  return Link.Draft_;
}

void LimitLedger::flush(TimePoint Now) {
  for (auto &[To, Link] : Links_) {
    if (!Link.HasDraft_ && !Link.Channel_.isDue(Now))
      continue;
    Link.Channel_.compose(Link.Draft_, Now);
    Actions_.emplace_back(SendLimitMessage{To, std::move(Link.Draft_)});
    Link.Draft_ = LimitMessage();
    Link.HasDraft_ = false;
  }
}

std::vector<LimitAction> LimitLedger::takeActions(TimePoint Now) {
  flush(Now);
  std::vector<LimitAction> Taken;
  Taken.swap(Actions_);
  return Taken;
}

bool LimitLedger::hasUnackedTransfers() const {
  return std::any_of(Links_.begin(), Links_.end(), [](const auto &Each) {
    return Each.second.Channel_.hasUnacked();
  });
}

std::size_t LimitLedger::mintedShards() const {
  return static_cast<std::size_t>(
      std::count_if(Shards_.begin(), Shards_.end(), [&](const auto &Shard) {
        return isHome(Shard) && Shard.IsMinted_;
      }));
}

} // namespace gooseberry
