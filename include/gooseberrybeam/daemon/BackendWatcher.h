/// \file
/// Follows the platform's list and the engines' load.
#ifndef GOOSEBERRYBEAM_DAEMON_BACKENDWATCHER_H
#define GOOSEBERRYBEAM_DAEMON_BACKENDWATCHER_H

#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/daemon/GenerationDesk.h"
#include "gooseberrybeam/engine/EngineClient.h"
#include "gooseberrybeam/tableclient/HttpTableClient.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace gooseberry {

/// How often what is read.
struct WatchIntervals {
  Duration List_ = std::chrono::milliseconds(500);
  Duration Load_ = std::chrono::milliseconds(50);
  /// For engines whose work another instance places.
  Duration RemoteLoad_ = std::chrono::seconds(1);
};

/// Tells the dispatcher and the directory of services which backend servers
/// live. Runs on the control thread.
class BackendWatcher {
public:
  using ListListener = std::function<void(const InstanceList &)>;
  using LoadListener =
      std::function<void(const BackendId &, const EngineLoad &)>;

  /// All references outlive the watcher.
  /// \param Context the control thread's context.
  /// \param State takes the directory of services.
  /// \param Desk takes engines and their load.
  /// \param Engines reads the load.
  /// \param Table reads the list.
  /// \param Intervals how often.
  BackendWatcher(asio::io_context &Context, DaemonState &State,
                 GenerationDesk &Desk, EngineClient &Engines,
                 HttpTableClient &Table, WatchIntervals Intervals);

  /// \param Listener called with each list that was read.
  void setListener(ListListener Listener) { Listener_ = std::move(Listener); }

  /// \param Listener called with each load report that was read.
  void setLoadListener(LoadListener Listener) {
    LoadListener_ = std::move(Listener);
  }

  /// Starts to read.
  void start();

  /// Marks a backend server as leaving, e.g. because a peer saw it leave.
  /// \param Server the backend server.
  void onLeaving(const BackendId &Server);

  /// \returns the newest list of the platform; empty before the first.
  const InstanceList &newest() const { return Newest_; }

  /// \param Name an engine.
  /// \returns what it last said of itself, or null while it is not live.
  const EngineInfo *findEngine(const BackendId &Name) const;

  /// \param Name an engine.
  /// \returns its requests in decode when it last reported.
  std::uint32_t activeOf(const BackendId &Name) const;

  /// \returns the engines in the newest list.
  std::vector<BackendId> engines() const;

private:
  struct Engine {
    ListedInstance Listed_;
    std::optional<EngineInfo> Info_; ///< As told to the dispatcher.
    std::uint64_t LastCacheEvent_ = 0;
    std::uint32_t Active_ = 0; ///< As last reported.
    std::uint32_t Polls_ = 0;
    std::uint32_t Failures_ = 0;
  };

  Task<void> watchList();
  Task<void> watchEngine(BackendId Name);
  Task<void> readCacheEvents(BackendId Name);
  Duration loadInterval(const BackendId &Name) const;
  void onList(const InstanceList &List);
  void onEngines(const InstanceList &List);
  void onServices(const InstanceList &List);
  void onLoad(const BackendId &Name, const EngineLoad &Load);
  void noteKnown();
  void onSilent(const BackendId &Name);

  asio::io_context &Context_;
  DaemonState &State_;
  GenerationDesk &Desk_;
  EngineClient &Client_;
  HttpTableClient &Table_;
  WatchIntervals Intervals_;
  ListListener Listener_;
  LoadListener LoadListener_;
  InstanceList Newest_;
  std::map<BackendId, Engine> Engines_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_BACKENDWATCHER_H
