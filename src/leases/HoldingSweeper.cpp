#include "gooseberrybeam/leases/HoldingSweeper.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

HoldingSweeper::HoldingSweeper(HoldingSweeperOptions Options,
                               const HoldingView &View)
    : Options_(Options), View_(View) {}

std::vector<SweepAction>
HoldingSweeper::tick(std::span<const BackendId> Engines, TimePoint Now) {
  std::vector<SweepAction> Actions;
  for (const BackendId &Engine : Engines) {
    if (!View_.isSweeper(Engine)) {
      Tracked_.erase(Engine);
      NextListAt_.erase(Engine);
      continue;
    }
    TimePoint &NextListAt = NextListAt_[Engine];
    if (Now < NextListAt)
      continue;
    NextListAt = Now + Options_.ListInterval_;
    Actions.emplace_back(ListHoldings{Engine});
  }
  return Actions;
}

std::vector<SweepAction>
HoldingSweeper::onHoldings(const BackendId &Engine,
                           std::span<const KvHolding> Holdings, TimePoint Now) {
  std::vector<SweepAction> Actions;
  QueriesByHolder Queries;
  TrackedByKv &Previous = Tracked_[Engine];
  TrackedByKv Current;
  for (const KvHolding &Holding : Holdings) {
    if (isAbandoned(Holding)) {
      Actions.emplace_back(FreeHolding{Engine, Holding});
      continue;
    }
    const auto Found = Previous.find(Holding.Kv_);
    TrackedHolding Tracked =
        Found != Previous.end()
            ? std::move(Found->second)
            : TrackedHolding{Holding, Now + Options_.QueryAge_};
    addQueryIfDue(Tracked, Queries, Now);
    Current.emplace(Holding.Kv_, std::move(Tracked));
  }
  Previous = std::move(Current);
  for (auto &[Recipient, Requests] : Queries)
    Actions.emplace_back(QueryHolder{Recipient, std::move(Requests)});
  return Actions;
}

std::vector<SweepAction>
HoldingSweeper::onHolderAnswer(const Holder &Sender,
                               std::span<const RequestId> GoneRequests,
                               TimePoint Now) {
  std::vector<SweepAction> Actions;
  for (auto &[Engine, Entries] : Tracked_) {
    for (auto &[Kv, Tracked] : Entries) {
      const KvHolding &Holding = Tracked.Holding_;
      if (Holding.Holder_ != Sender || !Tracked.IsQueryPending_)
        continue;
      Tracked.IsQueryPending_ = false;
      Tracked.NextQueryAt_ = Now + Options_.RequeryInterval_;
      const bool IsGone = std::find(GoneRequests.begin(), GoneRequests.end(),
                                    Holding.Request_) != GoneRequests.end();
      if (IsGone)
        Actions.emplace_back(FreeHolding{Engine, Holding});
    }
  }
  return Actions;
}

std::vector<RequestId>
HoldingSweeper::findInactive(std::span<const RequestId> Requests) const {
  std::vector<RequestId> Inactive;
  for (const RequestId &Request : Requests)
    if (!View_.isActive(Request))
      Inactive.push_back(Request);
  return Inactive;
}

bool HoldingSweeper::isAbandoned(const KvHolding &Holding) const {
  const HolderStatus Status = View_.statusOf(Holding.Holder_);
  if (Status == HolderStatus::Gone)
    return true;
  return Status == HolderStatus::Self && !View_.isActive(Holding.Request_);
}

void HoldingSweeper::addQueryIfDue(TrackedHolding &Tracked,
                                   QueriesByHolder &Queries,
                                   TimePoint Now) const {
  if (Now < Tracked.NextQueryAt_)
    return;
  if (View_.statusOf(Tracked.Holding_.Holder_) != HolderStatus::Member)
    return;
  Tracked.IsQueryPending_ = true;
  Queries[Tracked.Holding_.Holder_].push_back(Tracked.Holding_.Request_);
}

} // namespace gooseberry
