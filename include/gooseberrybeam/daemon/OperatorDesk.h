/// \file
/// The configuration and the operators' port of a daemon.
#ifndef GOOSEBERRYBEAM_DAEMON_OPERATORDESK_H
#define GOOSEBERRYBEAM_DAEMON_OPERATORDESK_H

#include "gooseberrybeam/daemon/BackendWatcher.h"
#include "gooseberrybeam/daemon/ClusterDesk.h"
#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/operator/OperatorServer.h"
#include "gooseberrybeam/settings/ParseSettings.h"

#include <functional>
#include <optional>

namespace gooseberry {

/// Follows the configuration, and answers operators on the control thread.
class OperatorDesk final : private OperatorSource {
public:
  /// All references outlive the desk.
  /// \param Context the control thread's context.
  /// \param Options settings.
  /// \param State takes configurations.
  /// \param Table the table service.
  /// \param Cluster the membership, for reports.
  /// \param Watcher the backend servers, for reports.
  /// \param Drain begins a graceful shutdown.
  OperatorDesk(asio::io_context &Context, const Settings &Options,
               DaemonState &State, TableClient &Table,
               const ClusterDesk &Cluster, const BackendWatcher &Watcher,
               std::function<void()> Drain);

  /// Opens the port.
  /// \returns the setting whose address could not be opened, or nothing.
  std::optional<SettingsError> open();

  /// Begins to follow the configuration.
  void start() { Runner_.start(); }

  /// \param Document the epoch in force.
  void onEpoch(const EpochDocument &Document);

  /// Carries out an operator's order to an engine.
  using Orderer = std::function<void(const BackendId &, const EngineState &)>;
  /// \param Order called for each order; set before `start`.
  void setOrderer(Orderer Order) { Order_ = std::move(Order); }

  /// \returns the configuration's part, for messages of peers.
  ConfigRunner &config() { return Runner_; }

private:
  std::vector<BackendSummary> onListBackends() const override;
  std::vector<InstanceSummary> onListInstances() const override;
  StatusSummary onDescribeStatus() const override;
  void onDrain() override { Drain_(); }
  void onOrder(const BackendId &Engine, const EngineState &Goal) override {
    Order_(Engine, Goal);
  }

  const Settings &Settings_;
  DaemonState &State_;
  const ClusterDesk &Cluster_;
  const BackendWatcher &Watcher_;
  std::function<void()> Drain_;
  Orderer Order_;
  ConfigRunner Runner_;
  OperatorApi Api_;
  OperatorServer Server_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_OPERATORDESK_H
