#include "gooseberrybeam/relay/QueueForecast.h"

#include "gooseberrybeam/fairness/RankSchedule.h"
#include "relay/Durations.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// A forecast wait misses the deadline clearly if it is longer than the time
/// left by this factor, because the time between grants varies.
constexpr double ClearMissFactor = 1.5;
/// Fewer grants than this vary too much for a forecast.
constexpr std::size_t MinGrantsAhead = 8;

std::size_t countRanks(std::span<const QueueItem *const> Waiting) {
  std::size_t Count = 1;
  for (std::size_t I = 1; I < Waiting.size(); ++I)
    Count += Waiting[I]->Rank_ != Waiting[I - 1]->Rank_ ? 1 : 0;
  return Count;
}

} // namespace

bool QueueForecast::canBegin(const QueueItem &Item,
                             std::size_t GrantsAhead) const {
  if (GrantsAhead < MinGrantsAhead)
    return true;
  const double WaitMs =
      static_cast<double>(GrantsAhead) * Pace_.recentIntervalMs();
  return WaitMs <= ClearMissFactor * asMilliseconds(Item.ExpiresAt_ - Now_);
}

std::vector<RequestId>
QueueForecast::unreachable(std::span<const QueueItem *const> Waiting) const {
  std::vector<RequestId> Missed;
  if (Waiting.empty() || !Pace_.isReliable(Now_))
    return Missed;
  const std::size_t LessUrgentRanks = countRanks(Waiting) - 1;
  std::size_t Ahead = 0;
  std::size_t AheadInRank = 0;
  const QueueItem *Previous = nullptr;
  for (const QueueItem *Item : Waiting) {
    const bool IsUrgent = Item->Rank_ == Waiting.front()->Rank_;
    if (Previous && Item->Rank_ != Previous->Rank_)
      AheadInRank = 0;
    Previous = Item;
    const std::size_t GrantsByTurns =
        (AheadInRank + 1) * RankSchedule::GrantsPerTurn * LessUrgentRanks;
    if (!canBegin(*Item, IsUrgent ? Ahead : std::min(Ahead, GrantsByTurns))) {
      Missed.push_back(Item->Request_);
      continue;
    }
    ++Ahead;
    ++AheadInRank;
  }
  return Missed;
}

} // namespace gooseberry
