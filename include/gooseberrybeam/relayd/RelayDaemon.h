/// \file
/// An instance of the relay.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYDAEMON_H
#define GOOSEBERRYBEAM_RELAYD_RELAYDAEMON_H

#include "gooseberrybeam/http/CallerServer.h"
#include "gooseberrybeam/relayd/InstanceRows.h"
#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayHandler.h"
#include "gooseberrybeam/relayd/RelayRows.h"
#include "gooseberrybeam/relayd/RelaySettings.h"
#include "gooseberrybeam/relayd/TableFollower.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gooseberry {

/// Serves callers, follows the store, and shuts down gracefully. All work runs
/// on the thread that calls `run`.
class RelayDaemon {
public:
  /// What an adapter supplies. The functions get what the daemon owns.
  struct Adapter {
    std::unique_ptr<RelayWire> Wire_;
    std::unique_ptr<RelayRows> Rows_;
    /// Makes the client of the store.
    std::function<std::unique_ptr<RowStore>(asio::io_context &)> MakeStore_;
  };

  /// \param Settings the instance's settings.
  /// \param Parts the adapter.
  RelayDaemon(RelaySettings Settings, Adapter Parts);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon &) = delete;
  RelayDaemon &operator=(const RelayDaemon &) = delete;

  /// Opens the ports.
  /// \returns the address that could not be opened, or none.
  std::optional<std::string> open();
  /// Serves until shut down.
  void run();

private:
  struct Port;

  Task<void> accept(Port &Of);
  Task<void> serveOperator(tcp::socket Socket);
  Task<void> watchSignals();
  Task<void> watchHangups();
  Task<void> drain();
  Task<void> tickForever();
  Task<void> writeOwnRow();
  Task<void> makePeerKey();
  Task<void> removeRow(StoreRow Row);
  void startFollowers();
  void useConfiguration(std::string_view Source, std::string_view From);
  void useServers(const std::vector<StoreRow> &Rows, bool IsSnapshot);
  void useServersCopy(const ServersCopy &Copy);
  ServersCopy copyServers() const;
  HomeLink::Callbacks makeCallbacks();
  void useOwnRows(const std::vector<StoreRow> &Rows, bool IsSnapshot);
  void updateMembers();
  void openPeers();
  void removeGoneMembers();
  bool isReady() const;
  EpochMember self() const;

  RelaySettings Settings_;
  Adapter Adapter_;
  asio::io_context Context_;
  BackendDirectory Directory_;
  HomeLink Home_;
  RelayContext Relay_;
  RelayHandler Handler_;
  CallerServer Callers_;
  std::unique_ptr<RowStore> Store_;
  std::vector<std::unique_ptr<TableFollower>> Followers_;
  std::vector<std::unique_ptr<Port>> Ports_;
  std::map<std::string, StoreRow> OwnRows_;
  std::map<std::string, StoreRow> ServerRows_;
  std::uint64_t ServersVersion_ = 0;
  bool HasStore_ = true;
  std::string PeerKey_;
  std::uint64_t Incarnation_ = 0;
  TimePoint StartedAt_;
  TimePoint HomeSince_;
  asio::signal_set Signals_;
  asio::signal_set Hangups_;
  bool IsRowBeingWritten_ = false;
  bool IsKeyBeingMade_ = false;
  bool HasServers_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYDAEMON_H
