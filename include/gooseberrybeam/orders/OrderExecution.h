/// \file
/// The execution of one order to one engine by one instance.
#ifndef GOOSEBERRYBEAM_ORDERS_ORDEREXECUTION_H
#define GOOSEBERRYBEAM_ORDERS_ORDEREXECUTION_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/orders/EngineOrder.h"
#include "gooseberrybeam/orders/WeightLoads.h"
#include "gooseberrybeam/table/TableTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace gooseberry {

/// Settings of engine orders.
struct OrderOptions {
  /// How long after leasing the holder may send an order.
  Duration SendWindow_ = std::chrono::seconds(2);
  /// Delay between leasing and ordering an engine that ignores fencing tokens.
  /// Longer than `SendWindow_`, so that the previous holder may no longer send.
  Duration QuietPeriod_ = std::chrono::seconds(3);
  Duration ResendInterval_ = std::chrono::seconds(30);
  std::size_t MaxWeightLoads_ = 2; ///< Engines that load weights at once.
};

/// Read the engine's order row and the list of weight loads; report them to
/// `onRows`.
struct ReadOrderRows {};

/// Commit this transaction; report the outcome to `onTransact`.
struct WriteOrderRows {
  TableTransaction Transaction_;
};

/// Send the order to the engine, unless the instance lease has expired.
struct SendOrder {
  EngineState Goal_;
  FencingToken Fence_ = 0;
};

/// Nothing to do until the next event.
struct AwaitEvent {};

/// The engine has reported the ordered state, and the table row is confirmed.
struct OrderDone {};

/// Another instance holds the right to order the engine.
struct OrderSuperseded {};

/// An action that an order execution requests from its owner.
using OrderAction = std::variant<AwaitEvent, ReadOrderRows, WriteOrderRows,
                                 SendOrder, OrderDone, OrderSuperseded>;

/// An engine that receives orders.
struct OrderTarget {
  BackendId Engine_;
  bool ChecksFence_ = false; ///< Refuses outdated fencing tokens.
};

/// Leases the right to order the engine through its row, sends the goal with
/// the row's fencing token and repeats it until the engine reports that state.
/// The row version is the lease: an instance that commits the next fencing
/// token ends this execution.
class OrderExecution {
public:
  /// \param Options settings of the order.
  /// \param Engine the engine.
  /// \param Holder the identity of this process, `<instance>#<incarnation>`.
  /// \param Goal the state to bring the engine into.
  /// \param LoadsWeights whether the order makes the engine read the weight
  /// store.
  OrderExecution(OrderOptions Options, OrderTarget Engine, std::string Holder,
                 EngineState Goal, bool LoadsWeights);

  /// \returns the first action.
  OrderAction start() const { return ReadOrderRows{}; }

  /// Handles the rows as read.
  /// \param Order the engine's order row, if it exists.
  /// \param Loads the list of weight loads, if it exists.
  /// \param Now the time before the transaction is sent.
  OrderAction onRows(const std::optional<TableRow> &Order,
                     const std::optional<TableRow> &Loads, TimePoint Now);

  /// Handles the outcome of a transaction.
  /// \param Outcome the outcome.
  OrderAction onTransact(const TransactOutcome &Outcome);

  /// Handles a report of the engine's state.
  /// \param Reported the reported state.
  /// \param Now the current time.
  OrderAction onReport(const EngineState &Reported, TimePoint Now);

  /// Handles the engine's refusal of the fencing token as outdated.
  OrderAction onStaleFence();

  /// Advances timers.
  /// \param Now the current time.
  OrderAction tick(TimePoint Now);

  /// \returns the fencing token held, 0 before the first commit.
  FencingToken fence() const { return Fence_; }

private:
  enum class Phase : std::uint8_t {
    Reading,
    Acquiring,
    Waiting,
    Sent,
    Confirming,
    Ended,
  };

  OrderAction acquire(const std::optional<TableRow> &Order, WeightLoads Loads,
                      TableVersion LoadsVersion, TimePoint Now);
  OrderAction confirm(const std::optional<TableRow> &Order, WeightLoads Loads,
                      TableVersion LoadsVersion);
  OrderAction restartRead();
  OrderAction end(OrderAction FinalAction);
  TableWrite makeOrderWrite(bool Confirmed) const;

  OrderOptions Options_;
  OrderTarget Engine_;
  std::string Holder_;
  EngineState Goal_;
  bool LoadsWeights_;
  Phase Phase_ = Phase::Reading;
  FencingToken Fence_ = 0;
  FencingToken NextFence_ = 0;
  TimePoint AcquireSentAt_;
  TimePoint NextSendAt_;
  TimePoint NextReadAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ORDERS_ORDEREXECUTION_H
