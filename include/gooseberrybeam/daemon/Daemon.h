/// \file
/// An entry instance.
#ifndef GOOSEBERRYBEAM_DAEMON_DAEMON_H
#define GOOSEBERRYBEAM_DAEMON_DAEMON_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/daemon/BackendWatcher.h"
#include "gooseberrybeam/daemon/ClusterDesk.h"
#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/daemon/GenerationDesk.h"
#include "gooseberrybeam/daemon/OperatorDesk.h"
#include "gooseberrybeam/daemon/OrderRunner.h"
#include "gooseberrybeam/daemon/PeerDesk.h"
#include "gooseberrybeam/daemon/SweepRunner.h"
#include "gooseberrybeam/daemon/Worker.h"
#include "gooseberrybeam/engine/HttpEngineClient.h"
#include "gooseberrybeam/leases/KvHolding.h"
#include "gooseberrybeam/settings/ParseSettings.h"
#include "gooseberrybeam/tableclient/HttpTableClient.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace gooseberry {

/// Wires all parts together. The thread that calls `run` is the control
/// thread.
class Daemon {
public:
  using Made = Result<std::unique_ptr<Daemon>, SettingsError>;

  /// \param Options settings.
  /// \returns the daemon with its port for callers open, or the setting whose
  /// address could not be opened.
  static Made make(Settings Options);

  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until a signal has ended the daemon.
  void run();

  /// Begins a graceful shutdown. Called on the control thread.
  void drain();

private:
  explicit Daemon(Settings Options);

  std::optional<SettingsError> open();
  std::optional<SettingsError> openPeers();
  Task<void> acceptCallers();
  Task<void> watchSignals();
  Task<void> tickParts();
  Task<void> drainAndStop();
  Task<void> leaveMembership(TimePoint Deadline);
  void startParts();
  void followMembership();
  void connectPlacement();
  void connectOrders();
  void connectConfiguration();
  void onEpoch(const EpochDocument &Document);
  void onRejoin(const MemberId &Self);
  void stop();

  Settings Settings_;
  DaemonState State_;
  Holder Holder_;
  asio::io_context Control_{1};
  ConnectionPool Pool_;
  HttpEngineClient Engines_;
  HttpTableClient Table_;
  GenerationDesk Desk_;
  ClusterDesk Cluster_;
  BackendWatcher Watcher_;
  SweepRunner Sweep_;
  OrderRunner Orders_;
  PeerDesk Peers_;
  OperatorDesk Operators_;
  tcp::acceptor Acceptor_;
  asio::signal_set Signals_;
  asio::signal_set HangupSignals_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  bool IsDraining_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_DAEMON_H
