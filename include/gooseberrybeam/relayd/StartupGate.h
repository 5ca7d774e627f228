/// \file
/// Holds requests that arrive before the instance can serve them.
#ifndef GOOSEBERRYBEAM_RELAYD_STARTUPGATE_H
#define GOOSEBERRYBEAM_RELAYD_STARTUPGATE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <vector>

namespace gooseberry {

/// Holds requests of a process that has just started until it knows the
/// configuration and the backend servers. When all instances restart together,
/// callers have nowhere else to go and return once at most, so a short wait
/// serves requests that a refusal would lose. A process that does not get its
/// state in time is probably cut off from the store, and its requests are not
/// held any more. Not thread-safe.
class StartupGate {
public:
  /// \param Context runs the waiting coroutines.
  /// \param StartedAt when the process started.
  StartupGate(asio::io_context &Context, TimePoint StartedAt);

  /// Lets all requests pass, waiting ones included.
  void open();
  /// \returns whether requests pass.
  bool isOpen() const { return IsOpen_; }
  /// Waits until the gate is open, but no longer than a share of the time that
  /// the caller has left or until the process should have started.
  /// \param TimeLeft until the caller's deadline; none if it stated none.
  /// \returns whether the gate is open.
  Task<bool> wait(std::optional<Duration> TimeLeft);

private:
  asio::io_context &Context_;
  TimePoint StartupDeadline_;
  bool IsOpen_ = false;
  std::vector<asio::steady_timer *> WaitingTimers_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_STARTUPGATE_H
