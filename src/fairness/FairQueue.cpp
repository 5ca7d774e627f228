#include "gooseberrybeam/fairness/FairQueue.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Number of ranks above which the shares of ranks without requests are
/// dropped. Each change of the configuration may name new ranks.
constexpr std::size_t MaxKnownRanks = 64;

} // namespace

RankQueue &FairQueue::queueOf(std::uint32_t Rank) {
  if (Queues_.size() >= MaxKnownRanks && !Queues_.contains(Rank))
    std::erase_if(Queues_,
                  [](const auto &Each) { return Each.second.size() == 0; });
  return Queues_.try_emplace(Rank, Sharing_).first->second;
}

std::vector<std::uint32_t> FairQueue::waitingRanks() const {
  std::vector<std::uint32_t> Waiting;
  for (const auto &[Rank, Queue] : Queues_)
    if (Queue.size() > 0)
      Waiting.push_back(Rank);
  return Waiting;
}

std::vector<std::uint32_t> FairQueue::rankOrder() const {
  std::vector<std::uint32_t> Order = waitingRanks();
  if (Order.size() > 1) {
    const auto Turn =
        std::find(Order.begin(), Order.end(), Schedule_.next(Order));
    std::rotate(Order.begin(), Turn, Turn + 1);
  }
  return Order;
}

void FairQueue::push(const QueueItem &Item) {
  queueOf(Item.Rank_).push(Item);
  Ranks_.emplace(Item.Request_, Item.Rank_);
}

std::optional<RequestId> FairQueue::peek(TimePoint Now) {
  const std::vector<std::uint32_t> Order = rankOrder();
  return Order.empty() ? std::nullopt : peek(Order.front(), Now);
}

std::optional<RequestId> FairQueue::peek(std::uint32_t Rank, TimePoint Now) {
  const auto Found = Queues_.find(Rank);
  return Found == Queues_.end() ? std::nullopt : Found->second.peek(Now);
}

void FairQueue::erase(const RequestId &Request) {
  const auto Found = Ranks_.find(Request);
  if (Found == Ranks_.end())
    return;
  Queues_.at(Found->second).erase(Request);
  Ranks_.erase(Found);
}

void FairQueue::eraseGranted(const RequestId &Request) {
  const auto Found = Ranks_.find(Request);
  if (Found == Ranks_.end())
    return;
  Schedule_.onGranted(Found->second, waitingRanks());
  erase(Request);
}

void FairQueue::charge(const OrganisationId &Organisation, double Weight,
                       double Tokens, std::uint32_t Rank) {
  queueOf(Rank).charge(Organisation, Weight, Tokens);
}

std::vector<RequestId> FairQueue::takeExpired(TimePoint Now) {
  std::vector<RequestId> Expired;
  for (auto &[Rank, Queue] : Queues_)
    for (RequestId &Request : Queue.takeExpired(Now)) {
      Ranks_.erase(Request);
      Expired.push_back(std::move(Request));
    }
  return Expired;
}

std::vector<const QueueItem *> FairQueue::expectedOrder() const {
  std::vector<const QueueItem *> Order;
  Order.reserve(size());
  for (const auto &[Rank, Queue] : Queues_)
    Queue.appendExpectedOrder(Order);
  return Order;
}

} // namespace gooseberry
