#include "relayd/ScopedWait.h"

#include <boost/asio/steady_timer.hpp>

namespace gooseberry {

Task<void> waitFor(asio::io_context &Context, Duration Time,
                   CancelScope &Scope) {
  if (Scope.isCancelled())
    co_return;
  asio::steady_timer Timer(Context, Time);
  CancelScope::Guard Guard(Scope, [&Timer] { Timer.cancel(); });
  co_await Timer.async_wait(AsTuple);
}

} // namespace gooseberry
