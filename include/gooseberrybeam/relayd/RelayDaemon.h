/// \file
/// The relay daemon.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYDAEMON_H
#define GOOSEBERRYBEAM_RELAYD_RELAYDAEMON_H

#include "gooseberrybeam/http/CallerServer.h"
#include "gooseberrybeam/relayd/InstanceRegistry.h"
#include "gooseberrybeam/relayd/InstanceRows.h"
#include "gooseberrybeam/relayd/QuarantineRow.h"
#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayHandler.h"
#include "gooseberrybeam/relayd/RelaySettings.h"
#include "gooseberrybeam/relayd/ServerContactMonitor.h"
#include "gooseberrybeam/relayd/ServerLoadSharing.h"
#include "gooseberrybeam/relayd/StoreSchema.h"
#include "gooseberrybeam/relayd/StreamOriginKeeper.h"
#include "gooseberrybeam/relayd/TableFeeds.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace gooseberry {

/// Serves callers, watches the store for the configuration and backend servers,
/// and drains requests at shutdown. All work runs on the thread that calls
/// `run`.
class RelayDaemon {
public:
  /// Platform-specific parts.
  struct Adapter {
    std::unique_ptr<RelayProtocol> Protocol_;
    std::unique_ptr<StoreSchema> Schema_;
    /// Creates the client of the store; the context outlives it.
    std::function<std::unique_ptr<RowStore>(asio::io_context &)> MakeStore_;
  };

  /// \param Settings validated settings.
  /// \param AdapterParts the parts for the platform; none may be null.
  RelayDaemon(RelaySettings Settings, Adapter AdapterParts);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon &) = delete;
  RelayDaemon &operator=(const RelayDaemon &) = delete;

  /// Listens on the ports for callers, readiness checks and metrics.
  /// \returns the `ip:port` that could not be opened, or none on success.
  std::optional<std::string> open();
  /// Serves until SIGTERM or SIGINT, then drains and returns.
  void run();

private:
  struct Port;

  Task<void> accept(Port &ListenPort);
  Task<void> serveOperator(tcp::socket Socket);
  Task<void> watchSignals();
  void closeCallerPort();
  bool acceptWaiting();
  Task<void> waitForCallers(TimePoint End);
  Task<void> drain();
  Task<void> runTicks();
  Task<void> writeInstanceRow();
  void loadQuarantine();
  void saveQuarantine();
  Task<void> writeQuarantineRow(StoreRow Row);
  Task<void> createPeerKey();
  Task<void> removeRow(StoreRow Row);
  Task<void> removeUnresponsive(InstanceId Instance, StoreRow Row);
  void openWhenReady();
  void applyConfiguration(std::string_view Source, std::string_view Origin);
  void applyConfigurationRows(std::span<const StoreRow> Changed);
  EvacuationState storedEvacuation() const;
  void applyStoredEvacuation();
  void applyServers(const TableFeeds::Changes &Changed);
  void recordColdness(const BackendEntry &Entry, bool IsRestored);
  void logWarmServers(TimePoint Now);
  void applyInstances(bool IsRestored);
  void registerSelf();
  void adoptPeerKey();
  HomeLink::Callbacks makeCallbacks();
  void shareServerLoads();
  TableFeeds::Listener makeFeedListener();
  const std::map<std::string, StoreRow> &instanceRows() const;
  void updateMembers();
  void openPeerTransport();
  void removeUnresponsiveMembers();
  bool isReady() const;
  RelayMember self() const;

  RelaySettings Settings_;
  Adapter Adapter_;
  asio::io_context Context_;
  BackendDirectory Directory_;
  InstanceRegistry Instances_;
  TableFeeds Feeds_;
  HomeLink Home_;
  RelayContext Relay_;
  ServerLoadSharing ServerLoads_;
  ServerContactMonitor Contact_;
  RelayHandler Handler_;
  CallerServer Callers_;
  std::unique_ptr<RowStore> Store_;
  StreamOriginKeeper StreamOrigins_;
  std::vector<std::unique_ptr<Port>> Ports_;
  /// Versions of rows of unresponsive instances that are being removed.
  std::map<InstanceId, StoreVersion> RowsBeingRemoved_;
  std::string PeerKey_;
  std::uint64_t Incarnation_ = 0;
  TimePoint StartedAt_;
  TimePoint HomeSince_; ///< Start of the time as home with a transport.
  asio::signal_set StopSignals_;
  asio::signal_set HangupSignals_;
  /// As its row holds it.
  std::vector<CrashSuspect> SavedQuarantine_;
  std::vector<RequestSuspect> SavedRequests_; ///< Likewise.
  StoreVersion QuarantineVersion_; ///< Of its row; unknown if there is none.
  bool IsQuarantineBeingWritten_ = false;
  bool IsInstanceRowBeingWritten_ = false;
  bool IsPeerKeyBeingCreated_ = false;
  bool HasServers_ = false; ///< Backend servers were received once.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYDAEMON_H
