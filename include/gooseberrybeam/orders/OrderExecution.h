/// \file
/// One instance's work on the orders of one engine.
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
  Duration SendWindow_ = std::chrono::seconds(2); ///< After leasing.
  /// Between leasing and ordering an engine that ignores fencing numbers;
  /// longer than `SendWindow_`, so that the last holder's right has lapsed.
  Duration QuietPeriod_ = std::chrono::seconds(3);
  Duration ResendInterval_ = std::chrono::seconds(30);
  std::size_t MaxWeightLoads_ = 2;
};

/// Read the engine's order row and the list of weight loads; report to
/// `onRows`.
struct ReadOrderRows {};

/// Commit this transaction; report to `onTransact`.
struct WriteOrderRows {
  TableTransaction Transaction_;
};

/// Send the order to the engine, unless the instance lease has lapsed.
struct SendOrder {
  EngineState Goal_;
  FencingToken Fence_ = 0;
};

/// Nothing to do until the next event.
struct AwaitEvent {};

/// The engine has been seen in the goal's state and the table says so.
struct OrderDone {};

/// Another instance has taken the engine's orders over.
struct OrderSuperseded {};

/// What an order's run wants done.
using OrderAction = std::variant<AwaitEvent, ReadOrderRows, WriteOrderRows,
                                 SendOrder, OrderDone, OrderSuperseded>;

/// How an engine that orders go to behaves.
struct OrderTarget {
  BackendId Engine_;
  bool ChecksFence_ = false; ///< Refuses an order with an old number.
};

/// Leases the engine's orders through its row, sends the goal with the row's
/// fencing number and repeats it until the engine reports the goal's state.
/// The row's version is the lease: whoever commits the next fencing number
/// ends this run.
class OrderExecution {
public:
  /// \param Options settings.
  /// \param Engine the engine.
  /// \param Holder this process, `<instance>#<incarnation>`.
  /// \param Goal the state wanted.
  /// \param LoadsWeights whether the order reads the weight store.
  OrderExecution(OrderOptions Options, OrderTarget Engine, std::string Holder,
                 EngineState Goal, bool LoadsWeights);

  /// \returns the first action.
  OrderAction start() const { return ReadOrderRows{}; }

  /// Takes the rows as read.
  /// \param Order the engine's row, if it exists.
  /// \param Loads the list of weight loads, if it exists.
  /// \param Now the clock, read before the transaction is sent.
  OrderAction onRows(const std::optional<TableRow> &Order,
                     const std::optional<TableRow> &Loads, TimePoint Now);

  /// Takes the outcome of a transaction.
  /// \param Outcome the table's answer.
  OrderAction onTransact(const TransactOutcome &Outcome);

  /// Takes the state that the engine reports.
  /// \param Reported the reported state.
  /// \param Now the clock.
  OrderAction onReport(const EngineState &Reported, TimePoint Now);

  /// The engine refused the number as old.
  OrderAction onStaleFence();

  /// Runs what is due.
  /// \param Now the clock.
  OrderAction tick(TimePoint Now);

  /// \returns the fencing number held, 0 before the first commit.
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
