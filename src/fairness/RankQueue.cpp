#include "gooseberrybeam/fairness/RankQueue.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <tuple>

namespace gooseberry {

namespace {

/// How far an organisation may be ahead of the least served one before it
/// yields, in seconds of its rate.
constexpr double MaxWeightedLead = 1;
/// The same limit in tokens, for organisations that share equally.
constexpr double MaxEqualLead = 20000;
/// Work that may wait stops yielding when its latest start is this close.
constexpr Duration YieldThreshold = std::chrono::milliseconds(500);
/// Late work is served with the urgent work when it expires this soon ...
constexpr Duration RescueWindow = std::chrono::seconds(1);
/// ... unless more requests than this are late. Then the model is over
/// capacity, and serving late work first would make all work late.
constexpr std::size_t MaxRescuableLate = 8;
/// Number of idle organisations above which those that are not ahead of the
/// least served one are dropped.
constexpr std::size_t MaxIdleOrganisations = 4096;

} // namespace

void RankQueue::push(const QueueItem &Item) {
  assert(!Index_.contains(Item.Request_));
  auto [Entry, IsNew] = Active_.try_emplace(Item.Organisation_);
  OrganisationQueue &Queue = Entry->second;
  if (IsNew) {
    auto IdleEntry = IdleServed_.find(Item.Organisation_);
    Queue.Served_ = std::max(
        MinServed_, IdleEntry == IdleServed_.end() ? 0 : IdleEntry->second);
    if (IdleEntry != IdleServed_.end())
      IdleServed_.erase(IdleEntry);
  }
  insert(Queue, Item.MayWait_ ? Tier::Deferrable : Tier::Regular, Item);
}

void RankQueue::insert(OrganisationQueue &Queue, Tier ItemTier,
                       const QueueItem &Item) {
  const TimePoint Order =
      ItemTier == Tier::Late ? Item.ExpiresAt_ : Item.LatestStart_;
  const Key OrderKey{Order, ++Sequence_};
  subqueueOf(Queue, ItemTier).emplace(OrderKey, Item);
  LateCount_ += ItemTier == Tier::Late ? 1 : 0;
  Index_.insert_or_assign(Item.Request_,
                          Position{Item.Organisation_, ItemTier, OrderKey});
  ++Queue.Size_;
}

void RankQueue::demoteLate(OrganisationQueue &Queue, TimePoint Now) {
  demoteLate(Queue, Tier::Regular, Now);
  demoteLate(Queue, Tier::Deferrable, Now);
}

void RankQueue::demoteLate(OrganisationQueue &Queue, Tier SourceTier,
                           TimePoint Now) {
  Subqueue &Items = subqueueOf(Queue, SourceTier);
  while (!Items.empty() && Items.begin()->second.LatestStart_ < Now) {
    const QueueItem Item = Items.begin()->second;
    Items.erase(Items.begin());
    --Queue.Size_;
    insert(Queue, Tier::Late, Item);
  }
}

double RankQueue::leastServed() const {
  double MinServed = std::numeric_limits<double>::infinity();
  for (const auto &[Organisation, Queue] : Active_)
    MinServed = std::min(MinServed, Queue.Served_);
  return MinServed;
}

bool RankQueue::isBefore(Tier A, const QueueItem &ItemA, Tier B,
                         const QueueItem &ItemB, TimePoint Now) const {
  auto EffectiveTier = [&](Tier ItemTier, const QueueItem &Item) {
    if (ItemTier == Tier::Late && !Item.CallerMayRetry_ &&
        LateCount_ <= MaxRescuableLate && Item.ExpiresAt_ - Now < RescueWindow)
      return Tier::Regular;
    const bool HasLittleSlack = Item.LatestStart_ - Now < YieldThreshold;
    return ItemTier == Tier::Deferrable && HasLittleSlack ? Tier::Regular
                                                          : ItemTier;
  };
  const Tier TierA = EffectiveTier(A, ItemA);
  const Tier TierB = EffectiveTier(B, ItemB);
  if (TierA != TierB)
    return TierA < TierB;
  return ItemA.LatestStart_ < ItemB.LatestStart_;
}

std::optional<RequestId> RankQueue::peek(TimePoint Now) {
  if (Index_.empty())
    return std::nullopt;
  MinServed_ = std::max(MinServed_, leastServed());
  const double MaxLead =
      Sharing_ == Fairness::Weighted ? MaxWeightedLead : MaxEqualLead;
  const QueueItem *Best = nullptr;
  Tier BestTier = Tier::Late;
  for (auto &[Organisation, Queue] : Active_) {
    if (Sharing_ != Fairness::None && Queue.Served_ > MinServed_ + MaxLead)
      continue;
    demoteLate(Queue, Now);
    for (std::size_t I = 0; I < TierCount; ++I) {
      const Subqueue &Items = Queue.Subqueues_[I];
      if (Items.empty())
        continue;
      const QueueItem &Head = Items.begin()->second;
      const auto ItemTier = static_cast<Tier>(I);
      if (Best == nullptr || isBefore(ItemTier, Head, BestTier, *Best, Now)) {
        Best = &Head;
        BestTier = ItemTier;
      }
    }
  }
  assert(Best != nullptr);
  return Best->Request_;
}

void RankQueue::erase(const RequestId &Request) {
  auto Found = Index_.find(Request);
  if (Found == Index_.end())
    return;
  const Position Removed = Found->second;
  Index_.erase(Found);
  erase(Removed);
}

void RankQueue::erase(const Position &Removed) {
  auto Found = Active_.find(Removed.Organisation_);
  assert(Found != Active_.end());
  subqueueOf(Found->second, Removed.Tier_).erase(Removed.Key_);
  LateCount_ -= Removed.Tier_ == Tier::Late ? 1 : 0;
  if (--Found->second.Size_ > 0)
    return;
  if (IdleServed_.size() >= MaxIdleOrganisations)
    std::erase_if(IdleServed_, [&](const auto &Entry) {
      return Entry.second <= MinServed_;
    });
  IdleServed_[Removed.Organisation_] = Found->second.Served_;
  Active_.erase(Found);
}

void RankQueue::charge(const OrganisationId &Organisation, double Weight,
                       double Tokens) {
  const double Amount =
      Sharing_ == Fairness::Weighted ? Tokens / std::max(Weight, 1.0) : Tokens;
  auto Found = Active_.find(Organisation);
  if (Found != Active_.end())
    Found->second.Served_ += Amount;
  else
    IdleServed_[Organisation] += Amount;
}

std::vector<RequestId> RankQueue::takeExpired(TimePoint Now) {
  std::vector<RequestId> Expired;
  for (auto &[Organisation, Queue] : Active_) {
    demoteLate(Queue, Now);
    collectExpired(Queue, Now, Expired);
  }
  for (const RequestId &Request : Expired)
    erase(Request);
  return Expired;
}

void RankQueue::collectExpired(OrganisationQueue &Queue, TimePoint Now,
                               std::vector<RequestId> &Expired) {
  for (const auto &[OrderKey, Item] : subqueueOf(Queue, Tier::Late)) {
    if (OrderKey.first >= Now)
      return;
    Expired.push_back(Item.Request_);
  }
}

void RankQueue::appendExpectedOrder(
    std::vector<const QueueItem *> &Order) const {
  struct Expected {
    bool IsLate_;
    double Share_; ///< Requests of its organisation up to it, by weight.
    const QueueItem *Item_;
  };
  std::vector<Expected> Items;
  Items.reserve(size());
  for (const auto &[Organisation, Queue] : Active_) {
    double Position = 0;
    for (std::size_t I = 0; I < TierCount; ++I)
      for (const auto &[OrderKey, Item] : Queue.Subqueues_[I]) {
        const double Weight =
            Sharing_ == Fairness::Weighted ? std::max(Item.Weight_, 1.0) : 1;
        Items.push_back(
            {static_cast<Tier>(I) == Tier::Late, ++Position / Weight, &Item});
      }
  }
  std::stable_sort(
      Items.begin(), Items.end(), [](const Expected &A, const Expected &B) {
        return std::tuple(A.IsLate_, A.Share_, A.Item_->LatestStart_) <
               std::tuple(B.IsLate_, B.Share_, B.Item_->LatestStart_);
      });
  for (const Expected &Each : Items)
    Order.push_back(Each.Item_);
}

} // namespace gooseberry
