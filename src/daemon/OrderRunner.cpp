#include "gooseberrybeam/daemon/OrderRunner.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Between reads of the order rows of the engines that this instance sweeps.
constexpr Duration RowReadInterval = std::chrono::seconds(10);

OrderTarget asOrdered(const BackendId &Engine) { return {Engine, false}; }

/// \returns what the engine reports, in the terms of a goal: of its models,
/// the one that is wanted.
EngineState asSeen(const EngineLoad &Load, const ModelId &Wanted) {
  EngineState Seen;
  Seen.Role_ = Load.Role_ == ReportedRole::Prefill ? EngineRole::Prefill
                                                   : EngineRole::Decode;
  Seen.Version_ = Load.Version_;
  const bool HasWanted = std::find(Load.Models_.begin(), Load.Models_.end(),
                                   Wanted) != Load.Models_.end();
  if (HasWanted)
    Seen.Model_ = Wanted;
  else if (!Load.Models_.empty())
    Seen.Model_ = Load.Models_.front();
  return Seen;
}

std::optional<TableRow> findRow(const TableRows &Rows, std::string_view Key) {
  for (const TableRow &Row : Rows.Rows_)
    if (Row.Key_ == Key)
      return Row;
  return std::nullopt;
}

/// \returns the calls that bring an engine into the goal's state.
std::vector<EngineOrderCall> makeCalls(const SendOrder &Order) {
  const EngineState &Goal = Order.Goal_;
  std::vector<EngineOrderCall> Calls;
  if (!Goal.Model_.isEmpty())
    Calls.push_back({Order.Fence_, "load_model", "model", Goal.Model_.Value_});
  if (!Goal.Adapter_.empty())
    Calls.push_back({Order.Fence_, "load_adapter", "adapter", Goal.Adapter_});
  if (!Goal.Version_.empty())
    Calls.push_back({Order.Fence_, "set_version", "version", Goal.Version_});
  Calls.push_back(
      {Order.Fence_, "set_role", "role", std::string(asCode(Goal.Role_))});
  return Calls;
}

} // namespace

OrderRunner::OrderRunner(asio::io_context &Context, DaemonState &State,
                         TableClient &Table, EngineClient &Engines,
                         std::string Holder, SweeperQuery IsSweeper)
    : Context_(Context), State_(State), Table_(Table), Engines_(Engines),
      IsSweeper_(std::move(IsSweeper)),
      Orders_(OrderOptions(), std::move(Holder)) {}

void OrderRunner::order(const BackendId &Engine, const EngineState &Goal) {
  const bool LoadsWeights = !Goal.Model_.isEmpty() || !Goal.Adapter_.empty() ||
                            !Goal.Version_.empty();
  carryOut(Orders_.order(asOrdered(Engine), Goal, LoadsWeights));
}

void OrderRunner::onLoad(const BackendId &Engine, const EngineLoad &Load) {
  const auto Goal = Orders_.goalOf(Engine);
  if (!Goal)
    return;
  carryOut(Orders_.onReport(asOrdered(Engine), asSeen(Load, Goal->Model_),
                            IsSweeper_(Engine), readBootClock()));
}

void OrderRunner::tick(std::span<const BackendId> Engines) {
  const TimePoint Now = readBootClock();
  carryOut(Orders_.tick(Now));
  if (Now < NextRead_)
    return;
  NextRead_ = Now + RowReadInterval;
  for (const BackendId &Engine : Engines)
    if (IsSweeper_(Engine))
      perform(Engine, ReadOrderRows{});
}

void OrderRunner::carryOut(const EngineReconciler::Actions &Actions) {
  for (const EngineOrderAction &Each : Actions)
    std::visit([&](const auto &Action) { perform(Each.Engine_, Action); },
               Each.Action_);
}

void OrderRunner::perform(const BackendId & /*Engine*/,
                          const AwaitEvent & /*Action*/) {}

void OrderRunner::perform(const BackendId &Engine,
                          const ReadOrderRows & /*Action*/) {
  TableQuery Query;
  Query.Keys_ = {engineOrderRowKey(Engine), std::string(WeightLoadsRowKey)};
  Table_.read(std::move(Query), [this, Engine, SentAt = readBootClock()](
                                    const ReadOutcome &Outcome) {
    onRows(Engine, Outcome, SentAt);
  });
}

void OrderRunner::onRows(const BackendId &Engine, const ReadOutcome &Outcome,
                         TimePoint SentAt) {
  const auto *Rows = std::get_if<TableRows>(&Outcome);
  if (!Rows)
    return;
  carryOut(Orders_.onRows(Engine, findRow(*Rows, engineOrderRowKey(Engine)),
                          findRow(*Rows, WeightLoadsRowKey), SentAt));
}

void OrderRunner::perform(const BackendId &Engine,
                          const WriteOrderRows &Action) {
  Table_.transact(Action.Transaction_,
                  [this, Engine](const TransactOutcome &Outcome) {
                    carryOut(Orders_.onTransact(Engine, Outcome));
                    // The row now names the goal that reports are held to.
                    if (std::holds_alternative<TableCommitted>(Outcome))
                      perform(Engine, ReadOrderRows{});
                  });
}

void OrderRunner::perform(const BackendId &Engine, const SendOrder &Action) {
  if (State_.isLeaseValid(readBootClock()))
    spawnTask(Context_, "order", send(Engine, Action));
}

void OrderRunner::perform(const BackendId &Engine,
                          const OrderDone & /*Action*/) {
  logLine(LogPart::Engine, LogLevel::Info, "Order confirmed.",
          {{"backend_server", Engine.Value_}});
}

void OrderRunner::perform(const BackendId &Engine,
                          const OrderSuperseded & /*Action*/) {
  logLine(LogPart::Engine, LogLevel::Warn, "Order taken over.",
          {{"backend_server", Engine.Value_}});
}

Task<void> OrderRunner::send(BackendId Engine, SendOrder Order) {
  const std::vector<EngineOrderCall> Calls = makeCalls(Order);
  for (const EngineOrderCall &Call : Calls) {
    const auto Outcome = co_await Engines_.order(Engine, Call);
    if (isOk(Outcome))
      continue;
    if (errorOf(Outcome).Failure_ == EngineFailure::StaleFence)
      carryOut(Orders_.onStaleFence(Engine));
    co_return;
  }
}

} // namespace gooseberry
