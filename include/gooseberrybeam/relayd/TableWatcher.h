/// \file
/// Watches one table of the store.
#ifndef GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H
#define GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H

#include "gooseberrybeam/relayd/RowStore.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace gooseberry {

/// Reads a table, then watches its changes. Retries during outages of the
/// store, and reads the table again if the store no longer keeps the changes.
class TableWatcher {
public:
  /// Functions that the watcher calls; all must be set.
  struct Listener {
    std::function<void(const std::vector<StoreRow> &)> OnSnapshot_;
    std::function<void(const std::vector<StoreRow> &)> OnChanges_;
    std::function<void()> OnUnavailable_; ///< An outage began.
    std::function<void()> OnAvailable_;   ///< The outage ended.
  };

  /// \param Context runs the watcher; outlives it.
  /// \param Store the store; outlives the watcher.
  /// \param Table the table to watch.
  /// \param MinInterval pause after each result with rows; changes during the
  /// pause arrive in one call.
  /// \param Handlers receives snapshots, changes and outages.
  TableWatcher(asio::io_context &Context, RowStore &Store, std::string Table,
               Duration MinInterval, Listener Handlers);

  /// Starts watching; ends when the context stops.
  void start();

private:
  Task<void> run();
  Task<bool> readAll();
  Task<bool> pollOnce();
  Task<void> wait(Duration Time);
  Task<void> handleFailure(StoreFailure Failure);
  void handleSuccess();

  asio::io_context &Context_;
  RowStore &Store_;
  std::string Table_;
  Duration MinInterval_;
  Listener Listener_;
  CancelScope Scope_;
  std::uint64_t Version_ = 0;
  std::uint32_t ConsecutiveFailures_ = 0; ///< Reset by a success.
  bool IsUnavailable_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H
