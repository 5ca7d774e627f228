/// \file
/// Brings engines into the states that the table names.
#ifndef GOOSEBERRYBEAM_ORDERS_ENGINERECONCILER_H
#define GOOSEBERRYBEAM_ORDERS_ENGINERECONCILER_H

#include "gooseberrybeam/orders/OrderExecution.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace gooseberry {

/// An action of the order to one engine.
struct EngineOrderAction {
  BackendId Engine_;
  OrderAction Action_;
};

/// Runs at most one `OrderExecution` per engine. Orders come from operators and
/// role plans through `order`. In addition, the engine's sweeper starts an
/// order when a report contradicts the engine's row.
class EngineReconciler {
public:
  using Actions = std::vector<EngineOrderAction>;

  /// \param Options settings of the orders.
  /// \param Holder the identity of this process, `<instance>#<incarnation>`.
  EngineReconciler(OrderOptions Options, std::string Holder);

  /// Starts an order and abandons one in progress for the same engine.
  /// \param Engine the engine.
  /// \param Goal the state to bring the engine into.
  /// \param LoadsWeights whether the order makes the engine read the weight
  /// store.
  /// \returns the actions to carry out.
  Actions order(const OrderTarget &Engine, const EngineState &Goal,
                bool LoadsWeights);

  /// Handles an engine's order row and the list of weight loads, as read.
  /// \param Engine the engine.
  /// \param Order its order row, if it exists.
  /// \param Loads the list, if it exists.
  /// \param Now the time before the read was sent.
  Actions onRows(const BackendId &Engine, const std::optional<TableRow> &Order,
                 const std::optional<TableRow> &Loads, TimePoint Now);

  /// Handles the outcome of an engine's transaction.
  /// \param Engine the engine.
  /// \param Outcome the outcome.
  Actions onTransact(const BackendId &Engine, const TransactOutcome &Outcome);

  /// Handles a report of an engine's state.
  /// \param Engine the engine.
  /// \param Reported the reported state.
  /// \param IsSweeper whether this instance is the engine's sweeper, which
  /// starts an order if the report contradicts the engine's row.
  /// \param Now the current time.
  Actions onReport(const OrderTarget &Engine, const EngineState &Reported,
                   bool IsSweeper, TimePoint Now);

  /// Handles an engine's refusal of this instance's fencing token as outdated.
  /// \param Engine the engine.
  Actions onStaleFence(const BackendId &Engine);

  /// Advances timers.
  /// \param Now the current time.
  Actions tick(TimePoint Now);

  /// \param Engine an engine.
  /// \param Reported the state that it reports.
  /// \returns whether it may be given work, that is, no known order contradicts
  /// its report.
  bool isUsable(const BackendId &Engine, const EngineState &Reported) const;

  /// \param Engine an engine.
  /// \returns the state that the table names for it, if its row is known.
  std::optional<EngineState> goalOf(const BackendId &Engine) const;

  /// \returns the number of orders in progress.
  std::size_t activeOrderCount() const { return ActiveOrders_.size(); }

private:
  Actions processAction(const BackendId &Engine, OrderAction Action);

  OrderOptions Options_;
  std::string Holder_;
  std::map<BackendId, OrderExecution> ActiveOrders_;
  std::map<BackendId, EngineOrderRow> KnownRows_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_ENGINERECONCILER_H
