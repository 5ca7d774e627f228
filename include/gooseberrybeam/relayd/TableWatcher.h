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
    std::function<void(const StoreRows &)> OnSnapshot_;
    /// Called after each call for changes; without rows if there were none.
    std::function<void(const StoreRows &)> OnChanges_;
    std::function<void()> OnUnavailable_; ///< An outage began.
    std::function<void()> OnAvailable_;   ///< The outage ended.
  };

  /// How often the store is called.
  struct Pace {
    /// Pause after each result with rows; changes during the pause arrive in
    /// one call.
    Duration MinInterval_{0};
    Duration PollTime_{0}; ///< How long the store holds a call for changes.
  };

  /// Functions that govern the calls; all must be set.
  struct Control {
    std::function<Pace()> Pace_;
    /// \returns whether changes are received from elsewhere.
    std::function<bool()> IsPaused_;
    /// \returns the version up to which changes were received.
    std::function<StoreVersion()> KnownVersion_;
  };

  /// \param Context runs the watcher; outlives it.
  /// \param Store the store; outlives the watcher.
  /// \param Table the table to watch.
  /// \param Governor governs the calls.
  /// \param Handlers receives snapshots, changes and outages.
  TableWatcher(asio::io_context &Context, RowStore &Store, std::string Table,
               Control Governor, Listener Handlers);

  /// Starts watching; ends when the context stops.
  void start();
  /// Continues if the watcher waits although it is no longer paused.
  void resumeIfNeeded();

private:
  Task<void> run();
  Task<void> waitWhilePaused();
  Task<bool> readAll();
  Task<bool> pollOnce();
  Task<void> wait(Duration Time);
  Duration pollTime() const;
  Task<void> handleFailure(StoreFailure Failure);
  void handleSuccess();

  asio::io_context &Context_;
  RowStore &Store_;
  std::string Table_;
  Control Control_;
  asio::steady_timer PauseTimer_; ///< Cancelled to continue after a pause.
  Listener Listener_;
  CancelScope Scope_;
  StoreVersion Version_;
  std::uint32_t ConsecutiveFailures_ = 0; ///< Reset by a success.
  bool IsUnavailable_ = false;
  bool HasResumed_ = false; ///< After a pause, and no call has succeeded yet.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLEWATCHER_H
