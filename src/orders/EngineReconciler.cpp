#include "gooseberrybeam/orders/EngineReconciler.h"

namespace gooseberry {

EngineReconciler::EngineReconciler(OrderOptions Options, std::string Holder)
    : Options_(Options), Holder_(std::move(Holder)) {}

EngineReconciler::Actions EngineReconciler::order(const OrderTarget &Engine,
                                                  const EngineState &Goal,
                                                  bool LoadsWeights) {
  const auto [Position, IsNew] = ActiveOrders_.insert_or_assign(
      Engine.Engine_,
      OrderExecution(Options_, Engine, Holder_, Goal, LoadsWeights));
  return processAction(Engine.Engine_, Position->second.start());
}

EngineReconciler::Actions
EngineReconciler::onRows(const BackendId &Engine,
                         const std::optional<TableRow> &Order,
                         const std::optional<TableRow> &Loads, TimePoint Now) {
  if (Order) {
    const auto Parsed = parseEngineOrder(Order->Value_);
    const auto KnownRow = KnownRows_.find(Engine);
    const FencingToken Newest =
        KnownRow == KnownRows_.end() ? 0 : KnownRow->second.Fence_;
    if (isOk(Parsed) && valueOf(Parsed).Fence_ >= Newest)
      KnownRows_.insert_or_assign(Engine, valueOf(Parsed));
  }
  const auto Found = ActiveOrders_.find(Engine);
  if (Found == ActiveOrders_.end())
    return {};
  return processAction(Engine, Found->second.onRows(Order, Loads, Now));
}

EngineReconciler::Actions
EngineReconciler::onTransact(const BackendId &Engine,
                             const TransactOutcome &Outcome) {
  const auto Found = ActiveOrders_.find(Engine);
  if (Found == ActiveOrders_.end())
    return {};
  return processAction(Engine, Found->second.onTransact(Outcome));
}

EngineReconciler::Actions
EngineReconciler::onReport(const OrderTarget &Engine,
                           const EngineState &Reported, bool IsSweeper,
                           TimePoint Now) {
  const auto Found = ActiveOrders_.find(Engine.Engine_);
  if (Found != ActiveOrders_.end())
    return processAction(Engine.Engine_, Found->second.onReport(Reported, Now));
  const auto KnownRow = KnownRows_.find(Engine.Engine_);
  const bool NeedsRepair = IsSweeper && KnownRow != KnownRows_.end() &&
                           !isGoalReached(KnownRow->second.Goal_, Reported);
  if (!NeedsRepair)
    return {};
  const bool LoadsWeights = KnownRow->second.Goal_.Model_ != Reported.Model_;
  return order(Engine, KnownRow->second.Goal_, LoadsWeights);
}

EngineReconciler::Actions
EngineReconciler::onStaleFence(const BackendId &Engine) {
  const auto Found = ActiveOrders_.find(Engine);
  if (Found == ActiveOrders_.end())
    return {};
  return processAction(Engine, Found->second.onStaleFence());
}

EngineReconciler::Actions EngineReconciler::tick(TimePoint Now) {
  std::vector<std::pair<BackendId, OrderAction>> Due;
  for (auto &[Engine, Order] : ActiveOrders_)
    Due.emplace_back(Engine, Order.tick(Now));
  Actions All;
  for (auto &[Engine, Action] : Due)
    for (EngineOrderAction &Each : processAction(Engine, std::move(Action)))
      All.push_back(std::move(Each));
  return All;
}

bool EngineReconciler::isUsable(const BackendId &Engine,
                                const EngineState &Reported) const {
  const auto KnownRow = KnownRows_.find(Engine);
  return KnownRow == KnownRows_.end() ||
         isGoalReached(KnownRow->second.Goal_, Reported);
}

std::optional<EngineState>
EngineReconciler::goalOf(const BackendId &Engine) const {
  const auto KnownRow = KnownRows_.find(Engine);
  if (KnownRow == KnownRows_.end())
    return std::nullopt;
  return KnownRow->second.Goal_;
}

EngineReconciler::Actions
EngineReconciler::processAction(const BackendId &Engine, OrderAction Action) {
  if (std::holds_alternative<AwaitEvent>(Action))
    return {};
  const bool IsEnded = std::holds_alternative<OrderDone>(Action) ||
                       std::holds_alternative<OrderSuperseded>(Action);
  if (IsEnded)
    ActiveOrders_.erase(Engine);
  return {EngineOrderAction{Engine, std::move(Action)}};
}

} // namespace gooseberry
