#include "gooseberrybeam/daemon/IgnoreHangups.h"

#include "gooseberrybeam/log/Log.h"

namespace gooseberry {

Task<void> ignoreHangups(asio::signal_set &Hangups) {
  for (;;) {
    auto [Error, Signal] = co_await Hangups.async_wait(AsTuple);
    if (Error)
      co_return;
    logLine(LogPart::Daemon, LogLevel::Info,
            "SIGHUP ignored; settings are read only at start.", {});
  }
}

} // namespace gooseberry
