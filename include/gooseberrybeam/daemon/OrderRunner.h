/// \file
/// Carries out orders to engines.
#ifndef GOOSEBERRYBEAM_DAEMON_ORDERRUNNER_H
#define GOOSEBERRYBEAM_DAEMON_ORDERRUNNER_H

#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/engine/EngineClient.h"
#include "gooseberrybeam/orders/EngineReconciler.h"
#include "gooseberrybeam/table/TableClient.h"

#include <functional>
#include <span>
#include <string>

namespace gooseberry {

/// Runs `EngineReconciler` on the control thread. Orders come from operators;
/// the engine's sweeper repairs engines that differ from the table.
class OrderRunner {
public:
  /// Tells whether this instance sweeps, and so repairs, an engine.
  using SweeperQuery = std::function<bool(const BackendId &)>;

  /// All references outlive the runner.
  /// \param Context the control thread's context.
  /// \param State knows the instance lease.
  /// \param Table keeps the orders.
  /// \param Engines takes them.
  /// \param Holder this process, `<instance>#<incarnation>`.
  /// \param IsSweeper whom this instance repairs.
  OrderRunner(asio::io_context &Context, DaemonState &State, TableClient &Table,
              EngineClient &Engines, std::string Holder,
              SweeperQuery IsSweeper);

  /// Orders an engine into a state. An engine is taken to ignore fencing
  /// numbers, which costs a quiet period and is right for both kinds.
  /// \param Engine the engine.
  /// \param Goal the state wanted.
  void order(const BackendId &Engine, const EngineState &Goal);

  /// Takes an engine's report.
  /// \param Engine the engine.
  /// \param Load what it reports.
  void onLoad(const BackendId &Engine, const EngineLoad &Load);

  /// Carries out what is due; called about every 200 ms.
  /// \param Engines the engines that exist.
  void tick(std::span<const BackendId> Engines);

private:
  void carryOut(const EngineReconciler::Actions &Actions);
  void perform(const BackendId &Engine, const AwaitEvent &Action);
  void perform(const BackendId &Engine, const ReadOrderRows &Action);
  void perform(const BackendId &Engine, const WriteOrderRows &Action);
  void perform(const BackendId &Engine, const SendOrder &Action);
  void perform(const BackendId &Engine, const OrderDone &Action);
  void perform(const BackendId &Engine, const OrderSuperseded &Action);
  Task<void> send(BackendId Engine, SendOrder Order);
  void onRows(const BackendId &Engine, const ReadOutcome &Outcome,
              TimePoint SentAt);

  asio::io_context &Context_;
  DaemonState &State_;
  TableClient &Table_;
  EngineClient &Engines_;
  SweeperQuery IsSweeper_;
  EngineReconciler Orders_;
  TimePoint NextRead_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_ORDERRUNNER_H
