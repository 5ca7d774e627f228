#include "gooseberrybeam/leases/HoldingSweeper.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

HoldingSweeper::HoldingSweeper(HoldingSweeperLimits Limits,
                               const HoldingView &View)
    : Limits_(Limits), View_(View) {}

std::vector<SweepAction>
HoldingSweeper::tick(std::span<const BackendId> Engines, TimePoint Now) {
  std::vector<SweepAction> Actions;
  for (const BackendId &Engine : Engines) {
    if (!View_.isSweeper(Engine)) {
      Seen_.erase(Engine);
      NextList_.erase(Engine);
      continue;
    }
    TimePoint &Next = NextList_[Engine];
    if (Now < Next)
      continue;
    Next = Now + Limits_.ListInterval_;
    Actions.emplace_back(ListHoldings{Engine});
  }
  return Actions;
}

std::vector<SweepAction>
HoldingSweeper::onHoldings(const BackendId &Engine,
                           std::span<const KvHolding> Holdings, TimePoint Now) {
  std::vector<SweepAction> Actions;
  Questions ToAsk;
  SeenByKv &Before = Seen_[Engine];
  SeenByKv After;
  for (const KvHolding &Holding : Holdings) {
    if (isAbandoned(Holding)) {
      Actions.emplace_back(FreeHolding{Engine, Holding});
      continue;
    }
    const auto Known = Before.find(Holding.Kv_);
    Seen Entry = Known != Before.end() ? std::move(Known->second)
                                       : Seen{Holding, Now + Limits_.AskAfter_};
    noteQuestion(Entry, ToAsk, Now);
    After.emplace(Holding.Kv_, std::move(Entry));
  }
  Before = std::move(After);
  for (auto &[To, Requests] : ToAsk)
    Actions.emplace_back(AskHolder{To, std::move(Requests)});
  return Actions;
}

std::vector<SweepAction>
HoldingSweeper::onHolderAnswer(const Holder &From,
                               std::span<const RequestId> Gone, TimePoint Now) {
  std::vector<SweepAction> Actions;
  for (auto &[Engine, Entries] : Seen_) {
    for (auto &[Kv, Entry] : Entries) {
      const KvHolding &Holding = Entry.Holding_;
      if (Holding.Holder_ != From || !Entry.Asked_)
        continue;
      Entry.Asked_ = false;
      Entry.AskAt_ = Now + Limits_.AskAgain_;
      const bool IsGone =
          std::find(Gone.begin(), Gone.end(), Holding.Request_) != Gone.end();
      if (IsGone)
        Actions.emplace_back(FreeHolding{Engine, Holding});
    }
  }
  return Actions;
}

std::vector<RequestId>
HoldingSweeper::goneOf(std::span<const RequestId> Asked) const {
  std::vector<RequestId> Gone;
  for (const RequestId &Request : Asked)
    if (!View_.isActive(Request))
      Gone.push_back(Request);
  return Gone;
}

bool HoldingSweeper::isAbandoned(const KvHolding &Holding) const {
  const HolderStatus Status = View_.statusOf(Holding.Holder_);
  if (Status == HolderStatus::KnownGone)
    return true;
  return Status == HolderStatus::Self && !View_.isActive(Holding.Request_);
}

void HoldingSweeper::noteQuestion(Seen &Entry, Questions &Into,
                                  TimePoint Now) const {
  if (Now < Entry.AskAt_)
    return;
  if (View_.statusOf(Entry.Holding_.Holder_) != HolderStatus::Member)
    return;
  Entry.Asked_ = true;
  Into[Entry.Holding_.Holder_].push_back(Entry.Holding_.Request_);
}

} // namespace gooseberry
