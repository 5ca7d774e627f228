/// \file
/// Brings the dispatcher's actions to the thread that runs a generation.
#ifndef GOOSEBERRYBEAM_DAEMON_PLACEMENTMAILBOX_H
#define GOOSEBERRYBEAM_DAEMON_PLACEMENTMAILBOX_H

#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"
#include "gooseberrybeam/routing/DispatchAction.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace gooseberry {

/// Actions for one generation. All but `post` are for the generation's thread.
class PlacementMailbox : public std::enable_shared_from_this<PlacementMailbox> {
public:
  /// Lets the next action abort a step, while it lives.
  class Interruptible {
  public:
    /// \param Box the mailbox; outlives this.
    /// \param Step cancelled when an action arrives; outlives this.
    Interruptible(PlacementMailbox &Box, CancelScope &Step);
    ~Interruptible() { end(); }
    Interruptible(const Interruptible &) = delete;
    Interruptible &operator=(const Interruptible &) = delete;

    /// From now on actions wait until the step has ended.
    void end() { Box_.Step_ = nullptr; }

  private:
    PlacementMailbox &Box_;
  };

  /// \param Executor runs the generation.
  explicit PlacementMailbox(const asio::any_io_executor &Executor);

  /// Delivers an action. Any thread may call this.
  /// \param Action an action for this generation.
  void post(DispatchAction Action);

  /// Waits for the next action.
  /// \param Scope ends the wait when cancelled.
  /// \returns the action, or none if the scope was cancelled.
  Task<std::optional<DispatchAction>> next(CancelScope &Scope);

  /// \returns whether an action waits.
  bool hasAction() const { return !Actions_.empty(); }

private:
  void deliver(DispatchAction Action);

  asio::any_io_executor Executor_;
  asio::steady_timer Wake_;
  std::deque<DispatchAction> Actions_;
  CancelScope *Step_ = nullptr;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_PLACEMENTMAILBOX_H
