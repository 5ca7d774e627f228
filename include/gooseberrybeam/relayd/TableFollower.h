/// \file
/// Keeps up with one table of the store.
#ifndef GOOSEBERRYBEAM_RELAYD_TABLEFOLLOWER_H
#define GOOSEBERRYBEAM_RELAYD_TABLEFOLLOWER_H

#include "gooseberrybeam/relayd/RowStore.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace gooseberry {

/// Reads a table and follows its changes, over outages and lost history.
class TableFollower {
public:
  /// What a follower tells.
  struct Listener {
    std::function<void(const std::vector<StoreRow> &)> OnSnapshot_;
    std::function<void(const std::vector<StoreRow> &)> OnChanges_;
    std::function<void()> OnLost_; ///< The store cannot be read.
    std::function<void()> OnBack_; ///< It can be read again.
  };

  /// \param Context runs the follower; outlives it.
  /// \param Store the store; outlives the follower.
  /// \param Table the table.
  /// \param Pause least time between two calls; changes within it come
  /// together. \param Tell takes what is learned.
  TableFollower(asio::io_context &Context, RowStore &Store, std::string Table,
                Duration Pause, Listener Tell);

  /// Starts to follow, until the context stops.
  void start();

private:
  Task<void> run();
  Task<bool> readAll();
  Task<bool> followOnce();
  Task<void> wait(Duration Time);
  Task<void> noteFailure(StoreFailure Failure);
  void noteSuccess();

  asio::io_context &Context_;
  RowStore &Store_;
  std::string Table_;
  Duration Pause_;
  Listener Listener_;
  CancelScope Scope_;
  std::uint64_t Version_ = 0;
  std::uint32_t Failures_ = 0; ///< In a row.
  bool IsLost_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLEFOLLOWER_H
