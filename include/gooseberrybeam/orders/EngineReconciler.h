/// \file
/// One instance's orders to engines, and the repair of engines that differ
/// from what the table says.
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

/// An action for one engine's orders.
struct EngineOrderAction {
  BackendId Engine_;
  OrderAction Action_;
};

/// Runs at most one `OrderExecution` per engine. Work comes from operators and
/// role plans (`order`) and from reports that contradict a confirmed row, which
/// the engine's sweeper repairs.
class EngineReconciler {
public:
  using Actions = std::vector<EngineOrderAction>;

  /// \param Options settings.
  /// \param Holder this process, `<instance>#<incarnation>`.
  EngineReconciler(OrderOptions Options, std::string Holder);

  /// Begins an order; one that runs for the same engine is given up.
  /// \param Engine the engine.
  /// \param Goal the state wanted.
  /// \param LoadsWeights whether the order reads the weight store.
  /// \returns what to do.
  Actions order(const OrderTarget &Engine, const EngineState &Goal,
                bool LoadsWeights);

  /// Takes an engine's order row and the list of weight loads, as read.
  /// \param Engine the engine.
  /// \param Order its row, if it exists.
  /// \param Loads the list, if it exists.
  /// \param Now the clock, read before the read was sent.
  Actions onRows(const BackendId &Engine, const std::optional<TableRow> &Order,
                 const std::optional<TableRow> &Loads, TimePoint Now);

  /// Takes the outcome of an engine's transaction.
  /// \param Engine the engine.
  /// \param Outcome the table's answer.
  Actions onTransact(const BackendId &Engine, const TransactOutcome &Outcome);

  /// Takes the state that an engine reports.
  /// \param Engine the engine.
  /// \param Reported the reported state.
  /// \param IsSweeper whether this instance repairs the engine.
  /// \param Now the clock.
  Actions onReport(const OrderTarget &Engine, const EngineState &Reported,
                   bool IsSweeper, TimePoint Now);

  /// An engine refused this instance's number as old.
  /// \param Engine the engine.
  Actions onStaleFence(const BackendId &Engine);

  /// Runs what is due.
  /// \param Now the clock.
  Actions tick(TimePoint Now);

  /// \param Engine an engine.
  /// \param Reported the state that it reports.
  /// \returns whether it may be given work: no order contradicts its report.
  bool isUsable(const BackendId &Engine, const EngineState &Reported) const;

  /// \param Engine an engine.
  /// \returns the state that the table names for it, if that is known.
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
