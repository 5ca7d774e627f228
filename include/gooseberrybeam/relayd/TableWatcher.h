/// \file
/// Keeps up with one table of the store.
#ifndef GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H
#define GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H

#include "gooseberrybeam/relayd/RowStore.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace gooseberry {

/// Reads a table and follows its changes, over outages and lost history.
class TableWatcher {
public:
  /// What a follower tells.
  struct Listener {
    std::function<void(const std::vector<StoreRow> &)> OnSnapshot_;
    std::function<void(const std::vector<StoreRow> &)> OnChanges_;
    std::function<void()> OnUnavailable_; ///< The store cannot be read.
    std::function<void()> OnAvailable_;   ///< It can be read again.
  };

  /// \param Context runs the follower; outlives it.
  /// \param Store the store; outlives the follower.
  /// \param Table the table.
  /// \param MinInterval least time between two calls; changes within it come
  /// together. \param Handlers takes what is learned.
  TableWatcher(asio::io_context &Context, RowStore &Store, std::string Table,
               Duration MinInterval, Listener Handlers);

  /// Starts to follow, until the context stops.
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
  std::uint32_t ConsecutiveFailures_ = 0; ///< In a row.
  bool IsUnavailable_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H
