/// \file
/// The limit ledger's part as the home of organisations.
#include "gooseberrybeam/limits/LimitLedger.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Borrowers have so long to answer a recall before a want is called short.
constexpr Duration RecallWait = std::chrono::milliseconds(100);
constexpr Duration ShortageInterval = std::chrono::milliseconds(300);

} // namespace

void LimitLedger::ensureMinted(Account &Of, TimePoint Now) {
  if (Shards_.empty())
    return;
  ShardState &Shard = shardOf(Of.Key_);
  if (!isHome(Shard) || !Shard.IsMinted_ ||
      Of.HomeGeneration_ == Shard.Generation_)
    return;
  Of.HomeGeneration_ = Shard.Generation_;
  Share Reserve = WholeShare;
  const auto Book = Shard.Books_.find(Of.Key_);
  if (Book != Shard.Books_.end())
    Reserve -= Book->second.lent();
  Of.Bucket_.refill(Now);
  Reserve -= Of.Bucket_.share();
  // Nobody can have used an organisation that is newer than the takeover.
  const bool IsUnused =
      Shard.Generation_ == 1 || Of.FirstRevision_ > Shard.MintRevision_;
  const Limit Total = Of.Bucket_.total();
  SubBucket Minted(Total, {Reserve, IsUnused ? Total.Burst_ : 0},
                   Shard.MintedAt_);
  Minted.refill(Now);
  Of.Bucket_.merge({Minted.share(), Minted.level()});
}

void LimitLedger::tryMint(ShardState &Shard, TimePoint Now) {
  if (Shard.IsMinted_ || !isHome(Shard))
    return;
  // Without a configuration, organisations could not be told old from new.
  if (Shard.Generation_ != 1 && Revision_ == 0)
    return;
  const bool HasAll = std::all_of(
      Shard.Awaited_.begin(), Shard.Awaited_.end(), [&](const MemberId &Id) {
        return Fault_ == LimitFault::MintsBeforeGone && !Members_.contains(Id);
      });
  if (!HasAll)
    return;
  Shard.IsMinted_ = true;
  Shard.MintedAt_ = Now;
  Shard.MintRevision_ = std::max(Shard.MintRevision_, Revision_);
  ++Counters_.ShardsTaken_;
  for (const auto &[Key, Book] : Shard.Books_)
    Active_.insert(Key);
}

void LimitLedger::serveHome(Account &Of, TimePoint Now) {
  if (Shards_.empty()) {
    serveOwn(Of, Now);
    return;
  }
  ensureMinted(Of, Now);
  ShardState &Shard = shardOf(Of.Key_);
  const auto Entry = Shard.Books_.find(Of.Key_);
  if (Entry == Shard.Books_.end()) {
    serveOwn(Of, Now);
    return;
  }
  HomeBook &Book = Entry->second;
  Book.expireWants(Now);
  Of.Bucket_.refill(Now);
  while (serveNextBorrower(Of, Book, Now)) {
  }
  const MilliTokens OwnMissing = Of.missingForFirst();
  serveOwn(Of, Now);
  const bool IsOwnShort = OwnMissing > 0 && !Of.Pending_.empty();
  const std::optional<MemberId> Next = Book.nextWaiting();
  const MilliTokens Least = Next ? Book.wantOf(*Next).Least_ : 0;
  if (IsOwnShort || Next)
    askBack(Of, Book, std::max(Least, OwnMissing), Now);
  tellShortage(Of, Book, Now);
  if (Book.isIdle())
    Shard.Books_.erase(Entry);
}

bool LimitLedger::isBorrowerBefore(const Account &Of, TimePoint Since) {
  if (Shards_.empty() || !isHome(shardOf(Of.Key_)))
    return false;
  const auto &Books = shardOf(Of.Key_).Books_;
  const auto Book = Books.find(Of.Key_);
  if (Book == Books.end())
    return false;
  const std::optional<MemberId> Next = Book->second.nextWaiting();
  return Next && Book->second.wantOf(*Next).Since_ < Since;
}

bool LimitLedger::serveNextBorrower(Account &Of, HomeBook &Book,
                                    TimePoint Now) {
  const std::optional<MemberId> Next = Book.nextWaiting();
  if (!Next)
    return false;
  const std::optional<SharePart> Part =
      Book.lend(*Next, Of.Bucket_, Of.Demand_.ratePerSecond(Now), Now);
  if (!Part)
    return false;
  if (Part->Share_.isEmpty())
    return true;
  Of.trimRefunds();
  if (Fault_ == LimitFault::GiverKeepsPart)
    Of.Bucket_.giveBack(Part->Level_);
  ++Counters_.Grants_;
  Links_[*Next].Channel_.push({Of.Key_, shardOf(Of.Key_).Generation_, *Part});
  return true;
}

void LimitLedger::askBack(Account &Of, HomeBook &Book, MilliTokens Least,
                          TimePoint Now) {
  const bool IsBurstShort = Of.Bucket_.burst() < Least;
  if (IsBurstShort)
    Of.trimRefunds();
  const auto Recalls =
      Book.recall(Of.Key_, IsBurstShort, Of.Demand_.ratePerSecond(Now), Now);
  for (const AddressedRecall &Each : Recalls) {
    ++Counters_.Recalls_;
    draftFor(Each.To_).Recalls_.push_back(Each.Recall_);
  }
}

void LimitLedger::tellShortage(const Account &Of, HomeBook &Book,
                               TimePoint Now) {
  const MilliTokens Rate = Of.Bucket_.total().RatePerSecond_;
  MilliTokens Ahead = 0;
  for (const auto &[Id, Want] : Book.wants()) {
    Ahead += Want.Least_;
    const bool IsKnown = Now - Want.ToldAt_ < ShortageInterval;
    if (Now - Want.Since_ < RecallWait || IsKnown || Rate == 0)
      continue;
    const MilliTokens Missing =
        std::max<MilliTokens>(0, Ahead - Of.Bucket_.level());
    const double Seconds =
        static_cast<double>(Missing) / static_cast<double>(Rate);
    const auto Wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
    Book.noteTold(Id, Now);
    draftFor(Id).Shortages_.push_back({Of.Key_, Wait});
  }
}

} // namespace gooseberry
