#include "gooseberrybeam/fairness/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace gooseberry {

namespace {

/// How far an organisation may run ahead of the least served one before it
/// yields, in seconds of its rate.
constexpr double WeightedLead = 1;
/// The same in tokens, between organisations that share equally.
constexpr double EqualLead = 20000;
/// Work that may wait stops yielding when it must start this soon.
constexpr Duration YieldUntil = std::chrono::milliseconds(500);
/// Late work goes first again when it must start this soon or be refused...
constexpr Duration RescueWindow = std::chrono::seconds(1);
/// ... unless more than so many are late: then the model is over capacity, and
/// late work first would make all work late.
constexpr std::size_t FewLate = 8;
/// Idle organisations remembered before those behind the floor are dropped.
constexpr std::size_t MaxIdle = 4096;

} // namespace

void FairQueue::push(const QueueItem &Item) {
  assert(!Index_.contains(Item.Request_));
  auto [At, IsNew] = Active_.try_emplace(Item.Organisation_);
  Account &Of = At->second;
  if (IsNew) {
    auto Known = Idle_.find(Item.Organisation_);
    Of.Served_ = std::max(Floor_, Known == Idle_.end() ? 0 : Known->second);
    if (Known != Idle_.end())
      Idle_.erase(Known);
  }
  insert(Of, Item.MayWait_ ? Tier::Waiting : Tier::Urgent, Item);
}

void FairQueue::insert(Account &Into, Tier Which, const QueueItem &Item) {
  const TimePoint Order =
      Which == Tier::Late ? Item.GiveUp_ : Item.LatestStart_;
  const Key At{Order, ++Sequence_};
  lineOf(Into, Which).emplace(At, Item);
  Late_ += Which == Tier::Late ? 1 : 0;
  Index_.insert_or_assign(Item.Request_,
                          Position{Item.Organisation_, Which, At});
  ++Into.Waiting_;
}

void FairQueue::demoteLate(Account &Of, TimePoint Now) {
  demoteLate(Of, Tier::Urgent, Now);
  demoteLate(Of, Tier::Waiting, Now);
}

void FairQueue::demoteLate(Account &Of, Tier From, TimePoint Now) {
  Line &Lines = lineOf(Of, From);
  while (!Lines.empty() && Lines.begin()->second.LatestStart_ < Now) {
    const QueueItem Item = Lines.begin()->second;
    Lines.erase(Lines.begin());
    --Of.Waiting_;
    insert(Of, Tier::Late, Item);
  }
}

double FairQueue::leastServed() const {
  double Least = std::numeric_limits<double>::infinity();
  for (const auto &[Organisation, Of] : Active_)
    Least = std::min(Least, Of.Served_);
  return Least;
}

bool FairQueue::isBefore(Tier A, const QueueItem &ItemA, Tier B,
                         const QueueItem &ItemB, TimePoint Now) const {
  auto RankOf = [&](Tier Which, const QueueItem &Item) {
    if (Which == Tier::Late && !Item.MayReturn_ && Late_ <= FewLate &&
        Item.GiveUp_ - Now < RescueWindow)
      return Tier::Urgent;
    const bool IsShort = Item.LatestStart_ - Now < YieldUntil;
    return Which == Tier::Waiting && IsShort ? Tier::Urgent : Which;
  };
  const Tier RankA = RankOf(A, ItemA);
  const Tier RankB = RankOf(B, ItemB);
  if (RankA != RankB)
    return RankA < RankB;
  return ItemA.LatestStart_ < ItemB.LatestStart_;
}

std::optional<RequestId> FairQueue::peek(TimePoint Now) {
  if (Index_.empty())
    return std::nullopt;
  Floor_ = std::max(Floor_, leastServed());
  const double Lead = Sharing_ == Fairness::Weighted ? WeightedLead : EqualLead;
  const QueueItem *Best = nullptr;
  Tier BestTier = Tier::Late;
  for (auto &[Organisation, Of] : Active_) {
    if (Sharing_ != Fairness::None && Of.Served_ > Floor_ + Lead)
      continue;
    demoteLate(Of, Now);
    for (std::size_t I = 0; I < TierCount; ++I) {
      const Line &Lines = Of.Lines_[I];
      if (Lines.empty())
        continue;
      const QueueItem &Head = Lines.begin()->second;
      const auto Which = static_cast<Tier>(I);
      if (Best == nullptr || isBefore(Which, Head, BestTier, *Best, Now)) {
        Best = &Head;
        BestTier = Which;
      }
    }
  }
  assert(Best != nullptr);
  return Best->Request_;
}

void FairQueue::erase(const RequestId &Request) {
  auto Found = Index_.find(Request);
  if (Found == Index_.end())
    return;
  const Position At = Found->second;
  Index_.erase(Found);
  erase(At);
}

void FairQueue::erase(const Position &At) {
  auto Of = Active_.find(At.Organisation_);
  assert(Of != Active_.end());
  lineOf(Of->second, At.Tier_).erase(At.Key_);
  Late_ -= At.Tier_ == Tier::Late ? 1 : 0;
  if (--Of->second.Waiting_ > 0)
    return;
  if (Idle_.size() >= MaxIdle)
    std::erase_if(Idle_, [&](const auto &E) { return E.second <= Floor_; });
  Idle_[At.Organisation_] = Of->second.Served_;
  Active_.erase(Of);
}

void FairQueue::charge(const OrganisationId &Organisation, double Weight,
                       double Tokens) {
  const double Amount =
      Sharing_ == Fairness::Weighted ? Tokens / std::max(Weight, 1.0) : Tokens;
  auto Of = Active_.find(Organisation);
  if (Of != Active_.end())
    Of->second.Served_ += Amount;
  else
    Idle_[Organisation] += Amount;
}

std::vector<RequestId> FairQueue::takeExpired(TimePoint Now) {
  std::vector<RequestId> Expired;
  for (auto &[Organisation, Of] : Active_) {
    demoteLate(Of, Now);
    expireFrom(Of, Now, Expired);
  }
  for (const RequestId &Request : Expired)
    erase(Request);
  return Expired;
}

void FairQueue::expireFrom(Account &Of, TimePoint Now,
                           std::vector<RequestId> &Into) {
  for (const auto &[At, Item] : lineOf(Of, Tier::Late)) {
    if (At.first >= Now)
      return;
    Into.push_back(Item.Request_);
  }
}

} // namespace gooseberry
