#include "gooseberrybeam/orders/EngineOrders.h"

namespace gooseberry {

EngineOrders::EngineOrders(OrderLimits Limits, std::string Holder)
    : Limits_(Limits), Holder_(std::move(Holder)) {}

EngineOrders::Actions EngineOrders::order(const OrderedEngine &Engine,
                                          const EngineGoal &Goal,
                                          bool LoadsWeights) {
  const auto [Run, Inserted] = Runs_.insert_or_assign(
      Engine.Engine_, OrderRun(Limits_, Engine, Holder_, Goal, LoadsWeights));
  return take(Engine.Engine_, Run->second.start());
}

EngineOrders::Actions EngineOrders::onRows(const BackendId &Engine,
                                           const std::optional<TableRow> &Order,
                                           const std::optional<TableRow> &Loads,
                                           TimePoint Now) {
  if (Order) {
    const auto Parsed = parseEngineOrder(Order->Value_);
    const auto Known = Known_.find(Engine);
    const FencingNumber Newest =
        Known == Known_.end() ? 0 : Known->second.Fence_;
    if (isOk(Parsed) && valueOf(Parsed).Fence_ >= Newest)
      Known_.insert_or_assign(Engine, valueOf(Parsed));
  }
  const auto Run = Runs_.find(Engine);
  if (Run == Runs_.end())
    return {};
  return take(Engine, Run->second.onRows(Order, Loads, Now));
}

EngineOrders::Actions EngineOrders::onTransact(const BackendId &Engine,
                                               const TransactOutcome &Outcome) {
  const auto Run = Runs_.find(Engine);
  if (Run == Runs_.end())
    return {};
  return take(Engine, Run->second.onTransact(Outcome));
}

EngineOrders::Actions EngineOrders::onReport(const OrderedEngine &Engine,
                                             const EngineGoal &Seen,
                                             bool IsSweeper, TimePoint Now) {
  const auto Run = Runs_.find(Engine.Engine_);
  if (Run != Runs_.end())
    return take(Engine.Engine_, Run->second.onReport(Seen, Now));
  const auto Known = Known_.find(Engine.Engine_);
  const bool NeedsRepair = IsSweeper && Known != Known_.end() &&
                           !isReached(Known->second.Goal_, Seen);
  if (!NeedsRepair)
    return {};
  const bool LoadsWeights = Known->second.Goal_.Model_ != Seen.Model_;
  return order(Engine, Known->second.Goal_, LoadsWeights);
}

EngineOrders::Actions EngineOrders::onStaleFence(const BackendId &Engine) {
  const auto Run = Runs_.find(Engine);
  if (Run == Runs_.end())
    return {};
  return take(Engine, Run->second.onStaleFence());
}

EngineOrders::Actions EngineOrders::tick(TimePoint Now) {
  std::vector<std::pair<BackendId, OrderAction>> Due;
  for (auto &[Engine, Run] : Runs_)
    Due.emplace_back(Engine, Run.tick(Now));
  Actions All;
  for (auto &[Engine, Action] : Due)
    for (EngineOrderAction &Each : take(Engine, std::move(Action)))
      All.push_back(std::move(Each));
  return All;
}

bool EngineOrders::isUsable(const BackendId &Engine,
                            const EngineGoal &Seen) const {
  const auto Known = Known_.find(Engine);
  return Known == Known_.end() || isReached(Known->second.Goal_, Seen);
}

std::optional<EngineGoal> EngineOrders::goalOf(const BackendId &Engine) const {
  const auto Known = Known_.find(Engine);
  if (Known == Known_.end())
    return std::nullopt;
  return Known->second.Goal_;
}

EngineOrders::Actions EngineOrders::take(const BackendId &Engine,
                                         OrderAction Action) {
  if (std::holds_alternative<AwaitEvent>(Action))
    return {};
  const bool Ended = std::holds_alternative<OrderDone>(Action) ||
                     std::holds_alternative<OrderLost>(Action);
  if (Ended)
    Runs_.erase(Engine);
  return {EngineOrderAction{Engine, std::move(Action)}};
}

} // namespace gooseberry
